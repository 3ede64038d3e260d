"""What the store did not state is no statement: refusals without their values, other answers."""

import dataclasses
import json
import struct
from collections.abc import Iterator
from typing import Any

import pytest

from tests.cut_server import CutServer, Ending
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    CallFailed,
    EndMoved,
    FencedOff,
    GroupJoined,
    GroupLeft,
    HistoryGone,
    JoinGroup,
    KeyedRecord,
    LeaveGroup,
    NewestPage,
    OutOfSequence,
    Partition,
    ReadNewest,
    ReadRecords,
    RecordsRead,
    StoreCall,
    StoreOutcome,
    WriterStamp,
)
from troutswitch.platform.store import StoreClient, encode_records, topic_name

PARTITION = Partition("items", 2)
RECORDS = (KeyedRecord("a", b"1", 5), KeyedRecord("b", b"2", 6))
READ = ReadRecords(1, PARTITION, 5, timeout=5.0)
PAGE = ReadNewest(1, PARTITION, "a", timeout=5.0)
APPEND_AT = AppendRecords(1, PARTITION, RECORDS, 5, timeout=5.0)
STAMPED = AppendRecords(1, PARTITION, RECORDS, stamp=WriterStamp("w", 1024, 3), timeout=5.0)
JOIN = JoinGroup(1, "g", "m", ("items",), 2.5, 1, timeout=5.0)
LEAVE = LeaveGroup(1, "g", "m", timeout=5.0)


def as_json(**fields: Any) -> bytes:
    return json.dumps(fields).encode()


def read_body(end: int, first: int, records: tuple[KeyedRecord, ...] = RECORDS) -> bytes:
    return struct.pack(">QQ", end, first) + encode_records(records)


def page_body(rows: list[Any], *, more: bool = False) -> bytes:
    return as_json(requests=rows, more=more, end=9)


JOINED = as_json(generation=4, parts=[[topic_name("items"), 2, 0]])
SOUND: dict[str, tuple[StoreCall, int, bytes, StoreOutcome]] = {
    "page": (
        PAGE,
        200,
        page_body([{"tlsKey": "b", "value": "Mg==", "offset": 6}]),
        NewestPage((RECORDS[1],), False, 9, "b"),
    ),
    "read": (READ, 200, read_body(8, 2), RecordsRead(RECORDS, 7, 8)),
    "gone": (READ, 410, as_json(first=7), HistoryGone(7)),
    "appended": (APPEND_AT, 200, as_json(offset=5, end=7), Appended(5, 7)),
    "moved": (APPEND_AT, 412, as_json(end=8), EndMoved(8)),
    "fenced": (STAMPED, 409, as_json(why="fenced", epoch=2048), FencedOff(2048)),
    "fenced without the epoch": (STAMPED, 409, as_json(why="fenced"), FencedOff(None)),
    "sequence": (STAMPED, 409, as_json(why="seq", sequence=4), OutOfSequence(4)),
    "sequence without the wanted one": (STAMPED, 409, as_json(why="seq"), OutOfSequence(None)),
    "joined": (JOIN, 200, JOINED, GroupJoined(4, (PARTITION,))),
    "left": (LEAVE, 200, b"{}", GroupLeft()),
}
"""Calls, the status and body of the answer, and the outcome."""


def answer_bytes(status: int, body: bytes) -> bytes:
    return b"HTTP/1.1 %d Some reason\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body


def outcome_of(call: StoreCall, status: int, body: bytes) -> StoreOutcome:
    return StoreClient(CutServer(answer_bytes(status, body)).address).call(call)


def is_unknown(outcome: StoreOutcome) -> bool:
    """Returns whether the call may have been done or not."""
    return isinstance(outcome, CallFailed) and outcome.may_have_acted


@pytest.mark.parametrize("name", SOUND)
def test_sound_answer_is_its_outcome(name: str) -> None:
    call, status, body, outcome = SOUND[name]
    assert outcome_of(call, status, body) == outcome


@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
@pytest.mark.parametrize("name", SOUND)
def test_answer_that_is_cut_at_any_byte_states_nothing(name: str, ending: Ending) -> None:
    call, status, body, _ = SOUND[name]
    server = CutServer(answer_bytes(status, body), ending)
    client = StoreClient(server.address)
    for length in range(len(server.answer)):
        server.length = length
        assert is_unknown(client.call(call)), f"cut after {length} bytes"
    server.length = None
    assert client.call(call) == SOUND[name][3]


