"""One HTTP exchange with an engine: a request is sent and its answer read.

It owns its connection while it lasts, and gives it to the pool (`EngineConnections`) after a whole
answer. Answers are matched by the request's id; a surplus answer that comes in the place of the
next one is read and dropped.
"""

import http.client
import socket
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.gateway.engines.connection import READ_BYTES, EngineConnection, shut_down
from troutswitch.gateway.engines.connection_pool import EngineConnections

SUSPECT_SILENCE_SECONDS = 0.25
"""Least silence that makes other connections suspect: longer than the kernel's first
retransmission (0.2 s), so that one lost packet is none, and shorter than the least wait for a
next event (0.3 s), so that each attempt left for silence is one."""
MIN_TIMEOUT_SECONDS = 0.01
"""Least time-out of a socket, as 0 stands for none."""
MAX_SURPLUS_RESPONSES = 3

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


@dataclass
class Exchange:
    """One exchange, in the order `open`, `chunks` or `body`, `close`.

    It runs on one thread; only `abort` may be called from any. `id_header` names the header in
    which an answer repeats the request's id.
    """

    connections: EngineConnections
    engine_id: str
    address: Address
    request: OutgoingRequest
    id_header: str
    response: http.client.HTTPResponse | None = None
    is_aborted: bool = False
    last_seen_at: float = field(default_factory=steady_seconds)
    """When the request was begun to be sent, or the last bytes of its answer came, in seconds of
    this process's clock."""
    _connection: EngineConnection | None = None
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def open(self, first_wait: float) -> http.client.HTTPResponse:
        """Sends the request and reads the head of its answer.

        Args:
            first_wait: longest wait for the head, in seconds.

        Raises:
            NotConnected: no connection was made.
            AnswerLost: the request was sent and no head of its answer came.
        """
        connection = self._take_connection()
        self._connect(connection)
        if self.is_aborted:
            self.close()
            raise NotConnected("aborted before it was sent")
        try:
            connection.sock.settimeout(max(MIN_TIMEOUT_SECONDS, first_wait))
            self.last_seen_at = steady_seconds()
            self._send(connection)
            response = self._read_head(connection)
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._lost(error) from error
        self.last_seen_at = steady_seconds()
        return response

    def _take_connection(self) -> EngineConnection:
        request_id = self.request.request_id
        connection = self.connections.acquire(self.engine_id, self.address, request_id)
        connection.last_request_id = request_id
        with self._lock:
            self._connection = connection
        return connection

    def _connect(self, connection: EngineConnection) -> None:
        if connection.sock is not None:
            return
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            raise NotConnected(f"{type(error).__name__}: {error}") from error

    def _send(self, connection: EngineConnection) -> None:
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
            connection.max_idle_seconds = 0.0  # the answer may have come before the end of the body

    def _read_head(self, connection: EngineConnection) -> http.client.HTTPResponse:
        """Reads heads up to that of this request's answer."""
        response = connection.getresponse()
        for _ in range(MAX_SURPLUS_RESPONSES):
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
            connection.sock.settimeout(max(MIN_TIMEOUT_SECONDS, seconds))

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
            self.close()
            raise AnswerLost("the answer broke off")
        self._finish()

    def body(self) -> bytes:
        """Returns the whole body.

        Raises:
            AnswerLost: it did not come whole.
        """
        return b"".join(self.chunks())

    def _finish(self) -> None:
        """Keeps the connection if it may be used again."""
        connection, response = self._connection, self.response
        assert connection is not None and response is not None
        response.close()  # read by length, it does not notice its end by itself
        connection.apply_keep_alive(response.getheader("Keep-Alive"))
        is_open = not response.will_close and connection.sock is not None
        if not is_open or connection.max_idle_seconds <= 0:
            self.close()
            return
        with self._lock:
            self._connection = None
        self.connections.release(self.engine_id, connection)

    def _lost(self, error: Exception) -> AnswerLost:
        """Closes the connection, and the suspect others if this one timed out."""
        self.close()
        if isinstance(error, TimeoutError):
            self._close_suspects()
        return AnswerLost(f"{type(error).__name__}: {error}")

    def _close_suspects(self) -> None:
        if steady_seconds() - self.last_seen_at >= SUSPECT_SILENCE_SECONDS:
            self.connections.close_suspects(self.engine_id, self.last_seen_at)

    def abort(self, is_silent: bool = False) -> None:
        """Ends the exchange from any thread: its reader sees the connection's end.

        If `is_silent`, the engine sends nothing any more: suspect connections are closed at
        once, as the next attempt may come before the reader of this one wakes.
        """
        if is_silent:
            self._close_suspects()
        with self._lock:
            self.is_aborted = True
            connection = self._connection
            sock: socket.socket | None = connection.sock if connection is not None else None
            if sock is not None:
                shut_down(sock)

    def close(self) -> None:
        """Closes the connection unless it was kept."""
        with self._lock:
            connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()
