"""A loopback proxy whose connections can become permanently silent without being reset.

A silent connection stays open, but bytes of either side are neither read nor forwarded. New
connections work, unless `silent_after_up` or `silent_after_down` limits their bytes beforehand.
"""

import socket
import threading

from troutswitch.common import Address

READ_BYTES = 4096


class _ProxiedConnection:
    """One connection through the proxy."""

    def __init__(
        self,
        near: socket.socket,
        far: socket.socket,
        max_up_bytes: int | None,
        max_down_bytes: int | None,
    ) -> None:
        self.is_silent = False
        self.near, self.far = near, far
        self._directions = ((near, far, max_up_bytes), (far, near, max_down_bytes))

    def start(self) -> None:
        for direction in self._directions:
            threading.Thread(target=self._pump, args=direction, daemon=True).start()

    def _pump(self, source: socket.socket, target: socket.socket, max_bytes: int | None) -> None:
        """Forwards at most `max_bytes`; then the whole connection becomes silent."""
        while max_bytes is None or max_bytes > 0:
            try:
                data = source.recv(READ_BYTES if max_bytes is None else min(READ_BYTES, max_bytes))
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
            max_bytes = None if max_bytes is None else max_bytes - len(data)
        self.is_silent = True

    def shut_down(self) -> None:
        """Shuts down the near side; the far side follows when its pump reads the end."""
        self.near.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self.near.close()
        self.far.close()


class SilentProxy:
    """Forwards connections to a target.

    `silent_after_up` and `silent_after_down` are the numbers of bytes to and from the target after
    which a new connection becomes silent; None means unlimited.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.silent_after_up: int | None = None
        self.silent_after_down: int | None = None
        self.connection_count = 0
        self._connections: list[_ProxiedConnection] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            self.connection_count += 1
            # A small buffer, since the kernel accepts bytes that the proxy does not read.
            near.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
            far = socket.create_connection((self.target.host, self.target.port))
            connection = _ProxiedConnection(near, far, self.silent_after_up, self.silent_after_down)
            self._connections.append(
                connection
            )  # before start, so that `silence` reaches every started connection
            connection.start()

    def silence(self) -> None:
        """Makes all open connections silent; later ones work."""
        self.silent_after_up = self.silent_after_down = None
        for connection in self._connections:
            connection.is_silent = True

    def close_connections(self) -> None:
        """Shuts down all open connections, as the target would."""
        for connection in self._connections:
            connection.shut_down()

    def close(self) -> None:
        """Closes the listener and all connections."""
        self._listener.close()
        for connection in self._connections:
            connection.close()
