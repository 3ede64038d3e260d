"""Loopback proxy of one link: delays, resets, silences, drips and truncates connections."""

import contextlib
import socket
import struct
import threading
import time

from troutswitch.common import Address
from troutswitch.soak.schedule import LinkFault

READ_BYTES = 65536
DELAY_SECONDS = 0.15
"""Delay of each piece under `DELAY`: seven times the pause between a stream's events."""
DRIP_BYTES = 16
DRIP_INTERVAL_SECONDS = 0.004
"""Under `DRIP` a link passes 4 KB a second: a plain answer takes seconds."""
TRUNCATE_BYTES = 300
"""Under `TRUNCATE` a connection is reset after these bytes of answer: inside head or body."""
POLL_SECONDS = 0.01
"""Interval at which a silenced link looks whether its fault is over."""
CONNECT_SECONDS = 2.0
"""Bound on connecting on loopback, which takes no time unless the target's backlog is full."""
BACKLOG = 256
BUSY_ANSWER = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
"""What a link says in place of its target under `BUSY`; the request goes no further."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

SILENT_UP = frozenset({LinkFault.SILENT, LinkFault.SILENT_UP})
SILENT_DOWN = frozenset({LinkFault.SILENT, LinkFault.SILENT_DOWN})


def reset(connection: socket.socket) -> None:
    """Closes a connection so that its peer sees a reset, never an orderly end."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RD)  # wakes a thread that waits in a read
    connection.close()


class _Pair:
    """The two connections of one caller."""

    def __init__(self, caller: socket.socket, target: socket.socket) -> None:
        self.caller = caller
        self.target = target
        self.is_reset = False

    def reset(self) -> None:
        """Resets both; their pumps then pass no orderly end on."""
        self.is_reset = True
        reset(self.caller)
        reset(self.target)

    def close(self) -> None:
        """Closes both."""
        self.caller.close()
        self.target.close()


class Link:
    """A listener that passes connections on to a target.

    Args:
        target: where connections go.
        refuses: whether the link's port refuses connections while the target's does, as it
            would without a link. Otherwise it takes them and resets them, as proxies do.
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
        self._start_accepting()

    def _start_accepting(self) -> None:
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def set_fault(self, fault: LinkFault | None) -> None:
        """Puts a fault in force, or ends it."""
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

    def _follow_target(self) -> None:
        """Stops to listen if the target has; called before a connection's end is passed on."""
        if not self._refuses_with_target or self._is_target_listening():
            return
        with self._lock:
            if self._is_listener_closed or self._is_closed:
                return
            self._is_listener_closed = True
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)  # wakes the thread that accepts
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
        """Listens at the same port once the target does."""
        while not self._is_closed and not self._is_target_listening():
            time.sleep(POLL_SECONDS)
        with self._lock:
            if self._is_closed:
                return
            self._listener = socket.create_server(
                (self.address.host, self.address.port), backlog=BACKLOG
            )
            self._is_listener_closed = False
        self._start_accepting()

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
            self._follow_target()
            reset(caller)
            return
        for connection in (caller, target):
            connection.settimeout(None)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = _Pair(caller, target)
        with self._lock:
            self._pairs.add(pair)
        up = threading.Thread(target=self._pump, args=(pair, True), daemon=True)
        up.start()
        self._pump(pair, False)
        up.join()
        with self._lock:
            self._pairs.discard(pair)
        pair.close()

    def _pump(self, pair: _Pair, is_up: bool) -> None:
        source, sink = (pair.caller, pair.target) if is_up else (pair.target, pair.caller)
        silences = SILENT_UP if is_up else SILENT_DOWN
        passed = 0
        try:
            while data := source.recv(READ_BYTES):
                self._wait_while_silenced(silences)
                if is_up and self.fault is LinkFault.BUSY:
                    source.sendall(BUSY_ANSWER)
                    source.shutdown(socket.SHUT_WR)
                    break
                if not is_up and self.fault is LinkFault.TRUNCATE:
                    data = data[: max(0, TRUNCATE_BYTES - passed)]
                self._send(sink, data)
                passed += len(data)
                if not is_up and self.fault is LinkFault.TRUNCATE and passed >= TRUNCATE_BYTES:
                    raise ConnectionResetError("truncated")
            self._wait_while_silenced(silences)
            if pair.is_reset:
                raise ConnectionResetError("struck")
            if not is_up:
                self._follow_target()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            if not is_up:
                self._follow_target()
            pair.reset()

    def _wait_while_silenced(self, silences: frozenset[LinkFault]) -> None:
        while self.fault in silences and not self._is_closed:
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
