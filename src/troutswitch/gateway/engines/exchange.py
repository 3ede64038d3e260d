"""One HTTP exchange with an engine over a connection that may be kept.

Answers are matched by the request's id. A surplus answer that arrives in the place of
the next one is read and dropped, and a connection on which bytes wait that no request
asked for is not used again.

A connection that fell silent is closed, and with it the idle ones of the same engine that
brought nothing since: they are doubted before they are used, not after each ran into a
time-out of its own.
"""

import http.client
import io
import select
import socket
import struct
import threading
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.runtime.silence import bound_silence

CONNECT_SECONDS = 0.5
DOUBT_LEAST_SECONDS = 0.25
"""Least silence for which other connections are doubted: longer than the kernel's first
retransmission (0.2 s), so that one lost packet is none, and shorter than the least wait for a
next event (0.3 s), so that each attempt left for silence is one."""
READ_BYTES = 1 << 16
SURPLUS_ANSWERS_MOST = 3
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
"""`SO_LINGER` of zero seconds."""
IDLE_CONNECTIONS_PER_ENGINE = 6
IDLE_SECONDS_DEFAULT = 4.0
"""Time for which an idle connection is kept where the engine tells none."""
IDLE_SHARE = 0.6
"""Share of the idle time told by an engine for which a connection is used again."""

Headers = list[tuple[str, str]]


class NotConnected(Exception):
    """No connection was made, so nothing was sent."""


