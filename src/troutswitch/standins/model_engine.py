"""A stand-in engine of the users' protocol, with injected faults and a journal.

The engine answers with streams and plain bodies. The journal is a file of JSON lines that record
the start, rejection, answer, failure and end of requests. The start of a request is written before
its work, so that the line survives a kill of the process.
"""

import json
import os
import random
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any

from troutswitch.common import Address
from troutswitch.platform import names
from troutswitch.standins.content import (
    LONG_ITEM_PREFIX,
    digest,
    event_bytes,
    long_item_events,
    plain_answer,
)
from troutswitch.standins.loopback import LoopbackServer
from troutswitch.standins.pace import Pace
from troutswitch.standins.unproved_answers import (
    FAILURES,
    REFUSALS,
    AnswerFault,
    EngineAnswer,
    faulty_answer,
)
from troutswitch.standins.wire_sender import WireSender

BEHAVIOUR_PATH = "/behaviour"
HEALTH_PATH = "/health"
NUMBER = b"NUMBER"
"""Placeholder of the next event's id in `MALFORMED_EVENTS`."""
MALFORMED_EVENTS = (
    b"id: NUMBER\ndata: \xff\n\n",
    b"id: NUMBER\ndata: \xed\xa0\x80\n\n",
    b"id: \xc2\xb2\ndata: x\n\n",
    b"id: " + b"9" * 5000 + b"\ndata: x\n\n",
    b"id: NUMBER\ndata: " + b"x" * 2_000_000 + b"\n\n",
    b"data: x\n\n",
    b"id: NUMBER\ndata: x",
    b"\x00" * 100,
)
"""Events of a batch item that are malformed or too long."""
CRASHING_BODY_PREFIX = b"this request ends its server "
"""Prefix of the body of a request that crashes the engine after it has begun to run."""
CRASHING_PART = "part-that-ends-its-server"
"""Part of a prompt under which the engine crashes before it begins to answer."""
CRASH_EXIT_CODE = 86
"""Exit code of a process that a request has crashed."""
PLAIN_ANSWER_SECONDS = 0.02
"""Duration of a plain answer: far below callers' deadlines, but long enough to be hit by faults."""
SILENCE_SECONDS = 4.0
"""Delay of a silent engine's answer: less than callers' deadlines."""
EVENT_INTERVAL_SECONDS = 0.03
"""Pause before each event: a stream takes 0.1 to 0.4 s, long enough for faults to hit it."""
LONG_EVENT_INTERVAL_SECONDS = 0.12
"""The same for a long item, whose output is saved several times while it runs."""


@dataclass(slots=True)
class Behaviour:
    """Shares of requests that are hit by each fault, from 0 to 1, and whether the engine drains.

    `answer_fault` is the one `AnswerFault` of unproved answers, empty for all of them.
    """

    reject: float = 0.0
    fail: float = 0.0
    break_off: float = 0.0
    garbage: float = 0.0
    silent: float = 0.0
    surplus: float = 0.0
    malformed_items: float = 0.0
    unproved: float = 0.0
    answer_fault: str = ""
    is_draining: bool = False


class ModelEngine:
    """Answers requests over HTTP and records them in its journal.

    With a pace, its work takes as long as the pace says, and its answers report its load with the
    pace as fourth figure. Without a pace they report no load.
    """

    def __init__(
        self,
        address: Address,
        engine_id: str,
        journal: Path,
        seed: int,
        pace: Pace | None = None,
        slots: int = 0,
    ) -> None:
        self.engine_id = engine_id
        self.pace = pace
        self.slots = slots
        self._running = 0
        self._runs = 0
        self._started_at = time.monotonic()
        self.behaviour = Behaviour()
        self.random = random.Random(seed)
        self._answer_random = random.Random(f"{seed}-answers")
        self._journal: IO[str] = journal.open("a", buffering=1)
        self.lock = threading.Lock()
        handler = type("Handler", (_Handler,), {"standin": self})
        self.server = LoopbackServer(address, handler)
        self.address = Address("127.0.0.1", self.server.server_address[1])
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def write_journal(self, kind: str, request_id: str, **fields: Any) -> None:
        """Appends a line to the journal."""
        row = {"kind": kind, "id": request_id, "at": time.monotonic(), "engine": self.engine_id}
        with self.lock:
            self._journal.write(json.dumps(row | fields) + "\n")

    def crash_on(self, request_id: str, path: str) -> None:
        """Exits the process immediately, as a request does that crashes its engine."""
        self.write_journal("ended under", request_id, path=path)
        os._exit(CRASH_EXIT_CODE)

    def next_run(self) -> int:
        """Returns the number of the next run."""
        with self.lock:
            self._runs += 1
            return self._runs

    @contextmanager
    def counted_run(self) -> Iterator[None]:
        """Counts a request as running."""
        with self.lock:
            self._running += 1
        try:
            yield
        finally:
            with self.lock:
                self._running -= 1

    def load_headers(self) -> dict[str, str]:
        """Returns the header with the present load: running, waiting, slots and pace."""
        if self.pace is None:
            return {}
        with self.lock:
            running = min(self._running, self.slots)
            percent = self.pace.percent(time.monotonic() - self._started_at)
            figures = (running, self._running - running, self.slots, percent)
        return {names.SERVER_LOAD: ",".join(str(figure) for figure in figures)}

    def work(self, usual_seconds: float) -> None:
        """Takes as long as a piece of work does at the present pace."""
        factor = 1.0
        if self.pace is not None:
            with self.lock:
                factor = self.pace.percent(time.monotonic() - self._started_at) / 100
        time.sleep(usual_seconds * factor)

    def draw(self, share: float) -> bool:
        """Draws whether a request is hit by a fault that affects a share of requests."""
        with self.lock:
            return self.random.random() < share

    def draw_answer_fault(self) -> AnswerFault | None:
        """Draws the fault of an answer that will not prove to be the engine's, None for none."""
        behaviour = self.behaviour
        with self.lock:
            if self._answer_random.random() >= behaviour.unproved:
                return None
            drawn = self._answer_random.choice(list(AnswerFault))
        return AnswerFault(behaviour.answer_fault) if behaviour.answer_fault else drawn

    def answer_rng(self) -> random.Random:
        """Returns a generator of its own for one faulty answer."""
        with self.lock:
            return random.Random(self._answer_random.random())


