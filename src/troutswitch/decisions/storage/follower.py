"""Follows one partition of the store: reads it whole once, then what is appended.

    STARTING  -> FOLLOWING   the last page of newest records was taken
    FOLLOWING -> STARTING    the history behind this reader's offset is gone
    any       -> same        a call failed and is made again after a pause

The pages of newest records are no snapshot, and a record may be appended between a page and the end
that it reports. So the tail is read from the offset after the last record of the first page, and
records may come again: what they are folded into must take a record any number of times.

It owns the offset up to which the partition was read, and the read in flight.
"""

import itertools
import random
from collections.abc import Callable
from enum import Enum

from troutswitch.decisions.storage.messages import (
    HistoryGone,
    KeyedRecord,
    NewestPage,
    Partition,
    ReadNewest,
    ReadRecords,
    RecordsRead,
    StoreCall,
    StoreOutcome,
)

RETRY_FIRST_SECONDS = 0.1
"""Pause after a failure; it doubles with each one."""
RETRY_MOST_SECONDS = 1.0
RETRY_DOUBLINGS = 6
TIMEOUT_FIRST_SECONDS = 0.6
"""Timeout of the first try; it doubles with each failure, as a store may be silent for a moment, or
slow for long."""
TIMEOUT_MOST_SECONDS = 3.0
TIMEOUT_DOUBLINGS = 5
CALL_LOST_SECONDS = 2.0
"""Time past its timeout after which a call counts as lost."""


class FollowState(Enum):
    """State of a follower."""

    STARTING = "starting"
    FOLLOWING = "following"


