"""Asks a peer for its state, and answers peers that ask, over HTTP at an internal port."""

import http.client
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs

from troutswitch.clock import steady_seconds
from troutswitch.daemons.peer_state import (
    PeerState,
    PeerStateError,
    decode_state,
    encode_state,
)
from troutswitch.decisions.peers.catch_up import PeerStateReceived, RequestPeerState
from troutswitch.runtime.http import Environ, Response, StartResponse, send

PEER_STATE_PATH = "/peer-state"
CONTENT_TYPE = "application/cbor"
STATE_BYTES_MOST = 8 * 1024 * 1024

ShareState = Callable[[float, int], PeerState]


def request_peer_state(port: int, instruction: RequestPeerState) -> PeerStateReceived:
    """Asks one peer; one that does not answer in time counts as knowing nothing."""
    connection = http.client.HTTPConnection(instruction.host, port, timeout=instruction.timeout)
    try:
        connection.request("GET", f"{PEER_STATE_PATH}?version={instruction.version}")
        response = connection.getresponse()
        data = response.read(STATE_BYTES_MOST)
        state = decode_state(data) if response.status == 200 else None
    except (OSError, http.client.HTTPException, PeerStateError):
        state = None
    finally:
        connection.close()
    return PeerStateReceived(instruction.host, state)


def answer_peer(
    share_state: ShareState, environ: Environ, start_response: StartResponse
) -> Iterable[bytes]:
    """Answers a peer that asks."""
    told = parse_qs(str(environ.get("QUERY_STRING", ""))).get("version", [""])[0]
    version = int(told) if told.isdigit() else -1
    state = share_state(steady_seconds(), version)
    return send(Response(200, encode_state(state), CONTENT_TYPE), start_response)
