"""Whatever bytes arrive at the ports of a daemon or in its store, it serves sound requests.

The daemon runs in this process, with stand-ins of the store and of two engines; the answers of one
of them are drawn at random.
"""

import http.client
import json
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import structlog
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.gateway.raw_server import RawServer, request_id
from tests.platform.standins import EngineStandin, StoreStandin, configuration
from tests.ports import Ports
from troutswitch.decisions.policies import Policies
from troutswitch.decisions.storage.messages import KeyedRecord, Partition
from troutswitch.gateway.process import GatewayProcess
from troutswitch.platform.settings import load_gateway_settings

pytestmark = pytest.mark.xdist_group("untrusted bytes")

WAIT_SECONDS = 30.0
PART_WAIT_SECONDS = 0.02
"""Wait for the answer to bytes that need not be a whole request."""
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
SETTINGS_TEXT = """
nodeName = "edge-1"
zone = "z"
ip = "127.0.0.1"
internalPorts = [{first}, {last}]
seedNodes = []
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[platform]
address = "{store}"
[timingBounds]
gracePeriodS = 8
{limits}
"""
LIMITS = {"no limit of memory": "", "limit of memory": "[limits]\nmemoryMb = 256"}


class RawEngine:
    """Answers each request with the next bytes, after `head` if it is set."""

    def __init__(self) -> None:
        self.answer = b""
        self.has_head = True
        self.server = RawServer(self._respond)

    def _respond(self, server: RawServer, connection: socket.socket) -> None:
        head = server.read_head(connection)
        signed = b"HTTP/1.1 200 OK\r\nX-Troutswitch-Response-Stamp: s\r\n"
        identity = signed + b"X-Troutswitch-Request-Id: "
        start = identity + request_id(head).encode() + b"\r\n" if self.has_head else b""
        connection.sendall(start + self.answer)
        connection.shutdown(socket.SHUT_WR)
        server.wait_for_end(connection)


class Daemon:
    """A daemon in this process with its stand-ins."""

    def __init__(self, folder: Path, limits: str) -> None:
        self.ports = Ports()
        first, last, self.front, self.ready = sorted(self.ports.reserve() for _ in range(4))
        self.peer_port, self.internal = first, last
        self.store, self.engine, self.raw_engine = (
            StoreStandin(),
            EngineStandin("sound", events=2, pause=0.0),
            RawEngine(),
        )
        self.version = 0
        self.configure()
        self.list_engine("sound", str(self.engine.address))
        path = folder / "node.toml"
        path.write_text(
            SETTINGS_TEXT.format(
                first=first,
                last=last,
                front=self.front,
                ready=self.ready,
                store=self.store.address,
                limits=limits,
            )
        )
        self.process = GatewayProcess(
            load_gateway_settings(path), structlog.get_logger(), Policies()
        )
        self.process.start()
        self._wait_until_ready()

    def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + WAIT_SECONDS
        while not self.process.core.is_ready:
            assert time.monotonic() < deadline
            time.sleep(0.02)

    def configure(self) -> None:
        self.version += 1
        self.store.put("keyed.op", "config", configuration("service", self.version))

    def put(self, topic: str, key: str, value: bytes) -> None:
        with self.store.lock:
            self.store.model.log(Partition(topic)).append((KeyedRecord(key, value),))

    def list_engine(self, name: str, address: str, **fields: Any) -> None:
        record = self.engine.record("service") | {"address": address} | fields
        self.put("keyed.servers", name, json.dumps(record).encode())

    def send(self, port: int, data: bytes, wait: float = PART_WAIT_SECONDS) -> bytes:
        """Sends bytes on a connection of their own, and returns the first bytes of the answer.

        Empty if there is none in time, as after a part of a request.
        """
        with socket.create_connection(("127.0.0.1", port), WAIT_SECONDS) as connection:
            try:
                connection.sendall(data)
                connection.settimeout(wait)
                return connection.recv(1 << 16)
            except (ConnectionError, TimeoutError):
                return b""

    def ask(self, path: str = "/chat/x", identifier: str = "sound-1") -> tuple[int, bytes]:
        connection = http.client.HTTPConnection("127.0.0.1", self.front, timeout=WAIT_SECONDS)
        headers = {
            "Host": "h.example",
            "X-Troutswitch-Deadline-Ms": "9000",
            "X-Troutswitch-Request-Id": identifier,
        }
        try:
            connection.request("POST", path, b"x", headers)
            response = connection.getresponse()
            return response.status, response.read()
        except http.client.HTTPException:
            return 0, b""
        finally:
            connection.close()

    def check(self) -> None:
        """Checks that the daemon serves a sound request whole."""
        assert self.process.failure is None
        events = "".join(f"id: {n}\ndata: sound-1-{n}\n\n" for n in range(1, 3))
        assert self.ask() == (200, events.encode())
        assert self.process.failure is None

    def stop(self) -> None:
        self.process.stop()
        self.store.server.shutdown()
        self.engine.server.shutdown()
        self.ports.release_all()


