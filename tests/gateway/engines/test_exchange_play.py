"""Exchanges with an engine in trouble: an answer is the run's own, whole and signed, or lost.

A few requests are sent, refused, failed, abandoned and sent again on few connections. The engine's
answers have each of the stand-ins' faults, and surplus answers come while a connection is idle or
in use by the next request.
"""

import os
import socket
import threading
from contextlib import suppress
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from tests.gateway.raw_server import RawServer
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.exchange import (
    AnswerLost,
    Exchange,
    NotConnected,
    OutgoingRequest,
)
from troutswitch.platform import names
from troutswitch.standins.unproved_answers import (
    AnswerFault,
    EngineAnswer,
    WireAnswer,
    faulty_answer,
    genuine_parts,
    refusal_bytes,
)
from troutswitch.standins.wire_sender import RESET_ON_CLOSE

ENGINE_ID = "engine"
RUN_HEADER = "X-Run"
"""Number of a run, in its request and in all answers to it."""
WAIT_SECONDS = 2.0
"""Timeout of an exchange; an engine on the loopback interface takes milliseconds."""
REQUEST_IDS = ("a", "b", "c")
"""Few, so that each is sent again on connections that others have used since."""
LATE_FAULTS = (
    AnswerFault.REPEATED_LATE,
    AnswerFault.FAILURE_REPEATED_LATE,
    AnswerFault.FAILURE_THEN_SUCCESS,
    AnswerFault.REFUSAL_REPEATED_LATE,
)
SOUND_STATUSES = (200, 500, 503)
EVENT_COUNT = 4


@dataclass
class Run:
    """A request as it is sent once, and what the engine sends for it.

    `surplus_first` is whether the engine sends the surplus answers that are due on the connection
    before this one. `is_reset` is how it ends a connection that it does not keep.
    """

    request_id: str
    number: int
    answer: EngineAnswer
    wire: WireAnswer
    fault: AnswerFault | None = None
    surplus_first: bool = False
    is_reset: bool = False

    def __str__(self) -> str:
        return f"run {self.number} of {self.request_id} with {self.fault or self.wire.status}"

    def expected_body(self) -> bytes:
        """Returns the body that belongs to the status of the run."""
        return {200: self.answer.body, 500: b"failed", 503: b""}[self.wire.status]

    @property
    def is_refused(self) -> bool:
        """Whether the engine did not run the request."""
        return self.wire.status == 503


def make_answer(name: str, number: int, is_stream: bool) -> EngineAnswer:
    texts = [f"{name} {number} {event}" for event in range(1, EVENT_COUNT + 1)]
    pieces = tuple(f"id: {n}\ndata: {text}\n\n".encode() for n, text in enumerate(texts, 1))
    headers = ((RUN_HEADER, str(number)),)
    return EngineAnswer(name, f"{ENGINE_ID}.{name}", pieces, is_stream, headers)


def sound_answer(answer: EngineAnswer, status: int) -> WireAnswer:
    """Returns what a sound engine sends: an answer, a failure or a refusal."""
    if status == 503:
        return WireAnswer((refusal_bytes(answer),), status=status)
    if status == 500:
        answer = replace(answer, pieces=(b"failed",), is_stream=False, status=status)
    return WireAnswer(genuine_parts(answer), status=status)


@dataclass
class Channel:
    """A connection at the engine, and the surplus answers that are due on it."""

    connection: socket.socket
    due: bytes = b""
    lock: threading.Lock = field(default_factory=threading.Lock)

    def send_surplus(self) -> None:
        """Sends what is due, unless the connection has ended; the lock is held."""
        due, self.due = self.due, b""
        with suppress(OSError):
            self.connection.sendall(due)


