import pytest

from troutswitch.decisions.invariants import InvariantViolated
from troutswitch.decisions.jobs.index import JobIndex
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.messages import OutputEvent
from troutswitch.decisions.jobs.records import (
    JobItem,
    Manifest,
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


def progress() -> ItemProgress:
    return ItemProgress(0, "job", ITEM, 0)


def events(*numbers: int) -> tuple[OutputEvent, ...]:
    return tuple(OutputEvent(str(number), f"t{number}") for number in numbers)


# Items.


def test_a_successor_goes_on_after_what_was_saved() -> None:
    first = progress()
    fold = ShardFold()
    for made in (events(1, 2), events(3)):
        first.add_events(made)
        part = first.next_part(RECORD_BYTES)
        fold.apply(checkpoint_record("job", 0, first.parts, part))
        first.on_saved(part)
    successor = progress()
    successor.restore(fold.content("job").saved_output(0))
    assert successor.position == "3"
    successor.add_events(events(4))
    assert successor.output == "t1\nt2\nt3\nt4"
    assert successor.next_part(RECORD_BYTES) == OutputPart("3", "4", "t4")


def test_a_gap_in_the_saved_output_ends_it() -> None:
    fold = ShardFold()
    fold.apply(checkpoint_record("job", 0, 0, OutputPart("", "2", "x")))
    fold.apply(checkpoint_record("job", 0, 1, OutputPart("5", "6", "y")))
    assert [part.position for part in fold.content("job").saved_output(0)] == ["2"]


def test_a_write_whose_fate_was_unknown_may_have_been_taken() -> None:
    held = progress()
    held.add_events(events(1, 2))
    part = held.next_part(RECORD_BYTES)
    held.add_events(events(3))
    assert held.reconcile([part])
    assert (held.parts, held.saved_position) == (1, "2")
    assert held.next_part(RECORD_BYTES) == OutputPart("2", "3", "t3")


def test_another_s_output_is_not_joined_to_ours() -> None:
    held = progress()
    held.add_events(events(1, 2))
    assert not held.reconcile([OutputPart("", "7", "other")])
    with pytest.raises(InvariantViolated):
        held.restore([OutputPart("", "7", "other")])


def test_another_s_output_up_to_a_known_position_is_not_taken_for_ours() -> None:
    """Two owners in turn run an item: positions are alike, but the runs are not."""
    held = progress()
    held.add_events(events(1, 2, 3))
    assert not held.reconcile([OutputPart("", "2", "of another run")])


# Index and records.


@pytest.mark.parametrize("order", [(0, 1, 2), (1, 2, 0), (2, 1, 0)])
def test_the_index_is_the_same_in_any_order_of_keys(order: tuple[int, ...]) -> None:
    """A whole read comes by key, not in the order of the log."""
    records = [manifest_record(MANIFEST), end_record("job"), progress_record("job", 50)]
    index = JobIndex()
    for number in order:
        index.apply(0.0, records[number])
    assert index.jobs["job"].is_ended
    assert index.jobs["job"].remaining_tokens == 50
    assert index.queued_tokens("route", "") == 0


def test_tokens_that_are_left_never_rise() -> None:
    index = JobIndex()
    index.apply(0.0, manifest_record(MANIFEST))
    index.apply(0.0, progress_record("job", 50))
    index.apply(0.0, progress_record("job", 150))  # late, of a former owner
    assert index.queued_tokens("route", "") == 50


def test_a_record_of_another_version_is_counted_and_left_out() -> None:
    index = JobIndex()
    index.apply(0.0, KeyedRecord("j:job", b"\x81\x18\x63"))
    assert (index.jobs, index.malformed) == ({}, 1)


def test_items_are_cut_into_records_that_fit() -> None:
    items = tuple(JobItem(str(n), "/p", (), b"x" * 900, 1) for n in range(10))
    records = chunk_records("job", items, 4000)
    assert len(records) > 1
    assert all(len(record.value) + len(record.key) < 4000 for record in records)
    assert tuple(item for record in records for item in read_chunk(record.value)) == items
    with pytest.raises(RecordError):
        chunk_records("job", (JobItem("i", "/p", (), b"x" * 4000, 1),), 4000)
