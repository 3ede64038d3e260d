"""Answers without end, and cut ones, on a bounded connection, with real sockets."""

import http.client
import socket
from collections.abc import Callable

import pytest

from tests.cut_server import CutServer, Ending
from tests.endless_bytes import (
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    HEAD,
    count_received_bytes,
    endless_server,
)
from tests.gateway.raw_server import RawServer
from troutswitch.common import Address
from troutswitch.runtime.bounded_connection import MAX_HEAD_BYTES, BoundedConnection
from troutswitch.runtime.bounded_reads import ReadLimitExceeded
from troutswitch.runtime.line_reader import READ_BYTES

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


STATUS = b"HTTP/1.1 200 OK\r\n"
LENGTH_ANSWER = STATUS + b"Server: a\r\nContent-Length: 20\r\n\r\n" + b"y" * 20
CHUNKED_ANSWER = STATUS + b"Transfer-Encoding: chunked\r\n\r\n2\r\nyy\r\n0\r\nTrailer: a\r\n\r\n"
CLOSE_ANSWER = STATUS + b"Connection: close\r\n\r\nyyyy"


@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
@pytest.mark.parametrize("answer", [LENGTH_ANSWER, CHUNKED_ANSWER], ids=["length", "chunks"])
def test_answer_that_is_cut_at_any_byte_is_lost(answer: bytes, ending: Ending) -> None:
    """Guards against the end of a connection that is taken for the end of a head."""
    server = CutServer(answer, ending)
    for length in range(len(answer)):
        server.length = length
        connection = connect(server.address)
        with pytest.raises((OSError, http.client.HTTPException)):
            connection.read_body(connection.getresponse())
        connection.close()


@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
def test_head_of_an_answer_without_a_length_that_is_cut_at_any_byte_is_lost(ending: Ending) -> None:
    server = CutServer(CLOSE_ANSWER, ending)
    for length in range(CLOSE_ANSWER.index(b"yyyy")):
        server.length = length
        connection = connect(server.address)
        with pytest.raises((OSError, http.client.HTTPException)):
            connection.getresponse()
        connection.close()


def test_body_without_a_length_is_lost_where_it_must_be_whole() -> None:
    server = CutServer(CLOSE_ANSWER)
    for length in range(len(CLOSE_ANSWER) + 1):
        server.length = length
        connection = connect(server.address)
        with pytest.raises((OSError, http.client.HTTPException)):
            connection.read_body(connection.getresponse(), must_have_marked_end=True)
        connection.close()


@pytest.mark.parametrize("length", [0, 8, len(STATUS), 40, len(LENGTH_ANSWER) - 1])
def test_answer_that_stops_ends_by_its_deadline(length: int) -> None:
    server = CutServer(LENGTH_ANSWER, Ending.SILENCE)
    server.length = length
    connection = connect(server.address, SHORT_SECONDS)
    with pytest.raises((ReadLimitExceeded, TimeoutError)):
        connection.read_body(connection.getresponse())
    connection.close()


@pytest.mark.parametrize(
    "head",
    [
        STATUS + b"A: b\rContent-Length: 2\r\n\r\n",
        STATUS + b"no header\r\nContent-Length: 2\r\n\r\n",
        STATUS + b"A: HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
        STATUS + b"A: b\r\n c\r\nContent-Length: 2\r\n\r\n",
        STATUS + b"A B: c\r\nContent-Length: 2\r\n\r\n",
    ],
    ids=["carriage return", "no header", "two heads", "folded line", "name"],
)
def test_malformed_head_is_none(head: bytes) -> None:
    connection = connect(RawServer(answered_by(head + b"yy")).address)
    with pytest.raises(http.client.HTTPException):
        connection.getresponse()
    connection.close()


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 2x",
        b"Content-Length: -2",
        b"Content-Length: 2\r\nContent-Length: 1",
        b"Content-Length: 2\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: gzip",
    ],
)
def test_body_whose_framing_is_malformed_is_lost(framing: bytes) -> None:
    """Guards against a body that is read to the end of its connection, or by a wrong length."""
    connection = connect(RawServer(answered_by(STATUS + framing + b"\r\n\r\nyy")).address)
    with pytest.raises(http.client.HTTPException):
        connection.read_body(connection.getresponse())
    connection.close()
