"""A stopping HTTP server answers all requests it has read, including those that wait for a thread.

Guards against "Remote end closed connection without response", which one of 96 requests got during
a planned stop on a loaded machine. The drained daemon stopped its listener while a request waited
for a thread. The threads ended first, and the waiting request was cancelled, so its connection was
closed without a response.
"""

import http.client
import threading
import time
from collections.abc import Iterable

from troutswitch.common import Address
from troutswitch.runtime.http import Environ, Response, StartResponse, send
from troutswitch.standalone.runtime.http_server import HttpServer

TIMEOUT_SECONDS = 30.0


class Application:
    """Blocks requests until `may_end` is set, then answers them."""

    def __init__(self) -> None:
        self.has_started = threading.Event()
        self.may_end = threading.Event()

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        self.has_started.set()
        self.may_end.wait(TIMEOUT_SECONDS)
        return send(Response(503, b"{}"), start_response)


def send_request(address: Address) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection(*address, timeout=TIMEOUT_SECONDS)
    connection.request("GET", "/")
    return connection


def test_a_request_waiting_for_a_thread_is_answered_before_the_server_stops() -> None:
    application = Application()
    server = HttpServer(application, Address("127.0.0.1", 0), 1, "test")
    server.start()
    first = send_request(server.address)
    assert application.has_started.wait(TIMEOUT_SECONDS)
    second = send_request(server.address)
    stopper = threading.Thread(target=server.stop)
    stopper.start()
    threading.Timer(0.3, application.may_end.set).start()
    assert first.getresponse().status == 503
    assert second.getresponse().status == 503
    stopper.join(TIMEOUT_SECONDS)


def test_a_stopped_server_refuses_connections() -> None:
    application = Application()
    application.may_end.set()
    server = HttpServer(application, Address("127.0.0.1", 0), 1, "test")
    server.start()
    assert send_request(server.address).getresponse().status == 503
    server.stop()
    try:
        send_request(server.address)
    except ConnectionRefusedError:
        return
    raise AssertionError("a stopped server accepts connections")


ANSWER_BYTES = 8_000_000
"""More than the kernel's buffers of a connection hold."""
LATE_SECONDS = 2.5
"""Time after which the caller begins to read: more than the wait for requests and their threads."""


def large_answer(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    return send(Response(200, bytes(ANSWER_BYTES)), start_response)


def test_an_answer_that_is_still_read_is_complete_before_the_server_stops() -> None:
    """Guards against a stop that drops what a slow reader has not received."""
    server = HttpServer(large_answer, Address("127.0.0.1", 0), 1, "test")
    server.start()
    connection = send_request(server.address)
    response = connection.getresponse()
    stopper = threading.Thread(target=server.stop)
    stopper.start()
    time.sleep(LATE_SECONDS)
    assert stopper.is_alive()  # the process ends after `stop`
    assert len(response.read()) == ANSWER_BYTES
    connection.close()
    stopper.join(TIMEOUT_SECONDS)
