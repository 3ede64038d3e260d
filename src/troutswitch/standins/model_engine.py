"""An engine of the users' protocol as a process: streams and plain answers, faults, a journal.

The journal is a file of JSON lines, one for each request that began or was rejected. A line is
written before the work it tells of, so that it outlasts a kill of the process.
"""

import json
import os
import random
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any

from troutswitch.common import Address
from troutswitch.platform import names
from troutswitch.standins.content import digest, event_bytes, plain_answer
from troutswitch.standins.loopback import LoopbackHandler, LoopbackServer

BEHAVIOUR_PATH = "/behaviour"
ENDING_MARK = b"this request ends its server "
"""Begins the body of a request under which the process ends once it has begun to run it."""
ENDED_CODE = 86
"""Exit code of a process that ended under a request."""
PLAIN_SECONDS = 0.02
"""Time of a plain answer: short beside the callers' deadlines, long enough to be struck."""
SILENT_SECONDS = 4.0
"""Time for which a silent engine holds its answer: less than the callers' deadline."""
EVENT_SECONDS = 0.03
"""Pause before each event: a stream takes 0.1 to 0.4 s, so that faults fall inside."""


@dataclass(slots=True)
class Behaviour:
    """Shares of requests that meet a fault, each from 0 to 1."""

    reject: float = 0.0
    fail: float = 0.0
    break_off: float = 0.0
    garbage: float = 0.0
    silent: float = 0.0
    surplus: float = 0.0
    is_draining: bool = False


class ModelEngine:
    """Answers requests over HTTP and writes what it runs to its journal."""

    def __init__(self, address: Address, engine_id: str, journal: Path, seed: int) -> None:
        self.engine_id = engine_id
        self.behaviour = Behaviour()
        self.random = random.Random(seed)
        self._journal: IO[str] = journal.open("a", buffering=1)
        self._lock = threading.Lock()
        handler = type("Handler", (_Handler,), {"standin": self})
        self.server = LoopbackServer(address, handler)
        self.address = Address("127.0.0.1", self.server.server_address[1])
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def note(self, kind: str, request_id: str, **fields: Any) -> None:
        """Writes a line of the journal."""
        row = {"kind": kind, "id": request_id, "at": time.monotonic(), "engine": self.engine_id}
        with self._lock:
            self._journal.write(json.dumps(row | fields) + "\n")

    def end_under(self, request_id: str, path: str) -> None:
        """Ends this process at once, as a request does that no engine can run."""
        self.note("ended under", request_id, path=path)
        os._exit(ENDED_CODE)

    def draws(self, share: float) -> bool:
        """Draws whether a request meets a fault of some share."""
        with self._lock:
            return self.random.random() < share


class _Handler(LoopbackHandler):
    standin: ModelEngine

    def do_GET(self) -> None:
        """Answers like any request."""
        self._answer()

    def do_POST(self) -> None:
        """Answers a request, or takes a new behaviour."""
        if self.path == BEHAVIOUR_PATH:
            self.standin.behaviour = Behaviour(**json.loads(self.body()))
            self.reply(200, b"{}")
            return
        self._answer()

    def _answer(self) -> None:
        body = self.body()
        request_id = self.headers.get(names.REQUEST_ID, "")
        common = {names.REQUEST_ID: request_id}
        not_run = common | {names.NOT_EXECUTED: "1"}
        if self.headers.get(names.EXPECT_INSTANCE) != self.standin.engine_id:
            self.reply(421, b"", not_run)
            return
        behaviour = self.standin.behaviour
        if behaviour.is_draining or self.standin.draws(behaviour.reject):
            self.standin.note("rejected", request_id)
            self.reply(503, b"", not_run)
            return
        resume_after = int(self.headers.get(names.LAST_EVENT_ID) or 0)
        self.standin.note(
            "begun",
            request_id,
            method=self.command,
            path=self.path,
            body=digest(body),
            model=self.headers.get(names.MODEL, ""),
            after=resume_after,
            tenant=self.headers.get(names.TENANT, ""),
            has_key=names.API_KEY in self.headers,
        )
        self._run(request_id, body, resume_after, behaviour)

    def _run(self, request_id: str, body: bytes, after: int, behaviour: Behaviour) -> None:
        ends = body.startswith(ENDING_MARK)
        if ends and "/stream" not in self.path:
            self.standin.end_under(request_id, self.path)
        draws = self.standin.draws
        if draws(behaviour.silent):
            time.sleep(SILENT_SECONDS)
        if draws(behaviour.garbage):
            self.wfile.write(b"this is no answer\r\n\r\n")
            self.close_connection = True
            return
        signed = {names.REQUEST_ID: request_id, names.RESPONSE_STAMP: self._stamp(request_id)}
        if draws(behaviour.fail):
            self.standin.note("failed", request_id, status=500)
            self.reply(500, b"failed", signed)
            return
        is_broken = draws(behaviour.break_off)
        if "/stream" in self.path or "/item" in self.path:
            self._stream(request_id, after, signed, is_broken, ends)
        else:
            self._plain(request_id, body, signed, is_broken)
        if not is_broken and draws(behaviour.surplus):
            self.reply(200, b"surplus", signed)
        self.standin.note("ended", request_id)

    def _stamp(self, request_id: str) -> str:
        return f"{self.standin.engine_id}.{request_id}"

    def _plain(self, request_id: str, body: bytes, signed: dict[str, str], is_broken: bool) -> None:
        time.sleep(PLAIN_SECONDS)
        answer = plain_answer(request_id, body)
        if not is_broken:
            self.reply(200, answer, signed)
            return
        self.send_response(200)
        for name, value in signed.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(answer)))
        self.end_headers()
        self.wfile.write(answer[: len(answer) // 2])
        self.close_connection = True

    def _stream(
        self, request_id: str, after: int, signed: dict[str, str], is_broken: bool, ends: bool
    ) -> None:
        self.send_response(200)
        for name, value in signed.items():
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        events = event_bytes(request_id, after)
        for number, event in enumerate(events):
            time.sleep(EVENT_SECONDS)
            if ends and number == len(events) // 2:
                self.standin.end_under(request_id, self.path)
            if is_broken and number == len(events) // 2:
                half = event[: len(event) // 2]
                self.wfile.write(f"{len(half):x}\r\n".encode() + half + b"\r\n")
                self.close_connection = True
                return
            self.wfile.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        self.wfile.write(b"0\r\n\r\n")
