"""Grants are used once, and only those of the known coordinator."""

from tests.decisions.slots.harness import GROUP, SlotsDaemon, incarnation_of, record
from troutswitch.daemons.messages import BatchSlotGrant, engine_key

NOW = 5.0


def pair() -> tuple[SlotsDaemon, SlotsDaemon]:
    records = [record(f"s{n}") for n in range(2)]
    coordinator, peer = SlotsDaemon("first", records), SlotsDaemon("second", records)
    coordinator.coordinate(NOW, peer)
    coordinator.messages()
    peer.messages()
    return coordinator, peer


def test_a_grant_from_a_daemon_that_is_not_the_coordinator_is_not_used() -> None:
    _, peer = pair()
    peer.waiting = 3
    peer.receive(NOW, BatchSlotGrant("stranger", 1, GROUP, 1, engine_key("s0"), 3))
    assert peer.items == []
    assert "grant of another coordinator" in peer.log_events


def test_a_grant_that_is_received_twice_is_used_once() -> None:
    _, peer = pair()
    peer.waiting = 9
    grant = BatchSlotGrant("first", incarnation_of("first"), GROUP, 1, engine_key("s0"), 2)
    peer.receive(NOW, grant)
    peer.receive(NOW, grant)
    assert len(peer.items) == 2
