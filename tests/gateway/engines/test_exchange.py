import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import AnswerFacts
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.exchange import (
    AnswerLost,
    Exchange,
    NotConnected,
    OutgoingRequest,
)
from troutswitch.platform import names
from troutswitch.wire_values import Framing

SIGNED = f"HTTP/1.1 200 OK\r\n{names.RESPONSE_STAMP}: s\r\n{names.REQUEST_ID}: "
CHUNKED = SIGNED + "{id}\r\nTransfer-Encoding: chunked\r\n{more}\r\n"


class ScriptedEngine:
    """An engine that answers requests with scripted bytes, then closes the connection."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self.listener.getsockname()[1])
        self.answers: list[bytes] = []
        self.requests: list[bytes] = []
        self.connections = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            with connection:
                while self.answers:
                    data = self._read_request(connection)
                    if not data:
                        break
                    self.requests.append(data)
                    answer = self.answers.pop(0)
                    connection.sendall(answer)
                    if b"Connection: close" in answer:
                        break

    @staticmethod
    def _read_request(connection: socket.socket) -> bytes:
        data = b""
        while not data.endswith(b"\r\n\r\nbody"):
            try:
                more = connection.recv(65536)
            except ConnectionResetError:
                return b""
            if not more:
                return b""
            data += more
        return data


@pytest.fixture
def engine() -> Iterator[ScriptedEngine]:
    scripted = ScriptedEngine()
    yield scripted
    scripted.listener.close()


@pytest.fixture
def connections() -> EngineConnections:
    return EngineConnections()


MakeExchange = Callable[[str], Exchange]


@pytest.fixture
def make(engine: ScriptedEngine, connections: EngineConnections) -> MakeExchange:
    def make_exchange(request_id: str) -> Exchange:
        request = OutgoingRequest(request_id, "POST", "/a/b?c=1", [("Host", "h")], b"body")
        return Exchange(connections, "server-1", engine.address, request)

    return make_exchange


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def head(request_id: str, more: str = "") -> bytes:
    return CHUNKED.format(id=request_id, more=more).encode()


def test_response_with_connection_close_is_read_completely(
    engine: ScriptedEngine, make: MakeExchange
) -> None:
    more = b"x" * 300_000  # exceeds one buffer, so it is read after the head
    engine.answers = [head("1", "Connection: close\r\n") + chunk(more) + b"0\r\n\r\n"]
    exchange = make("1")
    exchange.open(2.0)
    assert exchange.body() == more


def test_connection_is_reused_after_chunked_and_fixed_length_responses(
    engine: ScriptedEngine, make: MakeExchange
) -> None:
    fixed_length = SIGNED.encode() + b"2\r\nContent-Length: 3\r\n\r\ntwo"
    engine.answers = [
        head("1") + chunk(b"one") + b"0\r\n\r\n",
        fixed_length,
        head("3") + chunk(b"three") + b"0\r\n\r\n",
    ]
    for request_id, body in (("1", b"one"), ("2", b"two"), ("3", b"three")):
        exchange = make(request_id)
        exchange.open(2.0)
        assert exchange.body() == body
    assert engine.connections == 1


@pytest.mark.parametrize(
    ("more", "seconds"),
    [("", 4.0), ("Keep-Alive: timeout=5\r\n", 3.0), ("Connection: close\r\n", 0)],
)
def test_exchange_tells_how_long_its_connection_may_be_reused(
    engine: ScriptedEngine, make: MakeExchange, more: str, seconds: float
) -> None:
    """The loop's estimate of idle connections depends on it."""
    engine.answers = [head("1", more) + chunk(b"one") + b"0\r\n\r\n"]
    exchange = make("1")
    exchange.open(2.0)
    assert exchange.kept_seconds == 0
    exchange.body()
    assert exchange.kept_seconds == seconds


def test_exchange_tells_how_its_answer_arrived(engine: ScriptedEngine, make: MakeExchange) -> None:
    surplus = head("old") + chunk(b"old") + b"0\r\n\r\n"
    engine.answers = [
        SIGNED.encode() + b"1\r\nContent-Length: 3\r\n\r\none",
        surplus + head("2") + chunk(b"two") + b"0\r\n\r\n",
    ]
    facts = []
    for request_id in ("1", "2"):
        exchange = make(request_id)
        exchange.open(2.0)
        exchange.body()
        facts.append(exchange.facts)
    assert facts == [
        AnswerFacts(True, Framing.LENGTH, 0, 0),
        AnswerFacts(True, Framing.CHUNKED, 1, 1),
    ]


