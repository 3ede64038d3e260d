"""An HTTP connection to an engine that tolerates unsolicited responses.

All responses are read through one buffer that belongs to the connection. `http.client` creates a
buffer for each response, and would lose the beginning of a surplus response that arrived together
with the previous one. Here the surplus response can be read and dropped.

A connection carries each request id once. An engine may answer a request twice, the second time as
long as the connection lives, and only the id tells that answer from the one to a later request.
"""

import http.client
import io
import socket
import struct
from typing import Any

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.runtime.bounded_reads import ReadLimitExceeded, ReadLimits
from troutswitch.runtime.line_reader import LineReader
from troutswitch.runtime.readiness import is_readable
from troutswitch.runtime.silence import bound_silence
from troutswitch.wire_values import MAX_SECONDS, parse_decimal

CONNECT_TIMEOUT_SECONDS = 0.5
MAX_LINE_BYTES = 1 << 16
"""Most bytes of lines outside bodies in one exchange; heads have 16 KiB at most."""
LINE_BYTES_PER_BODY_BYTE = 8
"""Bytes of lines for which a byte of a body makes room: a chunk of one byte has a line of three."""
DEFAULT_IDLE_SECONDS = 4.0
"""How long an idle connection is kept if the engine specifies no idle timeout."""
IDLE_TIMEOUT_SHARE = 0.6
"""Share of an engine's idle timeout within which a connection is reused."""
MAX_REQUESTS_PER_CONNECTION = 1000
"""Requests after which a connection is not reused, which bounds the ids that it remembers."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""`SO_LINGER` of zero seconds."""


class _LimitedSource(io.RawIOBase):
    """Reads a socket within `limits`. While `is_paused`, nothing is received.

    `received_at` is the time at which the last bytes arrived, on the process's steady clock.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._sock = sock
        self.limits = ReadLimits(CONNECT_TIMEOUT_SECONDS, float("inf"), float("inf"))
        self.received_at = float("-inf")
        self.is_paused = False

    def readable(self) -> bool:
        """Returns True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Receives bytes; returns 0 at the end of the stream, None while paused.

        Raises:
            TimeoutError: nothing was received in time.
            ReadLimitExceeded: the deadline is over, though bytes arrive.
            OSError: the connection failed.
        """
        if self.is_paused:
            return None
        max_bytes = self.limits.begin_read(self._sock)
        size = self._sock.recv_into(buffer[:max_bytes])
        self.received_at = steady_seconds()
        self.limits.end_read(size)
        return size


class ResponseReader(LineReader):
    """A reader that stays open after the responses that are read from it.

    The lines outside bodies (heads, interim responses, sizes of chunks, trailers) share a budget of
    `MAX_LINE_BYTES`, to which the bytes of bodies add: a line costs far more work than its bytes.
    """

    raw: _LimitedSource

    def __init__(self, source: _LimitedSource) -> None:
        super().__init__(source, source.limits.pace)
        self._line_bytes_left = MAX_LINE_BYTES

    def begin_exchange(self) -> None:
        """Makes the budget for lines that of a new exchange."""
        self._line_bytes_left = MAX_LINE_BYTES

    def spend_lines(self, count: int, size: int) -> None:
        """Counts lines outside bodies, of `size` bytes together.

        Raises:
            ReadLimitExceeded: there were too many of them.
        """
        super().spend_lines(count, size)
        self._line_bytes_left -= size
        if self._line_bytes_left < 0:
            raise ReadLimitExceeded("the lines outside the body are too long")

    def add_body_bytes(self, size: int) -> None:
        """Counts bytes of a body, which make room for the lines of its chunks."""
        gained = LINE_BYTES_PER_BODY_BYTE * size
        self._line_bytes_left = min(MAX_LINE_BYTES, self._line_bytes_left + gained)

    def has_buffered_bytes(self) -> bool:
        """Returns whether bytes were received that were not read yet."""
        self.raw.is_paused = True
        try:
            return bool(self.peek(1))
        finally:
            self.raw.is_paused = False

    def close(self) -> None:
        """Does nothing: the connection closes the socket."""


class _ReaderSource:
    """Adapter that passes the shared reader to `HTTPResponse`, which expects a socket."""

    def __init__(self, reader: ResponseReader | None) -> None:
        self._reader = reader

    def makefile(self, mode: str) -> ResponseReader:
        """Returns the reader."""
        assert self._reader is not None
        return self._reader


class EngineConnection(http.client.HTTPConnection):
    """A connection whose responses are read through one shared buffer.

    `idle_since` is the time at which its last response was complete, in seconds of the process's
    steady clock. The connection may be reused for `max_idle_seconds` from then on.
    `request_ids` are the hashes of the ids of the requests sent on it. `must_close` is set once an
    answer to another request was received, or a request was not sent whole.
    """

    def __init__(self, address: Address) -> None:
        super().__init__(address.host, address.port, timeout=CONNECT_TIMEOUT_SECONDS)
        self.reader: ResponseReader | None = None
        self.idle_since = 0.0
        self.max_idle_seconds = DEFAULT_IDLE_SECONDS
        self.request_ids: set[int] = set()
        self.must_close = False
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
        self.reader = ResponseReader(_LimitedSource(self.sock))

    @property
    def received_at(self) -> float:
        """Time at which the last bytes arrived, on the process's steady clock."""
        return self.reader.raw.received_at if self.reader is not None else float("-inf")

    def begin_exchange(self, wait: float, ends_at: float) -> None:
        """Sets the limits up to the head of the response, as `limit_reads` does."""
        if self.reader is not None:
            self.reader.begin_exchange()
        self.limit_reads(wait, ends_at)

    def limit_reads(self, wait: float, ends_at: float | None = None) -> None:
        """Limits the next reads.

        Args:
            wait: timeout of each read, in seconds.
            ends_at: time at which all reads end, on the process's steady clock; None leaves it.
        """
        if self.reader is None:
            return
        limits = self.reader.raw.limits
        limits.wait_seconds = wait
        if ends_at is not None:
            limits.deadline = ends_at

    def add_request(self, request_id: str) -> None:
        """Records that a request is sent on this connection."""
        self.request_ids.add(hash(request_id))

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
        self.reader = None

    def may_be_kept(self) -> bool:
        """Returns whether the connection may be used again after a complete response.

        An engine that answered another request than the last one may do so again, and what it sends
        unasked is not worth the risk that the next request waits behind it.
        """
        is_worn = len(self.request_ids) >= MAX_REQUESTS_PER_CONNECTION
        return self.max_idle_seconds > 0 and not (is_worn or self.must_close)

    def is_reusable(self, request_id: str) -> bool:
        """Returns whether a request may be sent on this idle connection.

        A connection is not reusable after any request with the same id, because a late surplus
        response to that request would be indistinguishable from the response to this one. It is
        not reusable either while it has unsolicited bytes to read.
        """
        age = steady_seconds() - self.idle_since
        if age >= self.max_idle_seconds or hash(request_id) in self.request_ids:
            return False
        return not self._has_waiting_bytes()

    def _has_waiting_bytes(self) -> bool:
        """Returns whether unsolicited bytes, or the end of the stream, can be read."""
        assert self.reader is not None
        return self.reader.has_buffered_bytes() or is_readable(self.sock)

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
