"""Results and parts of outputs that are larger than a record."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.messages import JobResults, OutputEvent
from troutswitch.decisions.jobs.records import (
    DONE,
    RECORD_OVERHEAD_BYTES,
    ItemResult,
    JobItem,
    OutputId,
    result_records,
)
from troutswitch.decisions.jobs.retention import content_keys
from troutswitch.decisions.jobs.shard import ShardFold
from troutswitch.decisions.storage.messages import KeyedRecord
from troutswitch.platform.jobs import encode_answer

RECORD_BYTES = RECORD_OVERHEAD_BYTES + 40
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=80)


@DETERMINISTIC
@given(st.text(max_size=300), st.randoms(use_true_random=False))
def test_a_result_of_any_size_is_assembled_from_records_in_any_order(
    text: str, rng: object
) -> None:
    result = ItemResult("item", DONE, text)
    records = list(result_records("job", 3, result, RECORD_BYTES))
    assert all(len(r.key) + len(r.value) + 1 <= RECORD_BYTES for r in records)
    rng.shuffle(records)  # type: ignore[attr-defined]
    fold = ShardFold()
    for record in records:
        assert fold.content("job").results.get(3) is None
        fold.apply(record)
    assert fold.content("job").results[3] == result
    assert fold.malformed == 0


def test_an_incompletely_read_result_is_listed_but_not_returned() -> None:
    records = result_records("job", 0, ItemResult("item", DONE, "x" * 200), RECORD_BYTES)
    fold = ShardFold()
    for record in records[1:]:
        fold.apply(record)
    content = fold.content("job")
    assert content.results_from(0, 1000) == []
    assert content.listed == {"item"}
    assert content.next_position == 1


def test_content_keys_remove_all_records_of_a_result() -> None:
    fold = ShardFold()
    for record in result_records("job", 0, ItemResult("item", DONE, "x" * 200), RECORD_BYTES):
        fold.apply(record)
    for key in content_keys("job", fold.content("job")):
        fold.apply(KeyedRecord(key, b""))
    assert fold.jobs == {}


@pytest.mark.parametrize("max_bytes", [1, 10, 1000])
def test_unsaved_output_is_saved_in_parts_within_the_limit(max_bytes: int) -> None:
    progress = ItemProgress(0, "job", JobItem("i", "/p", (), b"", 1), 0)
    progress.begin_output(OutputId("v1", "0" * 16))
    progress.add_events(tuple(OutputEvent(str(number), "data") for number in range(1, 8)))
    texts: list[str] = []
    while progress.unsaved:
        part = progress.next_part(max_bytes)
        assert len(part.text) <= max(max_bytes, 4)
        texts.append(part.text)
        progress.on_saved(part)
    assert "\n".join(texts) == progress.output


EARLIER_RECORD = bytes.fromhex("8504666974656d2d3464646f6e6543ff807800")
"""A result that an earlier version stored, with a text of the bytes 0xff, 0x80 and an x."""


def test_result_of_bytes_that_are_not_text_is_read_as_one_that_pages_can_hold() -> None:
    """Guards against a page of results that can't be encoded as JSON."""
    fold = ShardFold()
    fold.apply(KeyedRecord("r:job:1:00002", EARLIER_RECORD))
    result = fold.content("job:1").results[2]
    assert result == ItemResult("item-4", DONE, "\ufffd\ufffdx")
    assert fold.malformed == 0
    (row,) = msgspec.json.decode(encode_answer(JobResults(3, 2, (result,))).body)["results"]
    assert row["message"] == result.text
