"""Decides how many of a tenant's requests are inside its quota, as the one daemon that counts.

Inputs: the limit in the newest configuration that any daemon reported, as requests per second and a
burst in requests; the requests admitted so far; when this daemon began to count for the tenant, in
seconds of its clock.

Rule: each tenant has a token bucket that is filled at the rate. Its depth is the burst plus a
tolerance of `TOLERANCE_SHARE` of the excess that is permitted above a quota (`QuotaBounds`). A
daemon that has counted for less than one window starts with the tolerance alone. A refusal states
when there is quota for the caller. Callers get consecutive times, at most
`MAX_RETRY_AFTER_SECONDS` later.

Why: in any window at most rate x window + burst requests pass, plus the tolerance, so a caller at
the limit is not refused for a request that is counted late. The rest of the permitted excess is for
two daemons that both count for a while. Callers with distinct times don't all return at the same
time.

Measured in docs/design/tenants.md.
"""

from dataclasses import dataclass

from troutswitch.decisions.limits import TokenBucket
from troutswitch.decisions.tenants.types import QuotaBounds

TOLERANCE_SHARE = 0.4
"""Share of the permitted excess above a quota that a coordinator uses."""
MAX_RETRY_AFTER_SECONDS = 30.0
"""Maximum time after which a caller is told to retry."""


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """A tenant's limit in one version of the configuration; the newest version is in force.

    `rate` is in requests per second, `burst` in requests.
    """

    rate: float
    burst: float
    version: int


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """Whether a request is granted; if not, `wait` is the seconds until there is quota for it."""

    is_granted: bool
    wait: float


@dataclass(slots=True)
class _Account:
    """State of one tenant's quota. `scheduled_retries` counts callers that got a time to retry."""

    limit: QuotaLimit
    bucket: TokenBucket
    scheduled_retries: float = 0.0


class QuotaLedger:
    """The accounts of tenants. An unused account fills up and is then dropped."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._accounts: dict[str, _Account] = {}
        self._checked_at = float("-inf")

    def __len__(self) -> int:
        return len(self._accounts)

    def tolerance(self, limit: QuotaLimit) -> float:
        """Returns the number of requests above the limit that are allowed in a window."""
        in_window = limit.rate * self._bounds.window + limit.burst
        return TOLERANCE_SHARE * (self._bounds.overshoot * in_window + self._bounds.slack)

    def _depth(self, limit: QuotaLimit) -> float:
        """Returns the number of requests that a full account allows at the same time."""
        return max(1.0, limit.burst + self.tolerance(limit))

    def take(self, now: float, tenant: str, limit: QuotaLimit, counts_since: float) -> QuotaGrant:
        """Grants one request if there is quota for it.

        `counts_since` is when this daemon began to count for the tenant, in seconds of its clock.
        """
        account = self._account(now, tenant, limit, counts_since)
        rate, depth = account.limit.rate, self._depth(account.limit)
        before = account.bucket.refilled_at
        available = account.bucket.refill(now, rate, depth)
        account.scheduled_retries = max(0.0, account.scheduled_retries - (now - before) * rate)
        if available >= 1.0:
            account.bucket.tokens -= 1.0
            return QuotaGrant(True, 0.0)
        wait = min(MAX_RETRY_AFTER_SECONDS, (1.0 - available + account.scheduled_retries) / rate)
        account.scheduled_retries += 1.0
        return QuotaGrant(False, wait)

    def _account(self, now: float, tenant: str, limit: QuotaLimit, counts_since: float) -> _Account:
        account = self._accounts.get(tenant)
        if account is None:
            is_new_here = now - counts_since < self._bounds.window
            tokens = max(1.0, self.tolerance(limit)) if is_new_here else self._depth(limit)
            account = self._accounts[tenant] = _Account(limit, TokenBucket(tokens, now))
        elif limit.version > account.limit.version:
            account.limit = limit
        return account

    def drop_idle(self, now: float) -> None:
        """Drops accounts that have filled up again. Checks once per window."""
        if now < self._checked_at + self._bounds.window:
            return
        self._checked_at = now
        for tenant, account in list(self._accounts.items()):
            depth = self._depth(account.limit)
            if account.bucket.refill(now, account.limit.rate, depth) >= depth:
                del self._accounts[tenant]

    def drop(self, tenants: set[str]) -> None:
        """Drops accounts that another daemon counts now."""
        for tenant in tenants:
            self._accounts.pop(tenant, None)

    def tenants(self) -> list[str]:
        """Returns the tenants that have an account."""
        return list(self._accounts)
