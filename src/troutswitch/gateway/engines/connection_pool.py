"""The idle connections to engines, for reuse by any thread.

It owns a connection from `keep` to `take`. A connection that falls silent makes the others of its
engine suspect that brought nothing since: these are closed before they are used, not after each
cost a request its whole time-out.
"""

import threading
from collections import deque
from collections.abc import Callable

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.gateway.engines.connection import EngineConnection

MAX_IDLE_CONNECTIONS_PER_ENGINE = 6


def _ignore(engine_id: str, closed: int) -> None:
    """Takes no note of closed connections."""


class EngineConnections:
    """Idle connections by engine id.

    Args:
        on_suspects_closed: called with an engine's id and how many of its connections were closed
            because another one had fallen silent.
    """

    def __init__(self, on_suspects_closed: Callable[[str, int], None] = _ignore) -> None:
        self._on_suspects_closed = on_suspects_closed
        self._idle: dict[str, deque[EngineConnection]] = {}
        self._lock = threading.Lock()

    def acquire(self, engine_id: str, address: Address, request_id: str) -> EngineConnection:
        """Returns an idle connection that may be reused, or a new one not yet connected."""
        while True:
            with self._lock:
                idle = self._idle.get(engine_id)
                connection = idle.pop() if idle else None
            if connection is None:
                return EngineConnection(address)
            if connection.is_reusable(request_id):
                return connection
            connection.close()

    def release(self, engine_id: str, connection: EngineConnection) -> None:
        """Keeps a connection whose answer was read whole."""
        connection.idle_since = steady_seconds()
        with self._lock:
            idle = self._idle.setdefault(engine_id, deque())
            if len(idle) < MAX_IDLE_CONNECTIONS_PER_ENGINE:
                idle.append(connection)
                return
        connection.close()

    def close_suspects(self, engine_id: str, silent_since: float) -> None:
        """Closes an engine's idle connections that brought nothing since another fell silent.

        `silent_since` is a time of this process's clock, in seconds.
        """
        with self._lock:
            idle = self._idle.pop(engine_id, deque())
            suspects = [c for c in idle if c.idle_since <= silent_since]
            self._idle[engine_id] = deque(c for c in idle if c.idle_since > silent_since)
        for connection in suspects:
            connection.close()
        if suspects:
            self._on_suspects_closed(engine_id, len(suspects))

    def remove_engines(self, engine_ids: list[str]) -> None:
        """Closes the idle connections of engines that left."""
        with self._lock:
            dropped = [self._idle.pop(engine_id, deque()) for engine_id in engine_ids]
        for connections in dropped:
            for connection in connections:
                connection.close()
