"""Log lines about forwarded requests: the decision, its inputs, and the age of the inputs.

There is one function per event, so that the fields of an event are defined in one place.
`troutswitch explain` and `troutswitch bound` (`hindsight`) read these lines, `gateway/metrics.py`
counts them. Fields that end in `_ms` are whole milliseconds. `objective_ms` is the latency
objective of the route, `client_timeout_ms` the request's time left on arrival, `elapsed_ms` the
time since its arrival. `configuration_version` is the version in force, `configuration_age_ms` the
time since no newer version existed, as far as the daemon knows, and `learnt_by` the source of that
version. `admitted_version` is the version whose route the request was admitted by.
`decided_by` names the count that decided on the
quota, `quota_way` is its `QuotaWay`, `quota_ms` the time that the decision took.
`time_factor` is how many times as long as usual work takes at the engine, `relative_factor` the
same compared with the mean of its service, `factor_source` is its `FactorSource` and
`factor_age_ms` its age; they are present for services with a pace.
`engines_left_out` has the engines of the service that the request can't be sent to, with the
reasons, if a search for an engine found none.
"""

from troutswitch.decisions.forwarding.admission import Deferral
from troutswitch.decisions.forwarding.arrivals import Refused
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.messages import (
    CallerGone,
    CallerGoneBeforeHandling,
    LogLine,
    RequestAttemptEnded,
)
from troutswitch.decisions.forwarding.placer import Assignment
from troutswitch.decisions.forwarding.request import ForwardedRequest
from troutswitch.decisions.forwarding.routes import KnownConfiguration
from troutswitch.decisions.forwarding.run_times import ServiceTimes
from troutswitch.decisions.forwarding.types import AnswerFacts
from troutswitch.decisions.tenants.quota import QuotaResult
from troutswitch.outcomes import AttemptOutcome, Cut, MayHaveRun, NotRun, Step

MAX_MILLISECONDS = 3_600_000
"""Upper bound of logged times, so that an infinite time can be logged: one hour."""

DENIED_REASON = "no slot before it expires"
"""Reason of a deferral that a coordinator decided."""


def milliseconds(seconds: float) -> int:
    """Returns a time rounded to milliseconds, at most `MAX_MILLISECONDS`."""
    return round(min(seconds * 1000, MAX_MILLISECONDS))


def configuration_fields(known: KnownConfiguration) -> dict[str, object]:
    """Returns the log fields about the configuration that a daemon knows."""
    return {
        "configuration_version": known.version,
        "configuration_age_ms": milliseconds(known.age),
        "learnt_by": known.source.value,
    }


def quota_fields(quota: QuotaResult, seconds: float) -> dict[str, object]:
    """Returns the log fields about a quota decision that took some seconds."""
    return {
        "decided_by": quota.decided_by,
        "quota_way": quota.way.value,
        "quota_ms": milliseconds(seconds),
    }


def factor_fields(now: float, engine: Engine) -> dict[str, object]:
    """Returns the log fields about an engine's time factor; none if its service has no pace."""
    if engine.mean_factor is None:
        return {}
    return {
        "time_factor": round(engine.time_factor(now), 2),
        "relative_factor": round(engine.relative_factor(now), 2),
        "factor_source": engine.factor_source(now).value,
        "factor_age_ms": milliseconds(engine.factor_age(now)),
    }


def refusal_line(refused: Refused, known: KnownConfiguration) -> LogLine:
    """Returns the line for a request that is refused on its arrival."""
    refusal = refused.refusal
    return LogLine(
        "request refused",
        {
            "request_id": refused.arrival.request_id,
            "content": refused.arrival.content,
            "tenant": refused.tenant,
            "reason": refusal.reason,
            "step": refusal.step,
            "status": refusal.status,
            "retry_after_ms": milliseconds(refusal.retry_after or 0.0),
            **quota_fields(refused.quota, refused.quota_seconds),
            **configuration_fields(known),
        },
    )


def resumption_fields(request: ForwardedRequest) -> dict[str, object]:
    """Returns the log fields about a stream that goes on after an event; none for a new one."""
    if not request.position:
        return {}
    return {"resume_after": request.position, "resumed_id": request.arrival.resumed_id}


def attempt_started_line(
    now: float,
    request: ForwardedRequest,
    assignment: Assignment,
    known: KnownConfiguration,
    listed_at: float,
) -> LogLine:
    """Returns the line for an attempt that starts; the engine list was read at `listed_at`."""
    engine = assignment.engine
    return LogLine(
        "request sent",
        {
            "request_id": request.arrival.request_id,
            "content": request.arrival.content,
            "route": request.route.name,
            "tenant": request.tenant,
            "attempt": request.attempt,
            **quota_fields(request.quota, request.quota_seconds),
            "engine": engine.record.engine_id,
            "engine_version": engine.record.version,
            **resumption_fields(request),
            "load": engine.in_flight(now),
            "assigned_by": assignment.assigned_by.value,
            "load_age_ms": milliseconds(now - engine.load_at),
            **factor_fields(now, engine),
            "objective_ms": milliseconds(request.route.objective),
            "time_left_ms": milliseconds(request.ends_at - now),
            **configuration_fields(known),
            "admitted_version": request.admitted_version,
            "list_age_ms": milliseconds(now - listed_at),
            "client_timeout_ms": milliseconds(request.arrival.time_left),
            "elapsed_ms": milliseconds(now - request.arrived_at),
        },
    )


