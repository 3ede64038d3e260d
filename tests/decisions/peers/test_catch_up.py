"""When a daemon asks peers for their state, and what it learns while it is cut from the store."""

import random

import pytest

from tests.simulation.fleet import Daemon, SimulatedFleet
from troutswitch.common import Address
from troutswitch.decisions.peers.catch_up import (
    GRACE_SECONDS,
    NEWER_GRACE_SECONDS,
    REPLY_TIMEOUT_SECONDS,
    PeerCatchUp,
    ReadingState,
)

NEVER = float("inf")
HEALTHY = ReadingState(3, 3, NEVER, NEVER)
CUT = "daemon-0"


class OnePeer:
    def live_addresses(self, now: float) -> list[Address]:
        return [Address("10.0.0.9", 7)]

    def live_addresses_in_any_zone(self, now: float) -> list[Address]:
        return [Address("10.0.0.9", 7)]

    def newer_addresses(self, now: float, version: int) -> list[Address]:
        return []


ONE_PEER = OnePeer()


def test_no_peer_is_asked_while_reads_of_the_store_succeed() -> None:
    catch_up = PeerCatchUp(random.Random(1))
    assert all(not catch_up.on_timer(now / 10, HEALTHY, ONE_PEER) for now in range(100))
    assert catch_up.next_due() == NEVER


def test_peer_is_asked_after_reads_have_failed_for_the_grace_period() -> None:
    catch_up = PeerCatchUp(random.Random(1))
    failing = ReadingState(3, 3, 10.0, NEVER)
    assert catch_up.on_timer(10.1, failing, ONE_PEER) == []
    (request,) = catch_up.on_timer(10.0 + GRACE_SECONDS, failing, ONE_PEER)
    assert (request.host, request.version) == ("10.0.0.9", 3)
    assert catch_up.on_timer(10.9, failing, ONE_PEER) == []


def test_peer_is_asked_again_after_the_reply_timeout() -> None:
    catch_up = PeerCatchUp(random.Random(1))
    failing = ReadingState(3, 3, NEVER, 10.0)
    assert catch_up.on_timer(11.0, failing, ONE_PEER)
    assert catch_up.on_timer(11.0 + REPLY_TIMEOUT_SECONDS, failing, ONE_PEER)


def test_peer_is_asked_for_a_newer_version_that_the_store_does_not_return() -> None:
    catch_up = PeerCatchUp(random.Random(1))
    older = ReadingState(3, 4, NEVER, NEVER)
    assert catch_up.on_timer(10.0, older, ONE_PEER) == []
    assert catch_up.on_timer(10.0 + GRACE_SECONDS, older, ONE_PEER)


class PeersWithANewerOne(OnePeer):
    newer = Address("10.0.9.9", 7)

    def newer_addresses(self, now: float, version: int) -> list[Address]:
        return [self.newer]


def test_peer_with_the_newer_version_is_asked_after_the_shorter_grace_period() -> None:
    catch_up = PeerCatchUp(random.Random(1))
    older = ReadingState(3, 4, NEVER, NEVER)
    peers = PeersWithANewerOne()
    assert catch_up.on_timer(10.0, older, peers) == []
    (request,) = catch_up.on_timer(10.0 + NEWER_GRACE_SECONDS, older, peers)
    assert request.host == peers.newer.host


class PeersOfTwoZones(OnePeer):
    def live_addresses_in_any_zone(self, now: float) -> list[Address]:
        return [Address("10.0.9.9", 7)]


def test_peers_of_this_zone_and_of_any_zone_are_asked_alternately() -> None:
    catch_up = PeerCatchUp(random.Random(1))
    failing = ReadingState(3, 3, 10.0, NEVER)
    hosts = []
    for second in range(11, 15):
        hosts += [request.host for request in catch_up.on_timer(second, failing, PeersOfTwoZones())]
        catch_up.on_reply()
    assert hosts == ["10.0.0.9", "10.0.9.9"] * 2


def fleet_with_partitioned_daemon() -> tuple[SimulatedFleet, Daemon]:
    fleet = SimulatedFleet(1)
    fleet.run(3.0)
    fleet.daemons[CUT].is_partitioned_from_store = True
    fleet.run(1.0)
    return fleet, fleet.daemons[CUT]


def test_daemon_cut_from_the_store_learns_a_configuration_from_peers() -> None:
    fleet, cut = fleet_with_partitioned_daemon()
    fleet.publish(2)
    fleet.run(3.0)
    assert cut.core.routes.version == 2


def test_daemon_cut_from_the_store_learns_from_peers_that_an_engine_drains() -> None:
    fleet, cut = fleet_with_partitioned_daemon()
    fleet.register_engine("server-1", 8, is_draining=True)
    fleet.run(3.0)
    assert cut.core.engines.engines["server-1"].is_draining


def test_daemon_that_starts_cut_from_the_store_becomes_ready_through_peers() -> None:
    fleet, _ = fleet_with_partitioned_daemon()
    fleet.kill(CUT, down=0.5)
    fleet.run(4.0)
    restarted = fleet.daemons[CUT]
    assert restarted.incarnation == 1
    assert restarted.core.is_ready


def test_older_state_of_a_peer_does_not_replace_newer_state() -> None:
    fleet, cut = fleet_with_partitioned_daemon()
    cut.is_partitioned_from_store = False
    fleet.publish(5)
    fleet.run(2.0)
    peer = fleet.daemons["daemon-1"]
    peer.core.routes.configuration = None
    cut.is_partitioned_from_store = True
    fleet.run(3.0)
    assert cut.core.routes.version == 5


def test_daemon_cut_from_the_store_learns_nothing_without_asking_peers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(PeerCatchUp, "on_timer", lambda *_: [])
    fleet, cut = fleet_with_partitioned_daemon()
    fleet.publish(2)
    fleet.register_engine("server-1", 8, is_draining=True)
    fleet.run(3.0)
    assert cut.core.routes.version == 1
    assert not cut.core.engines.engines["server-1"].is_draining
    fleet.kill(CUT, down=0.5)
    fleet.run(4.0)
    assert not fleet.daemons[CUT].core.is_ready
