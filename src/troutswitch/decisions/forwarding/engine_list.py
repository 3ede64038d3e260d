"""Reads the whole list of engines again and again, page by page.

Reading the newest records whole, instead of following them, costs no more at the list's
rate of heartbeats, and an entry that lapsed is missed at the next reading.
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

SERVERS_TOPIC = "servers"
RETRY_SECONDS = 0.3
TIMEOUT_FIRST_SECONDS = 0.6
"""Time for the answer to the first try; it doubles with each failure."""
TIMEOUT_MOST_SECONDS = 3.0
CALL_LOST_SECONDS = 2.0
"""Time past its timeout after which a call counts as lost."""
READING_SECONDS_MOST = 3.0
"""Age up to which the first pages of a reading count when a later one must be asked for again.
Begun anew after each failure, a list of six pages is hardly ever read while one call in two fails:
a fleet of 300 daemons and 3,000 engines knew hardly any engine (0.41 of its requests served)."""


class EngineListReader:
    """Reads the list each `interval` seconds, or `least_interval` if that is longer."""

    def __init__(self, numbers: CallNumbers, rng: random.Random, interval: float) -> None:
        self.interval = interval
        self.least_interval = 0.0
        self.pages = 1
        """Pages of the last whole reading."""
        self.failures = 0
        self.failing_since = float("inf")
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
        """Gives a reading in flight up, and begins another at once."""
        self._call = 0
        self._forget_pages()
        self._due = now

    def _forget_pages(self) -> None:
        self._rows = []
        self._pages_read = 0
        self._after_key = ""

    def on_timer(self, now: float) -> list[StoreCall]:
        """Asks for the next page if it is due."""
        if self._call and now >= self._lost_at:
            self._begin_again(now)
        if self._call or now < self._due:
            return []
        self._call = self._numbers.next()
        if not self._after_key:
            self._began_at = now
        timeout = min(TIMEOUT_FIRST_SECONDS * 2 ** min(self.failures, 5), TIMEOUT_MOST_SECONDS)
        self._lost_at = now + timeout + CALL_LOST_SECONDS
        return [ReadNewest(self._call, Partition(SERVERS_TOPIC), self._after_key, timeout)]

    def on_answer(self, now: float, outcome: StoreOutcome) -> list[KeyedRecord] | None:
        """Takes a page; returns the whole list's records after the last one."""
        self._call = 0
        if not isinstance(outcome, NewestPage):
            self._begin_again(now)
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
        self._due = now + max(self.interval, self.least_interval) * self._rng.uniform(0.8, 1.2)
        return rows

    def _begin_again(self, now: float) -> None:
        self._call = 0
        self.failures += 1
        self.failing_since = min(self.failing_since, now)
        if now - self._began_at > READING_SECONDS_MOST:
            self._forget_pages()
        self._due = now + RETRY_SECONDS * self._rng.uniform(0.5, 1.5)
