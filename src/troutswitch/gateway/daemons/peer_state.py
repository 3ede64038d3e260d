"""Requests peers' state, and serves this daemon's state to peers, over HTTP at the internal port.

This module is stateless: the core provides the state, and decides which peer is asked and when.
"""

import http.client
from collections.abc import Callable, Iterable
from contextlib import closing
from urllib.parse import parse_qs

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.daemons.peer_state import (
    FIRST_VERSION,
    VERSION,
    PeerState,
    decode_state,
    encode_state,
)
from troutswitch.decisions.peers.catch_up import PeerStateReceived, RequestPeerState
from troutswitch.runtime.bounded_connection import BoundedConnection
from troutswitch.runtime.http import Environ, Response, StartResponse, send
from troutswitch.wire_values import parse_number

PEER_STATE_PATH = "/peer-state"
CONTENT_TYPE = "application/cbor"
MAX_STATE_BYTES = 8 * 1024 * 1024

ShareState = Callable[[float, int], PeerState]


def request_peer_state(port: int, instruction: RequestPeerState) -> PeerStateReceived:
    """Requests the state of one peer.

    Connecting takes at most `instruction.timeout` seconds, and the answer as long again. The
    returned state is None if the peer does not answer in time, or its answer is cut or malformed.
    """
    try:
        state = _read_state(Address(instruction.host, port), instruction)
    except (OSError, http.client.HTTPException, ValueError):
        state = None
    return PeerStateReceived(instruction.host, state)


def _read_state(address: Address, instruction: RequestPeerState) -> PeerState | None:
    timeout = instruction.timeout
    url = f"{PEER_STATE_PATH}?version={instruction.version}&encoding={VERSION}"
    with closing(BoundedConnection(address, timeout, MAX_STATE_BYTES)) as connection:
        connection.connect()
        connection.limit_call(timeout, timeout)
        connection.request("GET", url)
        response = connection.getresponse()
        data = connection.read_body(response, must_have_marked_end=True)  # daemons send a length
        return decode_state(data) if response.status == 200 else None


def answer_peer(
    share_state: ShareState, environ: Environ, start_response: StartResponse
) -> Iterable[bytes]:
    """Answers a peer's request for this daemon's state."""
    query = parse_qs(str(environ.get("QUERY_STRING", "")))
    state = share_state(steady_seconds(), _parse_integer(query, "version", -1))
    data = encode_state(state, _parse_integer(query, "encoding", FIRST_VERSION))
    return send(Response(200, data, CONTENT_TYPE), start_response)


def _parse_integer(query: dict[str, list[str]], name: str, default: int) -> int:
    text = query.get(name, [""])[0]
    number = parse_number(text)
    return default if number is None else number
