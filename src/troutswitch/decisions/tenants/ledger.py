"""Counts what tenants have sent, as the one daemon that counts for all."""

from dataclasses import dataclass

from troutswitch.decisions.limits import TokenBucket
from troutswitch.decisions.tenants.types import QuotaBounds

TOLERANCE_SHARE = 0.4
"""Part of what may pass above a quota that is allowed on purpose, so that a caller at the limit is
not refused for a request counted late. The rest is for two daemons that both count for a while:
a new one begins with the tolerance alone."""
WAIT_MOST_SECONDS = 30.0
"""Longest time after which a caller is asked to come back."""


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """A tenant's limit as one version of the configuration has it; of two, the newer holds."""

    rate: float
    burst: float
    version: int


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """How many requests may go, and where none may, when there is room for one, in seconds."""

    granted: int
    wait: float


@dataclass(slots=True)
class _Account:
    """What one tenant has left. `promised` counts callers that were told when to come back."""

    limit: QuotaLimit
    bucket: TokenBucket
    promised: float = 0.0


class QuotaLedger:
    """The accounts of tenants; one that nobody asks for is as good as full and is dropped.

    A token bucket: in any window of the bounds it allows no more than rate x window + burst, and
    the tolerance.
    """

    def __init__(self, bounds: QuotaBounds) -> None:
        self.bounds = bounds
        self._accounts: dict[str, _Account] = {}
        self._forget_at = float("-inf")

    def __len__(self) -> int:
        return len(self._accounts)

    def tolerance(self, limit: QuotaLimit) -> float:
        """Returns the requests above the limit that are allowed in a window."""
        in_window = limit.rate * self.bounds.window + limit.burst
        return TOLERANCE_SHARE * (self.bounds.overshoot * in_window + self.bounds.slack)

    def _depth(self, limit: QuotaLimit) -> float:
        return max(1.0, limit.burst + self.tolerance(limit))

    def take(
        self, now: float, tenant: str, limit: QuotaLimit, count: int, counts_since: float
    ) -> QuotaGrant:
        """Takes up to `count` requests, at least one if there is room.

        `counts_since` is when this daemon began to count for the tenant: what went before is not
        known for a window.
        """
        account = self._account(now, tenant, limit, counts_since)
        rate, depth = account.limit.rate, self._depth(account.limit)
        before = account.bucket.filled_at
        left = account.bucket.refill(now, rate, depth)
        account.promised = max(0.0, account.promised - (now - before) * rate)
        if left >= 1.0:
            granted = min(count, int(left))
            account.bucket.tokens -= granted
            return QuotaGrant(granted, 0.0)
        wait = min(WAIT_MOST_SECONDS, (1.0 - left + account.promised) / rate)
        account.promised += 1.0
        return QuotaGrant(0, wait)

    def debit(
        self, now: float, tenant: str, limit: QuotaLimit, spent: int, counts_since: float
    ) -> None:
        """Takes off what went while this daemon was not heard; an account may run into debt.

        Without it, what went meanwhile came on top of what had gathered here: 1.04 of what users
        allow in a window after two seconds of silence (`tests/worlds/quota_world.py`).
        """
        if spent > 0:
            account = self._account(now, tenant, limit, counts_since)
            depth = self._depth(account.limit)
            left = account.bucket.refill(now, account.limit.rate, depth)
            account.bucket.tokens = max(-depth, left - spent)

    def is_ample(self, tenant: str) -> bool:
        """Returns whether a tenant has used less than half of what it may send at once."""
        account = self._accounts.get(tenant)
        return account is not None and account.bucket.tokens > self._depth(account.limit) / 2

    def _account(self, now: float, tenant: str, limit: QuotaLimit, counts_since: float) -> _Account:
        account = self._accounts.get(tenant)
        if account is None:
            is_new_here = now - counts_since < self.bounds.window
            tokens = max(1.0, self.tolerance(limit)) if is_new_here else self._depth(limit)
            account = self._accounts[tenant] = _Account(limit, TokenBucket(tokens, now))
        elif limit.version > account.limit.version:
            account.limit = limit
        return account

    def forget_idle(self, now: float) -> None:
        """Drops accounts that have filled up again; looks once in a window."""
        if now < self._forget_at + self.bounds.window:
            return
        self._forget_at = now
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
