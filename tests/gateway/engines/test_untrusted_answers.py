"""Whatever bytes an engine answers with, an exchange ends with an answer or a typed error."""

import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.gateway.raw_server import RawServer
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.exchange import AnswerLost, Exchange, OutgoingRequest
from troutswitch.platform import names
from troutswitch.wire_values import MAX_SECONDS

HEAD = b"HTTP/1.1 200 OK\r\nX-Troutswitch-Request-Id: r\r\nX-Troutswitch-Response-Stamp: s\r\n"
PIECES = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 99999 x\r\n",
    b"HTTP/1.1 103 Early\r\n\r\n",
    b"X-Troutswitch-Request-Id: r\r\n",
    b"X-Troutswitch-Response-Stamp: s\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: -3\r\n",
    b"Content-Length: \xb2\r\n",
    b"Keep-Alive: timeout=\xb2\r\n",
    b"Keep-Alive: timeout=" + b"9" * 400 + b"\r\n",
    b"X: a\r\n b\r\n",
    b"X: a\x00b\r\n",
    b"\xff: \xff\r\n",
    b"\r\n",
    b"-5\r\n",
    b"zz\r\n",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
]


class Engine:
    """Answers each request with the next bytes, then closes its side of the connection."""

    def __init__(self) -> None:
        self.answer = b""
        self.server = RawServer(self._respond)

    def _respond(self, server: RawServer, connection: socket.socket) -> None:
        server.read_head(connection)
        connection.sendall(self.answer)
        connection.shutdown(socket.SHUT_WR)
        server.wait_for_end(connection)

    def exchange(self, answer: bytes) -> tuple[Exchange, bytes]:
        """Returns an exchange that is answered with the given bytes, and the body."""
        self.answer = answer
        request = OutgoingRequest("r", "POST", "/a", [(names.REQUEST_ID, "r")], b"")
        exchange = Exchange(EngineConnections(), "engine", self.server.address, request)
        try:
            exchange.open(5.0)
            return exchange, exchange.body()
        finally:
            exchange.close()


ENGINE = Engine()


@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.lists(st.sampled_from(PIECES) | st.binary(max_size=8), max_size=10), st.booleans())
def test_any_bytes_are_an_answer_or_a_lost_one(pieces: list[bytes], has_head: bool) -> None:
    answer = (HEAD if has_head else b"") + b"".join(pieces)
    try:
        exchange, _ = ENGINE.exchange(answer)
    except AnswerLost:
        return
    assert 0 <= exchange.kept_seconds <= MAX_SECONDS


@pytest.mark.parametrize("timeout", [b"\xb2", b"9" * 400, b"-1", b"nan", b"x"])
def test_idle_time_that_is_no_number_does_not_lose_the_answer(timeout: bytes) -> None:
    """Guards against an error after the last byte of a whole answer."""
    answer = HEAD + b"Keep-Alive: timeout=" + timeout + b"\r\nContent-Length: 1\r\n\r\na"
    _, body = ENGINE.exchange(answer)
    assert body == b"a"


@pytest.mark.parametrize("header", [b"X: a\r\n b", b"X: a\x00b", b"X\xff: a", b"X Y: a"])
def test_answer_with_a_header_that_can_not_be_forwarded_is_lost(header: bytes) -> None:
    """Guards against an internal error while the answer's head is sent to the caller."""
    with pytest.raises(AnswerLost):
        ENGINE.exchange(HEAD + header + b"\r\nContent-Length: 1\r\n\r\na")


@pytest.mark.parametrize(
    "status", ["000", "0", "00", "20", "099", "0200", "2000", "+200", "2_00", "600", "999"]
)
def test_status_that_is_none_is_no_answer(status: str) -> None:
    """Guards against an answer of a server in trouble whose status the parser takes for another."""
    sound = HEAD + b"Content-Length: 1\r\n\r\na"
    assert ENGINE.exchange(sound)[1] == b"a"
    with pytest.raises(AnswerLost):
        ENGINE.exchange(sound.replace(b"200", status.encode(), 1))
