"""Daemons know of each other without sending everything to everybody."""

import random

from troutswitch.common import Address
from troutswitch.daemons.messages import Heartbeat
from troutswitch.decisions.forwarding.experience import Experience
from troutswitch.decisions.peers.heartbeats import (
    HEARTBEAT_FANOUT,
    HEARTBEAT_INTERVAL_SECONDS,
    LIVENESS_SECONDS,
    RETENTION_SECONDS,
    Peers,
)
from troutswitch.decisions.peers.peer_registry import PeerRegistryEntry

OWN = Address("10.0.0.1", 7)


def peers() -> Peers:
    return Peers("me", "here", OWN, 1, lambda: 4, lambda: (), random.Random(1))


def entry(name: str, port: int, zone: str = "here") -> PeerRegistryEntry:
    return PeerRegistryEntry(name, Address("10.0.0.2", port), zone, Experience())


def heartbeat(name: str, port: int, zone: str = "here", version: int = 4) -> Heartbeat:
    return Heartbeat(name, zone, Address("10.0.0.2", port), 1, version)


def test_a_registered_daemon_is_known_once_and_never_oneself() -> None:
    held = peers()
    for name in ("other", "other", "me"):
        held.on_registered(entry(name, 1))
    assert set(held.peers) == {"other"}


def test_what_is_sent_does_not_grow_with_the_fleet() -> None:
    for size in (1, 3, 700):
        held = peers()
        for number in range(size):
            held.on_registered(entry(f"d{number}", number))
        made = [held.on_timer(tick * HEARTBEAT_INTERVAL_SECONDS / 4) for tick in range(1, 41)]
        sent = [len(each.addresses) for instructions in made for each in instructions]
        assert len(sent) == 10
        assert set(sent) == {min(size, HEARTBEAT_FANOUT)}


def test_everybody_gets_heartbeats_in_turn() -> None:
    held = peers()
    for number in range(20):
        held.on_registered(entry(f"d{number}", number))
    reached: set[int] = set()
    for tick in range(200):
        for made in held.on_timer(tick * HEARTBEAT_INTERVAL_SECONDS):
            reached.update(address.port for address in made.addresses)
    assert reached == set(range(20))


def test_a_live_peer_comes_before_silent_ones_and_the_own_zone_first() -> None:
    held = peers()
    for number in range(20):
        held.on_registered(entry(f"d{number}", number))
    assert len(held.live_addresses(0.0)) == 3
    held.on_heartbeat(1.0, heartbeat("far", 90, zone="there"))
    assert [address.port for address in held.live_addresses(1.0)] == [90]
    held.on_heartbeat(1.0, heartbeat("near", 91))
    assert [address.port for address in held.live_addresses(1.0)] == [91]
    assert len(held.live_addresses(1.1 + LIVENESS_SECONDS)) == 3


def test_the_newest_version_that_a_daemon_acts_on_is_known() -> None:
    held = peers()
    assert held.newest_version() == -1
    held.on_heartbeat(0.0, heartbeat("a", 1, version=7))
    held.on_heartbeat(0.0, heartbeat("b", 2, version=5))
    assert held.newest_version() == 7


def test_a_version_of_a_daemon_that_is_gone_is_forgotten_with_it() -> None:
    """Guards against a daemon that takes itself for outdated for as long as it runs."""
    held = peers()
    held.on_heartbeat(0.0, heartbeat("a", 1, version=7))
    held.on_heartbeat(RETENTION_SECONDS, heartbeat("b", 2, version=5))
    held.on_timer(RETENTION_SECONDS + 1.0)
    assert held.newest_version() == 5


def test_a_daemon_that_moved_gets_heartbeats_at_its_new_address() -> None:
    held = peers()
    held.on_registered(entry("a", 1))
    held.on_heartbeat(0.0, heartbeat("a", 2))
    (made,) = held.on_timer(1.0)
    assert [address.port for address in made.addresses] == [2]
