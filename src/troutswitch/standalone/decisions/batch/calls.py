"""Calls that wait for the fold of a shard.

Answers are read from the fold, so all daemons give the same answer. The refusal of a
call whose deadline passes states whether the call may have changed anything.
"""

import itertools
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from troutswitch.outcomes import Step
from troutswitch.standalone.constants import RETRY_AFTER_SECONDS
from troutswitch.standalone.decisions.batch.fold import ShardFold
from troutswitch.standalone.decisions.batch.jobs import Job, JobStatus
from troutswitch.standalone.decisions.batch.ownership import Ownership
from troutswitch.standalone.decisions.batch.replica import ShardReplica
from troutswitch.standalone.decisions.effects import AnswerCall, CallRefused, Effect, JobView
from troutswitch.standalone.decisions.log_reader import LogReader
from troutswitch.standalone.decisions.log_writer import LogWriter
from troutswitch.standalone.log_service.records import Record

LOG_PEER = "log"
"""Name of the log service in errors."""


@dataclass
class Progress:
    """Result of polling a call: its effects, and whether the call is done."""

    is_done: bool
    effects: list[Effect] = field(default_factory=list)


STILL_WAITING = Progress(False)


class ShardCall(ABC):
    """A call that waits for the fold of one shard until `deadline`."""

    def __init__(self, shard: int, deadline: float) -> None:
        self.shard = shard
        self.deadline = deadline

    @abstractmethod
    def poll(self, now: float, replica: ShardReplica) -> Progress:
        """Checks the fold after each read of the shard."""

    @abstractmethod
    def expire(self) -> list[Effect]:
        """Ends the call at its deadline."""


@dataclass(frozen=True)
class CallContext:
    """The parts of the daemon that calls use."""

    ownership: Ownership
    writer: LogWriter
    reader: LogReader

    def append(self, replica: ShardReplica, records: list[Record]) -> list[Effect]:
        """Appends records to the shard's stream."""
        return self.writer.append(replica.stream, records)


class PendingCalls:
    """The calls in progress on this daemon."""

    def __init__(self, ownership: Ownership) -> None:
        self._ownership = ownership
        self._calls: dict[int, ShardCall] = {}
        self._ids = itertools.count(1)
        ownership.add_change_hook(self._on_shard_read)

    def is_idle(self) -> bool:
        """Returns whether no call is in progress."""
        return not self._calls

    def start(self, now: float, call: ShardCall) -> list[Effect]:
        """Starts a call: reads its shard now and polls the call after each read."""
        replica, effects = self._ownership.replica(now, call.shard)
        self._calls[next(self._ids)] = call
        return effects + replica.read_now(now)

    def next_due(self) -> float:
        """Returns the earliest deadline of a call."""
        return min((call.deadline for call in self._calls.values()), default=float("inf"))

    def on_timer(self, now: float) -> list[Effect]:
        """Ends the calls whose deadline has passed."""
        effects: list[Effect] = []
        for call_id, call in list(self._calls.items()):
            if call.deadline <= now:
                del self._calls[call_id]
                effects.extend(call.expire())
        return effects

    def _on_shard_read(self, now: float, shard: int) -> list[Effect]:
        effects: list[Effect] = []
        for call_id, call in list(self._calls.items()):
            if call.shard != shard or call_id not in self._calls:
                continue
            progress = call.poll(now, self._ownership.replicas[shard])
            effects.extend(progress.effects)
            if progress.is_done:
                self._calls.pop(call_id, None)
        return effects


class JobCall(ShardCall):
    """A call about one job, answered from a fold that is at least as recent as the call."""

    def __init__(self, token: str, tenant: str, job_id: str, shard: int, deadline: float) -> None:
        super().__init__(shard, deadline)
        self.token = token
        self.job_id = job_id
        self._tenant = tenant
        self._started_at = float("nan")

    def with_start_time(self, now: float) -> "JobCall":
        """Sets the start time of the call, as of which the fold must be fresh."""
        self._started_at = now
        return self

    def poll(self, now: float, replica: ShardReplica) -> Progress:
        """Finds the job once the fold is fresh; refuses the call if there is none."""
        if replica.fresh_as_of < self._started_at:
            return STILL_WAITING
        job = find_job(replica.fold, self._tenant, self.job_id)
        if job is None:
            return Progress(True, [AnswerCall(self.token, unknown_job_refusal(self.job_id))])
        return self.on_found(now, replica, job)

    @abstractmethod
    def on_found(self, now: float, replica: ShardReplica, job: Job) -> Progress:
        """Continues the call with its job."""

    def expire(self) -> list[Effect]:
        """Refuses the call: nothing was read and nothing was changed."""
        return [AnswerCall(self.token, log_unavailable_refusal(Step.READ))]


class JobStatusCall(JobCall):
    """Requests the state of a job."""

    def on_found(self, now: float, replica: ShardReplica, job: Job) -> Progress:
        """Answers with the job's state."""
        return Progress(True, [AnswerCall(self.token, job_view(job))])


def find_job(fold: ShardFold, tenant: str, job_id: str) -> Job | None:
    """Returns a tenant's job; returns None if it is unknown or of another tenant."""
    job = fold.jobs.get(job_id)
    return job if job is not None and job.tenant == tenant else None


def job_view(job: Job, duplicate: bool = False) -> JobView:
    """Returns a job's state as reported to callers."""
    status = job.status.name.lower()
    if job.status is JobStatus.RUNNING and job.finished == job.item_count:
        status = JobStatus.COMPLETED.name.lower()
    return JobView(
        job.job_id,
        status,
        job.service,
        job.item_count,
        job.completed,
        job.failed,
        job.committed_at,
        job.deadline,
        duplicate,
    )


def unknown_job_refusal(job_id: str) -> CallRefused:
    """Returns the refusal of a call about an unknown job."""
    return CallRefused(f"no job {job_id}", Step.READ, 404, True)


def log_unavailable_refusal(step: Step) -> CallRefused:
    """Returns the refusal of a call that changed nothing because the log is unavailable."""
    reason = "the log service does not answer"
    return CallRefused(reason, step, 503, True, LOG_PEER, RETRY_AFTER_SECONDS)
