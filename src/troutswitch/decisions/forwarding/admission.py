"""Decides whether a new request is sent, waits here for a free slot, or is refused.

Question: a request has not been sent to any engine. What is the longest wait for a slot with which
it is still sent? If the wait is longer at every engine, does the request wait here, is it sent
anyway, or is it refused?

Inputs: the latency objective of the route and the request's times, in seconds; the run times that
this daemon measured on its own answers (`run_times`); the current estimate of the shortest wait for
a slot, made by the coordinator of the engines' slots or from the local slot counts
(`wait_estimate`).

Rule of `HoldLate`, the default:

1. A request that may meet its objective, counted from its first try, is sent.
2. A request that will miss its objective is sent if a slot is free, and waits here otherwise.
3. A request that can't end before its deadline is refused immediately. `Retry-After` is the time
   until a slot is expected; requests that were refused earlier come first.
4. A request that has waited for `MAX_DELAY_SHARE` of the client's timeout, or is within
   `SEND_MARGIN_SECONDS` of the last moment at which it can end in time, is sent whatever the wait.
5. Of these rules, only the first decides on a request of a paced service. It waits in the queue of
   a coordinator, which denies it if its slot comes after `MAX_QUEUE_SHARE` of the client's timeout,
   or too late to end in time. It is then refused, with the coordinator's time to return; one that
   was sent before is sent anyway.

Why: engines serve requests in the order of arrival. Under overload, each late request that joins
their queue makes the following ones late too.

Measurements: docs/POLICY.md, "Admission by this figure".
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from troutswitch.decisions.forwarding.request import ForwardedRequest
from troutswitch.decisions.forwarding.retry import MIN_TIME_LEFT_SECONDS
from troutswitch.decisions.forwarding.run_times import RunTimes, ServiceTimes
from troutswitch.decisions.forwarding.wait_estimate import WaitEstimate

OBJECTIVE_SHARE = 0.85
"""Share of the latency objective within which `DeferLate` expects the first event. The rest covers
requests in transit to the engine, and the transfer to the client."""
MAX_RETRY_AFTER_SHARE = 1 / 3
"""Maximum `Retry-After` of `DeferLate`, as a share of the time left: clients ignore longer ones."""
MIN_RETRY_AFTER_SHARE = 0.6
"""Minimum `Retry-After` of `DeferLate`, as a share of the maximum: retries are spread between
the two."""
MAX_DELAY_SHARE = 1 / 3
"""Maximum wait of a late request here, as a share of the client's timeout. Clients that have
received nothing disconnect after about half of it."""
MAX_QUEUE_SHARE = 0.42
"""Maximum wait of a request in a coordinator's queue, as a share of the client's timeout. Clients
that have received nothing disconnect after 2.4 to 2.5 s of 5 s, and the first event follows some
time after the grant. With 1/3, a crest of 1.87 of a mean of 0.85 of the slots had 24 of 360
requests refused, with this share 10, and as many in time (278 and 279)."""
SEND_MARGIN_SECONDS = 0.5
"""A late request is sent whatever the wait this long before the last moment at which it can still
end in time. Covers the error of the wait estimate."""
MAX_REMEMBERED_ROUTES = 512
"""Routes whose client timeout is remembered; the least recently used one is dropped first."""
RETRY_THRESHOLD_SECONDS = 0.1
"""A request counts as a retry if its time left is shorter than the client's timeout by more."""
MIN_RETRY_AFTER_SECONDS = 0.1
"""Minimum `Retry-After` of `HoldLate`: the age of the slot counts that the estimate is based on."""


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request that has not been sent. Times are seconds.

    `time_left` is how much longer the client will wait. `is_resumed` is set if the request
    resumes a stream that was cut.
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
    """The latest time of its final answer."""
    client_timeout: float
    """Seconds from its arrival until its client gives up."""


class LateAction(Enum):
    """What is done with a request for which no slot is free in time."""

    DEFER = "defer"
    """Refuse it, with a time after which to retry."""
    WAIT = "wait"
    """Keep it here, and check again soon for a free slot."""
    SEND = "send"
    """Send it whatever the wait."""


