"""Starts a small deployment of separate processes on loopback, and the calls that the cases make.

The store is the project's stand-in, the daemons run the command of the deploy file, the model
servers are `engine.py` beside this file. A daemon that ends by itself is started again after half a
second, as the platform does.
"""

import base64
import contextlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

HOST = "clients.example"
SERVICE = "llm"
COULD_NOT_RUN, BROKEN, HELD = 2, 1, 0
FOLDER = Path(__file__).resolve().parent


class CouldNotRun(Exception):
    """The case could not be set up."""


def free_port(host: str = "127.0.0.1") -> int:
    """Returns a free TCP port."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


@dataclass
class Answer:
    """What a call got; status 0 if its connection ended or was silent without an answer."""

    status: int
    body: bytes = b""
    reason: str = ""


def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 4.0,
) -> Answer:
    """Makes one call on a connection of its own."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Answer(response.status, response.read())
    except (OSError, http.client.HTTPException) as error:
        return Answer(0, b"", f"{type(error).__name__}: {error}")
    finally:
        connection.close()


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self._file = path.open("w")
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
            self._file.flush()


@dataclass
class Daemon:
    """One daemon: its addresses and its process."""

    name: str
    ip: str
    settings: Path
    log: Path
    process: "subprocess.Popen[bytes] | None" = None
    own_ends: list[float] = field(default_factory=list)
    is_stopped: bool = False

    FRONT, READY, INTERNAL = 8161, 8167, (7720, 7735)

    def ready(self) -> bool:
        """Returns whether the daemon says that it is ready."""
        return call(self.ip, self.READY, "GET", "/readiness", timeout=1.0).status == 200


@dataclass
class ModelServer:
    """One model server: its process and its journal."""

    name: str
    port: int
    journal: Path
    process: "subprocess.Popen[bytes]"

    def rows(self) -> list[dict[str, object]]:
        """Returns the lines of the journal."""
        lines = self.journal.read_text().splitlines() if self.journal.exists() else []
        return [json.loads(line) for line in lines if line.endswith("}")]


