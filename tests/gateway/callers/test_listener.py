"""The listener serves the requests of many new connections at the same time."""

import http.client
import socket
import threading
import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

import pytest
import waitress.channel

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.gateway.callers.listener import HttpListener
from troutswitch.gateway.process import CALLER_THREADS, MAX_CONNECTIONS
from troutswitch.runtime.http import Environ, Response, StartResponse, WsgiApplication, send

TIMEOUT_SECONDS = 20.0
CONNECTIONS = 240
"""Callers of a zone whose new connections all go to one daemon while answers take seconds."""


class Rendezvous:
    """An application that answers requests once a number of them are in progress."""

    def __init__(self, count: int) -> None:
        self._barrier = threading.Barrier(count)

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        self._barrier.wait(TIMEOUT_SECONDS)
        return send(Response(200, b"", "text/plain"), start_response)


@pytest.mark.parametrize("rounds", [1, 3])
def test_requests_of_many_new_connections_are_in_progress_at_once(rounds: int) -> None:
    """Guards against requests that wait unread, which no decision of the daemon sees."""
    listener = HttpListener(
        Rendezvous(CONNECTIONS), Address("127.0.0.1", 0), CALLER_THREADS, "test", MAX_CONNECTIONS
    )
    listener.start()

    def get(number: int) -> int:
        connection = http.client.HTTPConnection(
            listener.address.host, listener.address.port, timeout=TIMEOUT_SECONDS
        )
        connection.request("GET", f"/{number}")
        status = connection.getresponse().status
        connection.close()
        return status

    try:
        with ThreadPoolExecutor(CONNECTIONS) as callers:
            for _ in range(rounds):
                assert set(callers.map(get, range(CONNECTIONS))) == {200}
    finally:
        listener.stop()


def test_request_that_waits_for_a_thread_counts_as_unanswered() -> None:
    """Guards against a planned stop that ends while a request that it has read waits."""
    may_end = threading.Event()

    def blocked(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        may_end.wait(TIMEOUT_SECONDS)
        return send(Response(200, b"", "text/plain"), start_response)

    listener = HttpListener(blocked, Address("127.0.0.1", 0), 1, "test", MAX_CONNECTIONS)
    listener.start()
    connections = [http.client.HTTPConnection(*listener.address) for _ in range(2)]
    try:
        for connection in connections:
            connection.request("GET", "/")
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while len(listener.unread_answers().expected_at(steady_seconds()).answers) < 2:
            assert time.monotonic() < deadline
            time.sleep(0.01)
        may_end.set()
        assert [connection.getresponse().status for connection in connections] == [200, 200]
    finally:
        may_end.set()
        for connection in connections:
            connection.close()
        listener.stop()


def not_found(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    return send(Response(404, b"no route\n", "text/plain"), start_response)


def stream_without_events(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    start_response("200 OK", [("Content-Type", "text/event-stream")])
    return []


def stream_of_one_event(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    start_response("200 OK", [("Content-Type", "text/event-stream")])
    yield b"id: 1\ndata: a\n\n"


@pytest.mark.parametrize("application", [not_found, stream_without_events, stream_of_one_event])
def test_response_to_head_has_no_body(application: WsgiApplication) -> None:
    """Guards against bytes that the caller takes for the next response on the connection."""
    listener = HttpListener(application, Address("127.0.0.1", 0), 1, "test", MAX_CONNECTIONS)
    listener.start()
    try:
        with socket.create_connection(listener.address, TIMEOUT_SECONDS) as caller:
            caller.sendall(b"HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            received = b"".join(iter(lambda: caller.recv(4096), b""))
    finally:
        listener.stop()
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 ") and not body


def get_status(listener: HttpListener) -> int:
    connection = http.client.HTTPConnection(*listener.address, timeout=TIMEOUT_SECONDS)
    try:
        connection.request("GET", "/")
        return connection.getresponse().status
    finally:
        connection.close()


@pytest.mark.parametrize("method", ["readable", "writable", "handle_read", "__init__"])
def test_listener_serves_others_after_an_error_with_one_connection(
    method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a daemon that reports ready and serves nobody, as its listener has ended."""
    listener = HttpListener(not_found, Address("127.0.0.1", 0), 1, "test", MAX_CONNECTIONS)
    listener.start()
    try:
        assert get_status(listener) == 404
        failed = threading.Event()

        def fail(*arguments: object, **named: object) -> None:
            failed.set()
            raise RuntimeError("unexpected")

        with monkeypatch.context() as patched:
            patched.setattr(waitress.channel.HTTPChannel, method, fail)
            with socket.create_connection(listener.address, TIMEOUT_SECONDS) as caller:
                caller.sendall(b"GET / HTTP/1.1\r\n\r\n")
                assert failed.wait(TIMEOUT_SECONDS)
        assert get_status(listener) == 404
    finally:
        listener.stop()
