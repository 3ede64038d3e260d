"""A daemon that starts beside a fault of its surroundings serves as soon as it can."""

import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.gateway.test_process import (
    WAIT_SECONDS,
    Gateway,
    PersistentCaller,
    complete_stream,
    wait_for,
)
from tests.platform.standins import EngineStandin, StoreStandin, configuration
from tests.ports import HOST, Ports
from troutswitch.common import Address
from troutswitch.platform.settings import format_settings

COMMAND = (sys.executable, "-m", "troutswitch.gateway")
LOOK_SECONDS = 1.0
"""Time in which a start that doesn't wait has ended."""


class StartedGateway(Gateway):
    """A gateway process that the test starts, with what surrounds it."""

    def __init__(self, folder: Path, store: Address) -> None:
        self.ports = Ports()
        self.log = folder / "gateway.log"
        self.log.touch()
        self.settings = folder / "node.toml"
        first, self.metrics, self.front, self.ready = sorted(self.ports.reserve() for _ in range(4))
        self.text = format_settings(
            "edge-1", HOST, self.front, self.ready, (first, self.metrics), store
        )
        self.settings.write_text(self.text)

    def start(self, *command: str, stdout: int | None = None) -> None:
        environment = {**os.environ, "TROUTSWITCH_NODE_FILE": str(self.settings)}
        with self.log.open("ab") as log:
            output = log if stdout is None else stdout
            self.process = subprocess.Popen(command or COMMAND, env=environment, stdout=output)

    def assert_waits(self) -> None:
        """Asserts that the process neither ends nor serves."""
        deadline = time.monotonic() + LOOK_SECONDS
        while time.monotonic() < deadline:
            assert self.process.poll() is None
            time.sleep(0.05)
        assert not self.answers()

    def assert_serves_and_stops(self) -> None:
        wait_for(self.is_ready, "readiness")
        assert self.stream("one")[2] == complete_stream("one")
        self.process.send_signal(signal.SIGTERM)
        assert self.process.wait(WAIT_SECONDS) == 0


def fill(store: StoreStandin) -> EngineStandin:
    """Writes a configuration and an engine to a store."""
    engine = EngineStandin("i-0")
    store.put("keyed.op", "config", configuration("service"))
    store.put("keyed.servers", engine.engine_id, engine.record("service"))
    return engine


@pytest.fixture
def store() -> Iterator[StoreStandin]:
    standin = StoreStandin()
    yield standin
    standin.server.shutdown()


@pytest.fixture
def engine(store: StoreStandin) -> EngineStandin:
    return fill(store)


@pytest.fixture
def gateway(tmp_path: Path, store: StoreStandin, engine: EngineStandin) -> Iterator[StartedGateway]:
    gateway = StartedGateway(tmp_path, store.address)
    yield gateway
    gateway.stop()


def test_start_waits_for_ports_that_a_previous_process_still_holds(
    gateway: StartedGateway,
) -> None:
    """Guards against a daemon that is not started as the one before it was still ending."""
    with socket.socket() as previous:
        previous.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        previous.bind((HOST, gateway.front))
        previous.listen()
        gateway.start()
        gateway.assert_waits()
    gateway.assert_serves_and_stops()


def test_start_that_waits_for_ports_ends_on_a_stop_signal(gateway: StartedGateway) -> None:
    with socket.socket() as previous:
        previous.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        previous.bind((HOST, gateway.front))
        previous.listen()
        gateway.start()
        gateway.assert_waits()
        gateway.process.send_signal(signal.SIGTERM)
        assert gateway.process.wait(WAIT_SECONDS) == 0


@pytest.mark.parametrize("text", [None, "", 'nodeName = "edge-1"\nzone = '])
def test_start_waits_for_settings_that_are_about_to_be_written(
    gateway: StartedGateway, text: str | None
) -> None:
    """Guards against a daemon that is not started as its file was being replaced."""
    gateway.settings.unlink()
    if text is not None:
        gateway.settings.write_text(text)
    gateway.start()
    gateway.assert_waits()
    gateway.settings.write_text(gateway.text)
    gateway.assert_serves_and_stops()


def test_stop_signal_during_the_imports_is_a_planned_stop(tmp_path: Path) -> None:
    (tmp_path / "click.py").write_text(
        "import os, signal\n"
        "os.kill(os.getpid(), signal.SIGTERM)\n"
        "print('alive', flush=True)\n"
        "os._exit(0)\n"
    )
    path = os.pathsep.join([str(tmp_path), *os.environ.get("PYTHONPATH", "").split(os.pathsep)])
    ended = subprocess.run(COMMAND, env={**os.environ, "PYTHONPATH": path}, capture_output=True)
    assert (ended.returncode, ended.stdout) == (0, b"alive\n")


