"""Decides whether a new request is sent, waits here for a free slot, or is refused.

Question: a request has not been sent to any engine. Up to which wait for a slot is it sent? And
if the wait is longer at every engine, does it wait here, go there all the same, or end as refused?

Inputs: the latency objective of the route and the request's times, in seconds; the run times that
this daemon learnt from its own answers (`run_times`); the shortest wait for a slot, estimated by
the coordinator of the engines' slots or from the local slot counts (`wait_estimate`), as of now.

Rule of `HoldLate`, the default:

1. A request that may meet its objective, counted from its first try, is sent.
2. One that will miss it anyway is sent where a slot is free, and otherwise waits here.
3. One that can't end before its deadline is refused at once. `Retry-After` names the time at
   which a slot is expected, in the order of refusals.
4. One that has waited for `MAX_DELAY_SHARE` of the client's timeout, or is within
   `SEND_MARGIN_SECONDS` of the last moment at which it can end in time, is sent whatever the wait.

Why: engines serve in the order of arrival. While more arrives than they can do, each late request
that joins their queue makes the next ones late too.

Measurements: docs/POLICY.md, "Admission by this figure".
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from troutswitch.decisions.forwarding.request import ForwardedRequest
from troutswitch.decisions.forwarding.run_times import RunTimes, ServiceTimes
from troutswitch.decisions.forwarding.wait_estimate import WaitEstimate

OBJECTIVE_SHARE = 0.85
"""Share of the latency objective inside which `DeferLate` expects the first event. The rest covers
requests on their way to the engine, and the way to the client."""
MAX_RETRY_AFTER_SHARE = 1 / 3
"""Longest `Retry-After` of `DeferLate`, in shares of the time left: clients ignore longer ones."""
MIN_RETRY_AFTER_SHARE = 0.6
"""Shortest `Retry-After` of `DeferLate`, in shares of the longest: retries are spread over the
rest."""
MAX_DELAY_SHARE = 1 / 3
"""Longest wait of a late request here, in shares of the client's timeout. Clients that have
received nothing disconnect after about half of it."""
SEND_MARGIN_SECONDS = 0.5
"""Time before the last moment at which a late request can still end in time, at which it is sent
whatever the wait: the error of the wait estimate."""
MAX_REMEMBERED_ROUTES = 512
"""Routes whose client timeout is remembered; the one used longest ago is forgotten first."""
RETRY_THRESHOLD_SECONDS = 0.1
"""Time left below the client's timeout from which a request counts as a retry."""
MIN_RETRY_AFTER_SECONDS = 0.1
"""Least `Retry-After` of `HoldLate`: the age of the slot counts behind the estimate."""


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request that has not been sent. Times are seconds.

    `time_left` is what the client will still wait; `is_resumed` tells that it goes on with a
    stream that broke off.
    """

    route: str
    objective: float
    time_left: float
    is_resumed: bool


@dataclass(frozen=True, slots=True)
class LateRequest:
    """A request for which no slot is free in time. All times are of this process's clock."""

    arrived_at: float
    ends_at: float
    """When it gets its final answer at the latest."""
    client_timeout: float
    """Seconds from its arrival until its client gives up."""


class LateAction(Enum):
    """What is done with a request for which no slot is free in time."""

    DEFER = "defer"
    """Refuse it, with a time after which to retry."""
    WAIT = "wait"
    """Keep it here, and ask again soon for a free slot."""
    SEND = "send"
    """Send it whatever the wait."""


@dataclass(frozen=True, slots=True)
class Deferral:
    """A refusal: the client is to retry after some seconds; `estimate` is the reason."""

    retry_after: float
    estimate: WaitEstimate


class AdmissionPolicy(Protocol):
    """Decides on requests that have not been sent yet.

    `client_timeouts` holds the longest time left, in seconds, with which requests came, by route.
    """

    client_timeouts: dict[str, float]

    def longest_wait(self, request: AdmissionRequest, times: ServiceTimes) -> float:
        """Returns the longest wait for a slot, in seconds, with which a request is sent.

        Called once for each request; infinite if it is sent whatever the wait.
        """
        ...

    def on_late(self, now: float, request: LateRequest, estimate: WaitEstimate) -> LateAction:
        """Decides on a request whose wait for a slot would be longer than `longest_wait`."""
        ...

    def retry_after(
        self, now: float, time_left: float, estimate: WaitEstimate, rng: random.Random
    ) -> float:
        """Returns the seconds after which a deferred request is to be retried."""
        ...


class AdmitAll:
    """Sends every request at once: the baseline."""

    def __init__(self) -> None:
        self.client_timeouts: dict[str, float] = {}

    def longest_wait(self, request: AdmissionRequest, times: ServiceTimes) -> float:
        """Takes any wait."""
        return float("inf")

    def on_late(self, now: float, request: LateRequest, estimate: WaitEstimate) -> LateAction:
        """Is not called, as every wait is taken."""
        return LateAction.DEFER

    def retry_after(
        self, now: float, time_left: float, estimate: WaitEstimate, rng: random.Random
    ) -> float:
        """Returns the end of the wait; it is not called, as every wait is taken."""
        return estimate.wait


