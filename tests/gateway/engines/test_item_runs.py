"""What the end of an item's run says about the answer of its engine."""

import queue
import socket

import pytest
import structlog

from tests.gateway.raw_server import RawServer, request_id
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.decisions.jobs.messages import ItemRunEnded, RunItem
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
