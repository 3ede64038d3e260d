"""What connections hold is counted, limited and released.

Real sockets on loopback against the listener. Guards against a daemon that is killed for its
memory: waitress buffered up to 16 MB for each caller that did not read, read each body before it
could be refused, and continued in temporary files, which count as memory.
"""

import contextlib
import http.client
import itertools
import socket
import tempfile
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from types import SimpleNamespace

import pytest
from waitress.adjustments import Adjustments

from tests.ports import HOST
from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import RequestLimits
from troutswitch.gateway.callers.accounted_channel import AccountedChannel
from troutswitch.gateway.callers.listener import DESCRIBE_ANSWER_KEY, HttpListener
from troutswitch.gateway.memory.account import BODY_REFUSED, READER_CLOSED, MemoryAccount
from troutswitch.gateway.memory.limits import MemoryLimits
from troutswitch.gateway.memory.pressure import Kind
from troutswitch.runtime.http import Environ, Response, StartResponse, send, status_line

WAIT_SECONDS = 30.0
MEGABYTE = 1_000_000
LIMIT = 8 * MEGABYTE
ANSWER_BYTES = 2 * MEGABYTE
CHUNK = b"x" * 32_768
THREADS = 24
RECEIVE_BYTES = 4096
"""Size of the receive buffer of callers that do not read."""


def wait_for(condition: Callable[[], bool], what: str) -> None:
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f"not in time: {what}"
        time.sleep(0.01)