@dataclass(frozen=True, slots=True)
class Deferral:
    """A refusal: the client should retry after `retry_after` seconds; `estimate` is the reason.

    `is_denied` is set if a coordinator decided both.
    """

    retry_after: float
    estimate: WaitEstimate
    is_denied: bool = False


class AdmissionPolicy(Protocol):
    """Decides on requests that have not been sent yet.

    `client_timeouts` holds the longest time left of any request on arrival, in seconds, by route.
    """

    client_timeouts: dict[str, float]
    uses_queues: bool
    """Whether requests of paced services wait in the coordinators' queues."""

    def longest_wait(self, request: AdmissionRequest, times: ServiceTimes) -> float:
        """Returns the longest wait for a slot, in seconds, with which a request is sent.

        The result is infinite if the request is sent whatever the wait. Called once per request.
        """
        ...

    def on_late(self, now: float, request: LateRequest, estimate: WaitEstimate) -> LateAction:
        """Decides on a request whose wait for a slot would be longer than `longest_wait`."""
        ...

    def retry_after(
        self, now: float, time_left: float, estimate: WaitEstimate, rng: random.Random
    ) -> float:
        """Returns the seconds after which the client of a deferred request should retry."""
        ...


class AdmitAll:
    """Sends every request immediately: the baseline."""

    uses_queues = False

    def __init__(self) -> None:
        self.client_timeouts: dict[str, float] = {}

    def longest_wait(self, request: AdmissionRequest, times: ServiceTimes) -> float:
        """Returns infinity: any wait is accepted."""
        return float("inf")

    def on_late(self, now: float, request: LateRequest, estimate: WaitEstimate) -> LateAction:
        """Never called, as every wait is accepted."""
        return LateAction.DEFER

    def retry_after(
        self, now: float, time_left: float, estimate: WaitEstimate, rng: random.Random
    ) -> float:
        """Returns the estimated wait; never called, as every wait is accepted."""
        return estimate.wait


class DeferLate:
    """Refuses the first try of a late request; its retry is sent whatever the wait."""

    uses_queues = False

    def __init__(self) -> None:
        self.client_timeouts: dict[str, float] = {}

    def longest_wait(self, request: AdmissionRequest, times: ServiceTimes) -> float:
        """Returns the longest wait with which a first try meets its objective."""
        is_retry = (
            request.is_resumed or self._time_since_first_try(request) > RETRY_THRESHOLD_SECONDS
        )
        if is_retry or request.objective <= 0 or times.slot_time == 0.0:
            return float("inf")
        return max(0.0, request.objective * OBJECTIVE_SHARE - times.first_event)

    def _time_since_first_try(self, request: AdmissionRequest) -> float:
        """Returns the estimated seconds since the first try, and records the request's time left.

        Clients of one route are assumed to share one timeout. The difference between it and the
        request's time left is the time since its first try.
        """
        longest = max(request.time_left, self.client_timeouts.get(request.route, 0.0))
        self.client_timeouts.pop(request.route, None)
        self.client_timeouts[request.route] = longest
        if len(self.client_timeouts) > MAX_REMEMBERED_ROUTES:
            del self.client_timeouts[next(iter(self.client_timeouts))]
        return longest - request.time_left

    def on_late(self, now: float, request: LateRequest, estimate: WaitEstimate) -> LateAction:
        """Refuses the request."""
        return LateAction.DEFER

    def retry_after(
        self, now: float, time_left: float, estimate: WaitEstimate, rng: random.Random
    ) -> float:
        """Returns a random time that is short enough for clients to wait for."""
        return time_left * MAX_RETRY_AFTER_SHARE * rng.uniform(MIN_RETRY_AFTER_SHARE, 1.0)


