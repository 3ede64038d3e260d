"""The stand-in engine of the users' protocol: its answers, and the requests in its journal."""

import http.client
import json
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from troutswitch.common import Address
from troutswitch.platform import names
from troutswitch.standins.content import LARGE_ANSWER_PREFIX, event_bytes, plain_answer
from troutswitch.standins.model_engine import HEALTH_PATH, Behaviour, ModelEngine
from troutswitch.standins.pace import Pace

TIMEOUT_SECONDS = 30.0


@pytest.fixture
def engine(tmp_path: Path) -> Iterator[ModelEngine]:
    model_engine = ModelEngine(Address("127.0.0.1", 0), "server-1", tmp_path / "journal", 1)
    yield model_engine
    model_engine.server.shutdown()


def headers(request_id: str, engine_id: str = "server-1") -> dict[str, str]:
    return {names.REQUEST_ID: request_id, names.EXPECT_INSTANCE: engine_id, names.MODEL: "m"}


def call(
    engine: ModelEngine, path: str, body: bytes, sent: dict[str, str]
) -> tuple[int, dict[str, str], bytes]:
    connection = http.client.HTTPConnection(*engine.address, timeout=TIMEOUT_SECONDS)
    connection.request("POST", path, body, sent)
    response = connection.getresponse()
    try:
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def journal(tmp_path: Path) -> list[tuple[str, str]]:
    rows = [json.loads(line) for line in (tmp_path / "journal").read_text().splitlines()]
    return [(row["kind"], row["id"]) for row in rows]


def test_plain_answer_belongs_to_its_request(engine: ModelEngine, tmp_path: Path) -> None:
    status, sent, body = call(engine, "/read/1", b"body", headers("one"))
    assert (status, body) == (200, plain_answer("one", b"body"))
    assert sent[names.RESPONSE_STAMP] == "server-1.one"
    assert journal(tmp_path)[0] == ("begun", "one")


def test_stream_resumes_after_last_event_id(engine: ModelEngine) -> None:
    sent = {**headers("one"), names.LAST_EVENT_ID: "2"}
    assert call(engine, "/stream/1", b"", sent)[2] == b"".join(event_bytes("one", 2))


def test_requests_for_another_engine_and_rejected_requests_do_not_run(
    engine: ModelEngine, tmp_path: Path
) -> None:
    assert call(engine, "/read/1", b"", headers("one", "server-2"))[0] == 421
    engine.behaviour = Behaviour(reject=1.0)
    status, sent, _ = call(engine, "/read/1", b"", headers("two"))
    assert status == 503 and names.NOT_EXECUTED in sent
    assert journal(tmp_path) == [("rejected", "two")]


def test_request_with_incomplete_body_does_not_run(engine: ModelEngine, tmp_path: Path) -> None:
    """The caller closes the connection in the middle of the body.

    A soak (seed 501) reported UNASKED: an item ran with a body that nobody had sent. A daemon was
    told to stop an item 17 ms after sending it and closed the connection within the body. The
    stand-in treated the partial body as complete and recorded a run, so that the journal had two
    runs of the item, the first with another digest. The fault was in the stand-in, not the daemon.
    """
    with socket.create_connection(engine.address, TIMEOUT_SECONDS) as caller:
        lines = [f"{name}: {value}" for name, value in headers("one").items()]
        head = "\r\n".join(["POST /item/1 HTTP/1.1", "Content-Length: 100", *lines, "", ""])
        caller.sendall(head.encode() + b"half")
        caller.shutdown(socket.SHUT_WR)
        assert caller.recv(1) == b""
    assert journal(tmp_path) == []


@pytest.fixture
def paced_engine(tmp_path: Path) -> Iterator[ModelEngine]:
    paced = ModelEngine(
        Address("127.0.0.1", 0), "server-1", tmp_path / "journal", 1, Pace(60, 1), slots=3
    )
    yield paced
    paced.server.shutdown()


def test_an_engine_without_pace_reports_no_load(engine: ModelEngine) -> None:
    """Guards fleets without paces, in which engines must not look paced."""
    assert names.SERVER_LOAD not in call(engine, "/read/1", b"", headers("one"))[1]


@pytest.mark.parametrize("path", ["/read/1", "/stream/1"])
def test_answers_of_a_paced_engine_report_its_load(paced_engine: ModelEngine, path: str) -> None:
    sent = call(paced_engine, path, b"", headers("one"))[1]
    running, waiting, slots, pace = sent[names.SERVER_LOAD].split(",")
    assert (running, waiting, slots) == ("1", "0", "3")
    assert int(pace) in (60, 150)


def test_health_path_reports_load_and_id_and_runs_nothing(
    paced_engine: ModelEngine, tmp_path: Path
) -> None:
    paced_engine.behaviour = Behaviour(silent=1.0, reject=1.0)
    connection = http.client.HTTPConnection(*paced_engine.address, timeout=TIMEOUT_SECONDS)
    connection.request("GET", HEALTH_PATH)
    response = connection.getresponse()
    assert response.status == 200
    assert response.getheader(names.INSTANCE_ID) == "server-1"
    assert response.getheader(names.SERVER_LOAD, "").startswith("0,0,3,")
    connection.close()
    assert journal(tmp_path) == []


def test_work_takes_as_long_as_the_pace_says(
    paced_engine: ModelEngine, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an engine that reports a pace which its run times contradict."""
    slept: list[float] = []
    monkeypatch.setattr("troutswitch.standins.model_engine.time.sleep", slept.append)
    monkeypatch.setattr(paced_engine.pace, "percent", lambda seconds: 150)
    paced_engine.work(2.0)
    assert slept == [3.0]


def test_a_marked_request_has_a_large_answer(engine: ModelEngine) -> None:
    body = call(engine, "/read/1", LARGE_ANSWER_PREFIX, headers("one"))[2]
    assert body == plain_answer("one", LARGE_ANSWER_PREFIX)
    assert len(body) == 1024 * 1024
