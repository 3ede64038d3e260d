"""Accepts jobs: stores the content first, then the manifest at the expected end of the index.

    STORING    -> APPENDING  the store acknowledged the items' records
    APPENDING  -> accepted   the manifest was appended at the expected end
    APPENDING  -> READING    the index ends elsewhere, or the answer was lost
    READING    -> STORING    the index was read to its end, and the job still fits; stored content
                             is not stored again
    READING    -> accepted   the index has the job's manifest, of this or another submission
    any        -> refused    the job does not fit, or the client's timeout expires

A job with an item that no engine of its route can hold is refused at once (`item_sizes`).

Content is stored before anything is decided, under numbers that depend on it (`records`). So a
submission of other content under the same id, whether it is refused or not, replaces none of it.

A job exists from the append of its manifest on. The append is conditional on the end of the index,
and in the step in which it is sent, the submission is compared with the index up to that end and
with the configuration in force (`_append_manifest`, the only place that appends a manifest). So a
daemon accepts a job only after it has counted all earlier jobs. This bounds the queued tokens over
all daemons without a central counter (`token_limits`). What was compared earlier only saves calls
to the store.

A refusal with status 429 or 503 promises that the job never runs. It is given only if every append
of the manifest was answered; otherwise the status is 504.

It owns the submissions in progress on this daemon.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import assert_never

from troutswitch.decisions.forwarding.log_events import configuration_fields
from troutswitch.decisions.forwarding.routes import OUTDATED_RETRY_SECONDS
from troutswitch.decisions.forwarding.types import Route, RouteKind
from troutswitch.decisions.jobs.content_copies import ContentCopies
from troutswitch.decisions.jobs.dependencies import JobDependencies
from troutswitch.decisions.jobs.due_times import completion_target
from troutswitch.decisions.jobs.item_sizes import ItemSizes
from troutswitch.decisions.jobs.messages import (
    JobAccepted,
    JobAnswer,
    JobRefused,
    JobSubmitted,
)
from troutswitch.decisions.jobs.records import (
    INDEX,
    Manifest,
    RecordError,
    StoreLimits,
    chunk_records,
    content_record,
    first_chunk,
    manifest_record,
    shard_of,
    shard_partition,
)
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.jobs.token_limits import TokenLimits
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    CallFailed,
    EndMoved,
    KeyedRecord,
    StoreCall,
    StoreOutcome,
)
from troutswitch.outcomes import NotRun

ANSWER_RESERVE_SECONDS = 0.3
"""Part of a client's timeout that is reserved for sending the answer."""
RETRY_PAUSE_SECONDS = 0.15
"""Pause after a store call that failed."""
CALL_TIMEOUT_SECONDS = 4.0
"""Time after which a store call without an answer makes `on_timer` due."""
RETRY_AFTER_SECONDS = 0.5
"""Retry-After if the store did not answer, or the configuration or the index is not read yet."""
LIMIT_RETRY_AFTER_SECONDS = 1.0
"""Retry-After if a job exceeds its route's limit of queued tokens."""
MEMORY_RETRY_AFTER_SECONDS = 2.0
"""Retry-After if this process has no memory for a job's items. Items that are kept free their
memory over the seconds in which they are run."""
ROW_OVERHEAD_BYTES = 8
"""Estimated bytes of a record in a call beside its key and value."""


class IntakeState(Enum):
    """State of a submission."""

    STORING = "storing"
    READING = "reading"
    APPENDING = "appending"


@dataclass(slots=True)
class Submission:
    """One submission of a job. Times are seconds on this process's clock.

    `pending_batches` holds the content records that are not stored yet, one batch for each store
    call. `call` is the store call in flight, or 0. `may_be_accepted` is set once an append of the
    manifest got no answer and may have taken effect.
    """

    event: JobSubmitted
    route: Route
    manifest: Manifest
    pending_batches: list[tuple[KeyedRecord, ...]]
    started_at: float
    expires_at: float
    state: IntakeState = IntakeState.STORING
    call: int = 0
    call_at: float = 0.0
    retry_at: float = float("inf")
    may_be_accepted: bool = False

    def next_due(self) -> float:
        """Returns when the submission expires, is retried, or its store call counts as lost."""
        lost_at = self.call_at + CALL_TIMEOUT_SECONDS if self.call else float("inf")
        return min(self.expires_at, self.retry_at, lost_at)


