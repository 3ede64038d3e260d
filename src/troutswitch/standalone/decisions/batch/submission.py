"""Submission and cancellation of batch jobs."""

import itertools

from troutswitch.common import stable_hash
from troutswitch.outcomes import Step
from troutswitch.standalone.constants import (
    CHUNK_ITEMS,
    MAX_WRITER_QUEUE_RECORDS,
    RETRY_AFTER_SECONDS,
)
from troutswitch.standalone.decisions.batch.calls import (
    LOG_PEER,
    STILL_WAITING,
    CallContext,
    JobCall,
    Progress,
    ShardCall,
    job_view,
    log_unavailable_refusal,
)
from troutswitch.standalone.decisions.batch.fold import (
    Accepted,
    Conflict,
    Duplicate,
    Incomplete,
    ShardFold,
)
from troutswitch.standalone.decisions.batch.jobs import Job, chunk_count
from troutswitch.standalone.decisions.batch.replica import ShardReplica
from troutswitch.standalone.decisions.configuration.follower import ConfigurationFollower
from troutswitch.standalone.decisions.effects import AnswerCall, CallAnswer, CallRefused, Effect
from troutswitch.standalone.decisions.events import JobSubmitted
from troutswitch.standalone.log_service.records import (
    ChunkSubmitted,
    JobCancelled,
    JobCommitted,
    Record,
)

JOB_ID_PREFIX = "batch_"


def make_job_id(shard: int, unique: int) -> str:
    """Returns a job id that encodes the job's shard, so that any daemon can find the job."""
    return f"{JOB_ID_PREFIX}{shard:04x}{unique:016x}"


def shard_of_job(job_id: str, shard_count: int) -> int | None:
    """Returns the shard encoded in a job id, or None if the id is not valid in this fleet."""
    if not job_id.startswith(JOB_ID_PREFIX):
        return None
    digits = job_id.removeprefix(JOB_ID_PREFIX)[:4]
    try:
        shard = int(digits, 16)
    except ValueError:
        return None
    return shard if shard < shard_count else None


class Submissions:
    """Checks and prepares the job submissions that this daemon receives."""

    def __init__(self, context: CallContext, configuration: ConfigurationFollower) -> None:
        self._context = context
        self._configuration = configuration
        self._job_numbers = itertools.count(1)

    def refusal_for(self, call: JobSubmitted) -> CallRefused | None:
        """Returns the refusal if the job cannot be submitted now, otherwise None."""
        writer = self._context.writer
        if self._context.ownership.is_draining:
            return _unavailable("daemon is stopping", Step.DRAIN)
        if not self._configuration.is_ready:
            return _unavailable("no configuration yet", Step.ADMIT)
        max_items = self._configuration.policy(call.service, call.tenant).tenant_open_items
        if len(call.items) > max_items:
            return CallRefused(f"more than {max_items} items", Step.ADMIT, 413, True)
        if writer.is_failing_anywhere():
            return log_unavailable_refusal(Step.SUBMIT)
        if writer.queued_records() > MAX_WRITER_QUEUE_RECORDS:
            return _unavailable("too many records wait for the log service", Step.SUBMIT)
        return None

    def prepare(self, now: float, call: JobSubmitted) -> "Submission":
        """Returns the call that submits the job."""
        digest = call.content_digest
        identity = (
            f"{call.tenant}/key/{call.key}" if call.key else f"{call.tenant}/content/{digest}"
        )
        shard = stable_hash(identity) % self._context.ownership.shard_count
        unique = stable_hash(self._context.writer.writer, str(next(self._job_numbers)))
        policy = self._configuration.policy(call.service, call.tenant)
        commit = JobCommitted(
            make_job_id(shard, unique),
            identity,
            digest,
            call.tenant,
            call.service,
            len(call.items),
            call.repeatable,
            now,
            call.deadline,
            policy.identity_window_seconds,
        )
        return Submission(self._context, call, commit, shard, now)