@pytest.fixture(scope="module", params=LIMITS)
def daemon(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[Daemon]:
    started = Daemon(tmp_path_factory.mktemp("daemon"), LIMITS[request.param])
    yield started
    started.stop()


HEAD = b"POST /chat/x HTTP/1.1\r\nHost: h.example\r\n"
REQUEST_PIECES = [
    HEAD,
    b"GET /lots/%ff\xfe?afterRevision=%c2%b2 HTTP/1.1\r\nHost: h.example\r\n",
    b"DELETE /lots/" + b"x" * 3000 + b" HTTP/1.1\r\nHost: h.example\r\n",
    b"POST /jobs/\xff HTTP/1.1\r\nHost: h.example\r\n",
    b"POST /chat/\xff HTTP/1.1\r\nHost: h.example\r\n",
    b"X-Troutswitch-Request-Id: a\r\n",
    b"X-Troutswitch-Request-Id: \xff\xfe\r\n",
    b"X-Troutswitch-Request-Id: " + b"a" * 9000 + b"\r\n",
    b"X-Troutswitch-Deadline-Ms: inf\r\n",
    b"X-Troutswitch-Deadline-Ms: nan\r\n",
    b"X-Troutswitch-Deadline-Ms: 300\r\n",
    b"X-Troutswitch-Token-Usage: " + b"9" * 400 + b",-1\r\n",
    b"X-Troutswitch-Prompt-Prefix: a:" + b"9" * 300 + b",\xb2:\xb2\r\n",
    b"Last-Event-Id: \xb2\r\n",
    b"Last-Event-Id: " + b"9" * 5000 + b"\r\n",
    b"Resumes: \xff\r\n",
    b"Api-Key: \xff\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: \xb2\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"\r\n",
    b"3\r\nabc\r\n0\r\n\r\n",
    b'{"requests": [{"id": "a", "path": "/jobs/1", "tokens": -1}]}',
]


@SETTINGS
@given(st.lists(st.sampled_from(REQUEST_PIECES) | st.binary(max_size=6), max_size=9))
def test_requests_of_any_bytes_end_no_daemon(daemon: Daemon, pieces: list[bytes]) -> None:
    for port in (daemon.front, daemon.internal, daemon.ready):
        daemon.send(port, b"".join(pieces))
    daemon.check()


CALLS = [
    b"GET /lots/%ff\xfe HTTP/1.1\r\nHost: h.example\r\n\r\n",
    b"GET /lots/a?afterRevision=" + b"9" * 5000 + b" HTTP/1.1\r\nHost: h.example\r\n\r\n",
    b"GET /lots/a?afterRevision=%c2%b2 HTTP/1.1\r\nHost: h.example\r\n\r\n",
    b"GET /items/\xff?id=\xff HTTP/1.1\r\nHost: h.example\r\n\r\n",
    b"POST /chat/\xff HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n",
    HEAD + b"X-Troutswitch-Request-Id: a\r\nLast-Event-Id: \xb2\r\nContent-Length: 0\r\n\r\n",
]


@pytest.mark.parametrize("call", CALLS, ids=range(len(CALLS)))
def test_malformed_call_gets_a_status_of_4xx(daemon: Daemon, call: bytes) -> None:
    """Guards against an internal error that says nothing to the caller."""
    assert daemon.send(daemon.front, call, WAIT_SECONDS).startswith(b"HTTP/1.1 4")


ANSWER_PIECES = [
    b"Content-Type: text/event-stream\r\n",
    b"X-Troutswitch-Response-Stamp: s\r\n",
    b"X-Troutswitch-Server-Load: " + b"9" * 400 + b",0,0\r\n",
    b"X-Troutswitch-Server-Load: 0,0,0,0\r\n",
    b"X-Troutswitch-Not-Executed: 1\r\n",
    b"Retry-After: nan\r\n",
    b"Retry-After: 1e308\r\n",
    b"Keep-Alive: timeout=\xb2\r\n",
    b"Content-Length: 40\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"X: a\r\n b\r\n",
    b"\r\n",
    b"id: 1\ndata: x\n\n",
    b"id: \xb2\ndata: x\n\n",
    b"id: 1\ndata: \xff\n\n",
    b"f\r\nid: 1\ndata: x\n\n\r\n",
    b"0\r\n\r\n",
]


@SETTINGS
@given(st.lists(st.sampled_from(ANSWER_PIECES) | st.binary(max_size=6), max_size=9), st.booleans())
def test_answers_of_any_bytes_end_no_daemon(
    daemon: Daemon, pieces: list[bytes], has_head: bool
) -> None:
    daemon.raw_engine.answer, daemon.raw_engine.has_head = b"".join(pieces), has_head
    address = str(daemon.raw_engine.server.address)
    daemon.list_engine("raw", address, service="raw service")
    rows = configuration("service", daemon.version + 1)
    daemon.version += 1
    raw = rows["routes"][0] | {"name": "raw", "pathPrefix": "/raw/", "service": "raw service"}
    rows["routes"].append(raw | {"timeoutMs": 200})
    daemon.store.put("keyed.op", "config", rows)
    daemon.ask("/raw/x", "raw-1")
    daemon.check()


ENTRIES = st.fixed_dictionaries(
    {},
    optional={
        "service": st.sampled_from(["service", "", "x" * 500, 5]),
        "address": st.sampled_from(
            ["127.0.0.1:1", "evil.example:1", "127.0.0.1:\xb2", "\x00:1", "127.0.0.1:99999", "x"]
        ),
        "zone": st.sampled_from(["z", "", "\u20ac" * 300, None]),
        "version": st.sampled_from(["v1", 10**30, "v" * 500, 1.5]),
        "slots": st.sampled_from([0, 1, -1, 10**30, 1e300, "8"]),
        "state": st.sampled_from(["ready", "draining", "\x00"]),
        "coldRemainingMs": st.sampled_from([0, -1, 1e308, "x"]),
        "sequence": st.sampled_from([0, 10**30, -1]),
        "born": st.sampled_from([None, 0, 10**30, -1]),
    },
)
ENGINE_IDS = st.sampled_from(["a", "\u20ac", "a\r\nb: c", " ", "@", "a@1", "x" * 250, "\x00"])


@SETTINGS
@given(ENGINE_IDS, ENTRIES | st.binary(max_size=20))
def test_entries_of_engines_of_any_form_end_no_daemon(
    daemon: Daemon, engine_id: str, entry: dict[str, Any] | bytes
) -> None:
    sound = daemon.engine.record("service") | {"address": "127.0.0.1:1", "service": "other"}
    value = entry if isinstance(entry, bytes) else json.dumps(sound | entry).encode()
    daemon.put("keyed.servers", engine_id, value)
    daemon.check()
    daemon.put("keyed.servers", engine_id, b"")


ROUTE_FIELDS = ["timeoutMs", "targetLatencyMs", "maxAttempts", "gapTargetMs", "retentionS"]
ROUTE_FIELDS += ["priority", "maxQueuedTokens", "completionTargetMs", "host", "pathPrefix"]
PLACES: list[tuple[str, int | None, str]] = [("routes", 0, name) for name in ROUTE_FIELDS]
PLACES += [("services", 0, name) for name in ("maxConnections", "engine", "healthPath", "name")]
PLACES += [("limits", None, name) for name in ("maxHeaderBytes", "idleTimeoutMs")]
NUMBERS: list[object] = [
    0,
    -1,
    1e300,
    10**30,
    1e-300,
    2**53,
    None,
    "x",
    "/\r\n",
    [],
    {"slots": 10**30},
]


@SETTINGS
@given(st.sampled_from(PLACES), st.sampled_from(NUMBERS))
def test_configurations_of_any_form_end_no_daemon(
    daemon: Daemon, place: tuple[str, int | None, str], value: object
) -> None:
    section, index, name = place
    daemon.version += 1
    rows = configuration("service", daemon.version)
    target = rows[section] if index is None else rows[section][index]
    target[name] = value
    daemon.store.put("keyed.op", "config", rows)
    daemon.ask()
    daemon.configure()
    time.sleep(0.05)
    assert daemon.process.failure is None


@SETTINGS
@given(st.lists(st.binary(max_size=40), min_size=5, max_size=5))
def test_datagrams_of_any_bytes_end_no_daemon(daemon: Daemon, datagrams: list[bytes]) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for datagram in datagrams:
            sender.sendto(datagram, ("127.0.0.1", daemon.peer_port))
    daemon.check()