@pytest.mark.parametrize("name", SOUND)
def test_answer_without_a_length_that_is_cut_states_nothing_else(name: str) -> None:
    """A shorter read is a true one; all other answers show where they end."""
    call, status, body, sound = SOUND[name]
    head = b"HTTP/1.1 %d Some reason\r\nConnection: close\r\n\r\n" % status
    server = CutServer(head + body)
    client = StoreClient(server.address)
    for length in range(len(server.answer) + 1):
        server.length = length
        outcome = client.call(call)
        if isinstance(outcome, RecordsRead):
            assert outcome == RecordsRead(RECORDS[: len(outcome.records)], outcome.next_offset, 8)
            assert outcome.next_offset == READ.offset + len(outcome.records)
        elif call is LEAVE and length >= len(head):
            assert outcome == GroupLeft()
        else:
            assert is_unknown(outcome) or (outcome == sound and length == len(server.answer))


@pytest.mark.parametrize("name", SOUND)
def test_answer_that_stops_ends_by_its_deadline(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    call, status, body, _ = SOUND[name]
    monkeypatch.setattr("troutswitch.platform.store.TRANSFER_SECONDS", 0.0)
    server = CutServer(answer_bytes(status, body), Ending.SILENCE)
    server.length = 30
    short = dataclasses.replace(call, timeout=0.2)
    assert is_unknown(StoreClient(server.address).call(short))


EMPTY_BODIES = [b"", b"{}", b"null", b"{", b'{"why": "other"}', b'{"why": 7, "end": "7"}']


@pytest.mark.parametrize("body", EMPTY_BODIES)
@pytest.mark.parametrize(
    ("call", "status"), [(READ, 410), (APPEND_AT, 412), (STAMPED, 409), (APPEND_AT, 409)]
)
def test_refusal_without_its_values_states_nothing(
    call: StoreCall, status: int, body: bytes
) -> None:
    """Guards against a sequence, an end or a first offset of 0 that the store never stated."""
    assert is_unknown(outcome_of(call, status, body))


def contradictions() -> Iterator[Any]:
    """Yields answers that are well formed, but can't be those to the call."""
    yield pytest.param(READ, 200, b"", id="empty read")
    yield pytest.param(READ, 200, read_body(8, 2)[:15], id="read shorter than its header")
    yield pytest.param(READ, 200, read_body(6, 2), id="end before the last record")
    yield pytest.param(READ, 200, read_body(4, 2, ()), id="end before the offset")
    yield pytest.param(READ, 200, read_body(8, 6), id="first offset behind that of the read")
    yield pytest.param(READ, 200, read_body(8, 2, ()), id="no records before the end")
    yield pytest.param(READ, 200, read_body(8, 2)[:20], id="a part of a record")
    yield pytest.param(READ, 200, read_body(2**64 - 1, 2), id="end out of range")
    yield pytest.param(READ, 410, as_json(first=5), id="kept from the offset on")
    yield pytest.param(APPEND_AT, 200, as_json(offset=4, end=7), id="appended elsewhere")
    yield pytest.param(APPEND_AT, 200, as_json(offset=5, end=6), id="end before the last record")
    yield pytest.param(APPEND_AT, 412, as_json(end=5), id="moved to the expected end")
    row = {"tlsKey": "a", "value": "Mg==", "offset": 6}
    yield pytest.param(PAGE, 200, page_body([row], more=True), id="page that leads to itself")
    yield pytest.param(PAGE, 200, page_body([], more=True), id="empty page before others")
    yield pytest.param(PAGE, 200, page_body([7, {}], more=True), id="no key to go on behind")


@pytest.mark.parametrize(("call", "status", "body"), list(contradictions()))
def test_answer_that_does_not_fit_the_call_states_nothing(
    call: StoreCall, status: int, body: bytes
) -> None:
    assert is_unknown(outcome_of(call, status, body))


@pytest.mark.parametrize(
    "row",
    [
        {"tlsKey": "x", "value": None, "offset": 5},
        {"tlsKey": "x", "value": "*", "offset": 5},
        {"tlsKey": "x", "offset": "five"},
    ],
)
def test_page_of_unreadable_rows_names_the_key_to_go_on_behind(row: Any) -> None:
    """Guards against a reading that ends at such a page as if it were the last."""
    page = outcome_of(PAGE, 200, page_body([row], more=True))
    assert isinstance(page, NewestPage) and page.has_more and page.next_key == "x"


def test_page_is_continued_behind_its_last_readable_key() -> None:
    rows = [{"tlsKey": "x", "value": None}, {"tlsKey": "y", "value": 1}, {"tlsKey": 7}, "row"]
    page = outcome_of(PAGE, 200, page_body(rows, more=True))
    assert isinstance(page, NewestPage) and page.records == () and page.next_key == "y"
