"""Rate limits: a token bucket and a retry budget.

Both are plain state without a clock. Tenant quotas use the bucket, and retries of online requests
use the budget.
"""

from collections.abc import Callable
from dataclasses import dataclass

RETRY_CREDIT_PER_SUCCESS = 0.1
"""Retries that one successful request allows."""
MAX_RETRY_CREDIT = 10.0
"""Maximum number of retries that one service can accumulate on one daemon."""


@dataclass(slots=True)
class TokenBucket:
    """A rate limit that allows bursts."""

    tokens: float
    refilled_at: float

    def refill(self, now: float, rate: float, burst: float) -> float:
        """Adds the tokens accrued since the last call; returns the tokens in the bucket."""
        self.tokens = min(burst, self.tokens + max(0.0, now - self.refilled_at) * rate)
        self.refilled_at = max(now, self.refilled_at)
        return self.tokens

    def take(self, now: float, rate: float) -> float:
        """Takes one token and returns 0, or returns the seconds until one is available.

        The burst is the tokens of one second, but at least one.
        """
        self.refill(now, rate, max(1.0, rate))
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / rate if rate > 0 else 60.0


@dataclass(frozen=True, slots=True)
class CreditLimits:
    """The credit with which a retry budget starts, and the most that it accumulates."""

    start: float
    maximum: float


USUAL_CREDIT = CreditLimits(MAX_RETRY_CREDIT, MAX_RETRY_CREDIT)
"""Limits of a budget that does not depend on the fleet."""


def _usual_limits(service: str) -> CreditLimits:
    """Returns the limits of services without others."""
    return USUAL_CREDIT


class RetryBudget:
    """Allows retries as a share of recent successes, for each service.

    If the credit at the start changes, the difference is added, so that the retries that were taken
    count against the new start too, and no change of it creates credit.

    Args:
        limits: returns the present limits of a service's budget.
    """

    def __init__(self, limits: Callable[[str], CreditLimits] = _usual_limits) -> None:
        self._limits = limits
        self._credit: dict[str, float] = {}
        self._starts: dict[str, float] = {}
        """The credit at the start that is contained in the present one, by service."""

    def on_success(self, service: str) -> None:
        """Records that a request succeeded."""
        credit = self._present_credit(service) + RETRY_CREDIT_PER_SUCCESS
        self._credit[service] = min(credit, self._limits(service).maximum)

    def take(self, service: str) -> bool:
        """Takes one retry; returns whether there was credit for it."""
        credit = self._present_credit(service)
        if credit < 1.0:
            return False
        self._credit[service] = credit - 1.0
        return True

    def _present_credit(self, service: str) -> float:
        limits = self._limits(service)
        credit = self._credit.get(service, limits.start)
        former_start = self._starts.get(service, limits.start)
        if former_start != limits.start:
            credit += limits.start - former_start
        credit = min(credit, limits.maximum)
        self._credit[service], self._starts[service] = credit, limits.start
        return credit
