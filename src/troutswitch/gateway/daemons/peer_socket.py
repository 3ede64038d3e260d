"""The UDP socket on which daemons ask for slots and tell each other what they hold."""

import socket
import threading
from collections.abc import Callable

from troutswitch.common import Address
from troutswitch.daemons.datagram import DatagramError, decode, encode
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.decisions.slots.messages import PeerMessageReceived, SendToPeers

DATAGRAM_BYTES_MOST = 8192


class PeerSocket:
    """Sends messages to peers without blocking, and receives theirs on a thread."""

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
                datagram = self._socket.recv(DATAGRAM_BYTES_MOST)
            except ConnectionRefusedError:
                continue
            except OSError:
                return
            try:
                message = decode(datagram)
            except DatagramError:
                continue
            self._post(PeerMessageReceived(message))
