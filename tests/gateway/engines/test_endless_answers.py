"""Answers without end: each exchange ends, in bounded memory, by a limit or by its deadline."""

import socket
import threading
import tracemalloc

import pytest
import structlog

from tests.endless_bytes import (
    CHUNKED,
    ENDLESS_ANSWERS,
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    ENDLESS_SURPLUS,
    EVENTS,
    HEAD,
    OTHER_HEAD,
    Pieces,
    count_received_bytes,
    endless_server,
)
from tests.gateway.raw_server import RawServer, request_id, silent
from troutswitch.common import Address
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.decisions.jobs.messages import ItemProgressed, ItemRunEnded, RunItem
from troutswitch.decisions.jobs.records import JobItem
from troutswitch.gateway.engines import exchange as exchange_module
from troutswitch.gateway.engines.connection import MAX_LINE_BYTES, EngineConnection
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.gateway.engines.event_stream import EventSplitter, EventStreamError
from troutswitch.gateway.engines.exchange import (
    MAX_SURPLUS_BYTES,
    AnswerLost,
    Exchange,
    OutgoingRequest,
)
from troutswitch.gateway.engines.item_runs import ItemRuns
from troutswitch.gateway.memory.answer_buffer import MAX_COMPLETE_ANSWER_BYTES
from troutswitch.outcomes import AttemptOutcome
from troutswitch.platform import names
from troutswitch.runtime.line_reader import READ_BYTES

DEADLINE_SECONDS = 0.5
LONG_SECONDS = 30.0
"""Beyond the time that a limit of bytes takes to be reached on a busy machine."""
MAX_TRACED_BYTES = 3 * MAX_COMPLETE_ANSWER_BYTES
"""The parts of the largest answer, their sum and the reads of it."""
TRICKLE_SECONDS = 0.01
received = pytest.fixture(count_received_bytes)
LARGE_BODY = b"x" * (16 << 20)
"""More than the buffers of a connection hold."""


def make_exchange(address: Address, body: bytes = b"", expects_stream: bool = False) -> Exchange:
    headers = [(names.REQUEST_ID, "r")]
    request = OutgoingRequest("r", "POST", "/a", headers, body, expects_stream)
    return Exchange(EngineConnections(), "engine", address, request)


def run(exchange: Exchange, seconds: float = DEADLINE_SECONDS) -> None:
    """Reads an answer as it is read for a caller, with a deadline.

    Raises:
        AnswerLost, EventStreamError: there was no whole answer.
    """
    splitter = EventSplitter()
    try:
        if not exchange.open(seconds, seconds).is_event_stream:
            exchange.body()
        for data in exchange.chunks():
            splitter.feed(data)
    finally:
        exchange.close()


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
def test_endless_answer_ends_in_bounded_memory(kind: str) -> None:
    exchange = make_exchange(endless_server(ENDLESS_ANSWERS[kind]).address)
    tracemalloc.start()
    try:
        with pytest.raises((AnswerLost, EventStreamError)):
            run(exchange)
        assert tracemalloc.get_traced_memory()[1] <= MAX_TRACED_BYTES
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("kind", [*ENDLESS_HEADS, "trailer", "trailers", "chunk extensions"])
def test_endless_lines_end_long_before_the_deadline(kind: str, received: list[int]) -> None:
    """Guards against an engine that keeps a processor busy until the deadline."""
    exchange = make_exchange(endless_server(ENDLESS_ANSWERS[kind]).address)
    with pytest.raises(AnswerLost):
        run(exchange, LONG_SECONDS)
    assert sum(received) <= 2 * MAX_LINE_BYTES + READ_BYTES


@pytest.mark.parametrize("kind", ENDLESS_SURPLUS)
def test_endless_surplus_ends_long_before_the_deadline(kind: str, received: list[int]) -> None:
    """Guards against answers to other requests that are read whole into memory, in any number."""
    exchange = make_exchange(endless_server(ENDLESS_SURPLUS[kind]).address)
    with pytest.raises(AnswerLost):
        run(exchange, LONG_SECONDS)
    assert sum(received) <= 8 * MAX_SURPLUS_BYTES


