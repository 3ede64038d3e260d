"""Saved output of items, the fold of the index, and the encoding of items."""

import pytest

from troutswitch.decisions.invariants import InvariantViolated
from troutswitch.decisions.jobs.index import JobIndex
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.messages import OutputEvent
from troutswitch.decisions.jobs.records import (
    JobItem,
    Manifest,
    OutputId,
    OutputPart,
    RecordError,
    checkpoint_record,
    chunk_records,
    end_record,
    manifest_record,
    progress_record,
    read_chunk,
)
from troutswitch.decisions.jobs.shard import ShardFold
from troutswitch.decisions.storage.messages import KeyedRecord

RECORD_BYTES = 100_000
ITEM = JobItem("i", "/p", (("a", "b"),), b"body", 100)
MANIFEST = Manifest("job", "route", "host", 2, 200, "digest", 3)


OUTPUT = OutputId("v1", "000000010000000a")
OTHER_OUTPUT = OutputId("v1", "000000010000000b")


def new_progress() -> ItemProgress:
    return ItemProgress(0, "job", ITEM, 0)


def begun_progress() -> ItemProgress:
    progress = new_progress()
    progress.begin_output(OUTPUT)
    return progress


def events(*numbers: int) -> tuple[OutputEvent, ...]:
    return tuple(OutputEvent(str(number), f"t{number}") for number in numbers)


# Items.


def test_a_successor_resumes_after_the_saved_output() -> None:
    owner_progress = begun_progress()
    fold = ShardFold()
    for new_events in (events(1, 2), events(3)):
        owner_progress.add_events(new_events)
        part = owner_progress.next_part(RECORD_BYTES)
        fold.apply(checkpoint_record("job", 0, owner_progress.saved_parts, part))
        owner_progress.on_saved(part)
    successor_progress = new_progress()
    successor_progress.restore(fold.content("job").saved_output(0))
    assert successor_progress.position == "3"
    successor_progress.add_events(events(4))
    assert successor_progress.output == "t1\nt2\nt3\nt4"
    assert successor_progress.next_part(RECORD_BYTES) == OutputPart("3", "4", "t4", OUTPUT)


def test_saved_output_ends_at_the_first_gap() -> None:
    fold = ShardFold()
    fold.apply(checkpoint_record("job", 0, 0, OutputPart("", "2", "x", OUTPUT)))
    fold.apply(checkpoint_record("job", 0, 1, OutputPart("5", "6", "y", OUTPUT)))
    assert [part.position for part in fold.content("job").saved_output(0)] == ["2"]


@pytest.mark.parametrize("other", [OTHER_OUTPUT, OutputId("v2", OUTPUT.start), OutputId()])
def test_parts_of_two_outputs_are_not_chained(other: OutputId) -> None:
    """Guards against text that joins two runs, whatever an owner has read of its shard."""
    fold = ShardFold()
    fold.apply(checkpoint_record("job", 0, 0, OutputPart("", "2", "new", OUTPUT)))
    fold.apply(checkpoint_record("job", 0, 1, OutputPart("2", "4", "old", other)))
    content = fold.content("job")
    assert [part.text for part in content.saved_output(0)] == ["new"]
    progress = new_progress()
    progress.restore(content.saved_output(0), content.stored_parts(0))
    assert (progress.position, progress.obsolete_parts) == ("2", 2)


def test_part_that_cannot_be_decoded_replaces_the_older_one() -> None:
    fold = ShardFold()
    stored = checkpoint_record("job", 0, 0, OutputPart("", "2", "old", OUTPUT))
    fold.apply(stored)
    fold.apply(KeyedRecord(stored.key, b"\x81\x18\x63"))
    assert fold.content("job").saved_output(0) == []


def test_output_does_not_match_another_owners_output_of_as_many_parts() -> None:
    """Guards against a part that is saved after the parts of another owner's run."""
    item_progress = begun_progress()
    item_progress.add_events(events(1, 2))
    item_progress.on_saved(item_progress.next_part(RECORD_BYTES))
    assert item_progress.reconcile([OutputPart("", "2", "t1\nt2", OUTPUT)], 1)
    assert not item_progress.reconcile([OutputPart("", "2", "t1\nt2", OTHER_OUTPUT)], 1)


def test_a_part_from_a_write_with_unknown_outcome_counts_as_saved() -> None:
    item_progress = begun_progress()
    item_progress.add_events(events(1, 2))
    part = item_progress.next_part(RECORD_BYTES)
    item_progress.add_events(events(3))
    assert item_progress.reconcile([part])
    assert (item_progress.saved_parts, item_progress.saved_position) == (1, "2")
    assert item_progress.next_part(RECORD_BYTES) == OutputPart("2", "3", "t3", OUTPUT)


def test_output_of_another_run_is_not_joined_to_existing_output() -> None:
    item_progress = begun_progress()
    item_progress.add_events(events(1, 2))
    assert not item_progress.reconcile([OutputPart("", "7", "other", OUTPUT)])
    with pytest.raises(InvariantViolated):
        item_progress.restore([OutputPart("", "7", "other", OUTPUT)])


def test_output_of_another_run_up_to_the_same_position_does_not_match() -> None:
    """Two owners run an item in turn: the positions are equal, but the texts differ."""
    item_progress = begun_progress()
    item_progress.add_events(events(1, 2, 3))
    assert not item_progress.reconcile([OutputPart("", "2", "of another run", OUTPUT)])


# Index and records.


@pytest.mark.parametrize("order", [(0, 1, 2), (1, 2, 0), (2, 1, 0)])
def test_the_index_does_not_depend_on_the_order_of_records(order: tuple[int, ...]) -> None:
    """Newest records are read in the order of keys, not of the log."""
    records = [manifest_record(MANIFEST), end_record("job"), progress_record("job", 50)]
    index = JobIndex()
    for number in order:
        index.apply(0.0, records[number])
    assert index.jobs["job"].is_ended
    assert index.jobs["job"].remaining_tokens == 50
    assert index.queued_tokens("route", "") == 0


def test_remaining_tokens_never_increase() -> None:
    index = JobIndex()
    index.apply(0.0, manifest_record(MANIFEST))
    index.apply(0.0, progress_record("job", 50))
    index.apply(0.0, progress_record("job", 150))  # a late report of a former owner
    assert index.queued_tokens("route", "") == 50


def test_a_record_of_another_version_is_ignored_and_counted() -> None:
    index = JobIndex()
    index.apply(0.0, KeyedRecord("j:job", b"\x81\x18\x63"))
    assert (index.jobs, index.malformed) == ({}, 1)


def test_items_are_split_into_records_within_the_limit() -> None:
    items = tuple(JobItem(str(n), "/p", (), b"x" * 900, 1) for n in range(10))
    records = chunk_records("job", items, 4000)
    assert len(records) > 1
    assert all(len(record.value) + len(record.key) < 4000 for record in records)
    assert tuple(item for record in records for item in read_chunk(record.value)) == items
    with pytest.raises(RecordError):
        chunk_records("job", (JobItem("i", "/p", (), b"x" * 4000, 1),), 4000)
