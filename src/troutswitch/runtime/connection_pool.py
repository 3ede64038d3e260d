"""A thread-safe pool of HTTP connections to one peer.

The pool owns the connections, both idle and in use. The caller must hand each one back: with
`release` after a complete response, or with `discard` after a failure.

If a connection that has received a response before times out, the network may have dropped it
silently, and with it all connections that have received nothing since. The pool closes those that
are idle, and shuts down those that wait in a long poll, so that their calls are repeated on new
connections. A timeout on a connection that never received a response only shows that the peer is
slow or unreachable, and affects no other connection.
"""

import socket
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.runtime.bounded_connection import BoundedConnection
from troutswitch.runtime.readiness import is_readable
from troutswitch.runtime.silence import bound_silence

CONNECT_TIMEOUT_SECONDS = 0.5
MAX_IDLE_CONNECTIONS = 8


@dataclass
class PooledConnection:
    """One connection.

    `last_seen_at` is the time at which its last response was complete, or negative infinity if
    there was none yet. `sent_at` is the time at which the call in progress was sent.
    `is_long_poll` is whether the peer may delay the response until data is available. Times are
    seconds of the process's steady clock.
    """

    connection: BoundedConnection
    last_seen_at: float = float("-inf")
    sent_at: float = field(default_factory=steady_seconds)
    is_long_poll: bool = False

    @property
    def has_answered(self) -> bool:
        """Whether a response has been received on it."""
        return self.last_seen_at > float("-inf")

    def connect(self) -> None:
        """Connects unless it is connected already.

        Raises:
            OSError: the connection could not be made.
        """
        if self.connection.sock is not None:
            return
        self.connection.connect()
        sock: Any = self.connection.sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        bound_silence(sock)

    def is_usable(self) -> bool:
        """Returns whether an idle connection has neither been closed nor received surplus bytes."""
        return not is_readable(self.connection.sock)


def _ignore(closed: int) -> None:
    """Ignores closed connections."""


class ConnectionPool:
    """The connections to one peer.

    Args:
        address: address of the peer.
        on_suspects_closed: called with the number of connections that were closed because another
            one timed out.
        max_body_bytes: size of the largest body that is read.
    """

    def __init__(
        self,
        address: Address,
        on_suspects_closed: Callable[[int], None] = _ignore,
        *,
        max_body_bytes: int,
    ) -> None:
        self._address = address
        self._max_body_bytes = max_body_bytes
        self._on_suspects_closed = on_suspects_closed
        self._idle: deque[PooledConnection] = deque()
        self._in_use: list[PooledConnection] = []
        self._lock = threading.Lock()

    def acquire(self, is_long_poll: bool = False, is_new: bool = False) -> PooledConnection:
        """Returns a usable idle connection, or a new one that is not connected yet.

        Args:
            is_long_poll: whether the peer may delay the response until data is available.
            is_new: whether to return a new connection even if an idle one is usable.
        """
        while True:
            with self._lock:
                pooled = self._idle.pop() if self._idle and not is_new else self._new()
            if pooled.connection.sock is None or pooled.is_usable():
                break
            pooled.connection.close()
        pooled.sent_at = steady_seconds()
        pooled.is_long_poll = is_long_poll
        with self._lock:
            self._in_use.append(pooled)
        return pooled

    def _new(self) -> PooledConnection:
        return PooledConnection(
            BoundedConnection(self._address, CONNECT_TIMEOUT_SECONDS, self._max_body_bytes)
        )

    def release(self, pooled: PooledConnection) -> None:
        """Takes back a connection after its response was read completely."""
        with self._lock:
            self._in_use.remove(pooled)
            pooled.last_seen_at = steady_seconds()
            if pooled.connection.sock is not None and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(pooled)
                return
        pooled.connection.close()

    def discard(self, pooled: PooledConnection, error: Exception) -> None:
        """Closes a connection that failed and, after a timeout, the suspect connections."""
        with self._lock:
            self._in_use.remove(pooled)
        pooled.connection.close()
        if pooled.has_answered and isinstance(error, TimeoutError):
            self._close_suspects(pooled.sent_at)

    def _close_suspects(self, silent_since: float) -> None:
        """Closes the connections that have received nothing since another one fell silent."""
        with self._lock:
            suspects = [c for c in self._idle if c.last_seen_at <= silent_since]
            self._idle = deque(c for c in self._idle if c.last_seen_at > silent_since)
            waiting = [
                c
                for c in self._in_use
                if c.is_long_poll and c.has_answered and c.sent_at <= silent_since
            ]
            for pooled in waiting:
                _shut_down(pooled.connection.sock)
        for pooled in suspects:
            pooled.connection.close()
        if suspects or waiting:
            self._on_suspects_closed(len(suspects) + len(waiting))


def _shut_down(sock: socket.socket | None) -> None:
    """Shuts a connection down while a thread reads it; that thread then closes it."""
    try:
        if sock is not None:
            sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return  # already closed
