"""Answers clients' calls about jobs: results, bodies and ends, at any daemon.

A job that the index replica does not know is looked for once more at the store, and a
position that the shard's replica does not have is read for, before "there is none" is
said. Where the store cannot be read, the answer is that this daemon is not sure.
"""

from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.decisions.jobs.index import JobEntry
from troutswitch.decisions.jobs.messages import (
    BodyRequested,
    ItemBody,
    JobAnswer,
    JobEnded,
    JobEndRequested,
    JobRefused,
    JobResults,
    ResultsRequested,
)
from troutswitch.decisions.jobs.records import INDEX, end_record
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.storage.follower import CallNumbers
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    StoreCall,
    StoreOutcome,
)

RESULT_BYTES_MOST = 900_000
"""Bytes of texts in one answer, below the platform's limit of 1 MB."""
RETRY_AFTER_SECONDS = 0.3
END_RETRY_SECONDS = 0.15
RESERVE_SECONDS = 0.2
READ_SECONDS_MOST = 2.0
"""Longest time for which a read is held while the store does not answer."""

JobCall = ResultsRequested | BodyRequested | JobEndRequested


@dataclass(slots=True)
class PendingCall:
    """A call that waits for the store."""

    event: JobCall
    give_up_at: float
    append: int = 0
    retry_at: float = float("inf")


class JobReads:
    """Calls about jobs in progress on this daemon."""

    def __init__(
        self,
        replicas: JobReplicas,
        numbers: CallNumbers,
        answer: Callable[[int, JobAnswer], None],
        log: Callable[..., None],
    ) -> None:
        self.pending: dict[int, PendingCall] = {}
        self._replicas = replicas
        self._numbers = numbers
        self._answer = answer
        self._log = log

    def on_asked(self, now: float, event: JobCall) -> list[StoreCall]:
        """Begins a call about a job."""
        left = min(max(0.0, event.time_left - RESERVE_SECONDS), READ_SECONDS_MOST)
        self.pending[event.token] = PendingCall(event, now + left)
        if event.job_id in self._replicas.index.jobs:
            if self._entry_of(event) is None:
                self._finish(event.token, JobRefused(404, "no such job"))
                return []
            return self._with_job(event.token)
        self._replicas.index_refresher.ask(
            lambda at, succeeded: self._on_index_read(at, event.token, succeeded)
        )
        return []

    def _entry_of(self, event: JobCall) -> JobEntry | None:
        """Returns the job of a call; another tenant's job is none."""
        entry = self._replicas.index.jobs.get(event.job_id)
        return entry if entry is not None and entry.manifest.tenant == event.tenant else None

    def _on_index_read(self, now: float, token: int, succeeded: bool) -> None:
        call = self.pending.get(token)
        if call is None:
            return
        if self._entry_of(call.event) is not None:
            call.retry_at = now  # goes on at the next timer, which can make calls
        elif succeeded:
            self._finish(token, JobRefused(404, "no such job"))
        else:
            self._unsure(token, "the index could not be read")

    def _with_job(self, token: int) -> list[StoreCall]:
        call = self.pending[token]
        call.retry_at = float("inf")
        entry = self._entry_of(call.event)
        if entry is None:
            self._finish(token, JobRefused(404, "no such job"))
            return []
        match call.event:
            case ResultsRequested():
                self._read_results(call.event, entry)
            case BodyRequested():
                self._read_body(call.event, entry)
            case JobEndRequested():
                return self._end(call, entry)
        return []

    # Results.

    def _read_results(self, event: ResultsRequested, entry: JobEntry) -> None:
        replica = self._replicas.shard(entry.manifest.shard)
        if replica.fold.content(event.job_id).results.get(event.position) is not None:
            self._answer_results(event, entry)
            return
        replica.refresher.ask(lambda now, succeeded: self._on_results(event, entry, succeeded))

    def _on_results(self, event: ResultsRequested, entry: JobEntry, succeeded: bool) -> None:
        if event.token not in self.pending:
            return
        if not succeeded:
            self._unsure(event.token, "the shard could not be read")
            return
        self._answer_results(event, entry)

    def _answer_results(self, event: ResultsRequested, entry: JobEntry) -> None:
        content = self._replicas.shard(entry.manifest.shard).fold.content(event.job_id)
        rows = content.results_from(event.position, RESULT_BYTES_MOST)
        total = entry.manifest.item_count
        self._finish(event.token, JobResults(total, event.position, tuple(rows)))

    # Bodies.

    def _read_body(self, event: BodyRequested, entry: JobEntry) -> None:
        replica = self._replicas.shard(entry.manifest.shard)
        item = replica.fold.content(event.job_id).item(event.item_id)
        if item is not None:
            self._finish(event.token, ItemBody(item.body))
            return
        replica.refresher.ask(lambda now, succeeded: self._on_body(event, entry, succeeded))

    def _on_body(self, event: BodyRequested, entry: JobEntry, succeeded: bool) -> None:
        if event.token not in self.pending:
            return
        replica = self._replicas.shard(entry.manifest.shard)
        item = replica.fold.content(event.job_id).item(event.item_id)
        if item is not None:
            self._finish(event.token, ItemBody(item.body))
        elif succeeded:
            self._finish(event.token, JobRefused(404, "no such item"))
        else:
            self._unsure(event.token, "the shard could not be read")

    # Ends.

    def _end(self, call: PendingCall, entry: JobEntry) -> list[StoreCall]:
        if entry.is_ended:
            self._finish(call.event.token, JobEnded())
            return []
        call.append = self._numbers.next()
        return [AppendRecords(call.append, INDEX, (end_record(call.event.job_id),))]

    def owns(self, number: int) -> bool:
        """Returns whether an answer belongs to the end of a job."""
        return any(call.append == number for call in self.pending.values())

    def on_answer(self, now: float, number: int, outcome: StoreOutcome) -> list[StoreCall]:
        """Takes the outcome of an end's append; it is repeated until acknowledged."""
        call = next(call for call in self.pending.values() if call.append == number)
        call.append = 0
        if not isinstance(outcome, Appended):
            call.retry_at = now + END_RETRY_SECONDS
            return []
        job_id = call.event.job_id
        self._replicas.index.take(now, end_record(job_id))
        self._replicas.index_follower.skip(outcome.offset, outcome.end)
        self._log("job end kept", job_id=job_id, offset=outcome.offset)
        self._finish(call.event.token, JobEnded())
        return []

    # Timers and answers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min(
            (min(call.give_up_at, call.retry_at) for call in self.pending.values()),
            default=float("inf"),
        )

    def on_timer(self, now: float) -> list[StoreCall]:
        """Goes on with calls that wait, and ends what has run out of time."""
        calls: list[StoreCall] = []
        for token, call in list(self.pending.items()):
            if now >= call.give_up_at:
                self._unsure(token, "the store did not answer in time")
            elif call.retry_at <= now:
                calls += self._with_job(token)
        return calls

    def _unsure(self, token: int, reason: str) -> None:
        event = self.pending[token].event
        self._log(
            "job call not sure", job_id=event.job_id, call=type(event).__name__, reason=reason
        )
        self._finish(token, JobRefused(503, reason, RETRY_AFTER_SECONDS))

    def _finish(self, token: int, answer: JobAnswer) -> None:
        del self.pending[token]
        self._answer(token, answer)