def deferral_line(
    now: float,
    request: ForwardedRequest,
    deferral: Deferral,
    times: ServiceTimes,
    known: KnownConfiguration,
) -> LogLine:
    """Returns the line for a request that is deferred, with the wait estimate behind it.

    `reason` is logged only for a denial by a coordinator; `slot request denied` has its inputs.
    """
    estimate = deferral.estimate
    denial = {"reason": DENIED_REASON} if deferral.is_denied else {}
    return LogLine(
        "request deferred",
        {
            "request_id": request.arrival.request_id,
            "route": request.route.name,
            "wait_ms": milliseconds(estimate.wait),
            "queued": estimate.queued,
            "slots": estimate.slots,
            "slot_time_ms": milliseconds(estimate.slot_time),
            "first_ms": milliseconds(times.first_event),
            "objective_ms": milliseconds(request.route.objective),
            "retry_after_ms": milliseconds(deferral.retry_after),
            "admitted_version": request.admitted_version,
            **configuration_fields(known),
            "client_timeout_ms": milliseconds(request.arrival.time_left),
            "elapsed_ms": milliseconds(now - request.arrived_at),
            **denial,
        },
    )


def answer_fields(answer: AnswerFacts | None) -> dict[str, object]:
    """Returns the log fields about how an engine's answer arrived; none without an answer."""
    if answer is None:
        return {}
    return {
        "signed": answer.is_signed,
        "framing": answer.framing.value,
        "connection_uses": answer.connection_uses,
        "surplus_answers": answer.surplus_answers,
        **({"defect": answer.defect} if answer.defect else {}),
    }


def attempt_ended_line(
    now: float, request: ForwardedRequest, event: RequestAttemptEnded
) -> LogLine:
    """Returns the line for an attempt that ended; `parts` are those of a prompt that was cut."""
    was_cut = event.kind is AttemptOutcome.CUT
    parts = {"parts": [part.part_id for part in request.arrival.prompt.parts]} if was_cut else {}
    return LogLine(
        "attempt ended",
        {
            "request_id": request.arrival.request_id,
            "content": request.arrival.content,
            "attempt": request.attempt,
            "engine": request.engine_id,
            "kind": event.kind,
            "status": event.status,
            "reason": event.reason,
            "position": event.position,
            "first_ms": milliseconds(request.answer_began_at - request.sent_at),
            "total_ms": milliseconds(now - request.sent_at),
            "longest_gap_ms": milliseconds(event.longest_gap),
            **answer_fields(event.answer),
            **parts,
        },
    )


def silence_line(now: float, request: ForwardedRequest) -> LogLine:
    """Returns the line for an attempt that is abandoned because its engine is silent."""
    return LogLine(
        "engine fell silent",
        {
            "request_id": request.arrival.request_id,
            "engine": request.engine_id,
            "waited_ms": milliseconds(now - request.sent_at),
        },
    )


def caller_gone_line(now: float, request: ForwardedRequest, event: CallerGone) -> LogLine:
    """Returns the line for a caller that closed its connection."""
    left_at = min(event.aborted_at, now)
    return LogLine(
        "caller gone",
        {
            "request_id": request.arrival.request_id,
            "route": request.route.name,
            "state": request.state_text(now),
            "engine": request.engine_id,
            "attempt": request.attempt,
            "delivered": request.delivered,
            "close_to_abort_ms": milliseconds(left_at - event.closed_at),
            "close_age_ms": milliseconds(now - event.closed_at),
        },
    )


def unhandled_caller_gone_line(event: CallerGoneBeforeHandling) -> LogLine:
    """Returns the line for a request whose caller had disconnected before it was handled."""
    age = milliseconds(event.age)
    fields: dict[str, object] = {"request_id": event.request_id, "state": "not yet handled"}
    return LogLine("caller gone", {**fields, "close_age_ms": age})


def wait_line(
    now: float,
    request: ForwardedRequest,
    reason: str,
    known: KnownConfiguration,
    excluded: dict[str, str],
) -> LogLine:
    """Returns the line for a request that waits for capacity for the first time.

    The request may have run or was delivered in part, so it can't be refused any more; or it would
    be late at every engine, and others get the slots first.
    """
    return LogLine(
        "request waits for capacity",
        {
            "request_id": request.arrival.request_id,
            "reason": reason,
            "attempts": len(request.ended_attempts),
            "delivered": request.delivered,
            "time_left_ms": milliseconds(request.ends_at - now),
            "admitted_version": request.admitted_version,
            **configuration_fields(known),
            "engines_left_out": excluded,
        },
    )


def give_up_line(
    now: float,
    request: ForwardedRequest,
    outcome: NotRun | MayHaveRun | Cut,
    step: Step,
    known: KnownConfiguration,
    engines_known: int,
    excluded: dict[str, str],
    list_age: float,
) -> LogLine:
    """Returns the line for a request that ends without a complete answer.

    `list_age` is the age of the engine list, in seconds.
    """
    rejections = sum(kind is AttemptOutcome.REFUSED for kind in request.ended_attempts)
    return LogLine(
        "request given up",
        {
            "request_id": request.arrival.request_id,
            "content": request.arrival.content,
            "route": request.route.name,
            "outcome": type(outcome).__name__,
            "reason": outcome.reason,
            "step": step,
            "peer": request.engine_id,
            "attempts": len(request.ended_attempts),
            "rejections": rejections,
            "waits": request.waits,
            "delivered": request.delivered,
            "time_left_ms": milliseconds(request.ends_at - now),
            "client_timeout_ms": milliseconds(request.arrival.time_left),
            "elapsed_ms": milliseconds(now - request.arrived_at),
            "objective_ms": milliseconds(request.route.objective),
            "admitted_version": request.admitted_version,
            **configuration_fields(known),
            "engines_known": engines_known,
            "engines_left_out": excluded,
            "list_age_ms": milliseconds(list_age),
        },
    )
