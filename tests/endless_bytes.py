"""Servers that answer with bytes without end, until the client closes the connection.

As a program it is an engine whose requests' paths name the kind of answer; it prints its address.
"""

import itertools
import socket
import threading
import time
from collections.abc import Iterator

import pytest

from tests.gateway.raw_server import RawServer, request_id
from troutswitch.runtime.bounded_reads import ReadLimits

Pieces = tuple[bytes, bytes]
"""What is sent once and what is sent again and again; `{id}` stands for the request's id."""

STATUS = b"HTTP/1.1 200 OK\r\n"
HEAD = STATUS + b"X-Troutswitch-Request-Id: {id}\r\nX-Troutswitch-Response-Stamp: s\r\n"
OTHER_HEAD = STATUS + b"X-Troutswitch-Request-Id: other\r\nX-Troutswitch-Response-Stamp: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = HEAD + b"Content-Type: text/event-stream\r\n" + CHUNKED
WRITE_BYTES = 1 << 16
"""Size of the writes of a server that sends as fast as it can."""

ENDLESS_HEADS: dict[str, Pieces] = {
    "status line": (b"", b"HTTP/1.1 200 " + b"O" * 1000),
    "header": (HEAD + b"X: ", b"x" * 1000),
    "headers": (HEAD, b"X: x\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim answers with headers": (b"", b"HTTP/1.1 100 Continue\r\nX: y\r\n\r\n"),
    "interim headers": (b"HTTP/1.1 100 Continue\r\n", b"X: y\r\n"),
}
ENDLESS_BODIES: dict[str, Pieces] = {
    "body by length": (HEAD + b"Content-Length: %d\r\n\r\n" % (1 << 40), b"x" * 1000),
    "body by close": (HEAD + b"Connection: close\r\n\r\n", b"x" * 1000),
    "chunk": (HEAD + CHUNKED + b"%x\r\n" % (1 << 40), b"x" * 1000),
    "chunks": (HEAD + CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "chunks of one byte": (HEAD + CHUNKED, b"1\r\nx\r\n"),
    "chunk extension": (HEAD + CHUNKED + b"1;", b"x" * 1000),
    "chunk extensions": (HEAD + CHUNKED, b"1;" + b"x" * 1000 + b"\r\nx\r\n"),
    "trailers": (HEAD + CHUNKED + b"1\r\nx\r\n0\r\n", b"X: y\r\n"),
    "trailer": (HEAD + CHUNKED + b"1\r\nx\r\n0\r\nX: ", b"x" * 1000),
}


SURPLUS_LENGTH = OTHER_HEAD + b"Content-Length: %d\r\n\r\n"
ENDLESS_SURPLUS: dict[str, Pieces] = {
    "surplus answers": (b"", SURPLUS_LENGTH % 1000 + b"x" * 1000),
    "empty surplus answers": (b"", SURPLUS_LENGTH % 0),
    "surplus body by length": (SURPLUS_LENGTH % (1 << 40), b"x" * 1000),
    "surplus body by close": (OTHER_HEAD + b"Connection: close\r\n\r\n", b"x" * 1000),
    "surplus chunk": (OTHER_HEAD + CHUNKED + b"%x\r\n" % (1 << 40), b"x" * 1000),
    "surplus chunks": (OTHER_HEAD + CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "surplus chunks of one byte": (OTHER_HEAD + CHUNKED, b"1\r\nx\r\n"),
    "surplus trailers": (OTHER_HEAD + CHUNKED + b"1\r\nx\r\n0\r\n", b"X: y\r\n"),
}
ENDLESS_STREAMS: dict[str, Pieces] = {
    "event": (EVENTS + b"c\r\nid: 1\ndata: \r\n", b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "event of short lines": (EVENTS + b"6\r\nid: 1\n\r\n", b"400\r\n" + b":x\ny" * 256 + b"\r\n"),
    "comment lines": (EVENTS, b"400\r\n" + b":x\n\n" * 256 + b"\r\n"),
    "blank lines": (EVENTS, b"400\r\n" + b"\n" * 1024 + b"\r\n"),
    "blank lines in chunks of one byte": (EVENTS, b"1\r\n\n\r\n"),
    "event in chunks of one byte": (EVENTS + b"c\r\nid: 1\ndata: \r\n", b"1\r\nx\r\n"),
}
ENDLESS_ANSWERS = ENDLESS_HEADS | ENDLESS_BODIES | ENDLESS_SURPLUS | ENDLESS_STREAMS


def answer_endlessly(
    connection: socket.socket, pieces: Pieces, identity: str, pause: float
) -> None:
    """Sends bytes until the client closes the connection, with a pause after each piece."""
    once, again = (piece.replace(b"{id}", identity.encode()) for piece in pieces)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.sendall(once)
    if not pause:
        again *= max(1, WRITE_BYTES // len(again))
    while True:
        connection.sendall(again)
        time.sleep(pause)


def endless_server(pieces: Pieces, pause: float = 0.0) -> RawServer:
    """Starts a server that answers each request without end, with a pause after each piece."""

    def answer(server: RawServer, connection: socket.socket) -> None:
        identity = request_id(server.read_head(connection))
        answer_endlessly(connection, pieces, identity, pause)

    return RawServer(answer)


def path_of(kind: str) -> str:
    """Returns the last part of the path by which a request names a kind of answer."""
    return kind.replace(" ", "-")


def _answer_kind(server: RawServer, connection: socket.socket) -> None:
    head = server.read_head(connection)
    server.requests.clear()
    kind, _, mode = head.split(b" ")[1].decode().rpartition("/")[2].partition("~")
    pieces = PIECES[kind]
    if mode == SINGLE_BYTES:
        once, again = pieces
        answer_in_single_bytes(connection, once + again * 3, request_id(head))
    answer_endlessly(connection, pieces, request_id(head), 0.0)


SINGLE_BYTES = "bytes"
"""After `~` in a path: the answer is sent one byte at a time."""
PIECES = {path_of(kind): pieces for kind, pieces in ENDLESS_ANSWERS.items()}


def answer_in_single_bytes(connection: socket.socket, data: bytes, identity: str) -> None:
    """Sends bytes one at a time, the last of them again and again."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    data = data.replace(b"{id}", identity.encode())
    for position in itertools.count():
        connection.sendall(data[min(position, len(data) - 1) :][:1])


def count_received_bytes(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[int]]:
    """Yields the sizes of all reads of bounded connections; used as a fixture."""
    sizes: list[int] = []
    end_read = ReadLimits.end_read

    def counted(limits: ReadLimits, size: int) -> None:
        sizes.append(size)
        end_read(limits, size)

    monkeypatch.setattr(ReadLimits, "end_read", counted)
    yield sizes
    assert sizes, "no bounded connection was used"


def main() -> None:
    """Serves until the process is ended."""
    print(RawServer(_answer_kind).address, flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
