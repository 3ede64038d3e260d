"""Servers that answer with bytes without end, until the client closes the connection."""

import itertools
import socket
import time
from collections.abc import Iterable, Iterator

import pytest

from tests.gateway.raw_server import RawServer, request_id

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


def endless_server(pieces: Pieces, pause: float = 0.0) -> RawServer:
    """Starts a server that answers each request without end, with a pause after each piece."""

    def answer(server: RawServer, connection: socket.socket) -> None:
        identity = request_id(server.read_head(connection)).encode()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for data in _writes(pieces, identity, pause):
            connection.sendall(data)
            time.sleep(pause)

    return RawServer(answer)


def _writes(pieces: Pieces, identity: bytes, pause: float) -> Iterable[bytes]:
    once, again = (piece.replace(b"{id}", identity) for piece in pieces)
    count = 1 if pause else max(1, WRITE_BYTES // len(again))
    return itertools.chain((once,), itertools.repeat(again * count))


def count_received_bytes(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[int]]:
    """Yields the sizes of all reads of clients' connections; used as a fixture."""
    sizes: list[int] = []
    read = socket.SocketIO.readinto

    def counted(raw: socket.SocketIO, buffer: bytearray) -> int | None:
        size = read(raw, buffer)
        sizes.append(size or 0)
        return size

    monkeypatch.setattr(socket.SocketIO, "readinto", counted)
    yield sizes
