"""Handles requests in the state PLACING: sends them to an engine, makes them wait, or ends them.

Owns the placer in use; `requests` documents the states. Relies on `candidates`, `placer` and
`admission` for the decisions, and on `attempts` to start an attempt.
"""

from dataclasses import replace
from typing import assert_never

from troutswitch.decisions.forwarding.admission import Admission, Deferral, LateAction
from troutswitch.decisions.forwarding.arrivals import Refused
from troutswitch.decisions.forwarding.attempts import EngineAttempts, preempt_if_full
from troutswitch.decisions.forwarding.candidates import (
    awaits_activation,
    candidate_engines,
    has_engine_of_origin,
)
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.log_events import attempt_started_line
from troutswitch.decisions.forwarding.open_requests import (
    NO_ENGINE_REASON,
    VERSION_GONE_REASON,
    Instructions,
    OpenRequests,
)
from troutswitch.decisions.forwarding.placer import (
    Assignment,
    NoEngine,
    NoSlotInTime,
    Placement,
    PlacementRequest,
    Placer,
    QueueTerms,
)
from troutswitch.decisions.forwarding.request import ForwardedRequest, RequestState
from troutswitch.decisions.forwarding.retry import has_time_to_send
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.wait_estimate import WaitEstimate
from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.tenants.tenant_keys import TenantKeys
from troutswitch.outcomes import NotRun, Step


class RequestPlacing:
    """Places requests at engines, and starts their attempts."""

    def __init__(
        self,
        open_requests: OpenRequests,
        routes: RouteTable,
        engines: EngineRegistry,
        tenant_keys: TenantKeys,
        admission: Admission,
        attempts: EngineAttempts,
        placer: Placer,
    ) -> None:
        self.placer = placer
        self._open = open_requests
        self._routes = routes
        self._engines = engines
        self._tenant_keys = tenant_keys
        self._admission = admission
        self._attempts = attempts

    def begin(self, now: float, request: ForwardedRequest) -> Instructions:
        """Places a request that has just been admitted."""
        request.longest_wait = self._admission.longest_wait(request)
        is_late = request.longest_wait <= 0.0
        longest_wait = request.longest_wait - self._admission.times_of(request).first_event
        request.objective_at = float("-inf") if is_late else now + longest_wait
        request.is_returned = self._admission.is_returned(request)
        self._open.add(request)
        return self.place(now, request, NO_ENGINE_REASON)

    def place(self, now: float, request: ForwardedRequest, reason: str) -> Instructions:
        """Places a request; `reason` is given to the caller if there is no engine for it."""
        if not has_time_to_send(now, request):
            return self._open.end_unanswered(now, request, "time ran out", Step.DISPATCH)
        candidates = candidate_engines(now, request, self._engines)
        if not candidates:
            return self._without_engine(now, request, reason)
        request.state = RequestState.PLACING
        arrival = request.arrival
        max_wait = float("inf") if request.ended_attempts else request.longest_wait
        placement_request = PlacementRequest(
            arrival.token,
            request.service,
            arrival.prompt,
            max_wait,
            self._queue_terms(request),
        )
        placement = self.placer.place(now, placement_request, candidates)
        return self.on_placement(now, request, placement) if placement is not None else []

    def _without_engine(self, now: float, request: ForwardedRequest, reason: str) -> Instructions:
        """Makes a request without a candidate wait, or ends it.

        A stream ends at once if the version that began it has no engine any more. A new one waits
        for a version that becomes active, which takes no longer than `ACTIVATION_SECONDS`.
        """
        if not has_engine_of_origin(request, self._engines):
            return self._open.end_unanswered(now, request, VERSION_GONE_REASON, Step.ROUTE)
        if awaits_activation(now, request, self._engines):
            return self._open.wait_for_version(now, request)
        return self._open.wait_or_end(now, request, reason, Step.ROUTE)

    def _queue_terms(self, request: ForwardedRequest) -> QueueTerms | None:
        """Returns the terms on which a request waits in a coordinator's queue, if it may."""
        if request.is_denied or not self._admission.uses_queues:
            return None
        return QueueTerms(
            request.arrival.request_id,
            request.tenant or request.route.name,
            request.priority,
            request.objective_at,
            self._admission.queue_expiry(request),
            is_returned=request.is_returned or not request.may_be_refused,
        )

    def on_placement(
        self, now: float, request: ForwardedRequest, placement: Placement
    ) -> Instructions:
        """Applies the decision on a request's placement."""
        ensure(request.state is RequestState.PLACING, "a waiting request is assigned to an engine")
        match placement:
            case NoSlotInTime():
                return self._on_late(now, request, placement)
            case NoEngine():
                return self._without_engine(now, request, NO_ENGINE_REASON)
            case Assignment():
                return self._on_assigned(now, request, placement)
            case _:
                assert_never(placement)

    def _on_late(
        self, now: float, request: ForwardedRequest, placement: NoSlotInTime
    ) -> Instructions:
        """Applies the admission policy to a new request for which no slot is free in time."""
        if placement.retry_after is not None:
            return self._on_denied(now, request, placement.estimate, placement.retry_after)
        times = self._admission.times_of(request)
        estimate = replace(placement.estimate, slot_time=times.slot_time)
        action = self._admission.on_late(now, request, estimate)
        match action:
            case LateAction.DEFER:
                deferral = self._admission.deferral(now, request, estimate)
                return self._open.defer(now, request, deferral, times)
            case LateAction.SEND:
                request.longest_wait = float("inf")
                return self.place(now, request, NO_ENGINE_REASON)
            case LateAction.WAIT:
                return self._open.delay(now, request)
            case _:
                assert_never(action)

    def _on_denied(
        self, now: float, request: ForwardedRequest, estimate: WaitEstimate, retry_after: float
    ) -> Instructions:
        """Refuses a request that a coordinator denied a slot; sends it anyway if it may have run.

        A refusal says that the request has not run, so it must never have been sent.
        """
        if not request.may_be_refused:
            request.is_denied = True
            request.longest_wait = float("inf")
            return self.place(now, request, NO_ENGINE_REASON)
        times = self._admission.times_of(request)
        estimate = replace(estimate, slot_time=times.slot_time)
        return self._open.defer(now, request, Deferral(retry_after, estimate, True), times)

    def _on_assigned(
        self, now: float, request: ForwardedRequest, assignment: Assignment
    ) -> Instructions:
        if not has_time_to_send(now, request):
            return self._open.end_unanswered(now, request, "time ran out", Step.DISPATCH)
        refusal = self._identify_again(request)
        if refusal is not None:
            self._open.remove(request)
            return self._open.refuse(now, Refused(request.arrival, refusal, request.tenant))
        send = self._attempts.start(now, request, assignment)
        line = attempt_started_line(
            now, request, assignment, self._routes.known(now), self._engines.listed_at
        )
        return [send, line, *preempt_if_full(now, request, assignment)]

    def _identify_again(self, request: ForwardedRequest) -> NotRun | None:
        """Checks the caller's key again before its request is first sent; returns any refusal.

        The key may have been revoked, or given to another tenant, while the request waited. A
        request that was sent before continues, as its caller was authorized then.
        """
        if request.ended_attempts:
            return None
        tenant = self._tenant_keys.identify(request.arrival.caller_key, request.route)
        if isinstance(tenant, NotRun):
            return tenant
        request.tenant = tenant.name
        return None
