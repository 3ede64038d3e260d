"""Limits on what is admitted and retried: token buckets, concurrency, retry budgets."""

from collections import OrderedDict
from dataclasses import dataclass

from troutswitch.constants import RETRY_AFTER_SECONDS, RETRY_BUDGET_MOST, RETRY_BUDGET_RATIO
from troutswitch.decisions.configuration.keys import ServingPolicy
from troutswitch.decisions.invariants import ensure
from troutswitch.outcomes import NotRun, Step

TENANTS_KEPT = 10_000
"""Idle tenants whose rate is remembered."""


@dataclass(slots=True)
class TokenBucket:
    """A rate limit with a burst."""

    tokens: float
    filled_at: float

    def refill(self, now: float, rate: float, burst: float) -> float:
        """Adds what has come since the last call, and returns the tokens that are there."""
        self.tokens = min(burst, self.tokens + max(0.0, now - self.filled_at) * rate)
        self.filled_at = max(now, self.filled_at)
        return self.tokens

    def take(self, now: float, rate: float) -> float:
        """Takes one token; returns 0, or the seconds until one is there.

        The burst is one second's worth, at least one request.
        """
        self.refill(now, rate, max(1.0, rate))
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / rate if rate > 0 else 60.0


class AdmissionControl:
    """Admits online requests on one daemon.

    A tenant's limits hold for the fleet; each daemon enforces its equal share, but
    at least one, so the sum may exceed a small limit by the number of daemons.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self._tenant_in_flight: dict[str, int] = {}
        self._buckets: OrderedDict[str, TokenBucket] = OrderedDict()

    def admit(self, now: float, tenant: str, policy: ServingPolicy, daemons: int) -> NotRun | None:
        """Admits a request, or returns the refusal."""
        if self.in_flight >= policy.online_concurrency:
            return NotRun("daemon is full", Step.ADMIT, "", RETRY_AFTER_SECONDS, 503)
        concurrency = max(1, policy.tenant_concurrency // max(1, daemons))
        if self._tenant_in_flight.get(tenant, 0) >= concurrency:
            return NotRun("tenant concurrency limit", Step.ADMIT, "", RETRY_AFTER_SECONDS, 429)
        rate = policy.tenant_requests_per_second / max(1, daemons)
        wait = self._bucket(now, tenant, rate).take(now, rate)
        if wait > 0:
            return NotRun("tenant rate limit", Step.ADMIT, "", wait, 429)
        self.in_flight += 1
        self._tenant_in_flight[tenant] = self._tenant_in_flight.get(tenant, 0) + 1
        return None

    def release(self, tenant: str) -> None:
        """Ends an admitted request."""
        self.in_flight -= 1
        left = self._tenant_in_flight[tenant] - 1
        ensure(self.in_flight >= 0 and left >= 0, "more requests ended than admitted")
        if left:
            self._tenant_in_flight[tenant] = left
        else:
            del self._tenant_in_flight[tenant]

    def _bucket(self, now: float, tenant: str, rate: float) -> TokenBucket:
        bucket = self._buckets.pop(tenant, None) or TokenBucket(max(1.0, rate), now)
        self._buckets[tenant] = bucket
        if len(self._buckets) > TENANTS_KEPT:
            self._buckets.popitem(last=False)
        return bucket


class RetryBudget:
    """Allows retries as a share of recent successes, by service."""

    def __init__(self) -> None:
        self._credit: dict[str, float] = {}

    def on_success(self, service: str) -> None:
        """A request succeeded."""
        credit = self._credit.get(service, RETRY_BUDGET_MOST) + RETRY_BUDGET_RATIO
        self._credit[service] = min(credit, RETRY_BUDGET_MOST)

    def take(self, service: str) -> bool:
        """Takes one retry, if there is credit."""
        credit = self._credit.get(service, RETRY_BUDGET_MOST)
        if credit < 1.0:
            return False
        self._credit[service] = credit - 1.0
        return True
