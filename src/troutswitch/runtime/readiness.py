"""Whether a socket can be read without waiting. Relies on `poll`, which takes any descriptor."""

import select
import socket


def is_readable(sock: socket.socket) -> bool:
    """Returns whether bytes or an end of file can be read.

    `select` would fail for descriptors above 1,023, which a daemon with many callers has.
    """
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))
