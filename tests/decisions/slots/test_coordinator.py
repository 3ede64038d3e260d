"""The coordinator grants slots to requests and items by its counts."""

import random

import pytest

from tests.decisions.slots.harness import GROUP, SlotsDaemon, address_of, deliver, record, report
from troutswitch.daemons.messages import (
    BatchSlotGrant,
    EngineShare,
    GroupDigest,
    HoldingsReport,
    SlotReply,
    SlotRequest,
    engine_key,
)
from troutswitch.decisions.slots.batch_slots import ASSIGN_SECONDS, LATE_SLOT_INTERVAL
from troutswitch.decisions.slots.coordinator import GRACE_SECONDS
from troutswitch.decisions.slots.ledger import SlotLedger

NOW = 10.0
SETTLED = NOW + GRACE_SECONDS + 0.1


def pair(engines: int = 2, slots: int = 2) -> tuple[SlotsDaemon, SlotsDaemon]:
    """Returns a coordinator and another daemon."""
    records = [record(f"s{n}", slots=slots) for n in range(engines)]
    coordinator, peer = SlotsDaemon("first", records), SlotsDaemon("second", records)
    coordinator.coordinate(NOW, peer)
    coordinator.messages()
    peer.messages()
    return coordinator, peer


def slot_request(number: int = 1, max_wait_ms: int = -1, **batch_items: int) -> SlotRequest:
    return SlotRequest(report("peer", number, **batch_items), number, GROUP, 0, max_wait_ms)


def batch_grants(daemon: SlotsDaemon) -> list[BatchSlotGrant]:
    return [message for message in daemon.messages() if isinstance(message, BatchSlotGrant)]


def replies(daemon: SlotsDaemon) -> list[SlotReply]:
    return [message for message in daemon.messages() if isinstance(message, SlotReply)]


def test_each_grant_is_counted_before_the_next_one() -> None:
    coordinator, _ = pair()
    for number in range(1, 5):
        coordinator.receive(NOW, slot_request(number))
    keys = [reply.engine_key for reply in replies(coordinator)]
    assert sorted(keys) == sorted([engine_key("s0"), engine_key("s1")] * 2)


def test_a_free_slot_is_granted_before_one_that_a_batch_item_uses() -> None:
    coordinator, _ = pair(engines=2, slots=4)
    coordinator.receive(NOW, report("other", 1, s0=4))
    for number in range(1, 5):
        coordinator.receive(NOW, slot_request(number))
    sent = [message for message in coordinator.messages()]
    assert [m.engine_key for m in sent if isinstance(m, SlotReply)] == [engine_key("s1")] * 4
    assert not [message for message in sent if isinstance(message, BatchSlotGrant)]


def test_an_item_is_stopped_in_the_step_of_the_grant() -> None:
    coordinator, _ = pair(engines=1, slots=2)
    coordinator.receive(NOW, report("other", 1, s0=2))
    coordinator.receive(NOW, slot_request())
    (retracted,) = batch_grants(coordinator)
    assert (retracted.engine_key, retracted.count) == (engine_key("s0"), -1)
    assert coordinator.engine("s0").batch_count() == 1


def test_own_items_are_stopped_too() -> None:
    coordinator, _ = pair(engines=1, slots=2)
    coordinator.waiting = 2
    coordinator.tick(SETTLED)
    assert len(coordinator.items) == 2
    coordinator.receive(SETTLED, slot_request())
    assert len(coordinator.items) == 1


def test_items_are_stopped_for_requests_sent_without_a_grant() -> None:
    coordinator, _ = pair(engines=1, slots=4)
    share = EngineShare(engine_key("s0"), 2, 4, 0)
    coordinator.receive(SETTLED, HoldingsReport("other", "z", address_of("other"), 1, 1, (share,)))
    coordinator.tick(SETTLED + ASSIGN_SECONDS)
    assert [(message.count, message.grant_number) for message in batch_grants(coordinator)] == [
        (-1, 1),
        (-1, 2),
    ]
    coordinator.tick(SETTLED + 3 * ASSIGN_SECONDS)
    assert batch_grants(coordinator) == []


def test_the_reply_states_the_wait_if_a_request_accepts_none() -> None:
    coordinator, _ = pair(engines=1, slots=1)
    coordinator.times.on_completed("service", 0.06, 0.6, was_queued=False)
    coordinator.receive(NOW, slot_request(1, max_wait_ms=0))
    coordinator.receive(NOW, slot_request(2, max_wait_ms=0))
    granted, refused = replies(coordinator)
    assert granted.grant_number > 0
    assert refused.grant_number == 0
    assert refused.engine_key == 0
    assert 300 < refused.wait_ms <= 600


def test_a_daemon_that_is_not_the_coordinator_denies_it_in_the_reply() -> None:
    _, peer = pair()
    peer.receive(NOW, slot_request())
    (reply,) = replies(peer)
    assert not reply.is_coordinator


