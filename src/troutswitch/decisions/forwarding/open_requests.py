"""The requests in flight on this daemon: how one waits for capacity, and how one ends.

Owns the requests by their token. Each end gives exactly one `FinishRequest` and forgets the
request, so that no later event finds it. Relies on `retry` for who may wait.
"""

import random

from troutswitch.decisions.forwarding.admission import Deferral
from troutswitch.decisions.forwarding.arrivals import Refused
from troutswitch.decisions.forwarding.candidates import engines_left_out
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.log_events import (
    line_of_deferral,
    line_of_give_up,
    line_of_refusal,
    line_of_wait,
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
        request.asks_again_at = now + CAPACITY_RETRY_SECONDS

    def delay(self, now: float, request: ForwardedRequest) -> Instructions:
        """Has a late request wait for a slot that is free; only the first wait is logged."""
        was_delayed, request.was_delayed = request.was_delayed, True
        request.longest_wait = 0.0
        self.wait(now, request)
        return [] if was_delayed else [self._line_of_wait(now, request, LATE_REASON, Step.ADMIT)]

    def wait_or_end(
        self, now: float, request: ForwardedRequest, reason: str, step: Step
    ) -> Instructions:
        """No engine can take the request now: it waits if it can't be refused any more."""
        if not may_wait_for_capacity(now, request):
            return self.end_unserved(now, request, reason, step)
        self.wait(now, request)
        request.waits += 1
        return [self._line_of_wait(now, request, reason, step)] if request.waits == 1 else []

    def _line_of_wait(
        self, now: float, request: ForwardedRequest, reason: str, step: Step
    ) -> LogLine:
        left_out = self._engines_left_out(now, request, step)
        return line_of_wait(now, request, reason, self._routes.known(now), left_out)

    def _engines_left_out(
        self, now: float, request: ForwardedRequest, step: Step
    ) -> dict[str, str]:
        """Returns why each engine was left out of a search that found none; empty elsewhere.

        Looking at all engines for each request that ends otherwise would cost most under load.
        """
        return engines_left_out(now, request, self._engines) if step is Step.ROUTE else {}

    # Ends.

    def refuse(self, now: float, refused: Refused) -> Instructions:
        """Refuses a request on its arrival, or one that is not kept here any more."""
        line = line_of_refusal(refused, self._routes.known(now))
        return [FinishRequest(refused.arrival.token, refused.refusal), line]

    def defer(
        self, now: float, request: ForwardedRequest, deferral: Deferral, times: ServiceTimes
    ) -> Instructions:
        """Refuses a request that was not sent anywhere, with a time to retry."""
        ensure(not request.ended_attempts, "a request that was sent is deferred")
        self.remove(request)
        refusal = NotRun(LATE_REASON, Step.ADMIT, "", deferral.retry_after)
        line = line_of_deferral(now, request, deferral, times, self._routes.known(now))
        return [FinishRequest(request.arrival.token, refusal), line]

    def pass_answer_on(self, request: ForwardedRequest, event: RequestAttemptEnded) -> Instructions:
        """Ends a request with the engine's whole answer, although the attempt failed."""
        self.remove(request)
        outcome = MayHaveRun(event.reason, Step.RELAY, request.engine_id)
        return [FinishRequest(request.arrival.token, outcome, passes_on=True)]

    def end_unserved(
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
        line = line_of_give_up(
            now,
            request,
            outcome,
            step,
            self._routes.known(now),
            len(self._engines.engines),
            self._engines_left_out(now, request, step),
            now - self._engines.listed_at,
        )
        return [FinishRequest(request.arrival.token, outcome), line]
