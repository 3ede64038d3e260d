"""Brings a follower up to the partition's end on demand, one read for all who wait.

Whoever asks while a read is in flight waits for the next one, since the read in flight
may have been answered before it asked.
"""

from collections.abc import Callable

from troutswitch.decisions.storage.follower import CallNumbers, PartitionFollower
from troutswitch.decisions.storage.messages import (
    HistoryGone,
    ReadRecords,
    RecordsRead,
    StoreCall,
    StoreOutcome,
)

LOST_SECONDS = 4.0
"""Time after which a read counts as lost."""

Waiter = Callable[[float, bool], None]
"""Called with the time and whether the partition was read to its end."""


class Refresher:
    """Reads one follower's partition to its end for those who ask."""

    def __init__(self, follower: PartitionFollower, numbers: CallNumbers) -> None:
        self.follower = follower
        self._numbers = numbers
        self._call = 0
        self._requested_at = float("-inf")
        self._served: list[Waiter] = []
        self._queued: list[Waiter] = []

    def ask(self, waiter: Waiter) -> None:
        """Has a waiter called once the partition was read to its end, or could not be."""
        self._queued.append(waiter)

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        if self._call:
            return self._requested_at + LOST_SECONDS
        return float("-inf") if self._queued and self.follower.is_current else float("inf")

    def owns(self, call: int) -> bool:
        """Returns whether an answer belongs to this refresher."""
        return call == self._call != 0

    def on_timer(self, now: float) -> list[StoreCall]:
        """Begins a read if somebody waits; while the follower starts, they wait on."""
        if self._call and now >= self._requested_at + LOST_SECONDS:
            self._call = 0
            self._serve(now, False)
        if self._call or not self._queued:
            return []
        if not self.follower.is_current:
            if self.follower.failures:
                self._served, self._queued = self._queued, []
                self._serve(now, False)
            return []
        self._served, self._queued = self._queued, []
        return [self._read(now)]

    def _read(self, now: float) -> StoreCall:
        self._call = self._numbers.next()
        self._requested_at = now
        return ReadRecords(self._call, self.follower.partition, self.follower.next_offset)

    def on_answer(self, now: float, outcome: StoreOutcome) -> list[StoreCall]:
        """Takes the outcome of the read; a partition that has more is read on."""
        self._call = 0
        match outcome:
            case RecordsRead():
                self.follower.absorb(self._requested_at, outcome)
                if outcome.next_offset < outcome.end and outcome.records:
                    return [self._read(now)]
                self._serve(now, True)
            case HistoryGone():
                self.follower.on_history_gone(now, outcome)
                self._queued = self._served + self._queued
                self._served = []
            case _:
                self._serve(now, False)
        return []

    def _serve(self, now: float, succeeded: bool) -> None:
        waiters, self._served = self._served, []
        for waiter in waiters:
            waiter(now, succeeded)
