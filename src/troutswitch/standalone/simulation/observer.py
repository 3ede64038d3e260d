"""Checks each guarantee end to end, from outside the daemons.

The observer sees what callers sent and received, what engines ran, which items a daemon
dispatched, and which configuration version it has in force.
It does not inspect how a daemon decides.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutswitch.outcomes import Completed, Cut, MayHaveRun, NotRun, OnlineOutcome
from troutswitch.standalone.decisions.effects import ItemResult, JobView, StartBatchAttempt

if TYPE_CHECKING:
    from troutswitch.standalone.simulation.daemon import SimulatedDaemon

LEAVING_GRACE_SECONDS = 2.0
"""Time after which a leaving engine must not receive new work."""
CANCEL_GRACE_SECONDS = 3.0
"""Time after which a connected daemon must not dispatch items of a cancelled job."""
CONFIGURATION_SECONDS = 3.0
"""Time within which an accepted publication must be in force on every connected daemon."""
MAX_VIOLATIONS = 50


@dataclass
class OnlineRecord:
    """One online request from its caller's view. Resends of a request share its `key`."""

    request_id: str
    key: str
    repeatable: bool
    max_tokens: int
    sent_at: float
    first_token_at: float = float("inf")
    ended_at: float = float("inf")
    outcome: OnlineOutcome | None = None
    is_lost: bool = False
    delivered: int = 0


@dataclass
class JobRecord:
    """One batch job from its caller's view."""

    key: str
    custom_ids: tuple[str, ...]
    repeatable: bool
    content: str
    accepted_id: str = ""
    accepted_at: float = float("inf")
    may_exist: bool = False
    refusals: int = 0
    cancel_requested: bool = False
    cancelled_at: float = float("inf")
    results: list[ItemResult] = field(default_factory=list)
    is_read: bool = False


