"""An HTTP client connection whose answers are bounded in time, size and work.

This module owns no state beyond its connections. `runtime/bounded_reads.py` has the limits.
"""

import http.client
import io
import socket
from typing import Any

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.runtime.bounded_reads import BoundedReads, ReadLimitExceeded, ReadLimits

READ_BYTES = 1 << 16
MAX_HEAD_BYTES = 1 << 16
"""Largest head of an answer, with the interim answers (1xx) before it."""


class _PacedReader(io.BufferedReader):
    """A buffered reader whose lines count as steps of work: those of heads, chunks and trailers."""

    def __init__(self, connected: socket.socket, limits: ReadLimits) -> None:
        super().__init__(BoundedReads(connected, limits), READ_BYTES)
        self._pace = limits.pace

    def readline(self, size: int | None = -1, /) -> bytes:
        """Reads a line."""
        self._pace.spend(1)
        return super().readline(size)


class _BoundedSource:
    """Adapter that passes bounded reads to `HTTPResponse`, which expects a socket."""

    def __init__(self, connected: socket.socket, limits: ReadLimits) -> None:
        self._socket = connected
        self._limits = limits

    def makefile(self, mode: str) -> io.BufferedReader:
        """Returns a buffered reader."""
        return _PacedReader(self._socket, self._limits)


class BoundedConnection(http.client.HTTPConnection):
    """A connection; `limit_call` sets the limits of the next answer.

    Args:
        address: the peer.
        connect_timeout: timeout in seconds of connecting.
        max_body_bytes: size of the largest body that is read.
    """

    def __init__(self, address: Address, connect_timeout: float, max_body_bytes: int) -> None:
        super().__init__(address.host, address.port, timeout=connect_timeout)
        self._max_body_bytes = max_body_bytes
        self._limits = ReadLimits(connect_timeout, steady_seconds() + connect_timeout, 0)
        self.response_class = self._make_response  # type: ignore[assignment]

    def limit_call(self, wait_seconds: float, total_seconds: float) -> None:
        """Sets the limits of the next call; the connection must be connected.

        Args:
            wait_seconds: timeout of each send and of each read.
            total_seconds: time after which the answer must be complete.
        """
        self.sock.settimeout(wait_seconds)
        self._limits = ReadLimits(wait_seconds, steady_seconds() + total_seconds, 0)

    def spend(self, steps: int) -> None:
        """Counts steps of decoding an answer; too many for its bytes delay the next read."""
        self._limits.pace.spend(steps)

    def getresponse(self) -> http.client.HTTPResponse:
        """Reads the head of an answer.

        Raises:
            OSError, http.client.HTTPException: there was none within the limits.
        """
        limits = self._limits
        limits.bytes_left = MAX_HEAD_BYTES
        response = super().getresponse()
        limits.bytes_left = self._max_body_bytes
        return response

    def read_body(self, response: http.client.HTTPResponse) -> bytes:
        """Reads a body in parts; a length that the peer announces reserves no memory.

        Raises:
            OSError, http.client.HTTPException: it was not received within the limits.
        """
        parts: list[bytes] = []
        size = 0
        while part := response.read(READ_BYTES):
            parts.append(part)
            size += len(part)
            if size > self._max_body_bytes:
                raise ReadLimitExceeded("the answer is too long")
        if response.length:
            raise http.client.IncompleteRead(b"", response.length)
        return b"".join(parts)

    def _make_response(self, sock: Any, **options: Any) -> http.client.HTTPResponse:
        source = _BoundedSource(sock, self._limits)
        return http.client.HTTPResponse(source, **options)  # type: ignore[arg-type]
