"""An exchange returns an answer only if it is proved to be the engine's whole, signed answer."""

import socket
from collections.abc import Callable

import pytest

from tests.gateway.raw_server import RawServer, request_id
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.exchange import AnswerLost, Exchange, OutgoingRequest
from troutswitch.platform import names

WAIT_SECONDS = 5.0
STAMP = f"{names.RESPONSE_STAMP}: s\r\n"
NOT_RUN = f"{names.NOT_EXECUTED}: 1\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
EVENTS = b"id: 1\ndata: a\n\n"
STREAM = "Content-Type: text/event-stream\r\n"

Answers = list[Callable[[str], bytes]]


def answer(headers: str, body: bytes = b"abc", status: str = "200 OK") -> Callable[[str], bytes]:
    """Returns a function of the request's id that encodes an answer."""

    def encode(name: str) -> bytes:
        head = f"HTTP/1.1 {status}\r\n{names.REQUEST_ID}: {name}\r\n{headers}\r\n"
        return head.encode("latin-1") + body

    return encode


def whole(body: bytes = b"abc", more: str = "", status: str = "200 OK") -> Callable[[str], bytes]:
    """Returns a signed answer with a length."""
    return answer(f"{STAMP}{more}Content-Length: {len(body)}\r\n", body, status)


class Engine:
    """Answers the requests of all connections with the next of some answers."""

    def __init__(self, answers: Answers) -> None:
        self._answers = answers
        self.connections = EngineConnections()
        self.served = 0
        self.server = RawServer(self._respond)

    def _respond(self, server: RawServer, connection: socket.socket) -> None:
        self.served += 1
        while self._answers:
            name = request_id(server.read_head(connection))
            connection.sendall(self._answers.pop(0)(name))
        connection.shutdown(socket.SHUT_WR)
        server.wait_for_end(connection)

    def call(
        self, name: str = "r", expects_stream: bool = False, method: str = "GET"
    ) -> tuple[int, bytes]:
        """Returns the status and the body of an exchange's answer.

        Raises:
            AnswerLost: there was no proved answer.
        """
        headers = [(names.REQUEST_ID, name)]
        request = OutgoingRequest(name, method, "/a", headers, b"", expects_stream)
        exchange = Exchange(self.connections, "engine", self.server.address, request)
        try:
            head = exchange.open(WAIT_SECONDS)
            return head.status, exchange.body()
        finally:
            exchange.close()


@pytest.mark.parametrize("status", ["200 OK", "204 No Content", "206 Partial", "404 No", "500 No"])
@pytest.mark.parametrize("stamp", ["", f"{names.RESPONSE_STAMP}: \r\n", STAMP + STAMP])
def test_answer_without_one_signature_is_no_answer(status: str, stamp: str) -> None:
    body = b"" if status.startswith("204") else b"abc"
    engine = Engine([answer(f"{stamp}Content-Length: {len(body)}\r\n", body, status)])
    with pytest.raises(AnswerLost):
        engine.call()


@pytest.mark.parametrize(
    ("framing", "body"),
    [
        ("", b"abc"),
        ("Content-Length: 3x\r\n", b"abc"),
        ("Content-Length: -5\r\n", b"abc"),
        ("Content-Length: +3\r\n", b"abc"),
        ("Content-Length: 3, 3\r\n", b"abc"),
        ("Content-Length: 3\r\nContent-Length: 4\r\n", b"abc"),
        ("Content-Length: 3\r\nContent-Length: 3\r\n", b"abc"),
        ("Content-Length: 3\r\n" + CHUNKED, b"3\r\nabc\r\n0\r\n\r\n"),
        ("Transfer-Encoding: chunked, x\r\n", b"3\r\nabc\r\n0\r\n\r\n"),
        ("Transfer-Encoding: x\r\n", b"abc"),
        (CHUNKED + CHUNKED, b"3\r\nabc\r\n0\r\n\r\n"),
        ("Content-Length: 4\r\n", b"abc"),
        (CHUNKED, b"3\r\nabc\r\n"),
        (CHUNKED, b"3\r\nabc\r\n0"),
        (CHUNKED, b"3\r\nabc\r\n0\r\n"),
        (CHUNKED, b"3\r\nabc\r\n00"),
        (CHUNKED, b"3\r\nabc\r\n0\r\nX: y\r\n"),
        (CHUNKED, b"3\r\nabcde0\r\n\r\n"),
        (CHUNKED, b"-3\r\nabc\r\n0\r\n\r\n"),
        (CHUNKED, b"0x3\r\nabc\r\n0\r\n\r\n"),
        (CHUNKED, b"3\nabc\n0\n\n"),
        ("Content-Encoding: gzip\r\nContent-Length: 3\r\n", b"abc"),
    ],
)
def test_answer_that_is_not_whole_by_its_framing_is_no_answer(framing: str, body: bytes) -> None:
    with pytest.raises(AnswerLost):
        Engine([answer(STAMP + framing, body)]).call()


