"""Executes the instructions of the gateway's core.

Non-blocking instructions are executed immediately on the loop's thread. Blocking calls to the
store, to peers and to engines' ports run on thread pools, and their outcomes are posted as events.
Reads of the configuration and the engine list, and requests for peers' state, have a pool of their
own: while the store does not respond, each call for jobs occupies a thread until its timeout, and
clients may submit any number of jobs.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import assert_never

import structlog

from troutswitch.decisions.active_configuration import CONFIGURATION_TOPIC
from troutswitch.decisions.crashes.messages import CheckEngine, EngineChecked, EngineCheckResult
from troutswitch.decisions.forwarding.engine_list import ENGINES_TOPIC
from troutswitch.decisions.forwarding.messages import (
    AbortAttempt,
    FinishRequest,
    LogLine,
    SendRequest,
)
from troutswitch.decisions.gateway_interface import GatewayEvent, GatewayInstruction
from troutswitch.decisions.gateway_messages import (
    EnginesRemoved,
    IdleConnectionsLimited,
    LimitsChanged,
)
from troutswitch.decisions.jobs.messages import AnswerJobCall, RunItem, StopItem
from troutswitch.decisions.peers.catch_up import PeerStateReceived, RequestPeerState
from troutswitch.decisions.slots.messages import (
    HealthAnswered,
    HealthResult,
    RequestHealth,
    SendToPeers,
)
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
from troutswitch.decisions.storage.read_attempts import MAX_READS_IN_FLIGHT
from troutswitch.gateway.blocking_calls import BlockingCalls, CallNotStarted
from troutswitch.gateway.callers.relay_registry import RelayRegistry
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.engine_check import check_engine
from troutswitch.gateway.engines.health_request import request_health
from troutswitch.gateway.engines.item_runs import ItemRuns
from troutswitch.gateway.unexpected_errors import UnexpectedErrors

STORE_THREADS = 48
"""Maximum number of concurrent blocking calls; a read may wait some seconds at the store."""
FLEET_THREADS = 4 * MAX_READS_IN_FLIGHT
"""Maximum number of concurrent blocking calls for the configuration and the engine list: twice the
reads of both that may be in flight, because an abandoned read holds its thread until it times
out."""
FLEET_TOPICS = frozenset({CONFIGURATION_TOPIC, ENGINES_TOPIC})


@dataclass(frozen=True, slots=True)
class Executors:
    """The objects and functions that execute each kind of instruction.

    `call_store` and `request_peer_state` may block and run on thread pools. All others run on the
    loop's thread and must not block.
    """

    relays: RelayRegistry
    connections: EngineConnections
    items: ItemRuns
    call_store: Callable[[StoreCall], StoreOutcome]
    request_peer_state: Callable[[RequestPeerState], PeerStateReceived]
    send_to_peers: Callable[[SendToPeers], None]
    answer_job: Callable[[AnswerJobCall], None]
    set_limits: Callable[[LimitsChanged], None]
    count_log_line: Callable[[LogLine], None]


class InstructionExecutor:
    """Dispatches each instruction to its executor; `execute` never blocks."""

    def __init__(
        self,
        executors: Executors,
        post: Callable[[GatewayEvent], None],
        logger: structlog.typing.FilteringBoundLogger,
        errors: UnexpectedErrors | None = None,
    ) -> None:
        self._executors = executors
        self._logger = logger
        errors = errors or UnexpectedErrors(logger)
        self._calls = BlockingCalls(STORE_THREADS, "store", post, errors)
        self._fleet_calls = BlockingCalls(FLEET_THREADS, "fleet", post, errors)

    @property
    def blocking_calls(self) -> int:
        """Number of blocking calls that are running or waiting for a thread."""
        return self._calls.pending + self._fleet_calls.pending

    def execute(self, instruction: GatewayInstruction) -> None:
        """Executes one instruction; called on the loop's thread."""
        executors = self._executors
        match instruction:
            case LogLine():
                self._write(instruction)
            case SendRequest() | FinishRequest():
                executors.relays.send_directive(instruction)
            case AbortAttempt():
                executors.relays.abort_attempt(instruction)
            case RunItem():
                executors.items.start(instruction)
            case StopItem():
                executors.items.stop(instruction)
            case SendToPeers():
                executors.send_to_peers(instruction)
            case RequestPeerState():
                self._request_peer_state(instruction)
            case CheckEngine():
                self._check_engine(instruction)
            case RequestHealth():
                self._request_health(instruction)
            case AnswerJobCall():
                executors.answer_job(instruction)
            case LimitsChanged():
                executors.set_limits(instruction)
            case EnginesRemoved():
                executors.connections.remove_engines(list(instruction.engine_ids))
            case IdleConnectionsLimited():
                executors.connections.limit_idle(dict(instruction.limits))
            case ReadNewest() | ReadRecords():
                is_fleet = instruction.partition.topic in FLEET_TOPICS
                self._call_store(self._fleet_calls if is_fleet else self._calls, instruction)
            case AppendRecords() | JoinGroup() | LeaveGroup():
                self._call_store(self._calls, instruction)
            case _:
                assert_never(instruction)

    def _write(self, line: LogLine) -> None:
        self._executors.count_log_line(line)
        self._logger.info(line.event, **line.fields)

    def _request_peer_state(self, request: RequestPeerState) -> None:
        self._fleet_calls.submit(
            "request peer state",
            lambda: self._executors.request_peer_state(request),
            lambda error: PeerStateReceived(request.host, None),
        )

    def _check_engine(self, check: CheckEngine) -> None:
        self._calls.submit(
            "check engine",
            lambda: check_engine(check),
            lambda error: EngineChecked(check.engine_id, EngineCheckResult.UNKNOWN),
        )

    def _request_health(self, request: RequestHealth) -> None:
        self._calls.submit(
            "request health",
            lambda: request_health(request),
            lambda error: HealthAnswered(request.engine_id, HealthResult.FAILED),
        )

    def _call_store(self, calls: BlockingCalls, call: StoreCall) -> None:
        calls.submit(
            "call store",
            lambda: StoreAnswered(call.call, self._executors.call_store(call)),
            lambda error: StoreAnswered(call.call, _failed(error)),
        )

    def stop(self) -> None:
        """Stops the thread pools without waiting for the calls in progress."""
        self._executors.items.shut_down()
        self._calls.shut_down()
        self._fleet_calls.shut_down()


def _failed(error: Exception) -> CallFailed:
    """Returns the outcome of a store call that raised an error."""
    may_have_acted = not isinstance(error, CallNotStarted)
    return CallFailed(f"{type(error).__name__}: {error}", may_have_acted)
