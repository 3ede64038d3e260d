"""Connections to engines that go silent for good, while new ones work.

What users saw: connections stayed open and nothing came on them any more. Order of events:
some connections to an engine are kept, the network forgets them, a request is sent on one of
them. Cause of what it cost: a time-out closed this one alone, so that the next request took
the next dead one; and a stream whose head had come was waited for to its deadline. Evidence:
the tests below, without `EngineConnections.close_suspects` and without `first_event_wait`.
"""

import socket
import threading
import time
from collections.abc import Iterator

import pytest

from tests.platform.standins import EngineStandin
from tests.silent_proxy import SilentProxy
from troutswitch.common import Address
from troutswitch.decisions.forwarding.messages import (
    AbortAttempt,
    RequestArrived,
    RequestAttemptEnded,
    SendRequest,
)
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.gateway.callers.relay import Relay
from troutswitch.gateway.callers.relay_registry import RelayRegistry
from troutswitch.gateway.engines import exchange as exchange_module
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.gateway.engines.exchange import (
    AnswerLost,
    Exchange,
    OutgoingRequest,
)
from troutswitch.outcomes import AttemptKind
from troutswitch.platform import names
from troutswitch.platform.requests import IncomingRequest
from troutswitch.runtime.silence import USER_TIMEOUT_MILLISECONDS

KEPT = 3
SHORT_WAIT_SECONDS = 0.4
"""Wait in which nothing comes on a silent connection; longer than `SUSPECT_SILENCE_SECONDS`."""
LONG_WAIT_SECONDS = 30.0
BODY_BYTES = 16 << 20
"""A body that no socket buffer takes whole."""
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Troutswitch-Request-Id: x\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class World:
    """One engine behind a proxy, and the connections to it."""

    def __init__(self) -> None:
        self.engine = EngineStandin("one")
        self.proxy = SilentProxy(self.engine.address)
        self.suspects_closed: list[tuple[str, int]] = []
        self.connections = EngineConnections(lambda *told: self.suspects_closed.append(told))

    def exchange(self, request_id: str, body: bytes = b"body") -> Exchange:
        headers = [
            ("Host", "h"),
            (names.REQUEST_ID, request_id),
            (names.EXPECT_INSTANCE, "one"),
        ]
        request = OutgoingRequest(request_id, "POST", "/a", headers, body)
        return Exchange(self.connections, "one", self.proxy.address, request, names.REQUEST_ID)

    def keep(self, count: int) -> None:
        """Leaves some connections idle, all of which have answered."""
        exchanges = [self.exchange(f"kept-{number}") for number in range(count)]
        for exchange in exchanges:
            exchange.open(LONG_WAIT_SECONDS)
        for exchange in exchanges:
            exchange.body()
        assert self.proxy.connections == count

    def works(self, request_id: str) -> None:
        exchange = self.exchange(request_id)
        exchange.open(LONG_WAIT_SECONDS)
        assert exchange.body().endswith(b"-5\n\n")


@pytest.fixture
def world() -> Iterator[World]:
    held = World()
    yield held
    held.proxy.close()
    held.engine.server.shutdown()
    held.engine.server.server_close()


def test_one_time_out_closes_all_kept_connections_of_its_engine(world: World) -> None:
    world.keep(KEPT)
    world.proxy.silence()
    with pytest.raises(AnswerLost):
        world.exchange("lost").open(SHORT_WAIT_SECONDS)
    world.works("next")
    assert world.proxy.connections == KEPT + 1  # a fresh one, at once
    assert world.suspects_closed == [("one", KEPT - 1)]


def test_a_connection_that_answered_since_is_still_trusted(world: World) -> None:
    world.keep(2)
    held = world.exchange("held")
    held.open(LONG_WAIT_SECONDS)  # both connections were used, this one is silent from here
    world.works("meanwhile")
    world.connections.close_suspects("one", held.last_seen_at)
    world.works("next")
    assert world.proxy.connections == 2
    assert world.suspects_closed == []


