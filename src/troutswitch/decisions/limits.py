"""Rate limits: a token bucket and a retry budget.

Both are plain state without a clock. Tenant quotas use the bucket, and retries of online requests
use the budget.
"""

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


class RetryBudget:
    """Allows retries as a share of recent successes, for each service."""

    def __init__(self) -> None:
        self._credit: dict[str, float] = {}

    def on_success(self, service: str) -> None:
        """Records that a request succeeded."""
        credit = self._credit.get(service, MAX_RETRY_CREDIT) + RETRY_CREDIT_PER_SUCCESS
        self._credit[service] = min(credit, MAX_RETRY_CREDIT)

    def take(self, service: str) -> bool:
        """Takes one retry; returns whether there was credit for it."""
        credit = self._credit.get(service, MAX_RETRY_CREDIT)
        if credit < 1.0:
            return False
        self._credit[service] = credit - 1.0
        return True
