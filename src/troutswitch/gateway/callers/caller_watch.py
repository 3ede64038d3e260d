"""Detects callers that disconnect while their requests are in progress, on a dedicated thread.

A connection is watched from `add` until the caller closes it or `remove` is called; waitress owns
the connection itself. Detection uses epoll (`EPOLLRDHUP`), which reports a close or a reset even
while the loop is busy or waitress does not read the connection (the caller's receive window is
full, or further requests are queued on it). Nothing else detects a close in these states.
"""

import contextlib
import select
import socket
import struct
import threading
from collections.abc import Callable

from troutswitch.gateway.service_thread import ServiceThread
from troutswitch.gateway.unexpected_errors import UnexpectedErrors

WATCHED_EVENTS = select.EPOLLRDHUP | select.EPOLLONESHOT
TCP_INFO_BYTES = 64
TCP_INFO_STATE_OFFSET = 0
TCP_CLOSE_WAIT = 8
"""The peer has sent FIN (`TCP_CLOSE_WAIT` in the kernel's `tcp_states.h`)."""
TCP_INFO_LAST_ACK_OFFSET = 56
"""Offset of `tcpi_last_ack_recv`, in milliseconds, in the kernel's `struct tcp_info`."""


def is_closed(connection: socket.socket) -> bool:
    """Returns whether the peer closed or reset a connection, even if unread bytes remain."""
    descriptor = connection.fileno()
    if descriptor < 0:
        return True
    poller = select.poll()
    poller.register(descriptor, select.POLLRDHUP)
    return bool(poller.poll(0))


def close_age(connection: socket.socket) -> float:
    """Returns how long ago the peer's close arrived, in seconds; 0 after a reset.

    The FIN is the last segment that the peer sends, so its age is that of the last acknowledgement
    received. The kernel measures it, so it is correct even if this process was suspended since.
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0.0  # waitress has closed it
    if info[TCP_INFO_STATE_OFFSET] != TCP_CLOSE_WAIT:
        return 0.0
    (milliseconds,) = struct.unpack_from("=I", info, TCP_INFO_LAST_ACK_OFFSET)
    return float(milliseconds) / 1000


class CallerWatch:
    """Reports each watched connection once, when its caller closes it.

    Args:
        on_disconnect: called with the request's token and the age of the close in seconds. The call
            is made on the watch's thread, or on the thread that calls `add` or `before_close`.
        errors: reports unexpected errors.
        on_lost: called with the thread's name if closes can't be detected any more.
    """

    def __init__(
        self,
        on_disconnect: Callable[[int, float], None],
        errors: UnexpectedErrors | None = None,
        on_lost: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._on_disconnect = on_disconnect
        self._lock = threading.Lock()
        self._watched: dict[int, tuple[int, socket.socket]] = {}
        self._epoll = select.epoll()
        self._errors = errors or UnexpectedErrors()
        self._thread = ServiceThread("caller-watch", self._run, self._errors, on_lost)

    def start(self) -> None:
        """Starts the watch's thread."""
        self._thread.start()

    def add(self, token: int, connection: socket.socket) -> None:
        """Watches a request's connection; reports it immediately if it is already closed."""
        with self._lock:
            descriptor = connection.fileno()
            if descriptor >= 0:
                self._watched[descriptor] = (token, connection)
                self._register(descriptor)
                return
        self._on_disconnect(token, 0.0)

    def _register(self, descriptor: int) -> None:
        try:
            self._epoll.register(descriptor, WATCHED_EVENTS)
        except FileExistsError:
            # The connection was registered for an earlier request.
            self._epoll.modify(descriptor, WATCHED_EVENTS)

    def remove(self, token: int, connection: socket.socket) -> None:
        """Stops watching a request's connection, which may already be closed."""
        with self._lock:
            descriptor = connection.fileno()
            watched = self._watched.get(descriptor)
            if watched is not None and watched[0] == token:
                self._unwatch(descriptor)

    def before_close(self, connection: socket.socket) -> None:
        """Reports a watched connection that this process is about to close."""
        with self._lock:
            descriptor = connection.fileno()
            watched = self._watched.get(descriptor)
            if watched is None:
                return
            self._unwatch(descriptor)
            age = close_age(connection)
        self._on_disconnect(watched[0], age)

    def _unwatch(self, descriptor: int) -> None:
        del self._watched[descriptor]
        with contextlib.suppress(FileNotFoundError):  # the kernel removes closed ones
            self._epoll.unregister(descriptor)

    def _run(self) -> None:
        while True:
            for descriptor, _ in self._epoll.poll():
                self._try_report(descriptor)

    def _try_report(self, descriptor: int) -> None:
        """Reports a close; an error with one connection does not hide those of others."""
        try:
            self._report(descriptor)
        except Exception as error:
            self._errors.report("report caller's close", error)

    def _report(self, descriptor: int) -> None:
        with self._lock:
            watched = self._watched.get(descriptor)
            if watched is None or not is_closed(watched[1]):
                return  # no longer watched, and the descriptor may have been reused
            self._unwatch(descriptor)
            token, connection = watched
            age = close_age(connection)
        self._on_disconnect(token, age)
        with contextlib.suppress(OSError):  # waitress may have closed it
            connection.shutdown(socket.SHUT_RDWR)  # wakes a thread blocked on a full window
