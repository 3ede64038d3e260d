import itertools
import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from troutswitch.gateway.engines.event_stream import (
    MAX_BLANK_BYTES,
    MAX_EVENT_BYTES,
    EventSplitter,
    EventStreamError,
    StreamEvent,
)

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
    assert [event.text() for event in events] == [f"a{n}\nb" for n in range(1, 6)]
    assert splitter.is_between_events


def test_partial_event_is_buffered() -> None:
    splitter = EventSplitter()
    assert len(splitter.feed(b"id: 1\ndata: x\n\nid: 2\nda")) == 1
    assert not splitter.is_between_events


@pytest.mark.parametrize("data", [b"id: 3\ndata: x\n\n", b"id: 1\ndata: x\n\n", b"data: x\n\n"])
def test_event_without_id_or_out_of_sequence_raises_an_error(data: bytes) -> None:
    with pytest.raises(EventStreamError):
        EventSplitter("1").feed(data)


def test_id_that_is_no_number_does_not_end_the_sequence() -> None:
    """Guards against events that are missing after an event whose id was garbled."""
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\n")
    with pytest.raises(EventStreamError):
        splitter.feed(b"id: x\ndata: b\n\nid: 9\ndata: c\n\n")


def test_ids_that_are_no_numbers_are_in_no_sequence() -> None:
    events = EventSplitter().feed(b"id: a\ndata: x\n\nid: b\ndata: y\n\n")
    assert [event.event_id for event in events] == ["a", "b"]


@pytest.mark.parametrize("malformed", [b"id: 5\n\n", b"data: x\n\n", b"id: 3\ndata: " + b"x" * 99])
def test_position_is_that_of_the_last_event_that_was_returned(malformed: bytes) -> None:
    """Guards against a stream that resumes after events which its caller never got."""
    splitter = EventSplitter(max_event_bytes=50)
    splitter.feed(b"id: 1\ndata: a\n\n")
    with pytest.raises(EventStreamError):
        splitter.feed(b"id: 2\ndata: b\n\n" + malformed)
    assert splitter.last_id == "1"


def test_resumed_stream_continues_after_its_last_id() -> None:
    assert EventSplitter("7").feed(b"id: 8\ndata: x\n\n")[0].event_id == "8"


def split(stream: bytes, *positions: int) -> tuple[list[StreamEvent], bytes]:
    """Returns the events of a stream that arrives in parts, and all bytes that are forwarded."""
    splitter = EventSplitter()
    events: list[StreamEvent] = []
    for start, end in itertools.pairwise([0, *sorted(positions), len(stream)]):
        events += splitter.feed(stream[start:end])
    last_events, blank_lines = splitter.finish()
    events += last_events
    return events, b"".join(event.raw for event in events) + blank_lines


OTHER_SEPARATORS = ["\u2028", "\u2029", "\x85", "\x0b", "\x0c", "\x1c", "\x1d", "\x1e", "\t"]


@pytest.mark.parametrize("separator", OTHER_SEPARATORS, ids=ascii)
def test_data_of_an_event_is_whole_with_a_character_that_ends_lines_elsewhere(
    separator: str,
) -> None:
    """Guards against an output that is listed as complete without what follows the character."""
    text = f"before{separator}after"
    events, _ = split(f"id: 1\ndata: {text}\n\n".encode())
    assert [event.text() for event in events] == [text]


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(st.sampled_from([b"\n", b"\r\n", b"\r"]), min_size=3, max_size=3),
    st.lists(st.integers(0, 120), max_size=6),
    st.sampled_from([b"", b"\n", b"\r\n", b"\r\r"]),
)
def test_lines_end_at_any_of_the_three_marks_and_all_bytes_are_forwarded(
    ends: list[bytes], positions: list[int], after: bytes
) -> None:
    """Guards against a body that lacks the bytes after its last event."""
    stream = b"".join(
        end.join((b"id: %d" % n, b"data: x%d" % n, b"data: y", b"", b""))
        for n, end in enumerate(ends, 1)
    )
    stream += after
    events, forwarded = split(stream, *(p for p in positions if p <= len(stream)))
    assert [event.text() for event in events] == [f"x{n}\ny" for n in range(1, 4)]
    assert forwarded == stream


@settings(derandomize=True, deadline=None, max_examples=500)
@given(st.binary(max_size=60), st.lists(st.integers(0, 60), max_size=4))
def test_arbitrary_bytes_are_events_or_an_error(data: bytes, positions: list[int]) -> None:
    stream = b"id: 1\ndata: x\n\nid: 2\n" + data
    try:
        events, forwarded = split(stream, *positions)
    except EventStreamError:
        return
    assert forwarded == stream
    assert all(event.event_id for event in events)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("begin", [b"", b"id: 1\ndata: x\n\n"])
def test_endless_blank_lines_are_no_stream(begin: bytes, line_end: bytes) -> None:
    """Guards against work that grows with the square of the blank lines before an event."""
    splitter = EventSplitter()
    splitter.feed(begin)
    with pytest.raises(EventStreamError, match="blank"):
        for _ in range(2 * MAX_BLANK_BYTES):
            splitter.feed(line_end)


def test_blank_lines_before_an_event_are_forwarded_with_it() -> None:
    blank = b"\n" * (MAX_BLANK_BYTES - 2)
    event = b"id: 1\ndata: x\n\n"
    assert [found.raw for found in EventSplitter().feed(blank + event)] == [blank + event]


def test_event_of_many_short_lines_takes_little_more_memory_than_its_bytes() -> None:
    """Guards against a list of all lines, which took a multiple of the event."""
    event = b"id: 1\n" + b"::\n" * (MAX_EVENT_BYTES // 3 - 10) + b"data: x\n\n"
    splitter = EventSplitter()
    tracemalloc.start()
    found = splitter.feed(event)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert [(each.event_id, each.data) for each in found] == [("1", b"x")]
    assert peak < 4 * len(event)


LINES = [b"id: 1", b"id:1", b"id", b"id:", b"id:  1", b"idx: 9", b" id: 9", b"data", b"data:"]
LINES += [b"data: a", b"data:a", b"data:  a", b"data: a:b", b"datum: c", b": data: c", b"x", b":"]


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(st.tuples(st.sampled_from(LINES), st.sampled_from([b"\n", b"\r\n", b"\r"]))))
def test_fields_of_an_event_are_those_of_its_lines(lines: list[tuple[bytes, bytes]]) -> None:
    raw = b"id: 1\n" + b"".join(line + end for line, end in lines) + b"\n"
    fields = [line.partition(b":") for line, _ in lines]
    values = [(name, value.removeprefix(b" ")) for name, _, value in fields]
    ids = [b"1", *(value for name, value in values if name == b"id")]
    splitter = EventSplitter()
    try:
        found = splitter.feed(raw + b"id: 2\n\n")[0]
    except EventStreamError:
        assert ids[-1] != b"1"
        return
    assert found.data == b"\n".join(value for name, value in values if name == b"data")
