"""A loopback proxy whose connections go silent for good, without a reset.

A silent connection stays open: bytes of either side are neither read nor passed on. New
connections work, unless a byte count at which they fall silent is set before they are made.
"""

import socket
import threading

from troutswitch.common import Address

READ_BYTES = 4096


class _Pair:
    """One connection through the proxy."""

    def __init__(
        self, near: socket.socket, far: socket.socket, up_most: int | None, down_most: int | None
    ) -> None:
        self.is_silent = False
        self.near, self.far = near, far
        self._ways = ((near, far, up_most), (far, near, down_most))

    def start(self) -> None:
        for way in self._ways:
            threading.Thread(target=self._pump, args=way, daemon=True).start()

    def _pump(self, source: socket.socket, target: socket.socket, most: int | None) -> None:
        """Passes bytes on, `most` of them; then the whole connection falls silent."""
        while most is None or most > 0:
            try:
                data = source.recv(READ_BYTES if most is None else min(READ_BYTES, most))
            except OSError:
                return
            if self.is_silent:
                return
            try:
                target.sendall(data) if data else target.shutdown(socket.SHUT_WR)
            except OSError:
                return
            if not data:
                return
            most = None if most is None else most - len(data)
        self.is_silent = True

    def shut_down(self) -> None:
        """Ends the near side; the far one follows when its end is read."""
        self.near.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self.near.close()
        self.far.close()


class SilentProxy:
    """Passes connections on to a target, at an address of its own."""

    def __init__(self, target: Address) -> None:
        self.target = target
        self.silent_after_up: int | None = None
        self.silent_after_down: int | None = None
        self.connections = 0
        self._pairs: list[_Pair] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            # Small buffers: the kernel must not take what the proxy does not read.
            near.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
            far = socket.create_connection((self.target.host, self.target.port))
            pair = _Pair(near, far, self.silent_after_up, self.silent_after_down)
            self._pairs.append(pair)  # before a byte is passed on, so that none is missed
            pair.start()

    def silence(self) -> None:
        """Has all connections that are open now fall silent; later ones work."""
        self.silent_after_up = self.silent_after_down = None
        for pair in self._pairs:
            pair.is_silent = True

    def close_pairs(self) -> None:
        """Ends all connections that are open now, as the target would."""
        for pair in self._pairs:
            pair.shut_down()

    def close(self) -> None:
        """Ends everything."""
        self._listener.close()
        for pair in self._pairs:
            pair.close()
