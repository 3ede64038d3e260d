"""A planned stop ends when each caller has its answer, or its own time limit is over."""

import json
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.gateway.raw_server import RawServer, request_id
from tests.gateway.test_process import WAIT_SECONDS, Gateway, wait_for
from tests.platform.standins import EngineStandin, StoreStandin, configuration

ANSWER_BYTES = 6_000_000
"""More than the kernel's buffers of a connection hold."""
SEGMENT_BYTES = 1448
"""Segment size of an ordinary network; that of loopback makes the kernel's buffers far larger."""
AFTER_MIN_DRAIN_SECONDS = 4.2
"""Time from the signal to a caller's first read, after the daemon would stop without it."""
LIMITS = {"no limit of memory": "", "limit of memory": "[limits]\nmemoryMb = 400"}
TIME_LIMIT_MS = 20_000
"""Time limit of the routes, far above the time that a caller takes on a busy machine."""
LINE = b"x" * 990


class LargeAnswers:
    """An engine whose plain answers and streams are large."""

    def __init__(self) -> None:
        self.server = RawServer(self._respond)

    def record(self, service: str) -> dict[str, Any]:
        return EngineStandin.record(self, service)  # type: ignore[arg-type]

    @property
    def address(self) -> object:
        return self.server.address

    def _respond(self, server: RawServer, connection: socket.socket) -> None:
        while True:
            head = server.read_head(connection)
            kind = "text/event-stream" if b"/chat/" in head else "text/plain"
            body = stream_body() if b"/chat/" in head else LINE * (ANSWER_BYTES // len(LINE))
            lines = [
                "HTTP/1.1 200 OK",
                f"X-Troutswitch-Request-Id: {request_id(head)}",
                "X-Troutswitch-Response-Stamp: s",
                f"Content-Type: {kind}",
                f"Content-Length: {len(body)}",
            ]
            connection.sendall("\r\n".join([*lines, "", ""]).encode() + body)


def stream_body() -> bytes:
    return b"".join(b"id: %d\ndata: %s\n\n" % (n, LINE) for n in range(1, ANSWER_BYTES // 1000))


class SlowCaller:
    """A caller on one connection that sends a request and reads nothing until it is told to."""

    def __init__(self, gateway: Gateway) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        self._socket.settimeout(WAIT_SECONDS)
        self._socket.connect(("127.0.0.1", gateway.front))

    def send(self, path: str, name: str, deadline_ms: int = 20_000, method: str = "POST") -> None:
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: h.example",
            f"X-Troutswitch-Request-Id: {name}",
            f"X-Troutswitch-Deadline-Ms: {deadline_ms}",
            "Content-Length: 0",
        ]
        self._socket.sendall("\r\n".join([*lines, "", ""]).encode())

    def read(self) -> bytes:
        """Returns all that is received until the connection ends."""
        received = bytearray()
        try:
            while part := self._socket.recv(1 << 16):
                received += part
        except ConnectionError:
            received += b"<reset>"
        return bytes(received)

    def close(self) -> None:
        self._socket.close()


def decoded_body(answer: bytes) -> bytes:
    """Returns the body of an answer; the whole bytes if its chunks are incomplete."""
    head, _, body = answer.partition(b"\r\n\r\n")
    if b"chunked" not in head.lower():
        return body
    decoded = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            return decoded
        decoded += body[:length]
        body = body[length + 2 :]
    return b"incomplete"


@pytest.fixture(params=LIMITS)
def gateway(
    request: pytest.FixtureRequest, tmp_path: Path, large_answers: LargeAnswers
) -> Iterator[Gateway]:
    store = StoreStandin()
    store.put("keyed.servers", "large", large_answers.record("service"))
    rows = configuration("service")
    ask = {"name": "ask", "pathPrefix": "/ask/", "routeType": "idempotent"}
    rows["routes"][0]["timeoutMs"] = TIME_LIMIT_MS
    rows["routes"].append(rows["routes"][0] | ask)
    store.put("keyed.op", "config", rows)
    daemon = Gateway(store, tmp_path, LIMITS[request.param])
    wait_for(daemon.is_ready, "readiness")
    yield daemon
    daemon.stop()
    store.server.shutdown()


@pytest.fixture
def large_answers() -> LargeAnswers:
    return LargeAnswers()


def stop_line(gateway: Gateway) -> dict[str, Any]:
    lines = [json.loads(line) for line in gateway.log.read_text().splitlines()]
    return dict(next(line for line in lines if line["event"] == "daemon stopped"))


def answered(gateway: Gateway, count: int) -> bool:
    """Whether the engine's answers to a number of requests have been read by the daemon."""
    return gateway.log.read_text().count('"event": "attempt ended"') >= count


@pytest.mark.parametrize("path", ["/ask/x", "/chat/x"])
def test_stop_waits_for_a_caller_that_still_reads(gateway: Gateway, path: str) -> None:
    """Guards against a planned stop that cuts off answers in the daemon's own buffers."""
    caller = SlowCaller(gateway)
    caller.send(path, "slow")
    time.sleep(0.5)
    gateway.process.send_signal(signal.SIGTERM)
    time.sleep(AFTER_MIN_DRAIN_SECONDS)
    answer = caller.read()
    body = stream_body() if path == "/chat/x" else LINE * (ANSWER_BYTES // len(LINE))
    assert decoded_body(answer) == body
    assert gateway.process.wait(WAIT_SECONDS) == 0
    line = stop_line(gateway)
    assert (line["unread_answers"], line["unread_bytes"]) == (0, 0)


def test_stop_does_not_reset_an_answer_after_which_a_request_was_sent(gateway: Gateway) -> None:
    """Guards against a reset by a request that is unread when the connection is closed."""
    caller = SlowCaller(gateway)
    caller.send("/ask/x", "slow")
    time.sleep(0.5)
    gateway.process.send_signal(signal.SIGTERM)
    caller.send("/ask/y", "further")
    time.sleep(AFTER_MIN_DRAIN_SECONDS)
    answer = caller.read()
    assert len(decoded_body(answer)) >= ANSWER_BYTES // len(LINE) * len(LINE)
    assert gateway.process.wait(WAIT_SECONDS) == 0


def test_stop_does_not_wait_for_a_caller_beyond_its_own_time_limit(gateway: Gateway) -> None:
    """Guards against a caller that never reads and holds up the stop of a daemon."""
    caller = SlowCaller(gateway)
    caller.send("/ask/x", "never", deadline_ms=2000)
    time.sleep(0.5)
    gateway.process.send_signal(signal.SIGTERM)
    gateway.process.send_signal(signal.SIGTERM)
    gateway.process.send_signal(signal.SIGHUP)
    assert gateway.process.wait(WAIT_SECONDS) == 0
    line = stop_line(gateway)
    assert line["is_complete"]
    assert line["unread_in_time"] == 0
    caller.close()
