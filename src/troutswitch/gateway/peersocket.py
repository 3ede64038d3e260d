"""The UDP socket on which daemons tell each other loads and ask for slots."""

import socket
import threading
from collections.abc import Callable

from troutswitch.common import Address
from troutswitch.daemons.datagram import PeerMessage, decode, encode
from troutswitch.daemons.loadreport import DatagramError, LoadReport
from troutswitch.daemons.slotask import SlotAsk
from troutswitch.decisions.peers.loads import ReportReceived, SendReport
from troutswitch.decisions.peers.slots import SendSlotAsk, SlotAsked

DATAGRAM_BYTES_MOST = 8192


class PeerSocket:
    """Sends messages to peers without blocking, and receives theirs on a thread."""

    def __init__(self, address: Address, post: Callable[[object], None]) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address.host, address.port))
        self.address = Address(address.host, self._socket.getsockname()[1])
        self._post = post
        self._thread = threading.Thread(target=self._run, name="reports", daemon=True)

    def start(self) -> None:
        """Starts receiving."""
        self._thread.start()

    def send(self, instruction: SendReport | SendSlotAsk) -> None:
        """Sends a message; a full buffer drops it, as the network may."""
        match instruction:
            case SendReport():
                self._send(instruction.report, instruction.addresses)
            case SendSlotAsk():
                self._send(instruction.ask, (instruction.address,))

    def _send(self, message: PeerMessage, addresses: tuple[Address, ...]) -> None:
        datagram = encode(message)
        for address in addresses:
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
            self._post(_event_of(message))


def _event_of(message: PeerMessage) -> ReportReceived | SlotAsked:
    match message:
        case LoadReport():
            return ReportReceived(message)
        case SlotAsk():
            return SlotAsked(message)
