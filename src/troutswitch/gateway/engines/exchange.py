"""One HTTP exchange with an engine: sends a request and reads its response.

An exchange owns its connection until the response is complete, then returns it to the pool
(`EngineConnections`). Responses are matched to the request by the request id; a surplus response
that precedes the expected one is read and dropped. Whatever an exchange returns is proved to be the
engine's answer (`answer_proof`); all else is an error.
"""

import http.client
import socket
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import AnswerFacts
from troutswitch.gateway.engines.answer_proof import Defect, answer_defect, has_marked_end
from troutswitch.gateway.engines.connection import EngineConnection, shut_down
from troutswitch.gateway.engines.connection_pool import ConnectionUse, EngineConnections
from troutswitch.gateway.memory.answer_buffer import AnswerBuffer, AnswerTooLong
from troutswitch.platform.requests import AnswerHead, read_head
from troutswitch.runtime.bounded_reads import ReadLimitExceeded
from troutswitch.runtime.response_body import body_pieces
from troutswitch.runtime.response_heads import MalformedHead, check_head

SUSPECT_SILENCE_SECONDS = 0.25
"""Minimum silence that makes other connections suspect. It is longer than the kernel's first
retransmission timeout (0.2 s), so that a single lost packet does not count, and shorter than the
minimum wait for a next event (0.3 s), so that every attempt abandoned for silence counts."""
MIN_TIMEOUT_SECONDS = 0.01
"""Minimum socket timeout; 0 would make the socket non-blocking."""
MAX_SURPLUS_RESPONSES = 3
MAX_SURPLUS_BYTES = 4 * 1024 * 1024
"""Most bytes of the bodies of surplus responses, which are dropped: each has 1 MiB at most."""
DISCARD_SECONDS = 0.1
"""Time in which the body of a refusal must arrive for its connection to be kept."""
INTERIM_STATUSES = range(102, 200)
"""Statuses of responses that precede the final one; `http.client` skips 100 itself. 101 would
answer a request for another protocol, which is never sent."""
MAX_INTERIM_RESPONSES = 8

Headers = list[tuple[str, str]]


class NotConnected(Exception):
    """The connection could not be made, so nothing was sent."""


class AnswerLost(Exception):
    """The request was sent, at least in part, but its response was not received completely."""


