"""Daemons exchange their state over real connections."""

import pytest

from troutswitch.common import Address
from troutswitch.daemons.peer_state import PeerState, PeerStateError, StoredRecord, decode_state
from troutswitch.decisions.peers.catch_up import RequestPeerState
from troutswitch.gateway.callers.listener import HttpListener
from troutswitch.gateway.daemons.peer_state import answer_peer, request_peer_state
from troutswitch.runtime.http import Environ, StartResponse

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
