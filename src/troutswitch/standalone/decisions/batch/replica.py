"""A daemon's replica of one shard fold, which follows the tail of its stream."""

from collections.abc import Callable

from troutswitch.decisions.invariants import ensure
from troutswitch.standalone.constants import (
    INITIAL_LOG_RETRY_SECONDS,
    LAST_ENTRY,
    MAX_LOG_RETRY_SECONDS,
    SHARD_POLL_SECONDS,
)
from troutswitch.standalone.decisions.batch.fold import FoldChange, JobOpened, ShardFold
from troutswitch.standalone.decisions.batch.snapshot import decode_snapshot
from troutswitch.standalone.decisions.effects import Effect
from troutswitch.standalone.decisions.events import LogRead, LogReadFailed
from troutswitch.standalone.decisions.log_reader import LogReader
from troutswitch.standalone.log_service.records import UnreadableEntry, decode_entry

ChangeHandler = Callable[[float, list[FoldChange]], list[Effect]]


def shard_stream(shard: int) -> str:
    """Returns the name of a shard's stream."""
    return f"batch-{shard:04d}"


def snapshot_stream(shard: int) -> str:
    """Returns the name of the stream with a shard's snapshots."""
    return f"snapshot-{shard:04d}"


class ShardReplica:
    """Follows one shard: loads the last snapshot, then applies all later entries.

    `fresh_as_of` is the start time of the latest read that reached the tail, so the
    fold includes everything confirmed before that time. `owner_seen_at` is the
    time of the last read that had a record of the owner or a new job, or that preceded
    the first read of the tail.
    """

    def __init__(self, shard: int, reader: LogReader, on_changes: ChangeHandler) -> None:
        self.shard = shard
        self.stream = shard_stream(shard)
        self.fold = ShardFold()
        self.fresh_as_of = float("-inf")
        self.owner_seen_at = float("-inf")
        self.is_stopped = False
        self._reader = reader
        self._on_changes = on_changes
        self._is_loaded = False
        self._is_reading = False
        self._read_again = False
        self._read_started_at = float("-inf")
        self._next_poll_at = float("-inf")
        self._failures = 0

    @property
    def is_caught_up(self) -> bool:
        """Whether the fold has reached the tail at least once."""
        return self.fresh_as_of > float("-inf")

    def next_due(self) -> float:
        """Returns the time of the next poll."""
        return float("inf") if self._is_reading or self.is_stopped else self._next_poll_at

    def on_timer(self, now: float) -> list[Effect]:
        """Polls the stream if a poll is due."""
        return self.read_now(now) if self.next_due() <= now else []

    def read_now(self, now: float) -> list[Effect]:
        """Reads the stream immediately, or directly after the read in progress."""
        if self.is_stopped:
            return []
        if self._is_reading:
            self._read_again = True
            return []
        self._is_reading = True
        self._read_started_at = now
        if not self._is_loaded:
            snapshots = snapshot_stream(self.shard)
            return self._reader.read(snapshots, LAST_ENTRY, self._on_snapshot, limit=1)
        return self._reader.read(self.stream, self.fold.next_offset, self._on_entries)

    def _on_snapshot(self, now: float, answer: LogRead | LogReadFailed) -> list[Effect]:
        self._is_reading = False
        if isinstance(answer, LogReadFailed):
            return self._back_off(now)
        self._is_loaded = True
        if answer.entries:
            self._load_snapshot(answer.entries[-1])
        return self.read_now(now)

    def _load_snapshot(self, payload: bytes) -> None:
        try:
            self.fold = decode_snapshot(payload)
        except UnreadableEntry:
            # The stream has the complete state; reading it only takes longer.
            self.fold = ShardFold()

    def _on_entries(self, now: float, answer: LogRead | LogReadFailed) -> list[Effect]:
        self._is_reading = False
        if isinstance(answer, LogReadFailed):
            return self._back_off(now)
        self._failures = 0
        self._next_poll_at = now + SHARD_POLL_SECONDS
        owner_offset = self.fold.last_owner_offset
        changes = self._apply(answer)
        has_new_jobs = any(isinstance(change, JobOpened) for change in changes)
        if self.fold.last_owner_offset != owner_offset or has_new_jobs or not self.is_caught_up:
            self.owner_seen_at = now
        reached_tail = self.fold.next_offset >= answer.tail
        if reached_tail:
            self.fresh_as_of = self._read_started_at
        effects = self._on_changes(now, changes)
        if not reached_tail or self._read_again:
            self._read_again = False
            effects.extend(self.read_now(now))
        return effects

    def _apply(self, answer: LogRead) -> list[FoldChange]:
        changes: list[FoldChange] = []
        ensure(
            answer.offset == self.fold.next_offset,
            "a shard read does not start at the next offset of the fold",
        )
        for position, payload in enumerate(answer.entries):
            try:
                entry = decode_entry(payload)
            except UnreadableEntry:
                # Written by a newer version: stop, because its effect is unknown.
                self.is_stopped = True
                return changes
            changes.extend(self.fold.apply(answer.offset + position, entry))
        return changes

    def _back_off(self, now: float) -> list[Effect]:
        self._failures += 1
        delay = INITIAL_LOG_RETRY_SECONDS * 2 ** min(self._failures, 10)
        self._next_poll_at = now + min(delay, MAX_LOG_RETRY_SECONDS)
        return []
