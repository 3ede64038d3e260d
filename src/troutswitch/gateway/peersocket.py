"""The UDP socket on which daemons report their loads."""

import socket
import threading
from collections.abc import Callable

from troutswitch.common import Address
from troutswitch.daemons.loadreport import DatagramError, decode_report, encode_report
from troutswitch.decisions.peers.loads import ReportReceived, SendReport

DATAGRAM_BYTES_MOST = 8192


class ReportSocket:
    """Sends reports without blocking, and receives them on a thread."""

    def __init__(self, address: Address, post: Callable[[object], None]) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address.host, address.port))
        self.address = Address(address.host, self._socket.getsockname()[1])
        self._post = post
        self._thread = threading.Thread(target=self._run, name="reports", daemon=True)

    def start(self) -> None:
        """Starts receiving."""
        self._thread.start()

    def send(self, instruction: SendReport) -> None:
        """Sends a report; a full buffer drops it, as the network may."""
        datagram = encode_report(instruction.report)
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
                report = decode_report(datagram)
            except DatagramError:
                continue
            self._post(ReportReceived(report))
