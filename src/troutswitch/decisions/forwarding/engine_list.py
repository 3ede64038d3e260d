"""Reads the whole list of engines from the store periodically, page by page.

Owns the reading in progress. Relies on the store's calls (`storage.messages`); the caller passes
the records of a whole reading on to `engines`. All times are this process's clock, in seconds.

Why the newest records are read whole instead of following each write: at the heartbeat rate of the
list this costs no more, and an expired entry is noticed at the next reading.
"""

import random

from troutswitch.decisions.storage.messages import (
    KeyedRecord,
    NewestPage,
    Partition,
    ReadNewest,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers, ReadAttempts

ENGINES_TOPIC = "servers"
RETRY_SECONDS = 0.3
"""Mean time from a failed call until the page is read again."""
RETRY_JITTER = (0.5, 1.5)
"""Range of the random factor on `RETRY_SECONDS`."""
INTERVAL_JITTER = (0.8, 1.2)
"""Range of the random factor on the interval between readings."""
MAX_READING_SECONDS = 3.0
"""Age up to which the first pages of a reading are kept when a later page must be read again. If
each failure restarted the reading, a list of many pages would hardly ever be read completely while
one call in two fails."""


class EngineListReader:
    """Reads the list each `interval` seconds, or each `min_interval` if that is longer.

    A call that has no answer after the same time is repeated in parallel.
    """

    def __init__(self, numbers: CallNumbers, rng: random.Random, interval: float) -> None:
        self.interval = interval
        self.min_interval = 0.0
        self.page_count = 1
        """Number of pages of the last whole reading."""
        self.attempts = ReadAttempts(numbers, rng, self._pause)
        self._rng = rng
        self._after_keys = [""]
        """Keys behind which the pages of the reading begin, up to the next one."""
        self._rows: list[KeyedRecord] = []
        self._pages_read = 0
        self._started_at = float("-inf")
        self.requested_at = float("-inf")
        """When the first page of the last whole reading, or of the one in progress, was requested.
        The list has all that the store had then."""

    def _pause(self, failures: int) -> float:
        """Returns the pause after a failed call, whatever the number of failures."""
        return RETRY_SECONDS * self._rng.uniform(*RETRY_JITTER)

    def next_due(self) -> float:
        """Returns when `on_timer` must be called next."""
        return self.attempts.next_due()

    def owns(self, call: int) -> bool:
        """Returns whether a call was made by this reader."""
        return self.attempts.owns(call)

    def read_again(self, now: float) -> None:
        """Drops the reading in progress, and starts another immediately."""
        self._clear_pages()
        self.attempts.abandon(now, doubts_connections=True)

    def _clear_pages(self) -> None:
        self._rows = []
        self._pages_read = 0
        self._after_keys = [""]

    @property
    def _after_key(self) -> str:
        return self._after_keys[-1]

    def on_timer(self, now: float) -> list[StoreCall]:
        """Returns the call for the next page, if it is due."""
        self.attempts.repeat_after = max(self.interval, self.min_interval)
        if not self.attempts.is_due(now):
            return []
        self._restart_if_old(now)
        if not self._after_key:
            self._started_at = now
        attempt = self.attempts.begin(now)
        return [
            ReadNewest(
                attempt.call,
                Partition(ENGINES_TOPIC),
                self._after_key,
                attempt.timeout,
                attempt.on_new_connection,
            )
        ]

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> list[KeyedRecord] | None:
        """Handles a page or a failure; returns the whole list's records after the last page.

        A page that leads to no further one, though it is not the last, is a failure: the engines
        behind it would count as gone.
        """
        if not isinstance(outcome, NewestPage) or not outcome.leads_on(self._after_keys):
            self.attempts.on_failed(now, call)
            return None
        self._rows.extend(outcome.records)
        self._pages_read += 1
        if outcome.has_more:
            self._after_keys.append(outcome.next_key)
            self._on_page_read(call, now)
            return None
        interval = max(self.interval, self.min_interval)
        self._on_page_read(call, now + interval * self._rng.uniform(*INTERVAL_JITTER))
        rows, self.page_count = self._rows, self._pages_read
        self._clear_pages()
        return rows

    def _on_page_read(self, call: int, due: float) -> None:
        attempt = self.attempts.on_succeeded(call, due)
        if self._pages_read == 1:
            self.requested_at = attempt.requested_at

    def _restart_if_old(self, now: float) -> None:
        """Restarts the reading if a page failed and the pages before it are old."""
        is_old = now - self._started_at > MAX_READING_SECONDS
        if self._after_key and self.attempts.failures and is_old:
            self._clear_pages()
            self.attempts.abandon(now)
