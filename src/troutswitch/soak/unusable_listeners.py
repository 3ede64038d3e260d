"""Listeners that no program serves: one accepts connections and never answers, one resets them."""

import socket
import threading
from enum import Enum

from troutswitch.common import Address
from troutswitch.soak.proxy import BACKLOG, reset
from troutswitch.standins.ports import HOST

MAX_HELD_CONNECTIONS = 64
"""Connections that a silent listener holds; the oldest is reset when there are more."""


class ListenerKind(Enum):
    """What a listener does with a connection that it accepted."""

    SILENT = "silent"
    RESETTING = "resetting"


class UnusableListener:
    """Accepts connections on a loopback port, on a thread of its own."""

    def __init__(self, kind: ListenerKind) -> None:
        self._kind = kind
        self._held: list[socket.socket] = []
        self._listener = socket.create_server((HOST, 0), backlog=BACKLOG)
        self.address = Address(HOST, int(self._listener.getsockname()[1]))
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return  # closed
            if self._kind is ListenerKind.RESETTING:
                reset(connection)
                continue
            self._held.append(connection)
            if len(self._held) > MAX_HELD_CONNECTIONS:
                reset(self._held.pop(0))

    def close(self) -> None:
        """Stops listening, and resets the held connections."""
        reset(self._listener)  # wakes its thread
        self._thread.join()
        for connection in self._held:
            reset(connection)
