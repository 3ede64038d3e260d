"""Connections to engines that become permanently silent, while new connections work.

Guards against requests that are lost to dead connections. The network drops some idle connections
to an engine without a reset. A timeout closed only the connection on which it happened, so the next
request used the next dead one; and a stream that fell silent after its head was awaited until its
deadline. The tests fail without `EngineConnections.close_suspects` and `first_event_wait`.
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
from troutswitch.outcomes import AttemptOutcome
from troutswitch.platform import names
from troutswitch.platform.requests import IncomingRequest
from troutswitch.runtime.silence import USER_TIMEOUT_MILLISECONDS

IDLE_CONNECTIONS = 3
SHORT_WAIT_SECONDS = 0.4
"""Timeout on a silent connection; longer than `SUSPECT_SILENCE_SECONDS`."""
LONG_WAIT_SECONDS = 30.0
BODY_BYTES = 16 << 20
"""Size of a body that exceeds every socket buffer."""
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Troutswitch-Request-Id: x\r\nX-Troutswitch-Response-Stamp: s\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class ProxiedEngine:
    """An engine behind a proxy, and a pool of connections to it."""

    def __init__(self) -> None:
        self.engine = EngineStandin("one")
        self.proxy = SilentProxy(self.engine.address)
        self.suspects_closed: list[tuple[str, int]] = []
        self.connections = EngineConnections(lambda *closed: self.suspects_closed.append(closed))

    def exchange(self, request_id: str, body: bytes = b"body") -> Exchange:
        headers = [
            ("Host", "h"),
            (names.REQUEST_ID, request_id),
            (names.EXPECT_INSTANCE, "one"),
        ]
        request = OutgoingRequest(request_id, "POST", "/a", headers, body)
        return Exchange(self.connections, "one", self.proxy.address, request)

    def add_idle_connections(self, count: int) -> None:
        """Creates idle connections, each of which has received a response."""
        exchanges = [self.exchange(f"kept-{number}") for number in range(count)]
        for exchange in exchanges:
            exchange.open(LONG_WAIT_SECONDS)
        for exchange in exchanges:
            exchange.body()
        assert self.proxy.connection_count == count

    def assert_request_succeeds(self, request_id: str) -> None:
        exchange = self.exchange(request_id)
        exchange.open(LONG_WAIT_SECONDS)
        assert exchange.body().endswith(b"-5\n\n")


@pytest.fixture
def proxied() -> Iterator[ProxiedEngine]:
    proxied_engine = ProxiedEngine()
    yield proxied_engine
    proxied_engine.proxy.close()
    proxied_engine.engine.server.shutdown()
    proxied_engine.engine.server.server_close()


def test_timeout_closes_all_idle_connections_to_the_engine(proxied: ProxiedEngine) -> None:
    proxied.add_idle_connections(IDLE_CONNECTIONS)
    proxied.proxy.silence()
    with pytest.raises(AnswerLost):
        proxied.exchange("lost").open(SHORT_WAIT_SECONDS)
    proxied.assert_request_succeeds("next")
    assert (
        proxied.proxy.connection_count == IDLE_CONNECTIONS + 1
    )  # a new connection, without a second timeout
    assert proxied.suspects_closed == [("one", IDLE_CONNECTIONS - 1)]


def test_connection_with_a_later_response_is_not_closed(proxied: ProxiedEngine) -> None:
    proxied.add_idle_connections(2)
    in_progress = proxied.exchange("held")
    in_progress.open(
        LONG_WAIT_SECONDS
    )  # both connections were used; this one receives nothing else
    proxied.assert_request_succeeds("meanwhile")
    proxied.connections.close_suspects("one", in_progress.last_seen_at)
    proxied.assert_request_succeeds("next")
    assert proxied.proxy.connection_count == 2
    assert proxied.suspects_closed == []


def test_attempt_abandoned_for_silence_closes_idle_connections(
    proxied: ProxiedEngine, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(exchange_module, "SUSPECT_SILENCE_SECONDS", 0.0)
    proxied.add_idle_connections(IDLE_CONNECTIONS)
    proxied.proxy.silence()
    relays = RelayRegistry(lambda event: None)
    relays.open_channel(1)
    exchange = proxied.exchange("left")
    relays.begin_attempt(1, 1, exchange)
    threading.Timer(0.1, lambda: relays.abort_attempt(AbortAttempt(1, 1, is_silent=True))).start()
    with pytest.raises(AnswerLost):
        exchange.open(LONG_WAIT_SECONDS)
    proxied.assert_request_succeeds("next")
    assert proxied.proxy.connection_count == IDLE_CONNECTIONS + 1


def test_abort_for_a_disconnected_caller_closes_no_idle_connection(
    proxied: ProxiedEngine, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(exchange_module, "SUSPECT_SILENCE_SECONDS", 0.0)
    proxied.add_idle_connections(IDLE_CONNECTIONS)
    exchange = proxied.exchange("gone")
    exchange.open(LONG_WAIT_SECONDS)
    exchange.abort()
    exchange.close()
    proxied.assert_request_succeeds("next")
    assert proxied.proxy.connection_count == IDLE_CONNECTIONS
    assert proxied.suspects_closed == []


def test_connection_silent_while_a_body_is_sent_times_out(proxied: ProxiedEngine) -> None:
    proxied.add_idle_connections(IDLE_CONNECTIONS)
    proxied.proxy.silence()
    with pytest.raises(AnswerLost):
        proxied.exchange("lost", b"x" * BODY_BYTES).open(SHORT_WAIT_SECONDS)
    proxied.assert_request_succeeds("next")
    assert proxied.proxy.connection_count == IDLE_CONNECTIONS + 1


def test_connection_silent_inside_the_head_times_out(proxied: ProxiedEngine) -> None:
    proxied.proxy.silent_after_down = 20
    with pytest.raises(AnswerLost):
        proxied.exchange("lost").open(SHORT_WAIT_SECONDS)
    proxied.proxy.silent_after_down = None
    proxied.assert_request_succeeds("next")


def test_keepalive_and_user_timeout_are_set_on_connections(proxied: ProxiedEngine) -> None:
    """A loopback peer always answers probes, so the test reads the socket options instead."""
    proxied.add_idle_connections(1)
    connection = proxied.connections.acquire("one", proxied.proxy.address, "other")
    sock = connection.sock
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    timeout = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert timeout == USER_TIMEOUT_MILLISECONDS
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == 1
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL) == 1
    connection.close()


class ScriptedLoop:
    """A loop that sends each attempt to the next of the given engines."""

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
    """Relays a stream whose first engine falls silent; the second engine completes it."""
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
    started_at = time.monotonic()
    data = b"".join(relayed.run())
    assert time.monotonic() - started_at < LONG_WAIT_SECONDS / 2, "waited until the deadline"
    second.server.shutdown()
    second.server.server_close()
    return second, loop, data


def complete_stream() -> bytes:
    return b"".join(f"id: {n}\ndata: x-{n}\n\n".encode() for n in range(1, 6))


def test_stream_silent_between_events_resumes_at_another_engine(proxied: ProxiedEngine) -> None:
    proxied.proxy.silent_after_down = 330  # the head and some events
    second, loop, data = relay(proxied.proxy.address)
    assert data == complete_stream()
    assert [e.kind for e in loop.ended] == [AttemptOutcome.CUT, AttemptOutcome.COMPLETED]
    assert int(second.requests[0][2]["last-event-id"]) == loop.ended[0].delivered > 0


def test_stream_silent_after_its_head_resumes_at_another_engine() -> None:
    """Guards against a stream that occupies its thread and its slot until the deadline, because no
    timeout applied before the first event."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        accepted: list[socket.socket] = []

        def answer_with_a_head() -> None:
            accepted.append(listener.accept()[0])
            accepted[0].recv(4096)
            accepted[0].sendall(HEAD)

        threading.Thread(target=answer_with_a_head, daemon=True).start()
        address = Address("127.0.0.1", listener.getsockname()[1])
        _, loop, data = relay(address)
    assert data == complete_stream()
    assert [e.kind for e in loop.ended] == [AttemptOutcome.CUT, AttemptOutcome.COMPLETED]
    assert "TimeoutError" in loop.ended[0].reason
    accepted[0].close()
