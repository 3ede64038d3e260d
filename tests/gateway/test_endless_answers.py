"""Engines whose answers do not end: what they cost a daemon process, and whom it serves meanwhile.

The engine runs in a process of its own, so that it does not compete with the callers. Many requests
are answered without end at once; sound requests are sent all the while.
"""

import http.client
import os
import subprocess
import sys
import threading
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from tests.endless_bytes import ENDLESS_ANSWERS, ENDLESS_STREAMS, SINGLE_BYTES, path_of
from tests.gateway.test_process import Gateway, complete_stream, wait_for
from tests.platform.standins import EngineStandin, StoreStandin, configuration

DEADLINE_MS = 3000
"""Deadline of the requests that are answered without end."""
SOUND_DEADLINE_MS = 20_000
CALLER_TIMEOUT_SECONDS = 30.0
"""Far beyond the deadline: a caller that waits so long was not answered."""
SOUND_CALLERS = 4
WARM_REQUESTS = 40
"""Sound requests by which the cost of one is measured."""
ENDLESS_CALLERS = 24
MAX_GROWTH_BYTES = 192 << 20
"""Largest growth of the daemon's resident memory: 2 MiB for each of its 96 threads of callers."""
MAX_THREADS = 200
MAX_COST = 12
"""Most processor time of an endless request, in that of a sound one with five events."""
REPOSITORY = Path(__file__).parents[2]
ALL_KINDS = [*ENDLESS_ANSWERS, *(f"{kind}~{SINGLE_BYTES}" for kind in ENDLESS_ANSWERS)]
COSTLY_KINDS = [
    "interim answers",
    "trailers",
    "body by length",
    "chunks",
    "chunks of one byte",
    "surplus body by length",
    "surplus chunks of one byte",
    "event",
    "event in chunks of one byte",
    "blank lines",
]
"""Kinds that took most memory or processor time, each sent to many callers at once."""


@dataclass(frozen=True)
class Usage:
    """What a process has used: peak resident bytes, threads now, processor seconds in all."""

    peak_bytes: int
    threads: int
    processor_seconds: float

    @classmethod
    def read(cls, process_id: int) -> "Usage":
        folder = Path(f"/proc/{process_id}")
        status = dict(line.split(":", 1) for line in (folder / "status").read_text().splitlines())
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return cls(
            int(status["VmHWM"].split()[0]) << 10,
            int(status["Threads"]),
            ticks / os.sysconf("SC_CLK_TCK"),
        )


def reset_peak(process_id: int) -> None:
    """Makes the peak of a process's resident memory that of now (proc(5), `clear_refs`)."""
    Path(f"/proc/{process_id}/clear_refs").write_text("5")


@pytest.fixture
def endless_engine() -> Iterator[str]:
    """The address of an engine process."""
    paths = [str(REPOSITORY), os.environ.get("PYTHONPATH", "")]
    process = subprocess.Popen(
        [sys.executable, "-m", "tests.endless_bytes"],
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
    )
    assert process.stdout is not None
    yield process.stdout.readline().strip()
    process.kill()
    process.wait()


def rows(version: int = 1) -> dict[str, Any]:
    """A configuration with routes to the sound service and to the endless one."""
    found = configuration("sound", version)
    stream = found["routes"][0] | {"timeoutMs": SOUND_DEADLINE_MS}
    endless = {"service": "endless", "timeoutMs": DEADLINE_MS}
    ask = {"name": "ask", "pathPrefix": "/ask/", "routeType": "idempotent"}
    streams = {"name": "streams", "pathPrefix": "/streams/"}
    found["routes"] = [stream, stream | endless | ask, stream | endless | streams]
    found["services"].append(found["services"][0] | {"name": "endless", "engine": {"slots": 128}})
    found["services"][1]["maxConnections"] = 500
    return found


