"""The fold over one shard stream, which is the only source of truth about its jobs.

The order on the log decides every race. Owner records carry the epoch in which they
were written and are void unless it is the shard's current epoch. A paused owner that
still assumes that its lease is valid therefore changes nothing, regardless of its
clock. Records of submitters (chunk, commit, cancel, once) carry no epoch.
"""

from array import array
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.standalone.constants import MAX_STAGED_JOBS, MAX_VERDICTS
from troutswitch.standalone.decisions.batch.jobs import (
    FINAL_OUTCOMES,
    ItemState,
    Job,
    JobStatus,
    chunk_count,
)
from troutswitch.standalone.decisions.sequences import WriterSequences
from troutswitch.standalone.log_service.records import (
    AttemptStarted,
    ChunkSubmitted,
    Entry,
    EpochClaimed,
    EpochReleased,
    EpochRenewed,
    ItemFinished,
    JobCancelled,
    JobClosed,
    JobCommitted,
    OnceClaimed,
    Record,
)

NO_EPOCH = -1


@dataclass(frozen=True, slots=True)
class JobOpened:
    """A submission was accepted as a job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobStopped:
    """A job was cancelled."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobCompleted:
    """All items of a job have a result."""

    job_id: str


@dataclass(frozen=True, slots=True)
class AttemptRecorded:
    """An attempt at an item was recorded for the first time."""

    job_id: str
    item_index: int


@dataclass(frozen=True, slots=True)
class OwnerChanged:
    """The shard has a new epoch, or was released, in which case `owner` is empty."""

    epoch: int
    owner: str


FoldChange = JobOpened | JobStopped | JobCompleted | AttemptRecorded | OwnerChanged


@dataclass(frozen=True, slots=True)
class Accepted:
    """The submission was accepted as the job with the same id."""


@dataclass(frozen=True, slots=True)
class Duplicate:
    """The submission repeats an earlier job with the same identity and content."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """The key belongs to a job with different content."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Incomplete:
    """Chunks were missing at the commit; nothing was accepted."""


SubmissionVerdict = Accepted | Duplicate | Conflict | Incomplete


@dataclass(slots=True)
class OnceClaim:
    """The claim that owns a key until `expires_at`, in seconds since the epoch."""

    request_id: str
    expires_at: float