class ScriptedEngine:
    """Sends for each run what the run says; the runs are known by number."""

    def __init__(self) -> None:
        self.runs: dict[int, Run] = {}
        self.channels: list[Channel] = []
        self.server = RawServer(self._serve)

    def _serve(self, server: RawServer, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        channel = Channel(connection)
        self.channels.append(channel)
        while True:
            run = self.runs[_run_number(server.read_head(connection))]
            with channel.lock:
                if run.surplus_first:
                    channel.send_surplus()
                for part in run.wire.parts:
                    connection.sendall(part)
                channel.due += run.wire.late
            if not run.wire.keeps_connection:
                _end(connection, run.is_reset)
                return

    def send_surplus(self) -> None:
        """Sends the surplus answers that are due on all connections."""
        for channel in list(self.channels):
            with channel.lock:
                channel.send_surplus()

    def forget(self) -> None:
        """Forgets the runs and connections of a play."""
        self.runs, self.channels = {}, []


def _run_number(head: bytes) -> int:
    return int(head.partition(f"{RUN_HEADER}: ".encode())[2].partition(b"\r\n")[0])


def _end(connection: socket.socket, is_reset: bool) -> None:
    if is_reset:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        os.close(connection.detach())


def make_exchange(connections: EngineConnections, engine: ScriptedEngine, run: Run) -> Exchange:
    headers = [(names.REQUEST_ID, run.request_id), (RUN_HEADER, str(run.number))]
    request = OutgoingRequest(run.request_id, "POST", "/a", headers, b"", run.answer.is_stream)
    return Exchange(connections, ENGINE_ID, engine.server.address, request)


ENGINE = ScriptedEngine()


class Player:
    """Sends runs to the engine through the real exchanges, and judges what they hand over."""

    def __init__(self) -> None:
        ENGINE.forget()
        self.connections = EngineConnections()
        self.open_exchanges: list[tuple[Run, Exchange]] = []
        self.answered: set[int] = set()
        """Numbers of the runs whose answer was handed over."""
        self.has_surplus = False
        """Whether an engine may have sent bytes that belong to no request."""

    def new_run(self, name: str, fault: AnswerFault | None, status: int, is_stream: bool) -> Run:
        """Returns the next run of a request; `status` is that of an answer without fault."""
        number = len(ENGINE.runs) + 1
        answer = make_answer(name, number, is_stream)
        wire = sound_answer(answer, status) if fault is None else faulty_answer(fault, answer)
        run = ENGINE.runs[number] = Run(name, number, answer, wire, fault)
        return run

    def open(self, run: Run) -> Exchange | None:
        """Opens a run's exchange; returns None if its answer is lost."""
        self.has_surplus |= run.surplus_first or run.fault is not None
        exchange = make_exchange(self.connections, ENGINE, run)
        try:
            exchange.open(WAIT_SECONDS)
        except (AnswerLost, NotConnected):
            exchange.close()
            self.check_loss(run)
            return None
        return exchange

    def finish(self, run: Run, exchange: Exchange, in_chunks: bool) -> None:
        """Reads the body of an open exchange, and judges the answer."""
        try:
            body = self.read_chunks(run, exchange) if in_chunks else exchange.body()
        except AnswerLost:
            self.check_loss(run)
            return
        finally:
            exchange.close()
        head = exchange.head
        assert head is not None
        headers = dict(head.headers)
        assert headers[RUN_HEADER] == str(run.number), f"{run} has another's answer"
        assert run.wire.is_whole, f"the answer of {run} was taken"
        assert head.status == run.wire.status, f"{run} has status {head.status}"
        assert head.not_run == run.is_refused
        if not run.is_refused:
            assert headers[names.RESPONSE_STAMP] == run.answer.stamp
        assert body == run.expected_body(), f"{run} has another body"
        self.answered.add(run.number)

    @staticmethod
    def read_chunks(run: Run, exchange: Exchange) -> bytes:
        """Reads a body in chunks, each of which continues the run's own body."""
        body = b""
        for data in exchange.chunks():
            body += data
            assert run.expected_body().startswith(body), f"{run} has bytes of another answer"
        return body

    def send(self, run: Run, in_chunks: bool = False) -> None:
        """Makes a whole exchange."""
        exchange = self.open(run)
        if exchange is not None:
            self.finish(run, exchange, in_chunks)

    def check_loss(self, run: Run) -> None:
        """Checks that no sound answer is lost as long as the engine has been sound."""
        assert self.has_surplus, f"the sound answer of {run} was lost"

    def drop_connections(self) -> None:
        """Makes the next exchange use a new connection."""
        self.connections.remove_engines([ENGINE_ID])
        self.has_surplus = self.has_surplus and bool(self.open_exchanges)

    def end(self) -> None:
        """Closes all connections."""
        for _, exchange in self.open_exchanges:
            exchange.close()
        self.connections.remove_engines([ENGINE_ID])


faults = st.none() | st.sampled_from(AnswerFault)
statuses = st.sampled_from(SOUND_STATUSES)
request_ids = st.sampled_from(REQUEST_IDS)


class ExchangePlay(RuleBasedStateMachine):
    """Requests that are sent and sent again to one engine, with all faults of its answers."""

    def __init__(self) -> None:
        super().__init__()
        self.player = Player()

    def teardown(self) -> None:
        self.player.end()

    @rule(
        name=request_ids,
        fault=faults,
        status=statuses,
        is_stream=st.booleans(),
        surplus_first=st.booleans(),
        is_reset=st.booleans(),
        in_chunks=st.booleans(),
    )
    def send(
        self,
        name: str,
        fault: AnswerFault | None,
        status: int,
        is_stream: bool,
        surplus_first: bool,
        is_reset: bool,
        in_chunks: bool,
    ) -> None:
        """Makes an exchange; surplus answers may come on its connection before the answer."""
        run = self.player.new_run(name, fault, status, is_stream)
        run.surplus_first, run.is_reset = surplus_first, is_reset
        self.player.send(run, in_chunks)

    @rule(name=request_ids, status=statuses)
    def send_soundly(self, name: str, status: int) -> None:
        """Makes an exchange that has no fault of its own."""
        self.player.send(self.player.new_run(name, None, status, is_stream=True))

    @rule(fault=st.sampled_from(LATE_FAULTS), status=statuses, is_late=st.booleans())
    def send_again_after_another(self, fault: AnswerFault, status: int, is_late: bool) -> None:
        """Sends a request again on its connection, after another request has used that."""
        first, other = REQUEST_IDS[:2]
        player = self.player
        player.send(player.new_run(first, fault, 200, is_stream=True))
        player.send(player.new_run(other, None, 200, is_stream=False))
        again = player.new_run(first, None, status, is_stream=True)
        again.surplus_first = not is_late
        player.send(again)

    @precondition(lambda self: len(self.player.open_exchanges) < 3)
    @rule(name=request_ids, fault=faults, is_stream=st.booleans())
    def open(self, name: str, fault: AnswerFault | None, is_stream: bool) -> None:
        """Opens an exchange whose body is read later, so that the next one has to connect."""
        run = self.player.new_run(name, fault, 200, is_stream)
        exchange = self.player.open(run)
        if exchange is not None:
            self.player.open_exchanges.append((run, exchange))

    @precondition(lambda self: self.player.open_exchanges)
    @rule(is_abandoned=st.booleans())
    def finish(self, is_abandoned: bool) -> None:
        """Reads the rest of an open exchange, or leaves it."""
        run, exchange = self.player.open_exchanges.pop(0)
        if is_abandoned:
            exchange.close()
        else:
            self.player.finish(run, exchange, in_chunks=True)

    @rule()
    def send_surplus(self) -> None:
        """Sends the surplus answers that are due while connections are idle."""
        self.player.has_surplus = True
        ENGINE.send_surplus()

    @rule()
    def drop_connections(self) -> None:
        """Makes the next exchange use a new connection."""
        self.player.drop_connections()


TestExchangePlay = pytest.mark.xdist_group("exchange-play")(ExchangePlay.TestCase)
TestExchangePlay.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=20,
    suppress_health_check=list(HealthCheck),
)


