"""Writes what an owner alone may write: results, saved output, and words on progress.

One append a shard is in flight at a time, under the shard's epoch and its next sequence
number, so a repeat after a lost answer is taken once. A refusal means that the shard's
state here may be wrong; it is claimed and read again.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from troutswitch.decisions.jobs.index import JobEntry
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.ownership import WRITER, ShardClaim, ShardOwnership
from troutswitch.decisions.jobs.records import (
    INDEX,
    ItemResult,
    OutputPart,
    StoreLimits,
    checkpoint_record,
    failures_record,
    progress_record,
    result_records,
    shard_partition,
)
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.storage.follower import CallNumbers
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    CallFailed,
    KeyedRecord,
    StoreCall,
    StoreOutcome,
    WriterStamp,
)

RETRY_SECONDS = 0.2
LOST_SECONDS = 4.0
CHECKPOINT_SECONDS = 1.0
"""Interval in which the output of running items is saved."""
PROGRESS_SECONDS = 0.4
"""Least time between words on progress in the index."""
PROGRESS_LATENCIES = 20.0
"""The same time in times that the last word took, so that words never crowd a slow store:
all shards share the index, and new jobs are accepted there."""
PROGRESS_MOST_SECONDS = 2.0
"""Longest time between words that such a latency asks for."""
ROW_OVERHEAD_BYTES = 512


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Records of an append: of a result at a position, a part of an output, or failed runs."""

    progress: ItemProgress
    records: tuple[KeyedRecord, ...]
    result: ItemResult | None = None
    position: int = -1
    part: OutputPart | None = None
    failures: int = 0


@dataclass(slots=True)
class ShardWrites:
    """What is to be written to one shard."""

    epoch: int = 0
    waiting: deque[tuple[ItemProgress, ItemResult]] = field(default_factory=deque)
    batch: list[WriteRow] = field(default_factory=list)
    call: int = 0
    call_at: float = 0.0
    retry_at: float = float("-inf")
    checkpoint_at: float = float("-inf")
    changed_jobs: set[str] = field(default_factory=set)
    progress_call: int = 0
    progress_at: float = float("-inf")
    progress_seconds: float = 0.0
    progress_jobs: set[str] = field(default_factory=set)


