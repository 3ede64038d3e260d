"""Has a daemon of a soak state another address for datagrams than the one that it is bound to."""

from collections.abc import Callable

from troutswitch.common import Address
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.gateway.daemons.peer_socket import PeerSocket


def advertise(text: str) -> None:
    """Has each peer socket of this process state an address, given as HOST:PORT."""
    address = Address.parse(text)
    bind = PeerSocket.__init__

    def bind_and_state(
        peers: PeerSocket,
        bound: Address,
        post: Callable[[GatewayEvent], None],
        on_dropped: Callable[[str, str], None],
    ) -> None:
        bind(peers, bound, post, on_dropped)
        peers.address = address

    PeerSocket.__init__ = bind_and_state  # type: ignore[method-assign, assignment]
