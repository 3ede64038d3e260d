"""Limits on what is admitted and retried: a token bucket, and a budget of retries.

Both are plain state without a clock. The quotas of tenants rely on the bucket, the retries of
online requests on the budget.
"""

from dataclasses import dataclass

RETRY_CREDIT_PER_SUCCESS = 0.1
"""Retries that one success allows."""
MAX_RETRY_CREDIT = 10.0
"""Most retries that one service can accumulate on one daemon."""


@dataclass(slots=True)
class TokenBucket:
    """A rate limit with a burst."""

    tokens: float
    refilled_at: float

    def refill(self, now: float, rate: float, burst: float) -> float:
        """Adds what has come since the last call, and returns the tokens that are there."""
        self.tokens = min(burst, self.tokens + max(0.0, now - self.refilled_at) * rate)
        self.refilled_at = max(now, self.refilled_at)
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


class RetryBudget:
    """Allows retries as a share of recent successes, by service."""

    def __init__(self) -> None:
        self._credit: dict[str, float] = {}

    def on_success(self, service: str) -> None:
        """A request succeeded."""
        credit = self._credit.get(service, MAX_RETRY_CREDIT) + RETRY_CREDIT_PER_SUCCESS
        self._credit[service] = min(credit, MAX_RETRY_CREDIT)

    def take(self, service: str) -> bool:
        """Takes one retry, if there is credit."""
        credit = self._credit.get(service, MAX_RETRY_CREDIT)
        if credit < 1.0:
            return False
        self._credit[service] = credit - 1.0
        return True
