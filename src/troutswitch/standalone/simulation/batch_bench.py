"""Measures the batch fold: log size, recovery, memory and submission cost.

All of it runs in one process without a network; times are of this machine's
processor and leave out what the log service itself takes.
"""

import time
import tracemalloc
from array import array
from collections.abc import Callable

from troutswitch.standalone.constants import CHUNK_ITEMS, ENTRY_WEIGHT_MOST
from troutswitch.standalone.decisions.batch.fold import ShardFold
from troutswitch.standalone.decisions.batch.jobs import chunk_count
from troutswitch.standalone.decisions.batch.snapshot import decode_snapshot, encode_snapshot
from troutswitch.standalone.decisions.effects import AppendToLog
from troutswitch.standalone.decisions.log_writer import LogWriter
from troutswitch.standalone.log_service.records import (
    BatchItem,
    ChunkSubmitted,
    EpochClaimed,
    ItemFinished,
    JobClosed,
    JobCommitted,
    Record,
    content_digest,
    decode_entry,
    pack_offsets,
)

PROMPT = "x" * 400
"""A prompt of about 100 tokens."""
ANSWER = "y" * 400
"""An answer of about 100 tokens."""
RESULTS_JOINED = 32
"""Results that a busy owner joins into one entry."""
STREAM = "bench"


class _Stream:
    """A log of one stream, appended through the real writer."""

    def __init__(self) -> None:
        self.entries: list[bytes] = []
        self._writer = LogWriter("bench#1")

    def append(self, records: list[Record]) -> None:
        effects = self._writer.append(STREAM, records)
        while effects:
            for effect in effects:
                assert isinstance(effect, AppendToLog)
                self.entries.append(effect.payload)
            effects = self._writer.on_appended(STREAM)

    def fold(self, fold: ShardFold) -> ShardFold:
        for offset in range(fold.next_offset, len(self.entries)):
            fold.apply(offset, decode_entry(self.entries[offset]))
        return fold

    def size(self) -> int:
        return sum(len(entry) for entry in self.entries)


def make_items(count: int) -> tuple[BatchItem, ...]:
    """Returns items with prompts of about 100 tokens."""
    return tuple(BatchItem(f"item-{number}", PROMPT, 100) for number in range(count))


def submission_records(job_id: str, items: tuple[BatchItem, ...]) -> list[Record]:
    """Returns the records of one submission."""
    chunks: list[Record] = [
        ChunkSubmitted(job_id, index, list(items[index * CHUNK_ITEMS : (index + 1) * CHUNK_ITEMS]))
        for index in range(chunk_count(len(items)))
    ]
    digest = content_digest("s", True, items)
    commit = JobCommitted(job_id, job_id, digest, "t", "s", len(items), True, 0.0, 9e9, 1.0)
    return [*chunks, commit]


def _result_records(job_id: str, epoch: int, count: int) -> list[list[Record]]:
    return [
        [
            ItemFinished(epoch, job_id, index, "completed", ANSWER)
            for index in range(first, min(first + RESULTS_JOINED, count))
        ]
        for first in range(0, count, RESULTS_JOINED)
    ]


def _timed(action: Callable[[], object]) -> float:
    started = time.perf_counter()
    action()
    return time.perf_counter() - started


def measure_submission(items: int) -> dict[str, float]:
    """Measures one submission: processor time to digest, encode and fold it."""
    stream = _Stream()
    batch = make_items(items)
    build = _timed(lambda: stream.append(submission_records("job", batch)))
    fold = _timed(lambda: stream.fold(ShardFold()))
    return {
        "items": items,
        "entries": len(stream.entries),
        "bytes_per_item": stream.size() / items,
        "build_seconds": build,
        "fold_seconds": fold,
    }


def measure_recovery(items: int, share_done: float = 0.5) -> dict[str, float]:
    """Measures taking a shard over, with and without a snapshot, half of its items done."""
    stream = _Stream()
    stream.append([EpochClaimed("a#1", -1)])
    done = int(items * share_done)
    stream.append(submission_records("job", make_items(items)))
    for records in _result_records("job", 0, done):
        stream.append(records)
    held = ShardFold()
    without = _timed(lambda: stream.fold(held))
    snapshot = encode_snapshot(held)
    with_snapshot = _timed(lambda: decode_snapshot(snapshot))
    return {
        "items": items,
        "entries": len(stream.entries),
        "log_bytes_per_item": stream.size() / items,
        "seconds_without_snapshot": without,
        "seconds_with_snapshot": with_snapshot,
        "snapshot_bytes": len(snapshot),
    }


def measure_finished(items: int) -> dict[str, float]:
    """Measures a whole job's life on the log: entries and bytes an item, and its closing."""
    stream = _Stream()
    stream.append([EpochClaimed("a#1", -1)])
    stream.append(submission_records("job", make_items(items)))
    submitted = stream.size()
    for records in _result_records("job", 0, items):
        stream.append(records)
    recorded = stream.size()
    offsets: array[int] = stream.fold(ShardFold()).jobs["job"].result_offsets
    stream.append([JobClosed(0, "job", pack_offsets(offsets))])
    return {
        "items": items,
        "entries_per_item": len(stream.entries) / items,
        "submit_bytes_per_item": submitted / items,
        "result_bytes_per_item": (recorded - submitted) / items,
        "close_bytes_per_item": (stream.size() - recorded) / items,
    }


def measure_memory(items: int) -> dict[str, float]:
    """Measures the fold's memory for one open job."""
    stream = _Stream()
    stream.append(submission_records("job", make_items(items)))
    tracemalloc.start()
    fold = stream.fold(ShardFold())
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert fold.jobs["job"].item_count == items
    return {"items": items, "bytes_per_open_item": held / items}


def run_batch_bench() -> dict[str, list[dict[str, float]]]:
    """Runs all measurements."""
    return {
        "submission": [measure_submission(count) for count in (10, 1000, 280_000)],
        "recovery": [measure_recovery(count) for count in (1000, 10_000, 100_000, 280_000)],
        "finished": [measure_finished(count) for count in (10, 1000, 100_000)],
        "memory": [measure_memory(count) for count in (1000, 280_000)],
        "settings": [{"chunk_items": CHUNK_ITEMS, "entry_weight": ENTRY_WEIGHT_MOST}],
    }