class _Handler(WireSender):
    standin: ModelEngine

    def do_GET(self) -> None:
        """Answers a request, or reports the load at the health path."""
        if self.path == HEALTH_PATH:
            instance = {names.INSTANCE_ID: self.standin.engine_id}
            self.reply(200, b"", instance | self.standin.load_headers())
            return
        self._answer()

    def do_POST(self) -> None:
        """Answers a request, or sets the behaviour."""
        if self.path == BEHAVIOUR_PATH:
            self.standin.behaviour = Behaviour(**json.loads(self.body()))
            self.reply(200, b"{}")
            return
        self._answer()

    def _answer(self) -> None:
        body = self.body()
        request_id = self.headers.get(names.REQUEST_ID, "")
        common = {names.REQUEST_ID: request_id} | self.standin.load_headers()
        not_run = common | {names.NOT_EXECUTED: "1"}
        if self.headers.get(names.EXPECT_INSTANCE) != self.standin.engine_id:
            self.reply(421, b"", not_run)
            return
        behaviour = self.standin.behaviour
        if behaviour.is_draining or self.standin.draw(behaviour.reject):
            self.standin.write_journal("rejected", request_id)
            self.reply(503, b"", not_run)
            return
        fault = self.standin.draw_answer_fault()
        if fault in REFUSALS:
            self.standin.write_journal("rejected", request_id)
            refusal = faulty_answer(fault, self._engine_answer(request_id, ()))
            self.send_wire_answer(refusal, self.standin.answer_rng(), 0.0)
            return
        resume_after = int(self.headers.get(names.LAST_EVENT_ID) or 0)
        run = self.standin.next_run()
        self.standin.write_journal(
            "begun",
            request_id,
            method=self.command,
            path=self.path,
            body=digest(body),
            model=self.headers.get(names.MODEL, ""),
            after=resume_after,
            run=run,
            tenant=self.headers.get(names.TENANT, ""),
            has_key=names.API_KEY in self.headers,
        )
        with self.standin.counted_run():
            self._run(request_id, body, resume_after, run, behaviour, fault)

    def _run(
        self,
        request_id: str,
        body: bytes,
        after: int,
        run: int,
        behaviour: Behaviour,
        fault: AnswerFault | None,
    ) -> None:
        crashes = body.startswith(CRASHING_BODY_PREFIX)
        has_crashing_part = CRASHING_PART in self.headers.get(names.PROMPT_PREFIX, "")
        if has_crashing_part or (crashes and "/stream" not in self.path):
            self.standin.crash_on(request_id, self.path)
        draw = self.standin.draw
        if draw(behaviour.silent):
            time.sleep(SILENCE_SECONDS)
        if draw(behaviour.garbage):
            self._write_answered(request_id, run, 200, is_whole=False)
            self.wfile.write(b"this is no answer\r\n\r\n")
            self.close_connection = True
            return
        signed = {names.REQUEST_ID: request_id, names.RESPONSE_STAMP: self._stamp(request_id)}
        signed |= self.standin.load_headers()
        if draw(behaviour.fail):
            self.standin.write_journal("failed", request_id, status=500)
            self._write_answered(request_id, run, 500, is_whole=True)
            self.reply(500, b"failed", signed)
            return
        is_long = "/item" in self.path and body.startswith(LONG_ITEM_PREFIX)
        events = event_bytes(request_id, after)
        if is_long:
            events = long_item_events(request_id, self.standin.engine_id, run, after)
        if "/item" in self.path and draw(behaviour.malformed_items):
            self._write_answered(request_id, run, 200, is_whole=False)
            self._malformed_stream(request_id, b"".join(events[:1]), after, signed)
            return
        is_stream = "/stream" in self.path or "/item" in self.path
        interval = LONG_EVENT_INTERVAL_SECONDS if is_long else EVENT_INTERVAL_SECONDS
        if fault is not None:
            pieces = tuple(events) if is_stream else _halves(plain_answer(request_id, body))
            answer = self._engine_answer(request_id, pieces, is_stream)
            self._answer_faultily(fault, answer, run, interval if is_stream else 0.0)
            return
        breaks_off = draw(behaviour.break_off)
        self._write_answered(request_id, run, 200, is_whole=not breaks_off)
        if is_stream:
            crash_id = request_id if crashes else ""
            with self.sending:
                self._stream(events, interval, signed, breaks_off, crash_id)
        else:
            self._plain(request_id, body, signed, breaks_off)
        if not breaks_off and draw(behaviour.surplus):
            self.reply(200, b"surplus", signed)
        self.standin.write_journal("ended", request_id)

    def _write_answered(self, request_id: str, run: int, status: int, is_whole: bool) -> None:
        """Records what a run is answered, and whether that goes out complete, signed and framed.

        The entry is written before the answer, so that no caller has an answer without one.
        """
        fields = {"run": run, "status": status, "is_whole": is_whole}
        self.standin.write_journal("answered", request_id, **fields)

    def _engine_answer(
        self, request_id: str, pieces: tuple[bytes, ...], is_stream: bool = False
    ) -> EngineAnswer:
        load = tuple(self.standin.load_headers().items())
        return EngineAnswer(request_id, self._stamp(request_id), pieces, is_stream, load)

    def _answer_faultily(
        self, fault: AnswerFault, answer: EngineAnswer, run: int, interval: float
    ) -> None:
        """Sends the answer of a run with a fault; `interval` is the time before each part."""
        wire = faulty_answer(fault, answer)
        if fault in FAILURES:
            self.standin.write_journal("failed", answer.request_id, status=wire.status)
        self._write_answered(answer.request_id, run, wire.status, wire.is_whole)
        if not answer.is_stream:
            self.standin.work(PLAIN_ANSWER_SECONDS)
        self.send_wire_answer(wire, self.standin.answer_rng(), interval)
        self.standin.write_journal("ended", answer.request_id)

    def _stamp(self, request_id: str) -> str:
        return f"{self.standin.engine_id}.{request_id}"

    def _malformed_stream(
        self, request_id: str, first: bytes, after: int, signed: dict[str, str]
    ) -> None:
        """Sends the `first` event as it should be, and one that no output can hold."""
        with self.standin.lock:
            malformed = self.standin.random.choice(MALFORMED_EVENTS)
        headers = signed | {"Content-Type": "text/event-stream"}
        self.reply(200, first + malformed.replace(NUMBER, b"%d" % (after + 2)), headers)
        self.standin.write_journal("malformed", request_id)

    def _plain(
        self, request_id: str, body: bytes, signed: dict[str, str], breaks_off: bool
    ) -> None:
        self.standin.work(PLAIN_ANSWER_SECONDS)
        answer = plain_answer(request_id, body)
        if not breaks_off:
            self.reply(200, answer, signed)
            return
        with self.sending:
            self.send_response(200)
            for name, value in signed.items():
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(answer)))
            self.end_headers()
            self.wfile.write(answer[: len(answer) // 2])
        self.close_connection = True

    def _stream(
        self,
        events: list[bytes],
        interval: float,
        signed: dict[str, str],
        breaks_off: bool,
        crash_id: str = "",
    ) -> None:
        """Sends events; crashes or breaks off half-way.

        Args:
            events: the encoded events.
            interval: seconds before each event at the usual pace.
            signed: headers of the answer.
            breaks_off: whether the connection is closed within an event.
            crash_id: id of the request under which the engine crashes, or empty.
        """
        self.send_response(200)
        for name, value in signed.items():
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number, event in enumerate(events):
            self.standin.work(interval)
            if crash_id and number == len(events) // 2:
                self.standin.crash_on(crash_id, self.path)
            if breaks_off and number == len(events) // 2:
                half = event[: len(event) // 2]
                self.wfile.write(f"{len(half):x}\r\n".encode() + half + b"\r\n")
                self.close_connection = True
                return
            self.wfile.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        self.wfile.write(b"0\r\n\r\n")


def _halves(body: bytes) -> tuple[bytes, bytes]:
    """Returns a body in the two pieces in which a faulty engine sends it."""
    middle = len(body) // 2
    return body[:middle], body[middle:]
