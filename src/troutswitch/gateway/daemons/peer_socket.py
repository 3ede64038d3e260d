"""The UDP socket on which daemons exchange messages.

It owns the socket and the receiving thread. Datagrams may be lost, duplicated or reordered: the
decisions tolerate all three. One that cannot be read or is too long is dropped and reported.
"""

import socket
from collections.abc import Callable

from troutswitch.common import Address
from troutswitch.daemons.datagram import DatagramError, decode, encode
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.decisions.slots.messages import PeerMessageReceived, SendToPeers
from troutswitch.gateway.service_thread import ServiceThread
from troutswitch.gateway.unexpected_errors import UnexpectedErrors

MAX_DATAGRAM_BYTES = 8192
"""Longest datagram that is sent and received."""


class PeerSocket:
    """Sends messages to peers without blocking, and receives their messages on a thread.

    Args:
        address: address to bind; port 0 selects a free port.
        post: posts an event to the loop.
        on_dropped: called with the reason and the peer's host when a datagram is dropped, on the
            receiving thread or that of the sender.
        errors: reports unexpected errors.
        on_lost: called with the thread's name if datagrams can't be received any more.

    Raises:
        OSError: the address cannot be bound.
    """

    def __init__(
        self,
        address: Address,
        post: Callable[[GatewayEvent], None],
        on_dropped: Callable[[str, str], None],
        errors: UnexpectedErrors | None = None,
        on_lost: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address.host, address.port))
        self.address = Address(address.host, self._socket.getsockname()[1])
        self._post = post
        self._on_dropped = on_dropped
        self._errors = errors or UnexpectedErrors()
        self._thread = ServiceThread("reports", self._run, self._errors, on_lost)

    def start(self) -> None:
        """Starts receiving."""
        self._thread.start()

    def send(self, instruction: SendToPeers) -> None:
        """Sends a message; drops it if the send buffer is full, as the network may do."""
        datagram = encode(instruction.message)
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self._on_dropped(f"{len(datagram)} bytes to send", "")
            return
        for address in instruction.addresses:
            try:
                self._socket.sendto(datagram, socket.MSG_DONTWAIT, (address.host, address.port))
            except OSError:
                continue

    def _run(self) -> None:
        while True:
            try:
                datagram, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except ConnectionRefusedError:
                continue
            self._receive(datagram, sender[0])

    def _receive(self, datagram: bytes, host: str) -> None:
        """Posts the message of a datagram; whatever the datagram holds, the next one is read."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self._on_dropped("too long", host)
            return
        try:
            message = decode(datagram)
        except DatagramError as error:
            self._on_dropped(str(error), host)
        except Exception as error:
            self._errors.report("decode datagram", error)
            self._on_dropped(f"{type(error).__name__}: {error}", host)
        else:
            self._post(PeerMessageReceived(message))
