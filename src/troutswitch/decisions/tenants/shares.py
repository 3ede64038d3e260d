"""Quotas by shares that each daemon keeps for itself, without a word to others."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.decisions.limits import TokenBucket
from troutswitch.decisions.tenants.quota import UNLIMITED, NoQuota, QuotaMessage
from troutswitch.decisions.tenants.types import Tenant

ALONE_FACTOR = 1.5
"""How many times its equal share a daemon may send while nobody counts for all: callers are drawn
to daemons unevenly. With four times, a tenant at eleven times its usual came to 1.61 of what
users allow in a window while nobody counted for 4 s (`tests/worlds/quota_world.py`, 61 daemons)."""
SHARE_LEAST = 1.0
"""Least requests at once of a share."""
WORD_SECONDS = 5.0
"""Age up to which the words of whoever counts tell how much of a tenant's requests may go."""


class EqualShares(NoQuota):
    """Each daemon allows its equal part of a quota, times a factor."""

    def __init__(self, daemons: Callable[[], int], factor: float = 1.0, least: float = 1.0) -> None:
        self._daemons = daemons
        self._factor = factor
        self._least = least
        self._buckets: dict[str, TokenBucket] = {}

    def take(self, now: float, token: int, tenant: Tenant) -> QuotaMessage | None:
        """Takes one request from this daemon's part."""
        if not tenant.is_limited:
            return UNLIMITED
        part = min(1.0, self._factor / max(1, self._daemons()))
        rate = tenant.rate * part
        depth = max(self._least, tenant.burst * part)
        bucket = self._buckets.setdefault(tenant.name, TokenBucket(depth, now))
        left = bucket.refill(now, rate, depth)
        if left >= 1.0:
            bucket.tokens -= 1.0
            return QuotaMessage(True, 0.0, "own share")
        return QuotaMessage(False, (1.0 - left) / rate, "own share")


@dataclass(slots=True)
class _Words:
    """What whoever counts has said of a tenant lately."""

    last_seen_at: float
    allowed: float = 0.0
    refused: float = 0.0


class LastGrants:
    """Decides while nobody counts: as large a part goes as went before, at most a share."""

    def __init__(self, daemons: Callable[[], int], rng: random.Random) -> None:
        self._shares = EqualShares(daemons, ALONE_FACTOR, SHARE_LEAST)
        self._rng = rng
        self._words: dict[str, _Words] = {}

    def on_word(self, now: float, tenant: str, is_allowed: bool) -> None:
        """Notes a word of whoever counts."""
        words = self._words.get(tenant)
        if words is None or now - words.last_seen_at > WORD_SECONDS:
            words = self._words[tenant] = _Words(now)
        words.last_seen_at = now
        if is_allowed:
            words.allowed += 1.0
        else:
            words.refused += 1.0

    def take(self, now: float, tenant: Tenant) -> QuotaMessage:
        """Decides on one request."""
        words = self._words.get(tenant.name)
        if words is not None and words.refused and now - words.last_seen_at <= WORD_SECONDS:
            part = words.allowed / (words.allowed + words.refused)
            if self._rng.random() >= part:
                return QuotaMessage(False, 1.0 / tenant.rate, "last words")
        grant = self._shares.take(now, 0, tenant)
        return grant if grant is not None else UNLIMITED
