"""Case 3: a planned stop cuts off answers that callers are still reading.

LOST is broken if a daemon that got SIGTERM has read a whole request and closes the connection with
no complete answer, long before its grace period and the request's deadline are over.
"""

import hashlib
import signal
import socket
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True

from harness import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    HOST,
    CouldNotRun,
    Daemon,
    Deployment,
    Record,
    is_troubled,
)

CALLERS = 6
DEADLINE_SECONDS = 4.0
GRACE_SECONDS = 8.0
SEND_AFTER_SIGTERM_SECONDS = 2.6
"""An open connection remains with its daemon; callers use it again at any time."""
BYTES_PER_SECOND = 1_000_000
"""Speed at which a caller reads: 8 Mbit/s."""
SEGMENT_BYTES = 1448
"""Largest segment of an ordinary network. That of loopback is 64 KB, and the kernel's buffers with
it are far larger than between machines."""
ROUTES = [
    {
        "name": "ask",
        "pathPrefix": "/ask/",
        "routeType": "idempotent",
        "timeoutMs": 4000,
        "targetLatencyMs": 1000,
        "maxAttempts": 2,
        "priority": 0,
    }
]


@dataclass
class Got:
    """The answer to one request, and when it was sent and its connection ended."""

    request_id: str
    sent_at: float
    ended_at: float
    status: int
    length: int
    body: bytes

    @property
    def is_complete(self) -> bool:
        """Whether the whole answer came."""
        return self.status > 0 and len(self.body) == self.length


class Caller:
    """A caller with one kept connection, who reads at an ordinary speed."""

    def __init__(self, daemon: Daemon, name: str) -> None:
        self.name = name
        self._sock = socket.socket()
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        self._sock.settimeout(DEADLINE_SECONDS)
        self._sock.connect((daemon.ip, Daemon.FRONT))

    def ask(self, path: str, number: int) -> Got:
        """Sends a request and reads its answer until it is whole or the connection ends."""
        request_id = hashlib.sha256(f"{self.name}-{number}".encode()).hexdigest()[:16]
        sent_at = time.monotonic()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Troutswitch-Request-Id: {request_id}\r\n"
            f"X-Troutswitch-Deadline-Ms: {DEADLINE_SECONDS * 1000:.0f}\r\nContent-Length: 5\r\n\r\n"
        )
        data = b""
        status = length = 0
        try:
            self._sock.sendall(head.encode() + b"hello")
            while not status or len(data) < length:
                if status:
                    received = len(data)
                    time.sleep(max(0.0, sent_at + received / BYTES_PER_SECOND - time.monotonic()))
                more = self._sock.recv(8_192)
                if not more:
                    break
                data += more
                if not status and b"\r\n\r\n" in data:
                    raw, _, data = data.partition(b"\r\n\r\n")
                    status, length = read_head(raw.decode())
        except OSError:
            pass  # reset or silent: the answer is what came until then
        return Got(request_id, sent_at, time.monotonic(), status, length, data)

    def close(self) -> None:
        """Closes the connection."""
        self._sock.close()


def read_head(head: str) -> tuple[int, int]:
    """Returns the status and the length of an answer."""
    first, *lines = head.split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines)
    return int(first.split()[1]), int(fields.get("content-length", "0"))


def play(record: Record) -> int:
    """Plays the case and returns its exit code."""
    with Deployment(record, ROUTES) as deployment:
        for number in range(2):
            deployment.add_server(f"server-{number}", "1", "--work", "0.05")
        deployment.start_daemons(2)
        time.sleep(4.0)
        daemon = deployment.daemons[0]
        callers = [Caller(daemon, f"caller-{number}") for number in range(CALLERS)]
        first = [caller.ask("/ask/x", 0) for caller in callers]
        if not all(got.is_complete and got.status == 200 for got in first):
            raise CouldNotRun("the first requests got no answer")
        record.write(f"{CALLERS} callers have connections to {daemon.name} and got an answer each")
        if is_troubled():
            assert daemon.process is not None
            daemon.is_stopped = True
            daemon.process.send_signal(signal.SIGTERM)
            record.write(f"SIGTERM to {daemon.name}, whose grace period is {GRACE_SECONDS:.0f} s")
        terminated_at = time.monotonic()
        time.sleep(SEND_AFTER_SIGTERM_SECONDS)
        answers: list[Got] = []
        threads = [
            threading.Thread(target=lambda c=caller: answers.append(c.ask("/ask/large", 1)))
            for caller in callers
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(10.0)
        for caller in callers:
            caller.close()
        if is_troubled():
            assert daemon.process is not None
            daemon.process.wait(GRACE_SECONDS + 2)
            record.write(f"{daemon.name} has ended, code {daemon.process.returncode}")
            stopped = [x for x in daemon.log.read_text().splitlines() if "daemon stopped" in x]
            record.write(f"  its log: {stopped[-1:]}")
        return judge(record, deployment, answers, terminated_at)


def judge(record: Record, deployment: Deployment, answers: list[Got], terminated_at: float) -> int:
    """Compares what callers got with what servers ran."""
    ran = {
        str(row["id"]): str(row["engine"])
        for server in deployment.servers
        for row in server.rows()
        if row["kind"] == "ended"
    }
    if len(answers) < CALLERS:
        record.write("could not run: a caller did not end")
        return COULD_NOT_RUN
    cut = 0
    for got in answers:
        engine = ran.get(got.request_id, "no server")
        record.write(
            f"request {got.request_id}, sent {got.sent_at - terminated_at:.2f} s after the mark:"
            f" whole run at {engine}; status {got.status}, {len(got.body)} of {got.length} bytes,"
            f" ended {got.ended_at - terminated_at:.2f} s after it"
        )
        is_early = got.ended_at < min(
            got.sent_at + DEADLINE_SECONDS - 0.2, terminated_at + GRACE_SECONDS * 5 / 6
        )
        cut += not got.is_complete and is_early and got.request_id in ran
    record.write(f"answers cut off by the stop: {cut}")
    record.write("LOST is broken" if cut else "LOST held")
    return BROKEN if cut else HELD


def main() -> int:
    """Runs the case."""
    record = Record(Path(__file__).resolve().parent / "record.txt")
    record.write(f"trouble: {is_troubled()}")
    try:
        return play(record)
    except Exception as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        return COULD_NOT_RUN


sys.exit(main())
