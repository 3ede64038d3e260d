"""Bytes that a socket has taken and its peer has not acknowledged."""

import fcntl
import socket
import struct
import termios


def unacknowledged_bytes(connected: socket.socket) -> int:
    """Returns the bytes in the send queue of a TCP socket; 0 if it is closed or can't be asked.

    Source: tcp(7), `SIOCOUTQ`, which has the number of `TIOCOUTQ`.
    """
    try:
        answer = fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except (OSError, ValueError):
        return 0
    return int(struct.unpack("i", answer)[0])
