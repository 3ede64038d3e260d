"""Runs batch items at engines, one blocking call a thread."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import structlog

from troutswitch.clock import steady_seconds
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.decisions.jobs.messages import (
    ItemBegun,
    ItemProgressed,
    ItemRunEnded,
    OutputEvent,
    RunItem,
    StopItem,
)
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.gateway.engines.event_stream import BrokenEvents, EventSplitter
from troutswitch.gateway.engines.exchange import (
    AnswerLost,
    EngineConnections,
    Exchange,
    NotConnected,
    OutgoingRequest,
)
from troutswitch.outcomes import AttemptKind
from troutswitch.platform import names
from troutswitch.platform.requests import AnswerHead, item_headers, read_head

ITEM_THREADS = 64
MISDIRECTED = 421
TELL_SECONDS = 0.4
"""Interval in which a run tells what came."""


class ItemRuns:
    """The runs in progress."""

    def __init__(
        self,
        connections: EngineConnections,
        post: Callable[[GatewayEvent], None],
        engine_activity: EngineActivityReporter,
        logger: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self._connections = connections
        self._post = post
        self._engine_activity = engine_activity
        self._logger = logger
        self._exchanges: dict[int, Exchange] = {}
        self._stopped: set[int] = set()
        self._lock = threading.Lock()
        self._executor = ThreadPoolExecutor(ITEM_THREADS, "items")

    def start(self, instruction: RunItem) -> None:
        """Starts a run."""
        try:
            self._executor.submit(self._run_safely, instruction)
        except RuntimeError:
            return  # stopping

    def stop(self, instruction: StopItem) -> None:
        """Closes the connection of a run."""
        with self._lock:
            exchange = self._exchanges.get(instruction.run)
            if exchange is None:
                self._stopped.add(instruction.run)
        if exchange is not None:
            exchange.abort()

    def shut_down(self) -> None:
        """Closes all runs."""
        self._executor.shutdown(wait=False, cancel_futures=True)
        with self._lock:
            exchanges = list(self._exchanges.values())
        for exchange in exchanges:
            exchange.abort()

    def _run_safely(self, instruction: RunItem) -> None:
        splitter = EventSplitter(instruction.resume_after)
        events: list[OutputEvent] = []
        try:
            ended = self._run(instruction, splitter, events)
        except Exception as error:
            self._logger.exception("item run failed")
            reason = f"{type(error).__name__}: {error}"
            ended = _ended(instruction, AttemptKind.CUT, reason, None, events)
        finally:
            with self._lock:
                self._exchanges.pop(instruction.run, None)
                self._stopped.discard(instruction.run)
        self._post(ended)

    def _run(
        self, instruction: RunItem, splitter: EventSplitter, events: list[OutputEvent]
    ) -> ItemRunEnded:
        exchange = self._open(instruction)
        try:
            head = read_head(exchange.open(instruction.first_wait))
        except NotConnected as error:
            return _ended(instruction, AttemptKind.UNREACHABLE, str(error))
        except AnswerLost as error:
            return _ended(instruction, AttemptKind.CUT, str(error))
        try:
            if head.status != 200 or not head.is_event_stream:
                return self._refused(instruction, exchange, head)
            self._post(ItemBegun(instruction.run))
            self._read(instruction, exchange, splitter, events)
        except (AnswerLost, BrokenEvents) as error:
            return _ended(instruction, AttemptKind.CUT, str(error), head, events)
        finally:
            exchange.close()
        return _ended(instruction, AttemptKind.COMPLETED, "", head, events)

    def _open(self, instruction: RunItem) -> Exchange:
        item = instruction.item
        headers = item_headers(
            instruction.host,
            item.item_id,
            dict(item.headers),
            instruction.engine_id,
            instruction.resume_after,
            instruction.tenant,
        )
        request = OutgoingRequest(item.item_id, "POST", item.path, headers, item.body)
        exchange = Exchange(
            self._connections,
            instruction.engine_id,
            instruction.address,
            request,
            names.REQUEST_ID,
        )
        with self._lock:
            self._exchanges[instruction.run] = exchange
            if instruction.run in self._stopped:
                exchange.is_aborted = True
        return exchange

    def _read(
        self,
        instruction: RunItem,
        exchange: Exchange,
        splitter: EventSplitter,
        events: list[OutputEvent],
    ) -> None:
        """Reads the stream, and tells what came from time to time."""
        told_at = steady_seconds()
        for data in exchange.chunks():
            self._engine_activity.beat(instruction.engine_id)
            came = splitter.feed(data)
            if came:
                exchange.set_wait(instruction.gap_wait)
            events.extend(OutputEvent(event.event_id, event.data) for event in came)
            if events and steady_seconds() - told_at >= TELL_SECONDS:
                told_at = steady_seconds()
                self._post(ItemProgressed(instruction.run, tuple(events)))
                events.clear()
        if not splitter.is_between_events:
            raise AnswerLost("the stream ended inside an event")

    @staticmethod
    def _refused(instruction: RunItem, exchange: Exchange, head: AnswerHead) -> ItemRunEnded:
        exchange.body()
        kind = AttemptKind.REFUSED if head.not_run else AttemptKind.CUT
        return _ended(instruction, kind, f"status {head.status}", head)


def _ended(
    instruction: RunItem,
    kind: AttemptKind,
    reason: str,
    head: AnswerHead | None = None,
    events: list[OutputEvent] | None = None,
) -> ItemRunEnded:
    return ItemRunEnded(
        instruction.run,
        kind,
        head.status if head is not None else 0,
        reason,
        tuple(events or ()),
        head.load if head is not None else None,
        head is not None and head.status == MISDIRECTED,
    )
