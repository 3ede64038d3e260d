"""Bounds on how long a connection may be silent before the kernel ends it.

A connection may go silent for good without a reset. The peer's kernel acknowledges bytes and
probes also where its process is slow or loaded, so these bounds tell a dead connection from a
loaded peer, which a time-out on the answer can't.
"""

import socket

USER_TIMEOUT_MILLISECONDS = 2000
"""Time after which unacknowledged bytes or probes end a connection (`TCP_USER_TIMEOUT`): three
retransmissions at the kernel's least interval (0.2, 0.6 and 1.4 s) have then failed, and an
outage of a second is outlasted."""
PROBE_IDLE_SECONDS = 1
"""Silence after which a connection is probed: the least the kernel takes."""
PROBE_INTERVAL_SECONDS = 1
"""Time between probes: the least the kernel takes. With the time-out above, the first probe
without an answer ends a connection two seconds after its last byte."""
MAX_PROBES = 2
"""Probes without an answer after which a connection ends, where no time-out comes first."""


def bound_silence(sock: socket.socket) -> None:
    """Has the kernel end a connection whose peer acknowledges nothing any more."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
        (socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, MAX_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
