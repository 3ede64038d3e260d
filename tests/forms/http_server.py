"""A server on the loopback interface that takes one request and answers that it is busy."""

import socket
import threading
from collections.abc import Callable

from troutswitch.common import Address

BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
WAIT_SECONDS = 5.0


def sent_to_server(call: Callable[[Address], object]) -> bytes:
    """Returns the bytes that a call sends to a server at an address, its port told as PORT."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(WAIT_SECONDS)
        port = listener.getsockname()[1]
        held: list[bytes] = []
        thread = threading.Thread(target=lambda: held.append(_take(listener)), daemon=True)
        thread.start()
        call(Address("127.0.0.1", port))
        thread.join(WAIT_SECONDS)
    (request,) = held
    return request.replace(f"127.0.0.1:{port}".encode(), b"127.0.0.1:PORT")


def _take(listener: socket.socket) -> bytes:
    connection, _ = listener.accept()
    with connection:
        connection.settimeout(WAIT_SECONDS)
        data = b""
        while not _is_whole(data):
            data += connection.recv(65536)
        connection.sendall(BUSY)
    return data


def _is_whole(data: bytes) -> bool:
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    rows = dict(row.lower().split(b": ", 1) for row in head.split(b"\r\n")[1:])
    return len(body) >= int(rows.get(b"content-length", b"0"))
