"""Decides whether a request is inside this daemon's equal share of its tenant's quota.

Inputs: the tenant's rate (requests per second) and burst (requests) in the configuration in force;
the number of daemons, from heartbeats and the peer registry, up to some seconds old.

Rule: a token bucket with the quota's rate and burst, divided by the number of daemons. The bucket
has room for at least `MIN_DEPTH` requests, so that a small share still admits requests.

Why: it needs no messages. But callers are spread over the daemons unevenly, so it refuses requests
that are inside the quota. The shares add up to more than the quota if it is small, or if daemons
don't know each other. It serves as a baseline for comparison. Measured in docs/design/tenants.md.
"""

from collections.abc import Callable

from troutswitch.decisions.limits import TokenBucket
from troutswitch.decisions.tenants.quota import UNLIMITED, NoQuota, QuotaResult, QuotaWay
from troutswitch.decisions.tenants.types import Tenant

MIN_DEPTH = 1.0
"""Minimum number of requests that a share allows at the same time."""


class EqualShares(NoQuota):
    """Each daemon admits its equal share of a quota."""

    def __init__(self, daemons: Callable[[], int]) -> None:
        self._daemons = daemons
        self._buckets: dict[str, TokenBucket] = {}

    def take(
        self, now: float, token: int, tenant: Tenant, *, is_further: bool = False
    ) -> QuotaResult:
        """Counts one request against this daemon's share."""
        if not tenant.is_limited:
            return UNLIMITED
        share = 1.0 / max(1, self._daemons())
        rate = tenant.rate * share
        depth = max(MIN_DEPTH, tenant.burst * share)
        bucket = self._buckets.setdefault(tenant.name, TokenBucket(depth, now))
        available = bucket.refill(now, rate, depth)
        if available >= 1.0:
            bucket.tokens -= 1.0
            return QuotaResult(True, 0.0, "own share", QuotaWay.ALONE)
        return QuotaResult(False, (1.0 - available) / rate, "own share", QuotaWay.ALONE)