class AnswerLost(Exception):
    """The request was sent, at least in part, and its whole answer did not come."""


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as it goes to an engine."""

    request_id: str
    method: str
    url: str
    headers: Headers
    body: bytes


class _SharedReader(io.BufferedReader):
    """A reader that outlives the responses read from it."""

    def close(self) -> None:
        """Does nothing: the connection closes the raw stream."""


class _Connection(http.client.HTTPConnection):
    """A connection whose answers are read through one shared buffer."""

    def __init__(self, address: Address) -> None:
        super().__init__(address.host, address.port, timeout=CONNECT_SECONDS)
        self.reader: _SharedReader | None = None
        self.idle_since = 0.0
        self.idle_most = IDLE_SECONDS_DEFAULT
        self.last_request_id = ""
        self._is_reading_head = False
        self.response_class = self._make_response  # type: ignore[assignment]

    def connect(self) -> None:
        """Connects, with bounds on what a silent peer can hold up."""
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

    def _make_response(self, sock: Any, **options: Any) -> http.client.HTTPResponse:
        return http.client.HTTPResponse(_ReaderSource(self.reader), **options)  # type: ignore[arg-type]

    def next_response(self, method: str) -> http.client.HTTPResponse:
        """Reads the head of one more answer, after one that was not asked for."""
        response = self._make_response(self.sock, method=method)
        response.begin()
        return response

    def has_waiting_bytes(self) -> bool:
        """Returns whether bytes, or an end, wait that no request asked for."""
        assert self.reader is not None
        readable, _, _ = select.select([self.sock], [], [], 0)
        return bool(readable)


class _ReaderSource:
    """Stands for a socket whose `makefile` gives the shared reader."""

    def __init__(self, reader: _SharedReader | None) -> None:
        self._reader = reader

    def makefile(self, mode: str) -> _SharedReader:
        """Returns the reader."""
        assert self._reader is not None
        return self._reader


OnDoubt = Callable[[str, int], None]


def _ignore_doubt(engine_id: str, closed: int) -> None:
    """Takes no note of closed connections."""


class EngineConnections:
    """Idle connections by engine id, for reuse.

    Args:
        on_doubt: called with an engine's id and how many of its connections were closed
            because another one had fallen silent.
    """

    def __init__(self, on_doubt: OnDoubt = _ignore_doubt) -> None:
        self._on_doubt = on_doubt
        self._idle: dict[str, deque[_Connection]] = {}
        self._lock = threading.Lock()

    def take(self, engine_id: str, address: Address, request_id: str) -> _Connection:
        """Returns an idle connection that is sound, or a new one not yet connected.

        One whose last request had the same id is closed: a late surplus answer to that
        one could not be told from the answer to this one.
        """
        while True:
            with self._lock:
                held = self._idle.get(engine_id)
                connection = held.pop() if held else None
            if connection is None:
                return _Connection(address)
            age = steady_seconds() - connection.idle_since
            is_fresh = age < connection.idle_most and connection.last_request_id != request_id
            if is_fresh and not connection.has_waiting_bytes():
                return connection
            connection.close()

    def keep(self, engine_id: str, connection: _Connection) -> None:
        """Keeps a connection whose answer was read whole."""
        connection.idle_since = steady_seconds()
        with self._lock:
            held = self._idle.setdefault(engine_id, deque())
            if len(held) < IDLE_CONNECTIONS_PER_ENGINE:
                held.append(connection)
                return
        connection.close()

    def doubt(self, engine_id: str, silent_since: float) -> None:
        """Closes an engine's idle connections that brought nothing since another fell silent.

        Without it each of them cost one request its whole time-out.
        """
        with self._lock:
            held = self._idle.pop(engine_id, deque())
            doubted = [c for c in held if c.idle_since <= silent_since]
            self._idle[engine_id] = deque(c for c in held if c.idle_since > silent_since)
        for connection in doubted:
            connection.close()
        if doubted:
            self._on_doubt(engine_id, len(doubted))

    def drop_engines(self, gone: list[str]) -> None:
        """Closes the idle connections of engines that left."""
        with self._lock:
            held = [self._idle.pop(engine_id, deque()) for engine_id in gone]
        for connections in held:
            for connection in connections:
                connection.close()


@dataclass
class Exchange:
    """One exchange; `abort` may be called from any thread."""

    connections: EngineConnections
    engine_id: str
    address: Address
    request: OutgoingRequest
    id_header: str
    response: http.client.HTTPResponse | None = None
    is_aborted: bool = False
    last_seen_at: float = field(default_factory=steady_seconds)
    """When the request was begun to be sent, or the last bytes of its answer came."""
    _connection: _Connection | None = None
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def open(self, first_wait: float) -> http.client.HTTPResponse:
        """Sends the request and reads the head of its answer.

        Raises:
            NotConnected: no connection was made.
            AnswerLost: the request was sent and no head of its answer came.
        """
        request_id = self.request.request_id
        connection = self.connections.take(self.engine_id, self.address, request_id)
        connection.last_request_id = request_id
        with self._lock:
            self._connection = connection
        self._connect(connection)
        if self.is_aborted:
            self._close()
            raise NotConnected("aborted before it was sent")
        try:
            connection.sock.settimeout(max(0.01, first_wait))
            self.last_seen_at = steady_seconds()
            self._send(connection)
            response = self._head(connection)
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._lost(error) from error
        self.last_seen_at = steady_seconds()
        return response

    def _lost(self, error: Exception) -> AnswerLost:
        """Closes the connection; one that timed out lets others be doubted."""
        self._close()
        if isinstance(error, TimeoutError):
            self._doubt_others()
        return AnswerLost(f"{type(error).__name__}: {error}")

    def _doubt_others(self) -> None:
        if steady_seconds() - self.last_seen_at >= DOUBT_LEAST_SECONDS:
            self.connections.doubt(self.engine_id, self.last_seen_at)

    def _connect(self, connection: _Connection) -> None:
        if connection.sock is not None:
            return
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            raise NotConnected(f"{type(error).__name__}: {error}") from error

    def _send(self, connection: _Connection) -> None:
        """Sends head and body; an engine may answer and close before it read all."""
        request = self.request
        connection.putrequest(
            request.method, request.url, skip_host=True, skip_accept_encoding=True
        )
        for name, value in request.headers:
            connection.putheader(name, value)
        if request.body or request.method not in ("GET", "DELETE", "HEAD"):
            connection.putheader("Content-Length", str(len(request.body)))
        connection.endheaders()
        if not request.body:
            return
        try:
            connection.send(request.body)
        except (BrokenPipeError, ConnectionResetError):
            connection.idle_most = 0.0  # the answer may have come before the end of the body

    def _head(self, connection: _Connection) -> http.client.HTTPResponse:
        response = connection.getresponse()
        for _ in range(SURPLUS_ANSWERS_MOST):
            if response.getheader(self.id_header) == self.request.request_id:
                self.response = response
                return response
            response.read()
            if response.will_close or connection.sock is None:
                break
            response = connection.next_response(self.request.method)
        raise http.client.HTTPException("the answer is of another request")

    def set_wait(self, seconds: float) -> None:
        """Bounds how long the next bytes may take."""
        connection = self._connection
        if connection is not None and connection.sock is not None:
            connection.sock.settimeout(max(0.01, seconds))

    def chunks(self) -> Iterator[bytes]:
        """Yields the body's bytes as they come; the connection is kept after a whole one.

        Raises:
            AnswerLost: the answer broke off, or its bytes stayed away too long.
        """
        assert self.response is not None
        try:
            while data := self.response.read1(READ_BYTES):
                self.last_seen_at = steady_seconds()
                yield data
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._lost(error) from error
        if self.is_aborted or (self.response.length or 0) > 0:
            self._close()
            raise AnswerLost("the answer broke off")
        self._finish()

    def body(self) -> bytes:
        """Returns the whole body.

        Raises:
            AnswerLost: it did not come whole.
        """
        return b"".join(self.chunks())

    def _finish(self) -> None:
        connection, response = self._connection, self.response
        assert connection is not None and response is not None
        response.close()  # read by length, it does not notice its end by itself
        reusable = not response.will_close and connection.sock is not None
        told = _idle_seconds(response.getheader("Keep-Alive"))
        if told is not None:
            connection.idle_most = told * IDLE_SHARE
        if reusable and connection.idle_most > 0:
            with self._lock:
                self._connection = None
            self.connections.keep(self.engine_id, connection)
        else:
            self._close()

    def abort(self, is_silent: bool = False) -> None:
        """Ends the exchange from another thread: its reader sees the connection's end.

        One that is left since its engine seems silent lets other connections be doubted, and
        at once: the next attempt may come before the reader of this one wakes.
        """
        if is_silent:
            self._doubt_others()
        with self._lock:
            self.is_aborted = True
            connection = self._connection
            sock = connection.sock if connection is not None else None
            if sock is not None:
                _shut_down(sock)

    def close(self) -> None:
        """Closes the connection unless it was kept."""
        self._close()

    def _close(self) -> None:
        with self._lock:
            connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()


def _shut_down(sock: socket.socket) -> None:
    """Ends a connection with a reset at its close.

    Guards against a request that was sent in part: without the reset the kernel goes on to
    send what it holds of it, and an engine that reads late runs it.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return  # it was closed already


def _idle_seconds(header: str | None) -> float | None:
    """Returns the idle time that a `Keep-Alive` header tells."""
    for part in (header or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return float(value)
    return None
