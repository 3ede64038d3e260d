"""Relays one request between its caller and engines, on the caller's thread.

A relay holds the request's body, the attempt in progress, and how much has been delivered. The loop
makes the decisions: it sends directives, either to make an attempt or to finish, and receives an
event for each step.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from http import HTTPStatus

from troutswitch.clock import steady_seconds
from troutswitch.decisions.crashes.content import content_key
from troutswitch.decisions.forwarding.messages import (
    AnswerBegun,
    CallerGone,
    FinishRequest,
    RequestArrived,
    RequestAttemptEnded,
    SendRequest,
)
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.gateway.callers.relay_registry import LoopEnded, RelayRegistry
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.gateway.engines.event_stream import EventSplitter, EventStreamError
from troutswitch.gateway.engines.exchange import (
    AnswerLost,
    Exchange,
    NotConnected,
    OutgoingRequest,
)
from troutswitch.gateway.memory.account import MemoryAccount
from troutswitch.gateway.memory.answer_buffer import AnswerBuffer
from troutswitch.gateway.unexpected_errors import UnexpectedErrors
from troutswitch.outcomes import (
    AttemptOutcome,
    Cut,
    MayHaveRun,
    NotRun,
    Step,
    failure_outcome,
)
from troutswitch.platform.requests import AnswerHead, IncomingRequest, engine_headers

DIRECTIVE_TIMEOUT_SECONDS = 60.0
"""Longest wait for the loop's next directive, after which the loop is considered dead."""

FAILURE_RETRY_AFTER_SECONDS = 0.1
"""Retry-After of a request that this daemon ends by itself; another daemon may serve it."""


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """An engine's complete response, to be forwarded unchanged."""

    head: AnswerHead
    body: bytes


