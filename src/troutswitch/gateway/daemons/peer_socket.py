"""The UDP socket on which daemons exchange messages.

It owns the socket and the thread that receives. Datagrams may be lost, repeated or reordered: the
decisions rely on none of them.
"""

import socket
import threading
from collections.abc import Callable

from troutswitch.common import Address
from troutswitch.daemons.datagram import DatagramError, decode, encode
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.decisions.slots.messages import PeerMessageReceived, SendToPeers

MAX_DATAGRAM_BYTES = 8192
"""Longest datagram that is received whole."""


class PeerSocket:
    """Sends messages to peers without blocking, and receives theirs on a thread.

    Args:
        address: where this daemon takes messages; port 0 takes a free one.
        post: hands an event to the loop.

    Raises:
        OSError: the address cannot be bound.
    """

    def __init__(self, address: Address, post: Callable[[GatewayEvent], None]) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address.host, address.port))
        self.address = Address(address.host, self._socket.getsockname()[1])
        self._post = post
        self._thread = threading.Thread(target=self._run, name="reports", daemon=True)

    def start(self) -> None:
        """Starts receiving."""
        self._thread.start()

    def send(self, instruction: SendToPeers) -> None:
        """Sends a message; a full buffer drops it, as the network may."""
        datagram = encode(instruction.message)
        for address in instruction.addresses:
            try:
                self._socket.sendto(datagram, socket.MSG_DONTWAIT, (address.host, address.port))
            except OSError:
                continue

    def _run(self) -> None:
        while True:
            try:
                datagram = self._socket.recv(MAX_DATAGRAM_BYTES)
            except ConnectionRefusedError:
                continue
            except OSError:
                return
            try:
                message = decode(datagram)
            except DatagramError:
                continue
            self._post(PeerMessageReceived(message))
