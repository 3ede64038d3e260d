"""The owner of one shard, which selects the items to run and records their results.

An owner acts only while its epoch is current in the fold. Its records carry that
epoch, and the fold ignores them if another epoch has begun.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from troutswitch.decisions.invariants import ensure
from troutswitch.outcomes import AttemptOutcome
from troutswitch.standalone.constants import (
    CHUNK_CACHE_ENTRIES,
    CHUNK_ITEMS,
    INITIAL_ITEM_RETRY_SECONDS,
    MAX_ITEM_RETRY_SECONDS,
    MAX_PARTIAL_ANSWERS,
    RENEW_SECONDS,
    SNAPSHOT_EVERY_ENTRIES,
)
from troutswitch.standalone.decisions.batch.fold import (
    AttemptRecorded,
    FoldChange,
    JobCompleted,
    JobOpened,
    JobStopped,
    ShardFold,
)
from troutswitch.standalone.decisions.batch.jobs import ItemState, Job
from troutswitch.standalone.decisions.batch.replica import ShardReplica, shard_stream
from troutswitch.standalone.decisions.effects import Effect, LogEvent
from troutswitch.standalone.decisions.events import BatchAttemptEnded, LogRead, LogReadFailed
from troutswitch.standalone.decisions.log_reader import LogReader
from troutswitch.standalone.decisions.log_writer import LogWriter
from troutswitch.standalone.log_service.records import (
    AttemptStarted,
    BatchItem,
    ChunkSubmitted,
    EpochReleased,
    EpochRenewed,
    ItemFinished,
    JobClosed,
    UnreadableEntry,
    decode_entry,
    pack_offsets,
)


@dataclass(frozen=True, slots=True)
class ItemReference:
    """Identifies one item of a job."""

    job_id: str
    index: int


@dataclass(frozen=True, slots=True)
class PartialAnswer:
    """The `position` tokens that a cancelled or cut attempt generated, as text."""

    position: int
    text: str


NO_PARTIAL_ANSWER = PartialAnswer(0, "")


@dataclass(frozen=True, slots=True)
class ReadyItem:
    """An item that may run now, continuing the partial answer of an earlier attempt."""

    reference: ItemReference
    item: BatchItem
    partial: PartialAnswer


@dataclass(slots=True)
class JobProgress:
    """State of a job that the owner keeps outside the fold.

    Attributes:
        cursor: Index of the first item that has not been considered for dispatch.
        retries: Items below `cursor` to dispatch again, as (ready time, index).
        failures: Number of failed attempts by item index.
        dispatched: Items that are dispatched or whose attempt or result is being recorded.
        attempted_in_epoch: Unfinished items with an attempt on record in the current epoch.
    """

    cursor: int = 0
    retries: list[tuple[float, int]] = field(default_factory=list)
    failures: dict[int, int] = field(default_factory=dict)
    dispatched: set[int] = field(default_factory=set)
    attempted_in_epoch: set[int] = field(default_factory=set)


class ShardOwner:
    """Selects the items of one shard's jobs for dispatch and records their results."""

    def __init__(
        self,
        replica: ShardReplica,
        epoch: int,
        writer: LogWriter,
        reader: LogReader,
        on_ready: Callable[[float], list[Effect]],
    ) -> None:
        self.shard = replica.shard
        self.epoch = epoch
        self.is_releasing = False
        self._replica = replica
        self._writer = writer
        self._reader = reader
        self._on_ready = on_ready
        self._progress: dict[str, JobProgress] = {}
        self._recording: set[ItemReference] = set()
        self._partials: OrderedDict[ItemReference, PartialAnswer] = OrderedDict()
        self._chunks: OrderedDict[tuple[str, int], list[BatchItem]] = OrderedDict()
        self._chunk_reads: set[tuple[str, int]] = set()
        self._next_renewal_at = float("-inf")
        self._snapshot_at_offset = self.fold.next_offset + SNAPSHOT_EVERY_ENTRIES
        self.snapshot_due = False

    @property
    def fold(self) -> ShardFold:
        """The fold of the shard."""
        return self._replica.fold

    @property
    def stream(self) -> str:
        """The name of the shard's stream."""
        return shard_stream(self.shard)

    def has_work(self) -> bool:
        """Returns whether any job of the shard is open."""
        return bool(self._progress)

    def running_items(self) -> int:
        """Returns the number of items that are dispatched or being recorded."""
        return sum(len(progress.dispatched) for progress in self._progress.values())

    def take_over(self, now: float) -> list[Effect]:
        """Begins the epoch and records results for attempts that earlier epochs left open."""
        effects: list[Effect] = []
        for job in self.fold.open_jobs.values():
            effects.extend(self._open_job(job))
        return effects

    def _open_job(self, job: Job) -> list[Effect]:
        self._progress[job.job_id] = JobProgress()
        if job.finished == job.item_count:
            return self._close_job(job)
        if job.repeatable:
            return []
        # Items with an attempt on record but no result may have run: never dispatch them again.
        orphans = [
            ItemFinished(self.epoch, job.job_id, index, "may_have_run", "owner lost during attempt")
            for index in range(job.item_count)
            if job.state_of(index) is ItemState.ATTEMPTED
        ]
        return self._writer.append(self.stream, list(orphans)) if orphans else []

    def on_changes(self, now: float, changes: list[FoldChange]) -> list[Effect]:
        """Applies fold changes: new jobs, cancelled jobs, recorded attempts and results."""
        effects: list[Effect] = []
        for change in changes:
            match change:
                case JobOpened(job_id):
                    self._progress[job_id] = JobProgress()
                    effects.append(self._job_log_event("job accepted", job_id))
                case JobStopped(job_id):
                    self._forget_job(job_id)
                    effects.append(self._job_log_event("job cancelled", job_id))
                case JobCompleted(job_id):
                    effects.append(self._job_log_event("job completed", job_id))
                    effects.extend(self._close_job(self.fold.jobs[job_id]))
                case AttemptRecorded(job_id, index):
                    self._on_attempt_recorded(job_id, index)
                case _:
                    pass
        self._clear_recorded()
        if self.fold.next_offset >= self._snapshot_at_offset:
            self._snapshot_at_offset = self.fold.next_offset + SNAPSHOT_EVERY_ENTRIES
            self.snapshot_due = True
        return effects

    def _job_log_event(self, event: str, job_id: str) -> LogEvent:
        job = self.fold.jobs[job_id]
        return LogEvent(
            event,
            {
                "job_id": job_id,
                "tenant": job.tenant,
                "service": job.service,
                "items": job.item_count,
                "shard": self.shard,
                "epoch": self.epoch,
            },
        )

    def _on_attempt_recorded(self, job_id: str, index: int) -> None:
        progress = self._progress.get(job_id)
        if progress is not None:
            progress.attempted_in_epoch.add(index)
            progress.dispatched.discard(index)
            heapq.heappush(progress.retries, (0.0, index))

    def _clear_recorded(self) -> None:
        for reference in list(self._recording):
            job = self.fold.jobs.get(reference.job_id)
            if job is None or job.is_closed or not job.is_running:
                self._recording.discard(reference)
            elif job.state_of(reference.index).is_final:
                self._recording.discard(reference)
                self._clear_item(reference)

    def _clear_item(self, reference: ItemReference) -> None:
        progress = self._progress.get(reference.job_id)
        if progress is not None:
            progress.dispatched.discard(reference.index)
            progress.attempted_in_epoch.discard(reference.index)
            progress.failures.pop(reference.index, None)

    def _close_job(self, job: Job) -> list[Effect]:
        self._forget_job(job.job_id)
        result_offsets = pack_offsets(job.result_offsets)
        return self._writer.append(self.stream, [JobClosed(self.epoch, job.job_id, result_offsets)])

    def _forget_job(self, job_id: str) -> None:
        self._progress.pop(job_id, None)
        for key in [key for key in self._chunks if key[0] == job_id]:
            del self._chunks[key]

    # Dispatch.

    def demand(self, now: float) -> dict[str, int]:
        """Returns the approximate number of items that are ready to run, by service."""
        demand: dict[str, int] = {}
        if self.is_releasing:
            return demand
        for job_id, progress in self._progress.items():
            job = self.fold.jobs[job_id]
            ready_retries = sum(1 for at, _ in progress.retries if at <= now)
            waiting = job.item_count - progress.cursor + ready_retries
            if waiting > 0:
                demand[job.service] = demand.get(job.service, 0) + waiting
        return demand

    def open_jobs(self, service: str) -> Iterator[Job]:
        """Yields the open jobs of a service."""
        for job_id in self._progress:
            job = self.fold.jobs[job_id]
            if job.service == service:
                yield job

    def next_item(self, now: float, job: Job) -> tuple[ReadyItem | None, list[Effect]]:
        """Returns the next item of a job, or None if no item can run yet, and effects.

        For a non-repeatable job the first call for an item records an attempt. The item
        is returned by a later call, after that record was read back.
        """
        progress = self._progress.get(job.job_id)
        index = self._next_index(now, job, progress) if progress else None
        if progress is None or index is None:
            return None, []
        if not job.repeatable and index not in progress.attempted_in_epoch:
            progress.dispatched.add(index)
            attempt = AttemptStarted(self.epoch, job.job_id, index)
            return None, self._writer.append(self.stream, [attempt])
        item = self._cached_item(job, index)
        if item is None:
            heapq.heappush(progress.retries, (now, index))
            return None, self._fetch_chunk(job, index // CHUNK_ITEMS)
        ensure(not job.state_of(index).is_final, "a finished item is dispatched")
        ensure(index not in progress.dispatched, "an item is dispatched while it is in flight")
        progress.dispatched.add(index)
        partial = self._partials.pop(ItemReference(job.job_id, index), NO_PARTIAL_ANSWER)
        return ReadyItem(ItemReference(job.job_id, index), item, partial), []

    def _next_index(self, now: float, job: Job, progress: JobProgress) -> int | None:
        while progress.retries and progress.retries[0][0] <= now:
            _, index = heapq.heappop(progress.retries)
            if index not in progress.dispatched and not job.state_of(index).is_final:
                return index
        while progress.cursor < job.item_count:
            index = progress.cursor
            progress.cursor += 1
            if job.state_of(index) is ItemState.OPEN and index not in progress.dispatched:
                return index
        return None

    def _cached_item(self, job: Job, index: int) -> BatchItem | None:
        key = (job.job_id, index // CHUNK_ITEMS)
        items = self._chunks.get(key)
        if items is None:
            return None
        self._chunks.move_to_end(key)
        return items[index % CHUNK_ITEMS]

    def _fetch_chunk(self, job: Job, chunk_index: int) -> list[Effect]:
        key = (job.job_id, chunk_index)
        if key in self._chunk_reads:
            return []
        self._chunk_reads.add(key)

        def on_answer(now: float, answer: LogRead | LogReadFailed) -> list[Effect]:
            self._chunk_reads.discard(key)
            if isinstance(answer, LogRead):
                self._cache_chunk(key, answer)
            return self._on_ready(now) if key in self._chunks else []

        offset = job.chunk_offsets[chunk_index]
        return self._reader.read(self.stream, offset, on_answer, limit=1)

    def _cache_chunk(self, key: tuple[str, int], answer: LogRead) -> None:
        items = find_chunk_items(answer, *key)
        if items is None or key[0] not in self._progress:
            return
        self._chunks[key] = items
        if len(self._chunks) > CHUNK_CACHE_ENTRIES:
            self._chunks.popitem(last=False)

    # End of an attempt.

    def on_attempt_ended(
        self, now: float, reference: ItemReference, event: BatchAttemptEnded
    ) -> list[Effect]:
        """Records the result, or queues the item again with its partial answer."""
        job = self.fold.jobs.get(reference.job_id)
        progress = self._progress.get(reference.job_id)
        if job is None or progress is None:
            return []  # the job was cancelled or closed: ignore late results
        match event.kind:
            case AttemptOutcome.COMPLETED:
                return self._record_result(reference, ItemState.COMPLETED, event.body)
            case AttemptOutcome.REJECTED:
                return self._record_result(reference, ItemState.FAILED, event.body)
            case AttemptOutcome.CUT | AttemptOutcome.CANCELLED if not job.repeatable:
                return self._record_result(reference, ItemState.MAY_HAVE_RUN, event.body)
            case _:
                self._save_partial(reference, PartialAnswer(event.position, event.partial))
                self._requeue(now, progress, reference.index, event.kind)
                return []

    def _save_partial(self, reference: ItemReference, partial: PartialAnswer) -> None:
        if partial.position == 0:
            return
        self._partials[reference] = partial
        if len(self._partials) > MAX_PARTIAL_ANSWERS:
            self._partials.popitem(last=False)

    def _record_result(self, reference: ItemReference, state: ItemState, body: str) -> list[Effect]:
        self._recording.add(reference)
        record = ItemFinished(
            self.epoch, reference.job_id, reference.index, state.name.lower(), body
        )
        return self._writer.append(self.stream, [record])

    def _requeue(self, now: float, progress: JobProgress, index: int, kind: AttemptOutcome) -> None:
        progress.dispatched.discard(index)
        if kind is AttemptOutcome.CANCELLED:
            heapq.heappush(progress.retries, (now, index))
            return
        failures = progress.failures.get(index, 0)
        progress.failures[index] = failures + 1
        delay = min(INITIAL_ITEM_RETRY_SECONDS * 2 ** min(failures, 8), MAX_ITEM_RETRY_SECONDS)
        heapq.heappush(progress.retries, (now + delay, index))

    # Lease.

    def renew(self, now: float) -> list[Effect]:
        """Appends a renewal if one is due and the shard has work, as a sign of life."""
        if now < self._next_renewal_at or not self.has_work():
            return []
        self._next_renewal_at = now + RENEW_SECONDS
        return self._writer.append(self.stream, [EpochRenewed(self.epoch)])

    def release(self) -> list[Effect]:
        """Releases the shard."""
        return self._writer.append(self.stream, [EpochReleased(self.epoch)])


def find_chunk_items(answer: LogRead, job_id: str, chunk_index: int) -> list[BatchItem] | None:
    """Returns the items of a chunk in the first entry of a read, or None."""
    if not answer.entries:
        return None
    try:
        entry = decode_entry(answer.entries[0])
    except UnreadableEntry:
        return None
    for record in entry.records:
        if not isinstance(record, ChunkSubmitted):
            continue
        if (record.job_id, record.chunk_index) == (job_id, chunk_index):
            return record.items
    return None
