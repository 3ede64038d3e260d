"""What callers get from a daemon whose loop has failed, before its process ends."""

import http.client
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import replace
from typing import Any

import pytest
from structlog.testing import CapturingLogger

from tests.gateway.raw_server import RawServer, silent
from tests.platform.standins import EngineStandin, StoreStandin, configuration
from tests.ports import HOST, Ports
from troutswitch.common import Address
from troutswitch.decisions.policies import Policies
from troutswitch.gateway.process import GatewayProcess
from troutswitch.gateway.settings import Bounds, GatewaySettings, StoreSettings

WAIT_SECONDS = 30.0
Answer = tuple[int, str, bytes]


def wait_for(condition: Callable[[], bool], what: str) -> None:
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f"not in time: {what}"
        time.sleep(0.02)


class Daemon:
    """A gateway process within the test's process, whose loop the test can fail."""

    def __init__(self, store: Address) -> None:
        self.ports = Ports()
        first, internal, front, ready = sorted(self.ports.reserve() for _ in range(4))
        self.front, self.ready = Address(HOST, front), Address(HOST, ready)
        bounds = replace(Bounds(), grace=8.0)
        settings = GatewaySettings(
            "d", "z", self.front, self.ready, HOST, (first, internal), StoreSettings(store), bounds
        )
        self.logger: Any = CapturingLogger()
        self.process = GatewayProcess(settings, self.logger, Policies())
        self.process.start()
        self.callers = ThreadPoolExecutor(8)

    def call(self, name: str, address: Address | None = None) -> Answer:
        connection = http.client.HTTPConnection(*(address or self.front), timeout=WAIT_SECONDS)
        headers = {
            "Host": "h.example",
            "X-Troutswitch-Deadline-Ms": "9000",
            "X-Troutswitch-Request-Id": name,
        }
        try:
            if address is not None:
                connection.request("GET", "/readiness")
            else:
                connection.request("POST", "/chat/x", b"prompt", headers)
            response = connection.getresponse()
            found = response.getheader("X-Troutswitch-Request-Id", "")
            return response.status, found, response.read()
        finally:
            connection.close()

    def begin(self, name: str) -> Future[Answer]:
        return self.callers.submit(self.call, name)

    def is_ready(self) -> bool:
        return self.call("", self.ready)[0] == 200

    def fail(self) -> None:
        self.process.loop.post(object())  # type: ignore[arg-type]
        wait_for(lambda: self.process.is_broken, "the failure")


@pytest.fixture
def store() -> Iterator[StoreStandin]:
    standin = StoreStandin()
    standin.put("keyed.op", "config", configuration("service"))
    yield standin
    standin.server.shutdown()


@pytest.fixture
def daemon(store: StoreStandin, monkeypatch: pytest.MonkeyPatch) -> Iterator[Daemon]:
    monkeypatch.setattr(threading, "excepthook", threading.excepthook)
    daemon = Daemon(store.address)
    yield daemon
    daemon.process.stop()
    daemon.ports.release_all()


def list_engine(store: StoreStandin, engine: EngineStandin, daemon: Daemon) -> None:
    store.put("keyed.servers", engine.engine_id, engine.record("service"))
    wait_for(daemon.is_ready, "readiness")


def test_stream_at_an_engine_is_completed(store: StoreStandin, daemon: Daemon) -> None:
    """Guards against streams that break off although they need no further decision."""
    engine = EngineStandin("i-0", events=20, pause=0.03)
    list_engine(store, engine, daemon)
    answer = daemon.begin("a")
    wait_for(lambda: bool(engine.requests), "the request at the engine")
    daemon.fail()
    daemon.process.finish_without_loop()
    status, _, body = answer.result(WAIT_SECONDS)
    events = "".join(f"id: {n}\ndata: a-{n}\n\n" for n in range(1, 21))
    assert (status, body) == (200, events.encode())


def test_request_that_waits_for_a_decision_is_answered_as_not_run(
    store: StoreStandin, daemon: Daemon
) -> None:
    """Guards against a connection that closes without an answer when the process ends."""
    engine = EngineStandin("i-0")
    list_engine(store, engine, daemon)
    daemon.process.core.requests.on_arrived = lambda now, event: []  # type: ignore
    answer = daemon.begin("a")
    wait_for(lambda: daemon.process._relays.count == 1, "the request")
    daemon.fail()
    status, name, body = answer.result(WAIT_SECONDS)
    assert (status, name) == (503, "a")
    assert body.startswith(b"NotRun: ")
    assert not engine.requests


def test_request_at_a_silent_engine_is_answered_as_possibly_run(
    store: StoreStandin, daemon: Daemon
) -> None:
    engine = EngineStandin("i-0")
    server = RawServer(silent)
    record = engine.record("service") | {"address": str(server.address)}
    store.put("keyed.servers", "i-0", record)
    wait_for(daemon.is_ready, "readiness")
    answer = daemon.begin("a")
    assert server.request_received.wait(WAIT_SECONDS)
    daemon.fail()
    daemon.process.finish_without_loop()
    status, name, body = answer.result(WAIT_SECONDS)
    assert (status, name) == (504, "a")
    assert body.startswith(b"MayHaveRun: ")


def test_daemon_is_not_ready_and_refuses_new_requests(store: StoreStandin, daemon: Daemon) -> None:
    engine = EngineStandin("i-0")
    list_engine(store, engine, daemon)
    daemon.fail()
    assert not daemon.is_ready()
    status, name, _ = daemon.call("late")
    assert (status, name) == (503, "late")
    assert not engine.requests
    (line,) = [fields for _, event, fields in daemon.logger.calls if event == ("loop failed",)]
    assert line["step"] == "object"
