"""One HTTP exchange with an engine: sends a request and reads its response.

An exchange owns its connection until the response is complete, then returns it to the pool
(`EngineConnections`). Responses are matched to the request by the request id; a surplus response
that precedes the expected one is read and dropped.
"""

import http.client
import socket
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import AnswerFacts
from troutswitch.gateway.engines.connection import READ_BYTES, EngineConnection, shut_down
from troutswitch.gateway.engines.connection_pool import ConnectionUse, EngineConnections
from troutswitch.platform.requests import is_signed, read_framing
from troutswitch.wire_values import is_header_name, is_header_value

SUSPECT_SILENCE_SECONDS = 0.25
"""Minimum silence that makes other connections suspect. It is longer than the kernel's first
retransmission timeout (0.2 s), so that a single lost packet does not count, and shorter than the
minimum wait for a next event (0.3 s), so that every attempt abandoned for silence counts."""
MIN_TIMEOUT_SECONDS = 0.01
"""Minimum socket timeout; 0 would make the socket non-blocking."""
MAX_SURPLUS_RESPONSES = 3

Headers = list[tuple[str, str]]


class NotConnected(Exception):
    """The connection could not be made, so nothing was sent."""


class AnswerLost(Exception):
    """The request was sent, at least in part, but its response was not received completely."""


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as it is sent to an engine."""

    request_id: str
    method: str
    url: str
    headers: Headers
    body: bytes


@dataclass
class Exchange:
    """One exchange: call `open`, then `chunks` or `body`, then `close`.

    All calls must come from one thread, except `abort`, which is thread-safe. `id_header` is the
    name of the header in which a response repeats the request's id.
    """

    connections: EngineConnections
    engine_id: str
    address: Address
    request: OutgoingRequest
    id_header: str
    use: ConnectionUse = ConnectionUse.ONLINE
    response: http.client.HTTPResponse | None = None
    facts: AnswerFacts | None = None
    """How the response arrived; None before its head was read."""
    is_aborted: bool = False
    kept_seconds: float = 0.0
    """How long the connection may be reused after it was returned to the pool, else 0."""
    last_seen_at: float = field(default_factory=steady_seconds)
    """Time at which the sending began or the last bytes of the response arrived, in seconds of the
    process's steady clock."""
    _connection: EngineConnection | None = None
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def open(self, first_wait: float) -> http.client.HTTPResponse:
        """Sends the request and reads the head of its response.

        Args:
            first_wait: timeout of each send and of each read of the head, in seconds.

        Raises:
            NotConnected: nothing was sent.
            AnswerLost: the request was sent, but no head of its response was received.
        """
        connection = self._acquire_connection()
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

    def _acquire_connection(self) -> EngineConnection:
        request_id = self.request.request_id
        connection = self.connections.acquire(self.engine_id, self.address, request_id, self.use)
        connection.last_request_id = request_id
        connection.uses += 1
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
        """Sends head and body; an engine may respond and close before it has read everything."""
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
            connection.max_idle_seconds = 0.0  # not reusable; its response may be readable

    def _read_head(self, connection: EngineConnection) -> http.client.HTTPResponse:
        """Reads heads until that of this request's response; drops surplus responses."""
        response = connection.getresponse()
        for surplus in range(MAX_SURPLUS_RESPONSES):
            if response.getheader(self.id_header) == self.request.request_id:
                framing = read_framing(response, self.request.method)
                uses_before = connection.uses - 1
                self.facts = AnswerFacts(is_signed(response), framing, uses_before, surplus)
                _check_headers(response)
                self.response = response
                return response
            response.read()
            if response.will_close or connection.sock is None:
                break
            response = connection.next_response(self.request.method)
        raise http.client.HTTPException("the answer is of another request")

    def set_wait(self, seconds: float) -> None:
        """Sets the timeout of the next reads, in seconds."""
        connection = self._connection
        if connection is not None and connection.sock is not None:
            connection.sock.settimeout(max(MIN_TIMEOUT_SECONDS, seconds))

    def chunks(self) -> Iterator[bytes]:
        """Yields the body's bytes as they arrive; keeps the connection after a complete body.

        Raises:
            AnswerLost: the response broke off, or a read timed out.
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
        """Returns the complete body.

        Raises:
            AnswerLost: the body was not received completely.
        """
        return b"".join(self.chunks())

    def _finish(self) -> None:
        """Returns the connection to the pool if it is reusable, and closes it otherwise."""
        connection, response = self._connection, self.response
        assert connection is not None and response is not None
        response.close()  # reading a body with a length does not close it
        connection.apply_keep_alive(response.getheader("Keep-Alive"))
        is_open = not response.will_close and connection.sock is not None
        if not is_open or connection.max_idle_seconds <= 0:
            self.close()
            return
        with self._lock:
            self._connection = None
        self.kept_seconds = connection.max_idle_seconds
        self.connections.release(self.engine_id, connection)

    def _lost(self, error: Exception) -> AnswerLost:
        """Closes the connection and, after a timeout, the engine's suspect connections."""
        self.close()
        if isinstance(error, TimeoutError):
            self._close_suspects()
        return AnswerLost(f"{type(error).__name__}: {error}")

    def _close_suspects(self) -> None:
        if steady_seconds() - self.last_seen_at >= SUSPECT_SILENCE_SECONDS:
            self.connections.close_suspects(self.engine_id, self.last_seen_at)

    def abort(self, is_silent: bool = False) -> None:
        """Aborts the exchange from any thread; its reader sees the end of the connection.

        Args:
            is_silent: whether the reason is that the engine stopped sending. Suspect connections
                are then closed immediately, because the next attempt may acquire one before the
                reader of this exchange wakes.
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
        """Closes the connection unless it was returned to the pool."""
        with self._lock:
            connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()


def _check_headers(response: http.client.HTTPResponse) -> None:
    """Checks that a response's headers can be forwarded; folded lines, for one, can't.

    Raises:
        http.client.HTTPException: a header is malformed.
    """
    if response.msg.defects:  # the parser drops the lines after a malformed one
        raise http.client.HTTPException("the head of the answer is malformed")
    for name, value in response.getheaders():
        if not (is_header_name(name) and is_header_value(value)):
            raise http.client.HTTPException("a header of the answer is malformed")
