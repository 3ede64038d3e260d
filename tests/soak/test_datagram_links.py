"""Faults of the datagrams between the daemons of a soak."""

import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from troutswitch.common import Address
from troutswitch.soak.datagram_links import DatagramFaults, DatagramLinks
from troutswitch.standins.ports import HOST

TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.01


@dataclass
class Pair:
    """Two daemons' sockets, by name, and the addresses that they advertise."""

    links: DatagramLinks
    sockets: dict[str, socket.socket]
    advertised: dict[str, Address]

    def send(self, sender: str, receiver: str, datagram: bytes) -> None:
        address = self.advertised[receiver]
        self.sockets[sender].sendto(datagram, (address.host, address.port))

    def await_lost(self, count: int) -> None:
        until = time.monotonic() + TIMEOUT_SECONDS
        while self.links.lost < count:
            assert time.monotonic() < until
            time.sleep(POLL_SECONDS)

    def receive(self, name: str) -> bytes:
        return self.sockets[name].recvfrom(100)[0]


@pytest.fixture
def pair() -> Iterator[Pair]:
    links = DatagramLinks(1)
    sockets, advertised = {}, {}
    for name in ("one", "two"):
        bound = sockets[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.bind((HOST, 0))
        bound.settimeout(TIMEOUT_SECONDS)
        advertised[name] = links.add(name, Address(HOST, bound.getsockname()[1]))
    yield Pair(links, sockets, advertised)
    links.close()
    for bound in sockets.values():
        bound.close()


def test_datagrams_reach_the_daemon_behind_an_advertised_address(pair: Pair) -> None:
    pair.send("one", "two", b"first")
    assert pair.receive("two") == b"first"


def test_link_that_is_cut_one_way_delivers_in_the_other_direction(pair: Pair) -> None:
    pair.links.cut_one_way(["one"], ["two"])
    pair.send("one", "two", b"lost")
    pair.send("two", "one", b"heard")
    assert pair.receive("one") == b"heard"
    pair.await_lost(1)
    pair.links.heal()
    pair.send("one", "two", b"after")
    assert pair.receive("two") == b"after"


def test_separated_daemon_neither_hears_nor_is_heard(pair: Pair) -> None:
    pair.links.separate(["one"])
    pair.send("one", "two", b"lost")
    pair.send("two", "one", b"lost")
    pair.await_lost(2)
    pair.links.heal()
    for sender, receiver in (("one", "two"), ("two", "one")):
        pair.send(sender, receiver, b"after")
        assert pair.receive(receiver) == b"after"


def test_datagrams_are_doubled_and_reordered(pair: Pair) -> None:
    pair.links.faults = DatagramFaults(duplicate_rate=1.0, max_delay=0.2)
    sent = [bytes([number]) for number in range(20)]
    for datagram in sent:
        pair.send("one", "two", datagram)
    received = [pair.receive("two") for _ in range(40)]
    assert sorted(received) == sorted(sent * 2)
    assert received != sorted(received)


def test_all_datagrams_of_a_link_may_be_lost(pair: Pair) -> None:
    pair.links.faults = DatagramFaults(loss_rate=1.0)
    pair.send("one", "two", b"lost")
    pair.send("two", "two", b"lost")
    pair.await_lost(2)
    pair.links.heal()
    pair.send("one", "two", b"after")
    assert pair.receive("two") == b"after"
