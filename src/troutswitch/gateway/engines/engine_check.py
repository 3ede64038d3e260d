"""Finds out whether a server still takes connections, after one to it was lost."""

import socket

from troutswitch.common import Address
from troutswitch.decisions.crashes.messages import CheckServer, ServerChecked, ServerFound

CHECK_SECONDS = 0.5
"""Longest wait for a connection: as long as requests wait for one."""


def check_server(check: CheckServer) -> ServerChecked:
    """Connects and closes; nothing is sent."""
    return ServerChecked(check.server_id, _find(check.address))


def _find(address: Address) -> ServerFound:
    try:
        socket.create_connection(address, CHECK_SECONDS).close()
    except ConnectionRefusedError:
        return ServerFound.ENDED
    except OSError:
        return ServerFound.UNKNOWN
    return ServerFound.LISTENS
