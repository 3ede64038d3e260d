"""Takes jobs in: content first, then the manifest at the expected end of the index.

    STORING   -> PLACING    the items' records were acknowledged
    PLACING   -> accepted   the manifest was appended at the end that was read
    PLACING   -> READING    the index ends elsewhere, or the answer was lost
    READING   -> PLACING    the index was read to its end, and the job still fits
    READING   -> accepted   the index has the job's manifest: this or another hand-in
    any       -> refused    it does not fit, or time ran out

The manifest's append is the one moment at which a job begins to exist. Its condition
makes every writer count all jobs before it, so the tokens that wait are bounded across
all daemons without one that counts for them.

A refusal by 429 or 503 promises that the job never runs. It is only given while no
append of the manifest is without an answer.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.types import Route, RouteKind
from troutswitch.decisions.jobs.index import JobEntry
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
    manifest_record,
    shard_of,
    shard_partition,
)
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.storage.follower import CallNumbers
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    CallFailed,
    EndMoved,
    KeyedRecord,
    StoreCall,
    StoreOutcome,
)

RESERVE_SECONDS = 0.3
"""Part of a client's time that is left for its answer."""
RETRY_PAUSE_SECONDS = 0.15
CALL_LOST_SECONDS = 4.0
RETRY_AFTER_SECONDS = 0.5
QUOTA_RETRY_AFTER_SECONDS = 1.0


class IntakeState(Enum):
    """State of a job that is being taken in."""

    STORING = "storing"
    READING = "reading"
    PLACING = "placing"


@dataclass(slots=True)
class Intake:
    """One hand-in of a job."""

    event: JobSubmitted
    route: Route
    manifest: Manifest
    batches: list[tuple[KeyedRecord, ...]]
    begun_at: float
    give_up_at: float
    state: IntakeState = IntakeState.STORING
    call: int = 0
    requested_at: float = 0.0
    retry_at: float = float("inf")
    may_be_placed: bool = False


