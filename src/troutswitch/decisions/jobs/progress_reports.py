"""Reports the progress of this daemon's jobs in the index.

New jobs are accepted or refused by the queued tokens in the index; a job without any is done. The
end of a job is always reported, its progress before that only if its route is crowded
(`token_limits`).

It owns the reports that are due or in flight, by shard. Reports are not fenced: the index keeps the
lowest count, so a late report of a former owner has no effect.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from troutswitch.decisions.jobs.ownership import ShardLease
from troutswitch.decisions.jobs.records import INDEX, progress_record
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.jobs.token_limits import TokenLimits
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    KeyedRecord,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers

MIN_REPORT_INTERVAL_SECONDS = 0.4
"""Minimum interval between reports of a shard."""
REPORT_INTERVAL_LATENCIES = 20.0
"""Minimum interval as a multiple of the last report's latency, so that reports do not load a slow
store: all shards share the index, and new jobs are accepted there."""
MAX_LATENCY_INTERVAL_SECONDS = 2.0
"""Upper bound of the interval that follows from the latency."""


@dataclass(slots=True)
class _ShardReports:
    """Jobs of one shard that changed since their last report, and the call in flight."""

    changed_jobs: set[str] = field(default_factory=set)
    jobs_in_flight: set[str] = field(default_factory=set)
    records_in_flight: tuple[KeyedRecord, ...] = ()
    call: int = 0
    sent_at: float = float("-inf")
    latency: float = 0.0


class ProgressReports:
    """Reports of all shards that this daemon owns."""

    def __init__(
        self, replicas: JobReplicas, numbers: CallNumbers, token_limits: TokenLimits
    ) -> None:
        self._shards: dict[int, _ShardReports] = {}
        self._replicas = replicas
        self._numbers = numbers
        self._token_limits = token_limits

    def on_changed(self, shard: int, job_ids: Iterable[str]) -> None:
        """Records jobs of which results were, or may have been, listed."""
        self._shards.setdefault(shard, _ShardReports()).changed_jobs |= set(job_ids)

    def forget(self, shard: int) -> None:
        """Drops the state of a shard that has another owner."""
        self._shards.pop(shard, None)

    def report(self, now: float, lease: ShardLease) -> list[StoreCall]:
        """Reports the changed jobs of a shard if a report is due."""
        reports = self._shards.setdefault(lease.shard, _ShardReports())
        if not reports.changed_jobs or reports.call or now < _next_report_at(reports):
            return []
        reports.sent_at = now
        reports.changed_jobs &= self._replicas.index.jobs.keys()
        records = self._records(lease.shard, reports)
        if not records:
            return []
        reports.changed_jobs -= reports.jobs_in_flight
        reports.call = self._numbers.next()
        reports.records_in_flight = tuple(records)
        return [AppendRecords(reports.call, INDEX, reports.records_in_flight)]

    def _records(self, shard: int, reports: _ShardReports) -> list[KeyedRecord]:
        """Returns the records of the jobs to report."""
        records: list[KeyedRecord] = []
        for job_id in sorted(reports.changed_jobs):
            remaining = self._remaining_tokens(shard, job_id)
            if remaining is None or (remaining and not self._token_limits.is_crowded(job_id)):
                continue
            record = progress_record(job_id, remaining)
            records.append(record)
            reports.jobs_in_flight.add(job_id)
        return records

    def _remaining_tokens(self, shard: int, job_id: str) -> int | None:
        """Returns the tokens of a job's unlisted items; None if not all its items are read.

        A report that a job is done is final, so items that this replica has not read yet must not
        count as done.
        """
        entry = self._replicas.index.jobs[job_id]
        manifest = entry.manifest
        content = self._replicas.shard(shard).fold.content(job_id)
        items = content.items(entry.first_chunk)
        if len(items) < manifest.item_count:
            return None
        return sum(item.tokens for item in items if item.item_id not in content.listed)

    def owns(self, call: int) -> bool:
        """Returns whether a store call is a report."""
        return any(call == reports.call for reports in self._shards.values())

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a report; a failed one is repeated.

        Only an acknowledged report counts in this daemon's index, since a manifest that is appended
        before it must fit without it.
        """
        reports = next(r for r in self._shards.values() if r.call == call)
        reports.call = 0
        reports.latency = now - reports.sent_at
        if isinstance(outcome, Appended):
            self._replicas.on_appended(now, INDEX, reports.records_in_flight, outcome)
        else:
            reports.changed_jobs |= reports.jobs_in_flight
        reports.jobs_in_flight = set()
        reports.records_in_flight = ()


def _next_report_at(reports: _ShardReports) -> float:
    latency_interval = min(
        REPORT_INTERVAL_LATENCIES * reports.latency, MAX_LATENCY_INTERVAL_SECONDS
    )
    return reports.sent_at + max(MIN_REPORT_INTERVAL_SECONDS, latency_interval)