@pytest.fixture
def player() -> Player:
    return Player()


@pytest.mark.xdist_group("exchange-play")
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("before", [None, *SOUND_STATUSES])
@pytest.mark.parametrize("fault", list(AnswerFault))
def test_each_fault_on_new_and_reused_connections(
    player: Player, fault: AnswerFault, before: int | None, is_stream: bool, is_reset: bool
) -> None:
    """Whole answers are handed over, also between interim heads and surplus answers.

    `before` is the status of the answer that the connection carried before, None for a new one.
    """
    if before is not None:
        player.send(player.new_run("b", None, before, is_stream=False))
    run = player.new_run("a", fault, 200, is_stream)
    run.is_reset = is_reset
    player.send(run)
    after = player.new_run("b", None, 200, is_stream)
    player.send(after)
    player.end()
    assert (run.number in player.answered) == run.wire.is_whole
    assert after.number in player.answered


@pytest.mark.xdist_group("exchange-play")
@pytest.mark.parametrize("status", SOUND_STATUSES)
@pytest.mark.parametrize("fault", LATE_FAULTS)
def test_surplus_answer_is_not_taken_by_a_later_run_of_its_request(
    player: Player, fault: AnswerFault, status: int
) -> None:
    """Another request uses the connection between the two runs, with either order of surplus."""
    player.send(player.new_run("a", fault, 200, is_stream=True))
    player.send(player.new_run("b", None, 200, is_stream=True))
    again = player.new_run("a", None, status, is_stream=True)
    again.surplus_first = True
    player.send(again)
    player.end()