class JobIntake:
    """All hand-ins in progress on this daemon."""

    def __init__(
        self,
        routes: RouteTable,
        replicas: JobReplicas,
        numbers: CallNumbers,
        room: StoreLimits,
        answer: Callable[[int, JobAnswer], None],
        log: Callable[..., None],
    ) -> None:
        self.intakes: dict[int, Intake] = {}
        self._routes = routes
        self._replicas = replicas
        self._numbers = numbers
        self._room = room
        self._answer = answer
        self._log = log

    def on_submitted(self, now: float, event: JobSubmitted) -> list[StoreCall]:
        """Begins a hand-in, or answers it at once."""
        if self._routes.configuration is None:
            return self._reply(event, JobRefused(503, "no configuration yet", RETRY_AFTER_SECONDS))
        route = self._routes.match(event.host, event.path)
        if route is None or route.kind is not RouteKind.JOBS:
            return self._reply(event, JobRefused(404, "no such route"))
        if not self._replicas.index_follower.is_current:
            return self._reply(event, JobRefused(503, "the index is not read yet", 0.5))
        return self._begin(now, event, route)

    def _begin(self, now: float, event: JobSubmitted, route: Route) -> list[StoreCall]:
        manifest = Manifest(
            event.job_id,
            route.name,
            event.host,
            len(event.items),
            sum(item.tokens for item in event.items),
            event.digest,
            shard_of(event.job_id, self._room.shards),
            self._replicas.time_of_day(now),
            event.tenant,
        )
        try:
            records = chunk_records(event.job_id, event.items, self._room.record_bytes)
        except RecordError as error:
            return self._reply(event, JobRefused(413, str(error)))
        known = self._known(event, manifest)
        if known is not None:
            return self._reply(event, known)
        intake = Intake(
            event,
            route,
            manifest,
            _batches(records, self._room.call_bytes),
            now,
            now + max(0.0, event.time_left - RESERVE_SECONDS),
        )
        self.intakes[event.token] = intake
        if not self._fits(intake):
            # The tokens told here may lag; the index is read before a refusal.
            self._read_index(intake)
            return []
        return self._store_next(now, intake)

    def _known(self, event: JobSubmitted, manifest: Manifest) -> JobAnswer | None:
        entry: JobEntry | None = self._replicas.index.jobs.get(event.job_id)
        if entry is None:
            return None
        is_same = entry.manifest.digest == manifest.digest
        if is_same and entry.manifest.tenant == manifest.tenant:
            return JobAccepted()
        return JobRefused(409, "the job's id was used for other content")

    def _fits(self, intake: Intake) -> bool:
        most = intake.route.queued_tokens_most
        if most <= 0:
            return True
        waiting = self._replicas.index.waiting_tokens(intake.route.name, intake.manifest.tenant)
        return waiting + intake.manifest.tokens <= most

    # Steps.

    def _store_next(self, now: float, intake: Intake) -> list[StoreCall]:
        """Appends the next records of content; they are harmless any number of times."""
        intake.state = IntakeState.STORING
        if not intake.batches:
            return self._place(now, intake)
        partition = shard_partition(intake.manifest.shard)
        return self._call(
            now, intake, AppendRecords(self._numbers.next(), partition, intake.batches[0])
        )

    def _place(self, now: float, intake: Intake) -> list[StoreCall]:
        intake.state = IntakeState.PLACING
        end = self._replicas.index_follower.next_offset
        record = manifest_record(intake.manifest)
        return self._call(now, intake, AppendRecords(self._numbers.next(), INDEX, (record,), end))

    def _call(self, now: float, intake: Intake, call: AppendRecords) -> list[StoreCall]:
        intake.call = call.call
        intake.requested_at = now
        intake.retry_at = float("inf")
        return [call]

    def _read_index(self, intake: Intake) -> None:
        intake.state = IntakeState.READING
        intake.call = 0
        token = intake.event.token
        self._replicas.index_refresher.ask(
            lambda now, succeeded: self._on_index_read(now, token, succeeded)
        )

    def _on_index_read(self, now: float, token: int, succeeded: bool) -> None:
        intake = self.intakes.get(token)
        if intake is None or intake.state is not IntakeState.READING:
            return
        if not succeeded:
            intake.retry_at = now + RETRY_PAUSE_SECONDS
            return
        known = self._known(intake.event, intake.manifest)
        if known is not None:
            self._finish(now, intake, known)
        elif not self._fits(intake):
            self._refuse_unfit(now, intake)
        else:
            intake.retry_at = now

    def _refuse_unfit(self, now: float, intake: Intake) -> None:
        """Refuses a job that does not fit, unless an append of it may still act."""
        waiting = self._replicas.index.waiting_tokens(intake.route.name, intake.manifest.tenant)
        self._log(
            "job does not fit",
            job_id=intake.event.job_id,
            tokens=intake.manifest.tokens,
            waiting=waiting,
            most=intake.route.queued_tokens_most,
        )
        status = 504 if intake.may_be_placed else 429
        self._finish(
            now, intake, JobRefused(status, "too many tokens wait", QUOTA_RETRY_AFTER_SECONDS)
        )

    def owns(self, call: int) -> bool:
        """Returns whether an answer belongs to a hand-in."""
        return any(intake.call == call for intake in self.intakes.values())

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> list[StoreCall]:
        """Takes the outcome of a hand-in's call."""
        intake = next(i for i in self.intakes.values() if i.call == call)
        intake.call = 0
        if intake.state is IntakeState.STORING:
            return self._on_stored(now, intake, outcome)
        return self._on_placed(now, intake, outcome)

    def _on_stored(self, now: float, intake: Intake, outcome: StoreOutcome) -> list[StoreCall]:
        if isinstance(outcome, Appended):
            del intake.batches[0]
            return self._store_next(now, intake)
        intake.retry_at = now + RETRY_PAUSE_SECONDS
        return []

    def _on_placed(self, now: float, intake: Intake, outcome: StoreOutcome) -> list[StoreCall]:
        match outcome:
            case Appended():
                record = manifest_record(intake.manifest)
                self._replicas.index.take(now, record)
                self._replicas.index_follower.skip(outcome.offset, outcome.end)
                self._finish(now, intake, JobAccepted())
            case EndMoved():
                self._read_index(intake)
            case CallFailed(may_have_acted=True):
                intake.may_be_placed = True
                self._read_index(intake)
            case _:
                intake.retry_at = now + RETRY_PAUSE_SECONDS
        return []

    # Timers and ends.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min(
            (
                min(
                    i.give_up_at,
                    i.retry_at,
                    i.requested_at + CALL_LOST_SECONDS if i.call else i.retry_at,
                )
                for i in self.intakes.values()
            ),
            default=float("inf"),
        )

    def on_timer(self, now: float) -> list[StoreCall]:
        """Tries again what failed, and ends what has run out of time."""
        calls: list[StoreCall] = []
        for intake in list(self.intakes.values()):
            if now >= intake.give_up_at:
                self._give_up(now, intake)
            elif intake.retry_at <= now:
                calls += self._again(now, intake)
        return calls

    def _again(self, now: float, intake: Intake) -> list[StoreCall]:
        intake.retry_at = float("inf")
        if intake.state is IntakeState.STORING:
            return self._store_next(now, intake)
        if intake.state is IntakeState.PLACING:
            return self._place(now, intake)
        known = self._known(intake.event, intake.manifest)
        if known is not None:
            self._finish(now, intake, known)
            return []
        if not self._replicas.index_follower.is_current or not self._fits(intake):
            self._read_index(intake)
            return []
        return self._store_next(now, intake)

    def _give_up(self, now: float, intake: Intake) -> None:
        unanswered = intake.state is IntakeState.PLACING and intake.call != 0
        may_be_placed = intake.may_be_placed or unanswered
        status = 504 if may_be_placed else 503
        self._finish(
            now, intake, JobRefused(status, "the store did not answer", RETRY_AFTER_SECONDS)
        )

    def _finish(self, now: float, intake: Intake, answer: JobAnswer) -> None:
        del self.intakes[intake.event.token]
        self._log(
            "job hand-in ended",
            job_id=intake.event.job_id,
            items=intake.manifest.item_count,
            tokens=intake.manifest.tokens,
            shard=intake.manifest.shard,
            answer=type(answer).__name__,
            reason=getattr(answer, "reason", ""),
            status=getattr(answer, "status", 202),
            took_ms=round((now - intake.begun_at) * 1000),
            due_ms=round(self._objective(intake.manifest.route) * 1000),
        )
        self._answer(intake.event.token, answer)

    def _objective(self, route_name: str) -> float:
        route = self._routes.named(route_name)
        return route.completion_target if route is not None else 0.0

    def _reply(self, event: JobSubmitted, answer: JobAnswer) -> list[StoreCall]:
        self._log(
            "job answered at once",
            job_id=event.job_id,
            answer=type(answer).__name__,
            reason=getattr(answer, "reason", ""),
        )
        self._answer(event.token, answer)
        return []


def _batches(records: tuple[KeyedRecord, ...], call_bytes: int) -> list[tuple[KeyedRecord, ...]]:
    """Splits records into calls that the store takes."""
    batches: list[list[KeyedRecord]] = [[]]
    used = 0
    for record in records:
        size = len(record.value) + len(record.key) + 8
        if batches[-1] and used + size > call_bytes:
            batches.append([])
            used = 0
        batches[-1].append(record)
        used += size
    return [tuple(batch) for batch in batches if batch]
