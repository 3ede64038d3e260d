"""Pool of the idle connections to engines, shared by all threads.

The pool owns a connection from `release` to `acquire`. When a connection times out, the engine's
idle connections that have received nothing since are suspect. The pool closes them, because
otherwise each of them could cost another request its whole timeout.
"""

import threading
from collections import deque
from collections.abc import Callable
from enum import StrEnum

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.decisions.idle_connections import MAX_IDLE_CONNECTIONS_PER_ENGINE
from troutswitch.gateway.engines.connection import EngineConnection


class ConnectionUse(StrEnum):
    """What a connection to an engine is used for, as a label of metrics."""

    ONLINE = "online"
    ITEMS = "items"


def _ignore(engine_id: str, closed: int) -> None:
    """Ignores closed connections."""


def _ignore_use(use: ConnectionUse, is_new: bool) -> None:
    """Ignores the uses of connections."""


class EngineConnections:
    """Idle connections by engine id.

    Args:
        on_suspects_closed: called with an engine's id and the number of its idle connections that
            were closed because another connection timed out.
        on_acquired: called, on any thread, with the use of a connection and whether it is new.
    """

    def __init__(
        self,
        on_suspects_closed: Callable[[str, int], None] = _ignore,
        on_acquired: Callable[[ConnectionUse, bool], None] = _ignore_use,
    ) -> None:
        self._on_acquired = on_acquired
        self._on_suspects_closed = on_suspects_closed
        self._idle: dict[str, deque[EngineConnection]] = {}
        self._limits: dict[str, int] = {}
        """Limits by engine id; other engines have `MAX_IDLE_CONNECTIONS_PER_ENGINE`."""
        self._lock = threading.Lock()

    def acquire(
        self,
        engine_id: str,
        address: Address,
        request_id: str,
        use: ConnectionUse = ConnectionUse.ONLINE,
    ) -> EngineConnection:
        """Returns a reusable idle connection, or a new one that is not connected yet."""
        connection = self._take_reusable(engine_id, request_id)
        self._on_acquired(use, connection is None)
        return connection or EngineConnection(address)

    def _take_reusable(self, engine_id: str, request_id: str) -> EngineConnection | None:
        while True:
            with self._lock:
                idle = self._idle.get(engine_id)
                connection = idle.pop() if idle else None
            if connection is None or connection.is_reusable(request_id):
                return connection
            connection.close()

    def release(self, engine_id: str, connection: EngineConnection) -> None:
        """Returns a connection to the pool after its response was read completely."""
        connection.idle_since = steady_seconds()
        with self._lock:
            idle = self._idle.setdefault(engine_id, deque())
            if len(idle) < self._limit(engine_id):
                idle.append(connection)
                return
        connection.close()

    def _limit(self, engine_id: str) -> int:
        return self._limits.get(engine_id, MAX_IDLE_CONNECTIONS_PER_ENGINE)

    def limit_idle(self, limits: dict[str, int]) -> None:
        """Replaces the limits by engine id, and closes the connections beyond, oldest first."""
        surplus: list[EngineConnection] = []
        with self._lock:
            self._limits = limits
            for engine_id, idle in self._idle.items():
                while len(idle) > self._limit(engine_id):
                    surplus.append(idle.popleft())
        for connection in surplus:
            connection.close()

    def close_suspects(self, engine_id: str, silent_since: float) -> None:
        """Closes an engine's idle connections that have received nothing since another timed out.

        Args:
            engine_id: the engine.
            silent_since: time at which the silence began, in seconds of the process's steady clock.
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
        """Closes the idle connections to engines that have left the fleet."""
        with self._lock:
            dropped = [self._idle.pop(engine_id, deque()) for engine_id in engine_ids]
        for connections in dropped:
            for connection in connections:
                connection.close()
