"""Checks whether an engine still takes connections, after an answer of it was lost.

It relies on the engine's port alone: nothing is sent, so nothing runs.
"""

import socket

from troutswitch.common import Address
from troutswitch.decisions.crashes.messages import CheckEngine, EngineChecked, EngineFound

CHECK_SECONDS = 0.5
"""Longest wait for a connection: as long as requests wait for one."""


def check_engine(check: CheckEngine) -> EngineChecked:
    """Connects to an engine and closes at once; blocks for `CHECK_SECONDS` at most."""
    return EngineChecked(check.engine_id, _connect(check.address))


def _connect(address: Address) -> EngineFound:
    try:
        socket.create_connection(address, CHECK_SECONDS).close()
    except ConnectionRefusedError:
        return EngineFound.ENDED
    except OSError:
        return EngineFound.UNKNOWN
    return EngineFound.LISTENS
