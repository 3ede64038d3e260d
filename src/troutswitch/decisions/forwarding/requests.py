"""Forwarded requests: their states, from arrival to the final answer.

The states of a request and the transitions between them:

    (arrived) -> PLACING    it was admitted, and an engine is being chosen
    (arrived) -> LOCATING   it resumes a stream, and the version that began it is being searched
    LOCATING  -> PLACING    the version is known, or any may continue the stream
    PLACING   -> RUNNING    it was assigned to an engine, and an attempt started
    RUNNING   -> PLACING    the attempt failed and may be repeated
    PLACING   -> WAITING    no engine can take it now, and it can't be refused any more; or it would
                            be late anyway, and others get the slots first
    RUNNING   -> WAITING    the same after a failed attempt
    RUNNING   -> COUNTING   the attempt may have run, and the next one is counted against the quota
    COUNTING  -> PLACING    it is inside the quota
    COUNTING  -> WAITING    it is above the quota
    WAITING   -> PLACING    after `CAPACITY_RETRY_SECONDS`
    any       -> finished   at most one `FinishRequest` is given, and the request is removed

If an engine reports that it did not run an attempt, another attempt may follow on any route. If an
attempt may have run, another follows only if the route allows repetition; on a resumable stream it
continues after the last complete event delivered. A stream, also one that a caller resumes,
continues only at engines of the software version that began it; if that is unknown or has no
engine, it ends.

This module handles the events and starts the transitions. `placing` handles requests in PLACING,
`open_requests` makes requests wait or ends them, `attempts` updates the counts at the engines. The
rules are in other modules: `arrivals` (which callers may send), `admission` (sent, delayed or
refused), `candidates`, `placement` and `placer` (which engine), `retry` (after a failure),
`engine_silence` (when an attempt is abandoned).
"""

import random
from typing import assert_never

from troutswitch.decisions.crashes.content import part_keys
from troutswitch.decisions.crashes.interface import NO_SUSPECTS, Suspects
from troutswitch.decisions.forwarding.admission import Admission
from troutswitch.decisions.forwarding.arrivals import Admitted, Arrivals, Refused
from troutswitch.decisions.forwarding.attempts import EngineAttempts
from troutswitch.decisions.forwarding.candidates import (
    candidate_engines,
    permitted_engines,
    reset_tried,
)
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engine_cost import SPEED_POLICIES
from troutswitch.decisions.forwarding.engine_silence import is_engine_silent
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.fleet_retry_credit import FleetRetryCredit
from troutswitch.decisions.forwarding.learned_times import LearnedTimes
from troutswitch.decisions.forwarding.log_events import (
    attempt_ended_line,
    caller_gone_line,
    silence_line,
)
from troutswitch.decisions.forwarding.messages import (
    AnswerBegun,
    CallerGone,
    RequestArrived,
    RequestAttemptEnded,
)
from troutswitch.decisions.forwarding.open_requests import (
    CRASHES_REASON,
    ORIGIN_UNKNOWN_REASON,
    SILENT_REASON,
    VERSION_GONE_REASON,
    Instructions,
    OpenRequests,
)
from troutswitch.decisions.forwarding.placement import POLICIES
from troutswitch.decisions.forwarding.placer import LocalPlacer, Placement, Placer
from troutswitch.decisions.forwarding.placing import RequestPlacing
from troutswitch.decisions.forwarding.request import ForwardedRequest, RequestState
from troutswitch.decisions.forwarding.retry import FailureAction, action_after_failure
from troutswitch.decisions.forwarding.routes import RouteTable, choose_service
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.forwarding.types import RouteKind
from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.limits import RetryBudget
from troutswitch.decisions.policies import DEFAULT_SPEED
from troutswitch.decisions.streams.interface import NO_ORIGINS, Origins
from troutswitch.decisions.streams.origin_records import Located, NoOriginNeeded, StreamOrigin
from troutswitch.decisions.streams.versions import service_key
from troutswitch.decisions.tenants.quota import QuotaCompletion, QuotaResult
from troutswitch.outcomes import NOT_EXECUTED_OUTCOMES, AttemptOutcome, NotRun, Step

SILENCE_CHECK_SECONDS = 0.1
"""Interval between checks for silent engines."""


