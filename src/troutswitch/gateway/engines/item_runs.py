"""Runs batch items at engines, each on a thread of its own.

This module owns the threads and the exchanges of the runs in progress. The loop owns all other
state of an item; the events posted here inform it about a run.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from http import HTTPStatus

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
from troutswitch.decisions.jobs.records import output_bytes
from troutswitch.gateway.blocking_calls import BlockingCalls, CallNotStarted
from troutswitch.gateway.engines.connection_pool import ConnectionUse, EngineConnections
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.gateway.engines.event_stream import (
    EventSplitter,
    EventStreamError,
    EventTooLong,
    StreamEvent,
)
from troutswitch.gateway.engines.exchange import (
    AnswerLost,
    Exchange,
    NotConnected,
    OutgoingRequest,
)
from troutswitch.gateway.unexpected_errors import UnexpectedErrors
from troutswitch.outcomes import AttemptOutcome
from troutswitch.platform.requests import AnswerHead, item_headers

EVENT_OVERHEAD_BYTES = 4096
"""Bytes of an event beyond its text: its id and other fields."""
ITEM_THREADS = 64
"""Maximum number of concurrent runs."""
PROGRESS_INTERVAL_SECONDS = 0.4
"""Minimum interval between two reports of a run's progress."""


class ItemRuns:
    """The runs in progress.

    Args:
        connections: pool of connections to engines.
        post: posts an event to the loop.
        engine_activity: records which engines send bytes.
        logger: logs unexpected errors.
        errors: reports them in place of `logger`.
    """

    def __init__(
        self,
        connections: EngineConnections,
        post: Callable[[GatewayEvent], None],
        engine_activity: EngineActivityReporter,
        logger: structlog.typing.FilteringBoundLogger,
        errors: UnexpectedErrors | None = None,
    ) -> None:
        self._connections = connections
        self._post = post
        self._engine_activity = engine_activity
        self._exchanges: dict[int, Exchange] = {}
        self._stopped: set[int] = set()
        """Runs that were stopped before their exchange was registered."""
        self._lock = threading.Lock()
        errors = errors or UnexpectedErrors(logger)
        self._calls = BlockingCalls(ITEM_THREADS, "items", post, errors)

    def start(self, instruction: RunItem) -> None:
        """Starts a run; its end is posted as `ItemRunEnded`."""
        run = _ItemRun(instruction, self._post, self._engine_activity)
        self._calls.submit("run item", lambda: self._run(run), run.failed_event)

    def stop(self, instruction: StopItem) -> None:
        """Aborts a run, or prevents it from sending anything if it has not begun."""
        with self._lock:
            exchange = self._exchanges.get(instruction.run)
            if exchange is None:
                self._stopped.add(instruction.run)
        if exchange is not None:
            exchange.abort()

    def shut_down(self) -> None:
        """Aborts all runs."""
        self._calls.shut_down()
        with self._lock:
            exchanges = list(self._exchanges.values())
        for exchange in exchanges:
            exchange.abort()

    def _run(self, run: "_ItemRun") -> ItemRunEnded:
        """Runs an item and returns its end."""
        try:
            exchange = self._open_exchange(run.instruction)
            end_event = run.execute(exchange)
            return replace(
                end_event, connection_seconds=exchange.kept_seconds, answer=exchange.facts
            )
        finally:
            with self._lock:
                self._exchanges.pop(run.instruction.run, None)
                self._stopped.discard(run.instruction.run)

    def _open_exchange(self, instruction: RunItem) -> Exchange:
        """Registers a run's exchange, so that it can be stopped."""
        exchange = Exchange(
            self._connections,
            instruction.engine_id,
            instruction.address,
            outgoing_request(instruction),
            ConnectionUse.ITEMS,
        )
        with self._lock:
            self._exchanges[instruction.run] = exchange
            if instruction.run in self._stopped:
                exchange.is_aborted = True
        return exchange


