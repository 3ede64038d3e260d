"""Engines whose answers are cut: what callers of a daemon process get."""

import http.client
import json
import os
import socket
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from tests.gateway.raw_server import RawServer, request_id
from tests.gateway.test_process import Gateway, submission, wait_for
from tests.platform.standins import StoreStandin, configuration
from troutswitch.platform import names
from troutswitch.standins.unproved_answers import EngineAnswer, genuine_parts
from troutswitch.standins.wire_sender import RESET_ON_CLOSE

ENGINES = 24
"""So many that those which the daemon leaves alone after failures are not missed."""
CALLERS = 6
SOUND_REQUESTS = 6
"""Requests with a sound answer beside each one that is cut: attempts again are a share of all."""
SOUND = "sound"
"""First part of the ids of requests whose answers are not cut."""
DEADLINE_MS = "1500"
CUT_STEP = 5
"""Bytes between two cuts; the tests of the exchanges cut at each byte."""
EVENTS = 3
FAILED_STATUSES = (502, 503, 504)
JOB_ITEMS = 8


def is_stream(path: str) -> bool:
    return path.startswith(("/chat/", "/jobs/"))


def whole_answer(path: str, name: str) -> EngineAnswer:
    """Returns the answer of a sound engine."""
    pieces = tuple(f"id: {n}\ndata: {name}-{n}\n\n".encode() for n in range(1, EVENTS + 1))
    return EngineAnswer(name, f"stamp-{name}", pieces, is_stream(path))


class CutEngines:
    """Engines that cut the first answer to a request at the byte that is next for its path.

    Further attempts are answered whole, or are cut as well if `cuts_all`.
    """

    def __init__(self) -> None:
        self.cuts_all = False
        self.next_cut: dict[str, int] = {}
        """Byte at which the next answer is cut, by the first part of the path."""
        self.cut_count = 0
        self._known: set[str] = set()
        self._lock = threading.Lock()
        self._servers = [RawServer(self._serve) for _ in range(ENGINES)]

    def records(self) -> Iterator[dict[str, Any]]:
        """Yields their entries in the engine list."""
        return (self._record(server) for server in self._servers)

    @staticmethod
    def _record(server: RawServer) -> dict[str, Any]:
        return {
            "service": "service",
            "address": str(server.address),
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }

    def _serve(self, server: RawServer, connection: socket.socket) -> None:
        while True:
            head = server.read_head(connection)
            server.requests.clear()
            path, name = head.split(b" ")[1].decode(), request_id(head)
            data = self.answer(path, name, _resumed_after(head))
            cut = self._cut(path, name, len(data))
            connection.sendall(data[:cut])
            if cut is not None:
                break
        if cut % 2:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            os.close(connection.detach())
        else:
            connection.shutdown(socket.SHUT_WR)
            server.wait_for_end(connection)

    @staticmethod
    def answer(path: str, name: str, last: int) -> bytes:
        answer = whole_answer(path, name)
        pieces = answer.pieces[last:]
        resumed = EngineAnswer(name, answer.stamp, pieces, answer.is_stream)
        return b"".join(genuine_parts(resumed))

    def _cut(self, path: str, name: str, size: int) -> int | None:
        """Returns the byte at which an answer is cut, None if it is not."""
        kind = path.split("/")[1]
        with self._lock:
            if name.startswith(SOUND) or (name in self._known and not self.cuts_all):
                return None
            self._known.add(name)
            self.cut_count += 1
            cut = self.next_cut.get(kind, 0)
            self.next_cut[kind] = (cut + CUT_STEP) % size
            return min(cut, size - 1)  # a resumed stream is shorter


def _resumed_after(head: bytes) -> int:
    value = head.lower().partition(names.LAST_EVENT_ID.lower().encode() + b": ")[2]
    return int(value.partition(b"\r\n")[0] or 0)


@pytest.fixture
def store() -> Iterator[StoreStandin]:
    standin = StoreStandin()
    yield standin
    standin.server.shutdown()


