"""Signals in series, drawn from a seed, while callers keep sending on kept connections."""

import http.client
import random
import signal
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from tests.gateway.test_process import HEADERS, WAIT_SECONDS, wait_for
from tests.gateway.test_process_starts import StartedGateway
from tests.platform.standins import EngineStandin, StoreStandin, configuration
from troutswitch.standins.loopback import LoopbackHandler

CALLERS = 6
MAX_PAUSE_SECONDS = 0.2
RELOADS = (1, 2, 40)
"""Numbers of reload signals that are sent together."""
STOPS = (signal.SIGTERM, signal.SIGINT)


class PlainEngine(EngineStandin):
    """An engine that responds with complete bodies, after which connections are kept."""

    def stream(self, handler: LoopbackHandler, request_id: str, last: int) -> None:
        raise AssertionError("no stream was requested")

    def answer(self, handler: LoopbackHandler) -> None:
        handler.body()
        headers = {name.lower(): value for name, value in handler.headers.items()}
        request_id = headers["x-troutswitch-request-id"]
        self.requests.append((handler.command, handler.path, headers, b""))
        time.sleep(self.pause)
        stamp = {"X-Troutswitch-Request-Id": request_id, "X-Troutswitch-Response-Stamp": "s"}
        handler.reply(200, request_id.encode(), stamp)


@dataclass
class KeepingCaller:
    """Sends requests on one connection, or on a new one where the last was closed as announced."""

    gateway: StartedGateway
    name: str
    statuses: dict[str, int] = field(default_factory=dict)
    cut: list[str] = field(default_factory=list)
    answered_after_cut: bool = False

    def start(self) -> None:
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self) -> None:
        connection: http.client.HTTPConnection | None = None
        while self.gateway.process.poll() is None:
            request_id = f"{self.name}-{len(self.statuses) + len(self.cut)}"
            if connection is None:
                connection = http.client.HTTPConnection("127.0.0.1", self.gateway.front, timeout=20)
            try:
                status, keeps = self._call(connection, request_id)
            except (OSError, http.client.HTTPException):
                connection.close()
                connection = None
                if self.statuses or self.cut:
                    self.cut.append(request_id)
                continue
            self.answered_after_cut |= bool(self.cut)
            self.statuses[request_id] = status
            if not keeps:
                connection.close()
                connection = None

    def _call(self, connection: http.client.HTTPConnection, request_id: str) -> tuple[int, bool]:
        headers = {**HEADERS, "X-Troutswitch-Request-Id": request_id}
        connection.request("POST", "/plain/x", b"prompt", headers)
        response = connection.getresponse()
        body = response.read()
        if response.status == 200:
            assert body == request_id.encode()
        return response.status, not response.will_close


def plain_configuration() -> dict[str, Any]:
    form = configuration("service")
    stream = form["routes"][0]
    form["routes"].append(
        {**stream, "name": "plain", "pathPrefix": "/plain/", "routeType": "non_idempotent"}
    )
    return form


@pytest.fixture
def store() -> Iterator[StoreStandin]:
    standin = StoreStandin()
    standin.put("keyed.op", "config", plain_configuration())
    yield standin
    standin.server.shutdown()


class SignalPlay:
    """Sends a daemon a series of signals, around changes of its settings file."""

    def __init__(self, gateway: StartedGateway, seed: int) -> None:
        self._gateway = gateway
        self._rng = random.Random(seed)

    def run(self) -> None:
        """Reloads at random, then requests a stop, and goes on for a moment."""
        for _ in range(self._rng.randint(2, 8)):
            self._disturb()
        self._send(self._rng.choice(STOPS), 1)
        for _ in range(self._rng.randint(0, 8)):
            self._disturb()
            self._send(self._rng.choice(STOPS), self._rng.choice((0, 1, 3)))

    def _disturb(self) -> None:
        text = self._rng.choice((None, "", self._gateway.text[:60], self._gateway.text))
        self._gateway.settings.unlink(missing_ok=True)
        if text is not None:
            self._gateway.settings.write_text(text)
        self._send(signal.SIGHUP, self._rng.choice(RELOADS))
        time.sleep(self._rng.uniform(0.0, MAX_PAUSE_SECONDS))

    def _send(self, number: signal.Signals, count: int) -> None:
        for _ in range(count):
            if self._gateway.process.poll() is None:
                self._gateway.process.send_signal(number)


@pytest.mark.parametrize("seed", range(1, 5))
def test_no_request_is_left_without_an_answer(
    seed: int, store: StoreStandin, tmp_path: Path
) -> None:
    """A request may meet the end of the process alone, and has then not run."""
    engine = PlainEngine("i-0", pause=0.05)
    store.put("keyed.servers", engine.engine_id, engine.record("service"))
    gateway = StartedGateway(tmp_path, store.address)
    gateway.start()
    callers = [KeepingCaller(gateway, f"c-{number}") for number in range(CALLERS)]
    try:
        wait_for(gateway.is_ready, "readiness")
        for caller in callers:
            caller.start()
        wait_for(lambda: all(caller.statuses for caller in callers), "a first answer each")
        SignalPlay(gateway, seed).run()
        assert gateway.process.wait(WAIT_SECONDS) == 0
    finally:
        gateway.stop()
        for caller in callers:
            caller.thread.join()
    ran = {headers["x-troutswitch-request-id"] for _, _, headers, _ in engine.requests}
    for caller in callers:
        assert not caller.answered_after_cut
        assert not set(caller.cut) & ran
        assert set(caller.statuses.values()) <= {200, 503}
        assert not {name for name, status in caller.statuses.items() if status == 503} & ran
    assert len(engine.requests) == len(ran)
