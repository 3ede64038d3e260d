"""What an engine in trouble sends: no fault leaves an answer that proves to be the engine's."""

import http.client
import io
import json
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from troutswitch.common import Address
from troutswitch.platform import names
from troutswitch.standins.content import event_bytes
from troutswitch.standins.model_engine import Behaviour, ModelEngine
from troutswitch.standins.unproved_answers import (
    FAILURES,
    LAST_CHUNK,
    REFUSALS,
    AnswerFault,
    EngineAnswer,
    faulty_answer,
    genuine_parts,
)

TIMEOUT_SECONDS = 30.0
STREAM = EngineAnswer("one", "server-1.one", tuple(event_bytes("one")), is_stream=True)
PLAIN = EngineAnswer("one", "server-1.one", (b"first half", b"second half"), is_stream=False)
ANSWERS = pytest.mark.parametrize("answer", [STREAM, PLAIN], ids=["stream", "plain"])
WHOLE = {
    AnswerFault.REPEATED,
    AnswerFault.REPEATED_LATE,
    AnswerFault.FAILURE_REPEATED_LATE,
    AnswerFault.FAILURE_THEN_SUCCESS,
    AnswerFault.REFUSAL_REPEATED_LATE,
    AnswerFault.AFTER_ANOTHER,
    AnswerFault.AFTER_100,
    AnswerFault.AFTER_103,
}


class _Bytes:
    """Adapter that passes bytes to `HTTPResponse`, which expects a socket."""

    def __init__(self, data: bytes) -> None:
        self.data = data

    def makefile(self, mode: str) -> io.BytesIO:
        return io.BytesIO(self.data)


def is_proved(data: bytes, answer: EngineAnswer) -> bool:
    """Returns whether bytes are one whole, signed answer with the given body, and nothing else."""
    head, _, body = data.partition(b"\r\n\r\n")
    response = http.client.HTTPResponse(_Bytes(data))  # type: ignore[arg-type]
    try:
        response.begin()
        received = response.read()
    except (http.client.HTTPException, ValueError):
        return False
    lengths = response.msg.get_all("Content-Length") or []
    codings = response.msg.get_all("Transfer-Encoding") or []
    end = len(body) - len(LAST_CHUNK)
    is_framed = lengths == [str(len(body))] if lengths else body.find(LAST_CHUNK) == end
    return (
        head.startswith(b"HTTP/1.1 200 ")
        and len(lengths) + len(codings) == 1
        and is_framed
        and response.getheader(names.REQUEST_ID) == answer.request_id
        and response.getheader(names.RESPONSE_STAMP) == answer.stamp
        and response.getheader("Content-Encoding") is None
        and received == answer.body
    )


@ANSWERS
def test_answer_of_a_sound_engine_is_proved(answer: EngineAnswer) -> None:
    assert is_proved(b"".join(genuine_parts(answer)), answer)


@ANSWERS
@pytest.mark.parametrize("fault", list(AnswerFault))
def test_no_faulty_answer_is_proved_alone(fault: AnswerFault, answer: EngineAnswer) -> None:
    wire = faulty_answer(fault, answer)
    is_sound = b"".join(wire.parts) == b"".join(genuine_parts(answer))
    assert is_proved(b"".join(wire.parts), answer) == is_sound
    assert is_sound == (fault is AnswerFault.REPEATED_LATE)


@ANSWERS
@pytest.mark.parametrize("fault", list(AnswerFault))
def test_answer_counts_as_whole_only_if_its_bytes_are_sent(
    fault: AnswerFault, answer: EngineAnswer
) -> None:
    wire = faulty_answer(fault, answer)
    assert wire.is_whole == (fault in WHOLE)
    has_genuine = b"".join(genuine_parts(answer)) in b"".join(wire.parts)
    assert has_genuine == (wire.is_whole and wire.status == 200)
    assert wire.status == (503 if fault in REFUSALS else 500 if fault in FAILURES else 200)


@pytest.fixture
def engine(tmp_path: Path) -> Iterator[ModelEngine]:
    model_engine = ModelEngine(Address("127.0.0.1", 0), "server-1", tmp_path / "journal", 1)
    yield model_engine
    model_engine.server.shutdown()


