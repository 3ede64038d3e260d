"""A job is accepted only if each of its items can be stored and sent to an engine."""

import json
from base64 import b64encode
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.decisions.jobs.messages import JobSubmitted, ResultsRequested, RunItem
from troutswitch.decisions.jobs.records import (
    DONE,
    ItemResult,
    OutputId,
    OutputPart,
    RecordError,
    checkpoint_record,
    chunk_records,
    result_records,
)
from troutswitch.decisions.storage.messages import KeyedRecord
from troutswitch.gateway.engines.connection import EngineConnection
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.exchange import Exchange
from troutswitch.gateway.engines.item_runs import outgoing_request
from troutswitch.platform.jobs import (
    JobCallTarget,
    JobFormatError,
    decode_call,
    decode_submission,
)
from troutswitch.platform.requests import IncomingRequest

RECORD_BYTES = 262_144
MAX_KEY_BYTES = 255
SETTINGS = settings(derandomize=True, deadline=None, max_examples=300)
ITEM = {"id": "item", "path": "/lot/1", "headers": {}, "body": "", "tokens": 1}
TEXTS = st.text(max_size=20) | st.sampled_from(["/lot/1", "x", "X-Y", "a b", "\r\nx: y"])


def call(request_id: str = "job", query: str = "") -> IncomingRequest:
    return IncomingRequest(
        request_id, "POST", "/lot/job", "h", "/lot/job", query, [], 1.0, "", PromptShape()
    )


def submission(*items: dict[str, Any], job_id: str = "job") -> JobSubmitted:
    body = json.dumps({"requests": items}).encode()
    return decode_submission(1, call(job_id), body)


class SentBytes:
    """A socket that keeps what is sent."""

    def __init__(self) -> None:
        self.data = b""

    def sendall(self, data: bytes) -> None:
        self.data += data

    def settimeout(self, seconds: float) -> None:
        """Does nothing."""


def sent(event: JobSubmitted) -> list[bytes]:
    """Returns the bytes of the requests by which a job's items are sent to an engine."""
    address = Address("127.0.0.1", 1)
    requests: list[bytes] = []
    for item in event.items:
        run = RunItem(1, "engine", address, event.host, item, "", 1.0, 1.0)
        request = outgoing_request(run)
        exchange = Exchange(EngineConnections(), "engine", address, request)
        connection, sink = EngineConnection(address), SentBytes()
        connection.sock = sink
        exchange._send(connection)
        requests.append(sink.data)
    return requests


def check_record(record: KeyedRecord) -> None:
    key_bytes = len(record.key.encode())
    assert key_bytes <= MAX_KEY_BYTES
    assert 1 + key_bytes + len(record.value) <= RECORD_BYTES


UNSENDABLE = {
    "header with a line break": ITEM | {"headers": {"X-Y": "a\r\nb: c"}},
    "header beyond Latin-1": ITEM | {"headers": {"X-Y": "\u20ac"}},
    "header with a control character": ITEM | {"headers": {"X-Y": "\x00"}},
    "name of a header with a space": ITEM | {"headers": {"X Y": "a"}},
    "name of a header beyond ASCII": ITEM | {"headers": {"\xe9": "a"}},
    "empty name of a header": ITEM | {"headers": {"": "a"}},
    "path with a space": ITEM | {"path": "/lot/a b"},
    "path with a line break": ITEM | {"path": "/lot/a\nb"},
    "path beyond ASCII": ITEM | {"path": "/lot/\xe9"},
    "path without a slash": ITEM | {"path": "lot"},
    "empty path": ITEM | {"path": ""},
    "empty id": ITEM | {"id": ""},
    "id with a line break": ITEM | {"id": "a\nb"},
    "id beyond Latin-1": ITEM | {"id": "\u20ac"},
    "id with outer spaces": ITEM | {"id": " a"},
    "long id": ITEM | {"id": "a" * 201},
    "negative tokens": ITEM | {"tokens": -5},
    "too many tokens": ITEM | {"tokens": 10**30},
    "body that is no base64": ITEM | {"body": "a b!"},
}


@pytest.mark.parametrize("name", UNSENDABLE)
def test_job_with_an_item_that_can_never_be_sent_is_malformed(name: str) -> None:
    """Guards against an item that is accepted and then cut in every run."""
    with pytest.raises(JobFormatError):
        submission(ITEM | {"id": "sound"}, UNSENDABLE[name])


@pytest.mark.parametrize("job_id", ["a" * 201, "\xe9" * 101, "a\tb\r", " a", "a\x00"])
def test_job_whose_id_no_record_or_header_can_hold_is_malformed(job_id: str) -> None:
    """Guards against a job that is tried at the store again and again and never stored."""
    with pytest.raises(JobFormatError):
        submission(ITEM, job_id=job_id)


@pytest.mark.parametrize("position", ["9" * 5000, "\N{SUPERSCRIPT TWO}", "-1", "1_0", "", "x"])
def test_call_with_a_position_that_is_no_number_is_malformed(position: str) -> None:
    request = IncomingRequest(
        "", "GET", "/", "h", "/", f"afterRevision={position}", [], 1.0, "", PromptShape()
    )
    target = JobCallTarget("job", False)
    if not position:  # a parameter without a value counts as missing
        assert isinstance(decode_call(1, request, target), ResultsRequested)
        return
    with pytest.raises(JobFormatError):
        decode_call(1, request, target)


@SETTINGS
@given(
    st.builds(
        lambda *values: dict(zip(ITEM, values, strict=True)),
        TEXTS,
        TEXTS,
        st.dictionaries(TEXTS, TEXTS, max_size=3),
        st.binary(max_size=30).map(lambda data: b64encode(data).decode()) | TEXTS,
        st.integers() | st.floats(allow_nan=False),
    ),
    TEXTS,
)
def test_any_job_is_malformed_or_can_be_stored_and_sent(item: dict[str, Any], job_id: str) -> None:
    try:
        event = submission(item, job_id=job_id)
    except JobFormatError:
        return
    (request,) = sent(event)
    head, _, body = request.partition(b"\r\n\r\n")
    assert len(head.split(b"\r\n")) >= 3 + len(event.items[0].headers)
    assert body == event.items[0].body
    for record in chunk_records(event.job_id, event.items, RECORD_BYTES):
        check_record(record)


@SETTINGS
@given(st.binary(max_size=200) | st.text(max_size=100).map(str.encode))
def test_any_body_is_malformed_or_a_job(body: bytes) -> None:
    try:
        decode_submission(1, call(), body)
    except JobFormatError:
        return


def test_longest_ids_fit_all_records_of_a_job() -> None:
    job_id, item_id, position = "a" * 200, "\xe9" * 100, "9" * 18
    result = ItemResult(item_id, DONE, "x" * RECORD_BYTES * 3)
    part = OutputPart(
        "b" * 128, position, "y" * (RECORD_BYTES - 2048), OutputId("\u20ac" * 128, "0" * 16)
    )
    records = [
        *result_records(job_id, 99_999, result, RECORD_BYTES),
        checkpoint_record(job_id, 99_999, 99_999, part),
    ]
    for record in records:
        check_record(record)


def test_item_of_a_whole_record_is_too_large() -> None:
    event = submission(ITEM | {"body": b64encode(bytes(RECORD_BYTES)).decode()})
    with pytest.raises(RecordError):
        chunk_records(event.job_id, event.items, RECORD_BYTES)
