"""A caller that leaves frees its engine whatever state its request is in.

Users saw engines at work for seconds on streams whose callers had closed their connection,
and requests that reached an engine after their caller had left. Order of events: the close
arrives; waitress doesn't read that connection (an answer waits for the caller's window, or
further requests are queued on it), or the loop is busy and looks at its callers only later;
the engine goes on until its next byte can't be delivered, or until its deadline. Cause: a
close was seen only by a read of waitress and only acted on by the loop. Evidence: in these
tests the loop is busy for good, so that only what doesn't need it can free the engine.
"""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from tests.gateway.raw_server import (
    WAIT_SECONDS,
    Behaviour,
    RawServer,
    endless,
    one_event,
    rejecting,
    silent,
    whole,
)
from tests.ports import HOST
from troutswitch.common import Address
from troutswitch.decisions.forwarding.messages import (
    CallerGone,
    FinishRequest,
    RequestArrived,
    RequestAttemptEnded,
    RequestUnserved,
    SendRequest,
)
from troutswitch.gateway.callers.application import CallerApplication
from troutswitch.gateway.callers.listener import HttpListener
from troutswitch.gateway.callers.relay_registry import RelayRegistry
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.outcomes import MayHaveRun, Step

ENGINE_SECONDS = 100 * WAIT_SECONDS
"""Patience with an engine, so long that no test mistakes its end for that of a caller."""


def wait_for(condition: Callable[[], bool], what: str) -> None:
    until = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < until, f"not in time: {what}"
        time.sleep(0.01)


class BusyLoop:
    """Sends each request to an engine, and hears of nothing else: it is busy for good."""

    def __init__(self, engines: list[RawServer]) -> None:
        self.engines = engines
        self.gone: list[CallerGone] = []
        self.arrived: list[int] = []
        self.unserved: list[str] = []
        self.attempt_ended = threading.Event()
        self.close_reported = threading.Event()
        self.relays = RelayRegistry(self.post)
        self.relays.caller_watch.start()
        application = CallerApplication(
            self.relays,
            EngineConnections(),
            self.post,
            EngineActivityReporter(self.post),
            lambda request, body: None,
        )
        self.listener = HttpListener(
            application,
            Address(HOST, 0),
            1,
            "callers",
            100,
            self.relays.caller_watch.before_close,
            application.on_unserved,
        )
        self.listener.start()

    def post(self, event: object) -> None:
        if isinstance(event, RequestArrived):
            self.arrived.append(event.token)
            self.send(event.token, 1)
        elif isinstance(event, RequestAttemptEnded):
            self.attempt_ended.set()
        elif isinstance(event, RequestUnserved):
            self.unserved.append(event.request_id)
        elif isinstance(event, CallerGone):
            self.gone.append(event)
            self.close_reported.set()

    def send(self, token: int, attempt: int) -> None:
        address = self.engines[attempt - 1].address
        waits = ENGINE_SECONDS
        self.relays.send_directive(
            SendRequest(token, attempt, f"s-{attempt}", address, waits, waits, "")
        )

    def finish(self, token: int) -> None:
        self.relays.send_directive(FinishRequest(token, MayHaveRun("left", Step.RELAY, "")))

    def finish_all(self) -> None:
        """Ends the threads of all requests, as the loop does once it has time."""
        for token in self.arrived:
            self.finish(token)
        wait_for(lambda: self.relays.count == 0, "no request in progress")

    def open_channels(self) -> list[Any]:
        """Returns waitress's connections of callers that are open."""
        return list(self.listener._server.active_channels.values())

    def connect(self) -> socket.socket:
        caller = socket.create_connection((HOST, self.listener.address.port), WAIT_SECONDS)
        caller.settimeout(WAIT_SECONDS)
        return caller


