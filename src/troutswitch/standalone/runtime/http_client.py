"""HTTP calls over persistent connections, one set per thread."""

import http.client
import threading

from troutswitch.common import Address
from troutswitch.runtime.bounded_connection import BoundedConnection
from troutswitch.runtime.http import JSON_TYPE
from troutswitch.runtime.readiness import is_readable

MAX_RESPONSE_BYTES = 1 << 26
"""Largest body of an answer: a page of the log, or a list of machines."""
TRANSFER_SECONDS = 5.0
"""Time for an answer beyond its time-out, which bounds each wait for bytes."""


class HttpError(Exception):
    """A call was not answered; `was_sent` is whether it may have run."""

    def __init__(self, reason: str, was_sent: bool) -> None:
        super().__init__(reason)
        self.was_sent = was_sent


class ThreadLocalConnections:
    """Persistent connections, a separate set for each thread.

    Args:
        timeout_seconds: timeout of connecting, and of each wait for bytes.
    """

    def __init__(self, timeout_seconds: float) -> None:
        self._timeout = timeout_seconds
        self._local = threading.local()

    def call(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes | None = None,
        content_type: str = JSON_TYPE,
    ) -> tuple[int, bytes]:
        """Makes a call and returns status and body.

        Raises:
            HttpError: no answer was received; `was_sent` is False only if no connection was made.
        """
        connection = self._connection(address)
        _close_if_readable(connection)
        headers = {"Content-Type": content_type} if body is not None else {}
        was_sent = connection.sock is not None
        try:
            if connection.sock is None:
                connection.connect()
            was_sent = True
            connection.limit_call(self._timeout, self._timeout + TRANSFER_SECONDS)
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, connection.read_body(response)
        except (OSError, http.client.HTTPException, ValueError) as error:
            connection.close()
            raise HttpError(f"{type(error).__name__}: {error}", was_sent) from error

    def _connection(self, address: Address) -> BoundedConnection:
        connections: dict[Address, BoundedConnection] | None
        connections = getattr(self._local, "connections", None)
        if connections is None:
            connections = {}
            self._local.connections = connections
        if address not in connections:
            connections[address] = BoundedConnection(address, self._timeout, MAX_RESPONSE_BYTES)
        return connections[address]


def _close_if_readable(connection: http.client.HTTPConnection) -> None:
    """Closes an idle connection that was closed, or that holds bytes of no call in progress.

    Nothing in an answer names its call, so a surplus one would pass for that of the next call.
    """
    if connection.sock is not None and is_readable(connection.sock):
        connection.close()
