"""Large items that wait for space in a cache beside smaller ones that keep coming."""

import pytest

from tests.decisions.forwarding.harness import engine
from tests.decisions.slots.harness import SlotsDaemon, address_of, record
from tests.simulation.fleet import SimulatedFleet
from troutswitch.daemons.messages import HoldingsReport, engine_key
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.jobs import space_reservation
from troutswitch.decisions.jobs.space_reservation import (
    MAX_RESERVED_SECONDS,
    PAUSE_SECONDS,
    RESERVE_AFTER_SECONDS,
    LargeItem,
    SpaceReservation,
)

KEY = ("job", "item")
ENGINES = tuple(Engine(engine(name)) for name in ("a", "b"))
SETTLED = 10.0


def tokens_at(candidate: Engine) -> float:
    return {"a": 500.0, "b": 200.0}[candidate.record.engine_id]


def reserved() -> SpaceReservation:
    """Returns a reservation of engine "b", made at `RESERVE_AFTER_SECONDS`."""
    reservation = SpaceReservation()
    for now in (0.0, 1.0, RESERVE_AFTER_SECONDS):
        assert not reservation.engine_id
        reservation.update(now, (LargeItem(KEY, ENGINES),), tokens_at)
    return reservation


def test_an_item_that_waits_reserves_the_engine_with_the_fewest_tokens() -> None:
    reservation = reserved()
    assert (reservation.engine_id, reservation.item) == ("b", KEY)
    assert reservation.allows(KEY, "b")
    assert not reservation.allows(("job", "other"), "b")
    assert reservation.allows(("job", "other"), "a")


def test_a_reservation_ends_when_its_item_starts() -> None:
    reservation = reserved()
    reservation.on_started(KEY)
    assert reservation.allows(("job", "other"), "b")


def test_a_reservation_outlasts_the_pause_after_a_rejection_only() -> None:
    reservation = reserved()
    reservation.update(RESERVE_AFTER_SECONDS + PAUSE_SECONDS, (), tokens_at)
    assert reservation.engine_id == "b"
    reservation.update(RESERVE_AFTER_SECONDS + PAUSE_SECONDS + 0.1, (), tokens_at)
    assert not reservation.engine_id


def test_a_reservation_without_success_ends_and_is_made_again_as_much_later() -> None:
    reservation = reserved()
    now = RESERVE_AFTER_SECONDS
    spans: list[bool] = []
    while now < RESERVE_AFTER_SECONDS + 2 * MAX_RESERVED_SECONDS + 1.0:
        now += 0.5
        reservation.update(now, (LargeItem(KEY, ENGINES),), tokens_at)
        spans.append(bool(reservation.engine_id))
    assert sum(spans) * 0.5 == pytest.approx(MAX_RESERVED_SECONDS + 0.5, abs=1.0)
    assert spans[0] and not spans[int(MAX_RESERVED_SECONDS * 2) + 1] and spans[-1]


def test_a_reserved_engine_that_can_no_longer_be_used_is_given_up() -> None:
    reservation = reserved()
    reservation.update(RESERVE_AFTER_SECONDS + 0.1, (LargeItem(KEY, ENGINES[:1]),), tokens_at)
    assert reservation.engine_id == "a"


def test_a_coordinator_assigns_a_reserved_engine_to_no_other_daemon() -> None:
    coordinator = SlotsDaemon("first", [record("s0"), record("s1")])
    coordinator.coordinate(0.0)
    report = HoldingsReport(
        "peer", "z", address_of("peer"), 1, 1, (), 1, 0, 1, reserved=engine_key("s0")
    )
    coordinator.receive(SETTLED, report)
    coordinator.waiting = 20
    coordinator.tick(SETTLED)
    assert set(coordinator.items) == {"s1"}
    coordinator.receive(SETTLED + 0.1, HoldingsReport("peer", "z", report.address, 1, 2))
    coordinator.tick(SETTLED + 0.1)
    assert set(coordinator.items) == {"s0", "s1"}


def large_item_done_after(daemons: int, has_memory_limit: bool) -> bool:
    """Returns whether a large item is done beside small ones that more than fill the engines."""
    fleet_class = type("Fleet", (SimulatedFleet,), {"has_memory_limit": has_memory_limit})
    fleet = fleet_class(4, daemons=daemons, engines=2, cache_tokens=1000)
    fleet.run(3.0)
    number = 0
    while fleet.now < 40.0:
        number += 1
        fleet.submit_job(f"small-{number}", 6, 110)
        if number == 10:
            large = fleet.submit_job("large", 1, 900)
        fleet.run(0.5)
    assert fleet.violations == []
    return len(large.results) == 1


@pytest.mark.parametrize("has_memory_limit", [False, True])
@pytest.mark.parametrize("daemons", [1, 3])
def test_a_large_item_is_not_passed_for_ever_by_smaller_ones(
    daemons: int, has_memory_limit: bool
) -> None:
    """Guards against an accepted item that waits while others that came later start."""
    assert large_item_done_after(daemons, has_memory_limit)


def test_without_reservations_a_large_item_is_passed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(space_reservation, "RESERVE_AFTER_SECONDS", 1e9)
    assert not large_item_done_after(3, False)
