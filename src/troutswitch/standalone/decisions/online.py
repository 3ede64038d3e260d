"""Online requests: admission, claims, attempts, resumption and the final answer.

The states of a request and the transitions between them:

    CLAIMING -> WAITING   the claim was read back as the first of its key
    WAITING  -> RUNNING   an engine was chosen and an attempt started
    RUNNING  -> WAITING   the attempt failed and may be repeated
    WAITING  -> WAITING   no engine can accept the request, which can no longer be refused
    any      -> finished  exactly one `FinishOnline` is emitted and the request is removed
"""

import heapq
import random
from collections.abc import Callable

from troutswitch.decisions.forwarding.retry import CAPACITY_RETRY_SECONDS
from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.limits import RetryBudget
from troutswitch.outcomes import (
    NOT_EXECUTED_OUTCOMES,
    AttemptOutcome,
    Completed,
    MayHaveRun,
    NotRun,
    OnlineOutcome,
    Step,
    failure_outcome,
)
from troutswitch.standalone.constants import (
    INITIAL_RETRY_SECONDS,
    RETRY_AFTER_SECONDS,
)
from troutswitch.standalone.daemons.messages import OnlineNotice
from troutswitch.standalone.decisions.admission_control import AdmissionControl
from troutswitch.standalone.decisions.configuration.follower import ConfigurationFollower
from troutswitch.standalone.decisions.configuration.keys import ServingPolicy
from troutswitch.standalone.decisions.effects import (
    CancelAttempt,
    Effect,
    FinishOnline,
    SendDatagram,
    StartOnlineAttempt,
)
from troutswitch.standalone.decisions.engines import Engine, EngineRegistry
from troutswitch.standalone.decisions.events import (
    OnlineAbandoned,
    OnlineArrived,
    OnlineAttemptEnded,
    OnlineFirstToken,
)
from troutswitch.standalone.decisions.membership import Membership
from troutswitch.standalone.decisions.online_request import (
    OnlineCounts,
    OnlineRequest,
    RequestState,
    end_log_event,
)
from troutswitch.standalone.decisions.routing import Router

PROBE_SECONDS = 2.0
"""Maximum time a request waits for the answers of polled engines."""


ClaimFunction = Callable[[float, OnlineArrived, ServingPolicy], list[Effect]]
StewardOf = Callable[[str], str | None]


