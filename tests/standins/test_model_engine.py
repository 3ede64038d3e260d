"""The stand-in engine of the users' protocol: its answers, and the requests in its journal."""

import http.client
import json
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from troutswitch.common import Address
from troutswitch.platform import names
from troutswitch.standins.content import event_bytes, plain_answer
from troutswitch.standins.model_engine import Behaviour, ModelEngine

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
