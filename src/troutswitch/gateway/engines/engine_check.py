"""Finds out whether an engine still takes connections, after one to it was lost."""

import socket

from troutswitch.common import Address
from troutswitch.decisions.crashes.messages import CheckEngine, EngineChecked, EngineFound

CHECK_SECONDS = 0.5
"""Longest wait for a connection: as long as requests wait for one."""


def check_engine(check: CheckEngine) -> EngineChecked:
    """Connects and closes; nothing is sent."""
    return EngineChecked(check.engine_id, _find(check.address))


def _find(address: Address) -> EngineFound:
    try:
        socket.create_connection(address, CHECK_SECONDS).close()
    except ConnectionRefusedError:
        return EngineFound.ENDED
    except OSError:
        return EngineFound.UNKNOWN
    return EngineFound.LISTENS
