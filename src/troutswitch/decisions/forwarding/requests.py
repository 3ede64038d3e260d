"""Forwarded requests: route, attempts, repetition and the final answer.

A request's states and the moves between them:

    (arrived) -> PLACING    a route was found, and a place is asked for
    PLACING   -> RUNNING    a place was found, and an attempt started
    RUNNING   -> PLACING    the attempt failed and may be repeated
    PLACING   -> WAITING    no engine can take it now, and it can't be refused any more, or
                            it is late anyway and leaves the slots to others
    WAITING   -> PLACING    after `ROOM_WAIT_SECONDS`
    any       -> finished   at most one `FinishRequest` is given, the request forgotten

An attempt that the engine says it did not run may be followed by another one on any
route. One that may have run is followed only where the route allows repetition, and on
a resumable stream the next one goes on after the last whole event delivered.
"""

import random
from dataclasses import replace

from troutswitch.decisions.crashes.interface import NO_SUSPECTS, Suspects
from troutswitch.decisions.forwarding.admission import (
    ADMISSION_POLICIES,
    AdmissionPolicy,
    AdmissionRequest,
    Deferral,
)
from troutswitch.decisions.forwarding.arrivals import Admitted, Arrivals, Refused
from troutswitch.decisions.forwarding.engines import Engine, EngineRegistry, RequestSize
from troutswitch.decisions.forwarding.experience import Experience
from troutswitch.decisions.forwarding.log_events import (
    line_of_deferral,
    line_of_end,
    line_of_give_up,
    line_of_gone_caller,
    line_of_refusal,
    line_of_silence,
    line_of_start,
    line_of_wait,
)
from troutswitch.decisions.forwarding.long_prompts import expected_prefill
from troutswitch.decisions.forwarding.messages import (
    AbortAttempt,
    AnswerBegun,
    CallerGone,
    FinishRequest,
    ForwardingInstruction,
    RequestArrived,
    RequestAttemptEnded,
    SendRequest,
    SlotWanted,
)
from troutswitch.decisions.forwarding.placement import POLICIES
from troutswitch.decisions.forwarding.placer import (
    AssignedBy,
    Assignment,
    LocalPlacer,
    NoEngine,
    NoSlotInTime,
    Placement,
    PlacementRequest,
    Placer,
)
from troutswitch.decisions.forwarding.request import ForwardedRequest
from troutswitch.decisions.forwarding.routes import RouteTable, choose_service
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.limits import RetryBudget
from troutswitch.decisions.tenants.quota import QuotaEnd
from troutswitch.outcomes import (
    RAN_NOTHING,
    AttemptKind,
    MayHaveRun,
    NotRun,
    Step,
    conclude,
)

ROOM_WAIT_SECONDS = 0.1
"""Time after which a request that can't be refused any more, and that no engine could take, is
offered again. Engines that are full have a free slot about so soon."""
RETRY_AFTER_FIRST_SECONDS = 0.1
"""Least time after which a refused caller is asked to come back."""
RETRY_AFTER_SPREAD_SECONDS = 0.2
"""Random part of that time, so that callers do not come back together."""
LOOK_SECONDS = 0.1
"""Interval between looks for engines that fell silent."""
TIME_LEFT_LEAST_SECONDS = 0.05
"""Time left below which a request is not sent any more."""
FULL_SECONDS = 0.15
"""Time for which an engine that rejected a request as full is left out."""
ENGINE_REJECTIONS_MOST = 3
"""Engines that may reject one request unrun before the caller is told to come back."""
FAILED_STATUS_LEAST = 300
"""Least status of a whole answer that doesn't show that an engine ran the request to its end."""
HELD_SHARE = 1 / 3
"""Share of the time that its caller gave for which a late request is held at most, and then
sent whatever the wait: callers without any event leave after about half of their time (2.4
to 2.5 s of 5 s; 18 of 2,594 did on two days on which requests were held without this)."""
LAST_CALL_SECONDS = 0.5
"""Time before the last moment at which a held request can still be served, at which it is
sent whatever the wait: what the estimate of the wait may be off by."""