@pytest.mark.parametrize(
    "headers",
    [f"X-A: b\r{STAMP}Content-Length: 3\r\n", f"{STAMP}X-A: b\rContent-Length: 3\r\n"],
)
def test_part_of_a_header_is_no_header(headers: str) -> None:
    """Guards against a signature or a length that is the end of another header's value."""
    with pytest.raises(AnswerLost):
        Engine([answer(headers)]).call()


def test_switch_of_protocols_is_no_answer() -> None:
    """Guards against a response to a request that was not sent, which is relayed as complete."""
    with pytest.raises(AnswerLost):
        Engine([whole(b"", status="101 Switching Protocols")]).call()


def test_chunks_of_http_1_0_are_no_framing() -> None:
    coded = answer(STAMP + CHUNKED, b"3\r\nabc\r\n0\r\n\r\n")
    with pytest.raises(AnswerLost):
        Engine([lambda name: coded(name).replace(b"HTTP/1.1", b"HTTP/1.0")]).call()


def test_head_that_is_cut_is_no_answer() -> None:
    """Guards against a head whose last lines, the length among them, are missing."""
    with pytest.raises(AnswerLost):
        Engine([lambda name: answer(STAMP, b"")(name)[:-2]]).call()


@pytest.mark.parametrize("status", ["200 OK", "204 No Content", "404 No", "500 No", "504 No"])
def test_refusal_with_the_status_of_a_run_is_no_answer(status: str) -> None:
    engine = Engine([answer(NOT_RUN + "Content-Length: 0\r\n", b"", status)])
    with pytest.raises(AnswerLost):
        engine.call()


@pytest.mark.parametrize("status", ["408 Late", "429 Many", "503 Full"])
def test_run_with_the_status_of_a_refusal_is_no_answer(status: str) -> None:
    """Guards against a caller that is promised that its request did not run, and sends it again."""
    with pytest.raises(AnswerLost):
        Engine([whole(b"", status=status)]).call()


@pytest.mark.parametrize("framing", ["", "Content-Length: 9\r\n", CHUNKED])
def test_refusal_is_proved_by_its_head_whatever_its_body_is(framing: str) -> None:
    """Guards against a refusal that is counted and told as an answer that is not proved."""
    engine = Engine([answer(NOT_RUN + framing, b"full", "503 Full")])
    request = OutgoingRequest("r", "GET", "/a", [(names.REQUEST_ID, "r")], b"")
    exchange = Exchange(engine.connections, "engine", engine.server.address, request)
    assert exchange.open(WAIT_SECONDS).not_run
    exchange.discard_body()
    assert exchange.facts is not None and not exchange.facts.defect


@pytest.mark.parametrize(
    "made",
    [
        whole(EVENTS),
        whole(EVENTS, "Content-Type: text/plain\r\n"),
        whole(EVENTS, STREAM, "206 Partial"),
        whole(b"", "", "204 No Content"),
    ],
)
def test_success_that_is_no_event_stream_does_not_answer_a_stream(
    made: Callable[[str], bytes],
) -> None:
    """Guards against a stream that ends by length before its last event."""
    with pytest.raises(AnswerLost):
        Engine([made]).call(expects_stream=True)


