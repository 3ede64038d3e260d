"""Relays and item runs at an engine in trouble: what callers, results and the loop get of it."""

import os
import queue
import socket
import threading

import pytest
import structlog

from tests.gateway.raw_server import RawServer, request_id
from troutswitch.decisions.forwarding.messages import (
    RequestArrived,
    RequestAttemptEnded,
    SendRequest,
)
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.decisions.jobs.messages import ItemProgressed, ItemRunEnded, OutputEvent, RunItem
from troutswitch.decisions.jobs.records import JobItem
from troutswitch.gateway.callers.relay import Relay
from troutswitch.gateway.callers.relay_registry import RelayRegistry
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.gateway.engines.item_runs import ItemRuns
from troutswitch.outcomes import AttemptOutcome
from troutswitch.platform import names
from troutswitch.platform.requests import IncomingRequest
from troutswitch.standins.content import LONG_ITEM_EVENTS, long_item_events
from troutswitch.standins.unproved_answers import (
    FAILURES,
    REFUSALS,
    AnswerFault,
    EngineAnswer,
    WireAnswer,
    faulty_answer,
    genuine_parts,
)
from troutswitch.standins.wire_sender import RESET_ON_CLOSE

ENGINE_ID = "engine"
WAIT_SECONDS = 20.0
"""Timeout of the gateway and of the tests; an answer takes milliseconds."""
BODY_FAULTS = frozenset(
    {
        AnswerFault.CUT_IN_CHUNK_SIZE,
        AnswerFault.CUT_IN_CHUNK,
        AnswerFault.CUT_BEFORE_LAST_CHUNK,
        AnswerFault.CUT_BEFORE_FINAL_LINE,
        AnswerFault.CUT_IN_LENGTH,
        AnswerFault.CHUNK_SIZE_NEGATIVE,
        AnswerFault.CHUNK_LONGER_THAN_SIZE,
    }
)
"""Faults behind a head that is proved: the events before them are the run's."""
EVERY_FAULT = pytest.mark.parametrize("fault", list(AnswerFault))
RESETS = pytest.mark.parametrize("is_reset", [False, True])


class Engine:
    """Answers each request with the next fault, None for a sound stream; counts its runs."""

    def __init__(self, is_reset: bool, *faults: AnswerFault | None) -> None:
        self._is_reset = is_reset
        self._faults = list(faults)
        self.wires: list[WireAnswer] = []
        self.server = RawServer(self._respond)

    def _respond(self, server: RawServer, connection: socket.socket) -> None:
        while True:
            head = server.read_head(connection)
            wire = self._next_answer(head)
            connection.sendall(b"".join(wire.parts))
            if not wire.keeps_connection:
                break
        if self._is_reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            os.close(connection.detach())

    def _next_answer(self, head: bytes) -> WireAnswer:
        name, fault = request_id(head), self._faults.pop(0)
        run = len(self.wires) + 1
        events = long_item_events(name, ENGINE_ID, run, resumed_after(head))
        answer = EngineAnswer(name, f"{ENGINE_ID}.{name}", tuple(events), is_stream=True)
        wire = WireAnswer(genuine_parts(answer)) if fault is None else faulty_answer(fault, answer)
        self.wires.append(wire)
        return wire


def resumed_after(head: bytes) -> int:
    """Returns the number of the event after which a request asks to begin."""
    value = head.lower().partition(names.LAST_EVENT_ID.lower().encode() + b": ")[2]
    return int(value.partition(b"\r\n")[0] or 0)


def expected_end(fault: AnswerFault, wire: WireAnswer) -> AttemptOutcome:
    """Returns how an attempt has to end that is answered with a fault."""
    if not wire.is_whole or fault in FAILURES:
        return AttemptOutcome.CUT
    return AttemptOutcome.REFUSED if fault in REFUSALS else AttemptOutcome.COMPLETED


