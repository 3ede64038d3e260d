"""Has a daemon of a soak state another address for datagrams than the one that it is bound to."""

from typing import Any

from troutswitch.common import Address
from troutswitch.gateway.daemons.peer_socket import PeerSocket


def advertise(text: str) -> None:
    """Has each peer socket of this process state an address, given as HOST:PORT."""
    address = Address.parse(text)
    bind = PeerSocket.__init__

    def bind_and_state(peers: PeerSocket, *args: Any, **named: Any) -> None:
        bind(peers, *args, **named)
        peers.address = address

    PeerSocket.__init__ = bind_and_state  # type: ignore[method-assign, assignment]
