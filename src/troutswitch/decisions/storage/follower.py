"""Follows one partition of the store: reads all of it once, then the records appended since.

    STARTING  -> FOLLOWING   the last page of newest records was applied
    FOLLOWING -> STARTING    the records at this reader's offset were dropped
    any       -> same        a call failed and is repeated after a pause

The pages of newest records are not a consistent snapshot, and a record may be appended between a
page and the end offset that it reports. So the tail is read from the offset after the last record
of the first page. A record may therefore be read repeatedly, and applying it must be idempotent.

A removed key is on no page, and its removal may be before the tail. So after the last page, each
key that was applied from an earlier offset and is on no page is removed. Until then it stays, since
clearing everything first would take away for a moment what others have read.

Owns the offset up to which the partition was read, and the keys that are applied and not removed.
Relies on `ReadAttempts` to decide when reads are sent and how long they may take. After a failure,
reads do not wait at the store for new records: a reader that may have fallen behind needs the
answer immediately.
"""

import random
from collections.abc import Callable, Iterable
from enum import Enum

from troutswitch.decisions.storage.messages import (
    Appended,
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
from troutswitch.decisions.storage.read_attempts import CallNumbers, ReadAttempts


class FollowState(Enum):
    """State of a follower."""

    STARTING = "starting"
    FOLLOWING = "following"


class PartitionFollower:
    """Reads one partition and applies its records.

    Args:
        partition: the partition to follow.
        numbers: source of call numbers.
        rng: source of jitter.
        apply: called with each record, and with a removal for each key that was removed unseen.
        wait: seconds for which a read waits at the store for a record; 0 reads without waiting.
        pause: minimum seconds between reads, which bounds the calls while many records are
            appended.
        is_tailing: whether it reads new records by itself; otherwise only `apply_records` adds
            records.

    Attributes:
        next_offset: where the next read begins.
        current_at: when the last read that reached the partition's end was sent, by this process's
            clock.
        attempts: the reads in flight, and how many have failed since the last success.
        min_interval: minimum seconds between reads for the size of the fleet, which bounds the
            reads of all daemons together.
    """

    def __init__(
        self,
        partition: Partition,
        numbers: CallNumbers,
        rng: random.Random,
        apply: Callable[[KeyedRecord], None],
        wait: float,
        pause: float,
        is_tailing: bool = True,
    ) -> None:
        self.partition = partition
        self.state = FollowState.STARTING
        self.next_offset = 0
        self.current_at = float("-inf")
        self.attempts = ReadAttempts(numbers, rng)
        self.wait = wait
        self._pause = pause
        self.min_interval = 0.0
        self.is_tailing = is_tailing
        self._apply = apply
        self._after_key = ""
        self._tail_from: int | None = None
        self._first_retained = 0
        self._offsets: dict[str, int] = {}
        """Offset of the newest record of each applied key."""
        self._paged_keys: set[str] = set()
        """Keys on the pages since the last restart."""

    @property
    def is_current(self) -> bool:
        """Whether all pages of newest records were read since the last restart."""
        return self.state is FollowState.FOLLOWING

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        if self._is_idle:
            return float("inf")
        return self.attempts.next_due()

    @property
    def _is_idle(self) -> bool:
        return not self.is_tailing and self.is_current and not self.attempts.is_reading

    def apply_records(self, requested_at: float, read: RecordsRead) -> bool:
        """Applies records that another read of this partition, sent at `requested_at`, returned.

        Returns whether the partition is read up to there; False if it is being read again.
        """
        if not self.is_current:
            return False
        if read.next_offset < self.next_offset:
            return True
        self._apply_all(read.records)
        self.next_offset = read.next_offset
        if read.next_offset >= read.end:
            self.current_at = max(self.current_at, requested_at)
        return True

    def skip_own_records(self, records: Iterable[KeyedRecord], appended: Appended) -> None:
        """Skips the records that this process appended and has already applied itself."""
        for offset, record in enumerate(records, appended.offset):
            self._note(record, offset)
        if self.is_current and appended.offset == self.next_offset:
            self.next_offset = appended.end

    def _apply_all(self, records: Iterable[KeyedRecord]) -> None:
        for record in records:
            self._note(record, record.offset)
            self._apply(record)

    def _note(self, record: KeyedRecord, offset: int) -> None:
        if record.value:
            self._offsets[record.key] = offset
        else:
            self._offsets.pop(record.key, None)

    def read_concurrently(self, now: float) -> None:
        """Reads immediately on a new connection; the reads in flight continue."""
        self.attempts.read_now(now)

    def read_again(self, now: float) -> None:
        """Abandons the reads in flight, and reads again immediately on a new connection."""
        self.attempts.abandon(now, doubts_connections=True)

    def owns(self, call: int) -> bool:
        """Returns whether a store call is this follower's read."""
        return self.attempts.owns(call)

    def on_timer(self, now: float) -> list[StoreCall]:
        """Returns the next call if it is due."""
        if not self.attempts.is_due(now) or self._is_idle:
            return []
        if self.state is FollowState.STARTING:
            attempt = self.attempts.begin(now)
            return [
                ReadNewest(
                    attempt.call,
                    self.partition,
                    self._after_key,
                    attempt.timeout,
                    attempt.on_new_connection,
                )
            ]
        wait = 0.0 if self.attempts.failures else self.wait
        attempt = self.attempts.begin(now, wait)
        return [
            ReadRecords(
                attempt.call,
                self.partition,
                self.next_offset,
                wait,
                attempt.timeout,
                attempt.on_new_connection,
            )
        ]

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a read in flight."""
        match outcome:
            case NewestPage():
                self._apply_page(now, call, outcome)
            case RecordsRead():
                self._apply_read(now, call, outcome)
            case HistoryGone():
                self.on_history_gone(now, outcome)
            case _:
                self.attempts.on_failed(now, call)

    def on_history_gone(self, now: float, gone: HistoryGone) -> None:
        """Reads the whole partition again, and continues no earlier than the first kept record."""
        self._first_retained = max(self._first_retained, gone.first_offset)
        self.restart(now)

    def restart(self, now: float) -> None:
        """Reads the whole partition again."""
        self.state = FollowState.STARTING
        self._after_key = ""
        self._tail_from = None
        self._paged_keys.clear()
        self.attempts.abandon(now)

    def _apply_page(self, now: float, call: int, page: NewestPage) -> None:
        attempt = self.attempts.on_succeeded(call, now)
        if self._tail_from is None:
            last = max((record.offset for record in page.records), default=-1)
            self._tail_from = max(last + 1, self._first_retained)
        self._apply_all(page.records)
        self._paged_keys.update(record.key for record in page.records)
        if page.has_more and page.records:
            self._after_key = page.records[-1].key
            return
        self._remove_missing_keys(self._tail_from)
        self.state = FollowState.FOLLOWING
        # The offset never goes back: an owner that reads its shard again would otherwise read the
        # whole history each time.
        self.next_offset = max(self._tail_from, self.next_offset)
        self._after_key = ""
        self._tail_from = None
        self.current_at = attempt.requested_at
        self.attempts.abandon(now + (0.0 if self.wait else self._pause))

    def _remove_missing_keys(self, tail_from: int) -> None:
        """Removes the keys that are on no page, though their records are before the tail."""
        missing = [
            key
            for key, offset in self._offsets.items()
            if offset < tail_from and key not in self._paged_keys
        ]
        self._apply_all(KeyedRecord(key, b"") for key in missing)
        self._paged_keys.clear()

    def _apply_read(self, now: float, call: int, read: RecordsRead) -> None:
        if read.next_offset >= self.next_offset:
            self._apply_all(read.records)
            self.next_offset = read.next_offset
        is_behind = self.next_offset < read.end
        pause = max(self._pause, self.min_interval)
        due = now if is_behind or self._timed_out(read) else now + pause
        attempt = self.attempts.on_succeeded(call, due)
        if not is_behind:
            self.current_at = attempt.requested_at

    def _timed_out(self, read: RecordsRead) -> bool:
        """Returns whether the read waited at the store and returned no record."""
        return self.wait > 0 and not read.records
