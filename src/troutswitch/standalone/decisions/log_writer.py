"""Appends to the log: one append in flight per stream, retried until confirmed."""

from collections import deque
from dataclasses import dataclass, field

from troutswitch.standalone.constants import (
    INITIAL_LOG_RETRY_SECONDS,
    MAX_ENTRY_WEIGHT,
    MAX_LOG_RETRY_SECONDS,
)
from troutswitch.standalone.decisions.effects import AppendToLog, Effect
from troutswitch.standalone.log_service.records import ChunkSubmitted, Record, encode_entry


@dataclass
class _StreamQueue:
    """Queued records of one stream and the entry in flight."""

    waiting: deque[Record] = field(default_factory=deque)
    sequence: int = 0
    payload: bytes | None = None
    records_in_flight: int = 0
    is_appending: bool = False
    retry_at: float = float("inf")
    failures: int = 0


class LogWriter:
    """Queues records by stream and appends them in order, several to an entry.

    An append that was not confirmed is retried with the same bytes; folds discard
    the duplicate by its sequence number.
    """

    def __init__(self, writer: str) -> None:
        self.writer = writer
        self._queues: dict[str, _StreamQueue] = {}

    def queued_records(self) -> int:
        """Returns the number of unconfirmed records over all streams."""
        return sum(len(q.waiting) + q.records_in_flight for q in self._queues.values())

    def is_failing(self, stream: str) -> bool:
        """Returns whether the last append to the stream failed."""
        queue = self._queues.get(stream)
        return queue is not None and queue.failures > 0

    def is_failing_anywhere(self) -> bool:
        """Returns whether the last append to any stream failed."""
        return any(queue.failures > 0 for queue in self._queues.values())

    def is_idle(self) -> bool:
        """Returns whether all queued records have been confirmed."""
        return all(q.payload is None and not q.waiting for q in self._queues.values())

    def append(self, stream: str, records: list[Record]) -> list[Effect]:
        """Queues records for a stream."""
        queue = self._queues.setdefault(stream, _StreamQueue())
        queue.waiting.extend(records)
        return self._send(stream, queue)

    def on_appended(self, stream: str) -> list[Effect]:
        """Handles the confirmation of the entry in flight and sends the next one.

        Snapshots bypass this queue, because a lost snapshot need not be retried;
        confirmations for their streams are ignored.
        """
        queue = self._queues.get(stream)
        if queue is None:
            return []
        queue.payload = None
        queue.records_in_flight = 0
        queue.is_appending = False
        queue.failures = 0
        return self._send(stream, queue)

    def on_failed(self, now: float, stream: str) -> list[Effect]:
        """Handles a failed append; the entry is retried after a delay."""
        queue = self._queues.get(stream)
        if queue is None:
            return []
        queue.is_appending = False
        queue.failures += 1
        delay = INITIAL_LOG_RETRY_SECONDS * 2 ** min(queue.failures - 1, 10)
        queue.retry_at = now + min(delay, MAX_LOG_RETRY_SECONDS)
        return []

    def next_due(self) -> float:
        """Returns when the next retry is due."""
        return min((q.retry_at for q in self._queues.values()), default=float("inf"))

    def on_timer(self, now: float) -> list[Effect]:
        """Retries the appends that are due."""
        effects: list[Effect] = []
        for stream, queue in self._queues.items():
            if queue.retry_at <= now:
                queue.retry_at = float("inf")
                effects.extend(self._send(stream, queue))
        return effects

    def _send(self, stream: str, queue: _StreamQueue) -> list[Effect]:
        if queue.is_appending or queue.retry_at != float("inf"):
            return []
        if queue.payload is None:
            if not queue.waiting:
                return []
            records = _pop_entry_records(queue.waiting)
            queue.sequence += 1
            queue.payload = encode_entry(self.writer, queue.sequence, records)
            queue.records_in_flight = len(records)
        queue.is_appending = True
        return [AppendToLog(stream, queue.payload)]


def _pop_entry_records(waiting: deque[Record]) -> list[Record]:
    """Removes the records of the next entry from the queue; at least one."""
    records = [waiting.popleft()]
    weight = _weight(records[0])
    while waiting and weight + _weight(waiting[0]) <= MAX_ENTRY_WEIGHT:
        weight += _weight(waiting[0])
        records.append(waiting.popleft())
    return records


def _weight(record: Record) -> int:
    """Returns a record's weight in an entry; a chunk weighs as much as its items."""
    return len(record.items) if isinstance(record, ChunkSubmitted) else 1
