"""Engines and services whose answers do not end: each call ends after a bounded number of bytes."""

import pytest

from tests.endless_bytes import (
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    HEAD,
    STATUS,
    Pieces,
    count_received_bytes,
    endless_server,
)
from troutswitch.outcomes import AttemptOutcome
from troutswitch.standalone.engines import client
from troutswitch.standalone.engines.client import EngineStream, StreamFailed
from troutswitch.standalone.engines.protocol import CompletionRequest
from troutswitch.standalone.runtime import http_client
from troutswitch.standalone.runtime.http_client import HttpError, ThreadLocalConnections

MEBIBYTE = 1 << 20
MAX_READ_BYTES = MEBIBYTE + (1 << 17)
"""The largest body that the tests allow, and the reads of a head."""
TIME_LIMIT_SECONDS = 1.0
STREAMS: dict[str, Pieces] = {
    "lines of a stream": (STATUS + b"\r\n", b": x\n"),
    "blank lines of a stream": (STATUS + b"\r\n", b"\n"),
    "line of a stream": (STATUS + b"\r\ndata: ", b"x" * 1000),
    "refusal": (b"HTTP/1.1 503 Full\r\n\r\n", b"x" * 1000),
}
KINDS = ENDLESS_HEADS | ENDLESS_BODIES | STREAMS
TRICKLES: list[Pieces] = [(b"H", b"a"), (HEAD + b"\r\n", b"\n"), (HEAD + b"\r\n", b"a")]
received = pytest.fixture(count_received_bytes)


@pytest.fixture(autouse=True)
def limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes the limits small, so that each test reaches one soon."""
    monkeypatch.setattr(client, "MAX_STREAM_BYTES", MEBIBYTE)
    monkeypatch.setattr(http_client, "MAX_RESPONSE_BYTES", MEBIBYTE)
    monkeypatch.setattr(http_client, "TRANSFER_SECONDS", 0.5)


def run_stream(pieces: Pieces, pause: float = 0.0) -> StreamFailed:
    stream = EngineStream(endless_server(pieces, pause).address, TIME_LIMIT_SECONDS)
    with pytest.raises(StreamFailed) as failed:
        stream.open(CompletionRequest("a", "p", 1, 0))
        for _ in stream.pieces():
            continue
    return failed.value


@pytest.mark.parametrize("kind", KINDS)
def test_endless_stream_fails_after_a_bounded_number_of_bytes(
    kind: str, received: list[int]
) -> None:
    """Guards against an attempt that holds its thread, or fills the memory, after its deadline."""
    assert run_stream(KINDS[kind]).kind is AttemptOutcome.CUT
    assert sum(received) <= MAX_READ_BYTES


@pytest.mark.parametrize("pieces", TRICKLES)
def test_stream_of_single_bytes_fails_by_its_deadline(pieces: Pieces) -> None:
    """Guards against a deadline that starts again with each byte."""
    assert run_stream(pieces, pause=0.01).kind is AttemptOutcome.CUT


@pytest.mark.parametrize("kind", KINDS)
def test_endless_answer_to_a_call_fails_after_a_bounded_number_of_bytes(
    kind: str, received: list[int]
) -> None:
    with pytest.raises(HttpError) as failed:
        ThreadLocalConnections(0.5).call(endless_server(KINDS[kind]).address, "GET", "/")
    assert failed.value.was_sent
    assert sum(received) <= MAX_READ_BYTES


@pytest.mark.parametrize("pieces", TRICKLES)
def test_call_that_is_answered_by_single_bytes_fails(pieces: Pieces) -> None:
    with pytest.raises(HttpError):
        ThreadLocalConnections(0.5).call(endless_server(pieces, 0.01).address, "GET", "/")