@pytest.fixture
def engines(store: StoreStandin) -> CutEngines:
    standins = CutEngines()
    for number, record in enumerate(standins.records()):
        store.put("keyed.servers", f"i-{number}", record)
    return standins


@pytest.fixture
def gateway(store: StoreStandin, engines: CutEngines, tmp_path: Path) -> Iterator[Gateway]:
    fields = configuration("service")
    stream = fields["routes"][0]
    plain = {**stream, "name": "r-plain", "pathPrefix": "/plain/", "routeType": "idempotent"}
    once = {**plain, "name": "r-once", "pathPrefix": "/once/", "routeType": "non_idempotent"}
    fields["routes"] += [plain, once]
    store.put("keyed.op", "config", fields)
    daemon = Gateway(store, tmp_path)
    wait_for(daemon.is_ready, "readiness")
    yield daemon
    assert daemon.process.poll() is None, "the daemon ended"
    daemon.stop()


def answer_of(gateway: Gateway, path: str, name: str) -> int:
    """Makes a call, checks that a success is whole, and returns its status; 0 for a cut one."""
    headers = {"X_Troutswitch_Request_Id": name, "X_Troutswitch_Deadline_Ms": DEADLINE_MS}
    try:
        status, received, body = gateway.call("POST", path, b"p", **headers)  # type: ignore[arg-type]
    except (http.client.HTTPException, ConnectionError):
        return 0
    whole = whole_answer(path, name)
    if status == 200:
        assert body == whole.body, f"{name} got a part of an answer as a whole one"
        assert received[names.RESPONSE_STAMP] == whole.stamp
    else:
        assert status in FAILED_STATUSES
    return status


@pytest.mark.parametrize("kind", ["chat", "plain", "once"])
@pytest.mark.parametrize("cuts_all", [False, True], ids=["first attempts", "all attempts"])
def test_no_caller_gets_a_part_of_an_answer_as_a_whole_one(
    gateway: Gateway, engines: CutEngines, kind: str, cuts_all: bool
) -> None:
    """Guards against a 200 with an empty or short body after an answer that was cut."""
    engines.cuts_all = cuts_all
    path = f"/{kind}/a"
    size = len(CutEngines.answer(path, f"{kind}-000", 0))
    request_ids: list[str] = []
    for number in range(size // CUT_STEP):
        request_ids.append(f"{kind}-{number:03}")
        request_ids += [f"{SOUND}-{kind}-{number:03}-{n}" for n in range(SOUND_REQUESTS)]
    with ThreadPoolExecutor(CALLERS) as callers:
        answers = callers.map(lambda name: answer_of(gateway, path, name), request_ids)
        statuses = dict(zip(request_ids, answers, strict=True))
    cut = [status for name, status in statuses.items() if not name.startswith(SOUND)]
    sound = [status for name, status in statuses.items() if name.startswith(SOUND)]
    assert engines.cut_count >= len(cut) // 2
    assert (200 in cut) == (kind != "once" and not cuts_all)
    assert sound.count(200) > len(sound) // 2


def test_items_of_a_job_are_listed_whole(gateway: Gateway, engines: CutEngines) -> None:
    body = submission("j", JOB_ITEMS)

    def is_accepted() -> bool:
        return gateway.call("POST", "/jobs/j", body, X_Troutswitch_Request_Id="j")[0] == 202

    def results() -> list[dict[str, str]]:
        status, _, data = gateway.call("GET", "/lots/j?afterRevision=0")
        assert status == 200
        return list(json.loads(data)["results"])

    wait_for(is_accepted, "the submission")
    wait_for(lambda: len(results()) == JOB_ITEMS, "the results")
    for row in results():
        assert row["state"] == "completed"
        assert row["message"] == "\n".join(f"{row['id']}-{n}" for n in range(1, EVENTS + 1))
    assert engines.cut_count >= JOB_ITEMS
