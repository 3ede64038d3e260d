"""Decides how many of a tenant's requests are admitted, by an account for each tenant.

Inputs: the limit in the newest configuration that any daemon reported, as requests per second and a
burst in requests; the requests admitted so far; when the ledger was opened, in seconds of this
daemon's clock.

Rule: each account is a token bucket that was empty when the ledger was opened. An `Allowance` sets
its rate and depth:

- `counted_allowance`: the limit's rate, and its burst plus a tolerance of `TOLERANCE_SHARE` of the
  excess that is permitted above a quota (`QuotaBounds`);
- `reserve_allowance`: at most `RESERVE_SHARE` of that excess in any window.

New requests leave `KEPT_FOR_FURTHER_ATTEMPTS` to further attempts of requests that may have run. A
refusal states when there is quota for the caller. Callers get consecutive times, at most
`MAX_RETRY_AFTER_SECONDS` later.

Why: an account never admits more than its depth plus its rate times the window. This also holds for
ledgers of which each is opened after the one before it was closed, as each begins empty or with
what was left. The rest of the permitted excess is for coordinators that can't exclude that another
one counts (`coordination.py`). Callers with distinct times don't all return at the same time.

Measured in docs/design/tenants.md.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from troutswitch.decisions.limits import TokenBucket
from troutswitch.decisions.tenants.types import QuotaBounds

TOLERANCE_SHARE = 0.4
"""Share of the permitted excess above a quota that a confirmed coordinator uses."""
RESERVE_SHARE = 0.5
"""Share that a coordinator uses which can't exclude that another one counts. Together with
`TOLERANCE_SHARE` it stays below 1, so that rounding doesn't exceed the excess."""
KEPT_FOR_FURTHER_ATTEMPTS = 1.0
"""Requests that new requests leave in an account. So further attempts, whose requests can no longer
be refused as not run, go first."""
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


@dataclass(frozen=True, slots=True)
class Allowance:
    """What an account admits: `rate` in requests per second, and `depth` requests at once.

    New requests leave `kept` of these to further attempts.
    """

    rate: float
    depth: float
    kept: float = 0.0


AllowanceRule = Callable[[QuotaLimit], Allowance]
"""Returns the allowance of an account with a limit."""


def permitted_excess(bounds: QuotaBounds, limit: QuotaLimit) -> float:
    """Returns the number of requests above the limit that are permitted in a window."""
    return bounds.overshoot * (limit.rate * bounds.window + limit.burst) + bounds.slack


def counted_allowance(bounds: QuotaBounds) -> AllowanceRule:
    """Returns the rule for a coordinator that alone counts."""

    def allowance(limit: QuotaLimit) -> Allowance:
        tolerance = TOLERANCE_SHARE * permitted_excess(bounds, limit)
        depth = max(1.0, limit.burst + tolerance)
        return Allowance(limit.rate, depth, min(KEPT_FOR_FURTHER_ATTEMPTS, depth - 1.0))

    return allowance


def reserve_allowance(bounds: QuotaBounds) -> AllowanceRule:
    """Returns the rule for a coordinator beside which another one may count."""

    def allowance(limit: QuotaLimit) -> Allowance:
        in_window = RESERVE_SHARE * permitted_excess(bounds, limit)
        depth = min(1.0, in_window)
        return Allowance(max(0.0, in_window - depth) / bounds.window, depth)

    return allowance


@dataclass(slots=True)
class _Account:
    """State of one tenant's quota. `scheduled_retries` counts callers that got a time to retry."""

    limit: QuotaLimit
    bucket: TokenBucket
    scheduled_retries: float = 0.0


class QuotaLedger:
    """The accounts of tenants. An account is dropped once it would be opened again as full.

    Args:
        allowance: the rule for all accounts.
        opened_at: when the ledger was opened; accounts were empty then.
        balances: the accounts that were handed over, in requests at `handed_over_at`.
        handed_over_at: when these balances were received.
    """

    def __init__(
        self,
        allowance: AllowanceRule,
        opened_at: float,
        balances: Mapping[str, float] | None = None,
        handed_over_at: float = 0.0,
    ) -> None:
        self.opened_at = opened_at
        self._allowance = allowance
        self._balances = dict(balances or {})
        self._handed_over_at = handed_over_at
        self._accounts: dict[str, _Account] = {}
        self._checked_at = opened_at

    def __len__(self) -> int:
        return len(self._accounts)

    def take(
        self, now: float, tenant: str, limit: QuotaLimit, *, is_further: bool = False
    ) -> QuotaGrant:
        """Grants one request, or one further attempt of a request, if there is quota for it."""
        account = self._account(now, tenant, limit)
        allowance = self._allowance(account.limit)
        before = account.bucket.refilled_at
        available = account.bucket.refill(now, allowance.rate, allowance.depth)
        refilled = (now - before) * allowance.rate
        account.scheduled_retries = max(0.0, account.scheduled_retries - refilled)
        usable = available if is_further else available - allowance.kept
        if usable >= 1.0:
            account.bucket.tokens -= 1.0
            return QuotaGrant(True, 0.0)
        return QuotaGrant(False, self._schedule_retry(account, allowance, usable))

    def _schedule_retry(self, account: _Account, allowance: Allowance, usable: float) -> float:
        """Returns the seconds after which there is quota for one more caller."""
        ahead = account.scheduled_retries
        account.scheduled_retries += 1.0
        if allowance.rate <= 0:
            return MAX_RETRY_AFTER_SECONDS
        return min(MAX_RETRY_AFTER_SECONDS, (1.0 - usable + ahead) / allowance.rate)

    def _account(self, now: float, tenant: str, limit: QuotaLimit) -> _Account:
        account = self._accounts.get(tenant)
        if account is None:
            tokens = self._opening_balance(now, tenant, limit)
            self._balances.pop(tenant, None)
            account = self._accounts[tenant] = _Account(limit, TokenBucket(tokens, now))
        elif limit.version > account.limit.version:
            account.limit = limit
        return account

    def _opening_balance(self, now: float, tenant: str, limit: QuotaLimit) -> float:
        """Returns what an account that is opened now holds."""
        allowance = self._allowance(limit)
        balance = self._balances.get(tenant, 0.0)
        since = self._handed_over_at if tenant in self._balances else self.opened_at
        return min(allowance.depth, balance + max(0.0, now - since) * allowance.rate)

    def drop_idle(self, now: float, interval: float) -> None:
        """Drops accounts that have filled up, unless they would be opened again with less.

        Checks once in an interval, in seconds.
        """
        if now < self._checked_at + interval:
            return
        self._checked_at = now
        for tenant, account in list(self._accounts.items()):
            allowance = self._allowance(account.limit)
            is_full = account.bucket.refill(now, allowance.rate, allowance.depth) >= allowance.depth
            if is_full and self._opening_balance(now, tenant, account.limit) >= allowance.depth:
                del self._accounts[tenant]

    def balances(self, now: float) -> dict[str, float]:
        """Returns what is left in the accounts, in requests."""
        left = dict(self._balances)
        for tenant, account in self._accounts.items():
            allowance = self._allowance(account.limit)
            left[tenant] = account.bucket.refill(now, allowance.rate, allowance.depth)
        return left