class Submission(ShardCall):
    """A submission in progress: checks for a resend, appends, and reads the verdict back."""

    def __init__(
        self,
        context: CallContext,
        call: JobSubmitted,
        commit: JobCommitted,
        shard: int,
        now: float,
    ) -> None:
        super().__init__(shard, call.call_deadline)
        self._context = context
        self._call = call
        self._commit = commit
        self._started_at = now
        self._is_appended = False

    def poll(self, now: float, replica: ShardReplica) -> Progress:
        """Appends the job once the fold is fresh, then waits for the verdict."""
        if self._is_appended:
            return self._look_for_verdict(replica.fold)
        if replica.fresh_as_of < self._started_at:
            return STILL_WAITING
        earlier = self._earlier_job(replica.fold)
        if earlier is not None:
            answer = _earlier_job_answer(earlier, self._commit.content_digest)
            return Progress(True, [AnswerCall(self._call.token, answer)])
        self._is_appended = True
        return Progress(False, self._context.append(replica, self._records()))

    def _earlier_job(self, fold: ShardFold) -> Job | None:
        job = fold.jobs.get(fold.job_of_identity.get(self._commit.identity, ""))
        if job is None:
            return None
        age = self._commit.committed_at - job.committed_at
        return job if age < job.identity_window else None

    def _records(self) -> list[Record]:
        items = self._call.items
        job_id = self._commit.job_id
        chunks = [
            ChunkSubmitted(
                job_id, index, list(items[index * CHUNK_ITEMS : (index + 1) * CHUNK_ITEMS])
            )
            for index in range(chunk_count(len(items)))
        ]
        return [*chunks, self._commit]

    def _look_for_verdict(self, fold: ShardFold) -> Progress:
        verdict = fold.verdicts.get(self._commit.job_id)
        digest = self._commit.content_digest
        match verdict:
            case None:
                return STILL_WAITING
            case Accepted():
                answer: CallAnswer = job_view(fold.jobs[self._commit.job_id])
            case Duplicate(job_id) | Conflict(job_id):
                answer = _earlier_job_answer(fold.jobs[job_id], digest)
            case Incomplete():
                answer = _unavailable("chunks were dropped before the commit", Step.SUBMIT)
        notify_owner = self._context.ownership.notify_owner(self.shard)
        return Progress(True, [*notify_owner, AnswerCall(self._call.token, answer)])

    def expire(self) -> list[Effect]:
        """Refuses the call, stating whether the job may have been accepted."""
        if not self._is_appended:
            return [AnswerCall(self._call.token, log_unavailable_refusal(Step.SUBMIT))]
        reason = (
            "not read back in time; the job may have been accepted: send it again, "
            "it will not be doubled"
        )
        refusal = CallRefused(reason, Step.SUBMIT, 504, False, LOG_PEER, RETRY_AFTER_SECONDS)
        return [AnswerCall(self._call.token, refusal)]


class Cancellation(JobCall):
    """Cancels a job; answered after the record was read back."""

    def __init__(
        self,
        context: CallContext,
        token: str,
        tenant: str,
        job_id: str,
        shard: int,
        deadline: float,
    ) -> None:
        super().__init__(token, tenant, job_id, shard, deadline)
        self._context = context
        self._is_appended = False

    def on_found(self, now: float, replica: ShardReplica, job: Job) -> Progress:
        """Appends the record, then waits until the fold shows that the job has stopped."""
        if not job.is_running or job.finished == job.item_count:
            notify_owner = self._context.ownership.notify_owner(self.shard)
            return Progress(True, [*notify_owner, AnswerCall(self.token, job_view(job))])
        if self._is_appended:
            return STILL_WAITING
        self._is_appended = True
        return Progress(False, self._context.append(replica, [JobCancelled(self.job_id)]))

    def expire(self) -> list[Effect]:
        """Refuses the call, stating whether the job may still be cancelled."""
        if not self._is_appended:
            return super().expire()
        reason = "not read back in time; the job may still be cancelled"
        refusal = CallRefused(reason, Step.SUBMIT, 504, False, LOG_PEER)
        return [AnswerCall(self.token, refusal)]


def _earlier_job_answer(job: Job, content_digest: str) -> CallAnswer:
    """Returns the answer to a resend: the earlier job, or a conflict."""
    if job.content_digest == content_digest:
        return job_view(job, duplicate=True)
    reason = f"the key belongs to job {job.job_id}, which has other content"
    return CallRefused(reason, Step.SUBMIT, 409, True)


def _unavailable(reason: str, step: Step) -> CallRefused:
    return CallRefused(reason, step, 503, True, "", RETRY_AFTER_SECONDS)
