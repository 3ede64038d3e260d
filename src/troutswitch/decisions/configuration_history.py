"""Reads the records before a malformed configuration, which the store's newest record hides.

The store's pages hold the newest record of each key alone. If that one is malformed, the newest
sound configuration is among the records before it, as far as the store still has them.

    IDLE    -> READING  a malformed record was read from a page
    READING -> READING  more records follow, a read failed, or the first ones are gone
    READING -> IDLE     all records up to the malformed one were read, or none of them is left

Owns the position of the reading. The records are applied in the order of the topic.
"""

import random
from collections.abc import Callable

from troutswitch.decisions.storage.messages import (
    HistoryGone,
    KeyedRecord,
    Partition,
    ReadRecords,
    RecordsRead,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers, ReadAttempts


class ConfigurationHistory:
    """Reads a part of a topic's history once.

    Args:
        partition: the configuration's topic.
        numbers: source of call numbers.
        rng: source of jitter.
        apply: called with each record read, in order.
    """

    def __init__(
        self,
        partition: Partition,
        numbers: CallNumbers,
        rng: random.Random,
        apply: Callable[[KeyedRecord], None],
    ) -> None:
        self._partition = partition
        self._attempts = ReadAttempts(numbers, rng)
        self._apply = apply
        self._offset = 0
        self._end = 0

    @property
    def is_reading(self) -> bool:
        """Whether records are still to be read."""
        return self._offset < self._end

    def read_up_to(self, now: float, end: int) -> None:
        """Reads the records before the offset `end`; those that were read are not read again."""
        if end <= self._end:
            return
        if not self.is_reading:
            self._attempts.abandon(now)
        self._end = end

    def owns(self, call: int) -> bool:
        """Returns whether a store call is this reader's."""
        return self._attempts.owns(call)

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return self._attempts.next_due() if self.is_reading else float("inf")

    def on_timer(self, now: float) -> list[StoreCall]:
        """Returns the next read if it is due."""
        if not self.is_reading or not self._attempts.is_due(now):
            return []
        attempt = self._attempts.begin(now)
        return [
            ReadRecords(
                attempt.call,
                self._partition,
                self._offset,
                0.0,
                attempt.timeout,
                attempt.on_new_connection,
            )
        ]

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a read in flight; one that brings nothing is repeated."""
        match outcome:
            case RecordsRead() if outcome.records:
                self._attempts.on_succeeded(call, now)
                self._take(outcome)
            case HistoryGone() if outcome.first_offset > self._offset:
                self._attempts.on_succeeded(call, now)
                self._offset = outcome.first_offset
            case _:
                self._attempts.on_failed(now, call)

    def _take(self, read: RecordsRead) -> None:
        for record in read.records:
            if self._offset <= record.offset < self._end:
                self._apply(record)
        self._offset = max(self._offset, read.next_offset)