class JobIntake:
    """All submissions in progress on this daemon."""

    def __init__(
        self,
        dependencies: JobDependencies,
        limits: StoreLimits,
        replicas: JobReplicas,
        token_limits: TokenLimits,
        copies: ContentCopies,
        answer: Callable[[int, JobAnswer], None],
    ) -> None:
        self._submissions: dict[int, Submission] = {}
        self._routes = dependencies.routes
        self._copies = copies
        self._has_earlier_daemons = dependencies.has_earlier_daemons
        self._sizes = ItemSizes(dependencies.routes)
        self._tenant_keys = dependencies.tenant_keys
        self._numbers = dependencies.numbers
        self._log = dependencies.log
        self._limits = limits
        self._replicas = replicas
        self._token_limits = token_limits
        self._answer = answer

    # Arrival.

    def on_submitted(self, now: float, event: JobSubmitted) -> list[StoreCall]:
        """Starts a submission, or answers it immediately."""
        route = self._route_of(event)
        if isinstance(route, JobRefused):
            return self._answer_immediately(now, event, route)
        if not self._replicas.index_follower.view.is_read:
            refusal = JobRefused(503, "the index is not read yet", RETRY_AFTER_SECONDS)
            return self._answer_immediately(now, event, refusal)
        return self._start(now, event, route)

    def _route_of(self, event: JobSubmitted) -> Route | JobRefused:
        """Returns the route of a job by the configuration in force, or the refusal of the job."""
        if self._routes.configuration is None:
            return JobRefused(503, "no configuration yet", RETRY_AFTER_SECONDS)
        route = self._routes.match(event.host, event.path)
        if route is None and self._routes.may_be_outdated:
            reason = "no such route, and the configuration may be old"
            return JobRefused(503, reason, OUTDATED_RETRY_SECONDS)
        if route is None or route.kind is not RouteKind.JOBS:
            return JobRefused(404, "no such route")
        return route

    def _start(self, now: float, event: JobSubmitted, route: Route) -> list[StoreCall]:
        manifest = self._manifest(now, event, route)
        try:
            records = self._chunk_records(event, first_chunk(event.digest))
        except RecordError as error:
            return self._answer_immediately(now, event, JobRefused(413, str(error)))
        existing = self._existing_answer(manifest)
        if existing is not None:
            self._copy_accepted_content(now, event, existing)
            return self._answer_immediately(now, event, existing)
        too_large = self._refusal_for_size(event)
        if too_large is not None:
            return self._answer_immediately(now, event, too_large)
        if not event.has_room:
            return self._refuse_for_memory(now, event)
        batches = _split_into_batches(records, self._limits.call_bytes)
        expires_at = now + max(0.0, event.time_left - ANSWER_RESERVE_SECONDS)
        submission = Submission(event, route, manifest, batches, now, expires_at)
        self._submissions[event.token] = submission
        if not self._token_limits.fits(route, manifest):
            # This replica may lag, so the index is read before the job is refused.
            self._read_index(submission)
            return []
        return self._store_next(now, submission)

    def _chunk_records(self, event: JobSubmitted, first: int) -> tuple[KeyedRecord, ...]:
        return chunk_records(event.job_id, event.items, self._limits.record_bytes, first)

    def _refusal_for_size(self, event: JobSubmitted) -> JobRefused | None:
        """Returns the refusal of a job with an item that no service of its route holds."""
        item = self._sizes.first_too_large(event.host, event.items)
        if item is None:
            return None
        reason = f"item {item.item_id}: no engine of its route holds {item.tokens} tokens"
        return JobRefused(413, reason)

    def _refuse_for_memory(self, now: float, event: JobSubmitted) -> list[StoreCall]:
        """Refuses a job before anything of it is stored."""
        self._log(
            "job refused for memory",
            job_id=event.job_id,
            items=len(event.items),
            body_bytes=sum(len(item.body) for item in event.items),
            retry_after_ms=round(MEMORY_RETRY_AFTER_SECONDS * 1000),
        )
        refusal = JobRefused(503, "no memory for the job's items", MEMORY_RETRY_AFTER_SECONDS)
        return self._answer_immediately(now, event, refusal)

    def _manifest(self, now: float, event: JobSubmitted, route: Route) -> Manifest:
        return Manifest(
            event.job_id,
            route.name,
            event.host,
            len(event.items),
            sum(item.tokens for item in event.items),
            event.digest,
            shard_of(event.job_id, self._limits.shards),
            self._replicas.time_of_day(now),
            event.tenant,
        )

    def _existing_answer(self, manifest: Manifest) -> JobAnswer | None:
        """Returns the answer if the job's id is in the index, otherwise None."""
        entry = self._replicas.index.jobs.get(manifest.job_id)
        if entry is None:
            return None
        is_same = entry.manifest.digest == manifest.digest
        if is_same and entry.manifest.tenant == manifest.tenant:
            return JobAccepted()
        return JobRefused(409, "the job's id was used for other content")

    def _answer_immediately(
        self, now: float, event: JobSubmitted, answer: JobAnswer
    ) -> list[StoreCall]:
        self._log(
            "job answered at once",
            job_id=event.job_id,
            answer=type(answer).__name__,
            reason=getattr(answer, "reason", ""),
            **configuration_fields(self._routes.known(now)),
        )
        self._answer(event.token, answer)
        return []

    # Steps.

    def _store_next(self, now: float, submission: Submission) -> list[StoreCall]:
        """Appends the next batch of content, or the manifest after the last batch.

        A batch may be stored twice, under the same keys.
        """
        if not submission.pending_batches:
            return self._append_manifest(now, submission)
        submission.state = IntakeState.STORING
        partition = shard_partition(submission.manifest.shard)
        call = AppendRecords(self._numbers.next(), partition, submission.pending_batches[0])
        return self._start_call(now, submission, call)

    def _append_manifest(self, now: float, submission: Submission) -> list[StoreCall]:
        """Appends the manifest, unless the configuration or the index forbids it.

        Both may have changed since the submission was last compared with them.
        """
        if now >= submission.expires_at:
            self._expire(now, submission)
            return []
        refusal = self._apply_configuration(submission)
        if refusal is not None:
            self._finish(now, submission, refusal)
            return []
        existing = self._existing_answer(submission.manifest)
        if existing is not None:
            self._finish(now, submission, existing)
            return []
        if not self._token_limits.fits(submission.route, submission.manifest):
            self._read_index(submission)
            return []
        submission.state = IntakeState.APPENDING
        end = self._replicas.index_follower.next_offset
        call = AppendRecords(
            self._numbers.next(), INDEX, _acceptance_records(submission.manifest), end
        )
        return self._start_call(now, submission, call)

    def _apply_configuration(self, submission: Submission) -> JobRefused | None:
        """Sets a submission's route and tenant by the configuration in force, or refuses it."""
        event, manifest = submission.event, submission.manifest
        tenant = self._tenant_keys.identify_for_jobs(event.caller_key)
        if isinstance(tenant, NotRun):
            refusal = JobRefused(tenant.status, tenant.reason, tenant.retry_after)
            return _unless_accepted(submission, refusal)
        if tenant.name != manifest.tenant and submission.may_be_accepted:
            return JobRefused(504, "the caller's tenant has changed", RETRY_AFTER_SECONDS)
        route = self._route_of(event)
        if isinstance(route, JobRefused):
            return _unless_accepted(submission, route)
        too_large = self._refusal_for_size(event)
        if too_large is not None:
            return _unless_accepted(submission, too_large)
        submission.route = route
        submission.manifest = replace(manifest, route=route.name, tenant=tenant.name)
        return None

    @staticmethod
    def _start_call(now: float, submission: Submission, call: AppendRecords) -> list[StoreCall]:
        submission.call = call.call
        submission.call_at = now
        submission.retry_at = float("inf")
        return [call]

    def _read_index(self, submission: Submission) -> None:
        submission.state = IntakeState.READING
        submission.call = 0
        token = submission.event.token
        self._replicas.index_refresher.refresh(
            lambda now, succeeded: self._on_index_read(now, token, succeeded)
        )

    def _on_index_read(self, now: float, token: int, succeeded: bool) -> None:
        submission = self._submissions.get(token)
        if submission is None or submission.state is not IntakeState.READING:
            return
        if not succeeded:
            submission.retry_at = now + RETRY_PAUSE_SECONDS
            return
        existing = self._existing_answer(submission.manifest)
        if existing is not None:
            self._finish(now, submission, existing)
        elif not self._token_limits.fits(submission.route, submission.manifest):
            self._refuse_for_limit(now, submission)
        else:
            submission.retry_at = now

    # Outcomes.

    def owns(self, call: int) -> bool:
        """Returns whether a store call belongs to a submission."""
        return any(submission.call == call for submission in self._submissions.values())

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> list[StoreCall]:
        """Handles the outcome of a submission's store call."""
        submission = next(s for s in self._submissions.values() if s.call == call)
        submission.call = 0
        if submission.state is IntakeState.STORING:
            return self._on_stored(now, submission, outcome)
        self._on_manifest_answered(now, submission, outcome)
        return []

    def _on_stored(
        self, now: float, submission: Submission, outcome: StoreOutcome
    ) -> list[StoreCall]:
        if isinstance(outcome, Appended):
            del submission.pending_batches[0]
            return self._store_next(now, submission)
        submission.retry_at = now + RETRY_PAUSE_SECONDS
        return []

    def _on_manifest_answered(
        self, now: float, submission: Submission, outcome: StoreOutcome
    ) -> None:
        match outcome:
            case Appended():
                records = _acceptance_records(submission.manifest)
                self._replicas.on_appended(now, INDEX, records, outcome)
                self._finish(now, submission, JobAccepted())
            case EndMoved():
                self._read_index(submission)
            case CallFailed(may_have_acted=True):
                submission.may_be_accepted = True
                self._read_index(submission)
            case _:
                submission.retry_at = now + RETRY_PAUSE_SECONDS

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        dues = (submission.next_due() for submission in self._submissions.values())
        return min(dues, default=float("inf"))

    def on_timer(self, now: float) -> list[StoreCall]:
        """Retries failed steps, and ends expired submissions."""
        calls: list[StoreCall] = []
        for submission in list(self._submissions.values()):
            if now >= submission.expires_at:
                self._expire(now, submission)
            elif submission.retry_at <= now:
                calls += self._retry(now, submission)
        return calls

    def _retry(self, now: float, submission: Submission) -> list[StoreCall]:
        submission.retry_at = float("inf")
        match submission.state:
            case IntakeState.STORING:
                return self._store_next(now, submission)
            case IntakeState.APPENDING:
                return self._append_manifest(now, submission)
            case IntakeState.READING:
                return self._resume_after_read(now, submission)
            case _:
                assert_never(submission.state)

    def _resume_after_read(self, now: float, submission: Submission) -> list[StoreCall]:
        existing = self._existing_answer(submission.manifest)
        if existing is not None:
            self._finish(now, submission, existing)
            return []
        is_following = self._replicas.index_follower.is_following
        if not is_following or not self._token_limits.fits(submission.route, submission.manifest):
            self._read_index(submission)
            return []
        return self._store_next(now, submission)

    # Ends.

    def _refuse_for_limit(self, now: float, submission: Submission) -> None:
        """Refuses a job that does not fit: with 504 if an append of its manifest may have acted."""
        self._log(
            "job does not fit",
            job_id=submission.event.job_id,
            tokens=submission.manifest.tokens,
            waiting=self._token_limits.queued_tokens(submission.manifest),
            most=submission.route.max_queued_tokens,
        )
        refusal = JobRefused(429, "too many tokens wait", LIMIT_RETRY_AFTER_SECONDS)
        self._finish(now, submission, _unless_accepted(submission, refusal))

    def _expire(self, now: float, submission: Submission) -> None:
        is_unanswered = submission.state is IntakeState.APPENDING and submission.call != 0
        status = 504 if submission.may_be_accepted or is_unanswered else 503
        refusal = JobRefused(status, "the store did not answer", RETRY_AFTER_SECONDS)
        self._finish(now, submission, refusal)

    def _copy_accepted_content(self, now: float, event: JobSubmitted, answer: JobAnswer) -> None:
        """Stores an accepted job's content again if daemons of an earlier version may need it."""
        if not isinstance(answer, JobAccepted) or not self._has_earlier_daemons(now):
            return
        batches = _split_into_batches(self._chunk_records(event, 0), self._limits.call_bytes)
        shard = shard_of(event.job_id, self._limits.shards)
        self._copies.start(now, event.job_id, shard, batches)

    def _finish(self, now: float, submission: Submission, answer: JobAnswer) -> None:
        del self._submissions[submission.event.token]
        self._copy_accepted_content(now, submission.event, answer)
        manifest = submission.manifest
        self._log(
            "job submission ended",
            job_id=manifest.job_id,
            items=manifest.item_count,
            tokens=manifest.tokens,
            shard=manifest.shard,
            answer=type(answer).__name__,
            reason=getattr(answer, "reason", ""),
            status=getattr(answer, "status", 202),
            took_ms=round((now - submission.started_at) * 1000),
            due_ms=round(completion_target(self._routes, manifest) * 1000),
            **configuration_fields(self._routes.known(now)),
        )
        self._answer(submission.event.token, answer)


def _acceptance_records(manifest: Manifest) -> tuple[KeyedRecord, ...]:
    """Returns the records of the index that make a job accepted."""
    return content_record(manifest), manifest_record(manifest)


def _unless_accepted(submission: Submission, refusal: JobRefused) -> JobRefused:
    """Returns a refusal, with 504 if an append of the manifest may have taken effect."""
    return replace(refusal, status=504) if submission.may_be_accepted else refusal


def _split_into_batches(
    records: tuple[KeyedRecord, ...], call_bytes: int
) -> list[tuple[KeyedRecord, ...]]:
    """Splits records into batches, each within the store's limit for a call."""
    batches: list[list[KeyedRecord]] = [[]]
    used = 0
    for record in records:
        size = len(record.value) + len(record.key) + ROW_OVERHEAD_BYTES
        if batches[-1] and used + size > call_bytes:
            batches.append([])
            used = 0
        batches[-1].append(record)
        used += size
    return [tuple(batch) for batch in batches if batch]