class ForwardedRequests:
    """All requests that this daemon forwards."""

    def __init__(
        self,
        zone: str,
        routes: RouteTable,
        engines: EngineRegistry,
        rng: random.Random,
        policy: str,
        admission: str,
        suspects: Suspects = NO_SUSPECTS,
        speed: str = DEFAULT_SPEED,
        origins: Origins = NO_ORIGINS,
    ) -> None:
        self.arrivals = Arrivals(routes, suspects)
        self.times = RunTimes()
        self.speed = SPEED_POLICIES[speed](self.times, routes)
        self._engines = engines
        self._rng = rng
        self._suspects = suspects
        self._origins = origins
        self._open = OpenRequests(routes, engines, rng)
        self._attempts = EngineAttempts(engines, self.times, suspects, origins)
        self._admission = Admission(admission, self.times, rng)
        self._placing = RequestPlacing(
            self._open,
            routes,
            engines,
            self.arrivals.tenant_keys,
            self._admission,
            self._attempts,
            LocalPlacer(zone, POLICIES[policy](self.speed), self.times, rng, self.speed),
        )
        self.retry_credit = FleetRetryCredit(engines.is_paced)
        self._budget = RetryBudget(self.retry_credit.limits)
        self._check_silence_at = float("-inf")

    @property
    def requests(self) -> dict[int, ForwardedRequest]:
        """The requests without a final answer, by token."""
        return self._open.by_token

    @property
    def placer(self) -> Placer:
        """The placer in use; initially a `LocalPlacer`."""
        return self._placing.placer

    @placer.setter
    def placer(self, placer: Placer) -> None:
        self._placing.placer = placer

    # Arrival.

    def on_arrived(self, now: float, event: RequestArrived) -> Instructions:
        """Starts or refuses a request, unless its quota decision is pending."""
        ensure(event.token not in self.requests, "a request token is used twice")
        return self._on_arrival_decided(now, self.arrivals.on_arrived(now, event))

    def on_quota_decided(self, now: float, end: QuotaCompletion) -> Instructions:
        """Starts, refuses or continues a request, by the decision on its tenant's quota."""
        request = self.requests.get(end.token)
        if request is not None and request.state is RequestState.COUNTING:
            return self._on_counted(now, request, end.result, request.failure_reason)
        return self._on_arrival_decided(now, self.arrivals.on_quota_decided(now, end))

    def _on_arrival_decided(self, now: float, decided: Admitted | Refused | None) -> Instructions:
        match decided:
            case None:
                return []
            case Refused():
                return self._open.refuse(now, decided)
            case Admitted():
                return self._admit(now, decided)
            case _:
                assert_never(decided)

    def _admit(self, now: float, admitted: Admitted) -> Instructions:
        arrival, route = admitted.arrival, admitted.route
        tenant_priority = admitted.tenant.priority
        request = ForwardedRequest(
            arrival,
            route,
            choose_service(route, self._rng),
            deadline=min(now, arrival.read_at) + arrival.time_left,
            time_limit_at=now + route.time_limit,
            position=arrival.resume_after,
            crash_keys=(arrival.content, *part_keys(arrival.prompt)),
            tenant=admitted.tenant.name,
            admitted_version=admitted.version,
            quota=admitted.quota,
            quota_seconds=admitted.quota_seconds,
            priority=route.priority if tenant_priority is None else tenant_priority,
        )
        if arrival.resume_after and route.kind is RouteKind.STREAM:
            return self._locate(now, request)
        return self._placing.begin(now, request)

    # Resumed streams.

    def _locate(self, now: float, request: ForwardedRequest) -> Instructions:
        """Searches the version that began the stream which a request resumes."""
        request.state = RequestState.LOCATING
        self._open.add(request)
        arrival = request.arrival
        located = self._origins.locate(
            now,
            arrival.token,
            arrival.resumed_id,
            request.service,
            is_only_service=request.route.has_one_service,
        )
        return self.on_located(now, located) if located is not None else []

    def on_located(self, now: float, located: Located) -> Instructions:
        """Places a request that resumes a stream, or ends it if the origin is unknown."""
        request = self.requests.get(located.token)
        if request is None or request.state is not RequestState.LOCATING:
            return []
        match located.location:
            case None:
                return self._open.end_unanswered(now, request, ORIGIN_UNKNOWN_REASON, Step.ROUTE)
            case NoOriginNeeded():
                return self._placing.begin(now, request)
            case StreamOrigin() as origin:
                return self._continue_at(now, request, origin)
            case _:
                assert_never(located.location)

    def _continue_at(
        self, now: float, request: ForwardedRequest, origin: StreamOrigin
    ) -> Instructions:
        """Places a request at the service and the version that began its stream."""
        names = [backend.service for backend in request.route.backends]
        service = next((name for name in names if service_key(name) == origin.service), None)
        if service is None:
            return self._open.end_unanswered(now, request, VERSION_GONE_REASON, Step.ROUTE)
        request.service = service
        request.origin = origin.version
        return self._placing.begin(now, request)

    # Placement.

    def candidates(self, now: float, token: int) -> list[Engine]:
        """Returns the engines that a request may be sent to; none if the request has ended."""
        request = self.requests.get(token)
        return candidate_engines(now, request, self._engines) if request is not None else []

    def permitted(self, now: float, token: int) -> list[Engine]:
        """Returns the same with the engines that the request was sent to before."""
        request = self.requests.get(token)
        return permitted_engines(now, request, self._engines) if request is not None else []

    def on_placed(self, now: float, token: int, placement: Placement) -> Instructions:
        """Applies a placement that was decided later."""
        request = self.requests.get(token)
        if request is None or request.is_running or request.state is RequestState.LOCATING:
            return []
        return self._placing.on_placement(now, request, placement)

    def _retry_placement(self, now: float, request: ForwardedRequest) -> Instructions:
        request.state = RequestState.PLACING
        request.retry_at = float("inf")
        reset_tried(now, request, self._engines)
        return self._try_another_engine(now, request, "no room came in time")

    # Attempts.

    def _find_attempt(self, token: int, attempt: int) -> ForwardedRequest | None:
        """Returns the request of an attempt; None if the attempt was aborted or abandoned."""
        request = self.requests.get(token)
        if request is None or not request.is_running or request.attempt != attempt:
            return None
        return request

    def on_answer_begun(self, now: float, event: AnswerBegun) -> Instructions:
        """Handles the head of an answer."""
        request = self._find_attempt(event.token, event.attempt)
        if request is not None:
            self._attempts.on_answer_begun(now, request, event)
        return []

    def on_attempt_ended(self, now: float, event: RequestAttemptEnded) -> Instructions:
        """Handles the end of an attempt.

        Removes the request if the attempt completed; otherwise retries or ends it (see `retry`).
        """
        request = self._find_attempt(event.token, event.attempt)
        if request is None:
            return []
        self._attempts.on_ended(now, request, event)
        line = attempt_ended_line(now, request, event)
        if event.kind is not AttemptOutcome.COMPLETED:
            return [line, *self._after_failure(now, request, event)]
        self._budget.on_success(request.service)
        self._open.remove(request)
        return [line]

    def _after_failure(
        self, now: float, request: ForwardedRequest, event: RequestAttemptEnded
    ) -> Instructions:
        may_have_run = event.kind not in NOT_EXECUTED_OUTCOMES
        request.needs_retry_budget |= may_have_run
        request.needs_quota |= may_have_run
        awaits_report = may_have_run and self._suspects.awaits_crash_report(request.crash_keys)
        action = action_after_failure(
            now,
            request,
            event,
            awaits_crash_report=awaits_report,
            has_untried=self._engines.has_untried(now, request.service, request.tried),
        )
        match action:
            case FailureAction.RELAY_ANSWER:
                return self._open.relay_answer(request, event)
            case FailureAction.END:
                is_unproved = event.answer is not None and bool(event.answer.defect)
                return self._open.end_unanswered(
                    now, request, event.reason, Step.RELAY, is_unproved=is_unproved
                )
            case FailureAction.AWAIT_CRASH_REPORT:
                return self._open.wait_or_end(now, request, CRASHES_REASON, Step.DISPATCH)
            case FailureAction.AWAIT_CAPACITY:
                return self._open.wait_or_end(now, request, event.reason, Step.DISPATCH)
            case FailureAction.TRY_ANOTHER_ENGINE:
                return self._try_another_engine(now, request, event.reason)
            case _:
                assert_never(action)

    def _try_another_engine(
        self, now: float, request: ForwardedRequest, reason: str
    ) -> Instructions:
        """Places a request again.

        If its last attempt may have run, this counts against the quota, and takes from the retry
        budget. If one of the two is spent, the request waits or ends.
        """
        if request.needs_quota:
            return self._count_attempt(now, request, reason)
        if request.needs_retry_budget and not self._budget.take(request.service):
            reason = f"{reason}; retry budget spent"
            return self._open.wait_or_end(now, request, reason, Step.DISPATCH)
        request.needs_retry_budget = False
        return self._placing.place(now, request, reason)

    def _count_attempt(self, now: float, request: ForwardedRequest, reason: str) -> Instructions:
        """Counts the next attempt of a request against its tenant's quota."""
        token = request.arrival.token
        result = self.arrivals.count_further_attempt(now, token, request.tenant)
        if result is None:
            request.state = RequestState.COUNTING
            request.failure_reason = reason
            return []
        return self._on_counted(now, request, result, reason)

    def _on_counted(
        self, now: float, request: ForwardedRequest, result: QuotaResult, reason: str
    ) -> Instructions:
        """Continues a request whose next attempt was counted."""
        if not result.is_allowed:
            return self._open.wait_for_quota(now, request, result.wait)
        request.needs_quota = False
        return self._try_another_engine(now, request, reason)

    def _abandon_engine(self, now: float, request: ForwardedRequest) -> Instructions:
        abort = self._attempts.abandon(now, request)
        line = silence_line(now, request)
        request.needs_retry_budget = True
        request.needs_quota = True
        return [abort, line, *self._try_another_engine(now, request, SILENT_REASON)]

    def _cancel(
        self, now: float, request: ForwardedRequest, *, is_silent: bool = False
    ) -> Instructions:
        """Aborts the attempt in flight, or withdraws the pending placement."""
        if request.is_running:
            return [self._attempts.abort(now, request, is_silent=is_silent)]
        if request.state is RequestState.COUNTING:
            self.arrivals.quota.withdraw(request.arrival.token)
            return []
        self._origins.withdraw(request.arrival.token)
        self.placer.withdraw(now, request.arrival.token)
        return []

    def on_caller_gone(self, now: float, event: CallerGone) -> Instructions:
        """Ends a request whose caller closed its connection, and aborts its attempt."""
        request = self.requests.get(event.token)
        if request is None:
            return self._withdraw_arrival(now, event)
        line = caller_gone_line(now, request, event)
        cancelled = self._cancel(now, request)
        return [
            line,
            *cancelled,
            *self._open.end_unanswered(now, request, "caller went away", Step.RELAY),
        ]

    def _withdraw_arrival(self, now: float, event: CallerGone) -> Instructions:
        """Ends a request whose caller disconnected while its quota decision was pending."""
        arrival = self.arrivals.withdraw(event.token)
        if arrival is None:
            return []
        return self._open.refuse(now, Refused(arrival, NotRun("caller went away", Step.ADMIT)))

    def end_refused_for_crashes(self, now: float) -> Instructions:
        """Ends open requests, in any state, that are now refused for crashes.

        When the crash becomes known that decides it, such a request may be waiting, in transit, or
        queued at an engine. If it continued, it would crash another engine.
        """
        refused = self._suspects.refused
        instructions: Instructions = []
        open_requests = list(self.requests.values())
        for request in [r for r in open_requests if not refused.isdisjoint(r.crash_keys)]:
            instructions += self._cancel(now, request)
            instructions += self._open.end_unanswered(now, request, CRASHES_REASON, Step.DISPATCH)
        return instructions

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` must be called next, on this process's clock."""
        if not self.requests:
            return float("inf")
        return min(self._check_silence_at, min(r.due_at for r in self.requests.values()))

    def on_timer(self, now: float) -> Instructions:
        """Ends expired requests, retries placements, and abandons attempts at silent engines."""
        instructions: Instructions = []
        for request in [r for r in self.requests.values() if r.ends_at <= now]:
            instructions += self._time_out(now, request)
        for request in [r for r in self.requests.values() if r.retry_at <= now]:
            instructions += self._retry_placement(now, request)
        if now >= self._check_silence_at:
            self._check_silence_at = now + SILENCE_CHECK_SECONDS
            for request in [r for r in self.requests.values() if self._is_silent(now, r)]:
                instructions += self._abandon_engine(now, request)
        return instructions

    def _time_out(self, now: float, request: ForwardedRequest) -> Instructions:
        at_limit = request.time_limit_at <= request.deadline
        reason = "route's time limit reached" if at_limit else "deadline reached"
        cancelled = self._cancel(now, request, is_silent=True)
        return cancelled + self._open.end_unanswered(now, request, reason, Step.RELAY)

    def _is_silent(self, now: float, request: ForwardedRequest) -> bool:
        engine = self._engines.engines.get(request.engine_id)
        return request.is_running and is_engine_silent(now, request, engine)

    # Learned times, which outlive the process.

    def learned_times(self) -> LearnedTimes:
        """Returns the run times and client timeouts of this daemon, for daemons that start."""
        return LearnedTimes(self.times.snapshot(), self._admission.client_timeouts())

    def merge(self, learned_times: LearnedTimes) -> None:
        """Merges run times and client timeouts of another daemon into those of this one."""
        self.times.merge(learned_times.times)
        self._admission.merge(learned_times.client_timeouts)

    def validate(self) -> None:
        """Checks the invariants that hold between events."""
        for token, request in self.requests.items():
            ensure(token == request.arrival.token, "a request is kept under another token")
            attempts = len(request.ended_attempts) + request.is_running
            ensure(request.attempt == attempts, "an attempt of a request is not accounted for")
            is_waiting = request.state is RequestState.WAITING
            has_retry_time = request.retry_at < float("inf")
            ensure(is_waiting == has_retry_time, "a request's state does not match its retry time")