class Deployment:
    """The processes of a case; use it in a `with` statement."""

    def __init__(self, record: Record, routes: list[dict[str, object]], slots: int = 12) -> None:
        self.record = record
        self.slots = slots
        self.daemons: list[Daemon] = []
        self.servers: list[ModelServer] = []
        self._routes = routes
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._stopping = threading.Event()
        self._processes: list[subprocess.Popen[bytes]] = []
        self._network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._watch = threading.Thread(target=self._restart_ended, daemon=True)

    def __enter__(self) -> "Deployment":
        signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(COULD_NOT_RUN))
        self.store_port = free_port()
        self._start([str(FOLDER / "store.py"), str(self.store_port)], "store")
        self._wait(lambda: self.set_store_faults().status == 200, "the store")
        self._configure()
        return self

    def __exit__(self, *error: object) -> None:
        self._stopping.set()
        for process in self._processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self._processes:
            process.wait(10)
        shutil.rmtree(self._folder, ignore_errors=True)

    def _start(
        self, arguments: list[str], name: str, environment: dict[str, str] | None = None
    ) -> "subprocess.Popen[bytes]":
        if self._stopping.is_set():
            raise CouldNotRun("stopping")
        with (self._folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **(environment or {})},
            )
        self._processes.append(process)
        return process

    @staticmethod
    def _wait(condition: object, what: str, seconds: float = 30.0) -> None:
        until = time.monotonic() + seconds
        while not condition():  # type: ignore[operator]
            if time.monotonic() > until:
                raise CouldNotRun(f"{what} did not come up")
            time.sleep(0.05)

    # The platform.

    def append(self, topic: str, key: str, value: bytes) -> None:
        """Writes a keyed record, as the operator and the servers do."""
        name = key.encode()
        record = struct.pack(">IB", 1 + len(name) + len(value), len(name)) + name + value
        path = f"/log-append?topic={topic}&part=0"
        if call("127.0.0.1", self.store_port, "POST", path, record).status != 200:
            raise CouldNotRun(f"the store did not take {key}")

    def set_store_faults(self, **faults: object) -> Answer:
        """Sets the faults of the store's stand-in."""
        return call("127.0.0.1", self.store_port, "POST", "/faults", json.dumps(faults).encode())

    def newest(self, topic: str, part: int) -> list[dict[str, object]]:
        """Returns the newest record of each key of a partition."""
        path = f"/log-newest?topic={topic}&part={part}"
        answer = call("127.0.0.1", self.store_port, "GET", path)
        return list(json.loads(answer.body)["requests"]) if answer.status == 200 else []

    def _configure(self) -> None:
        services = [{"name": SERVICE, "maxConnections": 210, "engine": {"slots": self.slots}}]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
        limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        routes = [{"host": HOST, "service": SERVICE, **route} for route in self._routes]
        configuration = {"version": 1, "routes": routes, "services": services, "limits": limits}
        self.append("keyed.op", "config", json.dumps(configuration).encode())

    # Model servers.

    def add_server(self, name: str, version: str, *arguments: str) -> ModelServer:
        """Starts a model server and lists it."""
        port = free_port()
        journal = self._folder / f"{name}.journal"
        program = [str(FOLDER / "engine.py"), "--id", name, "--port", str(port)]
        program += ["--journal", str(journal), "--slots", str(self.slots), *arguments]
        server = ModelServer(name, port, journal, self._start(program, name))
        self._wait(lambda: call("127.0.0.1", port, "GET", "/health").status == 200, name)
        self.servers.append(server)
        self.list_server(server, version)
        self.record.write(f"server {name} (version {version}) is up and listed")
        return server

    def list_server(self, server: ModelServer, version: str, state: str = "ready") -> None:
        """Writes the entry of a server."""
        row = {"service": SERVICE, "address": f"127.0.0.1:{server.port}", "zone": "zone-1"}
        row |= {"version": version, "slots": self.slots, "state": state}
        row |= {"coldRemainingMs": 0, "sequence": 1}
        self.append("keyed.servers", server.name, json.dumps(row).encode())

    # Daemons.

    def start_daemons(self, count: int) -> None:
        """Starts the daemons and waits until all are ready."""
        for number in range(1, count + 1):
            name, ip = f"edge-{number}", f"{self._network}.{number}"
            settings = self._folder / f"{name}.toml"
            settings.write_text(self._settings(name, ip))
            daemon = Daemon(name, ip, settings, self._folder / f"{name}.log")
            self.daemons.append(daemon)
            self.start_daemon(daemon)
        for daemon in self.daemons:
            self._wait(daemon.ready, daemon.name)
        self._watch.start()
        self.record.write(f"{count} daemons are ready")

    def start_daemon(self, daemon: Daemon) -> None:
        """Starts a daemon with the command of the deploy file."""
        variables = {"TROUTSWITCH_NODE_FILE": str(daemon.settings)}
        daemon.process = self._start(["-m", "troutswitch.gateway"], daemon.name, variables)

    def _settings(self, name: str, ip: str) -> str:
        first, last = Daemon.INTERNAL
        return f"""
nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "zone-1"
region = "region-1"
internalPorts = [{first}, {last}]
seedNodes = []
bootstrap = true
heartbeatMs = 1200
[listen]
front = "{ip}:{Daemon.FRONT}"
ready = "{ip}:{Daemon.READY}"
[limits]
memoryMb = 320
maxFds = 8200
[timingBounds]
contactMs = 3000
ackTimeoutMs = 4000
drainTimeoutMs = 2000
gracePeriodS = 8
configApplyMs = 2000
recoveryS = 12
completionS = 18
statusIntervalS = 120
cancelTimeoutMs = 3000
settleTimeoutMs = 1000
quotaOvershoot = 0.1
[platform]
address = "127.0.0.1:{self.store_port}"
form = "log"
writes_per_s = 800.0
reads_per_s = 2000.0
parts = 8
record_bytes = 262144
call_bytes = 2097152
ttl_min_ms = 1000
"""

    def _restart_ended(self) -> None:
        while not self._stopping.wait(0.02):
            for daemon in self.daemons:
                process = daemon.process
                if process is None or process.poll() is None or daemon.is_stopped:
                    continue
                daemon.own_ends.append(time.monotonic())
                self.record.write(f"{daemon.name} ENDED BY ITSELF, code {process.returncode}")
                self.record.write(f"  its last words: {last_words(daemon.log)}")
                time.sleep(0.5)
                with contextlib.suppress(CouldNotRun):
                    self.start_daemon(daemon)

    # Batch jobs.

    def submit(self, daemon: Daemon, job: str, items: list[str], tokens: int = 900) -> Answer:
        """Hands in a batch job."""
        rows = [
            {
                "id": item,
                "path": f"/lot/{item}",
                "headers": {
                    "X-Troutswitch-Model": "m",
                    "X-Troutswitch-Token-Usage": f"{tokens - 400},400",
                    "X-Troutswitch-Prompt-Prefix": f"{item}:{tokens - 400}",
                },
                "body": base64.b64encode(item.encode()).decode(),
                "tokens": tokens,
            }
            for item in items
        ]
        headers = {
            "Host": HOST,
            "X-Troutswitch-Request-Id": job,
            "X-Troutswitch-Deadline-Ms": "4000",
        }
        headers["Content-Type"] = "application/json"
        body = json.dumps({"requests": rows}).encode()
        answer = call(daemon.ip, Daemon.FRONT, "POST", f"/lot/{job}", body, headers)
        self.record.write(f"job {job} with {len(items)} items at {daemon.name}: {answer.status}")
        return answer

    def read(self, daemon: Daemon, job: str, position: int, wait_ms: int = 0) -> Answer:
        """Reads results of a batch job."""
        headers = {"Host": HOST, "X-Troutswitch-Wait-Ms": str(wait_ms)}
        path = f"/lots/{job}?afterRevision={position}"
        return call(daemon.ip, Daemon.FRONT, "GET", path, None, headers, 2.5)


def last_words(log: Path) -> str:
    """Returns the line of a daemon's log that tells why it ended."""
    lines = log.read_text(errors="replace").splitlines() if log.exists() else []
    told = [line for line in lines if "loop failed" in line]
    return (told or lines or [""])[-1][:400]


def is_troubled() -> bool:
    """Returns whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