@dataclass
class _ItemRun:
    """One run; `events` are the events that are not reported yet."""

    instruction: RunItem
    post: Callable[[GatewayEvent], None]
    engine_activity: EngineActivityReporter
    events: list[OutputEvent] = field(default_factory=list)
    output_bytes: int = 0

    def execute(self, exchange: Exchange) -> ItemRunEnded:
        """Performs the exchange and returns the event that reports its end."""
        try:
            head = exchange.open(self.instruction.response_timeout)
        except NotConnected as error:
            return self.end_event(AttemptOutcome.UNREACHABLE, str(error))
        except AnswerLost as error:
            return self.end_event(AttemptOutcome.CUT, str(error))
        self.engine_activity.record_head(head)
        try:
            if head.not_run or head.status != HTTPStatus.OK:
                return self._refusal(exchange, head)
            self.post(ItemBegun(self.instruction.run))
            self._read(exchange)
        except (AnswerLost, EventStreamError) as error:
            # A failure whose body was cut is no answer, so that its status must not count.
            is_stream = head.status == HTTPStatus.OK
            ended = self.end_event(AttemptOutcome.CUT, str(error), head if is_stream else None)
            return replace(ended, is_too_long=isinstance(error, EventTooLong))
        finally:
            exchange.close()
        return self.end_event(AttemptOutcome.COMPLETED, "", head)

    def _read(self, exchange: Exchange) -> None:
        """Reads the stream, and reports its events periodically."""
        # A longer event is too long for the output as well, whatever its text is.
        max_event_bytes = max(0, self.instruction.max_output_bytes) + EVENT_OVERHEAD_BYTES
        splitter = EventSplitter(self.instruction.resume_after, max_event_bytes)
        reported_at = steady_seconds()
        exchange.set_progress_limit(self.instruction.response_timeout)
        for data in exchange.chunks():
            self.engine_activity.record(self.instruction.engine_id)
            events = splitter.feed(data)
            if events:
                exchange.set_progress_limit(self.instruction.event_timeout)
            self._add(events)
            if self.events and steady_seconds() - reported_at >= PROGRESS_INTERVAL_SECONDS:
                reported_at = steady_seconds()
                self.post(ItemProgressed(self.instruction.run, tuple(self.events)))
                self.events.clear()
        events, _ = splitter.finish()
        self._add(events)

    def _add(self, events: list[StreamEvent]) -> None:
        """Adds events to those not reported yet, up to the first that is not text or too long."""
        for event in events:
            text = event.text()
            self.output_bytes += output_bytes(text)
            if self.output_bytes > self.instruction.max_output_bytes:
                raise EventTooLong("the output is too long for a result")
            self.events.append(OutputEvent(event.event_id, text))

    def _refusal(self, exchange: Exchange, head: AnswerHead) -> ItemRunEnded:
        if head.not_run:
            exchange.discard_body()
            return self.end_event(AttemptOutcome.REFUSED, f"status {head.status}", head)
        exchange.set_progress_limit(self.instruction.event_timeout)
        exchange.body()
        return self.end_event(AttemptOutcome.CUT, f"status {head.status}", head)

    def end_event(
        self, kind: AttemptOutcome, reason: str, head: AnswerHead | None = None
    ) -> ItemRunEnded:
        """Returns the event that reports the run's end, with the events not reported yet."""
        return ItemRunEnded(
            self.instruction.run,
            kind,
            head.status if head is not None else 0,
            reason,
            tuple(self.events),
            head.load if head is not None else None,
            head is not None and head.is_wrong_instance,
        )

    def failed_event(self, error: Exception) -> ItemRunEnded:
        """Returns the end of a run that raised an error, or for which there was no thread."""
        is_sent = not isinstance(error, CallNotStarted)
        kind = AttemptOutcome.CUT if is_sent else AttemptOutcome.CANCELLED
        return self.end_event(kind, f"{type(error).__name__}: {error}")


def outgoing_request(instruction: RunItem) -> OutgoingRequest:
    """Returns the request by which a run is sent to its engine."""
    item = instruction.item
    headers = item_headers(
        instruction.host,
        item.item_id,
        dict(item.headers),
        instruction.engine_id,
        instruction.resume_after,
        instruction.tenant,
    )
    return OutgoingRequest(item.item_id, "POST", item.path, headers, item.body, expects_stream=True)