class ShardWriter:
    """Writes of all shards that this daemon owns."""

    def __init__(
        self,
        replicas: JobReplicas,
        ownership: ShardOwnership,
        numbers: CallNumbers,
        room: StoreLimits,
        on_listed: Callable[[ItemProgress], None],
        is_crowded: Callable[[str], bool],
        log: Callable[..., None],
    ) -> None:
        self.listed = 0
        self._shards: dict[int, ShardWrites] = {}
        self._replicas = replicas
        self._ownership = ownership
        self._numbers = numbers
        self._room = room
        self._on_listed = on_listed
        self._is_crowded = is_crowded
        self._log = log

    def finish(self, progress: ItemProgress, result: ItemResult) -> None:
        """Has a result listed."""
        self._shard(progress.shard).waiting.append((progress, result))

    def _shard(self, shard: int) -> ShardWrites:
        return self._shards.setdefault(shard, ShardWrites())

    def forget_shards(self) -> None:
        """Forgets the shards that passed on."""
        for shard in set(self._shards) - set(self._ownership.claims):
            del self._shards[shard]

    def is_idle(self) -> bool:
        """Whether nothing waits to be written."""
        return not any(s.waiting or s.batch or s.call for s in self._shards.values())

    def begin_epoch(self, claim: ShardClaim) -> bool:
        """Begins anew under an epoch; returns False if it was begun before.

        What became of an earlier batch was read since the claim: results that stand are
        left out of the next batch, and the owner compares the saved parts.
        """
        writes = self._shard(claim.shard)
        if writes.epoch == claim.epoch:
            return False
        for row in reversed(writes.batch):
            if row.result is not None:
                writes.waiting.appendleft((row.progress, row.result))
        writes.batch = []
        writes.call = 0
        writes.epoch = claim.epoch
        # A former owner may have ended before it told that a job is done.
        writes.changed_jobs |= {e.manifest.job_id for e in self._open_jobs(claim.shard)}
        return True

    def _open_jobs(self, shard: int) -> list[JobEntry]:
        return self._replicas.index.open_in_shard(shard)

    # Results and saved output.

    def write(
        self, now: float, claim: ShardClaim, running: list[ItemProgress], at_once: bool
    ) -> list[StoreCall]:
        """Appends what waits; `at_once` saves output without waiting for its interval."""
        writes = self._shard(claim.shard)
        if writes.call and now >= writes.call_at + LOST_SECONDS:
            writes.call = 0
        if writes.call or now < writes.retry_at:
            return self._tell_progress(now, claim, writes)
        if not writes.batch:
            self._form_batch(now, claim, writes, running, at_once)
        if not writes.batch:
            return self._tell_progress(now, claim, writes)
        writes.call = self._numbers.next()
        writes.call_at = now
        records = tuple(record for row in writes.batch for record in row.records)
        stamp = WriterStamp(WRITER, claim.epoch, claim.next_sequence)
        append = AppendRecords(writes.call, shard_partition(claim.shard), records, stamp=stamp)
        return [append, *self._tell_progress(now, claim, writes)]

    def _form_batch(
        self,
        now: float,
        claim: ShardClaim,
        writes: ShardWrites,
        running: list[ItemProgress],
        at_once: bool,
    ) -> None:
        used = self._add_results(claim, writes) + self._add_failures(writes, running)
        if not at_once and now < writes.checkpoint_at:
            return
        writes.checkpoint_at = now + CHECKPOINT_SECONDS
        for progress in running:
            if not progress.unsaved or progress.is_finished:
                continue
            part = progress.next_part(self._room.record_bytes - ROW_OVERHEAD_BYTES)
            used += len(part.text.encode()) + ROW_OVERHEAD_BYTES
            if used > self._room.call_bytes:
                return
            record = checkpoint_record(progress.job_id, progress.number, progress.parts, part)
            writes.batch.append(WriteRow(progress, (record,), part=part))

    def _add_results(self, claim: ShardClaim, writes: ShardWrites) -> int:
        """Gives positions to the results that wait; those listed since are dropped."""
        fold = self._replicas.shard(claim.shard).fold
        positions: dict[str, int] = {}
        used = 0
        while writes.waiting:
            progress, result = writes.waiting[0]
            content = fold.content(progress.job_id)
            size = len(result.text.encode()) + ROW_OVERHEAD_BYTES
            if writes.batch and used + size > self._room.call_bytes:
                break
            writes.waiting.popleft()
            if result.item_id in content.listed:
                self._on_listed(progress)
                continue
            position = positions.get(progress.job_id, content.next_position)
            positions[progress.job_id] = position + 1
            records = result_records(progress.job_id, position, result, self._room.record_bytes)
            writes.batch.append(WriteRow(progress, records, result, position))
            used += size
        return used

    @staticmethod
    def _add_failures(writes: ShardWrites, running: list[ItemProgress]) -> int:
        """Saves at once how many runs of items failed, before the next run begins.

        Guards against owners that follow one another and each count from nothing: an item that
        fails each time ran 27 to 35 times where 9 are allowed.
        """
        used = 0
        for progress in running:
            if progress.failures > progress.failures_saved and not progress.is_finished:
                count = progress.failures
                record = failures_record(progress.job_id, progress.number, count)
                writes.batch.append(WriteRow(progress, (record,), failures=count))
                used += ROW_OVERHEAD_BYTES
        return used

    def owns(self, call: int) -> bool:
        """Returns whether an answer belongs to a write."""
        return any(call in (w.call, w.progress_call) for w in self._shards.values())

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Takes the outcome of a write."""
        shard, writes = next(
            (s, w) for s, w in self._shards.items() if call in (w.call, w.progress_call)
        )
        if call == writes.progress_call:
            self._on_progress_told(now, writes, outcome)
            return
        writes.call = 0
        claim = self._ownership.claims.get(shard)
        if claim is None or claim.epoch != writes.epoch:
            return
        match outcome:
            case Appended():
                self._on_written(claim, writes, outcome)
            case CallFailed():
                # Made again with the same sequence number, it is taken once.
                writes.retry_at = now + RETRY_SECONDS
            case _:
                self._log("shard write refused", shard=shard, outcome=str(outcome))
                self._ownership.claim_again(now, shard)

    def _on_written(self, claim: ShardClaim, writes: ShardWrites, outcome: Appended) -> None:
        replica = self._replicas.shard(claim.shard)
        for row in writes.batch:
            for record in row.records:
                replica.fold.take(record)
            if row.result is not None:
                self._on_result(claim, writes, row, row.result)
            if row.part is not None:
                row.progress.on_saved(row.part)
            row.progress.failures_saved = max(row.progress.failures_saved, row.failures)
        replica.follower.skip(outcome.offset, outcome.end)
        claim.next_sequence += 1
        writes.batch = []

    def _on_result(
        self, claim: ShardClaim, writes: ShardWrites, row: WriteRow, result: ItemResult
    ) -> None:
        self.listed += 1
        writes.changed_jobs.add(row.progress.job_id)
        self._on_listed(row.progress)
        self._log(
            "item listed",
            job_id=row.progress.job_id,
            item_id=result.item_id,
            position=row.position,
            state=result.state,
            shard=claim.shard,
            epoch=claim.epoch,
        )

    # Words on progress, for the tokens that wait.

    @staticmethod
    def _on_progress_told(now: float, writes: ShardWrites, outcome: StoreOutcome) -> None:
        writes.progress_call = 0
        writes.progress_seconds = now - writes.progress_at
        if not isinstance(outcome, Appended):
            writes.changed_jobs |= writes.progress_jobs
        writes.progress_jobs = set()

    def _tell_progress(self, now: float, claim: ShardClaim, writes: ShardWrites) -> list[StoreCall]:
        """Tells the index how many tokens of the shard's jobs still wait.

        That a job is done is always told. How far one is matters only where the tokens
        that wait come near the most that may wait.
        """
        slowness = min(PROGRESS_LATENCIES * writes.progress_seconds, PROGRESS_MOST_SECONDS)
        pause = max(PROGRESS_SECONDS, slowness)
        if not writes.changed_jobs or writes.progress_call or now < writes.progress_at + pause:
            return []
        writes.progress_at = now
        writes.changed_jobs &= self._replicas.index.jobs.keys()
        records: list[KeyedRecord] = []
        for job_id in sorted(writes.changed_jobs):
            left = self._tokens_left(claim.shard, job_id)
            if left is None or (left and not self._is_crowded(job_id)):
                continue
            record = progress_record(job_id, left)
            self._replicas.index.take(now, record)
            records.append(record)
            writes.progress_jobs.add(job_id)
        if not records:
            return []
        writes.changed_jobs -= writes.progress_jobs
        writes.progress_call = self._numbers.next()
        return [AppendRecords(writes.progress_call, INDEX, tuple(records))]

    def _tokens_left(self, shard: int, job_id: str) -> int | None:
        """Returns the tokens of a job's items that are not listed; None if not all are read.

        A job that is told to be done is closed for good, so items that this replica has
        not read yet must never count as done.
        """
        manifest = self._replicas.index.jobs[job_id].manifest
        content = self._replicas.shard(shard).fold.content(job_id)
        items = content.items()
        if len(items) < manifest.item_count:
            return None
        return sum(item.tokens for item in items if item.item_id not in content.listed)
