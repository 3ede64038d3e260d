"""Daemons learn of each other from the registry and from heartbeats to a few others."""

import random

from troutswitch.common import Address
from troutswitch.daemons.messages import Heartbeat
from troutswitch.decisions.forwarding.learned_times import LearnedTimes
from troutswitch.decisions.peers.heartbeats import (
    HEARTBEAT_FANOUT,
    HEARTBEAT_INTERVAL_SECONDS,
    LIVENESS_SECONDS,
    RETENTION_SECONDS,
    Peers,
)
from troutswitch.decisions.peers.peer_registry import PeerRegistryEntry

OWN = Address("10.0.0.1", 7)


def make_peers() -> Peers:
    return Peers("me", "here", OWN, 1, lambda: 4, lambda: (), random.Random(1))


def entry(name: str, port: int, zone: str = "here") -> PeerRegistryEntry:
    return PeerRegistryEntry(name, Address("10.0.0.2", port), zone, LearnedTimes())


def heartbeat(name: str, port: int, zone: str = "here", version: int = 4) -> Heartbeat:
    return Heartbeat(name, zone, Address("10.0.0.2", port), 1, version)


def test_registered_daemon_is_added_once_and_the_own_entry_is_ignored() -> None:
    known = make_peers()
    for name in ("other", "other", "me"):
        known.on_registered(entry(name, 1))
    assert set(known.peers) == {"other"}


def test_number_of_heartbeats_sent_is_independent_of_the_fleet_size() -> None:
    for size in (1, 3, 700):
        known = make_peers()
        for number in range(size):
            known.on_registered(entry(f"d{number}", number))
        rounds = [known.on_timer(tick * HEARTBEAT_INTERVAL_SECONDS / 4) for tick in range(1, 41)]
        sent = [len(message.addresses) for messages in rounds for message in messages]
        assert len(sent) == 10
        assert set(sent) == {min(size, HEARTBEAT_FANOUT)}


def test_all_peers_get_heartbeats_over_time() -> None:
    known = make_peers()
    for number in range(20):
        known.on_registered(entry(f"d{number}", number))
    reached: set[int] = set()
    for tick in range(200):
        for message in known.on_timer(tick * HEARTBEAT_INTERVAL_SECONDS):
            reached.update(address.port for address in message.addresses)
    assert reached == set(range(20))


def test_live_peers_of_the_own_zone_come_first_and_silent_peers_last() -> None:
    known = make_peers()
    for number in range(20):
        known.on_registered(entry(f"d{number}", number))
    assert len(known.live_addresses(0.0)) == 3
    known.on_heartbeat(1.0, heartbeat("far", 90, zone="there"))
    assert [address.port for address in known.live_addresses(1.0)] == [90]
    known.on_heartbeat(1.0, heartbeat("near", 91))
    assert [address.port for address in known.live_addresses(1.0)] == [91]
    assert len(known.live_addresses(1.1 + LIVENESS_SECONDS)) == 3


def test_newest_version_is_the_highest_one_in_a_heartbeat() -> None:
    known = make_peers()
    assert known.newest_version() == -1
    known.on_heartbeat(0.0, heartbeat("a", 1, version=7))
    known.on_heartbeat(0.0, heartbeat("b", 2, version=5))
    assert known.newest_version() == 7


def test_version_of_a_forgotten_peer_is_forgotten() -> None:
    """Guards against a daemon that considers itself outdated until it is restarted."""
    known = make_peers()
    known.on_heartbeat(0.0, heartbeat("a", 1, version=7))
    known.on_heartbeat(RETENTION_SECONDS, heartbeat("b", 2, version=5))
    known.on_timer(RETENTION_SECONDS + 1.0)
    assert known.newest_version() == 5


def test_peer_with_a_new_address_gets_heartbeats_there() -> None:
    known = make_peers()
    known.on_registered(entry("a", 1))
    known.on_heartbeat(0.0, heartbeat("a", 2))
    (message,) = known.on_timer(1.0)
    assert [address.port for address in message.addresses] == [2]