class OnlineRequests:
    """All online requests of this daemon."""

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationFollower,
        engines: EngineRegistry,
        rng: random.Random,
        claim: ClaimFunction,
        steward_of: StewardOf,
    ) -> None:
        self.requests: dict[str, OnlineRequest] = {}
        self.counts = OnlineCounts()
        self.is_draining = False
        self._membership = membership
        self._configuration = configuration
        self._engines = engines
        self._rng = rng
        self._claim = claim
        self._steward_of = steward_of
        self._router = Router(membership.zone, rng)
        self._admission = AdmissionControl()
        self._budget = RetryBudget()
        self._attempt_count = 0
        self._wakeups: list[tuple[float, str]] = []
        self._awaiting_probes: dict[str, None] = {}
        engines.add_load_hook(self._on_engine_polled)

    # Arrival.

    def on_arrived(self, now: float, event: OnlineArrived) -> list[Effect]:
        """Admits and starts a request, or refuses it immediately."""
        self.counts.arrived += 1
        self._engines.on_service_used(now, event.service)
        refusal = self._refusal_for(now, event)
        if refusal is not None:
            self.counts.refused += 1
            return [FinishOnline(event.request_id, refusal)]
        ensure(event.request_id not in self.requests, "a request id is used twice")
        policy = self._configuration.policy(event.service, event.tenant)
        request = OnlineRequest(event, policy)
        self.requests[event.request_id] = request
        if event.once_key:
            request.state = RequestState.CLAIMING
            self._wake_up_at(request, event.deadline)
            return self._claim(now, event, policy)
        return self._dispatch(now, request)

    def _refusal_for(self, now: float, event: OnlineArrived) -> NotRun | None:
        if self.is_draining:
            return NotRun("daemon is stopping", Step.DRAIN, "", RETRY_AFTER_SECONDS)
        if not self._configuration.is_ready:
            return NotRun("no configuration yet", Step.ADMIT, "", RETRY_AFTER_SECONDS)
        policy = self._configuration.policy(event.service, event.tenant)
        daemons = len(self._membership.serving_names())
        return self._admission.admit(now, event.tenant, policy, daemons)

    def on_claimed(self, now: float, request_id: str) -> list[Effect]:
        """Dispatches a request whose claim is the first of its key."""
        request = self.requests.get(request_id)
        if request is None or request.state is not RequestState.CLAIMING:
            return []
        request.state = RequestState.WAITING
        return self._dispatch(now, request)

    def on_claim_failed(
        self, now: float, request_id: str, outcome: NotRun | MayHaveRun
    ) -> list[Effect]:
        """Finishes a request whose claim was refused or not read back in time."""
        request = self.requests.get(request_id)
        if request is None or request.state is not RequestState.CLAIMING:
            return []
        return self._finish(now, request, outcome)

    # Dispatch.

    def _dispatch(self, now: float, request: OnlineRequest) -> list[Effect]:
        ensure(request.state is RequestState.WAITING, "dispatch of a request that is not waiting")
        event = request.arrival
        if now >= event.deadline:
            return self._give_up(now, request, "deadline passed", Step.ROUTE)
        candidates = self._candidates(now, request)
        fresh = [engine for engine in candidates if self._engines.is_fresh(now, engine)]
        resume_engine = self._resume_target(fresh, request)
        gateways = len(self._membership.serving_names())
        engine = resume_engine or self._router.choose(
            request.policy.routing_policy, event.prefix, fresh, gateways
        )
        if engine is not None:
            return self._start_attempt(now, request, engine)
        if candidates and not request.probes_sent:
            return self._probe(now, request, candidates)
        if now < request.probe_deadline and any(engine.is_polling for engine in candidates):
            self._awaiting_probes[event.request_id] = None
            return []  # other polled engines may still answer
        reason = "no engine can take the request now"
        return self._wait_or_give_up(now, request, reason, Step.ROUTE)

    def _candidates(self, now: float, request: OnlineRequest) -> list[Engine]:
        usable = self._engines.usable(now, request.arrival.service)
        max_queue = request.policy.engine_queue_most
        return [
            engine
            for engine in usable
            if engine.name not in request.refused_by
            and engine.online_load < engine.slots + max_queue
        ]

    def _resume_target(self, fresh: list[Engine], request: OnlineRequest) -> Engine | None:
        """Returns the engine whose first attempt was cut, if it can resume the answer."""
        if request.position == 0 or len(request.attempts) != 1:
            return None
        return next((e for e in fresh if e.name == request.last_engine), None)

    def _probe(self, now: float, request: OnlineRequest, candidates: list[Engine]) -> list[Effect]:
        """Polls candidate engines that are not fresh before sending work to one of them."""
        request.probes_sent = True
        self._awaiting_probes[request.arrival.request_id] = None
        request.probe_deadline = min(request.arrival.deadline, now + PROBE_SECONDS)
        self._wake_up_at(request, request.probe_deadline)
        effects: list[Effect] = []
        for engine in candidates[:4]:
            effects.extend(self._engines.poll(now, engine))
        return effects

    def _on_engine_polled(self, now: float, name: str) -> list[Effect]:
        """Dispatches the requests that waited for the answer of an engine."""
        engine = self._engines.engines.get(name)
        if engine is None or not self._engines.is_fresh(now, engine):
            return []
        effects: list[Effect] = []
        for request_id in list(self._awaiting_probes):
            request = self.requests.get(request_id)
            if request is None or request.state is not RequestState.WAITING:
                del self._awaiting_probes[request_id]
            elif request.arrival.service == engine.service:
                del self._awaiting_probes[request_id]
                effects.extend(self._dispatch(now, request))
        return effects

    def _start_attempt(self, now: float, request: OnlineRequest, engine: Engine) -> list[Effect]:
        event = request.arrival
        ensure(request.may_be_sent, "a request not to be repeated is sent again")
        self._attempt_count += 1
        self.counts.attempts += 1
        request.state = RequestState.RUNNING
        request.sent_at = now
        request.attempt_id = f"{self._membership.name}-{event.request_id}-{self._attempt_count}"
        request.engine = engine.name
        self._wake_up_at(request, event.deadline)
        self._engines.on_sent(now, engine)
        start = StartOnlineAttempt(
            event.request_id,
            request.attempt_id,
            engine.name,
            engine.address,
            engine.incarnation,
            request.position,
            event.deadline - now,
        )
        return [start, *self._notify_steward(engine)]

    def _notify_steward(self, engine: Engine) -> list[Effect]:
        steward = self._steward_of(engine.name)
        address = self._membership.address_of(steward) if steward is not None else None
        if address is None:
            return []
        notice = OnlineNotice(self._membership.name, engine.name, 1)
        return [SendDatagram(address, notice)]

    # End of an attempt.

    def on_first_token(self, now: float, event: OnlineFirstToken) -> list[Effect]:
        """Records that the engine has started to answer, which shows that it is alive."""
        request = self.requests.get(event.request_id)
        if request is None or request.attempt_id != event.attempt_id:
            return []
        engine = self._engines.engines.get(request.engine)
        if engine is None:
            return []
        return self._engines.on_response_started(now, engine, request.sent_at, event.leaving)

    def on_attempt_ended(self, now: float, event: OnlineAttemptEnded) -> list[Effect]:
        """Finishes the request, or retries it if that is allowed."""
        request = self.requests.get(event.request_id)
        if request is None or request.attempt_id != event.attempt_id:
            return []  # late end of an attempt that was abandoned
        effects = self._update_engine(now, request, event)
        request.attempts.append(event.kind)
        request.position = event.position
        request.last_engine = request.engine
        if event.kind is AttemptOutcome.COMPLETED:
            self._budget.on_success(request.arrival.service)
            return effects + self._finish(now, request, Completed(event.position))
        if event.kind is AttemptOutcome.REJECTED:
            rejected = NotRun(event.reason, Step.DISPATCH, request.engine, None, 400)
            return effects + self._finish(now, request, rejected)
        if event.kind is not AttemptOutcome.CUT:
            request.refused_by.add(request.engine)
        if event.retry_after is not None:
            request.retry_after = event.retry_after
        return effects + self._retry(now, request, event.reason)

    def _update_engine(
        self, now: float, request: OnlineRequest, event: OnlineAttemptEnded
    ) -> list[Effect]:
        engine = self._engines.engines.get(request.engine)
        if engine is None:
            return []
        answered = event.kind not in (AttemptOutcome.CUT, AttemptOutcome.UNREACHABLE)
        self._engines.on_attempt_ended(now, engine, answered)
        if event.leaving:
            return self._engines.mark_leaving(now, engine.name, engine.incarnation)
        return []

    def _retry(self, now: float, request: OnlineRequest, reason: str) -> list[Effect]:
        if not request.may_be_sent:
            return self._give_up(now, request, reason, Step.RELAY)
        if request.runs >= request.policy.attempts_most:
            return self._give_up(now, request, reason, Step.DISPATCH)
        last = request.attempts[-1]
        request.needs_retry_credit |= last not in NOT_EXECUTED_OUTCOMES or request.runs == 0
        if len(request.attempts) >= request.policy.attempts_most:
            return self._wait_or_give_up(now, request, reason, Step.DISPATCH)
        if not self._spend_retry_credit(request):
            reason = f"{reason}; retry budget spent"
            return self._wait_or_give_up(now, request, reason, Step.DISPATCH)
        request.state = RequestState.WAITING
        request.probes_sent = False
        delay = INITIAL_RETRY_SECONDS * 2 ** (len(request.attempts) - 1)
        self._wake_up_at(request, now + delay * self._rng.uniform(0.5, 1.5))
        if last in (AttemptOutcome.REFUSED, AttemptOutcome.UNREACHABLE):
            return self._dispatch(now, request)
        return []

    def _spend_retry_credit(self, request: OnlineRequest) -> bool:
        """Spends retry credit if the next attempt needs it; returns False if there is none."""
        if not request.needs_retry_credit:
            return True
        if not self._budget.take(request.arrival.service):
            return False
        request.needs_retry_credit = False
        self.counts.retries += 1
        return True

    def _wait_or_give_up(
        self, now: float, request: OnlineRequest, reason: str, step: Step
    ) -> list[Effect]:
        """Schedules another dispatch, or finishes the request, if no engine can accept it.

        A request that has not run is refused immediately with a retry time. A request that
        may have run, or was partly delivered, could only be cut, although full engines often
        have a free slot shortly after. It is dispatched again until its deadline.
        """
        is_expired = now >= request.arrival.deadline
        if is_expired or request.runs == 0 or not request.may_be_sent:
            return self._give_up(now, request, reason, step)
        request.state = RequestState.WAITING
        request.probes_sent = False
        request.refused_by.clear()
        self._wake_up_at(request, min(request.arrival.deadline, now + CAPACITY_RETRY_SECONDS))
        return []

    def on_abandoned(self, now: float, event: OnlineAbandoned) -> list[Effect]:
        """Cancels the attempt and finishes a request whose caller disconnected."""
        request = self.requests.get(event.request_id)
        if request is None:
            return []
        effects = self._cancel_running(now, request)
        return effects + self._give_up(now, request, "caller went away", Step.RELAY)

    def _cancel_running(self, now: float, request: OnlineRequest) -> list[Effect]:
        if request.state is not RequestState.RUNNING:
            return []
        request.attempts.append(AttemptOutcome.CANCELLED)
        engine = self._engines.engines.get(request.engine)
        if engine is None:
            return []
        engine.online_in_flight = max(0, engine.online_in_flight - 1)
        return [CancelAttempt(request.attempt_id, engine.address)]

    # Timers.

    def next_due(self) -> float:
        """Returns the time of the next wakeup."""
        return self._wakeups[0][0] if self._wakeups else float("inf")

    def on_timer(self, now: float) -> list[Effect]:
        """Retries the requests that are due and ends those whose deadline has passed."""
        effects: list[Effect] = []
        while self._wakeups and self._wakeups[0][0] <= now:
            at, request_id = heapq.heappop(self._wakeups)
            request = self.requests.get(request_id)
            if request is not None and request.wake_at == at:
                effects.extend(self._on_wakeup(now, request))
        return effects

    def _wake_up_at(self, request: OnlineRequest, at: float) -> None:
        request.wake_at = at
        heapq.heappush(self._wakeups, (at, request.arrival.request_id))

    def _on_wakeup(self, now: float, request: OnlineRequest) -> list[Effect]:
        match request.state:
            case RequestState.WAITING if self._spend_retry_credit(request):
                return self._dispatch(now, request)
            case RequestState.WAITING:
                reason = "retry budget spent"
                return self._wait_or_give_up(now, request, reason, Step.DISPATCH)
            case RequestState.RUNNING:
                effects = self._cancel_running(now, request)
                return effects + self._give_up(now, request, "deadline passed", Step.RELAY)
            case RequestState.CLAIMING:
                outcome = MayHaveRun("claim not read back in time", Step.CLAIM, "log")
                return self._finish(now, request, outcome)

    # Final answer.

    def _give_up(self, now: float, request: OnlineRequest, reason: str, step: Step) -> list[Effect]:
        outcome = failure_outcome(
            request.attempts,
            request.position,
            reason,
            step,
            request.engine,
            request.retry_after,
        )
        return self._finish(now, request, outcome)

    def _finish(self, now: float, request: OnlineRequest, outcome: OnlineOutcome) -> list[Effect]:
        if isinstance(outcome, NotRun):
            ran = [kind for kind in request.attempts if kind not in NOT_EXECUTED_OUTCOMES]
            ensure(not ran and request.position == 0, "not run is said of a request that ran")
            self.counts.refused += 1
        if isinstance(outcome, Completed):
            self.counts.completed += 1
        del self.requests[request.arrival.request_id]
        self._admission.release(request.arrival.tenant)
        return [FinishOnline(request.arrival.request_id, outcome), end_log_event(request, outcome)]