class Served:
    """A listener with a limited account, and an application with an answer for each path."""

    def __init__(self, limit: int = LIMIT, answer_bytes: int = ANSWER_BYTES) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []
        self.account = MemoryAccount(MemoryLimits(limit, answer_bytes), self.log)
        self.bodies: list[int] = []
        self.ended_streams = 0
        self.time_limit = 60.0
        self.may_answer = threading.Event()
        self.listener = HttpListener(
            self.answer, Address(HOST, 0), THREADS, "callers", 100, memory=self.account
        )
        self.listener.start()

    def log(self, event: str, **fields: object) -> None:
        self.lines.append((event, fields))

    def logged(self, event: str) -> list[dict[str, object]]:
        return [fields for name, fields in list(self.lines) if name == event]

    def answer(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        self.bodies.append(len(body))
        path = environ["PATH_INFO"]
        environ[DESCRIBE_ANSWER_KEY](path, path == "/job", self.time_limit)
        if path in ("/large", "/job"):
            size = MEGABYTE if path == "/large" else LIMIT
            return send(Response(200, b"y" * size), start_response)
        if path == "/held":
            assert self.may_answer.wait(WAIT_SECONDS)
        if path.startswith("/stream"):
            start_response(status_line(200), [("Content-Type", "text/event-stream")])
            return self.stream(int(path.rpartition("/")[2]))
        return send(Response(200, str(len(body)).encode()), start_response)

    def stream(self, count: int) -> Iterator[bytes]:
        try:
            yield from itertools.repeat(CHUNK, count)
        finally:
            self.ended_streams += 1

    def connect(self, receive_bytes: int = 0) -> socket.socket:
        caller = socket.socket()
        if receive_bytes:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        caller.settimeout(WAIT_SECONDS)
        caller.connect((HOST, self.listener.address.port))
        return caller

    def ask(self, path: str) -> socket.socket:
        """Sends a request from a caller that does not read the answer."""
        caller = self.connect(RECEIVE_BYTES)
        caller.sendall(head("GET", path))
        return caller

    def call(
        self, method: str, path: str, body: bytes | Iterable[bytes] = b""
    ) -> tuple[int, dict[str, str], bytes]:
        connection = http.client.HTTPConnection(
            HOST, self.listener.address.port, timeout=WAIT_SECONDS
        )
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            return response.status, dict(response.getheaders()), response.read()
        finally:
            connection.close()

    def assert_empty(self) -> None:
        wait_for(lambda: self.account.total == 0, f"an empty account: {self.account.total}")
        assert all(self.account.held(kind) == 0 for kind in Kind)


def head(method: str, path: str, *lines: str) -> bytes:
    return "\r\n".join([f"{method} {path} HTTP/1.1", "Host: h", *lines, "", ""]).encode()


def read_all(caller: socket.socket) -> bytes:
    data = b""
    while part := caller.recv(1 << 16):
        data += part
    return data


@pytest.fixture(autouse=True)
def spooled(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Fails a test in which anything is written to a temporary file."""
    files: list[object] = []
    original = tempfile.TemporaryFile

    def record(*args: object, **named: object) -> object:
        files.append(args)
        return original()

    monkeypatch.setattr(tempfile, "TemporaryFile", record)
    yield
    assert files == []


@pytest.fixture
def served() -> Iterator[Served]:
    listener = Served()
    yield listener
    listener.listener.stop()


# Bodies.


def test_a_flood_of_large_bodies_is_refused_while_small_requests_are_served(
    served: Served,
) -> None:
    callers = [served.connect() for _ in range(20)]
    for caller in callers:
        caller.sendall(head("POST", "/echo", f"Content-Length: {MEGABYTE}") + b"begin")
    wait_for(lambda: len(served.logged(BODY_REFUSED)) == 15, "refusals")
    assert served.account.held(Kind.BODIES) == 5 * MEGABYTE
    assert served.call("POST", "/echo", b"small")[2] == b"5"
    assert served.account.high_water <= LIMIT
    assert served.bodies == [5]
    for caller in callers:
        caller.close()
    served.assert_empty()


def test_a_refused_body_is_answered_with_503_before_it_is_sent(served: Served) -> None:
    size = RequestLimits().body_bytes - 1
    holder = served.connect()
    holder.sendall(head("POST", "/echo", f"Content-Length: {size}"))
    wait_for(lambda: served.account.total == size, "the reservation")
    with served.connect() as caller:
        request_id = "X-Troutswitch-Request-Id: r-1"
        caller.sendall(head("POST", "/echo", f"Content-Length: {size}", request_id))
        answer = read_all(caller)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nRetry-After: 1.000\r\n" in answer
    assert b"\r\nConnection: close\r\n" in answer
    (line,) = served.logged(BODY_REFUSED)
    assert (line["request_id"], line["body_bytes"], line["held_bytes"]) == ("r-1", size, size)
    holder.close()
    served.assert_empty()


def test_a_caller_that_sends_its_whole_refused_body_receives_the_refusal(served: Served) -> None:
    """Guards against a reset: closing while bytes arrive destroys the refusal on its way."""
    size = RequestLimits().body_bytes - 1
    holder = served.connect()
    holder.sendall(head("POST", "/echo", f"Content-Length: {size}"))
    wait_for(lambda: served.account.total == size, "the reservation")
    for _ in range(5):
        status, headers, _ = served.call("POST", "/echo", b"z" * size)
        assert (status, headers["Retry-After"]) == (503, "1.000")
    assert served.bodies == []
    holder.close()
    served.assert_empty()
    assert served.call("POST", "/echo", b"z" * size)[0] == 200


def test_a_chunked_body_is_counted_as_it_grows_and_refused_when_it_does_not_fit(
    served: Served,
) -> None:
    assert served.call("POST", "/echo", itertools.repeat(CHUNK, 30))[2] == b"983040"
    holder = served.connect()
    holder.sendall(head("POST", "/echo", f"Content-Length: {4 * MEGABYTE}"))
    wait_for(lambda: served.account.total == 4 * MEGABYTE, "the reservation")
    assert served.call("POST", "/echo", itertools.repeat(CHUNK, 100))[0] == 503
    assert served.bodies == [983040]
    holder.close()
    served.assert_empty()


def test_a_caller_that_expects_to_continue_is_told_so_or_refused(served: Served) -> None:
    expect = "Expect: 100-continue"
    caller = served.connect()
    caller.sendall(head("POST", "/echo", f"Content-Length: {4 * MEGABYTE}", expect))
    assert caller.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
    with served.connect() as refused:
        refused.sendall(head("POST", "/echo", f"Content-Length: {4 * MEGABYTE}", expect))
        assert read_all(refused).startswith(b"HTTP/1.1 503 ")
    caller.sendall(b"z" * 4 * MEGABYTE)
    assert caller.recv(100).startswith(b"HTTP/1.1 200 ")
    caller.close()
    served.assert_empty()


def test_a_caller_that_leaves_inside_a_body_leaves_nothing(served: Served) -> None:
    for lines in ([f"Content-Length: {MEGABYTE}"], ["Transfer-Encoding: chunked"]):
        with served.connect() as caller:
            caller.sendall(head("POST", "/echo", *lines) + b"8000\r\n" + b"z" * 20_000)
            wait_for(lambda: served.account.held(Kind.BODIES) > 0, "a reservation")
        served.assert_empty()
    assert served.bodies == []


@pytest.mark.parametrize("second_part", [400, 1000])
def test_a_caller_that_leaves_while_its_request_runs_leaves_nothing(
    served: Served, second_part: int
) -> None:
    """A second request is read ahead, in part or completely, and never served."""
    first = head("POST", "/held", "Content-Length: 1000")
    with served.connect() as caller:
        caller.sendall(first + b"z" * 1000 + first + b"z" * second_part)
        wait_for(lambda: served.account.held(Kind.BODIES) == 2000, "both bodies")
        wait_for(lambda: served.bodies == [1000], "the first request in progress")
    if second_part < 1000:  # waitress reads on, and so detects the close at once
        wait_for(lambda: served.account.held(Kind.BODIES) == 1000, "the end of the second")
    served.may_answer.set()
    served.assert_empty()
    assert served.bodies == [1000]


def test_a_body_that_arrives_too_slowly_loses_its_reservation(served: Served) -> None:
    served.listener.set_limits(RequestLimits(header_seconds=0.1))
    with served.connect() as caller:
        caller.sendall(head("POST", "/echo", f"Content-Length: {MEGABYTE}") + b"begin")
        assert read_all(caller).startswith(b"HTTP/1.1 408 ")
    served.assert_empty()
    assert served.bodies == []


def test_a_body_beyond_the_configured_bound_is_refused_as_without_a_limit(served: Served) -> None:
    with served.connect() as caller:
        caller.sendall(head("POST", "/echo", "Content-Length: 100000000"))
        assert read_all(caller).startswith(b"HTTP/1.1 413 ")
    served.assert_empty()


# Answers.


def test_readers_that_stop_reading_are_closed_and_others_are_served(served: Served) -> None:
    """Each stream is longer than the whole limit.

    While the stalled streams fill the account, requests are refused, and each refusal closes the
    slowest readers; so a caller that tries again is served.
    """
    stalled = [served.ask("/stream/400") for _ in range(12)]
    wait_for(lambda: len(served.logged(READER_CLOSED)) >= 3, "closed readers")
    for _ in range(10):
        wait_for(lambda: served.call("POST", "/echo", b"small")[0] == 200, "a served caller")
        assert len(served.call("GET", "/stream/100")[2]) == 100 * len(CHUNK)
    assert served.account.high_water <= LIMIT + THREADS * 2 * len(CHUNK)
    for line in served.logged(READER_CLOSED):
        assert (line["reason"], line["request_id"]) == ("the account is full", "/stream/400")
    for caller in stalled:
        caller.close()
    served.assert_empty()
    wait_for(lambda: served.ended_streams == len(stalled) + 10, "the end of all streams")


def test_a_stream_is_taken_from_its_engine_while_the_account_has_room(served: Served) -> None:
    """Guards against an engine that is left unread since its caller does not read."""
    caller = served.ask("/stream/50")
    wait_for(lambda: served.ended_streams == 1, "the end of the stream at its source")
    assert len(read_all(caller)) > 50 * len(CHUNK)
    caller.close()
    served.assert_empty()
    assert served.logged(READER_CLOSED) == []


def test_the_unread_part_of_one_answer_is_bounded(served: Served) -> None:
    caller = served.ask("/stream/1000")
    wait_for(lambda: served.account.total >= ANSWER_BYTES, "a full buffer")
    assert len(served.call("GET", "/stream/100")[2]) == 100 * len(CHUNK)
    assert served.account.high_water <= ANSWER_BYTES + 20 * len(CHUNK)
    caller.close()
    served.assert_empty()


def test_large_answers_that_are_read_slowly_are_delivered_completely() -> None:
    served = Served(limit=24 * MEGABYTE)
    sizes: list[int] = []

    def read_slowly() -> None:
        with served.ask("/large") as caller:
            data = 0
            while data < MEGABYTE and (part := caller.recv(RECEIVE_BYTES)):
                data += len(part)
                time.sleep(0.001)
            sizes.append(data)

    threads = [threading.Thread(target=read_slowly) for _ in range(15)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(sizes) == 15
    assert min(sizes) >= MEGABYTE
    assert MEGABYTE < served.account.high_water <= 24 * MEGABYTE
    assert served.logged(READER_CLOSED) == []
    served.assert_empty()
    served.listener.stop()


def test_a_read_of_a_job_counts_as_such(served: Served) -> None:
    caller = served.ask("/job")
    wait_for(lambda: served.account.held(Kind.JOB_READS) > 0, "a counted answer")
    assert served.account.held(Kind.ANSWERS) == 0
    caller.close()
    served.assert_empty()


def test_a_process_that_resumes_closes_nobody_whose_connection_takes_bytes() -> None:
    """Guards against answers that are cut after a suspension, as all seem to be unread for long."""
    served = Served()
    served.listener.stop()
    ours, callers = socket.socketpair()
    server = SimpleNamespace(memory=served.account, header_seconds=3.0, active_channels={})
    channel = AccountedChannel(server, ours, ("", 0), Adjustments(), map={})
    channel.outbufs[0].append(b"x")
    channel.total_outbufs_len += 1
    channel._taken_at -= 1000
    channel.readable()
    assert channel.describe(1).idle_seconds == 0
    assert served.logged(READER_CLOSED) == []
    with contextlib.suppress(BlockingIOError):
        while True:
            ours.send(CHUNK)
    channel.readable()
    assert channel.describe(1).idle_seconds >= 1000
    assert len(served.logged(READER_CLOSED)) == 1
    channel.handle_close()
    assert served.account.total == 0
    callers.close()


def test_a_caller_that_reads_nothing_in_its_time_limit_is_closed(served: Served) -> None:
    served.time_limit = 0.1
    caller = served.ask("/stream/1000")
    wait_for(lambda: len(served.logged(READER_CLOSED)) == 1, "the closed reader")
    served.assert_empty()
    wait_for(lambda: served.ended_streams == 1, "the end of the stream")
    caller.close()
