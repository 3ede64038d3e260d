"""Limits how long a connection may be silent before the kernel closes it.

A network can drop a connection permanently without a reset. The peer's kernel acknowledges bytes
and keepalive probes even if the peer's process is slow or overloaded. These limits therefore
distinguish a dead connection from an overloaded peer, which a timeout on the response cannot.
"""

import socket

USER_TIMEOUT_MILLISECONDS = 2000
"""Time after which unacknowledged bytes or probes close a connection (`TCP_USER_TIMEOUT`). By then
three retransmissions at the kernel's minimum interval (0.2, 0.6 and 1.4 s) have failed; a
connection survives a network outage of one second."""
PROBE_IDLE_SECONDS = 1
"""Silence after which a connection is probed; the minimum that the kernel accepts."""
PROBE_INTERVAL_SECONDS = 1
"""Interval between probes; the minimum that the kernel accepts. With the timeout above, the first
unanswered probe closes a connection two seconds after its last byte."""
MAX_PROBES = 2
"""Number of unanswered probes that close a connection if no timeout applies earlier."""


def bound_silence(sock: socket.socket) -> None:
    """Makes the kernel close a connection whose peer stops acknowledging."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
        (socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, MAX_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
