"""Client of inference engines: streams, cancellation and load."""

import http.client
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from troutswitch.common import Address
from troutswitch.json_values import MalformedJson, decode_json
from troutswitch.outcomes import AttemptOutcome
from troutswitch.runtime.bounded_connection import BoundedConnection
from troutswitch.standalone.decisions.events import EngineLoad
from troutswitch.standalone.engines.assembler import BrokenStream
from troutswitch.standalone.engines.protocol import (
    LEAVING_HEADER,
    LEAVING_YES,
    Cancellation,
    CompletionRequest,
    LoadReport,
    Piece,
    Refusal,
)
from troutswitch.standalone.runtime.http_client import HttpError, ThreadLocalConnections

CONNECT_TIMEOUT_SECONDS = 1.0
LOAD_TIMEOUT_SECONDS = 1.0
MAX_LINE_BYTES = 1 << 20
MAX_STREAM_BYTES = 1 << 26
"""Longest stream that is read: some 100 bytes for each of 500,000 tokens."""
DATA_PREFIX = b"data: "
ENGINE_CANCELLED = "cancelled"
"""Error of a piece that ends a cancelled stream."""


@dataclass(eq=False)
class StreamFailed(Exception):
    """A stream failed before its end; `kind` is how the attempt ended."""

    kind: AttemptOutcome
    reason: str
    leaving: bool = False
    retry_after: float | None = None


def attempt_outcome(error: BrokenStream) -> AttemptOutcome:
    """Returns how an attempt ended if its engine ended the stream with an error."""
    return AttemptOutcome.CANCELLED if error.reason == ENGINE_CANCELLED else AttemptOutcome.CUT


class _StreamConnection(BoundedConnection):
    """Requests HTTP/1.0, so that the response ends with the connection and is not chunked.

    Reading a token then takes one call less per layer. A cut stream is still detected, because the
    last piece has the length of the answer.
    """

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


class EngineStream:
    """One attempt on one engine, read piece by piece.

    Args:
        address: the engine.
        time_limit: time in seconds in which the stream must end, from the connection on.
    """

    def __init__(self, address: Address, time_limit: float) -> None:
        self._connection = _StreamConnection(address, CONNECT_TIMEOUT_SECONDS, MAX_STREAM_BYTES)
        self._time_limit = max(0.05, time_limit)
        self._response: http.client.HTTPResponse | None = None
        self.is_leaving = False

    def open(self, completion: CompletionRequest) -> None:
        """Sends the request and waits until the engine accepts or refuses it.

        Raises:
            StreamFailed: no connection, a refusal, or no answer.
        """
        body = msgspec.json.encode(completion)
        try:
            self._connection.connect()
        except (OSError, ValueError) as error:  # a host may be no address
            raise StreamFailed(AttemptOutcome.UNREACHABLE, str(error)) from error
        sock: socket.socket = self._connection.sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connection.limit_call(self._time_limit, self._time_limit)
        headers = {"Content-Type": "application/json"}
        try:
            self._connection.request("POST", "/v1/completions", body, headers)
            self._response = self._connection.getresponse()
            self.is_leaving = self._response.getheader(LEAVING_HEADER) == LEAVING_YES
            if self._response.status != 200:
                self._raise_refusal(self._response)
        except (OSError, http.client.HTTPException) as error:
            self.close()
            raise StreamFailed(AttemptOutcome.CUT, f"{type(error).__name__}: {error}") from error

    def _raise_refusal(self, response: http.client.HTTPResponse) -> None:
        body = self._connection.read_body(response)
        try:
            refusal = decode_json(body, Refusal)
        except MalformedJson:
            refusal = Refusal()
        self.close()
        if response.status in (400, 404, 413, 422):
            raise StreamFailed(
                AttemptOutcome.REJECTED, refusal.reason or f"status {response.status}"
            )
        self.is_leaving = self.is_leaving or refusal.leaving
        kind = AttemptOutcome.REFUSED if refusal.not_run else AttemptOutcome.CUT
        reason = refusal.reason or f"status {response.status}"
        raise StreamFailed(kind, reason, refusal.leaving, refusal.retry_after)

    def pieces(self) -> Iterator[list[Piece]]:
        """Yields the pieces of each read, up to the last piece.

        Raises:
            StreamFailed: the stream ended before its last piece, or was malformed.
        """
        assert self._response is not None
        rest = b""
        try:
            for data in self._connection.pieces(self._response):
                lines = (rest + data).split(b"\n")
                rest = lines.pop()
                pieces = [decode_json(line[6:], Piece) for line in lines if line[:6] == DATA_PREFIX]
                # Each piece is followed by a blank line; other lines are work for nothing.
                self._connection.spend(max(0, len(lines) - 2 * len(pieces)))
                if pieces:
                    yield pieces
                    if pieces[-1].done:
                        return
                if len(rest) > MAX_LINE_BYTES:
                    raise StreamFailed(AttemptOutcome.CUT, "a line is too long")
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise StreamFailed(AttemptOutcome.CUT, f"{type(error).__name__}: {error}") from error
        finally:
            self.close()
        raise StreamFailed(AttemptOutcome.CUT, "the stream broke off")

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()


class EngineClient:
    """Short calls to engines over persistent connections."""

    def __init__(self) -> None:
        self._pool = ThreadLocalConnections(LOAD_TIMEOUT_SECONDS)

    def load(self, address: Address) -> EngineLoad | None:
        """Returns the engine's load report, or None if it does not answer."""
        try:
            status, body = self._pool.call(address, "GET", "/v1/load")
            if status != 200:
                return None
            report = decode_json(body, LoadReport)
        except (HttpError, MalformedJson):
            return None
        return EngineLoad(*msgspec.structs.astuple(report))

    def cancel(self, address: Address, stream_id: str) -> bool:
        """Cancels a stream; returns whether the engine confirmed it."""
        try:
            status, body = self._pool.call(
                address, "DELETE", f"/v1/requests/{quote(stream_id, safe='')}"
            )
            return status == 200 and decode_json(body, Cancellation).cancelled
        except (HttpError, MalformedJson):
            return False
