"""A caller that leaves a whole daemon: stood still, while it drains, and what it logs."""

import signal
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.gateway.raw_server import WAIT_SECONDS, RawServer, event, stream_head
from tests.gateway.test_process import Gateway, wait_for
from tests.platform.standins import StoreStandin, configuration
from tests.ports import HOST


def answer(engine: RawServer, connection: socket.socket) -> None:
    """Answers what is called `whole`, and sends one event of any other stream."""
    while True:
        head = engine.read_head(connection)
        connection.sendall(stream_head(head) + event(1))
        if b"/chat/whole" in head:
            connection.sendall(b"0\r\n\r\n")
        else:
            engine.wait_for_end(connection)
            return


@pytest.fixture
def engine() -> RawServer:
    return RawServer(answer)


@pytest.fixture
def gateway(engine: RawServer, tmp_path: Path) -> Iterator[Gateway]:
    store = StoreStandin()
    record = {
        "service": "service",
        "address": str(engine.address),
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }
    store.put("keyed.servers", "i-0", record)
    store.put("keyed.op", "config", configuration("service"))
    held = Gateway(store, tmp_path)
    wait_for(held.is_ready, "readiness")
    yield held
    held.stop()
    store.server.shutdown()


def request(path: str, name: str) -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: h.example",
        f"X-Troutswitch-Request-Id: {name}",
        "X-Troutswitch-Deadline-Ms: 4500",
        "Content-Length: 6",
    ]
    return "\r\n".join([*lines, "", "prompt"]).encode()


def connect(gateway: Gateway) -> socket.socket:
    return socket.create_connection((HOST, gateway.front), WAIT_SECONDS)


def serve_one(gateway: Gateway, name: str) -> None:
    with connect(gateway) as caller:
        caller.sendall(request("/chat/whole", name))
        answer = b""
        while not answer.endswith(b"0\r\n\r\n"):  # one that leaves before is counted as gone
            answer += caller.recv(1 << 16)
        assert answer.startswith(b"HTTP/1.1 200")


def test_a_request_whose_caller_left_while_it_was_not_read_is_not_served(
    gateway: Gateway, engine: RawServer
) -> None:
    """The daemon stood still: request and close lay unread in its connections, and on waking
    it sent such requests to engines, and read only then that the callers were gone."""
    serve_one(gateway, "before")
    gateway.process.send_signal(signal.SIGSTOP)
    for number in range(20):
        with connect(gateway) as caller:
            caller.sendall(request("/chat/left", f"left-{number}"))
    gateway.process.send_signal(signal.SIGCONT)
    serve_one(gateway, "after")
    closed = b'troutswitch_decisions_total{event="caller gone"} 20.0'
    wait_for(lambda: closed in gateway.call("GET", "/metrics", port=gateway.metrics)[2], "lines")
    assert not [head for head in engine.requests if b"/chat/left" in head]


def test_a_stream_is_left_while_the_daemon_drains(gateway: Gateway, engine: RawServer) -> None:
    with connect(gateway) as caller:
        caller.sendall(request("/chat/stays", "stays"))
        assert caller.recv(1)
        gateway.process.send_signal(signal.SIGTERM)
        wait_for(lambda: not gateway.is_ready(), "not ready")
    assert engine.ended.wait(WAIT_SECONDS)
    assert gateway.process.wait(WAIT_SECONDS) == 0


def test_the_time_from_close_to_abort_is_counted(gateway: Gateway, engine: RawServer) -> None:
    with connect(gateway) as caller:
        caller.sendall(request("/chat/stays", "stays"))
        assert caller.recv(1)
    assert engine.ended.wait(WAIT_SECONDS)
    counted = b"troutswitch_caller_close_to_abort_seconds_count 1.0"
    wait_for(lambda: counted in gateway.call("GET", "/metrics", port=gateway.metrics)[2], "count")
