"""Writes the records that only a shard's owner may write: results, saved output and failed runs.

One append of a shard is in flight at a time, under the shard's epoch and its next sequence number,
so the store applies a repeat after a lost answer only once. A refusal means that this daemon's
state of the shard may be wrong: the shard is fenced and read again.

It owns the pending results and the batch in flight, by shard.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.open_items import OpenItems
from troutswitch.decisions.jobs.ownership import WRITER, ShardLease, ShardOwnership
from troutswitch.decisions.jobs.progress_reports import ProgressReports
from troutswitch.decisions.jobs.records import (
    ItemResult,
    OutputPart,
    StoreLimits,
    checkpoint_record,
    checkpoint_removal,
    failures_record,
    result_records,
    shard_partition,
)
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.jobs.token_limits import TokenLimits
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    CallFailed,
    KeyedRecord,
    StoreCall,
    StoreOutcome,
    WriterStamp,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers

RETRY_SECONDS = 0.2
"""Pause after a failed write."""
CALL_TIMEOUT_SECONDS = 4.0
"""Time after which a write without an answer is repeated."""
CHECKPOINT_SECONDS = 1.0
"""Interval at which the output of running items is saved."""
ROW_OVERHEAD_BYTES = 512
"""Estimated bytes of the key and the fields of a row beside its text."""
PART_OVERHEAD_BYTES = 2048
"""Upper bound of the key, the ids of two events and the version in the record of a part."""


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Records that are written together: a result, a part of an output, or failed runs."""

    progress: ItemProgress
    records: tuple[KeyedRecord, ...]
    result: ItemResult | None = None
    position: int = -1
    part: OutputPart | None = None
    failures: int = 0


@dataclass(slots=True)
class _ShardWrites:
    """Pending results of one shard, and the batch in flight."""

    epoch: int = 0
    pending_results: deque[tuple[ItemProgress, ItemResult]] = field(default_factory=deque)
    batch: list[WriteRow] = field(default_factory=list)
    call: int = 0
    call_at: float = 0.0
    retry_at: float = float("-inf")
    checkpoint_at: float = float("-inf")


