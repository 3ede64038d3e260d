"""Groups are tried for a slot one after the other, and a silent coordinator delays no request."""

import pytest

from tests.decisions.slots.harness import GROUP, SlotsDaemon, deliver, record
from troutswitch.daemons.messages import NO_ENGINE, SlotReply, SlotRequest
from troutswitch.decisions.forwarding.placer import AssignedBy, Assignment, NoEngine, NoSlotInTime
from troutswitch.decisions.forwarding.wait_estimate import WaitEstimate
from troutswitch.decisions.slots.coordinator_health import SUSPECT_SECONDS
from troutswitch.decisions.slots.slot_requests import REPLY_TIMEOUT_SECONDS

NOW = 5.0


def pair(engines: int = 2, slots: int = 2) -> tuple[SlotsDaemon, SlotsDaemon]:
    records = [record(f"s{n}", slots=slots) for n in range(engines)]
    coordinator, peer = SlotsDaemon("first", records), SlotsDaemon("second", records)
    coordinator.coordinate(NOW, peer)
    return coordinator, peer


def assigned_by(daemon: SlotsDaemon) -> list[AssignedBy]:
    return [
        placement.assigned_by
        for _, placement in daemon.placements
        if isinstance(placement, Assignment)
    ]


def test_the_coordinator_assigns_its_own_requests_immediately() -> None:
    coordinator, _ = pair()
    coordinator.request_slot(NOW, 1)
    assert assigned_by(coordinator) == [AssignedBy.COORDINATOR]


def test_other_daemons_send_a_request_and_get_a_reply() -> None:
    coordinator, peer = pair()
    peer.request_slot(NOW, 1)
    assert peer.placements == []
    deliver(NOW, coordinator, peer)
    assert assigned_by(peer) == [AssignedBy.COORDINATOR]
    assert coordinator.engine(peer.online[1]).online_count() == 1


def test_no_request_waits_longer_than_the_timeout_for_a_silent_coordinator() -> None:
    _, peer = pair()
    peer.request_slot(NOW, 1)
    assert peer.fleet.requests.next_due() == pytest.approx(NOW + REPLY_TIMEOUT_SECONDS)
    peer.tick(NOW + REPLY_TIMEOUT_SECONDS)
    assert assigned_by(peer) == [AssignedBy.FALLBACK]


def test_a_coordinator_that_stays_silent_is_sent_no_requests_for_a_while() -> None:
    _, peer = pair()
    now = NOW
    for token in (1, 2):
        peer.request_slot(now, token)
        now += REPLY_TIMEOUT_SECONDS
        peer.tick(now)
    peer.messages()
    peer.request_slot(now, 3)
    assert assigned_by(peer) == [AssignedBy.FALLBACK] * 3
    assert not any(isinstance(message, SlotRequest) for message in peer.messages())
    peer.request_slot(now + SUSPECT_SECONDS, 4)
    assert any(isinstance(message, SlotRequest) for message in peer.messages())


def test_a_late_reply_assigns_nothing() -> None:
    coordinator, peer = pair()
    peer.request_slot(NOW, 1)
    peer.tick(NOW + REPLY_TIMEOUT_SECONDS)
    deliver(NOW + 0.1, coordinator, peer)
    assert len(peer.placements) == 1


def test_a_withdrawn_search_has_no_result() -> None:
    coordinator, peer = pair()
    peer.request_slot(NOW, 1)
    peer.fleet.requests.withdraw(NOW, 1)
    deliver(NOW, coordinator, peer)
    peer.tick(NOW + 1.0)
    assert peer.placements == []


def test_a_request_is_deferred_or_joins_the_queue_if_all_engines_are_full() -> None:
    coordinator, peer = pair(engines=1, slots=1)
    coordinator.times.on_completed("service", 0.06, 0.6, was_queued=False)
    coordinator.request_slot(NOW, 1)
    peer.request_slot(NOW, 2, max_wait=0.1)
    deliver(NOW, coordinator, peer)
    assert isinstance(peer.placements[0][1], NoSlotInTime)
    assert peer.placements[0][1].estimate.wait > 0.3
    peer.request_slot(NOW, 3)
    deliver(NOW, coordinator, peer)
    placement = peer.placements[1][1]
    assert isinstance(placement, Assignment)
    assert placement.is_queued


def test_a_request_without_a_usable_engine_is_not_assigned() -> None:
    _, peer = pair(engines=1)
    peer.request_slot(NOW, 1)
    peer.engines.mark_draining("s0")
    peer.tick(NOW + REPLY_TIMEOUT_SECONDS)
    assert isinstance(peer.placements[0][1], NoEngine)


def test_a_granted_engine_that_is_draining_is_not_used() -> None:
    coordinator, peer = pair(engines=2)
    peer.request_slot(NOW, 1)
    peer.engines.mark_draining("s0")
    peer.engines.mark_draining("s1")
    deliver(NOW, coordinator, peer)
    assert isinstance(peer.placements[0][1], NoEngine)


def zones() -> tuple[SlotsDaemon, SlotsDaemon, SlotsDaemon]:
    """Returns coordinators of two zones, and a daemon of the first zone."""
    records = [record(f"a{n}", zone="a", slots=1) for n in range(9)]
    records += [record(f"b{n}", zone="b", slots=1) for n in range(9)]
    here, there = SlotsDaemon("here", records, "a"), SlotsDaemon("there", records, "b")
    requester = SlotsDaemon("asker", records, "a")
    here.coordinate(NOW, there, requester, group="service|a|0", offset=1)
    there.coordinate(NOW, here, requester, group="service|b|0", offset=2)
    return here, there, requester


def test_the_own_zone_is_used_first_and_another_one_if_it_is_full() -> None:
    here, there, requester = zones()
    for daemon in (here, there):
        daemon.times.on_completed("service", 0.06, 0.6, was_queued=False)
    for token in range(18):
        requester.request_slot(NOW, token)
        deliver(NOW, here, there, requester)
    engines = [requester.online[token] for token in range(18)]
    assert {name[0] for name in engines[:9]} == {"a"}
    assert {name[0] for name in engines[9:]} == {"b"}
    assert len(set(engines)) == 18
    requester.request_slot(NOW, 99)
    deliver(NOW, here, there, requester)
    assert requester.online[99]


def test_a_former_coordinator_is_not_sent_another_request() -> None:
    coordinator, peer = pair()
    coordinator.fleet.drain()
    coordinator.tick(NOW)
    peer.request_slot(NOW, 1)
    deliver(NOW, coordinator, peer)
    assert assigned_by(peer) == [AssignedBy.FALLBACK]
    assert peer.fleet.claims.coordinator(NOW, GROUP) is None


def test_a_request_is_deferred_if_the_queue_that_it_joins_has_grown_too_long() -> None:
    """Guards against a request that is sent to a full engine as its wait became too long."""
    _, _, requester = zones()
    requester.request_slot(NOW, 1, max_wait=0.1)
    waits = iter((50, 60, 400))
    for _ in range(3):
        (asked,) = (m for m in requester.messages() if isinstance(m, SlotRequest))
        wait_ms = next(waits)
        requester.receive(
            NOW, SlotReply("peer", 1, asked.number, asked.group, 0, NO_ENGINE, wait_ms, 9, 9)
        )
    assert [type(placement) for _, placement in requester.placements] == [NoSlotInTime]
    assert requester.placements[0][1] == NoSlotInTime(WaitEstimate(0.4, 9, 9, 0.0))
