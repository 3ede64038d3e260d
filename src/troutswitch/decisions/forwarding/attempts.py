"""Starts and ends attempts of requests on engines, and records what they reveal about the engines.

Owns no state: the fields of the running attempt are part of its request. Each attempt is counted in
the engine registry from its start to its end. Its events update the engine (load, failures, drain),
the run times of the service, the suspected crashes of engines, and the origins of streams.
"""

from troutswitch.decisions.crashes.interface import Suspects
from troutswitch.decisions.forwarding.candidates import FULL_EXCLUSION_SECONDS, may_continue
from troutswitch.decisions.forwarding.engine import Engine, RequestSize
from troutswitch.decisions.forwarding.engine_silence import event_gap_timeout, first_event_timeout
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.long_prompts import expected_prefill
from troutswitch.decisions.forwarding.messages import (
    AbortAttempt,
    AnswerBegun,
    PreemptBatchItem,
    RequestAttemptEnded,
    SendRequest,
)
from troutswitch.decisions.forwarding.placer import AssignedBy, Assignment
from troutswitch.decisions.forwarding.request import ForwardedRequest, RequestState
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.forwarding.types import RouteKind
from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.streams.interface import Origins
from troutswitch.decisions.streams.versions import version_key
from troutswitch.outcomes import AttemptOutcome

MIN_FAILURE_STATUS = 300
"""Lowest HTTP status of a complete answer that doesn't prove that the engine served the request."""