class HoldLate(DeferLate):
    """Makes a request that will miss its objective wait here for a slot that no other needs.

    A request counts as late if it would miss its objective even without a wait for a slot, or if
    that wait alone is longer than the rest of its objective. The expected time to the first event
    is not added to the wait: the estimate may be wrong, while a request that waits here is certain
    to be late.
    """

    uses_queues = True

    def __init__(self) -> None:
        super().__init__()
        self._retry_times = _RetryTimes()

    def longest_wait(self, request: AdmissionRequest, times: ServiceTimes) -> float:
        """Returns the longest wait with which a request may meet its objective.

        The objective counts from the first try. A request that misses it whatever the wait is sent
        only to a free slot.
        """
        waited = self._time_since_first_try(request)
        if request.is_resumed or request.objective <= 0 or times.slot_time == 0.0:
            return float("inf")
        is_late = waited + times.first_event > request.objective
        return 0.0 if is_late else request.objective - waited

    def on_late(self, now: float, request: LateRequest, estimate: WaitEstimate) -> LateAction:
        """Decides by the time left, according to rules 3 and 4 of this module."""
        slack = request.ends_at - now - estimate.slot_time - estimate.wait
        if slack < 0:
            return LateAction.DEFER
        delayed_until = request.arrived_at + request.client_timeout * MAX_DELAY_SHARE
        if slack < SEND_MARGIN_SECONDS or now >= delayed_until:
            return LateAction.SEND
        return LateAction.WAIT

    def retry_after(
        self, now: float, time_left: float, estimate: WaitEstimate, rng: random.Random
    ) -> float:
        """Returns the seconds until a slot is expected, after those of earlier refusals."""
        return self._retry_times.next(now, estimate)


class _RetryTimes:
    """Assigns retry times to refused clients in the order of their requests.

    A retry time is not before the end of the current queue, and is later than the previous one by
    the mean interval at which the engine frees a slot.
    """

    def __init__(self) -> None:
        self._last = float("-inf")

    def next(self, now: float, estimate: WaitEstimate) -> float:
        """Returns the seconds until the next retry time."""
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
    """Applies the configured policy to this daemon's requests, with its own run times."""

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

    @property
    def uses_queues(self) -> bool:
        """Whether requests of paced services wait in the coordinators' queues."""
        return self._policy.uses_queues

    def is_returned(self, request: ForwardedRequest) -> bool:
        """Returns whether a request's time left shows that its client was refused before."""
        time_left = request.arrival.time_left
        usual = self._policy.client_timeouts.get(request.route.name, time_left)
        return usual - time_left > RETRY_THRESHOLD_SECONDS

    def queue_expiry(self, request: ForwardedRequest) -> float:
        """Returns the time after which a slot is of no use to a request.

        A request that was never sent may be refused, which is better for its client than a wait
        after which it leaves.
        """
        slot_time = max(MIN_TIME_LEFT_SECONDS, self.times_of(request).slot_time)
        expires_at = request.ends_at - slot_time
        if not request.may_be_refused:
            return expires_at
        longest_delay = request.arrival.time_left * MAX_QUEUE_SHARE
        return min(expires_at, request.arrived_at + longest_delay)

    def on_late(self, now: float, request: ForwardedRequest, estimate: WaitEstimate) -> LateAction:
        """Decides on a request for which no slot is free in time."""
        time_left = request.arrival.time_left
        late = LateRequest(request.arrived_at, request.ends_at, client_timeout=time_left)
        return self._policy.on_late(now, late, estimate)

    def deferral(self, now: float, request: ForwardedRequest, estimate: WaitEstimate) -> Deferral:
        """Returns the deferral of a request, with the time after which its client should retry."""
        time_left = request.arrival.time_left
        retry_after = self._policy.retry_after(now, time_left, estimate, self._rng)
        return Deferral(retry_after, estimate)

    def client_timeouts(self) -> dict[str, int]:
        """Returns the longest time left of any request on arrival, in milliseconds, by route."""
        timeouts = self._policy.client_timeouts
        return {route: round(seconds * 1000) for route, seconds in timeouts.items()}

    def merge(self, client_timeouts: dict[str, int]) -> None:
        """Merges client timeouts of another daemon, in milliseconds by route; the longer wins."""
        timeouts = self._policy.client_timeouts
        for route, milliseconds in client_timeouts.items():
            timeouts[route] = max(timeouts.get(route, 0.0), milliseconds / 1000)
