"""Daemons know of each other without telling everybody everything."""

import random

from troutswitch.common import Address
from troutswitch.daemons.messages import Hello
from troutswitch.decisions.forwarding.experience import Experience
from troutswitch.decisions.peers.heartbeats import (
    HELLO_SECONDS,
    HELLOS_AT_ONCE,
    LIVE_SECONDS,
    PeerContacts,
)
from troutswitch.decisions.peers.peer_registry import DirectoryEntry

OWN = Address("10.0.0.1", 7)


def contacts() -> PeerContacts:
    return PeerContacts("me", "here", OWN, 1, lambda: 4, lambda: (), random.Random(1))


def entry(name: str, port: int, zone: str = "here") -> DirectoryEntry:
    return DirectoryEntry(name, Address("10.0.0.2", port), zone, Experience())


def hello(name: str, port: int, zone: str = "here", version: int = 4) -> Hello:
    return Hello(name, zone, Address("10.0.0.2", port), 1, version)


def test_daemons_are_met_through_the_directory_once_and_never_oneself() -> None:
    held = contacts()
    for name in ("other", "other", "me"):
        held.meet(0.0, entry(name, 1))
    assert set(held.contacts) == {"other"}


def test_what_is_sent_does_not_grow_with_the_fleet() -> None:
    for size in (1, 3, 700):
        held = contacts()
        for number in range(size):
            held.meet(0.0, entry(f"d{number}", number))
        told = [held.on_timer(tick * HELLO_SECONDS / 4) for tick in range(1, 41)]
        sent = [len(made.addresses) for instructions in told for made in instructions]
        assert len(sent) == 10
        assert set(sent) == {min(size, HELLOS_AT_ONCE)}


def test_everybody_is_greeted_in_turn() -> None:
    held = contacts()
    for number in range(20):
        held.meet(0.0, entry(f"d{number}", number))
    greeted: set[int] = set()
    for tick in range(200):
        for made in held.on_timer(tick * HELLO_SECONDS):
            greeted.update(address.port for address in made.addresses)
    assert greeted == set(range(20))


def test_one_that_was_heard_lately_is_asked_before_others_and_the_own_zone_first() -> None:
    held = contacts()
    for number in range(20):
        held.meet(0.0, entry(f"d{number}", number))
    assert len(held.live_addresses(0.0)) == 3
    held.on_hello(1.0, hello("far", 90, zone="there"))
    assert [address.port for address in held.live_addresses(1.0)] == [90]
    held.on_hello(1.0, hello("near", 91))
    assert [address.port for address in held.live_addresses(1.0)] == [91]
    assert len(held.live_addresses(1.1 + LIVE_SECONDS)) == 3


def test_the_newest_version_that_a_daemon_acts_on_is_known() -> None:
    held = contacts()
    assert held.newest_version() == -1
    held.on_hello(0.0, hello("a", 1, version=7))
    held.on_hello(0.0, hello("b", 2, version=5))
    assert held.newest_version() == 7


def test_a_daemon_that_moved_is_greeted_at_its_new_address() -> None:
    held = contacts()
    held.meet(0.0, entry("a", 1))
    held.on_hello(0.0, hello("a", 2))
    (made,) = held.on_timer(1.0)
    assert [address.port for address in made.addresses] == [2]
