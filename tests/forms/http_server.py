"""A loopback server that receives one request and answers it with status 503."""

import socket
import threading
from collections.abc import Callable

from troutswitch.common import Address

BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
WAIT_SECONDS = 5.0


def sent_to_server(call: Callable[[Address], object]) -> bytes:
    """Returns the bytes that a call sends to a server; `PORT` replaces the port of the server."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(WAIT_SECONDS)
        port = listener.getsockname()[1]
        received: list[bytes] = []
        thread = threading.Thread(
            target=lambda: received.append(_receive_request(listener)), daemon=True
        )
        thread.start()
        call(Address("127.0.0.1", port))
        thread.join(WAIT_SECONDS)
    (request,) = received
    return request.replace(f"127.0.0.1:{port}".encode(), b"127.0.0.1:PORT")


def _receive_request(listener: socket.socket) -> bytes:
    connection, _ = listener.accept()
    with connection:
        connection.settimeout(WAIT_SECONDS)
        data = b""
        while not _is_complete(data):
            data += connection.recv(65536)
        connection.sendall(BUSY)
    return data


def _is_complete(data: bytes) -> bool:
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    rows = dict(row.lower().split(b": ", 1) for row in head.split(b"\r\n")[1:])
    return len(body) >= int(rows.get(b"content-length", b"0"))
