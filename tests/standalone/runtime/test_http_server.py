"""The end of an HTTP server: requests that were read are answered, also those that wait.

What a caller saw: "Remote end closed connection without response", one of 96 requests beside a
daemon that was stopped as planned, on a full machine. Order of events: the daemon has drained and
refuses new requests; it stops its listener while one waits for a thread. Cause: the threads ended
first, and what waited was cancelled, so its connection was closed without a word.
"""

import http.client
import threading
from collections.abc import Iterable

from troutswitch.common import Address
from troutswitch.runtime.http import Environ, Response, StartResponse, send
from troutswitch.standalone.runtime.http_server import HttpServer

PATIENCE_SECONDS = 30.0


class Application:
    """Holds its first request until it is let go, and answers all."""

    def __init__(self) -> None:
        self.has_begun = threading.Event()
        self.may_end = threading.Event()

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        self.has_begun.set()
        self.may_end.wait(PATIENCE_SECONDS)
        return send(Response(503, b"{}"), start_response)


def ask(address: Address) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection(*address, timeout=PATIENCE_SECONDS)
    connection.request("GET", "/")
    return connection


def test_a_request_that_waits_for_a_thread_is_answered_before_the_end() -> None:
    application = Application()
    server = HttpServer(application, Address("127.0.0.1", 0), 1, "test")
    server.start()
    first = ask(server.address)
    assert application.has_begun.wait(PATIENCE_SECONDS)
    second = ask(server.address)
    stopper = threading.Thread(target=server.stop)
    stopper.start()
    threading.Timer(0.3, application.may_end.set).start()
    assert first.getresponse().status == 503
    assert second.getresponse().status == 503
    stopper.join(PATIENCE_SECONDS)


def test_a_server_that_stopped_takes_no_connection() -> None:
    application = Application()
    application.may_end.set()
    server = HttpServer(application, Address("127.0.0.1", 0), 1, "test")
    server.start()
    assert ask(server.address).getresponse().status == 503
    server.stop()
    try:
        ask(server.address)
    except ConnectionRefusedError:
        return
    raise AssertionError("a stopped server takes connections")
