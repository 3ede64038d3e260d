"""Kept HTTP connections to one peer, by any number of threads.

A connection that timed out lets all be doubted that brought nothing since: idle ones are
closed, and calls that wait at the peer for something to happen are ended, so that they are
made again on a fresh connection. A time-out on a connection that never answered says only
that the peer is slow or away, and doubts nothing.
"""

import http.client
import select
import socket
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.runtime.silence import bound_silence

CONNECT_SECONDS = 0.5
IDLE_CONNECTIONS = 8


@dataclass
class KeptConnection:
    """One connection; `last_seen_at` is when its last answer was whole, if it has answered."""

    connection: http.client.HTTPConnection
    last_seen_at: float = float("-inf")
    sent_at: float = field(default_factory=steady_seconds)
    waits: bool = False

    @property
    def has_answered(self) -> bool:
        """Whether an answer came on it before."""
        return self.last_seen_at > float("-inf")

    def connect(self) -> None:
        """Connects if it is not connected.

        Raises:
            OSError: no connection was made.
        """
        if self.connection.sock is not None:
            return
        self.connection.connect()
        sock: Any = self.connection.sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        bound_silence(sock)

    def is_sound(self) -> bool:
        """Returns whether no end and no bytes wait on an idle connection."""
        return not select.select([self.connection.sock], [], [], 0)[0]


def _ignore_doubt(closed: int) -> None:
    """Takes no note of closed connections."""


class KeptConnections:
    """The connections to one peer.

    `on_doubt` is called with how many connections were closed since another fell silent.

    Args:
        address: the peer's.
    """

    def __init__(self, address: Address) -> None:
        self.on_doubt: Callable[[int], None] = _ignore_doubt
        self._address = address
        self._idle: deque[KeptConnection] = deque()
        self._in_use: list[KeptConnection] = []
        self._lock = threading.Lock()

    def take(self, waits: bool = False) -> KeptConnection:
        """Returns an idle connection that is sound, or a new one not yet connected.

        `waits` says that the peer may hold the answer back until something happens.
        """
        while True:
            with self._lock:
                held = self._idle.pop() if self._idle else self._new()
            if held.connection.sock is None or held.is_sound():
                break
            held.connection.close()
        held.sent_at = steady_seconds()
        held.waits = waits
        with self._lock:
            self._in_use.append(held)
        return held

    def _new(self) -> KeptConnection:
        return KeptConnection(
            http.client.HTTPConnection(
                self._address.host, self._address.port, timeout=CONNECT_SECONDS
            )
        )

    def keep(self, held: KeptConnection) -> None:
        """Keeps a connection whose answer was read whole."""
        with self._lock:
            self._in_use.remove(held)
            held.last_seen_at = steady_seconds()
            if held.connection.sock is not None and len(self._idle) < IDLE_CONNECTIONS:
                self._idle.append(held)
                return
        held.connection.close()

    def drop(self, held: KeptConnection, error: Exception) -> None:
        """Closes a connection that failed; a time-out on a kept one lets others be doubted."""
        with self._lock:
            self._in_use.remove(held)
        held.connection.close()
        if held.has_answered and isinstance(error, TimeoutError):
            self._doubt(held.sent_at)

    def _doubt(self, silent_since: float) -> None:
        with self._lock:
            doubted = [k for k in self._idle if k.last_seen_at <= silent_since]
            self._idle = deque(k for k in self._idle if k.last_seen_at > silent_since)
            waiting = [
                k for k in self._in_use if k.waits and k.has_answered and k.sent_at <= silent_since
            ]
            for held in waiting:
                _shut_down(held.connection.sock)
        for held in doubted:
            held.connection.close()
        if doubted or waiting:
            self.on_doubt(len(doubted) + len(waiting))


def _shut_down(sock: socket.socket | None) -> None:
    """Ends a connection under its reader, which then closes it."""
    try:
        if sock is not None:
            sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return  # it ended already