Instructions = list[ForwardingInstruction]


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
    ) -> None:
        self.requests: dict[int, ForwardedRequest] = {}
        self._routes = routes
        self._engines = engines
        self._rng = rng
        self._suspects = suspects
        self.arrivals = Arrivals(routes, suspects)
        self._admission: AdmissionPolicy = ADMISSION_POLICIES[admission]()
        self.times = RunTimes()
        self._zone = zone
        self.placer: Placer = LocalPlacer(zone, POLICIES[policy](), self.times, rng)
        self._budget = RetryBudget()
        self._look_at = float("-inf")

    # Arrival.

    def on_arrived(self, now: float, event: RequestArrived) -> Instructions:
        """Starts a request, or gives the final answer at once; waits if its quota is asked for."""
        ensure(event.token not in self.requests, "a request token is used twice")
        return self._begin(now, self.arrivals.on_arrived(now, event))

    def on_counted(self, now: float, end: QuotaEnd) -> Instructions:
        """Takes the word on a request's quota."""
        return self._begin(now, self.arrivals.on_counted(now, end))

    def _begin(self, now: float, decided: Admitted | Refused | None) -> Instructions:
        if decided is None:
            return []
        if isinstance(decided, Refused):
            line = line_of_refusal(decided, self._routes.version)
            return [FinishRequest(decided.arrival.token, decided.refusal), line]
        event, route = decided.arrival, decided.route
        request = ForwardedRequest(
            event,
            route,
            choose_service(route, self._rng),
            min(now, event.read_at) + event.time_left,
            now + route.time_limit,
            position=event.resume_after,
            tenant=decided.tenant.name,
        )
        request.longest_wait = self._longest_wait(request)
        self.requests[event.token] = request
        return self._dispatch(now, request, "no server can take the request now")

    def _longest_wait(self, request: ForwardedRequest) -> float:
        route = request.route
        asked = AdmissionRequest(
            route.name,
            route.objective,
            request.arrival.time_left,
            bool(request.arrival.resume_after),
        )
        return self._admission.longest_wait(asked, self.times.of(request.service))

    def _hold_or_defer(
        self, now: float, request: ForwardedRequest, found: NoSlotInTime
    ) -> Instructions:
        """A request that would be late waits for a free slot while it can be served."""
        held = self.times.of(request.service).held
        spare = request.ends_at - now - held - found.estimate.wait
        if not self._admission.holds_late or spare < 0:
            return self._defer(now, request, found)
        waits_until = request.arrived_at + request.arrival.time_left * HELD_SHARE
        if spare < LAST_CALL_SECONDS or now >= waits_until:
            request.longest_wait = float("inf")
            return self._dispatch(now, request, "no server can take the request now")
        return self._hold(now, request)

    def _hold(self, now: float, request: ForwardedRequest) -> Instructions:
        """Has a late request wait for a slot that is free; the first wait is logged."""
        was_held, request.is_held = request.is_held, True
        request.longest_wait = 0.0
        request.is_placing = True
        request.waits_until = now + ROOM_WAIT_SECONDS
        return [] if was_held else [line_of_wait(now, request, "all servers would answer late")]

    def _defer(self, now: float, request: ForwardedRequest, found: NoSlotInTime) -> Instructions:
        """Asks the caller to come back: the request was not sent anywhere."""
        ensure(not request.kinds, "a request that was sent is deferred")
        del self.requests[request.arrival.token]
        time_left = request.arrival.time_left
        estimate = replace(found.estimate, held=self.times.of(request.service).held)
        come_back = self._admission.come_back(now, time_left, estimate, self._rng)
        deferral = Deferral(come_back, estimate)
        reason = "all servers would answer late"
        refusal = NotRun(reason, Step.ADMIT, "", deferral.come_back)
        return [
            FinishRequest(request.arrival.token, refusal),
            line_of_deferral(now, request, deferral, self.times.of(request.service)),
        ]

    def experience(self) -> Experience:
        """Returns what was learnt here and may be of use to a daemon that starts."""
        patience = {name: round(most * 1000) for name, most in self._admission.patience.items()}
        return Experience(self.times.learnt(), patience)

    def begin_with(self, experience: Experience) -> None:
        """Takes what another daemon learnt of what is not known here."""
        self.times.begin_with(experience.times)
        patience = self._admission.patience
        for name, most in experience.patience.items():
            patience[name] = max(patience.get(name, 0.0), most / 1000)

    # Dispatch.

    def _dispatch(self, now: float, request: ForwardedRequest, reason: str) -> Instructions:
        left = request.ends_at - now
        if left < TIME_LEFT_LEAST_SECONDS:
            return self._give_up(now, request, "time ran out", Step.DISPATCH)
        candidates = self._candidates(now, request)
        if not candidates:
            return self._wait_or_give_up(now, request, reason, Step.ROUTE)
        request.is_placing = True
        longest_wait = request.longest_wait if not request.kinds else float("inf")
        wish = PlacementRequest(
            request.arrival.token, request.service, request.arrival.prompt, longest_wait
        )
        found = self.placer.place(now, wish, candidates)
        return self._take_place(now, request, found) if found is not None else []

    def on_placed(self, now: float, token: int, found: Placement) -> Instructions:
        """A place that was asked for was found, or there is none in time."""
        request = self.requests.get(token)
        if request is None or not request.is_placing:
            return []
        return self._take_place(now, request, found)

    def _take_place(self, now: float, request: ForwardedRequest, found: Placement) -> Instructions:
        ensure(request.waits_until == float("inf"), "a waiting request is given a place")
        request.is_placing = False
        if isinstance(found, NoSlotInTime):
            return self._hold_or_defer(now, request, found)
        if isinstance(found, NoEngine):
            reason = "no server can take the request now"
            return self._wait_or_give_up(now, request, reason, Step.ROUTE)
        if request.ends_at - now < TIME_LEFT_LEAST_SECONDS:
            return self._give_up(now, request, "time ran out", Step.DISPATCH)
        refusal = self._identify_again(request)
        if refusal is not None:
            return self._refuse_late(now, request, refusal)
        return self._start(now, request, found)

    def _identify_again(self, request: ForwardedRequest) -> NotRun | None:
        """Looks at the caller's key once more before its request is first sent.

        Guards against a key that was taken away, or given to another tenant, while the request
        waited. One that was sent already goes on: its caller had the right to it.
        """
        if request.kinds:
            return None
        tenant = self.arrivals.callers.identify(request.arrival.caller_key, request.route)
        if isinstance(tenant, NotRun):
            return tenant
        request.tenant = tenant.name
        return None

    def _refuse_late(self, now: float, request: ForwardedRequest, refusal: NotRun) -> Instructions:
        del self.requests[request.arrival.token]
        return self._begin(now, Refused(request.arrival, refusal, request.tenant))

    def _candidates(self, now: float, request: ForwardedRequest) -> list[Engine]:
        usable = self._engines.usable(now, request.service)
        untried = [s for s in usable if s.record.engine_id not in request.tried]
        return [s for s in untried if now >= s.full_until] or untried

    def candidates(self, now: float, token: int) -> list[Engine]:
        """Returns the engines that may take a request for which a place is sought."""
        request = self.requests.get(token)
        return self._candidates(now, request) if request is not None else []

    def _start(self, now: float, request: ForwardedRequest, place: Assignment) -> Instructions:
        engine = place.engine
        ensure(
            not request.runs or request.route.is_repeatable,
            "a request not to be repeated is sent again",
        )
        request.attempt += 1
        request.engine_id = engine.record.engine_id
        request.tried.add(engine.record.engine_id)
        request.began_at = float("inf")
        request.sent_at = now
        request.size = self._size(request, engine)
        request.waited = place.waits
        self._engines.on_sent(now, engine.record.engine_id, False, request.size)
        send = SendRequest(
            request.arrival.token,
            request.attempt,
            engine.record.engine_id,
            engine.record.address,
            request.ends_at - now,
            request.gap_wait(now),
            request.position,
            request.first_event_wait(now),
            now,
            request.tenant,
        )
        line = line_of_start(now, request, place, self._routes.version, self._engines.listed_at)
        makes_room = place.found_by is AssignedBy.COORDINATOR  # the coordinator did
        if makes_room or engine.in_flight(now) <= engine.slots or engine.batch() == 0:
            return [send, line]
        return [send, line, SlotWanted(engine.record.engine_id, request.arrival.request_id)]

    def _size(self, request: ForwardedRequest, engine: Engine) -> RequestSize:
        prompt = request.arrival.prompt
        engines = self._engines.of_service(request.service) or [engine]
        prefill = expected_prefill(prompt, engine, engines)
        return RequestSize(prompt.prompt_tokens + prompt.output_tokens_most, prefill)

    # Attempts.

    def on_answer_begun(self, now: float, event: AnswerBegun) -> Instructions:
        """The engine's first bytes came, a sign of life unless they are a rejection.

        Guards against the next life of an engine that ended: it rejects at the same address what
        was meant for the ended one, whose crash was taken back for that. On days with requests
        that end engines, the cause was free again within 3.6 s and reached engines 6 to 10 times
        past the bound (plays with logs of all daemons).
        """
        request = self.requests.get(event.token)
        if request is None or request.is_placing or request.attempt != event.attempt:
            return []
        if event.not_run:
            return []
        request.began_at = now
        self._engines.on_begun(request.engine_id, request.size)
        self._suspects.on_answered(now, request.engine_id, request.sent_at)
        if event.load is not None:
            self._engines.on_load(now, request.engine_id, event.load)
        return []

    def on_attempt_ended(self, now: float, event: RequestAttemptEnded) -> Instructions:
        """Forgets the request, or tries another engine where that is allowed."""
        request = self.requests.get(event.token)
        if request is None or request.is_placing or request.attempt != event.attempt:
            return []  # the end of an attempt that was given up
        self._account(now, request, event)
        if event.kind is AttemptKind.CUT and not event.has_answer:
            self._suspects.on_lost(now, request.arrival.content, request.engine_id)
        request.kinds.append(event.kind)
        request.position = event.position or request.position
        request.delivered = event.delivered
        if event.kind is AttemptKind.COMPLETED:
            self._budget.on_success(request.service)
            if event.status < FAILED_STATUS_LEAST:
                self._suspects.on_served(now, request.arrival.content)
            if event.delivered:
                self._learn_times(now, request)
            del self.requests[event.token]
            return [line_of_end(now, request, event)]
        return self._after_failure(now, request, event)

    def _learn_times(self, now: float, request: ForwardedRequest) -> None:
        """Learns from streams only: answers without events hold no slot for long."""
        if request.began_at > now:
            return  # its first bytes were not told
        first, total = request.began_at - request.sent_at, now - request.sent_at
        self.times.on_completed(request.service, first, total, waited=request.waited)

    def _account(self, now: float, request: ForwardedRequest, event: RequestAttemptEnded) -> None:
        failed = event.kind in (AttemptKind.CUT, AttemptKind.UNREACHABLE)
        self._end_at_engine(now, request, failed)
        if event.load is not None:
            self._engines.on_load(now, request.engine_id, event.load)
        if event.wrong_instance:
            self._engines.mark_draining(request.engine_id)
        engine = self._engines.engines.get(request.engine_id)
        if event.kind is AttemptKind.REFUSED and engine is not None:
            engine.full_until = now + FULL_SECONDS
        if event.kind is AttemptKind.REFUSED:
            request.rejected_by.add(request.engine_id)

    def _end_at_engine(self, now: float, request: ForwardedRequest, failed: bool) -> None:
        begun = request.began_at <= now
        self._engines.on_ended(
            now, request.engine_id, False, request.size, begun=begun, failed=failed
        )

    def _after_failure(
        self, now: float, request: ForwardedRequest, event: RequestAttemptEnded
    ) -> Instructions:
        line = line_of_end(now, request, event)
        if event.has_answer and not self._may_repeat_answered(request):
            del self.requests[request.arrival.token]
            passed = MayHaveRun(event.reason, Step.RELAY, request.engine_id)
            return [line, FinishRequest(request.arrival.token, passed, passes_on=True)]
        may_go_on = request.route.is_resumable or not request.delivered
        if request.runs and not (request.route.is_repeatable and may_go_on):
            return [line, *self._give_up(now, request, event.reason, Step.RELAY)]
        if request.runs >= request.route.attempts_most:
            return [line, *self._give_up(now, request, event.reason, Step.RELAY)]
        may_have_run = event.kind not in RAN_NOTHING
        request.owes_retry |= may_have_run
        if may_have_run and self._suspects.waits_for_word(request.arrival.content):
            reason = "servers ended under this request"
            return [line, *self._wait_or_give_up(now, request, reason, Step.DISPATCH)]
        if len(request.kinds) >= request.route.attempts_most + ENGINE_REJECTIONS_MOST:
            return [line, *self._wait_or_give_up(now, request, event.reason, Step.DISPATCH)]
        return [line, *self._try_again(now, request, event.reason)]

    def _try_again(self, now: float, request: ForwardedRequest, reason: str) -> Instructions:
        """Offers a request whose attempt failed to another engine.

        Only attempts that follow one that may have run are taken from the retry budget: the
        budget bounds work done twice, and an offer that was rejected was none.
        """
        if request.owes_retry and not self._budget.take(request.service):
            reason = f"{reason}; retry budget spent"
            return self._wait_or_give_up(now, request, reason, Step.DISPATCH)
        request.owes_retry = False
        return self._dispatch(now, request, reason)

    @staticmethod
    def _may_repeat_answered(request: ForwardedRequest) -> bool:
        return request.route.is_repeatable and request.runs < request.route.attempts_most

    # Waiting for room.

    def _wait_or_give_up(
        self, now: float, request: ForwardedRequest, reason: str, step: Step
    ) -> Instructions:
        """No engine can take the request now: it waits if it can't be refused."""
        if not request.may_wait_for_room or request.ends_at - now < TIME_LEFT_LEAST_SECONDS:
            return self._give_up(now, request, reason, step)
        request.is_placing = True
        request.waits_until = now + ROOM_WAIT_SECONDS
        request.waits += 1
        return [line_of_wait(now, request, reason)] if request.waits == 1 else []

    def _offer_again(self, now: float, request: ForwardedRequest) -> Instructions:
        """Offers a request that waited for room to the engines that rejected it.

        Where there are none left, also to those that broke off or fell silent.
        """
        request.waits_until = float("inf")
        request.tried -= request.rejected_by
        request.rejected_by.clear()
        if not self._candidates(now, request):
            request.tried.clear()
        return self._try_again(now, request, "no room came in time")

    # Ends.

    def _give_up(
        self, now: float, request: ForwardedRequest, reason: str, step: Step
    ) -> Instructions:
        del self.requests[request.arrival.token]
        wait = RETRY_AFTER_FIRST_SECONDS + self._rng.random() * RETRY_AFTER_SPREAD_SECONDS
        peer = request.engine_id
        outcome = conclude(request.kinds, request.delivered, reason, step, peer, wait)
        engines = self._engines
        list_age = now - engines.listed_at
        line = line_of_give_up(now, request, outcome, step, len(engines.engines), list_age)
        return [FinishRequest(request.arrival.token, outcome), line]

    def on_caller_gone(self, now: float, event: CallerGone) -> Instructions:
        """The caller went away: its work at the engine is stopped."""
        request = self.requests.get(event.token)
        if request is None:
            return self._leave_counting(event)
        line = line_of_gone_caller(now, request, event)
        aborted = self._abort(now, request, AttemptKind.CANCELLED)
        return [line, *aborted, *self._give_up(now, request, "caller went away", Step.RELAY)]

    def _leave_counting(self, event: CallerGone) -> Instructions:
        """The caller went away while its tenant's quota was asked for."""
        arrival = self.arrivals.withdraw(event.token)
        if arrival is None:
            return []
        refusal = NotRun("caller went away", Step.ADMIT)
        return [
            FinishRequest(event.token, refusal),
            line_of_refusal(Refused(arrival, refusal), self._routes.version),
        ]

    def _abort(
        self, now: float, request: ForwardedRequest, kind: AttemptKind, is_silent: bool = False
    ) -> Instructions:
        """Ends the attempt in flight, or the search for a place."""
        if request.is_placing:
            self.placer.withdraw(now, request.arrival.token)
            return []
        request.kinds.append(kind)
        self._end_at_engine(now, request, False)
        return [AbortAttempt(request.arrival.token, request.attempt, is_silent)]

    def end_refused(self, now: float) -> Instructions:
        """Ends the requests that are refused from now on, wherever they are.

        Guards against one that waits, is on its way or queued at an engine when the third crash
        becomes known: it would end one more.
        """
        instructions: Instructions = []
        for request in [
            r for r in self.requests.values() if r.arrival.content in self._suspects.refused
        ]:
            instructions += self._abort(now, request, AttemptKind.CANCELLED)
            instructions += self._give_up(
                now, request, "servers ended under this request", Step.DISPATCH
            )
        return instructions

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        if not self.requests:
            return float("inf")
        return min(self._look_at, min(r.due_at for r in self.requests.values()))

    def on_timer(self, now: float) -> Instructions:
        """Ends what has run out of time, and leaves engines that fell silent."""
        instructions: Instructions = []
        for request in [r for r in self.requests.values() if r.ends_at <= now]:
            instructions += self._time_out(now, request)
        for request in [r for r in self.requests.values() if r.waits_until <= now]:
            instructions += self._offer_again(now, request)
        if now >= self._look_at:
            self._look_at = now + LOOK_SECONDS
            for request in [r for r in self.requests.values() if self._is_stuck(now, r)]:
                instructions += self._leave_engine(now, request)
        return instructions

    def _time_out(self, now: float, request: ForwardedRequest) -> Instructions:
        at_limit = request.limit_at <= request.deadline
        reason = "route's time limit reached" if at_limit else "deadline reached"
        aborted = self._abort(now, request, AttemptKind.CANCELLED, is_silent=True)
        return aborted + self._give_up(now, request, reason, Step.RELAY)

    def _is_stuck(self, now: float, request: ForwardedRequest) -> bool:
        if request.is_placing:
            return False
        return request.is_stuck(now, self._engines.engines.get(request.engine_id))

    def _leave_engine(self, now: float, request: ForwardedRequest) -> Instructions:
        request.kinds.append(AttemptKind.CUT)
        content = request.arrival.content
        self._suspects.on_lost(now, content, request.engine_id, is_silent=True)
        self._end_at_engine(now, request, True)
        left = AbortAttempt(request.arrival.token, request.attempt, is_silent=True)
        line = line_of_silence(now, request)
        request.owes_retry = True
        return [left, line, *self._try_again(now, request, "engine fell silent")]

    def validate(self) -> None:
        """Asserts what must hold between events."""
        for token, request in self.requests.items():
            ensure(token == request.arrival.token, "a request is held under another token")
            attempts = len(request.kinds) + (0 if request.is_placing else 1)
            ensure(request.attempt == attempts, "a held request has no attempt")
            is_waiting = request.waits_until < float("inf")
            ensure(request.is_placing or not is_waiting, "a request waits and is at an engine")