class Observer:
    """Records events of the simulation and violations of guarantees."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.online: dict[str, OnlineRecord] = {}
        self.jobs: dict[str, JobRecord] = {}
        self.runs: dict[str, set[str]] = defaultdict(set)
        self.faults: Counter[str] = Counter()
        self.publications_accepted: list[tuple[float, int]] = []
        self.longest_wait_behind_batch = 0.0
        self.waits_behind_batch = 0
        self.max_wait_behind_batch = float("inf")
        self._job_by_id: dict[str, JobRecord] = {}
        self._versions: dict[str, int] = {}
        self._runs_by_key: dict[str, set[str]] = defaultdict(set)

    def record_violation(self, text: str) -> None:
        """Records a violated guarantee."""
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(text)

    # Engines.

    def on_work_sent(self, now: float, engine: str, leaving_since: float, work: str) -> None:
        """Records new work that reached an engine."""
        delay = now - leaving_since
        if delay > LEAVING_GRACE_SECONDS:
            self.record_violation(f"{engine} got work {work} {delay:.2f} s after it began to leave")

    def on_run(self, work: str, stream_id: str) -> None:
        """Records an attempt that an engine accepted."""
        self.runs[work].add(stream_id)
        record = self.online.get(work)
        if record is not None and record.key:
            self._runs_by_key[record.key].add(stream_id)

    def on_wait_behind_batch(self, waited: float, batch: int) -> None:
        """Records an online request that waits on an engine which runs batch items."""
        self.longest_wait_behind_batch = max(self.longest_wait_behind_batch, waited)
        self.waits_behind_batch += 1
        if waited > self.max_wait_behind_batch:
            self.record_violation(f"online waited {waited:.2f} s behind {batch} batch items")

    def on_drained(self, daemon: str, open_requests: int) -> None:
        """Checks that a planned stop of a daemon left no request open."""
        if open_requests:
            self.record_violation(f"the planned stop of {daemon} cut {open_requests} requests")

    # Online.

    def on_delivered(self, request_id: str, start: int, end: int) -> None:
        """Records that the tokens from `start` to `end` of an answer reached its caller."""
        record = self.online[request_id]
        if start != record.delivered:
            self.record_violation(f"{request_id}: tokens go on at {start}, not {record.delivered}")
        if end < start or end > record.max_tokens:
            self.record_violation(f"{request_id}: tokens end at {end} of {record.max_tokens}")
        record.delivered = max(record.delivered, end)

    def on_online_end(self, now: float, request_id: str, outcome: OnlineOutcome | None) -> None:
        """Records the outcome of a request; None if its daemon was lost."""
        record = self.online[request_id]
        if record.ended_at < float("inf"):
            self.record_violation(f"{request_id} was answered twice")
        record.ended_at = now
        record.outcome = outcome
        record.is_lost = outcome is None
        if isinstance(outcome, Completed) and record.delivered != record.max_tokens:
            self.record_violation(
                f"{request_id}: completed with {record.delivered} of {record.max_tokens} tokens"
            )

    # Batch.

    def on_batch_dispatch(
        self, now: float, daemon: "SimulatedDaemon", effect: StartBatchAttempt
    ) -> None:
        """Checks that a dispatched batch item is not of a job cancelled earlier."""
        record = self._job_by_id.get(effect.job_id)
        if record is None:
            return
        delay = now - max(record.cancelled_at, daemon.resumed_at)
        if delay > CANCEL_GRACE_SECONDS and daemon.has_fresh_replicas(now):
            self.record_violation(
                f"{effect.job_id} dispatched {delay:.2f} s after its cancellation"
            )

    def on_job_accepted(self, now: float, record: JobRecord, view: JobView) -> None:
        """Records the acceptance of a job, which must have one id."""
        if record.accepted_id and record.accepted_id != view.job_id:
            self.record_violation(f"{record.key} became {record.accepted_id} and {view.job_id}")
        record.accepted_id = view.job_id
        record.accepted_at = min(record.accepted_at, now)
        self._job_by_id[view.job_id] = record

    # Configuration.

    def on_version(self, machine: str, version: int) -> None:
        """Checks that the configuration version of a daemon never decreases."""
        before = self._versions.get(machine, 0)
        if version < before:
            self.record_violation(f"{machine} went from configuration {before} back to {version}")
        self._versions[machine] = max(before, version)

    # Final checks.

    def check_online(self) -> None:
        """Checks all online requests after the simulation has settled."""
        for record in self.online.values():
            runs = self.runs.get(record.request_id, set())
            if record.ended_at == float("inf"):
                self.record_violation(f"{record.request_id} was never answered")
            if isinstance(record.outcome, NotRun) and runs:
                self.record_violation(f"{record.request_id} was told not run, yet ran")
            if not record.repeatable and len(runs) > 1:
                self.record_violation(
                    f"{record.request_id} must not be repeated, ran {len(runs)} times"
                )
            if isinstance(record.outcome, MayHaveRun) and record.outcome.step == "":
                self.record_violation(f"{record.request_id}: an outcome without a step")
        for key, runs in self._runs_by_key.items():
            if len(runs) > 1:
                self.record_violation(f"key {key} must run at most once, ran {len(runs)} times")

    def check_jobs(self) -> None:
        """Checks all jobs after the simulation has settled and results were read."""
        for record in self.jobs.values():
            self._check_job(record)

    def _check_job(self, record: JobRecord) -> None:
        runs = [self.runs.get(custom_id, set()) for custom_id in record.custom_ids]
        if not record.repeatable and any(len(run) > 1 for run in runs):
            self.record_violation(f"{record.key}: an item not to be repeated ran twice")
        if not record.accepted_id:
            if any(runs) and not record.may_exist:
                self.record_violation(f"{record.key} was refused as not run, yet ran")
            return
        if not record.is_read:
            self.record_violation(f"{record.key}: results of {record.accepted_id} cannot be read")
            return
        names = Counter(result.custom_id for result in record.results)
        if any(count > 1 for count in names.values()):
            self.record_violation(f"{record.key}: an item has two results")
        if record.cancel_requested:
            return
        missing = set(record.custom_ids) - set(names)
        if missing:
            self.record_violation(f"{record.key}: {len(missing)} items have no result")
        outcomes = Counter(result.outcome for result in record.results)
        allowed = {"completed"} if record.repeatable else {"completed", "may_have_run"}
        if set(outcomes) - allowed:
            self.record_violation(f"{record.key}: outcomes {dict(outcomes)}")

    # Counts.

    def online_counts(self) -> dict[str, int]:
        """Returns the number of online requests by outcome."""
        counts: Counter[str] = Counter()
        for record in self.online.values():
            counts[type(record.outcome).__name__ if record.outcome else "Lost"] += 1
            if isinstance(record.outcome, Cut):
                counts["cut"] += 1
        return dict(counts)
