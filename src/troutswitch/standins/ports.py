"""Reserves ports for the processes of a test or soak.

The kernel chooses the ports. A reservation is a TCP socket that is bound but does not listen. The
kernel therefore never picks its port for another bind to port 0 or an outgoing connection, and
connections to it are refused. A server that sets `SO_REUSEADDR`, as the servers under test do, can
still listen on it. UDP has no equivalent: the port was free for UDP when it was reserved, and the
TCP reservation keeps other reservations from getting the same number.
"""

import socket

HOST = "127.0.0.1"


class Ports:
    """The reserved ports of one test or soak."""

    def __init__(self) -> None:
        self._reservations: list[socket.socket] = []

    def reserve(self) -> int:
        """Reserves a port that is free for TCP and UDP, and returns it."""
        while True:
            port = self._reserve_tcp()
            if is_free_for_udp(port):
                return port

    def release_all(self) -> None:
        """Releases all reserved ports."""
        for reservation in self._reservations:
            reservation.close()
        self._reservations.clear()

    def _reserve_tcp(self) -> int:
        reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._reservations.append(reservation)
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind((HOST, 0))
        return int(reservation.getsockname()[1])


def is_free_for_udp(port: int) -> bool:
    """Whether no UDP socket is bound to the port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
