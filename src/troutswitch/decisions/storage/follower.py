"""Follows one partition of the store: reads all of it once, then the records appended since.

    READING   -> FOLLOWING   the whole partition was read (`reread`)
    FOLLOWING -> READING     the records at this reader's offset were dropped, or the reader asked
                             for a state that the view does not include (`read_to`)
    any       -> same        a call failed and is repeated after a pause

While the partition is read again, the view stays as it was: what was read is replaced in one step.

Owns the view and the reread in progress. Relies on `ReadAttempts` to decide when reads are sent and
how long they may take. After a failure, reads do not wait at the store for new records: a reader
that may have fallen behind needs the answer immediately.
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
from troutswitch.decisions.storage.reread import PartitionReread
from troutswitch.decisions.storage.view import PartitionView


class FollowState(Enum):
    """State of a follower."""

    READING = "reading"
    FOLLOWING = "following"


class PartitionFollower:
    """Reads one partition and applies its records.

    Args:
        partition: the partition to follow.
        numbers: source of call numbers.
        rng: source of jitter.
        apply: called with each record that changes the view (`PartitionView`).
        wait: seconds for which a read waits at the store for a record; 0 reads without waiting.
        pause: minimum seconds between reads, which bounds the calls while many records are
            appended.
        is_tailing: whether it reads new records by itself; otherwise only `apply_records` adds
            records.

    Attributes:
        view: what is known of the partition.
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
        self.state = FollowState.READING
        self.view = PartitionView(self._apply)
        self._apply_record = apply
        self.current_at = float("-inf")
        self.attempts = ReadAttempts(numbers, rng)
        self.wait = wait
        self._pause = pause
        self.min_interval = 0.0
        self.is_tailing = is_tailing
        self._floor = 0
        """The partition is known to reach up to here."""
        self._reread = PartitionReread(self.view, self._floor)
        self._reread_at = float("-inf")
        """When the newest read was sent whose end the reread reaches."""

    def _apply(self, record: KeyedRecord) -> None:
        """Applies a record; an error names it, as the record may be what causes the error."""
        try:
            self._apply_record(record)
        except Exception as error:
            partition = f"{self.partition.topic} {self.partition.number}"
            error.add_note(f"record {record.key!r} at offset {record.offset} of {partition}")
            raise

    @property
    def is_following(self) -> bool:
        """Whether the whole partition was read, and is not being read again."""
        return self.state is FollowState.FOLLOWING

    @property
    def next_offset(self) -> int:
        """Where the next read of appended records begins."""
        return self.view.complete_to

    @property
    def held_bytes(self) -> int:
        """Bytes of the records that were read again and are not applied yet."""
        return self._reread.held_bytes

    def includes(self, end: int) -> bool:
        """Returns whether every record before the offset `end` was applied."""
        return self.view.includes(end)

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        if self._is_idle:
            return float("inf")
        return self.attempts.next_due()

    @property
    def _is_idle(self) -> bool:
        return not self.is_tailing and self.is_following and not self.attempts.is_reading

    def apply_records(self, requested_at: float, read: RecordsRead) -> None:
        """Applies records that another read of this partition, sent at `requested_at`, returned."""
        if not self.view.is_read:
            return
        self.view.add_read(read)
        if read.next_offset >= read.end:
            self.current_at = max(self.current_at, requested_at)

    def apply_appended(self, records: Iterable[KeyedRecord], appended: Appended) -> None:
        """Applies records that this process appended."""
        self.view.add_appended(records, appended)

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
        if self.is_following:
            wait = 0.0 if self.attempts.failures else self.wait
            return [self._read_records(now, self.next_offset, wait)]
        tail_offset = self._reread.tail_offset
        if tail_offset is not None:
            return [self._read_records(now, tail_offset, 0.0)]
        attempt = self.attempts.begin(now)
        return [
            ReadNewest(
                attempt.call,
                self.partition,
                self._reread.after_key,
                attempt.timeout,
                attempt.on_new_connection,
            )
        ]

    def _read_records(self, now: float, offset: int, wait: float) -> ReadRecords:
        attempt = self.attempts.begin(now, wait)
        return ReadRecords(
            attempt.call, self.partition, offset, wait, attempt.timeout, attempt.on_new_connection
        )

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a read in flight."""
        match outcome:
            case NewestPage() if self._reread.fits(outcome):
                self._reread_at = self.attempts.on_succeeded(call, now).requested_at
                self._reread.add_page(outcome)
                self._finish_reread(now)
            case RecordsRead() if self.is_following:
                self._apply_read(now, call, outcome)
            case RecordsRead():
                self._add_tail(now, call, outcome)
            case HistoryGone():
                self.on_history_gone(now, outcome)
            case _:
                self.attempts.on_failed(now, call)

    def on_history_gone(self, now: float, gone: HistoryGone) -> None:
        """Reads the whole partition again, and continues no earlier than the first kept record."""
        if self.is_following or gone.first_offset > self._floor:
            self.restart(now, gone.first_offset)

    def read_to(self, now: float, end: int) -> None:
        """Has the view include every record before `end`, which the store stated as the end."""
        if not self.includes(end):
            self.restart(now, end)

    def restart(self, now: float, floor: int) -> None:
        """Reads the whole partition again.

        Args:
            now: this process's clock, in seconds.
            floor: an offset up to which the store said that the partition reaches.
        """
        self.state = FollowState.READING
        self._floor = max(self._floor, floor)
        self._reread = PartitionReread(self.view, self._floor)
        self.attempts.abandon(now)

    def _add_tail(self, now: float, call: int, read: RecordsRead) -> None:
        attempt = self.attempts.on_succeeded(call, now)
        self._reread.add_tail(read)
        if read.next_offset >= read.end:
            self._reread_at = attempt.requested_at
        self._finish_reread(now)

    def _finish_reread(self, now: float) -> None:
        """Applies the reread if it is complete."""
        if not self._reread.is_done:
            return
        self._reread.finish()
        self._reread = PartitionReread(self.view, self._floor)
        self.state = FollowState.FOLLOWING
        self.current_at = max(self.current_at, self._reread_at)
        self.attempts.abandon(now + (0.0 if self.wait else self._pause))

    def _apply_read(self, now: float, call: int, read: RecordsRead) -> None:
        self.view.add_read(read)
        is_behind = self.next_offset < read.end
        pause = max(self._pause, self.min_interval)
        due = now if is_behind or self._timed_out(read) else now + pause
        attempt = self.attempts.on_succeeded(call, due)
        if not is_behind:
            self.current_at = max(self.current_at, attempt.requested_at)

    def _timed_out(self, read: RecordsRead) -> bool:
        """Returns whether the read waited at the store and returned no record."""
        return self.wait > 0 and not read.records
