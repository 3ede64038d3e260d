"""Grants are used once, and only those of the known coordinator."""

from tests.decisions.slots.worlds import GROUP, SlotsDaemon, incarnation_of, record
from troutswitch.daemons.messages import BatchSlotGrant, engine_key

NOW = 5.0


def pair() -> tuple[SlotsDaemon, SlotsDaemon]:
    records = [record(f"s{n}") for n in range(2)]
    first, second = SlotsDaemon("first", records), SlotsDaemon("second", records)
    first.coordinate(NOW, second)
    first.messages()
    second.messages()
    return first, second


def test_a_grant_from_a_daemon_that_is_not_the_coordinator_is_not_used() -> None:
    _, second = pair()
    second.waiting = 3
    second.receive(NOW, BatchSlotGrant("stranger", 1, GROUP, 1, engine_key("s0"), 3))
    assert second.items == []
    assert "grant of another coordinator" in second.log_events


def test_a_grant_that_is_received_twice_is_used_once() -> None:
    _, second = pair()
    second.waiting = 9
    grant = BatchSlotGrant("first", incarnation_of("first"), GROUP, 1, engine_key("s0"), 2)
    second.receive(NOW, grant)
    second.receive(NOW, grant)
    assert len(second.items) == 2
