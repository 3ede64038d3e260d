"""A caller's disconnect frees its engine, whatever the state of the request.

Guards against engines that work for seconds on streams whose callers have disconnected, and against
requests that reach an engine after the disconnect. Both happened when only a read by waitress
detected a close and only the loop reacted to it: waitress does not read a connection whose receive
window is full or on which further requests are queued, and the loop may be busy. The loop in these
tests is permanently busy, so the engine must be freed without it.
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
    complete_streams,
    endless,
    rejecting,
    silent,
    single_event,
)
from tests.ports import HOST
from troutswitch.common import Address
from troutswitch.decisions.forwarding.messages import (
    CallerGone,
    CallerGoneBeforeHandling,
    FinishRequest,
    RequestArrived,
    RequestAttemptEnded,
    SendRequest,
)
from troutswitch.gateway.callers.application import CallerApplication
from troutswitch.gateway.callers.listener import HttpListener
from troutswitch.gateway.callers.relay_registry import RelayRegistry
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.outcomes import MayHaveRun, Step

ENGINE_SECONDS = 100 * WAIT_SECONDS
"""Timeout of requests to engines, too long to be mistaken for the effect of a disconnect."""


def wait_for(condition: Callable[[], bool], what: str) -> None:
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f"not in time: {what}"
        time.sleep(0.01)


class BusyLoop:
    """A loop that sends each request to an engine and reacts to no other event."""

    def __init__(self, engines: list[RawServer]) -> None:
        self.engines = engines
        self.disconnects: list[CallerGone] = []
        self.tokens: list[int] = []
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
            self.tokens.append(event.token)
            self.send(event.token, 1)
        elif isinstance(event, RequestAttemptEnded):
            self.attempt_ended.set()
        elif isinstance(event, CallerGoneBeforeHandling):
            self.unserved.append(event.request_id)
        elif isinstance(event, CallerGone):
            self.disconnects.append(event)
            self.close_reported.set()

    def send(self, token: int, attempt: int) -> None:
        address = self.engines[attempt - 1].address
        timeout = ENGINE_SECONDS
        self.relays.send_directive(
            SendRequest(token, attempt, f"s-{attempt}", address, timeout, timeout, "")
        )

    def finish(self, token: int) -> None:
        self.relays.send_directive(FinishRequest(token, MayHaveRun("left", Step.RELAY, "")))

    def finish_all(self) -> None:
        """Finishes all requests, as the loop does when it is no longer busy."""
        for token in self.tokens:
            self.finish(token)
        wait_for(lambda: self.relays.count == 0, "no request in progress")

    def open_channels(self) -> list[Any]:
        """Returns waitress's channels of the open caller connections."""
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
    loops: list[BusyLoop] = []

    def start_loop(*behaviours: Behaviour, receive_bytes: int = 0) -> BusyLoop:
        loops.append(BusyLoop([RawServer(behaviour, receive_bytes) for behaviour in behaviours]))
        return loops[-1]

    yield start_loop
    for loop in loops:
        loop.listener.stop()


def assert_engine_freed(loop: BusyLoop) -> None:
    assert loop.engines[0].connection_closed.wait(WAIT_SECONDS)
    assert loop.close_reported.wait(WAIT_SECONDS)
    loop.finish_all()


def test_disconnect_before_the_first_event_frees_the_engine(start: Start) -> None:
    loop = start(silent)
    with loop.connect() as caller:
        caller.sendall(request("a"))
        assert loop.engines[0].request_received.wait(WAIT_SECONDS)
    assert_engine_freed(loop)
    assert loop.disconnects[0].aborted_at >= loop.disconnects[0].closed_at


def test_disconnect_from_a_stalled_stream_frees_the_engine(start: Start) -> None:
    loop = start(single_event)
    with loop.connect() as caller:
        caller.sendall(request("a"))
        assert caller.recv(1)
    assert_engine_freed(loop)


@pytest.mark.parametrize("is_reset", [True, False])
def test_disconnect_with_a_full_receive_window_frees_the_engine(
    start: Start, is_reset: bool
) -> None:
    """Closing a socket with unread bytes resets the connection; a proxy may also send FIN."""
    loop = start(endless)
    caller = loop.connect()
    caller.sendall(request("a"))
    assert caller.recv(1)
    wait_for(
        lambda: any(c.total_outbufs_len > 1 << 20 for c in loop.open_channels()), "a full window"
    )
    if is_reset:
        caller.close()
    else:
        caller.shutdown(socket.SHUT_WR)
    assert_engine_freed(loop)
    wait_for(lambda: not loop.open_channels(), "the connection closed")
    caller.close()


def test_disconnect_with_further_requests_queued_frees_the_engine(start: Start) -> None:
    loop = start(silent)
    with loop.connect() as caller:
        caller.sendall(request("a") + request("b") + request("c"))
        assert loop.engines[0].request_received.wait(WAIT_SECONDS)
        wait_for(lambda: any(len(c.requests) > 1 for c in loop.open_channels()), "a queue")
    assert_engine_freed(loop)
    wait_for(lambda: not loop.open_channels(), "the connection closed")
    assert len(loop.engines[0].requests) == 1


def test_disconnect_between_two_attempts_prevents_the_second(start: Start) -> None:
    """The loop decided on the attempt before it processed the disconnect: nothing is sent."""
    loop = start(rejecting, silent)
    with loop.connect() as caller:
        caller.sendall(request("a"))
        assert loop.attempt_ended.wait(WAIT_SECONDS)
    assert loop.close_reported.wait(WAIT_SECONDS)
    loop.send(loop.tokens[0], 2)
    loop.finish_all()
    assert not loop.engines[1].request_received.is_set()


def test_request_whose_caller_disconnects_while_it_is_queued_is_not_served(start: Start) -> None:
    """The listener has one thread: the second caller disconnects while its request is queued."""
    loop = start(complete_streams)
    engine = loop.engines[0]
    first, third = loop.connect(), loop.connect()
    first.sendall(request("first"))
    assert engine.request_received.wait(WAIT_SECONDS)
    with loop.connect() as second:
        second.sendall(request("second"))
        wait_for(lambda: sum(bool(c.requests) for c in loop.open_channels()) == 2, "queued")
    third.sendall(request("third"))
    engine.may_respond.set()
    assert first.recv(1)
    assert third.recv(1)
    assert all(b"second" not in head for head in engine.requests)
    assert loop.unserved == ["second"]
    first.close()
    third.close()


def test_disconnect_while_the_request_is_sent_drops_the_rest(start: Start) -> None:
    """The engine reads slowly, so the kernel buffers the rest of the request; it is dropped."""
    body = b"x" * 200_000
    received_sizes: list[int] = []

    def slow(engine: RawServer, connection: socket.socket) -> None:
        engine.request_received.set()
        assert engine.may_respond.wait(WAIT_SECONDS)
        try:
            while data := connection.recv(1 << 16):
                received_sizes.append(len(data))
        finally:
            engine.connection_closed.set()

    loop = start(slow, receive_bytes=4096)
    with loop.connect() as caller:
        caller.sendall(request("a", body))
        assert loop.engines[0].request_received.wait(WAIT_SECONDS)
    assert loop.close_reported.wait(WAIT_SECONDS)
    loop.finish_all()
    loop.engines[0].may_respond.set()
    assert loop.engines[0].connection_closed.wait(WAIT_SECONDS)
    assert sum(received_sizes) < len(body)
