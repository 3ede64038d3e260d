"""Where this daemon probably holds idle connections to engines.

Each end of an attempt tells for how long its connection may be reused, 0 if it was closed. A sent
request takes the newest connection of its engine, as the pool does
(`gateway/engines/connection_pool.py`). An engine may close a connection earlier, and the pool may
have closed some beyond its limit: a new connection is opened then, as without this knowledge. This
needs no events beyond the ends of attempts.
"""

from collections import deque
from collections.abc import Iterator

MAX_COUNTED = 6
"""Connections counted for one engine: the pool keeps no more."""


class IdleConnections:
    """Ends of the reuse of idle connections, by engine id, in seconds of this process's clock."""

    def __init__(self) -> None:
        self._until: dict[str, deque[float]] = {}
        """Engines in the order in which a connection was last kept."""

    def on_kept(self, now: float, engine_id: str, seconds: float) -> None:
        """Counts a connection that may be reused for some seconds."""
        if seconds <= 0:
            return
        until = self._until.pop(engine_id, None) or deque(maxlen=MAX_COUNTED)
        until.append(now + seconds)
        self._until[engine_id] = until
        self._drop_expired(now)

    def on_sent(self, engine_id: str) -> None:
        """Uncounts the connection that a request probably uses."""
        until = self._until.get(engine_id)
        if until:
            until.pop()

    def has(self, now: float, engine_id: str) -> bool:
        """Returns whether an idle connection to an engine may be reused."""
        until = self._until.get(engine_id)
        return until is not None and len(until) > 0 and until[-1] > now

    def newest(self, now: float) -> Iterator[str]:
        """Yields the engines with an idle connection, those that were used last first."""
        return (name for name in reversed(self._until) if self.has(now, name))

    def _drop_expired(self, now: float) -> None:
        """Drops engines from the oldest on, also those that have left the list."""
        while self._until:
            oldest = next(iter(self._until))
            if self.has(now, oldest):
                break
            del self._until[oldest]

    @property
    def engine_count(self) -> int:
        """Number of engines for which something is kept."""
        return len(self._until)
