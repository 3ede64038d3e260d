"""Daemons tell each other their state over real connections."""

import pytest

from troutswitch.common import Address
from troutswitch.daemons.peer_state import PeerState, PeerStateError, StoredRecord, decode_state
from troutswitch.decisions.peers.catch_up import RequestPeerState
from troutswitch.gateway.callers.listener import HttpListener
from troutswitch.gateway.daemons.peer_state import answer_peer, request_peer_state
from troutswitch.runtime.http import Environ, StartResponse

CONFIGURATION = StoredRecord("config", b"{}")
ENGINES = (StoredRecord("i-1", b"\x00\xff"), StoredRecord("i-2", b""))


def test_a_peer_s_state_comes_back_whole() -> None:
    asked: list[int] = []

    def share(now: float, version: int) -> PeerState:
        asked.append(version)
        return PeerState(CONFIGURATION, ENGINES, 1.5)

    def application(environ: Environ, start_response: StartResponse) -> object:
        return answer_peer(share, environ, start_response)

    engine = HttpListener(application, Address("127.0.0.1", 0), 1, "peers", 10)  # type: ignore[arg-type]
    engine.start()
    try:
        told = request_peer_state(engine.address.port, RequestPeerState("127.0.0.1", 7, 5.0))
    finally:
        engine.stop()
    assert told.state == PeerState(CONFIGURATION, ENGINES, 1.5)
    assert asked == [7]


def test_a_peer_that_is_not_there_counts_as_knowing_nothing() -> None:
    engine = HttpListener(lambda *_: [], Address("127.0.0.1", 0), 1, "gone", 10)
    port = engine.address.port
    engine.stop()
    told = request_peer_state(port, RequestPeerState("127.0.0.1", -1, 0.5))
    assert told.state is None


@pytest.mark.parametrize("data", [b"", b"\x01", b"\x84\x09\xf6\x80\xf6"])
def test_other_bytes_are_no_state(data: bytes) -> None:
    with pytest.raises(PeerStateError):
        decode_state(data)
