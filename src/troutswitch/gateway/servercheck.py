"""Finds out whether a server still takes connections, after one to it was lost."""

import socket

from troutswitch.decisions.crashes.messages import CheckServer, ServerChecked, ServerFound

CHECK_SECONDS = 0.5
"""Longest wait for a connection: as long as requests wait for one."""


def check_server(check: CheckServer) -> ServerChecked:
    """Connects and closes again; nothing is sent."""
    address = (check.address.host, check.address.port)
    try:
        socket.create_connection(address, CHECK_SECONDS).close()
    except ConnectionRefusedError:
        return ServerChecked(check.server_id, ServerFound.ENDED)
    except OSError:
        return ServerChecked(check.server_id, ServerFound.UNKNOWN)
    return ServerChecked(check.server_id, ServerFound.ALIVE)
