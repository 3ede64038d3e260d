"""A simulated fleet whose engines answer batch items with bytes that the test chooses.

The bytes pass through the product's own code: they are sent over a socket to `ItemRuns`, whose
events reach the daemon's core in virtual time.
"""

import queue
import socket
from collections.abc import Callable
from dataclasses import replace

import structlog

from tests.gateway.raw_server import RawServer
from tests.simulation.fleet import Daemon, SimulatedFleet
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.decisions.jobs.messages import ItemRunEnded, RunItem
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.gateway.engines.item_runs import ItemRuns

WAIT_SECONDS = 30.0
RUN_SECONDS = 0.3
"""Virtual time that a run takes."""

Answer = Callable[[RunItem], bytes | None]
"""Returns the bytes that an engine sends in answer to a run; None for its complete output."""


def stream_answer(item_id: str, events: bytes) -> bytes:
    """Returns a complete response to a batch item with the given events."""
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"X-Troutswitch-Request-Id: {item_id}\r\n"
        "X-Troutswitch-Response-Stamp: s\r\n"
        "Content-Type: text/event-stream\r\n"
        f"Content-Length: {len(events)}\r\n\r\n"
    )
    return head.encode() + events


class RawEngine:
    """Sends given bytes in answer to each run, and reports the events that follow."""

    def __init__(self) -> None:
        self._answer = b""
        self._server = RawServer(self._respond)
        self._events: queue.SimpleQueue[GatewayEvent] = queue.SimpleQueue()
        activity = EngineActivityReporter(self._events.put)
        logger = structlog.get_logger()
        self._runs = ItemRuns(EngineConnections(), self._events.put, activity, logger)

    def _respond(self, server: RawServer, connection: socket.socket) -> None:
        server.read_head(connection)
        connection.sendall(self._answer)
        connection.shutdown(socket.SHUT_WR)
        server.wait_for_end(connection)  # closing with unread bytes would reset the connection

    def run(self, instruction: RunItem, answer: bytes) -> list[GatewayEvent]:
        """Executes a run that is answered with the given bytes, and returns its events in order."""
        self._answer = answer
        self._runs.start(replace(instruction, address=self._server.address))
        events: list[GatewayEvent] = []
        while not events or not isinstance(events[-1], ItemRunEnded):
            events.append(self._events.get(timeout=WAIT_SECONDS))
        return events


class RawEngineFleet(SimulatedFleet):
    """A fleet whose engines answer a run with the bytes that `answer` returns for it."""

    def __init__(self, seed: int, answer: Answer, daemons: int = 2) -> None:
        self._raw_engine = RawEngine()
        self._answer_run = answer
        self.runs_of_raw_items = 0
        super().__init__(seed, daemons)

    def run_item(self, daemon: Daemon, run: RunItem) -> None:
        """Runs an item at an engine."""
        answer = self._answer_run(run)
        if answer is None:
            super().run_item(daemon, run)
            return
        self.runs_of_raw_items += 1
        for event in self._raw_engine.run(run, answer):
            self.step_later(daemon, event, RUN_SECONDS)
