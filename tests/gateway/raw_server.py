"""A server whose behaviour on each connection is scripted by the test."""

import socket
import threading
from collections.abc import Callable

from tests.ports import HOST
from troutswitch.common import Address

WAIT_SECONDS = 30.0
READ_BYTES = 1 << 16

Behaviour = Callable[["RawServer", socket.socket], None]


class RawServer:
    """Handles each connection on a thread of its own, by calling `behaviour`.

    `request_received` is set with the first request head, `connection_closed` when a client closes
    its connection. Behaviours may wait for `may_respond`.
    """

    def __init__(self, behaviour: Behaviour, receive_bytes: int = 0) -> None:
        self.requests: list[bytes] = []
        self.request_received = threading.Event()
        self.connection_closed = threading.Event()
        self.may_respond = threading.Event()
        self._behaviour = behaviour
        self._listener = socket.socket()
        if receive_bytes:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self._listener.bind((HOST, 0))
        self._listener.listen()
        self.address = Address(HOST, self._listener.getsockname()[1])
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            connection.settimeout(WAIT_SECONDS)
            threading.Thread(target=self._handle, args=(connection,), daemon=True).start()

    def _handle(self, connection: socket.socket) -> None:
        with connection:
            try:
                self._behaviour(self, connection)
            except ConnectionError:
                self.connection_closed.set()
            except TimeoutError:
                return  # a test that waits for the close fails by its own timeout

    def read_head(self, connection: socket.socket) -> bytes:
        """Reads a request's head, and any bytes received along with it."""
        data = b""
        while b"\r\n\r\n" not in data:
            more = connection.recv(READ_BYTES)
            if not more:
                raise ConnectionError("ended inside a head")
            data += more
        self.requests.append(data)
        self.request_received.set()
        return data

    def wait_for_end(self, connection: socket.socket) -> None:
        """Waits until the client closes the connection."""
        while connection.recv(READ_BYTES):
            continue
        self.connection_closed.set()


def request_id(head: bytes) -> str:
    """Returns the request id in a request's head."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name.lower() == b"x-troutswitch-request-id":
            return value.decode()
    return ""


def stream_head(head: bytes) -> bytes:
    """Returns the head of a streamed response to a request."""
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Troutswitch-Request-Id: {request_id(head)}",
        "X-Troutswitch-Response-Stamp: s",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def event(number: int, size: int = 1) -> bytes:
    """Returns one event, encoded as an HTTP chunk."""
    data = f"id: {number}\ndata: {'x' * size}\n\n".encode()
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def silent(server: RawServer, connection: socket.socket) -> None:
    """Reads a request and sends nothing."""
    server.read_head(connection)
    server.wait_for_end(connection)


def single_event(server: RawServer, connection: socket.socket) -> None:
    """Sends one event, then nothing."""
    head = server.read_head(connection)
    connection.sendall(stream_head(head) + event(1))
    server.wait_for_end(connection)


def endless(server: RawServer, connection: socket.socket) -> None:
    """Sends large events until the connection closes."""
    head = server.read_head(connection)
    connection.sendall(stream_head(head))
    number = 1
    while True:
        connection.sendall(event(number, 1 << 18))
        number += 1


def complete_streams(server: RawServer, connection: socket.socket) -> None:
    """Answers each request with a complete stream of one event, after `may_respond` is set."""
    while True:
        head = server.read_head(connection)
        assert server.may_respond.wait(WAIT_SECONDS)
        connection.sendall(stream_head(head) + event(1) + b"0\r\n\r\n")


def rejecting(server: RawServer, connection: socket.socket) -> None:
    """Refuses a request as not executed."""
    head = server.read_head(connection)
    lines = [
        "HTTP/1.1 503 Full",
        f"X-Troutswitch-Request-Id: {request_id(head)}",
        "X-Troutswitch-Not-Executed: 1",
        "Content-Length: 0",
    ]
    connection.sendall("\r\n".join([*lines, "", ""]).encode())
    server.wait_for_end(connection)