def test_an_attempt_left_for_silence_closes_the_others_too(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(exchange_module, "SUSPECT_SILENCE_SECONDS", 0.0)
    world.keep(KEPT)
    world.proxy.silence()
    relays = RelayRegistry(lambda event: None)
    relays.open_channel(1)
    exchange = world.exchange("left")
    relays.begin_attempt(1, 1, exchange)
    threading.Timer(0.1, lambda: relays.abort_attempt(AbortAttempt(1, 1, is_silent=True))).start()
    with pytest.raises(AnswerLost):
        exchange.open(LONG_WAIT_SECONDS)
    world.works("next")
    assert world.proxy.connections == KEPT + 1


def test_a_caller_that_leaves_says_nothing_of_connections(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(exchange_module, "SUSPECT_SILENCE_SECONDS", 0.0)
    world.keep(KEPT)
    exchange = world.exchange("gone")
    exchange.open(LONG_WAIT_SECONDS)
    exchange.abort()
    exchange.close()
    world.works("next")
    assert world.proxy.connections == KEPT
    assert world.suspects_closed == []


def test_a_connection_silent_while_a_body_is_sent_ends_in_time(world: World) -> None:
    world.keep(KEPT)
    world.proxy.silence()
    with pytest.raises(AnswerLost):
        world.exchange("lost", b"x" * BODY_BYTES).open(SHORT_WAIT_SECONDS)
    world.works("next")
    assert world.proxy.connections == KEPT + 1


def test_a_connection_silent_inside_the_head_ends_in_time(world: World) -> None:
    world.proxy.silent_after_down = 20
    with pytest.raises(AnswerLost):
        world.exchange("lost").open(SHORT_WAIT_SECONDS)
    world.proxy.silent_after_down = None
    world.works("next")


def test_the_kernel_bounds_the_silence_of_a_connection(world: World) -> None:
    """No loopback peer leaves probes without an answer, so the options themselves are read."""
    world.keep(1)
    connection = world.connections.acquire("one", world.proxy.address, "other")
    sock = connection.sock
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    timeout = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert timeout == USER_TIMEOUT_MILLISECONDS
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == 1
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL) == 1
    connection.close()


class ScriptedLoop:
    """Sends a request to one address after the other."""

    def __init__(self, relays: RelayRegistry, addresses: list[tuple[str, Address]]) -> None:
        self.ended: list[RequestAttemptEnded] = []
        self._relays = relays
        self._addresses = addresses

    def post(self, event: object) -> None:
        if isinstance(event, RequestArrived):
            self._send(event.token, 1)
        elif isinstance(event, RequestAttemptEnded):
            self.ended.append(event)
            if event.attempt < len(self._addresses):
                self._send(event.token, event.attempt + 1)

    def _send(self, token: int, attempt: int) -> None:
        engine_id, address = self._addresses[attempt - 1]
        wait = SHORT_WAIT_SECONDS if attempt == 1 else LONG_WAIT_SECONDS
        send = SendRequest(token, attempt, engine_id, address, LONG_WAIT_SECONDS, wait, "", wait)
        threading.Timer(0.0, lambda: self._relays.send_directive(send)).start()


def relay(silent: Address) -> tuple[EngineStandin, ScriptedLoop, bytes]:
    """Relays a stream whose first engine falls silent, up to its end at the second."""
    second = EngineStandin("two")
    relays = RelayRegistry(lambda event: None)
    loop = ScriptedLoop(relays, [("one", silent), ("two", second.address)])
    request = IncomingRequest("x", "POST", "/a", "h", "/a", "", [], 5.0, "", PromptShape())
    request.headers.append((names.REQUEST_ID, "x"))
    relayed = Relay(
        1,
        request,
        b"body",
        relays,
        EngineConnections(),
        loop.post,
        EngineActivityReporter(loop.post),
    )
    began = time.monotonic()
    data = b"".join(relayed.run())
    assert time.monotonic() - began < LONG_WAIT_SECONDS / 2, "waited for to its deadline"
    second.server.shutdown()
    second.server.server_close()
    return second, loop, data


def whole() -> bytes:
    return b"".join(f"id: {n}\ndata: x-{n}\n\n".encode() for n in range(1, 6))


def test_a_stream_silent_between_its_events_goes_on_elsewhere(world: World) -> None:
    world.proxy.silent_after_down = 330  # the head and some events
    second, loop, data = relay(world.proxy.address)
    assert data == whole()
    assert [e.kind for e in loop.ended] == [AttemptKind.CUT, AttemptKind.COMPLETED]
    assert int(second.requests[0][2]["last-event-id"]) == loop.ended[0].delivered > 0


def test_a_stream_silent_after_its_head_goes_on_elsewhere() -> None:
    """Its thread and its place were held to the deadline: no bound held before an event."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        held: list[socket.socket] = []

        def answer_with_a_head() -> None:
            held.append(listener.accept()[0])
            held[0].recv(4096)
            held[0].sendall(HEAD)

        threading.Thread(target=answer_with_a_head, daemon=True).start()
        address = Address("127.0.0.1", listener.getsockname()[1])
        _, loop, data = relay(address)
    assert data == whole()
    assert [e.kind for e in loop.ended] == [AttemptKind.CUT, AttemptKind.COMPLETED]
    assert "TimeoutError" in loop.ended[0].reason
    held[0].close()
