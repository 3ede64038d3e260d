"""Limits on the online requests that one standalone daemon admits.

Tracks the requests in flight and the request rate of each tenant on this daemon only.
"""

from collections import OrderedDict

from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.limits import TokenBucket
from troutswitch.outcomes import NotRun, Step
from troutswitch.standalone.constants import RETRY_AFTER_SECONDS
from troutswitch.standalone.decisions.configuration.keys import ServingPolicy

MAX_REMEMBERED_TENANTS = 10_000
"""Maximum tenants whose token buckets are kept."""


class AdmissionControl:
    """Admits online requests on one daemon.

    A tenant's limits apply to the fleet. Each daemon enforces an equal share of at
    least one, so the total may exceed a small limit by the number of daemons.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self._tenant_in_flight: dict[str, int] = {}
        self._buckets: OrderedDict[str, TokenBucket] = OrderedDict()

    def admit(self, now: float, tenant: str, policy: ServingPolicy, daemons: int) -> NotRun | None:
        """Admits a request and returns None, or returns the refusal."""
        if self.in_flight >= policy.online_concurrency:
            return NotRun("daemon is full", Step.ADMIT, "", RETRY_AFTER_SECONDS, 503)
        concurrency = max(1, policy.tenant_concurrency // max(1, daemons))
        if self._tenant_in_flight.get(tenant, 0) >= concurrency:
            return NotRun("tenant concurrency limit", Step.ADMIT, "", RETRY_AFTER_SECONDS, 429)
        rate = policy.tenant_requests_per_second / max(1, daemons)
        retry_after = self._bucket(now, tenant, rate).take(now, rate)
        if retry_after > 0:
            return NotRun("tenant rate limit", Step.ADMIT, "", retry_after, 429)
        self.in_flight += 1
        self._tenant_in_flight[tenant] = self._tenant_in_flight.get(tenant, 0) + 1
        return None

    def release(self, tenant: str) -> None:
        """Releases the capacity of an admitted request that ended."""
        self.in_flight -= 1
        remaining = self._tenant_in_flight[tenant] - 1
        ensure(self.in_flight >= 0 and remaining >= 0, "more requests ended than admitted")
        if remaining:
            self._tenant_in_flight[tenant] = remaining
        else:
            del self._tenant_in_flight[tenant]

    def _bucket(self, now: float, tenant: str, rate: float) -> TokenBucket:
        bucket = self._buckets.pop(tenant, None) or TokenBucket(max(1.0, rate), now)
        self._buckets[tenant] = bucket
        if len(self._buckets) > MAX_REMEMBERED_TENANTS:
            self._buckets.popitem(last=False)
        return bucket
