import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from troutswitch.gateway.engines.event_stream import EventSplitter, EventStreamError

STREAM = b"".join(f"id: {n}\ndata: a{n}\ndata: b\n\n".encode() for n in range(1, 6))


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_are_complete_however_the_bytes_are_split(split_positions: list[int]) -> None:
    splitter = EventSplitter()
    edges = [0, *sorted(split_positions), len(STREAM)]
    events = []
    for start, end in itertools.pairwise(edges):
        events += splitter.feed(STREAM[start:end])
    assert b"".join(event.raw for event in events) == STREAM
    assert [event.data for event in events] == [f"a{n}\nb" for n in range(1, 6)]
    assert splitter.is_between_events


def test_partial_event_is_buffered() -> None:
    splitter = EventSplitter()
    assert len(splitter.feed(b"id: 1\ndata: x\n\nid: 2\nda")) == 1
    assert not splitter.is_between_events


@pytest.mark.parametrize("data", [b"id: 3\ndata: x\n\n", b"id: 1\ndata: x\n\n", b"data: x\n\n"])
def test_event_without_id_or_out_of_sequence_raises_an_error(data: bytes) -> None:
    with pytest.raises(EventStreamError):
        EventSplitter("1").feed(data)


def test_resumed_stream_continues_after_its_last_id() -> None:
    assert EventSplitter("7").feed(b"id: 8\ndata: x\n\n")[0].event_id == "8"
