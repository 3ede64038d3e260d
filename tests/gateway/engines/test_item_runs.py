"""What the end of an item's run says about the answer of its engine."""

import queue
import socket

import pytest
import structlog

from tests.cut_server import CutServer, Ending
from tests.gateway.raw_server import RawServer, request_id
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.decisions.jobs.messages import ItemProgressed, ItemRunEnded, OutputEvent, RunItem
from troutswitch.decisions.jobs.records import JobItem
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.gateway.engines.item_runs import ItemRuns
from troutswitch.outcomes import AttemptOutcome
from troutswitch.platform import names

WAIT_SECONDS = 10.0


def run_ended(status: str, length: int, body: bytes) -> ItemRunEnded:
    """Returns the end of a run that is answered with a signed status."""

    def respond(server: RawServer, connection: socket.socket) -> None:
        name = request_id(server.read_head(connection))
        head = f"HTTP/1.1 {status}\r\n{names.REQUEST_ID}: {name}\r\n{names.RESPONSE_STAMP}: s\r\n"
        connection.sendall(f"{head}Content-Length: {length}\r\n\r\n".encode() + body)

    events: queue.Queue[GatewayEvent] = queue.Queue()
    activity = EngineActivityReporter(events.put)
    runs = ItemRuns(EngineConnections(), events.put, activity, structlog.get_logger())
    item = JobItem("r", "/a", (), b"x", 1)
    runs.start(RunItem(1, "e", RawServer(respond).address, "h", item, "", 5.0, 5.0))
    ended = events.get(timeout=WAIT_SECONDS)
    runs.shut_down()
    assert isinstance(ended, ItemRunEnded)
    return ended


@pytest.mark.parametrize("status", [422, 500])
def test_failure_whose_body_is_cut_does_not_decide_about_an_item(status: int) -> None:
    """Guards against an item that is given up, or counted as failed, by a part of an answer."""
    ended = run_ended(f"{status} No", 9, b"cut")
    assert (ended.kind, ended.status) == (AttemptOutcome.CUT, 0)
    assert run_ended(f"{status} No", 3, b"all").status == status


SIGNED = f"{names.REQUEST_ID}: {{id}}\r\n{names.RESPONSE_STAMP}: s\r\n".encode()
EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"]
CHUNKS = b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in EVENTS) + b"0\r\n\r\n"
STREAM = (
    b"HTTP/1.1 200 OK\r\n"
    + SIGNED
    + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    + CHUNKS
)
FAILURE = b"HTTP/1.1 422 No\r\n" + SIGNED + b"Content-Length: 3\r\n\r\nall"
REFUSAL = (
    b"HTTP/1.1 503 Full\r\n"
    + SIGNED.partition(b"\r\n")[0]
    + f"\r\n{names.NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n".encode()
)


class CutRuns:
    """Runs of an item at an engine whose answers are cut."""

    def __init__(self, server: CutServer) -> None:
        self._server = server
        self._events: queue.Queue[GatewayEvent] = queue.Queue()
        activity = EngineActivityReporter(self._events.put)
        self._connections = EngineConnections()
        self._runs = ItemRuns(self._connections, self._events.put, activity, structlog.get_logger())
        self._count = 0

    def run(self) -> tuple[ItemRunEnded, tuple[OutputEvent, ...]]:
        """Returns how a run ended, and the events that it reported."""
        self._count += 1
        item = JobItem("r", "/a", (), b"x", 1)
        self._runs.start(RunItem(self._count, "e", self._server.address, "h", item, "", 5.0, 5.0))
        output: tuple[OutputEvent, ...] = ()
        while True:
            event = self._events.get(timeout=WAIT_SECONDS)
            if isinstance(event, ItemProgressed):
                output += event.events
            if isinstance(event, ItemRunEnded):
                return event, output + event.events

    def close(self) -> None:
        self._runs.shut_down()
        self._connections.remove_engines(["e"])


@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
@pytest.mark.parametrize(
    ("answer", "kind", "status"),
    [
        (STREAM, AttemptOutcome.COMPLETED, 200),
        (FAILURE, AttemptOutcome.CUT, 422),
        (REFUSAL, AttemptOutcome.REFUSED, 503),
    ],
    ids=["stream", "failure", "refusal"],
)
def test_run_whose_answer_is_cut_at_any_byte_is_lost(
    answer: bytes, kind: AttemptOutcome, status: int, ending: Ending
) -> None:
    server = CutServer(answer, ending)
    runs = CutRuns(server)
    size = len(answer.replace(b"{id}", b"r"))
    whole = (OutputEvent("1", "a"), OutputEvent("2", "b"))
    for length in range(size):
        server.length = length
        ended, output = runs.run()
        assert ended.kind is AttemptOutcome.CUT, f"cut after {length} bytes"
        assert ended.status == 0 or answer is STREAM  # its events may be saved before it ends
        assert output == whole[: len(output)]
    server.length = None
    ended, output = runs.run()
    assert (ended.kind, ended.status) == (kind, status)
    assert output == (whole if answer is STREAM else ())
    runs.close()
