"""Carries the gateway's instructions out; blocking calls go to executors."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import structlog

from troutswitch.decisions.crashes.messages import CheckEngine
from troutswitch.decisions.forwarding.messages import (
    AbortAttempt,
    FinishRequest,
    LogLine,
    SendRequest,
)
from troutswitch.decisions.gateway_messages import EnginesLeft, LimitsChanged
from troutswitch.decisions.jobs.messages import AnswerJobCall, RunItem, StopItem
from troutswitch.decisions.peers.catch_up import PeerStateReceived, RequestPeerState
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.storage.messages import (
    AppendRecords,
    CallFailed,
    JoinGroup,
    LeaveGroup,
    ReadNewest,
    ReadRecords,
    StoreAnswered,
    StoreCall,
    StoreOutcome,
)
from troutswitch.gateway.callers.relay_registry import Relays
from troutswitch.gateway.engines.engine_check import check_engine
from troutswitch.gateway.engines.exchange import EngineConnections
from troutswitch.gateway.engines.item_runs import ItemRuns

STORE_THREADS = 48


class InstructionExecutor:
    """Executors and registries behind the loop; `carry_out` never blocks."""

    def __init__(
        self,
        relays: Relays,
        connections: EngineConnections,
        call_store: Callable[[StoreCall], StoreOutcome],
        items: ItemRuns,
        answer_job: Callable[[AnswerJobCall], None],
        send_to_peers: Callable[[SendToPeers], None],
        request_peer_state: Callable[[RequestPeerState], PeerStateReceived],
        logger: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self.on_line: Callable[[LogLine], None] = lambda line: None
        self.set_limits: Callable[[LimitsChanged], None] = lambda change: None
        self._relays = relays
        self._connections = connections
        self._call_store = call_store
        self._items = items
        self._answer_job = answer_job
        self._send_to_peers = send_to_peers
        self._ask_peer = request_peer_state
        self._logger = logger
        self._post: Callable[[object], None] = lambda event: None
        self._store_executor = ThreadPoolExecutor(STORE_THREADS, "store")

    def set_post(self, post: Callable[[object], None]) -> None:
        """Sets the function that hands events to the loop."""
        self._post = post

    def carry_out(self, instruction: object) -> None:
        """Carries one instruction out; called on the loop's thread."""
        match instruction:
            case LogLine():
                self.on_line(instruction)
                self._logger.info(instruction.event, **instruction.fields)
            case SendRequest() | FinishRequest():
                self._relays.direct(instruction)
            case AbortAttempt():
                self._relays.abort(instruction)
            case RunItem():
                self._items.start(instruction)
            case StopItem():
                self._items.stop(instruction)
            case SendToPeers():
                self._send_to_peers(instruction)
            case RequestPeerState():
                self._submit(lambda: self._ask_peer(instruction))
            case CheckEngine():
                self._submit(lambda: check_engine(instruction))
            case AnswerJobCall():
                self._answer_job(instruction)
            case LimitsChanged():
                self.set_limits(instruction)
            case EnginesLeft():
                self._connections.drop_engines(list(instruction.engine_ids))
            case ReadNewest() | ReadRecords() | AppendRecords() | JoinGroup() | LeaveGroup():
                self._submit(lambda: self._run(instruction))
            case _:
                raise TypeError(f"unknown instruction {type(instruction).__name__}")

    def _submit(self, call: Callable[[], object]) -> None:
        """Has a blocking call made, whose outcome is an event."""
        try:
            self._store_executor.submit(lambda: self._post(call()))
        except RuntimeError:
            return  # stopping

    def _run(self, call: StoreCall) -> StoreAnswered:
        try:
            outcome = self._call_store(call)
        except Exception as error:
            self._logger.exception("store call failed")
            outcome = CallFailed(f"{type(error).__name__}: {error}", True)
        return StoreAnswered(call.call, outcome)

    def stop(self) -> None:
        """Ends the executors; calls in progress are left to end by themselves."""
        self._items.shut_down()
        self._store_executor.shutdown(wait=False, cancel_futures=True)
