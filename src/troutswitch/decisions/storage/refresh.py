"""Reads a follower's partition to its end on demand, with one read for all waiters.

A waiter is notified once the view includes the end that the store stated after the waiter was
added. One that is added while a read is in flight therefore waits for the next read, because the
store may have answered the one in flight before. Owns the waiters and the read.
"""

from collections.abc import Callable

from troutswitch.decisions.storage.follower import PartitionFollower
from troutswitch.decisions.storage.messages import (
    HistoryGone,
    ReadRecords,
    RecordsRead,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers

CALL_EXPIRY_SECONDS = 4.0
"""Time after which a read without an answer counts as failed."""

Waiter = Callable[[float, bool], None]
"""Callback with the time and whether the partition was read to its end."""


class Refresher:
    """Reads one follower's partition to its end for its waiters."""

    def __init__(self, follower: PartitionFollower, numbers: CallNumbers) -> None:
        self._follower = follower
        self._numbers = numbers
        self._call = 0
        self._requested_at = float("-inf")
        self._target: int | None = None
        """The end that the first read for the current waiters stated."""
        self._current_waiters: list[Waiter] = []
        self._next_waiters: list[Waiter] = []

    def refresh(self, waiter: Waiter) -> None:
        """Adds a waiter, called once the partition was read to its end or the read failed."""
        self._next_waiters.append(waiter)

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        if self._call:
            return self._requested_at + CALL_EXPIRY_SECONDS
        is_due = bool(self._next_waiters) and self._follower.is_following
        return float("-inf") if is_due else float("inf")

    def owns(self, call: int) -> bool:
        """Returns whether a store call is this refresher's read."""
        return call == self._call != 0

    def on_timer(self, now: float) -> list[StoreCall]:
        """Starts a read if there are waiters and no read is in flight.

        While the follower reads the whole partition, waiters go on waiting; if that read has
        failed, they are notified of the failure.
        """
        if self._call and now >= self._requested_at + CALL_EXPIRY_SECONDS:
            self._call = 0
            self._notify(now, False)
        if self._call or not self._next_waiters:
            return []
        if not self._follower.is_following:
            if self._follower.attempts.failures:
                self._current_waiters, self._next_waiters = self._next_waiters, []
                self._notify(now, False)
            return []
        self._current_waiters, self._next_waiters = self._next_waiters, []
        self._target = None
        return [self._read(now)]

    def _read(self, now: float) -> StoreCall:
        self._call = self._numbers.next()
        self._requested_at = now
        return ReadRecords(self._call, self._follower.partition, self._follower.next_offset)

    def on_answer(self, now: float, outcome: StoreOutcome) -> list[StoreCall]:
        """Handles the outcome of the read; returns another read while the partition has more."""
        self._call = 0
        match outcome:
            case RecordsRead():
                return self._on_read(now, outcome)
            case HistoryGone():
                self._follower.on_history_gone(now, outcome)
                self._wait_for_follower()
            case _:
                self._notify(now, False)
        return []

    def _on_read(self, now: float, read: RecordsRead) -> list[StoreCall]:
        self._follower.apply_records(self._requested_at, read)
        if self._target is None:
            self._target = read.end
        if self._follower.includes(self._target):
            self._notify(now, True)
        elif not self._follower.is_following:
            self._wait_for_follower()
        elif read.records:
            return [self._read(now)]
        else:
            self._notify(now, False)  # the store stated an end that it has no records for
        return []

    def _wait_for_follower(self) -> None:
        """Keeps the waiters while the follower reads the whole partition again."""
        self._next_waiters = self._current_waiters + self._next_waiters
        self._current_waiters = []

    def _notify(self, now: float, succeeded: bool) -> None:
        waiters, self._current_waiters = self._current_waiters, []
        for waiter in waiters:
            waiter(now, succeeded)
