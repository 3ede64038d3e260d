"""Calls over persistent connections, with real sockets."""

import socket
import threading
import time

from tests.gateway.raw_server import RawServer
from troutswitch.runtime.readiness import is_readable
from troutswitch.standalone.runtime.http_client import ThreadLocalConnections

WAIT_SECONDS = 5.0


def answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def test_surplus_answer_is_not_that_of_the_next_call() -> None:
    may_send = threading.Event()

    def stutter(server: RawServer, connection: socket.socket) -> None:
        body = b"%d" % len(server.requests)
        server.read_head(connection)
        connection.sendall(answer(body))
        if body == b"0":
            assert may_send.wait(WAIT_SECONDS)
            connection.sendall(answer(body))
        server.wait_for_end(connection)

    server = RawServer(stutter)
    pool = ThreadLocalConnections(WAIT_SECONDS)
    assert pool.call(server.address, "GET", "/") == (200, b"0")
    may_send.set()
    sock = pool._connection(server.address).sock
    deadline = time.monotonic() + WAIT_SECONDS
    while not is_readable(sock):
        assert time.monotonic() < deadline
        time.sleep(0.01)
    assert pool.call(server.address, "GET", "/") == (200, b"1")


def test_connection_without_waiting_bytes_is_used_again() -> None:
    connections: list[socket.socket] = []

    def serve(server: RawServer, connection: socket.socket) -> None:
        connections.append(connection)
        while True:
            server.read_head(connection)
            connection.sendall(answer(b"a"))

    pool = ThreadLocalConnections(WAIT_SECONDS)
    server = RawServer(serve)
    assert [pool.call(server.address, "GET", "/") for _ in range(3)] == [(200, b"a")] * 3
    assert len(connections) == 1
