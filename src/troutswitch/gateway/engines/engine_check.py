"""Checks whether an engine still accepts connections, after one of its responses was lost.

The check only connects to the engine's port. It sends no request, so nothing is executed.
"""

import socket

from troutswitch.common import Address
from troutswitch.decisions.crashes.messages import CheckEngine, EngineChecked, EngineCheckResult

CHECK_TIMEOUT_SECONDS = 0.5
"""Connect timeout, the same as that of requests."""


def check_engine(check: CheckEngine) -> EngineChecked:
    """Connects to an engine and closes the connection, within `CHECK_TIMEOUT_SECONDS`."""
    return EngineChecked(check.engine_id, _connect(check.address))


def _connect(address: Address) -> EngineCheckResult:
    try:
        socket.create_connection(address, CHECK_TIMEOUT_SECONDS).close()
    except ConnectionRefusedError:
        return EngineCheckResult.ENDED
    except Exception:  # resolving a host raises errors of many types
        return EngineCheckResult.UNKNOWN
    return EngineCheckResult.LISTENS