@pytest.mark.parametrize("kind", ["body by length", "chunk", "chunks"])
def test_endless_body_ends_long_before_the_deadline(kind: str, received: list[int]) -> None:
    exchange = make_exchange(endless_server(ENDLESS_BODIES[kind]).address)
    with pytest.raises(AnswerLost):
        run(exchange, LONG_SECONDS)
    assert sum(received) <= MAX_COMPLETE_ANSWER_BYTES + MAX_COMPLETE_ANSWER_BYTES // 8 + READ_BYTES


TRICKLES: dict[str, Pieces] = {
    "status line": (b"H", b"T"),
    "head": (HEAD + b"X: ", b"x"),
    "interim answers": (b"HTTP/1.1 100 Continue\r\n", b"\r\nHTTP/1.1 100 Continue\r\n"),
    "surplus body": (OTHER_HEAD + b"Content-Length: 999999\r\n\r\n", b"x"),
    "body": (HEAD + b"Content-Length: 999999\r\n\r\n", b"x"),
    "chunk line": (HEAD + CHUNKED + b"1;", b"x"),
    "chunks": (HEAD + CHUNKED, b"1\r\nx\r\n"),
    "trailers": (HEAD + CHUNKED + b"0\r\n", b"X: y\r\n"),
    "event": (EVENTS + b"fffff\r\nid: 1\ndata: ", b"x"),
    "comments": (EVENTS + b"fffff\r\n", b":\n"),
}


@pytest.mark.parametrize("kind", TRICKLES)
def test_bytes_that_trickle_end_by_the_deadline(kind: str) -> None:
    """Guards against a deadline that starts again with each byte."""
    exchange = make_exchange(endless_server(TRICKLES[kind], TRICKLE_SECONDS).address)
    with pytest.raises((AnswerLost, EventStreamError)):
        run(exchange)


