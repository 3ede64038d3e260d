"""One HTTP connection to an engine, on which more answers may come than were asked for.

The answers are read through one buffer that belongs to the connection, so that a surplus answer
that came with the one before is not lost with it, and can be read and dropped.
"""

import http.client
import io
import select
import socket
import struct
from typing import Any

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.runtime.silence import bound_silence

CONNECT_SECONDS = 0.5
READ_BYTES = 1 << 16
DEFAULT_IDLE_SECONDS = 4.0
"""Time for which an idle connection is kept where the engine names none."""
IDLE_TIMEOUT_SHARE = 0.6
"""Share of the idle time named by an engine for which a connection is used again."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""`SO_LINGER` of zero seconds."""


class _SharedReader(io.BufferedReader):
    """A reader that outlives the responses read from it."""

    def close(self) -> None:
        """Does nothing: the connection closes the raw stream."""


class _ReaderSource:
    """Stands for a socket whose `makefile` gives the shared reader."""

    def __init__(self, reader: _SharedReader | None) -> None:
        self._reader = reader

    def makefile(self, mode: str) -> _SharedReader:
        """Returns the reader."""
        assert self._reader is not None
        return self._reader


class EngineConnection(http.client.HTTPConnection):
    """A connection whose answers are read through one shared buffer.

    `idle_since` is the time at which its last response was complete, in seconds of the process's
    steady clock. The connection may be reused for `max_idle_seconds` from then on.
    `last_request_id` is the id of the last request sent on it.
    """

    def __init__(self, address: Address) -> None:
        super().__init__(address.host, address.port, timeout=CONNECT_SECONDS)
        self.reader: _SharedReader | None = None
        self.idle_since = 0.0
        self.max_idle_seconds = DEFAULT_IDLE_SECONDS
        self.last_request_id = ""
        self._is_reading_head = False
        self.response_class = self._make_response  # type: ignore[assignment]

    def connect(self) -> None:
        """Connects, with bounds on what a silent peer can hold up.

        Raises:
            OSError: no connection was made.
        """
        super().connect()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        bound_silence(self.sock)
        raw = self.sock.makefile("rb", buffering=0)
        self.reader = _SharedReader(raw, READ_BYTES)

    def getresponse(self) -> http.client.HTTPResponse:
        """Reads the head of an answer; the connection stays open for its body."""
        self._is_reading_head = True
        try:
            return super().getresponse()
        finally:
            self._is_reading_head = False

    def next_response(self, method: str) -> http.client.HTTPResponse:
        """Reads the head of one more answer, after one that was not asked for."""
        response = self._make_response(self.sock, method=method)
        response.begin()
        return response

    def _make_response(self, sock: Any, **options: Any) -> http.client.HTTPResponse:
        return http.client.HTTPResponse(_ReaderSource(self.reader), **options)  # type: ignore[arg-type]

    def close(self) -> None:
        """Closes the connection and its reader.

        While a head is read this does nothing: the base class closes a connection as soon
        as a head says that it will close, and leaves the body to the response's own
        reader, which here is the connection's. Whoever reads a head closes afterwards.
        """
        if self._is_reading_head:
            return
        super().close()
        reader, self.reader = self.reader, None
        if reader is not None:
            reader.raw.close()

    def is_reusable(self, request_id: str) -> bool:
        """Returns whether a request may be sent on this idle connection.

        Not after one with the same id: a late surplus answer to that one could not be told
        from the answer to this one. Nor while bytes wait that no request asked for.
        """
        age = steady_seconds() - self.idle_since
        if age >= self.max_idle_seconds or self.last_request_id == request_id:
            return False
        return not self._has_waiting_bytes()

    def _has_waiting_bytes(self) -> bool:
        """Returns whether bytes, or an end, came that no request asked for."""
        assert self.reader is not None
        readable, _, _ = select.select([self.sock], [], [], 0)
        return bool(readable)

    def apply_keep_alive(self, keep_alive: str | None) -> None:
        """Follows the idle time that an answer's `Keep-Alive` header names, if it does."""
        seconds = _idle_seconds(keep_alive)
        if seconds is not None:
            self.max_idle_seconds = seconds * IDLE_TIMEOUT_SHARE


def shut_down(sock: socket.socket) -> None:
    """Ends a connection under its reader, with a reset at its close.

    Guards against a request that was sent in part: without the reset the kernel goes on to
    send what it holds of it, and an engine that reads late runs it.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return  # it was closed already


def _idle_seconds(header: str | None) -> float | None:
    """Returns the idle time in a `Keep-Alive` header."""
    for part in (header or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return float(value)
    return None