def test_free_slots_go_to_daemons_with_waiting_items() -> None:
    coordinator, peer = pair(engines=2, slots=4)
    peer.waiting = 3
    coordinator.waiting = 2
    peer.tick(SETTLED)
    deliver(SETTLED, coordinator, peer)
    coordinator.tick(SETTLED + 0.03)
    deliver(SETTLED + 0.03, coordinator, peer)
    assert (len(coordinator.items), len(peer.items)) == (2, 3)
    assert (coordinator.waiting, peer.waiting) == (0, 0)


def test_no_more_slots_are_granted_than_are_free() -> None:
    coordinator, peer = pair(engines=2, slots=4)
    peer.waiting = 30
    peer.tick(SETTLED)
    deliver(SETTLED, coordinator, peer)
    for tick in range(10):
        coordinator.tick(SETTLED + 0.03 * (tick + 1))
        peer.tick(SETTLED + 0.03 * (tick + 1))
        deliver(SETTLED, coordinator, peer)
    assert len(peer.items) == 8


def slots_granted_before_a_report() -> int:
    coordinator, peer = pair(engines=1, slots=2)
    peer.waiting = 9
    peer.tick(SETTLED)
    deliver(SETTLED, coordinator, peer)
    for tick in range(1, 6):
        coordinator.tick(SETTLED + tick * ASSIGN_SECONDS)
    return sum(message.count for message in batch_grants(coordinator))


def test_a_grant_is_counted_before_a_report_includes_it() -> None:
    assert slots_granted_before_a_report() == 2


def test_a_coordinator_that_does_not_count_its_grants_grants_too_many(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(SlotLedger, "_apply", lambda self, now, holder: holder.grants.clear())
    assert slots_granted_before_a_report() > 2


def test_a_new_coordinator_grants_no_batch_slots_during_its_grace_period() -> None:
    coordinator, _ = pair()
    coordinator.waiting = 4
    coordinator.tick(NOW + GRACE_SECONDS / 2)
    assert coordinator.items == []
    coordinator.tick(SETTLED)
    assert len(coordinator.items) == 4


def test_the_slot_of_a_finished_online_request_goes_to_an_item() -> None:
    coordinator, _ = pair(engines=1, slots=4)
    coordinator.waiting = 9
    for token in range(3):
        coordinator.request_slot(SETTLED, token)
    coordinator.tick(SETTLED)
    assert len(coordinator.items) == 1
    for token in range(3):
        coordinator.end_request(SETTLED, token)
    coordinator.tick(SETTLED + ASSIGN_SECONDS)
    assert len(coordinator.items) == 4


def test_a_daemon_with_only_late_items_gets_the_late_slot() -> None:
    coordinator, peer = pair(engines=1, slots=1)
    peer.late = 1
    coordinator.waiting = 10 * LATE_SLOT_INTERVAL
    now = SETTLED
    slots_assigned = 0
    while slots_assigned < 2 * LATE_SLOT_INTERVAL:
        slots_assigned += 1
        now += 1.0
        peer.tick(now)
        deliver(now, coordinator, peer)
        coordinator.tick(now)
        deliver(now, coordinator, peer)
        if peer.items:
            break
        coordinator.end_item(now, "s0")
    assert peer.items
    assert slots_assigned <= LATE_SLOT_INTERVAL


def test_a_daemon_with_only_late_items_gets_no_slot_before_the_late_slot() -> None:
    coordinator, peer = pair(engines=1, slots=1)
    peer.late = 1
    coordinator.waiting = LATE_SLOT_INTERVAL - 2
    now = SETTLED
    for _ in range(LATE_SLOT_INTERVAL - 2):
        now += 1.0
        peer.tick(now)
        deliver(now, coordinator, peer)
        coordinator.tick(now)
        deliver(now, coordinator, peer)
        assert peer.items == []
        coordinator.end_item(now, "s0")


def test_daemons_with_work_receive_digests() -> None:
    coordinator, peer = pair(engines=2, slots=4)
    peer.waiting = 3
    peer.tick(SETTLED)
    deliver(SETTLED, coordinator, peer)
    coordinator.tick(SETTLED + 0.6)
    digest = next(message for message in coordinator.messages() if isinstance(message, GroupDigest))
    assert digest.open_items == 3
    peer.receive(SETTLED + 0.6, digest)
    assert peer.fleet.share(SETTLED + 0.6).free_slots > 7


def test_failing_engines_are_not_chosen_while_others_are_usable() -> None:
    coordinator, _ = pair(engines=2, slots=4)
    coordinator.engine("s0").ejected_until = NOW + 9.0
    rng = random.Random(1)
    for number in range(1, 4):
        coordinator.receive(NOW + rng.random(), slot_request(number))
    assert {reply.engine_key for reply in replies(coordinator)} == {engine_key("s1")}


def test_slots_of_fast_engines_are_granted_first() -> None:
    """Load: fewer items wait than slots are free, at engines that differ in speed."""
    coordinator, _ = pair(engines=3, slots=2)
    for name, percent in (("s0", 120), ("s1", 300), ("s2", 55)):
        coordinator.engines.on_pace(coordinator.engine(name), percent, SETTLED)
    coordinator.waiting = 3
    coordinator.tick(SETTLED)
    assert sorted(coordinator.items) == ["s0", "s2", "s2"]
