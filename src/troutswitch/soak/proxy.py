"""Loopback TCP proxy that injects faults into the connections of one link."""

import contextlib
import socket
import struct
import threading
import time

from troutswitch.common import Address
from troutswitch.soak.schedule import LinkFault

READ_BYTES = 65536
DELAY_SECONDS = 0.15
"""Delay of each chunk under `DELAY`: five times the pause between a stream's events."""
DRIP_BYTES = 16
"""Size of the chunks that a link forwards under `DRIP`."""
DRIP_INTERVAL_SECONDS = 0.004
"""Pause after each chunk under `DRIP`; limits a link to 4 KB/s, so a plain answer takes seconds."""
TRUNCATE_BYTES = 300
"""Bytes of the answer after which `TRUNCATE` resets the connection, in its head or its body."""
POLL_SECONDS = 0.01
"""Interval at which a silenced link checks whether its fault has ended, and a closed one whether
its target listens again."""
CONNECT_SECONDS = 2.0
"""Connect timeout. On loopback a connect takes no time unless the target's backlog is full."""
BACKLOG = 256
BUSY_ANSWER = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
"""Answer that a link gives instead of its target under `BUSY`; the request is not forwarded."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""`SO_LINGER` value with which `close` sends a reset."""

SILENT_UP = frozenset({LinkFault.SILENT, LinkFault.SILENT_UP})
SILENT_DOWN = frozenset({LinkFault.SILENT, LinkFault.SILENT_DOWN})


def reset(connection: socket.socket) -> None:
    """Closes a connection so that its peer sees a reset and no orderly end."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RD)  # wakes a thread blocked in `recv`
    connection.close()


class _Pair:
    """A caller's connection and the connection to the target that serves it."""

    def __init__(self, caller: socket.socket, target: socket.socket) -> None:
        self.caller = caller
        self.target = target
        self.is_reset = False

    def reset(self) -> None:
        """Resets both connections; the pumps then forward no orderly end."""
        self.is_reset = True
        reset(self.caller)
        reset(self.target)

    def close(self) -> None:
        """Closes both connections."""
        self.caller.close()
        self.target.close()


class Link:
    """A proxy that listens on a loopback port and forwards connections to a target.

    Args:
        target: address to which connections are forwarded.
        refuses_with_target: whether the link's port refuses connections while the target's
            port does, as if there were no link. Otherwise the link accepts and resets them,
            as proxies do.
    """

    def __init__(self, target: Address, refuses_with_target: bool = False) -> None:
        self.target = target
        self._refuses_with_target = refuses_with_target
        self._is_listener_closed = False
        self.fault: LinkFault | None = None
        self._is_closed = False
        self._lock = threading.Lock()
        self._pairs: set[_Pair] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        self._start_accept_thread()

    def _start_accept_thread(self) -> None:
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def set_fault(self, fault: LinkFault | None) -> None:
        """Sets the fault of the link; None ends it."""
        self.fault = fault
        if fault is LinkFault.RESET:
            self._reset_all()

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self._is_closed = True
        self._listener.close()
        self._reset_all()

    def _reset_all(self) -> None:
        with self._lock:
            pairs = list(self._pairs)
        for pair in pairs:
            pair.reset()

    def _close_listener_with_target(self) -> None:
        """Closes the listener if the target refuses connections.

        Called before the end of a connection is forwarded: a peer that sees the end must already
        find the port closed.
        """
        if not self._refuses_with_target or self._is_target_listening():
            return
        with self._lock:
            if self._is_listener_closed or self._is_closed:
                return
            self._is_listener_closed = True
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)  # wakes the accepting thread
            self._listener.close()
        threading.Thread(target=self._listen_again, daemon=True).start()

    def _is_target_listening(self) -> bool:
        try:
            socket.create_connection(self.target, CONNECT_SECONDS).close()
        except ConnectionRefusedError:
            return False
        except OSError:
            return True
        return True

    def _listen_again(self) -> None:
        """Waits until the target listens, then listens on the same port again."""
        while not self._is_closed and not self._is_target_listening():
            time.sleep(POLL_SECONDS)
        with self._lock:
            if self._is_closed:
                return
            self._listener = socket.create_server(
                (self.address.host, self.address.port), backlog=BACKLOG
            )
            self._is_listener_closed = False
        self._start_accept_thread()

    def _accept(self, listener: socket.socket) -> None:
        while not self._is_closed:
            try:
                caller, _ = listener.accept()
            except OSError:
                return
            if self.fault is LinkFault.RESET:
                reset(caller)
                continue
            threading.Thread(target=self._connect, args=(caller,), daemon=True).start()

    def _connect(self, caller: socket.socket) -> None:
        try:
            target = socket.create_connection(self.target, CONNECT_SECONDS)
        except OSError:
            self._close_listener_with_target()
            reset(caller)
            return
        for connection in (caller, target):
            connection.settimeout(None)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = _Pair(caller, target)
        with self._lock:
            self._pairs.add(pair)
        upstream_pump = threading.Thread(target=self._pump, args=(pair, True), daemon=True)
        upstream_pump.start()
        self._pump(pair, False)
        upstream_pump.join()
        with self._lock:
            self._pairs.discard(pair)
        pair.close()

    def _pump(self, pair: _Pair, is_upstream: bool) -> None:
        source, sink = (pair.caller, pair.target) if is_upstream else (pair.target, pair.caller)
        silencing_faults = SILENT_UP if is_upstream else SILENT_DOWN
        forwarded = 0
        try:
            while data := source.recv(READ_BYTES):
                self._apply_silence_or_delay(silencing_faults)
                if is_upstream and self.fault is LinkFault.BUSY:
                    source.sendall(BUSY_ANSWER)
                    source.shutdown(socket.SHUT_WR)
                    break
                if not is_upstream and self.fault is LinkFault.TRUNCATE:
                    data = data[: max(0, TRUNCATE_BYTES - forwarded)]
                self._send(sink, data)
                forwarded += len(data)
                if (
                    not is_upstream
                    and self.fault is LinkFault.TRUNCATE
                    and forwarded >= TRUNCATE_BYTES
                ):
                    raise ConnectionResetError("truncated")
            self._apply_silence_or_delay(silencing_faults)
            if pair.is_reset:
                raise ConnectionResetError("link reset")
            if not is_upstream:
                self._close_listener_with_target()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            if not is_upstream:
                self._close_listener_with_target()
            pair.reset()

    def _apply_silence_or_delay(self, silencing_faults: frozenset[LinkFault]) -> None:
        while self.fault in silencing_faults and not self._is_closed:
            time.sleep(POLL_SECONDS)
        if self.fault is LinkFault.DELAY:
            time.sleep(DELAY_SECONDS)

    def _send(self, sink: socket.socket, data: bytes) -> None:
        position = 0
        while position < len(data):
            if self.fault is not LinkFault.DRIP:
                sink.sendall(data[position:])
                return
            sink.sendall(data[position : position + DRIP_BYTES])
            position += DRIP_BYTES
            time.sleep(DRIP_INTERVAL_SECONDS)
