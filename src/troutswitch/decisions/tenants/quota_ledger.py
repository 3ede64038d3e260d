"""Decides how many of a tenant's requests are inside its quota, as the one daemon that counts.

Inputs: the limit in the newest configuration that any daemon reported, in requests a second and
requests of burst; the requests taken so far; when this daemon began to count for the tenant, in
seconds of its clock.

Rule: a token bucket for each tenant, filled at the rate. Its depth is the burst and a tolerance:
`TOLERANCE_SHARE` of what users let pass above a quota (`QuotaBounds`). A daemon that has counted
for less than one window begins with the tolerance alone. Requests that were admitted without a
coordinator are taken off afterwards, into debt if needed. A refusal states when
there is quota for the caller, one after the other, at most `MAX_RETRY_AFTER_SECONDS` later.

Why: in any window no more than rate x window + burst passes, and the tolerance, so a caller at the
limit is not refused for a request that is counted late. The rest of what may pass is for two
daemons that both count for a while. Callers that are given distinct times don't all return at once.

Measured in docs/design/tenants.md.
"""

from dataclasses import dataclass

from troutswitch.decisions.limits import TokenBucket
from troutswitch.decisions.tenants.types import QuotaBounds

TOLERANCE_SHARE = 0.4
"""Part of what may pass above a quota that a coordinator allows."""
MAX_RETRY_AFTER_SECONDS = 30.0
"""Longest time after which a caller is to retry."""


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """A tenant's limit in one version of the configuration; of two, the newer is in force.

    `rate` is in requests a second, `burst` in requests.
    """

    rate: float
    burst: float
    version: int


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """How many requests are granted; if none, the seconds until there is quota for one."""

    granted: int
    wait: float


@dataclass(slots=True)
class _Account:
    """What one tenant has left. `scheduled_retries` counts callers that got a time to retry."""

    limit: QuotaLimit
    bucket: TokenBucket
    scheduled_retries: float = 0.0


class QuotaLedger:
    """The accounts of tenants. One that nobody uses fills up, and is dropped then."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._accounts: dict[str, _Account] = {}
        self._checked_at = float("-inf")

    def __len__(self) -> int:
        return len(self._accounts)

    def tolerance(self, limit: QuotaLimit) -> float:
        """Returns the requests above the limit that are allowed in a window."""
        in_window = limit.rate * self._bounds.window + limit.burst
        return TOLERANCE_SHARE * (self._bounds.overshoot * in_window + self._bounds.slack)

    def _depth(self, limit: QuotaLimit) -> float:
        """Returns the requests that a full account allows at once."""
        return max(1.0, limit.burst + self.tolerance(limit))

    def take(
        self, now: float, tenant: str, limit: QuotaLimit, count: int, counts_since: float
    ) -> QuotaGrant:
        """Takes up to `count` requests, at least one if there is quota.

        `counts_since` is when this daemon began to count for the tenant, in seconds of its clock.
        """
        account = self._account(now, tenant, limit, counts_since)
        rate, depth = account.limit.rate, self._depth(account.limit)
        before = account.bucket.filled_at
        left = account.bucket.refill(now, rate, depth)
        account.scheduled_retries = max(0.0, account.scheduled_retries - (now - before) * rate)
        if left >= 1.0:
            granted = min(count, int(left))
            account.bucket.tokens -= granted
            return QuotaGrant(granted, 0.0)
        wait = min(MAX_RETRY_AFTER_SECONDS, (1.0 - left + account.scheduled_retries) / rate)
        account.scheduled_retries += 1.0
        return QuotaGrant(0, wait)

    def debit(
        self, now: float, tenant: str, limit: QuotaLimit, spent: int, counts_since: float
    ) -> None:
        """Takes off requests that a daemon admitted while it had no coordinator.

        Otherwise they would come on top of what the account has gathered meanwhile. The account
        may run into debt, at most as deep as it is when full.
        """
        if spent > 0:
            account = self._account(now, tenant, limit, counts_since)
            depth = self._depth(account.limit)
            left = account.bucket.refill(now, account.limit.rate, depth)
            account.bucket.tokens = max(-depth, left - spent)

    def has_ample_quota(self, tenant: str) -> bool:
        """Returns whether a tenant has used less than half of what it may send at once."""
        account = self._accounts.get(tenant)
        return account is not None and account.bucket.tokens > self._depth(account.limit) / 2

    def _account(self, now: float, tenant: str, limit: QuotaLimit, counts_since: float) -> _Account:
        account = self._accounts.get(tenant)
        if account is None:
            is_new_here = now - counts_since < self._bounds.window
            tokens = max(1.0, self.tolerance(limit)) if is_new_here else self._depth(limit)
            account = self._accounts[tenant] = _Account(limit, TokenBucket(tokens, now))
        elif limit.version > account.limit.version:
            account.limit = limit
        return account

    def forget_idle(self, now: float) -> None:
        """Drops accounts that have filled up again; checks once in a window."""
        if now < self._checked_at + self._bounds.window:
            return
        self._checked_at = now
        for tenant, account in list(self._accounts.items()):
            depth = self._depth(account.limit)
            if account.bucket.refill(now, account.limit.rate, depth) >= depth:
                del self._accounts[tenant]

    def forget(self, tenants: set[str]) -> None:
        """Drops accounts for which another daemon counts now."""
        for tenant in tenants:
            self._accounts.pop(tenant, None)

    def tenants(self) -> list[str]:
        """Returns the tenants with an account."""
        return list(self._accounts)
