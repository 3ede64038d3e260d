"""Finds out whether a server still takes connections, after one to it was lost."""

import socket

from troutswitch.common import Address
from troutswitch.decisions.crashes.messages import CheckServer, ServerChecked, ServerFound

CHECK_SECONDS = 0.5
"""Longest wait for a connection: as long as requests wait for one."""
CLOSE_SECONDS = 0.03
"""Time for which a new connection is watched. One that is closed at once tells nothing: a proxy
before a server that ended does so, and a server that has too many connections."""


def check_server(check: CheckServer) -> ServerChecked:
    """Connects, waits for a close, and closes; nothing is sent."""
    return ServerChecked(check.server_id, _find(check.address))


def _find(address: Address) -> ServerFound:
    try:
        with socket.create_connection(address, CHECK_SECONDS) as connection:
            connection.settimeout(CLOSE_SECONDS)
            return _watch(connection)
    except ConnectionRefusedError:
        return ServerFound.ENDED
    except OSError:
        return ServerFound.UNKNOWN


def _watch(connection: socket.socket) -> ServerFound:
    try:
        closed = connection.recv(1) == b""
    except TimeoutError:
        return ServerFound.ALIVE
    return ServerFound.UNKNOWN if closed else ServerFound.ALIVE
