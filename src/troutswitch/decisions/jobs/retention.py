"""Rule: when are the records of a job removed from the store?

Inputs: the time since this daemon first read a job's manifest, and how long the index has not known
a job of which a shard has content; both in seconds. Nothing is removed unless the index was read to
its end in the last `MAX_INDEX_AGE_SECONDS`, and nothing of a shard unless the shard's end is known.

The rule: the index records of a job that is done or ended are removed `RETENTION_MARGIN_SECONDS`
after its client may last read it; from then on the job is unknown. Its content in the shard is
removed once the index has not known the job for `MIN_ORPHAN_AGE_SECONDS` since a chunk of it was
last stored: a client may submit a refused job again, which stores the same chunks. That also
removes the content of refused submissions and the remainder of an interrupted removal.

Why: otherwise the store fills up. Removals are not fenced. Repeating one is harmless, since a job
is removed only long after its client may last read it.

It owns the removal in flight, and the time since which each orphaned job has been unknown.
"""

from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.decisions.jobs.index import JobEntry
from troutswitch.decisions.jobs.ownership import ShardOwnership
from troutswitch.decisions.jobs.records import (
    CHECKPOINT,
    CHUNK,
    CONTENT,
    CONTINUATION,
    END_MARK,
    FAILURES,
    INDEX,
    MANIFEST,
    PROGRESS,
    RESULT,
    shard_partition,
)
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.jobs.shard import JobContent
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    EndMoved,
    KeyedRecord,
    Partition,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers

CHECK_INTERVAL_SECONDS = 5.0
"""Interval between checks for records to remove."""
RETENTION_MARGIN_SECONDS = 30.0
"""Time for which a job is kept after its client may last read it."""
MIN_ORPHAN_AGE_SECONDS = 60.0
"""Time for which a job must be unknown to the index before its content is removed; well above the
duration of a submission or of an append without an answer."""
MAX_INDEX_AGE_SECONDS = 3.0
"""Maximum time since the index was last read to its end."""
MAX_RECORDS_PER_CALL = 200
"""Maximum number of records that one store call removes."""
INDEX_KINDS = (MANIFEST, END_MARK, PROGRESS, CONTENT)
"""Kinds of the records that a job may have in the index."""


@dataclass(frozen=True, slots=True)
class _Orphan:
    """Content without a job: since when, and how many chunks of it were stored by then."""

    since: float
    chunks_stored: int


class JobRetention:
    """Removes the records of jobs in the shards that this daemon owns."""

    def __init__(
        self,
        replicas: JobReplicas,
        ownership: ShardOwnership,
        numbers: CallNumbers,
        job_kept: float,
        log: Callable[..., None],
    ) -> None:
        self._replicas = replicas
        self._ownership = ownership
        self._numbers = numbers
        self.job_kept = job_kept
        self._log = log
        self._check_at = float("-inf")
        self._call = 0
        self._removing: tuple[Partition, tuple[KeyedRecord, ...]] | None = None
        self._orphans: dict[str, _Orphan] = {}

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return self._check_at if self._ownership.leases else float("inf")

    def on_timer(self, now: float) -> list[StoreCall]:
        """Removes expired records, with one store call at a time."""
        if now < self._check_at:
            return []
        self._check_at = now + CHECK_INTERVAL_SECONDS
        self._call = 0
        if now - self._replicas.index_follower.current_at > MAX_INDEX_AGE_SECONDS:
            self._orphans.clear()
            return []
        shards = {lease.shard for lease in self._ownership.owned()}
        return self._remove_expired(now, shards) or self._remove_orphans(now, shards)

    def _remove_expired(self, now: float, shards: set[int]) -> list[StoreCall]:
        expired = [
            job_id
            for job_id, entry in self._replicas.index.jobs.items()
            if entry.manifest.shard in shards and self._is_expired(now, entry)
        ]
        keys = [
            f"{kind}:{job_id}"
            for job_id in expired[: MAX_RECORDS_PER_CALL // len(INDEX_KINDS)]
            for kind in INDEX_KINDS
        ]
        return self._remove(INDEX, keys)

    def _is_expired(self, now: float, entry: JobEntry) -> bool:
        return (
            not entry.is_open
            and now - entry.first_read_at > self.job_kept + RETENTION_MARGIN_SECONDS
        )

    def _remove_orphans(self, now: float, shards: set[int]) -> list[StoreCall]:
        known = self._replicas.index.jobs
        orphans = {
            job_id: shard
            for shard in sorted(shards)
            for job_id in self._replicas.shard(shard).fold.jobs
            if job_id not in known
        }
        self._orphans = {
            job_id: self._orphan(now, job_id, shard) for job_id, shard in orphans.items()
        }
        for job_id, shard in orphans.items():
            if now - self._orphans[job_id].since > MIN_ORPHAN_AGE_SECONDS:
                replica = self._replicas.shard(shard)
                keys = content_keys(job_id, replica.fold.content(job_id))
                end = replica.follower.next_offset
                return self._remove(shard_partition(shard), keys, expected_end=end)
        return []

    def _orphan(self, now: float, job_id: str, shard: int) -> _Orphan:
        """Returns since when a job has been unknown, without a chunk of it being stored."""
        stored = self._replicas.shard(shard).fold.content(job_id).chunks_stored
        known = self._orphans.get(job_id)
        return (
            known if known is not None and known.chunks_stored == stored else _Orphan(now, stored)
        )

    def _remove(
        self, partition: Partition, keys: list[str], expected_end: int | None = None
    ) -> list[StoreCall]:
        if not keys:
            return []
        records = tuple(KeyedRecord(key, b"") for key in keys[:MAX_RECORDS_PER_CALL])
        self._call = self._numbers.next()
        self._removing = (partition, records)
        return [AppendRecords(self._call, partition, records, expected_end)]

    def owns(self, call: int) -> bool:
        """Returns whether a store call is a removal."""
        return call == self._call != 0

    def on_answer(self, now: float, outcome: StoreOutcome) -> None:
        """Handles the outcome of a removal; a failed one is repeated at the next check."""
        self._call = 0
        if self._removing is None:
            return
        partition, records = self._removing
        if isinstance(outcome, EndMoved):
            # A submission may have stored content meanwhile, which the next check must know.
            self._replicas.shard(partition.number).refresher.refresh(lambda now, succeeded: None)
        if not isinstance(outcome, Appended):
            return
        self._replicas.on_appended(now, partition, records, outcome)
        self._log("job records removed", topic=partition.topic, records=len(records))
        self._check_at = now


def content_keys(job_id: str, content: JobContent) -> list[str]:
    """Returns the keys of all records of a job's content, its items last."""
    keys = [f"{RESULT}:{job_id}:{position:05d}" for position in content.heads]
    keys += [
        f"{CONTINUATION}:{job_id}:{position:05d}:{part:05d}"
        for position, parts in content.continuations.items()
        for part in parts
    ]
    keys += [f"{FAILURES}:{job_id}:{item:05d}" for item in content.failures]
    keys += [
        f"{CHECKPOINT}:{job_id}:{item:05d}:{part:05d}"
        for item, parts in content.parts.items()
        for part in parts
    ]
    return keys + [f"{CHUNK}:{job_id}:{number:05d}" for number in content.chunks]