class CallNumbers:
    """Numbers for the store calls of one process."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)

    def next(self) -> int:
        """Returns a number that was not used before."""
        return next(self._numbers)


class PartitionFollower:
    """Follows one partition for a fold.

    Args:
        partition: what is followed.
        numbers: source of call numbers.
        rng: source of jitter.
        take: called with a record to fold in.
        wait: seconds a read waits at the store for a record; 0 reads without waiting.
        pause: least seconds between reads, which bounds the calls under many appends.
        is_tailing: whether it goes on reading by itself; otherwise only `absorb` adds records.

    Attributes:
        next_offset: where the next read begins.
        current_at: when the last read to the partition's end was begun, on this process's clock.
        failures: reads that failed since the last success.
        failing_since: when the first of these failed, or infinite.
        least_interval: least seconds between reads that the size of the fleet asks for, which
            bounds the reads of all daemons together.
    """

    def __init__(
        self,
        partition: Partition,
        numbers: CallNumbers,
        rng: random.Random,
        take: Callable[[KeyedRecord], None],
        wait: float,
        pause: float,
        is_tailing: bool = True,
    ) -> None:
        self.partition = partition
        self.state = FollowState.STARTING
        self.next_offset = 0
        self.current_at = float("-inf")
        self.failures = 0
        self.failing_since = float("inf")
        self.wait = wait
        self._pause = pause
        self.least_interval = 0.0
        self.is_tailing = is_tailing
        self._numbers = numbers
        self._rng = rng
        self._take = take
        self._call = 0
        self._requested_at = float("-inf")
        self._lost_at = float("inf")
        self._due = float("-inf")
        self._after_key = ""
        self._tail_from: int | None = None
        self._first_kept = 0

    def read_seconds(self, now: float) -> float:
        """Returns how long the read in flight has taken, 0 without one."""
        return now - self._requested_at if self._call else 0.0

    @property
    def is_current(self) -> bool:
        """Whether the partition was read to an end at least once."""
        return self.state is FollowState.FOLLOWING

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        if self._is_idle:
            return float("inf")
        return self._lost_at if self._call else self._due

    @property
    def _is_idle(self) -> bool:
        return not self.is_tailing and self.is_current and not self._call

    def absorb(self, requested_at: float, read: RecordsRead) -> None:
        """Takes records that another read of this partition brought."""
        if not self.is_current or read.next_offset < self.next_offset:
            return
        for record in read.records:
            self._take(record)
        self.next_offset = read.next_offset
        if read.next_offset >= read.end:
            self.current_at = max(self.current_at, requested_at)

    def skip(self, offset: int, end: int) -> None:
        """Skips records that this process appended and has folded in itself."""
        if self.is_current and offset == self.next_offset:
            self.next_offset = end

    def read_again(self, now: float) -> None:
        """Abandons the read in flight, and reads at once."""
        self._call = 0
        self._due = now

    def owns(self, call: int) -> bool:
        """Returns whether a store call is this follower's read."""
        return call == self._call != 0

    def on_timer(self, now: float) -> list[StoreCall]:
        """Makes the next call if it is due."""
        if self._call and now >= self._lost_at:
            self._call = 0
            self._fail(now)
        if self._call or now < self._due or self._is_idle:
            return []
        self._call = self._numbers.next()
        self._requested_at = now
        doublings = min(self.failures, TIMEOUT_DOUBLINGS)
        timeout = min(TIMEOUT_FIRST_SECONDS * 2**doublings, TIMEOUT_MOST_SECONDS)
        self._lost_at = now + self.wait + timeout + CALL_LOST_SECONDS
        if self.state is FollowState.STARTING:
            return [ReadNewest(self._call, self.partition, self._after_key, timeout)]
        return [ReadRecords(self._call, self.partition, self.next_offset, self.wait, timeout)]

    def on_answer(self, now: float, outcome: StoreOutcome) -> None:
        """Takes the outcome of the call in flight."""
        self._call = 0
        match outcome:
            case NewestPage():
                self._take_page(now, outcome)
            case RecordsRead():
                self._take_records(now, outcome)
            case HistoryGone():
                self.on_history_gone(now, outcome)
            case _:
                self._fail(now)

    def on_history_gone(self, now: float, gone: HistoryGone) -> None:
        """Reads the partition whole again, and continues from the first record that is kept."""
        self._first_kept = max(self._first_kept, gone.first)
        self.restart(now)

    def restart(self, now: float) -> None:
        """Reads the partition whole again."""
        self.state = FollowState.STARTING
        self._after_key = ""
        self._tail_from = None
        self._due = now
        self._call = 0

    def _succeed(self) -> None:
        self.failures = 0
        self.failing_since = float("inf")

    def _take_page(self, now: float, page: NewestPage) -> None:
        self._succeed()
        if self._tail_from is None:
            last = max((record.offset for record in page.records), default=-1)
            self._tail_from = max(last + 1, self._first_kept)
        for record in page.records:
            self._take(record)
        self._due = now
        if page.has_more and page.records:
            self._after_key = page.records[-1].key
            return
        self.state = FollowState.FOLLOWING
        # Never back behind what was read before: an owner that reads its shard again would
        # otherwise read its whole history each time.
        self.next_offset = max(self._tail_from, self.next_offset)
        self._after_key = ""
        self._tail_from = None
        self.current_at = self._requested_at
        self._due = now + (0.0 if self.wait else self._pause)

    def _take_records(self, now: float, read: RecordsRead) -> None:
        self._succeed()
        if read.next_offset >= self.next_offset:
            for record in read.records:
                self._take(record)
            self.next_offset = read.next_offset
        is_behind = self.next_offset < read.end
        if not is_behind:
            self.current_at = self._requested_at
        pause = max(self._pause, self.least_interval)
        self._due = now if is_behind or self._timed_out(read) else now + pause

    def _timed_out(self, read: RecordsRead) -> bool:
        """Returns whether the read waited at the store and brought nothing."""
        return self.wait > 0 and not read.records

    def _fail(self, now: float) -> None:
        self.failures += 1
        self.failing_since = min(self.failing_since, now)
        doublings = min(self.failures, RETRY_DOUBLINGS)
        pause = min(RETRY_FIRST_SECONDS * 2**doublings, RETRY_MOST_SECONDS)
        self._due = now + pause * self._rng.uniform(0.5, 1.0)
