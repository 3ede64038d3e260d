"""Answers clients' calls about jobs, at any daemon: requests for results, bodies and ends of jobs.

A replica may lag, so the index or the shard is read to its end before a client is told that a job,
result or item does not exist. If the store cannot be read, the call is refused with a Retry-After.

It owns the calls in progress on this daemon.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import assert_never

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
from troutswitch.decisions.jobs.records import INDEX, MAX_OUTPUT_BYTES, end_record
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers

RETRY_AFTER_SECONDS = 0.3
"""Retry-After if the store could not be read."""
END_RETRY_SECONDS = 0.15
"""Pause after a failed append of a job's end."""
ANSWER_RESERVE_SECONDS = 0.2
"""Part of a client's timeout that is reserved for sending the answer."""
MAX_CALL_SECONDS = 2.0
"""Maximum time for which a call waits for the store."""

JobCall = ResultsRequested | BodyRequested | JobEndRequested
"""A client's call about a submitted job."""


@dataclass(slots=True)
class PendingCall:
    """A call that waits for the store. Times are seconds on this process's clock.

    `append_call` is the store call in flight that appends the end of a job, or 0.
    """

    event: JobCall
    expires_at: float
    append_call: int = 0
    retry_at: float = float("inf")


class JobReads:
    """Clients' calls about jobs that are in progress on this daemon."""

    def __init__(
        self,
        replicas: JobReplicas,
        numbers: CallNumbers,
        answer: Callable[[int, JobAnswer], None],
        log: Callable[..., None],
    ) -> None:
        self._pending: dict[int, PendingCall] = {}
        self._replicas = replicas
        self._numbers = numbers
        self._answer = answer
        self._log = log

    def on_call(self, now: float, event: JobCall) -> list[StoreCall]:
        """Starts handling a call about a job."""
        timeout = min(max(0.0, event.time_left - ANSWER_RESERVE_SECONDS), MAX_CALL_SECONDS)
        self._pending[event.token] = PendingCall(event, now + timeout)
        if event.job_id in self._replicas.index.jobs:
            return self._serve(event.token)
        self._replicas.index_refresher.refresh(
            lambda at, succeeded: self._on_index_read(at, event.token, succeeded)
        )
        return []

    def _entry_of(self, event: JobCall) -> JobEntry | None:
        """Returns the job of a call; None if there is none or it belongs to another tenant."""
        entry = self._replicas.index.jobs.get(event.job_id)
        return entry if entry is not None and entry.manifest.tenant == event.tenant else None

    def _on_index_read(self, now: float, token: int, succeeded: bool) -> None:
        call = self._pending.get(token)
        if call is None:
            return
        if self._entry_of(call.event) is not None:
            call.retry_at = now  # continues in `on_timer`, which can make store calls
        elif succeeded:
            self._finish(token, JobRefused(404, "no such job"))
        else:
            self._fail(token, "the index could not be read")

    def _serve(self, token: int) -> list[StoreCall]:
        call = self._pending[token]
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
                return self._end_job(call, entry)
            case _:
                assert_never(call.event)
        return []

    # Results.

    def _read_results(self, event: ResultsRequested, entry: JobEntry) -> None:
        replica = self._replicas.shard(entry.manifest.shard)
        if replica.fold.content(event.job_id).results.get(event.position) is not None:
            self._answer_results(event, entry)
            return
        replica.refresher.refresh(lambda now, succeeded: self._on_results(event, entry, succeeded))

    def _on_results(self, event: ResultsRequested, entry: JobEntry, succeeded: bool) -> None:
        if event.token not in self._pending:
            return
        if not succeeded:
            self._fail(event.token, "the shard could not be read")
            return
        self._answer_results(event, entry)

    def _answer_results(self, event: ResultsRequested, entry: JobEntry) -> None:
        content = self._replicas.shard(entry.manifest.shard).fold.content(event.job_id)
        rows = content.results_from(event.position, MAX_OUTPUT_BYTES)
        total = entry.manifest.item_count
        self._finish(event.token, JobResults(total, event.position, tuple(rows)))

    # Bodies.

    def _read_body(self, event: BodyRequested, entry: JobEntry) -> None:
        replica = self._replicas.shard(entry.manifest.shard)
        item = replica.fold.content(event.job_id).item(entry.first_chunk, event.item_id)
        if item is not None:
            self._finish(event.token, ItemBody(item.body))
            return
        replica.refresher.refresh(lambda now, succeeded: self._on_body(event, entry, succeeded))

    def _on_body(self, event: BodyRequested, entry: JobEntry, succeeded: bool) -> None:
        if event.token not in self._pending:
            return
        replica = self._replicas.shard(entry.manifest.shard)
        item = replica.fold.content(event.job_id).item(entry.first_chunk, event.item_id)
        if item is not None:
            self._finish(event.token, ItemBody(item.body))
        elif succeeded:
            self._finish(event.token, JobRefused(404, "no such item"))
        else:
            self._fail(event.token, "the shard could not be read")

    # Ends.

    def _end_job(self, call: PendingCall, entry: JobEntry) -> list[StoreCall]:
        if entry.is_ended:
            self._finish(call.event.token, JobEnded())
            return []
        call.append_call = self._numbers.next()
        return [AppendRecords(call.append_call, INDEX, (end_record(call.event.job_id),))]

    def owns(self, number: int) -> bool:
        """Returns whether a store call appends the end of a job."""
        return any(call.append_call == number for call in self._pending.values())

    def on_answer(self, now: float, number: int, outcome: StoreOutcome) -> list[StoreCall]:
        """Handles the outcome of the append of a job's end, which is retried until acknowledged."""
        call = next(call for call in self._pending.values() if call.append_call == number)
        call.append_call = 0
        if not isinstance(outcome, Appended):
            call.retry_at = now + END_RETRY_SECONDS
            return []
        job_id = call.event.job_id
        record = end_record(job_id)
        self._replicas.on_appended(now, INDEX, (record,), outcome)
        self._log("job end stored", job_id=job_id, offset=outcome.offset)
        self._finish(call.event.token, JobEnded())
        return []

    # Timers and answers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min(
            (min(call.expires_at, call.retry_at) for call in self._pending.values()),
            default=float("inf"),
        )

    def on_timer(self, now: float) -> list[StoreCall]:
        """Continues waiting calls, and refuses expired ones."""
        calls: list[StoreCall] = []
        for token, call in list(self._pending.items()):
            if now >= call.expires_at:
                self._fail(token, "the store did not answer in time")
            elif call.retry_at <= now:
                calls += self._serve(token)
        return calls

    def _fail(self, token: int, reason: str) -> None:
        event = self._pending[token].event
        self._log("job call failed", job_id=event.job_id, call=type(event).__name__, reason=reason)
        self._finish(token, JobRefused(503, reason, RETRY_AFTER_SECONDS))

    def _finish(self, token: int, answer: JobAnswer) -> None:
        del self._pending[token]
        self._answer(token, answer)
