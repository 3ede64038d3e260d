"""An HTTP connection to an engine that tolerates unsolicited responses.

All responses are read through one buffer that belongs to the connection. `http.client` creates a
buffer for each response, and would lose the beginning of a surplus response that arrived together
with the previous one. Here the surplus response can be read and dropped.
"""

import http.client
import io
import socket
import struct
from typing import Any

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.runtime.readiness import is_readable
from troutswitch.runtime.silence import bound_silence
from troutswitch.wire_values import MAX_SECONDS, parse_decimal

CONNECT_TIMEOUT_SECONDS = 0.5
READ_BYTES = 1 << 16
DEFAULT_IDLE_SECONDS = 4.0
"""How long an idle connection is kept if the engine specifies no idle timeout."""
IDLE_TIMEOUT_SHARE = 0.6
"""Share of an engine's idle timeout within which a connection is reused."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""`SO_LINGER` of zero seconds."""


class _SharedReader(io.BufferedReader):
    """A reader that stays open after the responses that are read from it."""

    def close(self) -> None:
        """Does nothing: the connection closes the raw stream."""


class _ReaderSource:
    """Adapter that passes the shared reader to `HTTPResponse`, which expects a socket."""

    def __init__(self, reader: _SharedReader | None) -> None:
        self._reader = reader

    def makefile(self, mode: str) -> _SharedReader:
        """Returns the reader."""
        assert self._reader is not None
        return self._reader


class EngineConnection(http.client.HTTPConnection):
    """A connection whose responses are read through one shared buffer.

    `idle_since` is the time at which its last response was complete, in seconds of the process's
    steady clock. The connection may be reused for `max_idle_seconds` from then on.
    `last_request_id` is the id of the last request sent on it, `uses` the number of requests.
    """

    def __init__(self, address: Address) -> None:
        super().__init__(address.host, address.port, timeout=CONNECT_TIMEOUT_SECONDS)
        self.reader: _SharedReader | None = None
        self.idle_since = 0.0
        self.max_idle_seconds = DEFAULT_IDLE_SECONDS
        self.last_request_id = ""
        self.uses = 0
        self._is_reading_head = False
        self.response_class = self._make_response  # type: ignore[assignment]

    def connect(self) -> None:
        """Connects, and bounds how long the connection may be silent.

        Raises:
            OSError: the connection could not be made.
        """
        super().connect()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        bound_silence(self.sock)
        raw = self.sock.makefile("rb", buffering=0)
        self.reader = _SharedReader(raw, READ_BYTES)

    def getresponse(self) -> http.client.HTTPResponse:
        """Reads the head of a response; the connection stays open for its body."""
        self._is_reading_head = True
        try:
            return super().getresponse()
        finally:
            self._is_reading_head = False

    def next_response(self, method: str) -> http.client.HTTPResponse:
        """Reads the head of the next response, after an unsolicited one."""
        response = self._make_response(self.sock, method=method)
        response.begin()
        return response

    def _make_response(self, sock: Any, **options: Any) -> http.client.HTTPResponse:
        return http.client.HTTPResponse(_ReaderSource(self.reader), **options)  # type: ignore[arg-type]

    def close(self) -> None:
        """Closes the connection and its reader.

        Does nothing while a head is being read. The base class closes the connection as soon as a
        head announces `Connection: close`, because the response normally has a reader of its own;
        here that reader belongs to the connection, and the body would be lost. The caller of
        `getresponse` closes the connection after it has read the body.
        """
        if self._is_reading_head:
            return
        super().close()
        reader, self.reader = self.reader, None
        if reader is not None:
            reader.raw.close()

    def is_reusable(self, request_id: str) -> bool:
        """Returns whether a request may be sent on this idle connection.

        A connection is not reusable after a request with the same id, because a late surplus
        response to that request would be indistinguishable from the response to this one. It is
        not reusable either while it has unsolicited bytes to read.
        """
        age = steady_seconds() - self.idle_since
        if age >= self.max_idle_seconds or self.last_request_id == request_id:
            return False
        return not self._has_waiting_bytes()

    def _has_waiting_bytes(self) -> bool:
        """Returns whether unsolicited bytes, or the end of the stream, can be read."""
        assert self.reader is not None
        return is_readable(self.sock)

    def apply_keep_alive(self, keep_alive: str | None) -> None:
        """Applies the idle timeout of a response's `Keep-Alive` header, if it has one."""
        seconds = _idle_seconds(keep_alive)
        if seconds is not None:
            self.max_idle_seconds = seconds * IDLE_TIMEOUT_SHARE


def shut_down(sock: socket.socket) -> None:
    """Shuts a connection down while another thread reads it, and resets it when it is closed.

    Without the reset the kernel would continue to send the buffered rest of a partly sent request,
    and an engine that reads it late would run the request.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return  # already closed


def _idle_seconds(header: str | None) -> float | None:
    """Returns the timeout of a `Keep-Alive` header in seconds, or None if it has none."""
    for part in (header or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            return parse_decimal(value, MAX_SECONDS)
    return None
