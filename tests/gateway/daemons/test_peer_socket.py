"""Datagrams between daemons: received as events, or dropped and reported."""

import queue
import socket
import time
from collections.abc import Iterator
from unittest.mock import MagicMock

import pytest

from troutswitch.common import Address
from troutswitch.daemons.datagram import encode
from troutswitch.daemons.messages import CrashReport, ReportedCrash
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.decisions.slots.messages import PeerMessageReceived, SendToPeers
from troutswitch.gateway.daemons import peer_socket
from troutswitch.gateway.daemons.peer_socket import MAX_DATAGRAM_BYTES, PeerSocket

TIMEOUT_SECONDS = 10.0
REPORT = CrashReport("daemon", (ReportedCrash("content", "engine", 1, True),))


class Receiver:
    """A socket of a daemon, its events, and the datagrams that it dropped."""

    def __init__(self) -> None:
        self.events: queue.SimpleQueue[GatewayEvent] = queue.SimpleQueue()
        self.dropped: queue.SimpleQueue[tuple[str, str]] = queue.SimpleQueue()
        self.peers = PeerSocket(
            Address("127.0.0.1", 0),
            self.events.put,
            lambda reason, host: self.dropped.put((reason, host)),
        )
        self.peers.start()

    def send_bytes(self, data: bytes) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(data, (self.peers.address.host, self.peers.address.port))


@pytest.fixture
def receiver() -> Iterator[Receiver]:
    yield Receiver()


def test_message_is_posted(receiver: Receiver) -> None:
    receiver.peers.send(SendToPeers((receiver.peers.address,), REPORT))
    assert receiver.events.get(timeout=TIMEOUT_SECONDS) == PeerMessageReceived(REPORT)


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xff not CBOR", "malformed"),
        (encode(REPORT)[:-3], "malformed"),
        (bytes(MAX_DATAGRAM_BYTES + 1), "too long"),
    ],
)
def test_unreadable_datagram_is_reported_and_the_next_one_received(
    receiver: Receiver, data: bytes, reason: str
) -> None:
    """Guards against datagrams that are dropped without a trace."""
    receiver.send_bytes(data)
    found, host = receiver.dropped.get(timeout=TIMEOUT_SECONDS)
    assert reason in found
    assert host == "127.0.0.1"
    receiver.send_bytes(encode(REPORT))
    assert receiver.events.get(timeout=TIMEOUT_SECONDS) == PeerMessageReceived(REPORT)


def test_message_that_no_peer_could_receive_is_reported_by_its_sender(receiver: Receiver) -> None:
    crashes = REPORT.crashes * MAX_DATAGRAM_BYTES
    receiver.peers.send(SendToPeers((receiver.peers.address,), CrashReport("daemon", crashes)))
    reason, _ = receiver.dropped.get(timeout=TIMEOUT_SECONDS)
    assert "bytes to send" in reason


def test_datagram_whose_handling_fails_is_dropped_and_the_next_one_received(
    receiver: Receiver, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a daemon that hears no peer any more after one datagram."""
    failing = MagicMock(side_effect=RecursionError("too deep"))
    with monkeypatch.context() as patched:
        patched.setattr(peer_socket, "decode", failing)
        receiver.send_bytes(encode(REPORT))
        reason, host = receiver.dropped.get(timeout=TIMEOUT_SECONDS)
    assert (reason, host) == ("RecursionError: too deep", "127.0.0.1")
    receiver.send_bytes(encode(REPORT))
    assert receiver.events.get(timeout=TIMEOUT_SECONDS) == PeerMessageReceived(REPORT)


def test_receiving_goes_on_after_an_error_of_the_socket(receiver: Receiver) -> None:
    """Guards against a daemon that hears no peer any more after one error of the kernel."""
    receiver.send_bytes(encode(REPORT))
    assert receiver.events.get(timeout=TIMEOUT_SECONDS) == PeerMessageReceived(REPORT)
    real = receiver.peers._socket
    failing = MagicMock(side_effect=OSError(12, "Cannot allocate memory"))
    receiver.peers._socket = MagicMock(recvfrom=failing)
    receiver.send_bytes(encode(REPORT))  # ends the read that waits
    receiver.events.get(timeout=TIMEOUT_SECONDS)
    while not failing.called:
        time.sleep(0.01)
    receiver.peers._socket = real
    receiver.send_bytes(encode(REPORT))
    assert receiver.events.get(timeout=TIMEOUT_SECONDS) == PeerMessageReceived(REPORT)
