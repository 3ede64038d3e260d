"""Index of all jobs: a fold over the index partition, identical on every daemon.

It owns the entry of each job: its manifest, whether its client ended it, and the tokens of its
items that are not listed yet.

An entry follows from the newest record of each key, so daemons that read all records and daemons
that read only the newest ones agree. In particular a job is ended while the index has the mark of
its end, whichever of the two came last.
"""

from dataclasses import dataclass, field

from troutswitch.decisions.jobs.records import (
    CONTENT,
    END_MARK,
    MANIFEST,
    PROGRESS,
    Manifest,
    RecordError,
    first_chunk,
    read_content,
    read_manifest,
    read_progress,
    split_key,
)
from troutswitch.decisions.storage.messages import KeyedRecord

MAX_JOB_AGE_SECONDS = 86_400.0
"""Upper bound of a job's computed age, since clocks may be wrong."""


@dataclass(slots=True)
class JobEntry:
    """One job. Times are seconds.

    `first_read_at` is when this daemon first read the manifest, on this process's clock.
    `age_at_first_read` is the job's age at that moment, computed from the time of day.
    """

    manifest: Manifest
    remaining_tokens: int
    first_read_at: float
    is_ended: bool = False
    first_chunk: int = 0
    """Number of the first chunk of its content (`records`)."""
    age_at_first_read: float = 0.0

    def age(self, now: float) -> float:
        """Returns the time since the job was submitted.

        The time before the first read depends on the clocks of two daemons.
        """
        return now - self.first_read_at + self.age_at_first_read

    @property
    def is_open(self) -> bool:
        """Whether items of the job may still run."""
        return not self.is_ended and self.remaining_tokens > 0


@dataclass
class JobIndex:
    """All jobs by id. Records may be applied repeatedly, in the order of the log."""

    jobs: dict[str, JobEntry] = field(default_factory=dict)
    malformed: int = 0
    _ends: set[str] = field(default_factory=set)
    """Jobs whose end is marked, also those without a manifest yet."""
    _early_progress: dict[str, int] = field(default_factory=dict)
    """Remaining tokens of jobs without a manifest yet."""
    _contents: dict[str, str] = field(default_factory=dict)
    """Digests of the contents whose chunks are numbered by them, by job."""

    def apply(self, now: float, record: KeyedRecord, time_of_day: float = 0.0) -> None:
        """Applies a record; counts it as malformed if this version cannot decode it.

        `time_of_day`, in seconds since the epoch, is passed if the record may be old; otherwise 0.
        """
        kind, job_id, _ = split_key(record.key)
        if not record.value:
            self._remove(kind, job_id)
            return
        try:
            self._apply_value(now, kind, job_id, record.value, time_of_day)
        except RecordError:
            self.malformed += 1

    def _apply_value(
        self, now: float, kind: str, job_id: str, value: bytes, time_of_day: float
    ) -> None:
        if kind == MANIFEST:
            self._apply_manifest(now, read_manifest(job_id, value), time_of_day)
        elif kind == END_MARK:
            self._apply_end(job_id)
        elif kind == PROGRESS:
            self._apply_progress(job_id, read_progress(value))
        elif kind == CONTENT:
            self._contents[job_id] = read_content(value)
            self._number_chunks(job_id)

    def _apply_manifest(self, now: float, manifest: Manifest, time_of_day: float) -> None:
        """Adds a job. Its other records may come first.

        A further manifest of the same content is that of the same job: a daemon of an earlier
        version may append one. Of other content, it is that of a new job, after the former one was
        removed.
        """
        known = self.jobs.get(manifest.job_id)
        if known is not None and _is_same_job(known.manifest, manifest):
            known.manifest = manifest
            self._number_chunks(manifest.job_id)
            return
        entry = JobEntry(manifest, manifest.tokens, now)
        if time_of_day and manifest.submitted_at:
            age = time_of_day - manifest.submitted_at
            entry.age_at_first_read = min(max(0.0, age), MAX_JOB_AGE_SECONDS)
        self.jobs[manifest.job_id] = entry
        entry.is_ended = manifest.job_id in self._ends
        remaining = self._early_progress.pop(manifest.job_id, manifest.tokens)
        entry.remaining_tokens = min(remaining, manifest.tokens)
        self._number_chunks(manifest.job_id)

    def _number_chunks(self, job_id: str) -> None:
        """Sets where the chunks of a job begin."""
        entry = self.jobs.get(job_id)
        if entry is not None:
            digest = entry.manifest.digest
            entry.first_chunk = first_chunk(digest) if self._contents.get(job_id) == digest else 0

    def _apply_end(self, job_id: str) -> None:
        self._ends.add(job_id)
        entry = self.jobs.get(job_id)
        if entry is not None:
            entry.is_ended = True

    def _apply_progress(self, job_id: str, remaining_tokens: int) -> None:
        entry = self.jobs.get(job_id)
        if entry is None:
            self._early_progress[job_id] = remaining_tokens
        else:
            # Listed items stay listed, so a late report of a former owner must not raise the count.
            entry.remaining_tokens = min(entry.remaining_tokens, remaining_tokens)

    def _remove(self, kind: str, job_id: str) -> None:
        entry = self.jobs.get(job_id)
        if kind == MANIFEST:
            self.jobs.pop(job_id, None)
        elif kind == END_MARK and entry is not None:
            entry.is_ended = False
        elif kind == PROGRESS and entry is not None:
            entry.remaining_tokens = entry.manifest.tokens
        if kind in (MANIFEST, CONTENT):
            self._contents.pop(job_id, None)
            self._number_chunks(job_id)
        if kind in (MANIFEST, END_MARK):
            self._ends.discard(job_id)
        if kind in (MANIFEST, PROGRESS):
            self._early_progress.pop(job_id, None)

    def queued_tokens(self, route: str, tenant: str) -> int:
        """Returns the tokens of a tenant's items on a route that are accepted but not listed."""
        return sum(
            entry.remaining_tokens
            for entry in self.jobs.values()
            if entry.manifest.route == route
            and entry.manifest.tenant == tenant
            and not entry.is_ended
        )

    def open_in_shard(self, shard: int) -> list[JobEntry]:
        """Returns the open jobs of a shard, oldest first."""
        return [e for e in self.jobs.values() if e.manifest.shard == shard and e.is_open]


def _is_same_job(known: Manifest, manifest: Manifest) -> bool:
    """Returns whether two manifests of one id describe the same job."""
    return (known.digest, known.tenant, known.item_count, known.tokens) == (
        manifest.digest,
        manifest.tenant,
        manifest.item_count,
        manifest.tokens,
    )