@pytest.mark.parametrize("kind", ["status line", "head", "interim answers"])
def test_head_that_trickles_in_makes_no_other_connection_suspect(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an engine's sound connections that are closed though it was not silent."""
    suspected: list[str] = []
    monkeypatch.setattr(
        EngineConnections, "close_suspects", lambda pool, engine, since: suspected.append(engine)
    )
    with pytest.raises(AnswerLost):
        run(make_exchange(endless_server(TRICKLES[kind], TRICKLE_SECONDS).address))
    assert suspected == []


def test_engine_that_never_reads_a_request_ends_by_the_deadline() -> None:
    def idle(server: RawServer, connection: socket.socket) -> None:
        server.may_respond.wait(LONG_SECONDS)

    server = RawServer(idle, receive_bytes=4096)
    with pytest.raises(AnswerLost):
        run(make_exchange(server.address, LARGE_BODY))
    server.may_respond.set()


def test_time_of_sending_is_a_part_of_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an exchange that takes twice its time: to send, and to wait for the head."""
    now, deadlines = [100.0], []
    send = Exchange._send

    def send_slowly(exchange: Exchange, connection: EngineConnection) -> None:
        send(exchange, connection)
        now[0] += LONG_SECONDS / 2

    def record_deadline(exchange: Exchange, connection: EngineConnection) -> None:
        assert connection.reader is not None
        deadlines.append(connection.reader.raw.limits.deadline)
        raise OSError

    monkeypatch.setattr(exchange_module, "steady_seconds", lambda: now[0])
    monkeypatch.setattr(Exchange, "_send", send_slowly)
    monkeypatch.setattr(Exchange, "_read_head", record_deadline)
    with pytest.raises(AnswerLost):
        run(make_exchange(RawServer(silent).address), LONG_SECONDS)
    assert deadlines == [100.0 + LONG_SECONDS]


def chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"


def answer_once(answer: bytes) -> RawServer:
    def respond(server: RawServer, connection: socket.socket) -> None:
        identity = request_id(server.read_head(connection)).encode()
        connection.sendall(answer.replace(b"{id}", identity))
        server.wait_for_end(connection)

    return RawServer(respond)


@pytest.mark.parametrize("size", [1, 3, 100, 4096, READ_BYTES + 1])
def test_sound_answer_in_chunks_of_any_size_is_whole(size: int) -> None:
    body = bytes(range(256)) * 40
    chunks = b"".join(chunk(body[at : at + size]) for at in range(0, len(body), size))
    exchange = make_exchange(answer_once(HEAD + CHUNKED + chunks + b"0\r\n\r\n").address)
    exchange.open(LONG_SECONDS)
    assert exchange.body() == body


def test_event_is_handed_on_before_the_rest_of_the_next_chunk_arrives() -> None:
    """Guards against chunks that are held back until more of them are whole."""
    begin = EVENTS + chunk(b"id: 1\ndata: a\n\n") + b"f\r\nid: 2"
    exchange = make_exchange(answer_once(begin).address, expects_stream=True)
    exchange.open(LONG_SECONDS)
    assert next(exchange.chunks()) == b"id: 1\ndata: a\n\n"
    exchange.close()


def test_largest_answer_and_surplus_of_usual_size_are_read() -> None:
    surplus = OTHER_HEAD + b"Content-Length: %d\r\n\r\n" % (1 << 20) + b"s" * (1 << 20)
    body = HEAD + b"Content-Length: %d\r\n\r\n" % (6 << 20) + b"b" * (6 << 20)
    exchange = make_exchange(answer_once(surplus + body).address)
    exchange.open(LONG_SECONDS)
    assert exchange.body() == b"b" * (6 << 20)


class Runs:
    """Runs of items at one engine, and the ends that were posted."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.ended: list[ItemRunEnded] = []
        self.events = 0
        self._is_ended = threading.Event()
        self._runs = ItemRuns(
            EngineConnections(),
            self._post,
            EngineActivityReporter(self._post),
            structlog.get_logger(),
        )

    def _post(self, event: GatewayEvent) -> None:
        if isinstance(event, ItemProgressed | ItemRunEnded):
            self.events += len(event.events)
        if isinstance(event, ItemRunEnded):
            self.ended.append(event)
            self._is_ended.set()

    def run(self, response_timeout: float, event_timeout: float) -> ItemRunEnded:
        item = JobItem("r", "/jobs/1", (), b"body", 10)
        run = RunItem(1, "engine", self.address, "h", item, "", response_timeout, event_timeout)
        self._runs.start(run)
        assert self._is_ended.wait(LONG_SECONDS), "the run did not end"
        return self.ended[0]


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
def test_run_of_an_item_that_is_answered_without_end_ends(kind: str) -> None:
    """Guards against a run that never ends: an item has no caller with a deadline."""
    runs = Runs(endless_server(ENDLESS_ANSWERS[kind]).address)
    assert runs.run(DEADLINE_SECONDS, DEADLINE_SECONDS).kind is AttemptOutcome.CUT


FIRST_EVENT = chunk(b"id: 1\ndata: a\n\n")
ITEM_TRICKLES = TRICKLES | {
    "second event": (EVENTS + FIRST_EVENT + b"fffff\r\nid: 2\ndata: ", b"x"),
    "body of a failure": (HEAD.replace(b"200", b"500") + b"Content-Length: 99\r\n\r\n", b"x"),
}


@pytest.mark.parametrize("kind", ITEM_TRICKLES)
def test_run_of_an_item_without_whole_events_ends_though_bytes_trickle_in(kind: str) -> None:
    runs = Runs(endless_server(ITEM_TRICKLES[kind], TRICKLE_SECONDS).address)
    assert runs.run(DEADLINE_SECONDS, DEADLINE_SECONDS).kind is AttemptOutcome.CUT


def test_run_whose_events_take_longer_than_its_timeout_in_all_is_whole() -> None:
    """Guards against an event time-out that bounds the run."""

    def respond(server: RawServer, connection: socket.socket) -> None:
        server.read_head(connection)
        connection.sendall(EVENTS.replace(b"{id}", b"r"))
        pause = threading.Event()
        for number in range(1, 9):
            connection.sendall(chunk(b"id: %d\ndata: a\n\n" % number))
            pause.wait(DEADLINE_SECONDS / 4)
        connection.sendall(b"0\r\n\r\n")

    runs = Runs(RawServer(respond).address)
    assert runs.run(LONG_SECONDS, DEADLINE_SECONDS).kind is AttemptOutcome.COMPLETED
    assert runs.events == 8
