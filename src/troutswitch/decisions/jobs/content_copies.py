"""Copies the content of accepted jobs to where daemons of an earlier version read it.

Daemons of this version number the chunks of a job by its content (`records`), those of an earlier
version from 0. While one of these may own a shard, each job that this daemon accepts is stored once
more under their numbers, after the manifest: only the submission that was accepted writes them, so
the content of a refused one can't replace it.

It owns the copies in progress. A copy that fails is repeated until the store takes it or the job is
ended, done or removed.
"""

from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.decisions.jobs.records import shard_partition
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    KeyedRecord,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers

RETRY_PAUSE_SECONDS = 0.3
"""Pause after a store call that failed."""
CALL_TIMEOUT_SECONDS = 4.0
"""Time after which a store call without an answer is repeated."""

Batches = list[tuple[KeyedRecord, ...]]
"""Records, one batch for each store call."""


@dataclass(slots=True)
class _Copy:
    """The copy of one job's content; `call` is the store call in flight, or 0."""

    shard: int
    pending: Batches
    due_at: float
    call: int = 0


class ContentCopies:
    """All copies in progress on this daemon."""

    def __init__(
        self, replicas: JobReplicas, numbers: CallNumbers, log: Callable[..., None]
    ) -> None:
        self._replicas = replicas
        self._numbers = numbers
        self._log = log
        self._copies: dict[str, _Copy] = {}

    def start(self, now: float, job_id: str, shard: int, batches: Batches) -> None:
        """Starts to copy a job's content; the first call is due now."""
        self._log("job content copied for earlier versions", job_id=job_id, calls=len(batches))
        self._copies[job_id] = _Copy(shard, batches, now)

    def owns(self, call: int) -> bool:
        """Returns whether a store call belongs to a copy."""
        return any(copy.call == call for copy in self._copies.values())

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a copy's store call."""
        copy = next(copy for copy in self._copies.values() if copy.call == call)
        copy.call = 0
        if isinstance(outcome, Appended):
            del copy.pending[0]
            copy.due_at = now
        else:
            copy.due_at = now + RETRY_PAUSE_SECONDS

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min((copy.due_at for copy in self._copies.values()), default=float("inf"))

    def on_timer(self, now: float) -> list[StoreCall]:
        """Makes the store calls that are due."""
        calls: list[StoreCall] = []
        for job_id, copy in list(self._copies.items()):
            if now < copy.due_at:
                continue
            entry = self._replicas.index.jobs.get(job_id)
            if not copy.pending or entry is None or not entry.is_open:
                del self._copies[job_id]
                continue
            copy.call = self._numbers.next()
            copy.due_at = now + CALL_TIMEOUT_SECONDS
            calls.append(AppendRecords(copy.call, shard_partition(copy.shard), copy.pending[0]))
        return calls
