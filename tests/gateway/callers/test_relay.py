import socket
import struct
import threading

import pytest

from tests.gateway.raw_server import RawServer, event, request_id, stream_head
from tests.platform.standins import EngineStandin
from troutswitch.decisions.forwarding.messages import (
    AnswerBegun,
    FinishRequest,
    RequestArrived,
    RequestAttemptEnded,
    SendRequest,
)
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.gateway.callers.relay import Relay
from troutswitch.gateway.callers.relay_registry import RelayRegistry
from troutswitch.gateway.engines.answer_proof import Defect
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.gateway.memory.account import MemoryAccount
from troutswitch.gateway.memory.limits import MemoryLimits
from troutswitch.gateway.memory.pressure import Kind
from troutswitch.outcomes import AttemptOutcome, Cut, MayHaveRun, Step
from troutswitch.platform.requests import IncomingRequest


class LateLoop:
    """A loop that has not processed the events of the first attempt when it starts the second.

    It abandons the first engine for silence before it processes the report of that engine's
    events, and therefore directs the second attempt to start from the beginning.
    """

    def __init__(
        self, relays: RelayRegistry, engines: list[EngineStandin], versions: tuple[str, ...]
    ) -> None:
        self._versions = versions
        self.ended: list[RequestAttemptEnded] = []
        self._relays = relays
        self._engines = engines

    def post(self, event: object) -> None:
        if isinstance(event, RequestArrived):
            self._send(event.token, 1)
        elif isinstance(event, RequestAttemptEnded):
            self.ended.append(event)
            if event.attempt < len(self._engines):
                self._send(event.token, event.attempt + 1)
            elif event.kind is not AttemptOutcome.COMPLETED:
                outcome = Cut(event.reason, event.delivered, Step.RELAY)
                self._relays.send_directive(FinishRequest(event.token, outcome))

    def _send(self, token: int, attempt: int) -> None:
        engine = self._engines[attempt - 1]
        send = SendRequest(
            token,
            attempt,
            engine.engine_id,
            engine.address,
            5.0,
            2.0,
            "",
            engine_version=self._versions[attempt - 1],
        )
        threading.Timer(0.0, lambda: self._relays.send_directive(send)).start()


def run(*versions: str) -> tuple[list[EngineStandin], LateLoop, bytes]:
    engines = [EngineStandin("one"), EngineStandin("two")]
    engines[0].break_after = 2
    relays = RelayRegistry(lambda event: None)
    loop = LateLoop(relays, engines, versions)
    request = IncomingRequest("x", "POST", "/a", "h", "/a", "", [], 5.0, "", PromptShape())
    request.headers.append(("X-Troutswitch-Request-Id", "x"))
    relay = Relay(
        1,
        request,
        b"body",
        relays,
        EngineConnections(),
        loop.post,
        EngineActivityReporter(loop.post),
    )
    chunks = relay.run()
    data = b""
    for chunk in chunks:
        data += chunk
        if len(loop.ended) == len(engines):
            break
    return engines, loop, data


def test_next_attempt_resumes_after_the_last_event_that_the_caller_has() -> None:
    """Guards against events that are delivered twice, found by a fault hunt (ORDER).

    A loop that resumed after a suspension abandoned an engine for silence before it processed the
    report of that engine's events. The second attempt started from the beginning, although the
    caller already had the first events.
    """
    engines, loop, data = run("v1", "v1")
    assert data == b"".join(f"id: {n}\ndata: x-{n}\n\n".encode() for n in range(1, 6))
    assert engines[1].requests[0][2]["last-event-id"] == "2"
    assert loop.ended[-1].kind is AttemptOutcome.COMPLETED


def test_delivered_stream_is_not_sent_to_an_engine_of_another_version() -> None:
    """Guards against a loop that chose the engine before it learned of the first event."""
    engines, loop, data = run("v1", "v2")
    assert data == b"".join(f"id: {n}\ndata: x-{n}\n\n".encode() for n in range(1, 3))
    assert not engines[1].requests
    assert loop.ended[-1].kind is AttemptOutcome.UNREACHABLE
    assert (loop.ended[-1].began_version, loop.ended[-1].delivered) == ("v1", 2)


ANSWER_BYTES = 300_000