def request(name: str, body: bytes = b"") -> bytes:
    lines = [
        "POST /x HTTP/1.1",
        "Host: h",
        f"X-Troutswitch-Request-Id: {name}",
        "X-Troutswitch-Deadline-Ms: 30000",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


Start = Callable[..., BusyLoop]


@pytest.fixture
def start() -> Iterator[Start]:
    held: list[BusyLoop] = []

    def begin(*behaviours: Behaviour, receive_bytes: int = 0) -> BusyLoop:
        held.append(BusyLoop([RawServer(made, receive_bytes) for made in behaviours]))
        return held[-1]

    yield begin
    for loop in held:
        loop.listener.stop()


def assert_engine_freed(loop: BusyLoop) -> None:
    assert loop.engines[0].ended.wait(WAIT_SECONDS)
    assert loop.close_reported.wait(WAIT_SECONDS)
    loop.finish_all()


def test_before_the_first_event(start: Start) -> None:
    loop = start(silent)
    with loop.connect() as caller:
        caller.sendall(request("a"))
        assert loop.engines[0].arrived.wait(WAIT_SECONDS)
    assert_engine_freed(loop)
    assert loop.gone[0].aborted_at >= loop.gone[0].closed_at


def test_in_a_stream_whose_engine_stands_still(start: Start) -> None:
    loop = start(one_event)
    with loop.connect() as caller:
        caller.sendall(request("a"))
        assert caller.recv(1)
    assert_engine_freed(loop)


@pytest.mark.parametrize("is_reset", [True, False])
def test_in_a_stream_whose_window_is_shut(start: Start, is_reset: bool) -> None:
    """A caller that leaves bytes unread resets its connection; a proxy may close it as well."""
    loop = start(endless)
    caller = loop.connect()
    caller.sendall(request("a"))
    assert caller.recv(1)
    wait_for(
        lambda: any(c.total_outbufs_len > 1 << 20 for c in loop.open_channels()), "a shut window"
    )
    if is_reset:
        caller.close()
    else:
        caller.shutdown(socket.SHUT_WR)
    assert_engine_freed(loop)
    wait_for(lambda: not loop.open_channels(), "the connection closed")
    caller.close()


def test_with_further_requests_queued_on_its_connection(start: Start) -> None:
    loop = start(silent)
    with loop.connect() as caller:
        caller.sendall(request("a") + request("b") + request("c"))
        assert loop.engines[0].arrived.wait(WAIT_SECONDS)
        wait_for(lambda: any(len(c.requests) > 1 for c in loop.open_channels()), "a queue")
    assert_engine_freed(loop)
    wait_for(lambda: not loop.open_channels(), "the connection closed")
    assert len(loop.engines[0].requests) == 1


def test_between_two_attempts(start: Start) -> None:
    """The loop decided to send before it heard of the close: nothing reaches the engine."""
    loop = start(rejecting, silent)
    with loop.connect() as caller:
        caller.sendall(request("a"))
        assert loop.attempt_ended.wait(WAIT_SECONDS)
    assert loop.close_reported.wait(WAIT_SECONDS)
    loop.send(loop.arrived[0], 2)
    loop.finish_all()
    assert not loop.engines[1].arrived.is_set()


def test_queued_for_a_thread(start: Start) -> None:
    """The listener has one thread: the second request waits for it, and its caller leaves."""
    loop = start(whole)
    engine = loop.engines[0]
    first, third = loop.connect(), loop.connect()
    first.sendall(request("first"))
    assert engine.arrived.wait(WAIT_SECONDS)
    with loop.connect() as second:
        second.sendall(request("second"))
        wait_for(lambda: sum(bool(c.requests) for c in loop.open_channels()) == 2, "queued")
    third.sendall(request("third"))
    engine.may_go_on.set()
    assert first.recv(1)
    assert third.recv(1)
    assert all(b"second" not in head for head in engine.requests)
    assert loop.unserved == ["second"]
    first.close()
    third.close()


def test_while_its_request_is_sent(start: Start) -> None:
    """The engine reads slowly, and the kernel holds the rest of the request: it is dropped."""
    body = b"x" * 200_000
    held: list[int] = []

    def slow(engine: RawServer, connection: socket.socket) -> None:
        engine.arrived.set()
        assert engine.may_go_on.wait(WAIT_SECONDS)
        try:
            while data := connection.recv(1 << 16):
                held.append(len(data))
        finally:
            engine.ended.set()

    loop = start(slow, receive_bytes=4096)
    with loop.connect() as caller:
        caller.sendall(request("a", body))
        assert loop.engines[0].arrived.wait(WAIT_SECONDS)
    assert loop.close_reported.wait(WAIT_SECONDS)
    loop.finish_all()
    loop.engines[0].may_go_on.set()
    assert loop.engines[0].ended.wait(WAIT_SECONDS)
    assert sum(held) < len(body)