class AnswerUnproved(AnswerLost):
    """A response was received that is not proved to be the engine's answer to the request.

    `status` is the status that it states, 0 without one.
    """

    def __init__(self, defect: Defect, status: int = 0) -> None:
        super().__init__(f"unproved answer: {defect}" + (f", status {status}" if status else ""))
        self.defect = defect
        self.status = status


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as it is sent to an engine.

    `expects_stream` is whether a success must be a stream of events.
    """

    request_id: str
    method: str
    url: str
    headers: Headers
    body: bytes
    expects_stream: bool = False


@dataclass
class Exchange:
    """One exchange: call `open`, then `chunks`, `body` or `discard_body`, then `close`.

    All calls must come from one thread, except `abort`, which is thread-safe.
    """

    connections: EngineConnections
    engine_id: str
    address: Address
    request: OutgoingRequest
    use: ConnectionUse = ConnectionUse.ONLINE
    head: AnswerHead | None = None
    """The head of the proved response; None before it was read."""
    facts: AnswerFacts | None = None
    """How the response arrived; None before its head was read."""
    is_aborted: bool = False
    kept_seconds: float = 0.0
    """How long the connection may be reused after it was returned to the pool, else 0."""
    last_seen_at: float = field(default_factory=steady_seconds)
    """Time at which the sending began or the last bytes of the response arrived, in seconds of the
    process's steady clock."""
    _connection: EngineConnection | None = None
    _response: http.client.HTTPResponse | None = None
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def open(self, first_wait: float, time_limit: float = float("inf")) -> AnswerHead:
        """Sends the request and reads the head of its response.

        Args:
            first_wait: time for the request and the head of its response, in seconds.
            time_limit: time for the whole exchange, unless `set_progress_limit` changes it.

        Raises:
            NotConnected: nothing was sent.
            AnswerUnproved: the response is not proved to be the engine's.
            AnswerLost: the request was sent, but no head of its response was received.
        """
        connection = self._acquire_connection()
        self._connect(connection)
        if self.is_aborted:
            self.close()
            raise NotConnected("aborted before it was sent")
        wait = max(MIN_TIMEOUT_SECONDS, first_wait)
        begun_at = self.last_seen_at = steady_seconds()
        try:
            connection.sock.settimeout(wait)
            connection.begin_exchange(wait, begun_at + wait)
            self._send(connection)
            self.head = self._read_head(connection)
            connection.limit_reads(wait, begun_at + max(wait, time_limit))
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise self._lost(error) from error
        except AnswerUnproved:
            self.close()
            raise
        self.last_seen_at = steady_seconds()
        return self.head

    def _acquire_connection(self) -> EngineConnection:
        request_id = self.request.request_id
        try:
            connection = self.connections.acquire(
                self.engine_id, self.address, request_id, self.use
            )
        except http.client.InvalidURL as error:
            raise NotConnected(f"{type(error).__name__}: {error}") from error
        connection.add_request(request_id)
        with self._lock:
            self._connection = connection
        return connection

    def _connect(self, connection: EngineConnection) -> None:
        if connection.sock is not None:
            return
        try:
            connection.connect()
        except Exception as error:  # resolving a host raises errors of many types
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
            connection.must_close = True  # its response may be readable

    def _read_head(self, connection: EngineConnection) -> AnswerHead:
        """Reads heads until that of this request's response; drops surplus responses.

        Raises:
            AnswerUnproved: a head is malformed, or does not begin a proved answer.
        """
        method = self.request.method
        response = connection.getresponse()
        surplus_bytes = 0
        for surplus in range(MAX_SURPLUS_RESPONSES + 1):
            response = self._skip_interim(connection, response)
            _check_head(response)
            head = read_head(response, method)
            self._response = response
            if head.request_id == self.request.request_id:
                self._check_proof(connection, head, surplus)
                return head
            connection.must_close = True
            self._set_facts(connection, head, surplus + 1, Defect.OTHER_REQUEST)
            if response.will_close or not has_marked_end(head):
                break
            surplus_bytes += self._drop_surplus(head, MAX_SURPLUS_BYTES - surplus_bytes)
            response.close()
            response = connection.next_response(method)
        raise AnswerUnproved(Defect.OTHER_REQUEST)

    def _drop_surplus(self, head: AnswerHead, max_bytes: int) -> int:
        """Reads a surplus response's body and drops it; returns its size in bytes.

        Raises:
            ReadLimitExceeded: it is longer than `max_bytes`.
        """
        size = 0
        for data in self._pieces(head):
            size += len(data)
            if size > max_bytes:
                raise ReadLimitExceeded("the responses to other requests are too long")
        return size

    def _skip_interim(
        self, connection: EngineConnection, response: http.client.HTTPResponse
    ) -> http.client.HTTPResponse:
        """Returns the first response that is not an interim one."""
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            if response.status not in INTERIM_STATUSES:
                return response
            response.close()
            response = connection.next_response(self.request.method)
        raise AnswerUnproved(Defect.INTERIM)

    def _check_proof(self, connection: EngineConnection, head: AnswerHead, surplus: int) -> None:
        defect = answer_defect(head, expects_stream=self.request.expects_stream)
        self._set_facts(connection, head, surplus, defect)
        if defect is not None:
            raise AnswerUnproved(defect, head.status)

    def _set_facts(
        self, connection: EngineConnection, head: AnswerHead, surplus: int, defect: Defect | None
    ) -> None:
        uses_before = len(connection.request_ids) - 1
        self.facts = AnswerFacts(head.is_signed, head.framing, uses_before, surplus, defect or "")

    def set_wait(self, seconds: float) -> None:
        """Sets the timeout of the next reads, in seconds."""
        connection = self._connection
        if connection is not None:
            connection.limit_reads(max(MIN_TIMEOUT_SECONDS, seconds))

    def set_progress_limit(self, seconds: float) -> None:
        """Ends the exchange unless this is called again in time, whatever bytes arrive.

        Args:
            seconds: the time from now on.
        """
        connection = self._connection
        if connection is not None:
            wait = max(MIN_TIMEOUT_SECONDS, seconds)
            connection.limit_reads(wait, steady_seconds() + wait)

    def _pieces(self, head: AnswerHead) -> Iterator[bytes]:
        connection = self._connection
        if connection is None or connection.reader is None:
            raise http.client.HTTPException("the connection was closed")
        return body_pieces(connection.reader, head.framing, head.length)

    def chunks(self) -> Iterator[bytes]:
        """Yields the body's bytes as they arrive; keeps the connection after a complete body.

        Raises:
            AnswerUnproved: the body ended before its end, or is malformed.
            AnswerLost: the connection failed, or a read timed out.
        """
        assert self.head is not None
        try:
            for data in self._pieces(self.head):
                self.last_seen_at = steady_seconds()
                yield data
        except http.client.HTTPException as error:
            self.close()
            if self.is_aborted:
                raise AnswerLost("aborted") from error
            if self.facts is not None:
                self.facts = replace(self.facts, defect=Defect.TRUNCATED)
            raise AnswerUnproved(Defect.TRUNCATED, self.head.status) from error
        except OSError as error:
            raise self._lost(error) from error
        if self.is_aborted:
            self.close()
            raise AnswerLost("aborted")
        self._finish()

    def body(self, buffer: AnswerBuffer | None = None) -> bytes:
        """Returns the complete body.

        Args:
            buffer: where it is counted while it is read; it is released after a failure.

        Raises:
            AnswerLost: the body was not received completely, or is too long.
        """
        buffer = buffer or AnswerBuffer()
        try:
            for data in self.chunks():
                buffer.append(data)
        except AnswerTooLong as error:
            buffer.release()
            raise self._lost(error) from error
        except AnswerLost:
            buffer.release()
            raise
        return buffer.take()

    def discard_body(self) -> None:
        """Drops the body of a response whose head says all; closes the connection if it is late.

        What is wrong with the body is no defect of the answer.
        """
        connection, facts = self._connection, self.facts
        assert self.head is not None and connection is not None
        ends_at = steady_seconds() + DISCARD_SECONDS
        connection.limit_reads(DISCARD_SECONDS, ends_at)
        try:
            for _ in self.chunks():
                continue
        except AnswerLost:
            self.facts = facts
            self.close()

    def _finish(self) -> None:
        """Returns the connection to the pool if it is reusable, and closes it otherwise."""
        connection, response = self._connection, self._response
        assert connection is not None and response is not None
        response.close()  # its body was not read through it
        connection.apply_keep_alive(response.getheader("Keep-Alive"))
        if response.will_close or connection.sock is None or not connection.may_be_kept():
            self.close()
            return
        connection.limit_reads(MIN_TIMEOUT_SECONDS, float("inf"))
        with self._lock:
            self._connection = None
        self.kept_seconds = connection.max_idle_seconds
        self.connections.release(self.engine_id, connection)

    def _lost(self, error: Exception) -> AnswerLost:
        """Closes the connection and, after a timeout, the engine's suspect connections."""
        connection = self._connection
        if connection is not None:
            self.last_seen_at = max(self.last_seen_at, connection.received_at)
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


def _check_head(response: http.client.HTTPResponse) -> None:
    try:
        check_head(response)
    except MalformedHead as error:
        raise AnswerUnproved(Defect.MALFORMED_HEAD, response.status) from error