class EngineAttempts:
    """Starts and ends the attempts of requests on engines."""

    def __init__(
        self, engines: EngineRegistry, times: RunTimes, suspects: Suspects, origins: Origins
    ) -> None:
        self._origins = origins
        self._engines = engines
        self._times = times
        self._suspects = suspects

    def start(self, now: float, request: ForwardedRequest, assignment: Assignment) -> SendRequest:
        """Starts the next attempt of a request, on the engine that it was assigned to."""
        ensure(
            not request.possible_runs or request.route.is_repeatable,
            "a request that must not be repeated is sent again",
        )
        engine = assignment.engine
        ensure(
            may_continue(request, engine),
            "a stream continues at an engine of another version",
        )
        request.state = RequestState.RUNNING
        request.attempt += 1
        if request.attempt == 1:
            request.first_sent_at = now
        request.engine_id = engine.record.engine_id
        request.tried.add(request.engine_id)
        request.answer_began_at = float("inf")
        request.sent_at = now
        request.engine_version = engine.record.version
        request.size = self._size(request, engine)
        request.was_queued = assignment.is_queued
        self._engines.on_sent(now, request.engine_id, False, request.size)
        return _send_request(now, request, engine)

    def _size(self, request: ForwardedRequest, engine: Engine) -> RequestSize:
        prompt = request.arrival.prompt
        engines = self._engines.of_service(request.service) or [engine]
        prefill = expected_prefill(prompt, engine, engines)
        return RequestSize(prompt.prompt_tokens + prompt.max_output_tokens, prefill)

    def on_answer_begun(self, now: float, request: ForwardedRequest, event: AnswerBegun) -> None:
        """Records that the engine runs the request, unless the answer is a rejection.

        A rejection is no sign of life. The next incarnation of a crashed engine has the same
        address and rejects what was meant for the crashed one. If that rejection counted, the crash
        would be retracted, and the request that causes crashes would be sent again.
        """
        self._engines.on_answered(request.engine_id)
        if event.not_run:
            return
        request.answer_began_at = now
        if request.begins_stream:
            self._origins.on_begun(
                now,
                request.arrival.request_id,
                request.service,
                request.engine_version,
                request.attempt,
                is_only_service=request.route.has_one_service,
            )
        self._engines.on_first_token(request.engine_id, request.size)
        self._suspects.on_answered(now, request.engine_id, request.sent_at)
        if event.load is not None:
            self._engines.on_load(now, request.engine_id, event.load)

    def on_ended(self, now: float, request: ForwardedRequest, event: RequestAttemptEnded) -> None:
        """Records the end of the running attempt for its request and its engine."""
        failed = event.kind in (AttemptOutcome.CUT, AttemptOutcome.UNREACHABLE)
        self._end_at_engine(now, request, failed=failed)
        self._engines.idle_connections.on_kept(now, request.engine_id, event.connection_seconds)
        if event.load is not None:
            self._engines.on_load(now, request.engine_id, event.load)
        if event.wrong_instance:
            self._engines.mark_draining(request.engine_id)
        if event.kind is AttemptOutcome.REFUSED:
            self._record_rejection(now, request)
        if event.kind is AttemptOutcome.CUT and not event.has_answer:
            self._on_lost(now, request)
        request.ended_attempts.append(event.kind)
        request.position = event.position or request.position
        request.delivered = event.delivered
        if event.delivered and request.origin is None:
            request.origin = version_key(event.began_version)
        if event.kind is AttemptOutcome.COMPLETED:
            self._record_completion(now, request, event)

    def _on_lost(self, now: float, request: ForwardedRequest, *, is_silent: bool = False) -> None:
        self._suspects.on_lost(
            now,
            request.arrival.content,
            request.engine_id,
            parts=request.crash_keys[1:],
            is_silent=is_silent,
        )

    def _record_rejection(self, now: float, request: ForwardedRequest) -> None:
        engine = self._engines.engines.get(request.engine_id)
        if engine is not None:
            engine.full_until = now + FULL_EXCLUSION_SECONDS
        request.rejected_by.add(request.engine_id)

    def _record_completion(
        self, now: float, request: ForwardedRequest, event: RequestAttemptEnded
    ) -> None:
        """Records a complete answer; only streams update the run times.

        Answers without events occupy a slot too briefly to count.
        """
        if event.status < MIN_FAILURE_STATUS:
            self._suspects.on_served(now, request.arrival.content, request.crash_keys[1:])
        if not event.delivered or request.answer_began_at > now:
            return
        first_event = request.answer_began_at - request.sent_at
        total = now - request.sent_at
        mean_slot_time = self._times.of(request.service).slot_time  # without this stream
        slot_time = self._times.on_completed(
            request.service,
            first_event,
            total,
            was_queued=request.was_queued,
            longest_pause=event.longest_gap,
        )
        engine = self._engines.engines.get(request.engine_id)
        if engine is not None:
            engine.on_run(now, slot_time, mean_slot_time)

    def abort(
        self, now: float, request: ForwardedRequest, *, is_silent: bool = False
    ) -> AbortAttempt:
        """Ends the running attempt because its answer is no longer wanted."""
        request.ended_attempts.append(AttemptOutcome.CANCELLED)
        self._end_at_engine(now, request, failed=False)
        return AbortAttempt(request.arrival.token, request.attempt, is_silent)

    def abandon(self, now: float, request: ForwardedRequest) -> AbortAttempt:
        """Ends the running attempt because its engine is silent."""
        request.ended_attempts.append(AttemptOutcome.CUT)
        self._on_lost(now, request, is_silent=True)
        self._end_at_engine(now, request, failed=True)
        return AbortAttempt(request.arrival.token, request.attempt, is_silent=True)

    def _end_at_engine(self, now: float, request: ForwardedRequest, *, failed: bool) -> None:
        begun = request.answer_began_at <= now
        self._engines.on_ended(
            now, request.engine_id, False, request.size, begun=begun, failed=failed
        )


def _send_request(now: float, request: ForwardedRequest, engine: Engine) -> SendRequest:
    return SendRequest(
        request.arrival.token,
        request.attempt,
        engine.record.engine_id,
        engine.record.address,
        time_left=request.ends_at - now,
        gap_wait=event_gap_timeout(now, request),
        resume_after=request.position,
        first_event_wait=first_event_timeout(now, request),
        decided_at=now,
        tenant=request.tenant,
        engine_version=engine.record.version,
        expects_stream=request.route.kind is RouteKind.STREAM,
    )


def preempt_if_full(
    now: float, request: ForwardedRequest, assignment: Assignment
) -> list[PreemptBatchItem]:
    """Returns the instruction to preempt a batch item if a request just sent has no slot otherwise.

    Returns nothing for a request that a coordinator assigned: it preempts items itself.
    """
    engine = assignment.engine
    if assignment.assigned_by is AssignedBy.COORDINATOR:
        return []
    if engine.in_flight(now) <= engine.slots or engine.batch_count() == 0:
        return []
    return [PreemptBatchItem(engine.record.engine_id, request.arrival.request_id)]
