"""An engine that answers each run as told, and a player that judges what exchanges hand over."""

import os
import socket
import threading
from contextlib import suppress
from dataclasses import dataclass, field, replace

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
