"""Answers that come before the upload was read, and are cut by a reset, at every client but the
gateway's of engines; and statuses that are none."""

import http.client
import json
from collections.abc import Callable
from contextlib import closing

import pytest

from tests.runtime.early_server import EarlyAnswer, EarlyServer
from troutswitch.common import Address
from troutswitch.decisions.storage.messages import (
    AppendRecords,
    CallFailed,
    KeyedRecord,
    Partition,
)
from troutswitch.platform.store import StoreClient
from troutswitch.runtime.bounded_connection import BoundedConnection
from troutswitch.standalone.engines.client import EngineStream, StreamFailed
from troutswitch.standalone.engines.protocol import CompletionRequest
from troutswitch.standalone.runtime.http_client import HttpError, ThreadLocalConnections

UPLOAD = b"x" * 3_000_000
APPENDED = json.dumps({"offset": 0, "end": 8}).encode()
PIECES = b"".join(
    b"data: %s\n\n" % json.dumps(piece).encode()
    for piece in ({"stream_id": "s", "position": 0, "text": "one"},)
)
TIMEOUT_SECONDS = 5.0


def store_takes(address: Address) -> bool:
    records = tuple(KeyedRecord(f"key-{n}", b"x" * 250_000) for n in range(8))
    outcome = StoreClient(address).call(AppendRecords(0, Partition("records"), records))
    if isinstance(outcome, CallFailed):
        assert outcome.may_have_acted
        return False
    return True


def calls_take(address: Address) -> bool:
    try:
        ThreadLocalConnections(TIMEOUT_SECONDS).call(address, "POST", "/", UPLOAD)
    except HttpError as error:
        assert error.was_sent
        return False
    return True


def connection_takes(address: Address) -> bool:
    with closing(BoundedConnection(address, TIMEOUT_SECONDS, 1 << 20)) as connection:
        connection.connect()
        connection.limit_call(TIMEOUT_SECONDS, TIMEOUT_SECONDS)
        try:
            connection.request("POST", "/", UPLOAD)
            connection.read_body(connection.getresponse())
        except (OSError, http.client.HTTPException):
            return False
    return True


def stream_takes(address: Address) -> bool:
    stream = EngineStream(address, TIMEOUT_SECONDS)
    try:
        stream.open(CompletionRequest("s", "x" * 3_000_000, 2, 0))
        for _ in stream.pieces():
            pass
    except StreamFailed:
        return False
    return True


CLIENTS: dict[str, Callable[[Address], bool]] = {
    "store": store_takes,
    "calls": calls_take,
    "connection": connection_takes,
    "stream": stream_takes,
}
BODIES = {"store": APPENDED, "stream": PIECES}
FRAMINGS = {
    "no length": b"\r\n%b",
    "length": b"Content-Length: 1000\r\n\r\n%b",
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n10\r\n%b",
}


@pytest.mark.parametrize("client", CLIENTS)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("pause", [0.0, 0.02, 0.2])
@pytest.mark.parametrize("upload_bytes", [0, 100_000, 1_500_000])
def test_part_of_an_answer_that_a_reset_cuts_is_no_answer(
    client: str, framing: str, pause: float, upload_bytes: int
) -> None:
    """Guards against a part that passes for the whole, as a body without length ends anywhere."""
    body = FRAMINGS[framing] % BODIES.get(client, b'{"part": 1}')
    data = b"HTTP/1.1 200 OK\r\n" + body
    server = EarlyServer(EarlyAnswer(data, upload_bytes, pause))
    assert not CLIENTS[client](server.address)


@pytest.mark.parametrize("client", BODIES)
@pytest.mark.parametrize("upload_bytes", [0, 1_500_000, None])
def test_part_before_an_orderly_end_is_no_answer(client: str, upload_bytes: int | None) -> None:
    """Without a length only the content shows that an answer was cut."""
    data = b"HTTP/1.1 200 OK\r\n\r\n" + BODIES[client][:-3]
    server = EarlyServer(EarlyAnswer(data, upload_bytes, 0.05, closes_first=True))
    assert not CLIENTS[client](server.address)


@pytest.mark.parametrize("client", CLIENTS)
@pytest.mark.parametrize(
    "status",
    ["000", "0", "00", "20", "099", "0200", "2000", "+200", "2_00", "200.0", "-200", "999", "600"],
)
def test_status_that_is_none_is_no_answer(client: str, status: str) -> None:
    body = BODIES.get(client, b"{}")
    data = b"HTTP/1.1 %s OK\r\nContent-Length: %d\r\n\r\n" % (status.encode(), len(body))
    server = EarlyServer(EarlyAnswer(data + body, pause=0.1, closes_first=True))
    assert not CLIENTS[client](server.address)


@pytest.mark.parametrize("client", sorted(CLIENTS.keys() - {"stream"}))
def test_whole_answer_after_a_whole_upload_is_taken(client: str) -> None:
    body = BODIES.get(client, b"{}")
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    server = EarlyServer(EarlyAnswer(data + body, pause=0.1, closes_first=True))
    assert CLIENTS[client](server.address)
