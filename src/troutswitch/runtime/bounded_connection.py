"""An HTTP client connection whose answers are bounded in time, size and work.

This module owns no state beyond its connections. `runtime/bounded_reads.py` has the limits.
"""

import http.client
import socket
from collections.abc import Iterator
from typing import Any

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.runtime.bounded_reads import BoundedReads, ReadLimitExceeded, ReadLimits
from troutswitch.runtime.line_reader import LineReader
from troutswitch.runtime.response_body import body_pieces, pieces_until_closed
from troutswitch.runtime.response_heads import check_head, read_framing
from troutswitch.wire_values import Framing

MAX_HEAD_BYTES = 1 << 16
"""Largest head of an answer, with the interim answers (1xx) before it."""


class _BoundedSource:
    """Adapter that passes bounded reads to `HTTPResponse`, which expects a socket."""

    def __init__(self, connected: socket.socket, limits: ReadLimits) -> None:
        self._socket = connected
        self._limits = limits

    def makefile(self, mode: str) -> LineReader:
        """Returns a buffered reader."""
        return LineReader(BoundedReads(self._socket, self._limits), self._limits.pace)


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
            OSError, http.client.HTTPException: there was none within the limits, or it was cut or
                malformed.
        """
        limits = self._limits
        limits.bytes_left = MAX_HEAD_BYTES
        response = super().getresponse()
        check_head(response)
        limits.bytes_left = self._max_body_bytes
        return response

    def pieces(
        self, response: http.client.HTTPResponse, *, must_have_marked_end: bool = False
    ) -> Iterator[bytes]:
        """Yields a body's bytes as they arrive.

        Args:
            response: the answer whose head was read; to a request of another method than HEAD.
            must_have_marked_end: whether a body that ends with the connection is lost, as its end
                may be a cut. Callers whose content shows where it ends need no mark.

        Raises:
            OSError, http.client.HTTPException: it was not received within the limits, or is cut.
        """
        reader: Any = response.fp
        framing, length = read_framing(response, "GET")
        if framing is Framing.CLOSE and not must_have_marked_end:
            yield from pieces_until_closed(reader)
        else:
            yield from body_pieces(reader, framing, length)
        response.close()  # the connection takes no further request before

    def read_body(
        self, response: http.client.HTTPResponse, *, must_have_marked_end: bool = False
    ) -> bytes:
        """Reads a body in parts, as `pieces` does; an announced length reserves no memory.

        Raises:
            OSError, http.client.HTTPException: it was not received within the limits, or is cut.
        """
        parts: list[bytes] = []
        size = 0
        for part in self.pieces(response, must_have_marked_end=must_have_marked_end):
            parts.append(part)
            size += len(part)
            if size > self._max_body_bytes:
                raise ReadLimitExceeded("the answer is too long")
        return b"".join(parts)

    def _make_response(self, sock: Any, **options: Any) -> http.client.HTTPResponse:
        source = _BoundedSource(sock, self._limits)
        return http.client.HTTPResponse(source, **options)  # type: ignore[arg-type]