def failing_with_a_large_answer(server: RawServer, connection: socket.socket) -> None:
    name = request_id(server.read_head(connection))
    head = (
        f"HTTP/1.1 500 Failed\r\nX-Troutswitch-Request-Id: {name}\r\n"
        f"X-Troutswitch-Response-Stamp: s\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n"
    )
    connection.sendall(head.encode() + b"y" * ANSWER_BYTES)
    server.wait_for_end(connection)


def test_a_complete_answer_is_counted_once_while_it_is_read_and_until_it_is_handed_on() -> None:
    """Also beyond the limit: an engine's answer is never left unread for lack of room."""
    account = MemoryAccount(MemoryLimits(ANSWER_BYTES // 2, ANSWER_BYTES))
    engine = RawServer(failing_with_a_large_answer)
    relays = RelayRegistry(lambda event: None)
    attempts: list[int] = []

    def post(event: object) -> None:
        if isinstance(event, RequestArrived):
            send(event.token, 1)
        elif isinstance(event, RequestAttemptEnded):
            attempts.append(account.held(Kind.ANSWERS))
            if event.attempt == 1:
                send(event.token, 2)
            else:
                outcome = MayHaveRun("twice", Step.RELAY, "")
                relays.send_directive(FinishRequest(event.token, outcome))

    def send(token: int, attempt: int) -> None:
        relays.send_directive(SendRequest(token, attempt, "e", engine.address, 30.0, 30.0, ""))

    request = IncomingRequest("x", "POST", "/a", "h", "/a", "", [], 5.0, "", PromptShape())
    request.headers.append(("X-Troutswitch-Request-Id", "x"))
    relay = Relay(
        1, request, b"", relays, EngineConnections(), post, EngineActivityReporter(post), account
    )
    assert list(relay.run()) == []
    assert attempts == [ANSWER_BYTES, ANSWER_BYTES]
    relay.release_answer()
    assert account.total == 0


def failing_then_empty(server: RawServer, connection: socket.socket) -> None:
    """Fails the first request; answers the next with a stream without events."""
    name = request_id(server.read_head(connection))
    signed = f"X-Troutswitch-Request-Id: {name}\r\nX-Troutswitch-Response-Stamp: s\r\n"
    if len(server.requests) == 1:
        head = f"HTTP/1.1 500 Failed\r\n{signed}Content-Length: 6\r\n\r\nfailed"
    else:
        framing = "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"
        head = f"HTTP/1.1 200 OK\r\n{signed}{framing}"
    connection.sendall(head.encode())
    server.wait_for_end(connection)


def test_failure_of_an_earlier_attempt_is_not_kept_as_the_answer_of_the_last() -> None:
    """Guards against a failure that is relayed where the last engine answered with success."""
    engine = RawServer(failing_then_empty)
    relays = RelayRegistry(lambda event: None)
    ended: list[RequestAttemptEnded] = []

    def send(token: int, attempt: int) -> None:
        relays.send_directive(SendRequest(token, attempt, "e", engine.address, 30.0, 30.0, ""))

    def post(event: object) -> None:
        if isinstance(event, RequestArrived):
            send(event.token, 1)
        elif isinstance(event, RequestAttemptEnded):
            ended.append(event)
            if event.attempt == 1:
                send(event.token, 2)

    request = IncomingRequest("x", "POST", "/a", "h", "/a", "", [], 5.0, "", PromptShape())
    request.headers.append(("X-Troutswitch-Request-Id", "x"))
    relay = Relay(1, request, b"", relays, EngineConnections(), post, EngineActivityReporter(post))
    assert list(relay.run()) == []
    assert [event.has_answer for event in ended] == [True, False]
    assert relay.complete_answer is None
    assert relay.head is not None and relay.head.status == 200


WHOLE_EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
HEAD_WITHOUT_LENGTH = (
    "HTTP/1.1 200 OK\r\nX-Troutswitch-Request-Id: {id}\r\nX-Troutswitch-Response-Stamp: s\r\n"
    "Content-Type: {type}\r\n\r\n"
)


def relay_answer_without_length(
    content_type: str, body: bytes, resets: bool = False
) -> tuple[RequestAttemptEnded, bytes]:
    """Relays an answer that ends with its connection; returns the attempt's end and the events."""

    def answer(server: RawServer, connection: socket.socket) -> None:
        name = request_id(server.read_head(connection))
        head = HEAD_WITHOUT_LENGTH.format(id=name, type=content_type)
        connection.sendall(head.encode() + body)
        if resets:
            server.may_respond.wait(5.0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    engine = RawServer(answer)
    relays = RelayRegistry(lambda event: None)
    ended: list[RequestAttemptEnded] = []

    def post(event: object) -> None:
        if isinstance(event, RequestArrived):
            send = SendRequest(event.token, 1, "e", engine.address, 30.0, 30.0, "")
            relays.send_directive(send)
        elif isinstance(event, AnswerBegun):
            engine.may_respond.set()
        elif isinstance(event, RequestAttemptEnded):
            ended.append(event)
            outcome = MayHaveRun("ended", Step.RELAY, "")
            relays.send_directive(FinishRequest(event.token, outcome))

    request = IncomingRequest("x", "POST", "/a", "h", "/a", "", [], 5.0, "", PromptShape())
    request.headers.append(("X-Troutswitch-Request-Id", "x"))
    relay = Relay(1, request, b"", relays, EngineConnections(), post, EngineActivityReporter(post))
    data = b"".join(relay.run())
    return ended[0], data


@pytest.mark.parametrize("body", [WHOLE_EVENTS, WHOLE_EVENTS + b"id: 3\ndata: c"])
def test_stream_whose_end_is_not_marked_is_no_answer(body: bytes) -> None:
    """Guards against a stream that ends as complete where its engine broke it off."""
    ended, data = relay_answer_without_length("text/event-stream", body)
    assert (ended.kind, ended.delivered, data) == (AttemptOutcome.CUT, 0, b"")
    assert ended.answer is not None and ended.answer.defect == Defect.UNMARKED_END


def test_plain_answer_whose_end_is_not_marked_is_no_answer() -> None:
    """Guards against a part of an answer that passes for the whole one."""
    ended, _ = relay_answer_without_length("text/plain", b"whole")
    assert (ended.kind, ended.has_answer) == (AttemptOutcome.CUT, False)
    assert ended.answer is not None and ended.answer.defect == Defect.UNMARKED_END


def test_plain_answer_without_length_whose_connection_is_reset_is_cut() -> None:
    ended, _ = relay_answer_without_length("text/plain", b"part", resets=True)
    assert ended.kind is AttemptOutcome.CUT


def malformed_then_sound(server: RawServer, connection: socket.socket) -> None:
    """Sends two events in one chunk, of which the second is malformed; then resumes as asked."""
    head = server.read_head(connection)
    events = event(1) + chunk(b"id: 2\ndata: x\n\nid: 9\ndata: x\n\n")
    if len(server.requests) > 1:
        asked = head.lower().partition(b"last-event-id: ")[2].partition(b"\r\n")[0]
        events = b"".join(event(number) for number in range(int(asked or 0) + 1, 5))
    connection.sendall(stream_head(head) + events + chunk(b""))
    server.wait_for_end(connection)


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def test_stream_resumes_after_the_last_event_that_its_caller_got() -> None:
    """Guards against an event that precedes a malformed one and that no attempt delivers."""
    engine = RawServer(malformed_then_sound)
    relays = RelayRegistry(lambda event: None)

    def send(token: int, attempt: int, resume_after: str) -> None:
        directive = SendRequest(
            token, attempt, "e", engine.address, 30.0, 30.0, resume_after, expects_stream=True
        )
        relays.send_directive(directive)

    def post(event: object) -> None:
        if isinstance(event, RequestArrived):
            send(event.token, 1, "")
        elif isinstance(event, RequestAttemptEnded) and event.kind is AttemptOutcome.CUT:
            send(event.token, event.attempt + 1, event.position)

    request = IncomingRequest("x", "POST", "/a", "h", "/a", "", [], 5.0, "", PromptShape())
    request.headers.append(("X-Troutswitch-Request-Id", "x"))
    relay = Relay(1, request, b"", relays, EngineConnections(), post, EngineActivityReporter(post))
    data = b"".join(relay.run())
    assert data == b"".join(f"id: {number}\ndata: x\n\n".encode() for number in range(1, 5))
