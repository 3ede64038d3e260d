"""Health requests to engines, with real sockets."""

import socket
import threading
import time

import pytest

from tests.cut_server import CutServer, Ending
from tests.endless_bytes import (
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    count_received_bytes,
    endless_server,
)
from tests.gateway.raw_server import RawServer
from troutswitch.common import Address
from troutswitch.decisions.slots.messages import HealthAnswered, HealthResult, RequestHealth
from troutswitch.gateway.engines import health_request
from troutswitch.gateway.engines.health_request import request_health
from troutswitch.platform import names

ENGINE = "engine-7@1700"
MAX_READ_BYTES = 1 << 17
"""Twice the size of a read: more than any sound head."""
received = pytest.fixture(count_received_bytes)


def ask(address: Address, path: str = "/health") -> HealthAnswered:
    return request_health(RequestHealth(ENGINE, address, path))


def ask_server(headers: dict[str, str], status: str = "200 OK") -> HealthAnswered:
    """Returns the answer of a server that replies with some headers."""
    rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = f"HTTP/1.1 {status}\r\n{rows}Content-Length: 0\r\n\r\n".encode()

    def reply(server: RawServer, connection: socket.socket) -> None:
        connection.recv(4096)
        connection.sendall(head)
        connection.close()

    return ask(RawServer(reply).address)


@pytest.mark.parametrize(
    "instance, load, result, percent",
    [
        ("engine-7", "1, 2, 8, 137", HealthResult.PACE, 137),
        ("engine-7", "1,2,8", HealthResult.NO_PACE, None),
        ("engine-7", "1,2,8,0", HealthResult.NO_PACE, None),
        ("engine-7", "fast", HealthResult.NO_PACE, None),
        ("engine-8", "1,2,8,137", HealthResult.OTHER_ENGINE, None),
        ("", "1,2,8,137", HealthResult.OTHER_ENGINE, None),
    ],
)
def test_pace_of_the_expected_engine_alone_is_used(
    instance: str, load: str, result: HealthResult, percent: int | None
) -> None:
    headers = {names.INSTANCE_ID: instance, names.SERVER_LOAD: load}
    assert ask_server(headers) == HealthAnswered(ENGINE, result, percent)


@pytest.mark.parametrize(
    ("more", "status"),
    [
        ({}, "503 Draining"),
        ({}, "404 Not Found"),
        ({"Content-Encoding": "gzip"}, "200 OK"),
        ({"Transfer-Encoding": "x"}, "200 OK"),
    ],
)
def test_pace_of_an_answer_that_is_no_success_is_not_used(
    more: dict[str, str], status: str
) -> None:
    headers = {names.INSTANCE_ID: "engine-7", names.SERVER_LOAD: "1,2,8,137"} | more
    assert ask_server(headers, status).result is HealthResult.FAILED


def test_answer_without_headers_is_of_no_known_engine() -> None:
    assert ask_server({}).result is HealthResult.OTHER_ENGINE


def test_closed_port_fails() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = Address("127.0.0.1", listener.getsockname()[1])
    assert ask(address).result is HealthResult.FAILED


def test_silent_engine_ends_the_call_by_its_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(health_request, "HEALTH_TIMEOUT_SECONDS", 0.05)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = Address("127.0.0.1", listener.getsockname()[1])
        assert ask(address).result is HealthResult.FAILED


def test_engine_that_sends_its_head_slowly_ends_the_call_by_its_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each byte restarted the timeout, so the call held its thread and its group for hours."""
    monkeypatch.setattr(health_request, "HEALTH_TIMEOUT_SECONDS", 0.2)
    head = f"HTTP/1.1 200 OK\r\n{names.INSTANCE_ID}: engine-7\r\n{names.SERVER_LOAD}: 1,2,8,1"

    def reply(server: RawServer, connection: socket.socket) -> None:
        connection.recv(4096)
        connection.sendall(head.encode())
        for _ in range(20):
            time.sleep(0.1)
            connection.sendall(b"0")

    started = time.monotonic()
    assert ask(RawServer(reply).address).result is HealthResult.FAILED
    assert time.monotonic() - started < 1.0


def test_malformed_path_fails() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = Address("127.0.0.1", listener.getsockname()[1])
        assert ask(address, "/he alth\r\nX: y").result is HealthResult.FAILED


@pytest.mark.parametrize("kind", ENDLESS_HEADS)
def test_endless_head_fails_after_a_bounded_number_of_bytes(
    kind: str, received: list[int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an engine that keeps a processor busy with heads until the time-out."""
    monkeypatch.setattr(health_request, "HEALTH_TIMEOUT_SECONDS", 1.0)
    assert ask(endless_server(ENDLESS_HEADS[kind]).address).result is HealthResult.FAILED
    assert sum(received) <= MAX_READ_BYTES


@pytest.mark.parametrize("kind", ENDLESS_BODIES)
def test_endless_body_is_not_read(kind: str, received: list[int]) -> None:
    ask(endless_server(ENDLESS_BODIES[kind]).address)
    assert sum(received) <= MAX_READ_BYTES


def test_health_request_starts_no_thread(monkeypatch: pytest.MonkeyPatch) -> None:
    started: list[threading.Thread] = []
    start = threading.Thread.start

    def recorded(thread: threading.Thread) -> None:
        started.append(thread)
        start(thread)

    headers = {names.INSTANCE_ID: "engine-7", names.SERVER_LOAD: "1,2,8,137"}
    monkeypatch.setattr(threading.Thread, "start", recorded)
    assert ask_server(headers).result is HealthResult.PACE
    assert not [thread for thread in started if isinstance(thread, threading.Timer)]


@pytest.mark.parametrize("end", ["", "\r\n"])
def test_pace_of_a_head_that_is_cut_is_not_used(end: str) -> None:
    """Guards against a pace whose last digits are missing."""
    rows = f"{names.INSTANCE_ID}: engine-7\r\n{names.SERVER_LOAD}: 1,2,8,15{end}"

    def reply(server: RawServer, connection: socket.socket) -> None:
        connection.recv(4096)
        connection.sendall(f"HTTP/1.1 200 OK\r\n{rows}".encode())
        connection.close()

    assert ask(RawServer(reply).address).result is HealthResult.FAILED


@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
def test_head_that_is_cut_at_any_byte_has_no_pace(ending: Ending) -> None:
    rows = f"{names.SERVER_LOAD}: 1,2,8,137\r\n{names.INSTANCE_ID}: engine-7\r\n"
    server = CutServer(f"HTTP/1.1 200 OK\r\n{rows}\r\n".encode(), ending)
    for length in range(len(server.answer)):
        server.length = length
        assert ask(server.address).result is HealthResult.FAILED, f"cut after {length} bytes"
    server.length = None
    assert ask(server.address) == HealthAnswered(ENGINE, HealthResult.PACE, 137)


@pytest.mark.parametrize(
    "line", ["no header", "A B: c", "A: HTTP/1.1 200 OK", " folded", "A: b\rC: d"]
)
def test_malformed_head_has_no_pace(line: str) -> None:
    """Guards against a head of two answers, one of which was cut."""
    rows = f"{names.INSTANCE_ID}: engine-7\r\n{names.SERVER_LOAD}: 1,2,8,137\r\n"
    server = CutServer(f"HTTP/1.1 200 OK\r\n{rows}{line}\r\n\r\n".encode())
    assert ask(server.address).result is HealthResult.FAILED