def test_daemon_without_standard_streams_serves(gateway: StartedGateway) -> None:
    """Guards against a start that fails, and against log lines on a caller's connection."""
    gateway.start("sh", "-c", f"exec {' '.join(COMMAND)} <&- >&- 2>&-")
    gateway.assert_serves_and_stops()


def test_daemon_whose_log_reader_is_gone_serves(gateway: StartedGateway) -> None:
    reader, writer = os.pipe()
    gateway.start(stdout=writer)
    os.close(writer)
    os.close(reader)
    gateway.assert_serves_and_stops()


def test_daemon_whose_log_is_not_read_serves(gateway: StartedGateway) -> None:
    reader, writer = os.pipe()
    gateway.start(stdout=writer)
    os.close(writer)
    try:
        wait_for(gateway.is_ready, "readiness")
        for number in range(60):  # more lines than the pipe holds
            assert gateway.stream(f"n-{number}")[0] == 200
        gateway.assert_serves_and_stops()
    finally:
        os.close(reader)


def test_signals_in_series_cut_no_request(gateway: StartedGateway, engine: EngineStandin) -> None:
    """Reload signals, with the file missing and half written, around repeated stop signals."""
    gateway.start()
    wait_for(gateway.is_ready, "readiness")
    callers = [PersistentCaller(gateway, f"c-{number}", 5) for number in range(4)]
    wait_for(lambda: all(caller.answers for caller in callers), "a first answer each")
    for text in ("", gateway.text[:40], gateway.text):
        gateway.settings.write_text(text)
        for _ in range(20):
            gateway.process.send_signal(signal.SIGHUP)
    gateway.settings.unlink()
    series = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    for number in series * 20:
        gateway.process.send_signal(number)
    assert gateway.process.wait(WAIT_SECONDS) == 0
    for caller in callers:
        caller.thread.join()
    ran = {headers["x-troutswitch-request-id"] for _, _, headers, _ in engine.requests}
    for caller in callers:
        assert set(caller.answers.values()) <= {200, 503}
        assert not caller.cut & ran  # a connection may meet the closed port


# Faults of the store at the start.


def silent(connection: socket.socket) -> None:
    while connection.recv(65536):
        continue


def reset(connection: socket.socket) -> None:
    connection.recv(65536)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")


def answering(answer: bytes) -> Callable[[socket.socket], None]:
    def answer_once(connection: socket.socket) -> None:
        connection.recv(65536)
        connection.sendall(answer)

    return answer_once


def whole(status: str, body: bytes) -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


ODD_STORES = {
    "silent": silent,
    "reset": reset,
    "closes": lambda connection: None,
    "503": answering(whole("503 No", b"{}")),
    "429": answering(whole("429 Busy", b"")),
    "500": answering(whole("500 Failed", b"<html>")),
    "cut head": answering(b"HTTP/1.1 20"),
    "cut body": answering(b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{}"),
    "no HTTP": answering(b"\x00\xff" * 100),
    "empty": answering(whole("200 OK", b"")),
    "null": answering(whole("200 OK", b"null")),
    "odd rows": answering(whole("200 OK", b'{"requests":[1,{},null],"more":false,"end":0}')),
    "deep": answering(whole("200 OK", b"[" * 100_000)),
    "endless pages": answering(whole("200 OK", b'{"requests":[],"more":true,"end":0}')),
}


class OddStore:
    """A store that handles each connection in an odd way, until it is closed."""

    def __init__(self, behave: Callable[[socket.socket], None]) -> None:
        self.calls = 0
        self._behave = behave
        self._open: list[socket.socket] = []
        self._listener = socket.create_server((HOST, 0))
        self.address = Address(HOST, self._listener.getsockname()[1])
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.calls += 1
            self._open.append(connection)
            threading.Thread(target=self._handle, args=(connection,), daemon=True).start()

    def _handle(self, connection: socket.socket) -> None:
        with connection:
            try:
                self._behave(connection)
            except OSError:
                return

    def close(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in self._open:
            with connection:
                connection.close()


@pytest.mark.parametrize("name", ODD_STORES)
def test_daemon_started_beside_an_odd_store_serves_once_it_is_sound(
    name: str, tmp_path: Path
) -> None:
    odd = OddStore(ODD_STORES[name])
    gateway = StartedGateway(tmp_path, odd.address)
    try:
        gateway.start()
        wait_for(lambda: gateway.process.poll() is not None or odd.calls >= 20, "store calls")
        assert gateway.process.poll() is None
        assert gateway.readiness() == 503
        status, headers, _ = gateway.stream("early")
        assert (status, "Retry-After" in headers) == (503, True)
        odd.close()
        store = StoreStandin(odd.address)
        fill(store)
        gateway.assert_serves_and_stops()
        store.server.shutdown()
    finally:
        gateway.stop()