def test_surplus_response_before_the_expected_one_is_dropped(
    engine: ScriptedEngine, make: MakeExchange
) -> None:
    surplus = head("old") + chunk(b"old") + b"0\r\n\r\n"
    engine.answers = [surplus + head("2") + chunk(b"mine") + b"0\r\n\r\n"]
    exchange = make("2")
    exchange.open(2.0)
    assert exchange.body() == b"mine"


def test_connection_with_surplus_bytes_is_not_reused(
    engine: ScriptedEngine, make: MakeExchange
) -> None:
    answer = head("1") + chunk(b"one") + b"0\r\n\r\n"
    engine.answers = [answer + answer, head("2") + chunk(b"two") + b"0\r\n\r\n"]
    first = make("1")
    first.open(2.0)
    assert first.body() == b"one"
    engine.answers = [head("2") + chunk(b"two") + b"0\r\n\r\n"]
    second = make("2")
    second.open(2.0)
    assert second.body() == b"two"


def test_truncated_chunked_response_is_lost(engine: ScriptedEngine, make: MakeExchange) -> None:
    engine.answers = [head("1", "Connection: close\r\n") + chunk(b"one")]
    exchange = make("1")
    exchange.open(2.0)
    with pytest.raises(AnswerLost):
        exchange.body()


def test_response_shorter_than_its_content_length_is_lost(
    engine: ScriptedEngine, make: MakeExchange
) -> None:
    answer = SIGNED.encode() + b"1\r\nConnection: close\r\nContent-Length: 9\r\n\r\nshort"
    engine.answers = [answer]
    exchange = make("1")
    exchange.open(2.0)
    with pytest.raises(AnswerLost):
        exchange.body()


def test_malformed_response_is_lost(engine: ScriptedEngine, make: MakeExchange) -> None:
    engine.answers = [b"garbage garbage\r\n\r\n"]
    with pytest.raises(AnswerLost):
        make("1").open(2.0)


def test_refused_connection_raises_not_connected(connections: EngineConnections) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    address = Address("127.0.0.1", listener.getsockname()[1])
    listener.close()
    request = OutgoingRequest("1", "GET", "/", [("Host", "h")], b"")
    with pytest.raises(NotConnected):
        Exchange(connections, "gone", address, request).open(1.0)


def test_abort_ends_the_wait_for_a_response(engine: ScriptedEngine, make: MakeExchange) -> None:
    """An abort after a fixed delay could precede the sending of the request on a busy machine.

    The abort therefore waits until the engine has read the request. The engine keeps the connection
    open, so that only the abort can end the wait.
    """
    engine.answers = [b"", b"an answer to a second request, which never comes"]
    exchange = make("1")

    def abort_once_sent() -> None:
        while not engine.requests:
            time.sleep(0.001)
        exchange.abort()

    threading.Thread(target=abort_once_sent, daemon=True).start()
    with pytest.raises(AnswerLost):
        exchange.open(30.0)


def test_abort_before_sending_sends_nothing(engine: ScriptedEngine, make: MakeExchange) -> None:
    engine.answers = [b""]
    exchange = make("1")
    exchange.abort()
    with pytest.raises(NotConnected):
        exchange.open(1.0)
    assert engine.requests == []


def test_request_is_sent_unchanged(engine: ScriptedEngine, make: MakeExchange) -> None:
    engine.answers = [head("1") + b"0\r\n\r\n"]
    make("1").open(2.0)
    sent = b"".join(engine.requests)
    assert sent.startswith(b"POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\n")
    assert sent.count(b"Host:") == 1
    assert b"Accept-Encoding" not in sent
    assert sent.endswith(b"\r\n\r\nbody")


def test_a_surplus_answer_is_not_taken_for_the_answer_to_a_repeat(
    engine: ScriptedEngine, make: MakeExchange
) -> None:
    # A second response to "1" may still arrive on its connection, with the same id.
    first = head("1") + chunk(b"run one") + b"0\r\n\r\n"
    engine.answers = [first, head("1") + chunk(b"run two") + b"0\r\n\r\n"]
    exchange = make("1")
    exchange.open(5.0)
    assert exchange.body() == b"run one"
    again = make("1")
    again.open(5.0)
    assert again.body() == b"run two"
    assert engine.connections == 2


@pytest.mark.parametrize("host", ["a..b", "\u00e4" * 80, "\0", " ", "10.0.0.1\n", "", "0.0.0.256"])
def test_host_that_is_no_address_fails_before_anything_is_sent(host: str) -> None:
    """Guards against an error of the resolver that ends the caller's thread."""
    request = OutgoingRequest("r", "POST", "/", [], b"")
    exchange = Exchange(EngineConnections(), "e", Address(host, 80), request)
    with pytest.raises(NotConnected):
        exchange.open(1.0)
