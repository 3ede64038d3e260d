"""Answers without end on a bounded connection, with real sockets."""

import http.client
import socket
from collections.abc import Callable

import pytest

from tests.endless_bytes import (
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    HEAD,
    count_received_bytes,
    endless_server,
)
from tests.gateway.raw_server import RawServer
from troutswitch.common import Address
from troutswitch.runtime.bounded_connection import MAX_HEAD_BYTES, READ_BYTES, BoundedConnection
from troutswitch.runtime.bounded_reads import ReadLimitExceeded

received = pytest.fixture(count_received_bytes)
LONG_SECONDS = 30.0
SHORT_SECONDS = 0.3
MAX_BODY_BYTES = 1 << 20


def connect(address: Address, total_seconds: float = LONG_SECONDS) -> BoundedConnection:
    connection = BoundedConnection(address, LONG_SECONDS, MAX_BODY_BYTES)
    connection.connect()
    connection.limit_call(LONG_SECONDS, total_seconds)
    connection.request("GET", "/")
    return connection


def answered_by(data: bytes) -> Callable[[RawServer, socket.socket], None]:
    def answer(server: RawServer, connection: socket.socket) -> None:
        server.read_head(connection)
        connection.sendall(data)

    return answer


@pytest.mark.parametrize("kind", ENDLESS_HEADS)
def test_endless_head_ends_after_a_bounded_number_of_bytes(kind: str, received: list[int]) -> None:
    connection = connect(endless_server(ENDLESS_HEADS[kind]).address)
    with pytest.raises((OSError, http.client.HTTPException)):
        connection.getresponse()
    assert sum(received) <= MAX_HEAD_BYTES
    connection.close()


@pytest.mark.parametrize("kind", ENDLESS_BODIES)
def test_endless_body_ends_by_its_size_or_its_deadline(kind: str, received: list[int]) -> None:
    connection = connect(endless_server(ENDLESS_BODIES[kind]).address, 1.0)
    response = connection.getresponse()
    with pytest.raises((OSError, http.client.HTTPException)):
        connection.read_body(response)
    assert sum(received) <= MAX_HEAD_BYTES + MAX_BODY_BYTES + READ_BYTES
    connection.close()


@pytest.mark.parametrize("sent_before", [b"", HEAD[:-2], HEAD + b"Content-Length: 99999\r\n\r\n"])
def test_single_bytes_end_by_the_deadline(sent_before: bytes) -> None:
    """Guards against a deadline that starts again with each byte."""
    pieces = endless_server((sent_before or b"H", b"a"), pause=0.01)
    connection = connect(pieces.address, SHORT_SECONDS)
    with pytest.raises((ReadLimitExceeded, TimeoutError)):
        connection.read_body(connection.getresponse())
    connection.close()


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 3\r\n\r\nabc", b"Connection: close\r\n\r\nabc"]
)
def test_sound_answer_is_read(framing: bytes) -> None:
    connection = connect(RawServer(answered_by(HEAD + framing)).address)
    assert connection.read_body(connection.getresponse()) == b"abc"
    connection.close()


def test_largest_body_is_read_in_chunks_of_any_size() -> None:
    chunks = b"".join(b"%x\r\n" % size + b"x" * size + b"\r\n" for size in (1, 99_999, 900_000))
    data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    connection = connect(RawServer(answered_by(data)).address)
    assert connection.read_body(connection.getresponse()) == b"x" * 1_000_000
    connection.close()


def test_body_that_is_shorter_than_its_length_is_lost() -> None:
    connection = connect(RawServer(answered_by(HEAD + b"Content-Length: 9\r\n\r\nabc")).address)
    with pytest.raises(http.client.IncompleteRead):
        connection.read_body(connection.getresponse())
    connection.close()


def test_announced_length_reserves_no_memory() -> None:
    """Guards against a length that makes a client allocate as much."""
    data = HEAD + b"Content-Length: %d\r\n\r\nabc" % (1 << 45)
    connection = connect(RawServer(answered_by(data)).address)
    with pytest.raises(http.client.IncompleteRead):
        connection.read_body(connection.getresponse())
    connection.close()