class ShardFold:
    """State of one shard after the entries below `next_offset`."""

    def __init__(self) -> None:
        self.next_offset = 0
        self.epoch = NO_EPOCH
        self.owner = ""
        self.last_owner_offset = NO_EPOCH
        self.jobs: dict[str, Job] = {}
        self.open_jobs: dict[str, Job] = {}
        self.job_of_identity: dict[str, str] = {}
        self.verdicts: OrderedDict[str, SubmissionVerdict] = OrderedDict()
        self.staged_chunks: OrderedDict[str, dict[int, tuple[int, int]]] = OrderedDict()
        self.once_claims: OrderedDict[str, OnceClaim] = OrderedDict()
        self.sequences = WriterSequences()
        self.void_records = 0

    def apply(self, offset: int, entry: Entry) -> list[FoldChange]:
        """Applies one entry and returns its changes.

        A duplicate of an earlier entry by (writer, sequence) changes nothing.
        """
        self.next_offset = offset + 1
        if not self.sequences.accept(entry.writer, entry.sequence):
            return []
        changes: list[FoldChange] = []
        for record in entry.records:
            changes.extend(self._apply_record(offset, record))
        return changes

    def skip(self, offset: int) -> None:
        """Skips an entry that no writer of this fleet can have written."""
        self.next_offset = offset + 1

    def _apply_record(self, offset: int, record: Record) -> list[FoldChange]:
        handler = _HANDLERS.get(type(record))
        if handler is None:
            self.void_records += 1
            return []
        return handler(self, offset, record)

    # Records of submitters.

    def _on_chunk(self, offset: int, record: ChunkSubmitted) -> list[FoldChange]:
        chunks = self.staged_chunks.setdefault(record.job_id, {})
        chunks.setdefault(record.chunk_index, (offset, len(record.items)))
        if len(self.staged_chunks) > MAX_STAGED_JOBS:
            self.staged_chunks.popitem(last=False)
        return []

    def _on_commit(self, offset: int, record: JobCommitted) -> list[FoldChange]:
        if record.job_id in self.verdicts or record.job_id in self.jobs:
            return []
        chunks = self.staged_chunks.pop(record.job_id, {})
        verdict = self._evaluate_submission(record, chunks)
        self._remember_verdict(record.job_id, verdict)
        if not isinstance(verdict, Accepted):
            return []
        job = Job(
            record.job_id,
            record.identity,
            record.content_digest,
            record.tenant,
            record.service,
            record.item_count,
            record.repeatable,
            record.committed_at,
            record.deadline,
            record.identity_window,
            array("Q", [chunks[index][0] for index in range(len(chunks))]),
        )
        job.open_items()
        self.jobs[job.job_id] = job
        self.open_jobs[job.job_id] = job
        self.job_of_identity[job.identity] = job.job_id
        return [JobOpened(job.job_id)]

    def _evaluate_submission(
        self, record: JobCommitted, chunks: dict[int, tuple[int, int]]
    ) -> SubmissionVerdict:
        earlier = self.jobs.get(self.job_of_identity.get(record.identity, ""))
        if earlier is not None:
            age = record.committed_at - earlier.committed_at
            if age < earlier.identity_window:
                is_same_content = earlier.content_digest == record.content_digest
                return Duplicate(earlier.job_id) if is_same_content else Conflict(earlier.job_id)
        expected = set(range(chunk_count(record.item_count)))
        staged_items = sum(count for _, count in chunks.values())
        if set(chunks) != expected or staged_items != record.item_count:
            return Incomplete()
        return Accepted()

    def _remember_verdict(self, job_id: str, verdict: SubmissionVerdict) -> None:
        self.verdicts[job_id] = verdict
        if len(self.verdicts) > MAX_VERDICTS:
            self.verdicts.popitem(last=False)

    def _on_cancel(self, offset: int, record: JobCancelled) -> list[FoldChange]:
        job = self.jobs.get(record.job_id)
        if job is None or not job.is_running or job.finished == job.item_count:
            return []
        job.status = JobStatus.CANCELLED
        del self.open_jobs[job.job_id]
        return [JobStopped(job.job_id)]

    def _on_once_claim(self, offset: int, record: OnceClaimed) -> list[FoldChange]:
        current = self.once_claims.get(record.key)
        if current is not None and record.claimed_at < current.expires_at:
            return []
        self.once_claims.pop(record.key, None)
        self.once_claims[record.key] = OnceClaim(
            record.request_id, record.claimed_at + record.window
        )
        self._drop_expired_claims(record.claimed_at)
        return []

    def _drop_expired_claims(self, now: float) -> None:
        while self.once_claims:
            oldest = next(iter(self.once_claims))
            if self.once_claims[oldest].expires_at > now:
                return
            del self.once_claims[oldest]

    # Records of owners.

    def _on_epoch_claim(self, offset: int, record: EpochClaimed) -> list[FoldChange]:
        # Valid only if the claimant had read the current epoch: the first claim wins.
        if record.previous_epoch != self.epoch:
            self.void_records += 1
            return []
        self.epoch = offset
        self.owner = record.owner
        self.last_owner_offset = offset
        return [OwnerChanged(offset, record.owner)]

    def _on_epoch_release(self, offset: int, record: EpochReleased) -> list[FoldChange]:
        if not self._is_current(offset, record.epoch):
            return []
        self.owner = ""
        return [OwnerChanged(self.epoch, "")]

    def _on_epoch_renewal(self, offset: int, record: EpochRenewed) -> list[FoldChange]:
        self._is_current(offset, record.epoch)
        return []

    def _on_attempt(self, offset: int, record: AttemptStarted) -> list[FoldChange]:
        job = self._running_job(offset, record.epoch, record.job_id)
        if job is None or job.state_of(record.item_index) is not ItemState.OPEN:
            return []
        job.item_states[record.item_index] = ItemState.ATTEMPTED
        return [AttemptRecorded(job.job_id, record.item_index)]

    def _on_finish(self, offset: int, record: ItemFinished) -> list[FoldChange]:
        job = self._running_job(offset, record.epoch, record.job_id)
        state = FINAL_OUTCOMES.get(record.outcome)
        if job is None or state is None or job.state_of(record.item_index).is_final:
            self.void_records += 1
            return []
        job.finish(record.item_index, state, offset)
        if job.finished == job.item_count:
            return [JobCompleted(job.job_id)]
        return []

    def _on_close(self, offset: int, record: JobClosed) -> list[FoldChange]:
        job = self._running_job(offset, record.epoch, record.job_id)
        if job is None or job.finished != job.item_count or job.is_closed:
            return []
        job.close(offset)
        del self.open_jobs[job.job_id]
        return []

    def _is_current(self, offset: int, epoch: int) -> bool:
        if epoch != self.epoch or not self.owner:
            self.void_records += 1
            return False
        self.last_owner_offset = offset
        return True

    def _running_job(self, offset: int, epoch: int, job_id: str) -> Job | None:
        """Returns the running job of an owner's record, or None if the record is void."""
        if not self._is_current(offset, epoch):
            return None
        job = self.jobs.get(job_id)
        return job if job is not None and job.is_running else None


_HANDLERS: dict[type, Callable[..., list[FoldChange]]] = {
    ChunkSubmitted: ShardFold._on_chunk,
    JobCommitted: ShardFold._on_commit,
    JobCancelled: ShardFold._on_cancel,
    OnceClaimed: ShardFold._on_once_claim,
    EpochClaimed: ShardFold._on_epoch_claim,
    EpochReleased: ShardFold._on_epoch_release,
    EpochRenewed: ShardFold._on_epoch_renewal,
    AttemptStarted: ShardFold._on_attempt,
    ItemFinished: ShardFold._on_finish,
    JobClosed: ShardFold._on_close,
}
