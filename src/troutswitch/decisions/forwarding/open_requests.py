"""The open requests of this daemon: how they wait for capacity, and how they end.

Owns the requests by their token. Ending a request gives at most one `FinishRequest` and removes the
request, so that later events do not find it. `retry` decides which requests may wait.
"""

import random
from dataclasses import replace
from http import HTTPStatus

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
    MAX_QUOTA_RETRY_SECONDS,
    may_wait_for_capacity,
    retry_after,
)
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.run_times import ServiceTimes
from troutswitch.decisions.invariants import ensure
from troutswitch.outcomes import MayHaveRun, NotRun, Step, failure_outcome

NO_ENGINE_REASON = "no server can take the request now"
QUOTA_REASON = "above the tenant's quota"
LATE_REASON = "all servers would answer late"
CRASHES_REASON = "servers ended under this request"
SILENT_REASON = "server fell silent"
VERSION_INACTIVE_REASON = "no server of a version that begins streams yet"
VERSION_GONE_REASON = "no server of the version that began the stream"
ORIGIN_UNKNOWN_REASON = "the version that began the stream is not known"
"""Reasons that are sent to callers; their wording is part of the interface."""

Instructions = list[ForwardingInstruction]


class OpenRequests:
    """Requests that have no final answer yet."""

    def __init__(self, routes: RouteTable, engines: EngineRegistry, rng: random.Random) -> None:
        self.by_token: dict[int, ForwardedRequest] = {}
        self._routes = routes
        self._engines = engines
        self._rng = rng

    def add(self, request: ForwardedRequest) -> None:
        """Adds a request that was admitted."""
        self.by_token[request.arrival.token] = request

    def remove(self, request: ForwardedRequest) -> None:
        """Removes a request that has its final answer."""
        del self.by_token[request.arrival.token]

    # Waiting.

    @staticmethod
    def wait(now: float, request: ForwardedRequest) -> None:
        """Makes a request wait until its placement is retried."""
        request.state = RequestState.WAITING
        request.retry_at = now + CAPACITY_RETRY_SECONDS

    def delay(self, now: float, request: ForwardedRequest) -> Instructions:
        """Makes a late request wait for a free slot; only the first wait is logged."""
        was_delayed, request.was_delayed = request.was_delayed, True
        request.longest_wait = 0.0
        self.wait(now, request)
        return [] if was_delayed else [self._wait_line(now, request, LATE_REASON, Step.ADMIT)]

    def wait_or_end(
        self, now: float, request: ForwardedRequest, reason: str, step: Step
    ) -> Instructions:
        """Makes a request that no engine can take wait if it can't be refused; else ends it."""
        if not may_wait_for_capacity(now, request):
            return self.end_unanswered(now, request, reason, step)
        self.wait(now, request)
        request.waits += 1
        return [self._wait_line(now, request, reason, step)] if request.waits == 1 else []

    def wait_for_version(self, now: float, request: ForwardedRequest) -> Instructions:
        """Makes a new stream wait until a version is active; only the first wait is logged."""
        self.wait(now, request)
        request.waits += 1
        line = self._wait_line(now, request, VERSION_INACTIVE_REASON, Step.ROUTE)
        return [line] if request.waits == 1 else []

    def wait_for_quota(self, now: float, request: ForwardedRequest, seconds: float) -> Instructions:
        """Makes a request wait whose further attempt is above its tenant's quota; or ends it."""
        instructions = self.wait_or_end(now, request, QUOTA_REASON, Step.ADMIT)
        if request.state is RequestState.WAITING:
            seconds = min(max(seconds, CAPACITY_RETRY_SECONDS), MAX_QUOTA_RETRY_SECONDS)
            request.retry_at = now + seconds
        return instructions

    def _wait_line(self, now: float, request: ForwardedRequest, reason: str, step: Step) -> LogLine:
        excluded = self._excluded_engines(now, request, step)
        return wait_line(now, request, reason, self._routes.known(now), excluded)

    def _excluded_engines(
        self, now: float, request: ForwardedRequest, step: Step
    ) -> dict[str, str]:
        """Returns why engines were excluded, by engine id, if a search for an engine found none.

        The result is empty for other steps. Checking all engines for every request that ends would
        cost most when the load is highest.
        """
        return excluded_engines(now, request, self._engines) if step is Step.ROUTE else {}

    # Ends.

    def refuse(self, now: float, refused: Refused) -> Instructions:
        """Refuses a request that is not among the open requests."""
        line = refusal_line(refused, self._routes.known(now))
        return [FinishRequest(refused.arrival.token, refused.refusal), line]

    def defer(
        self, now: float, request: ForwardedRequest, deferral: Deferral, times: ServiceTimes
    ) -> Instructions:
        """Refuses a request that was not sent to any engine, with a time after which to retry."""
        ensure(not request.ended_attempts, "a request that was sent is deferred")
        self.remove(request)
        refusal = NotRun(LATE_REASON, Step.ADMIT, "", deferral.retry_after)
        line = deferral_line(now, request, deferral, times, self._routes.known(now))
        return [FinishRequest(request.arrival.token, refusal), line]

    def relay_answer(self, request: ForwardedRequest, event: RequestAttemptEnded) -> Instructions:
        """Ends a request with the engine's complete answer, although the attempt failed."""
        self.remove(request)
        outcome = MayHaveRun(event.reason, Step.RELAY, request.engine_id)
        return [FinishRequest(request.arrival.token, outcome, relays_answer=True)]

    def end_unanswered(
        self,
        now: float,
        request: ForwardedRequest,
        reason: str,
        step: Step,
        *,
        is_unproved: bool = False,
    ) -> Instructions:
        """Ends a request without a complete answer.

        The outcome follows from its attempts: not run, may have run, or cut. `is_unproved` is set
        if the last attempt got an answer that is not proved to be the engine's.
        """
        self.remove(request)
        outcome = failure_outcome(
            request.ended_attempts,
            request.delivered,
            reason,
            step,
            request.engine_id,
            retry_after(self._rng),
        )
        if is_unproved and isinstance(outcome, MayHaveRun):
            outcome = replace(outcome, status=HTTPStatus.BAD_GATEWAY)
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