class ShardWriter:
    """Writes of all shards that this daemon owns."""

    def __init__(
        self,
        replicas: JobReplicas,
        ownership: ShardOwnership,
        numbers: CallNumbers,
        limits: StoreLimits,
        items: OpenItems,
        token_limits: TokenLimits,
        log: Callable[..., None],
    ) -> None:
        self._shards: dict[int, _ShardWrites] = {}
        self._reports = ProgressReports(replicas, numbers, token_limits)
        self._replicas = replicas
        self._ownership = ownership
        self._numbers = numbers
        self._limits = limits
        self._items = items
        self._log = log

    def finish(self, progress: ItemProgress, result: ItemResult) -> None:
        """Queues a result to be listed."""
        self._shard(progress.shard).pending_results.append((progress, result))

    def _shard(self, shard: int) -> _ShardWrites:
        return self._shards.setdefault(shard, _ShardWrites())

    def forget_lost_shards(self) -> None:
        """Drops the state of shards that have another owner."""
        for shard in set(self._shards) - set(self._ownership.leases):
            del self._shards[shard]
            self._reports.forget(shard)

    def is_idle(self) -> bool:
        """Returns whether no result is pending and no write is in flight."""
        return not any(s.pending_results or s.batch or s.call for s in self._shards.values())

    @property
    def _part_bytes(self) -> int:
        return self._limits.record_bytes - PART_OVERHEAD_BYTES

    def has_unsaved(self, progress: ItemProgress) -> bool:
        """Returns whether the next events of an item's output are still to be saved."""
        return progress.can_save(self._part_bytes)

    def begin_epoch(self, lease: ShardLease) -> bool:
        """Restarts the writes under a new epoch; returns False if the epoch has not changed.

        The shard was read after it was fenced, so the outcome of an earlier batch is known:
        results that were listed are omitted from the next batch, and the caller compares the
        saved parts.
        """
        writes = self._shard(lease.shard)
        if writes.epoch == lease.epoch:
            return False
        for row in reversed(writes.batch):
            if row.result is not None:
                writes.pending_results.appendleft((row.progress, row.result))
        _end_saving(writes.batch)
        writes.batch = []
        writes.call = 0
        writes.epoch = lease.epoch
        # A former owner may have stopped before it reported that a job is done.
        open_jobs = self._replicas.index.open_in_shard(lease.shard)
        self._reports.on_changed(lease.shard, [entry.manifest.job_id for entry in open_jobs])
        return True

    def write(
        self, now: float, lease: ShardLease, items: list[ItemProgress], *, is_draining: bool
    ) -> list[StoreCall]:
        """Appends the pending records of a shard, and reports progress.

        A draining daemon saves output immediately, without waiting for the interval.
        """
        writes = self._shard(lease.shard)
        if writes.call and now >= writes.call_at + CALL_TIMEOUT_SECONDS:
            writes.call = 0
        calls: list[StoreCall] = []
        if not writes.call and now >= writes.retry_at:
            if not writes.batch:
                self._build_batch(now, lease, writes, items, is_draining)
            if writes.batch:
                calls.append(self._append(now, lease, writes))
        return calls + self._reports.report(now, lease)

    def _append(self, now: float, lease: ShardLease, writes: _ShardWrites) -> AppendRecords:
        writes.call = self._numbers.next()
        writes.call_at = now
        records = tuple(record for row in writes.batch for record in row.records)
        stamp = WriterStamp(WRITER, lease.epoch, lease.next_sequence)
        return AppendRecords(writes.call, shard_partition(lease.shard), records, stamp=stamp)

    # Batches.

    def _build_batch(
        self,
        now: float,
        lease: ShardLease,
        writes: _ShardWrites,
        items: list[ItemProgress],
        is_draining: bool,
    ) -> None:
        used = self._add_results(lease, writes) + _add_failures(writes, items)
        if is_draining or now >= writes.checkpoint_at:
            writes.checkpoint_at = now + CHECKPOINT_SECONDS
            self._add_checkpoints(writes, items, used)

    def _add_results(self, lease: ShardLease, writes: _ShardWrites) -> int:
        """Adds pending results at the next positions, and drops those that are listed already.

        Returns the estimated bytes of the added results.
        """
        fold = self._replicas.shard(lease.shard).fold
        positions: dict[str, int] = {}
        used = 0
        while writes.pending_results:
            progress, result = writes.pending_results[0]
            content = fold.content(progress.job_id)
            size = len(result.text.encode()) + ROW_OVERHEAD_BYTES
            if writes.batch and used + size > self._limits.call_bytes:
                break
            writes.pending_results.popleft()
            if result.item_id in content.listed:
                self._items.drop(progress)
                continue
            position = positions.get(progress.job_id, content.next_position)
            positions[progress.job_id] = position + 1
            records = result_records(progress.job_id, position, result, self._limits.record_bytes)
            writes.batch.append(WriteRow(progress, records, result, position))
            used += size
        return used

    def _add_checkpoints(self, writes: _ShardWrites, items: list[ItemProgress], used: int) -> None:
        """Adds the next part of each item's output, as far as it fits into the store call."""
        for progress in items:
            if progress.is_finished or not self.has_unsaved(progress):
                continue
            part = progress.next_part(self._part_bytes)
            used += len(part.text.encode()) + PART_OVERHEAD_BYTES
            if used > self._limits.call_bytes:
                return
            progress.is_saving = True
            writes.batch.append(WriteRow(progress, _part_records(progress, part), part=part))

    # Outcomes.

    def owns(self, call: int) -> bool:
        """Returns whether a store call is one of these writes."""
        return self._is_write(call) or self._reports.owns(call)

    def _is_write(self, call: int) -> bool:
        return any(call == writes.call for writes in self._shards.values())

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a write."""
        if not self._is_write(call):
            self._reports.on_answer(now, call, outcome)
            return
        shard, writes = next((s, w) for s, w in self._shards.items() if call == w.call)
        writes.call = 0
        lease = self._ownership.leases.get(shard)
        if lease is None or lease.epoch != writes.epoch:
            return
        match outcome:
            case Appended():
                self._on_written(now, lease, writes, outcome)
            case CallFailed():
                # Repeated with the same sequence number, the write is applied only once.
                writes.retry_at = now + RETRY_SECONDS
            case _:
                self._log("shard write refused", shard=shard, outcome=str(outcome))
                self._ownership.fence_again(now, shard)

    def _on_written(
        self, now: float, lease: ShardLease, writes: _ShardWrites, outcome: Appended
    ) -> None:
        records = [record for row in writes.batch for record in row.records]
        self._replicas.on_appended(now, shard_partition(lease.shard), records, outcome)
        for row in writes.batch:
            if row.result is not None:
                self._on_listed(lease, row, row.result)
            if row.part is not None:
                row.progress.on_saved(row.part)
            row.progress.saved_failures = max(row.progress.saved_failures, row.failures)
        lease.next_sequence += 1
        _end_saving(writes.batch)
        writes.batch = []

    def _on_listed(self, lease: ShardLease, row: WriteRow, result: ItemResult) -> None:
        self._reports.on_changed(lease.shard, [row.progress.job_id])
        self._items.drop(row.progress)
        self._log(
            "item listed",
            job_id=row.progress.job_id,
            item_id=result.item_id,
            position=row.position,
            state=result.state,
            output=row.progress.output_id.start,
            shard=lease.shard,
            epoch=lease.epoch,
        )


def _part_records(progress: ItemProgress, part: OutputPart) -> tuple[KeyedRecord, ...]:
    """Returns the record of the next part, and removals of parts from before a new start."""
    job_id, number = progress.job_id, progress.number
    record = checkpoint_record(job_id, number, progress.saved_parts, part)
    obsolete = range(progress.saved_parts + 1, progress.obsolete_parts)
    return (record, *(checkpoint_removal(job_id, number, row) for row in obsolete))


def _end_saving(batch: list[WriteRow]) -> None:
    """Marks the items whose parts were in a batch as no longer being written."""
    for row in batch:
        row.progress.is_saving = False


def _add_failures(writes: _ShardWrites, items: list[ItemProgress]) -> int:
    """Adds the counts of failed runs that are not saved; returns their estimated bytes.

    They are saved in the next batch, without waiting for the checkpoint interval, so that the store
    has them before the next run starts. Guards against an item that always fails: if each
    successive owner counted from zero, it would be retried without a bound.
    """
    used = 0
    for progress in items:
        if progress.failures > progress.saved_failures and not progress.is_finished:
            count = progress.failures
            record = failures_record(progress.job_id, progress.number, count)
            writes.batch.append(WriteRow(progress, (record,), failures=count))
            used += ROW_OVERHEAD_BYTES
    return used
