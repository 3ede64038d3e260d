"""Callers that disconnect from a daemon process: during a suspension, a drain, and in metrics."""

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
    """Completes streams whose path names `whole`; sends one event of any other stream."""
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
    daemon = Gateway(store, tmp_path)
    wait_for(daemon.is_ready, "readiness")
    yield daemon
    daemon.stop()
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
        while not answer.endswith(b"0\r\n\r\n"):  # an earlier close would count as a disconnect
            answer += caller.recv(1 << 16)
        assert answer.startswith(b"HTTP/1.1 200")


def test_requests_of_callers_that_disconnect_during_a_suspension_are_not_served(
    gateway: Gateway, engine: RawServer
) -> None:
    """Guards against a daemon that resumes with both a request and its caller's close unread in its
    sockets: it sent the request to an engine and read the close only afterwards."""
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


def test_disconnect_during_a_drain_frees_the_engine(gateway: Gateway, engine: RawServer) -> None:
    with connect(gateway) as caller:
        caller.sendall(request("/chat/stays", "stays"))
        assert caller.recv(1)
        gateway.process.send_signal(signal.SIGTERM)
        wait_for(lambda: not gateway.is_ready(), "not ready")
    assert engine.connection_closed.wait(WAIT_SECONDS)
    assert gateway.process.wait(WAIT_SECONDS) == 0


def test_time_from_close_to_abort_is_recorded(gateway: Gateway, engine: RawServer) -> None:
    with connect(gateway) as caller:
        caller.sendall(request("/chat/stays", "stays"))
        assert caller.recv(1)
    assert engine.connection_closed.wait(WAIT_SECONDS)
    counted = b"troutswitch_caller_close_to_abort_seconds_count 1.0"
    wait_for(lambda: counted in gateway.call("GET", "/metrics", port=gateway.metrics)[2], "count")