class DeferLate:
    """Refuses a request that would be late, once; its retry is sent whatever the wait."""

    def __init__(self) -> None:
        self.client_timeouts: dict[str, float] = {}

    def longest_wait(self, request: AdmissionRequest, times: ServiceTimes) -> float:
        """Returns the wait up to which a first try meets its objective."""
        is_retry = (
            request.is_resumed or self._time_since_first_try(request) > RETRY_THRESHOLD_SECONDS
        )
        if is_retry or request.objective <= 0 or times.slot_time == 0.0:
            return float("inf")
        return max(0.0, request.objective * OBJECTIVE_SHARE - times.first_event)

    def _time_since_first_try(self, request: AdmissionRequest) -> float:
        """Returns an estimate, in seconds, and notes the time left of a request.

        Clients of one route are taken to have one timeout: what is missing of it has passed.
        """
        longest = max(request.time_left, self.client_timeouts.get(request.route, 0.0))
        self.client_timeouts.pop(request.route, None)
        self.client_timeouts[request.route] = longest
        if len(self.client_timeouts) > MAX_REMEMBERED_ROUTES:
            del self.client_timeouts[next(iter(self.client_timeouts))]
        return longest - request.time_left

    def on_late(self, now: float, request: LateRequest, estimate: WaitEstimate) -> LateAction:
        """Refuses it."""
        return LateAction.DEFER

    def retry_after(
        self, now: float, time_left: float, estimate: WaitEstimate, rng: random.Random
    ) -> float:
        """Returns a random time inside what clients wait for."""
        return time_left * MAX_RETRY_AFTER_SHARE * rng.uniform(MIN_RETRY_AFTER_SHARE, 1.0)


class HoldLate(DeferLate):
    """Has a request that will miss its objective wait here for a slot that no other needs.

    A request counts as late only if the wait for a slot alone is longer than what is left of its
    objective. The expected time to the first event is left out, as the estimate errs, and a request
    that waits here is late for certain.
    """

    def __init__(self) -> None:
        super().__init__()
        self._retry_times = _RetryTimes()

    def longest_wait(self, request: AdmissionRequest, times: ServiceTimes) -> float:
        """Returns the wait up to which a request may meet its objective since its first try."""
        waited = self._time_since_first_try(request)
        if request.is_resumed or request.objective <= 0 or times.slot_time == 0.0:
            return float("inf")
        is_late = waited + times.first_event > request.objective
        return 0.0 if is_late else request.objective - waited

    def on_late(self, now: float, request: LateRequest, estimate: WaitEstimate) -> LateAction:
        """Decides by the time that is left; see the rule above, 3 and 4."""
        spare = request.ends_at - now - estimate.slot_time - estimate.wait
        if spare < 0:
            return LateAction.DEFER
        delayed_until = request.arrived_at + request.client_timeout * MAX_DELAY_SHARE
        if spare < SEND_MARGIN_SECONDS or now >= delayed_until:
            return LateAction.SEND
        return LateAction.WAIT

    def retry_after(
        self, now: float, time_left: float, estimate: WaitEstimate, rng: random.Random
    ) -> float:
        """Returns the time until a slot is expected, in the order of refusals."""
        return self._retry_times.next(now, estimate)


class _RetryTimes:
    """Gives refused clients times to retry in the order in which they came.

    Each is no sooner than the present queue is served, and later than the one before by the time
    in which the engine frees one slot.
    """

    def __init__(self) -> None:
        self._last = float("-inf")

    def next(self, now: float, estimate: WaitEstimate) -> float:
        """Returns the seconds until the next time."""
        interval = estimate.slot_time / estimate.slots if estimate.slots else 0.0
        earliest = now + max(MIN_RETRY_AFTER_SECONDS, estimate.wait)
        self._last = max(earliest, self._last + interval)
        return self._last - now


ADMISSION_POLICIES: dict[str, Callable[[], AdmissionPolicy]] = {
    "admit_all": AdmitAll,
    "defer_late": DeferLate,
    "hold_late": HoldLate,
}
"""Admission policies by name."""


class Admission:
    """The policy in force, applied to this daemon's requests with the run times learnt here."""

    def __init__(self, policy: str, times: RunTimes, rng: random.Random) -> None:
        self._policy = ADMISSION_POLICIES[policy]()
        self._times = times
        self._rng = rng

    def times_of(self, request: ForwardedRequest) -> ServiceTimes:
        """Returns the run times of a request's service."""
        return self._times.of(request.service)

    def longest_wait(self, request: ForwardedRequest) -> float:
        """Returns the longest wait for a slot, in seconds, with which a new request is sent."""
        arrival, route = request.arrival, request.route
        is_resumed = bool(arrival.resume_after)
        new = AdmissionRequest(route.name, route.objective, arrival.time_left, is_resumed)
        return self._policy.longest_wait(new, self.times_of(request))

    def on_late(self, now: float, request: ForwardedRequest, estimate: WaitEstimate) -> LateAction:
        """Decides on a request for which no slot is free in time."""
        time_left = request.arrival.time_left
        late = LateRequest(request.arrived_at, request.ends_at, client_timeout=time_left)
        return self._policy.on_late(now, late, estimate)

    def deferral(self, now: float, request: ForwardedRequest, estimate: WaitEstimate) -> Deferral:
        """Returns when the client of a deferred request is to retry."""
        time_left = request.arrival.time_left
        retry_after = self._policy.retry_after(now, time_left, estimate, self._rng)
        return Deferral(retry_after, estimate)

    def client_timeouts(self) -> dict[str, int]:
        """Returns the longest time left, in milliseconds, with which requests came, by route."""
        timeouts = self._policy.client_timeouts
        return {route: round(seconds * 1000) for route, seconds in timeouts.items()}

    def merge(self, client_timeouts: dict[str, int]) -> None:
        """Takes what another daemon learnt of client timeouts, in milliseconds by route."""
        timeouts = self._policy.client_timeouts
        for route, milliseconds in client_timeouts.items():
            timeouts[route] = max(timeouts.get(route, 0.0), milliseconds / 1000)
