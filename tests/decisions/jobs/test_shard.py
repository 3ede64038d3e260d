"""The fold of a shard counts the bytes of its records."""

from troutswitch.decisions.jobs.records import (
    DONE,
    ItemResult,
    JobItem,
    OutputPart,
    checkpoint_record,
    chunk_records,
    failures_record,
    result_records,
)
from troutswitch.decisions.jobs.shard import ShardFold
from troutswitch.decisions.storage.messages import KeyedRecord

RECORD_BYTES = 4096


def records() -> list[KeyedRecord]:
    items = tuple(JobItem(f"i-{number}", "/p", (), b"x" * 1500, 10) for number in range(5))
    return [
        *chunk_records("job", items, RECORD_BYTES),
        checkpoint_record("job", 0, 0, OutputPart("", "1", "text")),
        failures_record("job", 1, 2),
        *result_records("job", 0, ItemResult("i-0", DONE, "y" * 9000), RECORD_BYTES),
    ]


def test_records_count_once_until_they_are_removed() -> None:
    """Guards against a count that drifts: a fold may apply a record repeatedly."""
    fold = ShardFold()
    for record in records() + records():
        fold.apply(record)
    assert fold.held_bytes == sum(len(record.value) for record in records())
    for record in records():
        fold.apply(KeyedRecord(record.key, b""))
        fold.apply(KeyedRecord(record.key, b""))
    assert (fold.held_bytes, fold.jobs) == (0, {})