class Attempts:
    """A loop that directs attempts at one engine until one of them completes the request."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.relays = RelayRegistry(lambda event: None)
        self.ended: list[RequestAttemptEnded] = []

    def post(self, event: object) -> None:
        if isinstance(event, RequestArrived):
            self._send(event.token, 1)
        elif isinstance(event, RequestAttemptEnded):
            self.ended.append(event)
            if event.kind is not AttemptOutcome.COMPLETED:
                self._send(event.token, event.attempt + 1)

    def _send(self, token: int, attempt: int) -> None:
        send = SendRequest(
            token,
            attempt,
            ENGINE_ID,
            self._engine.server.address,
            WAIT_SECONDS,
            WAIT_SECONDS,
            "",
            expects_stream=True,
        )
        threading.Timer(0.0, lambda: self.relays.send_directive(send)).start()


def relayed_stream(engine: Engine, name: str) -> tuple[Attempts, list[int]]:
    """Returns the attempts for a stream, and the run that wrote each of its events, in order."""
    attempts = Attempts(engine)
    headers = [(names.REQUEST_ID, name)]
    request = IncomingRequest(
        name, "POST", "/a", "h", "/a", "", headers, WAIT_SECONDS, "", PromptShape()
    )
    activity = EngineActivityReporter(attempts.post)
    relay = Relay(1, request, b"", attempts.relays, EngineConnections(), attempts.post, activity)
    text = b"".join(relay.run()).decode()
    rows = [line.split(" ") for line in text.split("\n") if line.startswith("data: ")]
    assert [(row[1], row[2]) for row in rows] == [
        (name, str(n)) for n in range(1, LONG_ITEM_EVENTS + 1)
    ]
    return attempts, [int(row[4]) for row in rows]


@EVERY_FAULT
@RESETS
def test_relayed_stream_has_the_events_of_proved_answers(
    fault: AnswerFault, is_reset: bool
) -> None:
    """A second, sound answer goes on after the last event that was proved."""
    engine = Engine(is_reset, fault, None)
    attempts, runs = relayed_stream(engine, "one")
    first = expected_end(fault, engine.wires[0])
    assert attempts.ended[0].kind is first
    assert attempts.ended[-1].kind is AttemptOutcome.COMPLETED
    if first is AttemptOutcome.COMPLETED:
        assert set(runs) == {1}
    elif fault not in BODY_FAULTS:
        assert set(runs) == {2}
    is_proved_failure = engine.wires[0].is_whole and fault in FAILURES
    assert attempts.ended[0].has_answer == is_proved_failure


def run_item(engine: Engine, name: str) -> tuple[ItemRunEnded, list[OutputEvent]]:
    """Runs an item, and returns its end and the events that were reported."""
    posted: queue.SimpleQueue[object] = queue.SimpleQueue()
    logger = structlog.get_logger()
    runs = ItemRuns(EngineConnections(), posted.put, EngineActivityReporter(posted.put), logger)
    item = JobItem(name, "/item/1", (), b"", 1)
    address = engine.server.address
    runs.start(RunItem(1, ENGINE_ID, address, "h", item, "", WAIT_SECONDS, WAIT_SECONDS))
    events: list[OutputEvent] = []
    while True:
        event = posted.get(timeout=WAIT_SECONDS)
        if isinstance(event, ItemProgressed | ItemRunEnded):
            events += event.events
        if isinstance(event, ItemRunEnded):
            runs.shut_down()
            return event, events


@EVERY_FAULT
@RESETS
def test_item_run_reports_proved_answers_alone(fault: AnswerFault, is_reset: bool) -> None:
    """The loop judges a run by its end, its events and its status, 422 and 500 among them."""
    engine = Engine(is_reset, fault)
    end, events = run_item(engine, "one")
    wire = engine.wires[0]
    assert end.kind is expected_end(fault, wire)
    assert end.status in ({wire.status} if wire.is_whole else {0, 200})
    texts = [event.text for event in events]
    whole = [f"one {n} {ENGINE_ID} 1" for n in range(1, LONG_ITEM_EVENTS + 1)]
    assert texts == whole[: len(texts)]
    assert (len(texts) == LONG_ITEM_EVENTS) or end.kind is not AttemptOutcome.COMPLETED
    assert not texts or wire.is_whole or fault in BODY_FAULTS
