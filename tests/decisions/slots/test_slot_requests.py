"""A request's slot is sought in one group after another, and never waits on a silent daemon."""

import pytest

from tests.decisions.slots.worlds import GROUP, SlotsOf, deliver, record
from troutswitch.daemons.messages import SlotRequest
from troutswitch.decisions.forwarding.placer import AssignedBy, Assignment, NoEngine, NoSlotInTime
from troutswitch.decisions.slots.coordinator_health import SUSPECT_SECONDS
from troutswitch.decisions.slots.slot_requests import REPLY_TIMEOUT_SECONDS

NOW = 5.0


def fleet(engines: int = 2, slots: int = 2) -> tuple[SlotsOf, SlotsOf]:
    records = [record(f"s{n}", slots=slots) for n in range(engines)]
    first, second = SlotsOf("first", records), SlotsOf("second", records)
    first.coordinate(NOW, second)
    return first, second


def found_by(daemon: SlotsOf) -> list[AssignedBy]:
    return [placing.assigned_by for _, placing in daemon.ended if isinstance(placing, Assignment)]


def test_the_coordinator_assigns_its_own_requests_at_once() -> None:
    first, _ = fleet()
    first.want(NOW, 1)
    assert found_by(first) == [AssignedBy.COORDINATOR]


def test_other_daemons_send_a_request_and_get_a_reply() -> None:
    first, second = fleet()
    second.want(NOW, 1)
    assert second.ended == []
    deliver(NOW, first, second)
    assert found_by(second) == [AssignedBy.COORDINATOR]
    assert first.engine(second.online[1]).online() == 1


def test_no_request_waits_longer_than_stated_on_a_silent_coordinator() -> None:
    _, second = fleet()
    second.want(NOW, 1)
    assert second.fleet.requests.next_due() == pytest.approx(NOW + REPLY_TIMEOUT_SECONDS)
    second.tick(NOW + REPLY_TIMEOUT_SECONDS)
    assert found_by(second) == [AssignedBy.FALLBACK]


def test_a_coordinator_that_stays_silent_is_sent_no_requests_for_a_while() -> None:
    _, second = fleet()
    now = NOW
    for token in (1, 2):
        second.want(now, token)
        now += REPLY_TIMEOUT_SECONDS
        second.tick(now)
    second.messages()
    second.want(now, 3)
    assert found_by(second) == [AssignedBy.FALLBACK] * 3
    assert not any(isinstance(made, SlotRequest) for made in second.messages())
    second.want(now + SUSPECT_SECONDS, 4)
    assert any(isinstance(made, SlotRequest) for made in second.messages())


def test_a_reply_that_comes_too_late_assigns_nothing() -> None:
    first, second = fleet()
    second.want(NOW, 1)
    second.tick(NOW + REPLY_TIMEOUT_SECONDS)
    deliver(NOW + 0.1, first, second)
    assert len(second.ended) == 1


def test_a_withdrawn_search_ends_nothing() -> None:
    first, second = fleet()
    second.want(NOW, 1)
    second.fleet.requests.withdraw(NOW, 1)
    deliver(NOW, first, second)
    second.tick(NOW + 1.0)
    assert second.ended == []


def test_when_all_are_full_a_request_is_deferred_or_joins_the_queue() -> None:
    first, second = fleet(engines=1, slots=1)
    first.times.on_completed("service", 0.06, 0.6, was_queued=False)
    first.want(NOW, 1)
    second.want(NOW, 2, longest_wait=0.1)
    deliver(NOW, first, second)
    assert isinstance(second.ended[0][1], NoSlotInTime)
    assert second.ended[0][1].estimate.wait > 0.3
    second.want(NOW, 3)
    deliver(NOW, first, second)
    placed = second.ended[1][1]
    assert isinstance(placed, Assignment)
    assert placed.is_queued


def test_without_an_engine_there_is_no_assignment() -> None:
    _, second = fleet(engines=1)
    second.want(NOW, 1)
    second.engines.mark_draining("s0")
    second.tick(NOW + REPLY_TIMEOUT_SECONDS)
    assert isinstance(second.ended[0][1], NoEngine)


def test_an_engine_that_left_is_not_used_though_it_is_granted() -> None:
    first, second = fleet(engines=2)
    second.want(NOW, 1)
    second.engines.mark_draining("s0")
    second.engines.mark_draining("s1")
    deliver(NOW, first, second)
    assert isinstance(second.ended[0][1], NoEngine)


def zones() -> tuple[SlotsOf, SlotsOf, SlotsOf]:
    """Returns coordinators of two zones, and a daemon of the first zone."""
    records = [record(f"a{n}", zone="a", slots=1) for n in range(9)]
    records += [record(f"b{n}", zone="b", slots=1) for n in range(9)]
    here, there = SlotsOf("here", records, "a"), SlotsOf("there", records, "b")
    asker = SlotsOf("asker", records, "a")
    here.coordinate(NOW, there, asker, group="service|a|0", offset=1)
    there.coordinate(NOW, here, asker, group="service|b|0", offset=2)
    return here, there, asker


def test_the_own_zone_comes_first_and_another_one_when_it_is_full() -> None:
    here, there, asker = zones()
    for daemon in (here, there):
        daemon.times.on_completed("service", 0.06, 0.6, was_queued=False)
    for token in range(18):
        asker.want(NOW, token)
        deliver(NOW, here, there, asker)
    engines = [asker.online[token] for token in range(18)]
    assert {name[0] for name in engines[:9]} == {"a"}
    assert {name[0] for name in engines[9:]} == {"b"}
    assert len(set(engines)) == 18
    asker.want(NOW, 99)
    deliver(NOW, here, there, asker)
    assert asker.online[99]


def test_a_former_coordinator_is_not_sent_another_request() -> None:
    first, second = fleet()
    first.fleet.drain()
    first.tick(NOW)
    second.want(NOW, 1)
    deliver(NOW, first, second)
    assert found_by(second) == [AssignedBy.FALLBACK]
    assert second.fleet.claims.coordinator(NOW, GROUP) is None
