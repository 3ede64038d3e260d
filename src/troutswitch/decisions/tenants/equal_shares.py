"""Decides whether a request is inside this daemon's equal share of its tenant's quota.

Inputs: the tenant's rate (requests a second) and burst (requests) in the configuration in force;
the number of daemons, from heartbeats and the peer registry, up to some seconds old.

Rule: a token bucket with the quota's rate and burst, divided by the number of daemons, times a
factor. The bucket holds at least `min_depth` requests, so that a small share admits any at all.

Why: it needs no messages. But callers are spread over daemons unevenly, so it refuses requests
that are inside the quota: it is a policy to compare with, and what `uncoordinated_quota.py` falls
back to. Measured in docs/design/tenants.md.
"""

from collections.abc import Callable

from troutswitch.decisions.limits import TokenBucket
from troutswitch.decisions.tenants.quota import UNLIMITED, NoQuota, QuotaResult
from troutswitch.decisions.tenants.types import Tenant


class EqualShares(NoQuota):
    """Each daemon allows its equal part of a quota, times a factor."""

    def __init__(
        self, daemons: Callable[[], int], factor: float = 1.0, min_depth: float = 1.0
    ) -> None:
        self._daemons = daemons
        self._factor = factor
        self._min_depth = min_depth
        self._buckets: dict[str, TokenBucket] = {}

    def take(self, now: float, token: int, tenant: Tenant) -> QuotaResult:
        """Takes one request from this daemon's share."""
        if not tenant.is_limited:
            return UNLIMITED
        share = min(1.0, self._factor / max(1, self._daemons()))
        rate = tenant.rate * share
        depth = max(self._min_depth, tenant.burst * share)
        bucket = self._buckets.setdefault(tenant.name, TokenBucket(depth, now))
        left = bucket.refill(now, rate, depth)
        if left >= 1.0:
            bucket.tokens -= 1.0
            return QuotaResult(True, 0.0, "own share")
        return QuotaResult(False, (1.0 - left) / rate, "own share")
