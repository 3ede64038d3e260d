"""Sends the answers of an engine in trouble on a connection, some of them late."""

import os
import random
import socket
import struct
import threading
import time
from contextlib import suppress

from troutswitch.standins.loopback import LoopbackHandler
from troutswitch.standins.unproved_answers import WireAnswer

LATE_SECONDS = (0.02, 0.4)
"""Range of the delay of a surplus answer that comes late: its connection may be idle by then, or be
in use again."""
RESET_SHARE = 0.5
"""Share of the cut answers after which the connection is reset instead of closed."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""`SO_LINGER` of zero seconds."""


class WireSender(LoopbackHandler):
    """Request handler on whose connection answers come late, or end with the connection.

    Whoever sends an answer holds `sending`, so that a late one comes before or after it.
    """

    def setup(self) -> None:
        """Prepares a connection."""
        super().setup()
        self.sending = threading.RLock()

    def reply(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Sends a complete answer."""
        with self.sending:
            super().reply(status, body, headers)

    def send_wire_answer(self, wire: WireAnswer, rng: random.Random, interval: float) -> None:
        """Sends what an engine in trouble sends for a request.

        Args:
            wire: what to send.
            rng: draws the delay of a late answer and how the connection ends.
            interval: seconds before each part.
        """
        delay, is_reset = rng.uniform(*LATE_SECONDS), rng.random() < RESET_SHARE
        with self.sending:
            for part in wire.parts:
                time.sleep(interval)
                self.wfile.write(part)
            if not wire.keeps_connection:
                self._end_connection(is_reset)
        if wire.late:
            timer = threading.Timer(delay, self._send_late, (wire.late,))
            timer.daemon = True
            timer.start()

    def _send_late(self, data: bytes) -> None:
        """Sends a surplus answer, unless the connection has ended meanwhile."""
        with self.sending, suppress(OSError):
            self.connection.sendall(data)

    def _end_connection(self, is_reset: bool) -> None:
        self.close_connection = True
        if is_reset:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            os.close(self.connection.detach())  # the server would shut it down in order before