@dataclass
class Relay:
    """One forwarded request.

    `run` yields the bytes of a streamed response. After it ends, `finish` is set if the loop ended
    the request. Otherwise `complete_answer` holds the engine's response, or the stream was
    completed.

    Args:
        post: posts an event to the loop.
        memory: account in which a complete answer is counted while it is read.
        errors: reports unexpected errors.
    """

    token: int
    request: IncomingRequest
    body: bytes
    relays: RelayRegistry
    connections: EngineConnections
    post: Callable[[GatewayEvent], None]
    engine_activity: EngineActivityReporter
    memory: MemoryAccount = field(default_factory=MemoryAccount)
    errors: UnexpectedErrors = field(default_factory=UnexpectedErrors)
    head: AnswerHead | None = None
    """Head of the response that is streamed to the caller."""
    complete_answer: CompleteAnswer | None = None
    finish: FinishRequest | None = None
    _answer: AnswerBuffer | None = None
    """The complete response of the newest attempt."""
    _splitter: EventSplitter = field(default_factory=EventSplitter)
    _delivered: int = 0
    _began_version: str = ""
    """Software version of the engine that brought the first delivered event."""
    _is_completed: bool = False
    _longest_gap: float = 0.0
    _attempt_exchange: Exchange | None = None
    """The exchange of the newest attempt, if it was sent."""
    _outcomes: dict[int, AttemptOutcome] = field(default_factory=dict)
    """How each attempt that was sent ended, by its number; one in progress counts as cut."""

    def run(self) -> Iterator[bytes]:
        """Yields the response's bytes; `head` is set before the first, `finish` after the last.

        Raises:
            TimeoutError: the loop sent no directive in time.
        """
        channel = self.relays.open_channel(self.token)
        self._splitter = EventSplitter(self.request.last_event_id)
        try:
            self.post(self._arrival_event())
            self.relays.watch(self.token)
            while not self._is_completed and self.finish is None:
                directive = channel.get(DIRECTIVE_TIMEOUT_SECONDS)
                match directive:
                    case FinishRequest():
                        self.finish = directive
                    case LoopEnded():
                        self._end_undecided(directive.reason)
                    case SendRequest():
                        yield from self._attempt(directive)
        finally:
            self.relays.close_channel(self.token)
            if not self._is_completed and self.finish is None:
                now = steady_seconds()
                self.post(CallerGone(self.token, now, now))

    def _arrival_event(self) -> RequestArrived:
        request = self.request
        return RequestArrived(
            self.token,
            request.request_id,
            request.host,
            request.path,
            request.time_left,
            request.prompt,
            request.last_event_id,
            content_key(request.host, request.method, request.url, self.body),
            steady_seconds(),
            request.caller_key,
            request.resumed_id,
        )

    def failure(self, reason: str) -> NotRun | MayHaveRun | Cut:
        """Returns the outcome of a request that ends without a decision of the loop."""
        outcomes = list(self._outcomes.values())
        return failure_outcome(
            outcomes, self._delivered, reason, Step.RELAY, "", FAILURE_RETRY_AFTER_SECONDS
        )

    def _end_undecided(self, reason: str) -> None:
        """Ends the request without a decision; an engine's whole answer is forwarded."""
        if self.complete_answer is not None:
            self._is_completed = True
        else:
            self.finish = FinishRequest(self.token, self.failure(reason))

    def _attempt(self, decided: SendRequest) -> Iterator[bytes]:
        """Makes one attempt; an unexpected error ends it, and the loop decides what follows."""
        self._attempt_exchange = None
        try:
            yield from self._make_attempt(decided)
        except Exception as error:
            self.errors.report("attempt at engine", error)
            is_sent = self._attempt_exchange is not None
            kind = AttemptOutcome.CUT if is_sent else AttemptOutcome.UNREACHABLE
            self._end(decided, kind, f"{type(error).__name__}: {error}")

    def _make_attempt(self, decided: SendRequest) -> Iterator[bytes]:
        """Makes one attempt within the time that remains since it was decided.

        An attempt at another engine version than the one that began the stream is not sent. The
        loop may decide on one if it abandons an engine before it learns of the first event.

        If the process was suspended between the decision and the sending, the time limit computed
        by the loop would let the engine run for seconds after the caller's deadline.
        """
        self.complete_answer = None
        self.release_answer()
        delay = max(0.0, steady_seconds() - decided.decided_at)
        time_left = decided.time_left - delay
        directive = replace(decided, time_left=time_left)
        if time_left <= 0:
            self._end(
                directive,
                AttemptOutcome.UNREACHABLE,
                "time ran out before it was sent",
            )
            return
        if self._delivered and directive.engine_version != self._began_version:
            reason = "the stream began at another version"
            self._end(directive, AttemptOutcome.UNREACHABLE, reason)
            return
        exchange = Exchange(
            self.connections,
            directive.engine_id,
            directive.address,
            self._outgoing(directive),
        )
        self._attempt_exchange = exchange
        self._outcomes[directive.attempt] = AttemptOutcome.CUT
        self.relays.begin_attempt(self.token, directive.attempt, exchange)
        try:
            yield from self._exchange(directive, exchange)
        finally:
            self.relays.end_attempt(self.token)
            exchange.close()

    def _resume_after(self, directive: SendRequest) -> str:
        """Returns the id of the event after which an attempt resumes the stream.

        The last event delivered to the caller takes precedence over the loop's value: the loop may
        have abandoned an engine before it processed the report of that engine's events.
        """
        return self._splitter.last_id if self._delivered else directive.resume_after

    def _outgoing(self, directive: SendRequest) -> OutgoingRequest:
        request = self.request
        headers = engine_headers(
            request,
            directive.engine_id,
            directive.time_left,
            self._resume_after(directive),
            directive.tenant,
        )
        return OutgoingRequest(
            request.request_id,
            request.method,
            request.url,
            headers,
            self.body,
            expects_stream=directive.expects_stream,
        )

    def _exchange(self, directive: SendRequest, exchange: Exchange) -> Iterator[bytes]:
        try:
            head = exchange.open(directive.time_left, directive.time_left)
        except NotConnected as error:
            return self._end(directive, AttemptOutcome.UNREACHABLE, str(error))
        except AnswerLost as error:
            return self._end(directive, AttemptOutcome.CUT, str(error))
        self.engine_activity.record_head(head)
        self.post(AnswerBegun(self.token, directive.attempt, head.load, head.not_run))
        exchange.set_wait(min(directive.first_event_wait, directive.time_left))
        try:
            if head.not_run:
                self._handle_refusal(directive, exchange, head)
            elif head.status == HTTPStatus.OK and head.is_event_stream:
                yield from self._stream(directive, exchange, head)
            else:
                self._handle_complete_answer(directive, head, self._read_body(exchange))
        except (AnswerLost, EventStreamError) as error:
            self._end(directive, AttemptOutcome.CUT, str(error), head)

    def _stream(
        self, directive: SendRequest, exchange: Exchange, head: AnswerHead
    ) -> Iterator[bytes]:
        splitter = EventSplitter(self._resume_after(directive))
        self._splitter = splitter
        event_at = steady_seconds()
        for data in exchange.chunks():
            self.engine_activity.record(directive.engine_id)
            events = splitter.feed(data)
            if not events:
                continue
            exchange.set_wait(directive.gap_wait)
            if self._delivered:
                self._longest_gap = max(self._longest_gap, steady_seconds() - event_at)
            event_at = steady_seconds()
            self._count_events(directive, head, len(events))
            yield b"".join(event.raw for event in events)
        events, blank_lines = splitter.finish()
        self._count_events(directive, head, len(events))
        if end := b"".join(event.raw for event in events) + blank_lines:
            yield end
        self._is_completed = True
        self._end(directive, AttemptOutcome.COMPLETED, "", head)

    def _count_events(self, directive: SendRequest, head: AnswerHead, count: int) -> None:
        """Counts events that are delivered next; the first ones determine the stream's version."""
        self.head = self.head or head
        if count and not self._delivered:
            self._began_version = directive.engine_version
        self._delivered += count

    def _read_body(self, exchange: Exchange) -> bytes:
        """Reads a complete response. None of usual size is left unread for lack of room."""
        self._answer = AnswerBuffer(self.memory)
        return exchange.body(self._answer)

    def release_answer(self) -> None:
        """Ends the count of the complete response.

        The caller's connection counts it from now, or it was replaced by a further attempt.
        """
        if self._answer is not None:
            self._answer.release()

    def _handle_refusal(self, directive: SendRequest, exchange: Exchange, head: AnswerHead) -> None:
        """Handles a response whose head says that the request did not run."""
        exchange.discard_body()
        reason = f"server said not run, status {head.status}"
        self._end(directive, AttemptOutcome.REFUSED, reason, head)

    def _handle_complete_answer(
        self, directive: SendRequest, head: AnswerHead, body: bytes
    ) -> None:
        """Handles a complete response; keeps a failure in case no further attempt follows."""
        if self._delivered:
            reason = f"status {head.status} in the middle of a stream"
            self._end(directive, AttemptOutcome.CUT, reason, head)
            return
        self.complete_answer = CompleteAnswer(head, body)
        if head.status >= 500:
            reason = f"server failed, status {head.status}"
            self._end(directive, AttemptOutcome.CUT, reason, head, has_answer=True)
            return
        self._is_completed = True
        self._end(directive, AttemptOutcome.COMPLETED, "", head)

    def _end(
        self,
        directive: SendRequest,
        kind: AttemptOutcome,
        reason: str,
        head: AnswerHead | None = None,
        has_answer: bool = False,
    ) -> None:
        """Reports the end of an attempt, unless it ended because the caller disconnected."""
        if directive.attempt in self._outcomes:
            self._outcomes[directive.attempt] = kind
        if self.relays.is_caller_gone(self.token):
            return
        exchange = self._attempt_exchange
        self.post(
            RequestAttemptEnded(
                self.token,
                directive.attempt,
                kind,
                reason,
                self._splitter.last_id,
                self._delivered,
                head.status if head is not None else 0,
                head.load if head is not None else None,
                head.retry_after if head is not None else None,
                head is not None and head.is_wrong_instance,
                has_answer,
                self._longest_gap,
                exchange.kept_seconds if exchange is not None else 0.0,
                self._began_version,
                exchange.facts if exchange is not None else None,
            )
        )
