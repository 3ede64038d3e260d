"""Reads the whole list of engines from the store, again and again, page by page.

Owns the reading in progress. Relies on the store's calls (`storage.messages`); the caller passes
the records of a whole reading on to `engines`. All times are this process's clock, in seconds.

Why the newest records whole, instead of following each write: that costs no more at the list's
rate of heartbeats, and an entry that expired is missed at the next reading.
"""

import random

from troutswitch.decisions.storage.follower import CallNumbers
from troutswitch.decisions.storage.messages import (
    KeyedRecord,
    NewestPage,
    Partition,
    ReadNewest,
    StoreCall,
    StoreOutcome,
)

ENGINES_TOPIC = "servers"
RETRY_SECONDS = 0.3
"""Mean time after a failed call before the page is read again."""
RETRY_JITTER = (0.5, 1.5)
"""Shares of that time, between which it is drawn."""
INTERVAL_JITTER = (0.8, 1.2)
"""Shares of the interval, between which the time to the next reading is drawn."""
TIMEOUT_FIRST_SECONDS = 0.6
"""Timeout of the first call; it doubles with each failure."""
TIMEOUT_MOST_SECONDS = 3.0
TIMEOUT_DOUBLINGS_MOST = 5
CALL_LOST_SECONDS = 2.0
"""Time past its timeout after which a call without any outcome counts as failed."""
READING_SECONDS_MOST = 3.0
"""Age up to which the first pages of a reading count when a later one must be read again. Begun
anew after each failure, a list of many pages is hardly ever read while one call in two fails."""


class EngineListReader:
    """Reads the list each `interval` seconds, or `least_interval` if that is longer."""

    def __init__(self, numbers: CallNumbers, rng: random.Random, interval: float) -> None:
        self.interval = interval
        self.least_interval = 0.0
        self.pages = 1
        """Pages of the last whole reading."""
        self.failures = 0
        """Calls in a row that failed."""
        self.failing_since = float("inf")
        """When the first of them failed; infinite if the last call succeeded."""
        self._numbers = numbers
        self._rng = rng
        self._call = 0
        self._due = float("-inf")
        self._lost_at = float("inf")
        self._after_key = ""
        self._rows: list[KeyedRecord] = []
        self._pages_read = 0
        self._began_at = float("-inf")

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return self._lost_at if self._call else self._due

    def owns(self, call: int) -> bool:
        """Returns whether an answer belongs to this reader."""
        return call == self._call != 0

    def read_again(self, now: float) -> None:
        """Drops the reading in progress, and begins another at once."""
        self._call = 0
        self._forget_pages()
        self._due = now

    def _forget_pages(self) -> None:
        self._rows = []
        self._pages_read = 0
        self._after_key = ""

    def on_timer(self, now: float) -> list[StoreCall]:
        """Returns the call for the next page, if it is due."""
        if self._call and now >= self._lost_at:
            self._on_failed(now)
        if self._call or now < self._due:
            return []
        self._call = self._numbers.next()
        if not self._after_key:
            self._began_at = now
        doublings = min(self.failures, TIMEOUT_DOUBLINGS_MOST)
        timeout = min(TIMEOUT_FIRST_SECONDS * 2**doublings, TIMEOUT_MOST_SECONDS)
        self._lost_at = now + timeout + CALL_LOST_SECONDS
        return [ReadNewest(self._call, Partition(ENGINES_TOPIC), self._after_key, timeout)]

    def on_answer(self, now: float, outcome: StoreOutcome) -> list[KeyedRecord] | None:
        """Takes a page or a failure; returns the whole list's records after the last page."""
        self._call = 0
        if not isinstance(outcome, NewestPage):
            self._on_failed(now)
            return None
        self.failures = 0
        self.failing_since = float("inf")
        self._rows.extend(outcome.records)
        self._pages_read += 1
        if outcome.has_more and outcome.records:
            self._after_key = outcome.records[-1].key
            self._due = now
            return None
        rows, self.pages = self._rows, self._pages_read
        self._forget_pages()
        self._due = now + max(self.interval, self.least_interval) * self._rng.uniform(
            *INTERVAL_JITTER
        )
        return rows

    def _on_failed(self, now: float) -> None:
        self._call = 0
        self.failures += 1
        self.failing_since = min(self.failing_since, now)
        if now - self._began_at > READING_SECONDS_MOST:
            self._forget_pages()
        self._due = now + RETRY_SECONDS * self._rng.uniform(*RETRY_JITTER)