@pytest.mark.parametrize("kind", ["text/event-stream", "Text/Event-Stream;charset=UTF-8"])
def test_event_stream_is_known_by_its_type_in_any_case(kind: str) -> None:
    """Media types don't depend on case (RFC 9110, section 8.3.1)."""
    engine = Engine([whole(EVENTS, f"Content-Type: {kind}\r\n")])
    assert engine.call(expects_stream=True) == (200, EVENTS)


@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", "200 OK"), ("GET", "304 Not Modified"), ("HEAD", "204 No")]
)
@pytest.mark.parametrize("framing", ["", CHUNKED, "Content-Length: 3\r\n"])
def test_answer_without_body_may_state_how_another_would_be_framed(
    method: str, status: str, framing: str
) -> None:
    """A coding is allowed with HEAD and 304, and not with 204 (RFC 9112, section 6.1)."""
    engine = Engine([answer(STAMP + framing, b"", status)])
    if status.startswith("204") and framing == CHUNKED:
        with pytest.raises(AnswerLost):
            engine.call(method=method)
    else:
        assert engine.call(method=method) == (int(status.split()[0]), b"")


def test_whole_signed_answers_are_returned() -> None:
    chunks = b"3;x=y\r\nabc\r\n0\r\nX: y\r\n\r\n"
    refusal = answer(NOT_RUN + "Content-Length: 1\r\n", b"x", "503 Full")
    misdirected = answer("Content-Length: 0\r\n", b"", "421 Misdirected")
    early = f"HTTP/1.1 103 Early\r\n{names.REQUEST_ID}: 4\r\n\r\n".encode()
    answers: Answers = [
        whole(),
        answer(STAMP + CHUNKED, chunks),
        whole(b"no", status="500 No"),
        lambda name: early + whole(b"four")(name),
        refusal,
        misdirected,
        whole(EVENTS, STREAM),
    ]
    engine = Engine(answers)
    ends = [engine.call(str(number)) for number in range(1, 7)]
    ends.append(engine.call("7", expects_stream=True))
    assert ends == [
        (200, b"abc"),
        (200, b"abc"),
        (500, b"no"),
        (200, b"four"),
        (503, b"x"),
        (421, b""),
        (200, EVENTS),
    ]
    assert engine.served == 1


def late_surplus(server: RawServer, connection: socket.socket) -> None:
    """Fails "a" at first; answers "a" once more when it comes again on the same connection."""
    ids: list[str] = []
    while True:
        name = request_id(server.read_head(connection))
        if name in ids:
            connection.sendall(whole(b"surplus")(name))
        elif name == "a" and len(server.requests) == 1:
            connection.sendall(whole(b"no", status="500 No")(name))
        else:
            connection.sendall(whole(b"run of " + name.encode())(name))
        ids.append(name)


def test_surplus_answer_is_not_taken_for_a_later_repeat_of_its_request() -> None:
    """Guards against a success where the engine failed: other ids went over the connection."""
    engine = Engine([])
    engine.server = RawServer(late_surplus)
    ends = [engine.call(name) for name in ("a", "b", "a")]
    assert ends == [(500, b"no"), (200, b"run of b"), (200, b"run of a")]


def test_connection_with_a_surplus_answer_is_not_used_again() -> None:
    engine = Engine([lambda _: whole(b"old")("old") + whole(b"new")("new"), whole(b"next")])
    assert engine.call("new") == (200, b"new")
    assert engine.call("next") == (200, b"next")
    assert engine.served == 2


def test_connection_on_which_a_request_was_not_sent_whole_is_not_used_again() -> None:
    """Guards against an idle time in the answer's head that makes the connection usable."""
    engine = Engine([])
    connection = engine.connections.acquire("engine", engine.server.address, "r")
    connection.must_close = True
    connection.apply_keep_alive("timeout=9")
    assert not connection.may_be_kept()


def test_connection_with_buffered_bytes_is_not_used_again() -> None:
    """Guards against bytes that arrived with an answer and precede the next one."""
    engine = Engine([lambda name: whole()(name) + b"garbage", whole(b"next")])
    assert engine.call("one") == (200, b"abc")
    assert engine.call("two") == (200, b"next")
    assert engine.served == 2
