"""The requests in flight on this daemon: how one waits for capacity, and how one ends.

Owns the requests by their token. Each end gives exactly one `FinishRequest` and forgets the
request, so that no later event finds it. Relies on `retry` for who may wait.
"""

import random

from troutswitch.decisions.forwarding.admission import Deferral
from troutswitch.decisions.forwarding.arrivals import Refused
from troutswitch.decisions.forwarding.candidates import excluded_engines
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.log_events import (
    deferral_line,
    give_up_line,
    refusal_line,
    wait_line,
)
from troutswitch.decisions.forwarding.messages import (
    FinishRequest,
    ForwardingInstruction,
    LogLine,
    RequestAttemptEnded,
)
from troutswitch.decisions.forwarding.request import ForwardedRequest, RequestState
from troutswitch.decisions.forwarding.retry import (
    CAPACITY_RETRY_SECONDS,
    may_wait_for_capacity,
    retry_after,
)
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.run_times import ServiceTimes
from troutswitch.decisions.invariants import ensure
from troutswitch.outcomes import MayHaveRun, NotRun, Step, failure_outcome

NO_ENGINE_REASON = "no server can take the request now"
LATE_REASON = "all servers would answer late"
CRASHES_REASON = "servers ended under this request"
SILENT_REASON = "server fell silent"
"""Reasons that callers get; their wording is part of the interface."""

Instructions = list[ForwardingInstruction]


class OpenRequests:
    """Requests that have no final answer yet."""

    def __init__(self, routes: RouteTable, engines: EngineRegistry, rng: random.Random) -> None:
        self.by_token: dict[int, ForwardedRequest] = {}
        self._routes = routes
        self._engines = engines
        self._rng = rng

    def add(self, request: ForwardedRequest) -> None:
        """Takes in a request that was admitted."""
        self.by_token[request.arrival.token] = request

    def remove(self, request: ForwardedRequest) -> None:
        """Forgets a request whose answer is complete or given otherwise."""
        del self.by_token[request.arrival.token]

    # Waiting.

    @staticmethod
    def wait(now: float, request: ForwardedRequest) -> None:
        """Has a request wait until it asks again for an engine."""
        request.state = RequestState.WAITING
        request.retry_at = now + CAPACITY_RETRY_SECONDS

    def delay(self, now: float, request: ForwardedRequest) -> Instructions:
        """Has a late request wait for a slot that is free; only the first wait is logged."""
        was_delayed, request.was_delayed = request.was_delayed, True
        request.longest_wait = 0.0
        self.wait(now, request)
        return [] if was_delayed else [self._wait_line(now, request, LATE_REASON, Step.ADMIT)]

    def wait_or_end(
        self, now: float, request: ForwardedRequest, reason: str, step: Step
    ) -> Instructions:
        """No engine can take the request now: it waits if it can't be refused any more."""
        if not may_wait_for_capacity(now, request):
            return self.end_unanswered(now, request, reason, step)
        self.wait(now, request)
        request.waits += 1
        return [self._wait_line(now, request, reason, step)] if request.waits == 1 else []

    def _wait_line(self, now: float, request: ForwardedRequest, reason: str, step: Step) -> LogLine:
        excluded = self._excluded_engines(now, request, step)
        return wait_line(now, request, reason, self._routes.known(now), excluded)

    def _excluded_engines(
        self, now: float, request: ForwardedRequest, step: Step
    ) -> dict[str, str]:
        """Returns why each engine was left out of a search that found none; empty elsewhere.

        Looking at all engines for each request that ends otherwise would cost most under load.
        """
        return excluded_engines(now, request, self._engines) if step is Step.ROUTE else {}

    # Ends.

    def refuse(self, now: float, refused: Refused) -> Instructions:
        """Refuses a request on its arrival, or one that is not kept here any more."""
        line = refusal_line(refused, self._routes.known(now))
        return [FinishRequest(refused.arrival.token, refused.refusal), line]

    def defer(
        self, now: float, request: ForwardedRequest, deferral: Deferral, times: ServiceTimes
    ) -> Instructions:
        """Refuses a request that was not sent anywhere, with a time to retry."""
        ensure(not request.ended_attempts, "a request that was sent is deferred")
        self.remove(request)
        refusal = NotRun(LATE_REASON, Step.ADMIT, "", deferral.retry_after)
        line = deferral_line(now, request, deferral, times, self._routes.known(now))
        return [FinishRequest(request.arrival.token, refusal), line]

    def pass_answer_on(self, request: ForwardedRequest, event: RequestAttemptEnded) -> Instructions:
        """Ends a request with the engine's whole answer, although the attempt failed."""
        self.remove(request)
        outcome = MayHaveRun(event.reason, Step.RELAY, request.engine_id)
        return [FinishRequest(request.arrival.token, outcome, relays_answer=True)]

    def end_unanswered(
        self, now: float, request: ForwardedRequest, reason: str, step: Step
    ) -> Instructions:
        """Ends a request by what is certain of its attempts: not run, may have run, or cut."""
        self.remove(request)
        outcome = failure_outcome(
            request.ended_attempts,
            request.delivered,
            reason,
            step,
            request.engine_id,
            retry_after(self._rng),
        )
        line = give_up_line(
            now,
            request,
            outcome,
            step,
            self._routes.known(now),
            len(self._engines.engines),
            self._excluded_engines(now, request, step),
            now - self._engines.listed_at,
        )
        return [FinishRequest(request.arrival.token, outcome), line]
