"""Grants are used once, and only those of the coordinator known here."""

from tests.decisions.slots.worlds import GROUP, SlotsOf, incarnation_of, record
from troutswitch.daemons.messages import BatchSlotGrant, engine_key

NOW = 5.0


def pair() -> tuple[SlotsOf, SlotsOf]:
    records = [record(f"s{n}") for n in range(2)]
    first, second = SlotsOf("first", records), SlotsOf("second", records)
    first.coordinate(NOW, second)
    first.messages()
    second.messages()
    return first, second


def test_grants_of_a_daemon_that_does_not_coordinate_are_not_used() -> None:
    _, second = pair()
    second.waiting = 3
    second.take(NOW, BatchSlotGrant("stranger", 1, GROUP, 1, engine_key("s0"), 3))
    assert second.items == []
    assert "grant of another coordinator" in second.lines


def test_a_grant_that_is_received_twice_is_used_once() -> None:
    _, second = pair()
    second.waiting = 9
    grant = BatchSlotGrant("first", incarnation_of("first"), GROUP, 1, engine_key("s0"), 2)
    second.take(NOW, grant)
    second.take(NOW, grant)
    assert len(second.items) == 2