def request_bytes(path: str, request_id: str) -> bytes:
    lines = [f"POST {path} HTTP/1.1", f"{names.REQUEST_ID}: {request_id}"]
    lines += [f"{names.EXPECT_INSTANCE}: server-1", "Content-Length: 0"]
    return "\r\n".join([*lines, "", ""]).encode()


def rows_of(tmp_path: Path, kind: str) -> list[dict[str, object]]:
    rows = [json.loads(line) for line in (tmp_path / "journal").read_text().splitlines()]
    return [row for row in rows if row["kind"] == kind]


def receive(connection: socket.socket, count: int) -> bytes:
    """Returns at least `count` bytes, or fewer if the connection ends."""
    data = b""
    try:
        while len(data) < count and (more := connection.recv(65536)):
            data += more
    except ConnectionResetError:
        pass
    return data


@pytest.mark.parametrize("path", ["/read/1", "/stream/1"])
@pytest.mark.parametrize("fault", [AnswerFault.CUT_IN_CHUNK, AnswerFault.UNFRAMED])
def test_cut_answer_ends_its_connection(
    engine: ModelEngine, tmp_path: Path, path: str, fault: AnswerFault
) -> None:
    engine.behaviour = Behaviour(unproved=1.0, answer_fault=fault)
    with socket.create_connection(engine.address, TIMEOUT_SECONDS) as caller:
        caller.sendall(request_bytes(path, "one"))
        data = receive(caller, 1 << 30)
    assert data.startswith(b"HTTP/1.1 200 ") and b"server-1.one" in data
    assert [row["is_whole"] for row in rows_of(tmp_path, "answered")] == [False]


def test_late_answer_comes_on_the_connection_in_use_by_the_next_request(
    engine: ModelEngine, tmp_path: Path
) -> None:
    """The late answer comes before or after that of the next request, and never inside it."""
    engine.behaviour = Behaviour(unproved=1.0, answer_fault=AnswerFault.FAILURE_THEN_SUCCESS)
    with socket.create_connection(engine.address, TIMEOUT_SECONDS) as caller:
        caller.sendall(request_bytes("/stream/1", "one"))
        first = receive(caller, 1)
        engine.behaviour = Behaviour()
        caller.sendall(request_bytes("/stream/1", "two"))
        ends = 0
        rest = b""
        while ends < 2:
            rest += receive(caller, 1)
            ends = rest.count(LAST_CHUNK)
    assert first.startswith(b"HTTP/1.1 500 ")
    late, next_one = event_bytes("one"), event_bytes("two")
    ids = [rest.index(f"{names.REQUEST_ID}: {name}\r\n".encode()) for name in ("one", "two")]
    for events, begin in zip((late, next_one), ids, strict=True):
        end = rest.index(LAST_CHUNK, begin)
        assert all(begin < rest.index(event) < end for event in events)
    answered = rows_of(tmp_path, "answered")
    assert [(row["id"], row["status"]) for row in answered] == [("one", 500), ("two", 200)]


def test_refusal_of_an_engine_in_trouble_does_not_run(engine: ModelEngine, tmp_path: Path) -> None:
    engine.behaviour = Behaviour(unproved=1.0, answer_fault=AnswerFault.REFUSAL_WITH_200)
    with socket.create_connection(engine.address, TIMEOUT_SECONDS) as caller:
        caller.sendall(request_bytes("/read/1", "one"))
        assert names.NOT_EXECUTED.encode() in receive(caller, 1)
    assert rows_of(tmp_path, "begun") == []
    assert len(rows_of(tmp_path, "rejected")) == 1


def test_share_of_unproved_answers_uses_every_fault(engine: ModelEngine) -> None:
    engine.behaviour = Behaviour(unproved=1.0)
    drawn = {engine.draw_answer_fault() for _ in range(1000)}
    assert drawn == set(AnswerFault)
    engine.behaviour = Behaviour()
    assert engine.draw_answer_fault() is None