@pytest.fixture
def gateway(endless_engine: str, tmp_path: Path) -> Iterator[Gateway]:
    store, sound = StoreStandin(), EngineStandin("sound")
    record = sound.record("sound")
    store.put("keyed.servers", "sound", record)
    endless = {"service": "endless", "address": endless_engine, "slots": 128}
    store.put("keyed.servers", "endless", record | endless)
    store.put("keyed.op", "config", rows())
    daemon = Gateway(store, tmp_path)
    wait_for(daemon.is_ready, "readiness")
    yield daemon
    daemon.stop()
    sound.server.shutdown()
    store.server.shutdown()


class SoundCallers:
    """Callers that send one sound request after another until they are stopped."""

    def __init__(self, gateway: Gateway) -> None:
        self.answers: list[tuple[int, bool]] = []
        """Status of each answer, and whether it was whole."""
        self._gateway = gateway
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,)) for number in range(SOUND_CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, number: int) -> None:
        count = 0
        while not self._stopped.is_set():
            count += 1
            name = f"sound-{number}-{count}"
            status, body = ask(self._gateway, "/chat/x", name, SOUND_DEADLINE_MS)
            self.answers.append((status, body == complete_stream(name)))

    def stop(self) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()


def ask(gateway: Gateway, path: str, name: str, deadline_ms: int) -> tuple[int, bytes]:
    """Returns the status and the body; 0 if there was no answer."""
    connection = http.client.HTTPConnection(
        "127.0.0.1", gateway.front, timeout=CALLER_TIMEOUT_SECONDS
    )
    headers = {
        "Host": "h.example",
        "X-Troutswitch-Deadline-Ms": str(deadline_ms),
        "X-Troutswitch-Request-Id": name,
    }
    try:
        connection.request("POST", path, b"x", headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error).encode()
    finally:
        connection.close()


def ask_endless(gateway: Gateway, kinds: list[str]) -> list[int]:
    """Sends one request of each kind at once, and returns the statuses."""
    statuses: list[int] = []

    def send(number: int, kind: str) -> None:
        prefix = "/streams/" if kind.partition("~")[0] in ENDLESS_STREAMS else "/ask/"
        path = prefix + path_of(kind)
        statuses.append(ask(gateway, path, f"endless-{number}", DEADLINE_MS)[0])

    threads = [threading.Thread(target=send, args=each) for each in enumerate(kinds)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


def processor_seconds_of_a_sound_request(gateway: Gateway) -> float:
    """Sends sound requests alone, and returns what one costs the daemon."""
    begun = Usage.read(gateway.process.pid)
    for number in range(WARM_REQUESTS):
        assert ask(gateway, "/chat/x", f"warm-{number}", SOUND_DEADLINE_MS)[0] == 200
    ended = Usage.read(gateway.process.pid)
    return (ended.processor_seconds - begun.processor_seconds) / WARM_REQUESTS


@pytest.mark.parametrize(
    "kinds",
    [ALL_KINDS, *([kind] * ENDLESS_CALLERS for kind in COSTLY_KINDS)],
    ids=["all kinds", *COSTLY_KINDS],
)
def test_endless_answers_end_in_bounded_resources_beside_sound_traffic(
    gateway: Gateway, kinds: list[str]
) -> None:
    """Guards against engines that fill the memory or occupy the processor without an answer."""
    process_id = gateway.process.pid
    sound_seconds = processor_seconds_of_a_sound_request(gateway)
    reset_peak(process_id)
    before = Usage.read(process_id)
    sound = SoundCallers(gateway)
    statuses = ask_endless(gateway, kinds)
    after = Usage.read(process_id)
    sound.stop()
    spent = after.processor_seconds - before.processor_seconds
    cost = (spent / sound_seconds - len(sound.answers)) / len(kinds)
    print(sorted(statuses), before, after, len(sound.answers), sound_seconds, cost)
    assert len(statuses) == len(kinds) and set(statuses) <= {502, 504}
    assert set(sound.answers) == {(200, True)}
    assert after.peak_bytes - before.peak_bytes <= MAX_GROWTH_BYTES
    assert after.threads <= MAX_THREADS
    assert cost <= MAX_COST
