"""Daemons exchange their state over real connections."""

import pytest

from tests.cut_server import CutServer, Ending
from tests.endless_bytes import (
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    count_received_bytes,
    endless_server,
)
from troutswitch.common import Address
from troutswitch.daemons.peer_state import (
    VERSION,
    PeerState,
    PeerStateError,
    StoredRecord,
    decode_state,
    encode_state,
)
from troutswitch.decisions.peers.catch_up import RequestPeerState
from troutswitch.gateway.callers.listener import HttpListener
from troutswitch.gateway.daemons import peer_state
from troutswitch.gateway.daemons.peer_state import answer_peer, request_peer_state
from troutswitch.runtime.http import Environ, StartResponse

MEBIBYTE = 1 << 20
received = pytest.fixture(count_received_bytes)
CONFIGURATION = StoredRecord("config", b"{}")
ENGINES = (StoredRecord("i-1", b"\x00\xff"), StoredRecord("i-2", b""))


def test_requested_state_is_received_unchanged() -> None:
    requested_versions: list[int] = []

    def share(now: float, version: int) -> PeerState:
        requested_versions.append(version)
        return PeerState(CONFIGURATION, ENGINES, 1.5)

    def application(environ: Environ, start_response: StartResponse) -> object:
        return answer_peer(share, environ, start_response)

    listener = HttpListener(application, Address("127.0.0.1", 0), 1, "peers", 10)  # type: ignore[arg-type]
    listener.start()
    try:
        received = request_peer_state(listener.address.port, RequestPeerState("127.0.0.1", 7, 5.0))
    finally:
        listener.stop()
    assert received.state == PeerState(CONFIGURATION, ENGINES, 1.5)
    assert requested_versions == [7]


def test_unreachable_peer_yields_no_state() -> None:
    listener = HttpListener(lambda *_: [], Address("127.0.0.1", 0), 1, "gone", 10)
    port = listener.address.port
    listener.stop()
    received = request_peer_state(port, RequestPeerState("127.0.0.1", -1, 0.5))
    assert received.state is None


@pytest.mark.parametrize("data", [b"", b"\x01", b"\x84\x09\xf6\x80\xf6"])
def test_malformed_state_raises_an_error(data: bytes) -> None:
    with pytest.raises(PeerStateError):
        decode_state(data)


STATE = PeerState(CONFIGURATION, ENGINES, 1.5)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/cbor\r\n"


def request_state(server: CutServer, timeout: float = 5.0) -> PeerState | None:
    request = RequestPeerState(server.address.host, 7, timeout)
    return request_peer_state(server.address.port, request).state


@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
def test_answer_that_is_cut_at_any_byte_yields_no_state(ending: Ending) -> None:
    data = encode_state(STATE, VERSION)
    server = CutServer(HEAD + b"Content-Length: %d\r\n\r\n" % len(data) + data, ending)
    for length in range(len(server.answer)):
        server.length = length
        assert request_state(server) is None, f"cut after {server.length} bytes"
    server.length = None
    assert request_state(server) == STATE


def test_body_that_is_shorter_than_its_length_yields_no_state() -> None:
    """Guards against a whole state that is the beginning of another body."""
    data = encode_state(STATE, VERSION)
    server = CutServer(HEAD + b"Content-Length: %d\r\n\r\n" % (len(data) + 1) + data)
    server.length = len(server.answer)
    assert request_state(server) is None


def test_body_whose_end_is_not_marked_yields_no_state() -> None:
    server = CutServer(HEAD + b"\r\n" + encode_state(STATE, VERSION))
    server.length = len(server.answer)
    assert request_state(server) is None


@pytest.mark.parametrize("length", [0, 20, len(HEAD), len(HEAD) + 25])
def test_answer_that_stops_ends_by_its_deadline(length: int) -> None:
    server = CutServer(HEAD + b"Content-Length: 20\r\n\r\n" + b"x" * 20, Ending.SILENCE)
    server.length = length
    assert request_state(server, 0.3) is None


@pytest.mark.parametrize("kind", ENDLESS_HEADS | ENDLESS_BODIES)
def test_endless_answer_yields_no_state_after_a_bounded_number_of_bytes(
    kind: str, received: list[int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a peer that fills the memory."""
    monkeypatch.setattr(peer_state, "MAX_STATE_BYTES", MEBIBYTE)
    server = endless_server((ENDLESS_HEADS | ENDLESS_BODIES)[kind])
    request = RequestPeerState(server.address.host, 7, 1.0)
    assert request_peer_state(server.address.port, request).state is None
    assert sum(received) <= MEBIBYTE + (1 << 17)


@pytest.mark.parametrize("sent_before", [b"H", HEAD + b"Content-Length: 99999\r\n\r\n"])
def test_single_bytes_yield_no_state_by_the_deadline(sent_before: bytes) -> None:
    """Guards against a deadline that starts again with each byte."""
    server = endless_server((sent_before, b"a"), pause=0.01)
    request = RequestPeerState(server.address.host, 7, 0.3)
    assert request_peer_state(server.address.port, request).state is None
