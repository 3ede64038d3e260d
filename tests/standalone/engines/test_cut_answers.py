"""Answers of engines, the log service and the machine list that are cut at each of their bytes."""

import json
from collections.abc import Callable
from typing import Any

import cbor2
import pytest

from tests.cut_server import CutServer, Ending
from troutswitch.common import Address
from troutswitch.outcomes import AttemptOutcome
from troutswitch.standalone.decisions.events import EngineLoad, Machine
from troutswitch.standalone.engines.assembler import AnswerAssembler
from troutswitch.standalone.engines.client import EngineClient, EngineStream, StreamFailed
from troutswitch.standalone.engines.protocol import CompletionRequest
from troutswitch.standalone.log_service.client import LogClient, LogUnavailable
from troutswitch.standalone.machine_list.client import MachineListClient
from troutswitch.standalone.runtime import http_client

CLOSES = pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
STATUS = b"HTTP/1.1 200 OK\r\n"
STREAM_HEAD = b"HTTP/1.0 200 OK\r\nX-Engine-Leaving: no\r\n\r\n"
PIECES: list[dict[str, Any]] = [
    {"stream_id": "s", "position": 0, "text": "one"},
    {"stream_id": "s", "position": 1, "text": "two"},
    {"stream_id": "s", "done": True, "length": 2},
]
STREAM = STREAM_HEAD + b"".join(b"data: %s\n\n" % json.dumps(row).encode() for row in PIECES)
MACHINE = Machine("m", "engine", Address("127.0.0.1", 7), "z")


def answer_bytes(body: bytes, status: bytes = b"200 OK") -> bytes:
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body


def run_stream(server: CutServer, time_limit: float = 5.0) -> tuple[str, bool, StreamFailed | None]:
    """Returns the text that is released, whether it is complete, and how the stream failed."""
    stream = EngineStream(server.address, time_limit)
    assembler, text = AnswerAssembler(), ""
    try:
        stream.open(CompletionRequest("s", "p", 2, 0))
        for pieces in stream.pieces():
            text += assembler.accept(pieces, "s")
    except StreamFailed as failed:
        return text, assembler.is_complete, failed
    return text, assembler.is_complete, None


@CLOSES
def test_stream_that_is_cut_at_any_byte_is_not_complete(ending: Ending) -> None:
    server = CutServer(STREAM, ending)
    last_line_end = len(STREAM) - 1  # the blank line after the last piece says nothing more
    for length in range(last_line_end):
        server.length = length
        text, is_complete, failed = run_stream(server)
        assert "onetwo".startswith(text) and not is_complete
        assert failed is not None and failed.kind is AttemptOutcome.CUT
    server.length = None
    assert run_stream(server) == ("onetwo", True, None)


@CLOSES
def test_refusal_that_is_cut_at_any_byte_does_not_say_that_nothing_ran(ending: Ending) -> None:
    body = b'{"not_run": true, "leaving": true}'
    server = CutServer(answer_bytes(body, b"503 Full"), ending)
    for length in range(len(server.answer)):
        server.length = length
        failed = run_stream(server)[2]
        assert failed is not None and failed.kind is AttemptOutcome.CUT and not failed.leaving
    server.length = None
    failed = run_stream(server)[2]
    assert failed is not None and failed.kind is AttemptOutcome.REFUSED


def load(address: Address) -> object:
    return EngineClient().load(address)


def cancel(address: Address) -> object:
    return EngineClient().cancel(address, "s")


def append(address: Address) -> object:
    try:
        return LogClient(address).append("s", b"entry")
    except LogUnavailable:
        return None


def read(address: Address) -> object:
    try:
        return LogClient(address).read("s", 3, 2)
    except LogUnavailable:
        return None


def machines(address: Address) -> object:
    return MachineListClient(address).read()


def register(address: Address) -> object:
    return MachineListClient(address).register(MACHINE)


LOAD = {
    "incarnation": "i",
    "slots": 8,
    "running_online": 1,
    "running_batch": 2,
    "waiting_online": 3,
    "waiting_batch": 4,
}
ROW = {"name": "m", "kind": "engine", "address": "127.0.0.1:7", "zone": "z"}
CALLS: dict[str, tuple[Callable[[Address], object], bytes, object]] = {
    "load": (load, json.dumps(LOAD).encode(), EngineLoad("i", 8, 1, 2, 3, 4)),
    "cancel": (cancel, b'{"cancelled": true}', True),
    "append": (append, b'{"offset": 12}', 12),
    "read": (read, cbor2.dumps([3, [b"a", b"b"], 9]), (3, (b"a", b"b"), 9)),
    "machines": (machines, json.dumps([ROW]).encode(), (MACHINE,)),
    "register": (register, b"{}", True),
}
"""Calls, the body of the answer, and what they return."""


@CLOSES
@pytest.mark.parametrize("name", CALLS)
def test_answer_that_is_cut_at_any_byte_states_nothing(name: str, ending: Ending) -> None:
    call, body, result = CALLS[name]
    server = CutServer(answer_bytes(body), ending)
    for length in range(len(server.answer)):
        server.length = length
        assert call(server.address) in (None, False), f"cut after {length} bytes"
    server.length = None
    assert call(server.address) == result


@pytest.mark.parametrize("name", sorted(CALLS.keys() - {"register"}))
def test_answer_without_a_length_that_is_cut_states_nothing(name: str) -> None:
    """The body of a registration is not used: its status is the confirmation."""
    call, body, result = CALLS[name]
    server = CutServer(STATUS + b"Connection: close\r\n\r\n" + body)
    for length in range(len(server.answer)):
        server.length = length
        assert call(server.address) in (None, False), f"cut after {length} bytes"
    server.length = len(server.answer)
    assert call(server.address) == result


@pytest.mark.parametrize("name", CALLS)
def test_answer_that_stops_ends_by_its_deadline(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_client, "TRANSFER_SECONDS", -0.8)
    monkeypatch.setattr("troutswitch.standalone.log_service.client.LOG_TIMEOUT_SECONDS", 1.0)
    monkeypatch.setattr(
        "troutswitch.standalone.machine_list.client.MACHINE_LIST_TIMEOUT_SECONDS", 1.0
    )
    call, body, _ = CALLS[name]
    server = CutServer(answer_bytes(body), Ending.SILENCE)
    server.length = 20
    assert call(server.address) in (None, False)


@pytest.mark.parametrize("length", [0, 20, len(STREAM_HEAD), len(STREAM) - 5])
def test_stream_that_stops_ends_by_its_deadline(length: int) -> None:
    server = CutServer(STREAM, Ending.SILENCE)
    server.length = length
    _, is_complete, failed = run_stream(server, 0.2)
    assert failed is not None and failed.kind is AttemptOutcome.CUT and not is_complete
