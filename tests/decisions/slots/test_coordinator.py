"""The coordinator grants slots to requests and items by its counts."""

import random

import pytest

from tests.decisions.slots.worlds import GROUP, SlotsDaemon, address_of, deliver, record, report
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
    first, second = SlotsDaemon("first", records), SlotsDaemon("second", records)
    first.coordinate(NOW, second)
    first.messages()
    second.messages()
    return first, second


def slot_request(number: int = 1, max_wait_ms: int = -1, **batch_items: int) -> SlotRequest:
    return SlotRequest(report("peer", number, **batch_items), number, GROUP, 0, max_wait_ms)


def batch_grants(daemon: SlotsDaemon) -> list[BatchSlotGrant]:
    return [message for message in daemon.messages() if isinstance(message, BatchSlotGrant)]


def replies(daemon: SlotsDaemon) -> list[SlotReply]:
    return [message for message in daemon.messages() if isinstance(message, SlotReply)]


def test_each_grant_is_counted_before_the_next_one() -> None:
    first, _ = pair()
    for number in range(1, 5):
        first.receive(NOW, slot_request(number))
    keys = [reply.engine_key for reply in replies(first)]
    assert sorted(keys) == sorted([engine_key("s0"), engine_key("s1")] * 2)


def test_a_free_slot_is_granted_before_one_that_a_batch_item_uses() -> None:
    first, _ = pair(engines=2, slots=4)
    first.receive(NOW, report("other", 1, s0=4))
    for number in range(1, 5):
        first.receive(NOW, slot_request(number))
    sent = [message for message in first.messages()]
    assert [m.engine_key for m in sent if isinstance(m, SlotReply)] == [engine_key("s1")] * 4
    assert not [message for message in sent if isinstance(message, BatchSlotGrant)]


def test_an_item_is_stopped_in_the_step_of_the_grant() -> None:
    first, _ = pair(engines=1, slots=2)
    first.receive(NOW, report("other", 1, s0=2))
    first.receive(NOW, slot_request())
    (retracted,) = batch_grants(first)
    assert (retracted.engine_key, retracted.count) == (engine_key("s0"), -1)
    assert first.engine("s0").batch() == 1


def test_own_items_are_stopped_too() -> None:
    first, _ = pair(engines=1, slots=2)
    first.waiting = 2
    first.tick(SETTLED)
    assert len(first.items) == 2
    first.receive(SETTLED, slot_request())
    assert len(first.items) == 1


def test_items_are_stopped_for_requests_sent_without_a_grant() -> None:
    first, _ = pair(engines=1, slots=4)
    share = EngineShare(engine_key("s0"), 2, 4, 0)
    first.receive(SETTLED, HoldingsReport("other", "z", address_of("other"), 1, 1, (share,)))
    first.tick(SETTLED + ASSIGN_SECONDS)
    assert [(message.count, message.grant_number) for message in batch_grants(first)] == [
        (-1, 1),
        (-1, 2),
    ]
    first.tick(SETTLED + 3 * ASSIGN_SECONDS)
    assert batch_grants(first) == []


def test_the_reply_states_the_wait_if_a_request_accepts_none() -> None:
    first, _ = pair(engines=1, slots=1)
    first.times.on_completed("service", 0.06, 0.6, was_queued=False)
    first.receive(NOW, slot_request(1, max_wait_ms=0))
    first.receive(NOW, slot_request(2, max_wait_ms=0))
    granted, refused = replies(first)
    assert granted.grant_number > 0
    assert refused.grant_number == 0
    assert refused.engine_key == 0
    assert 300 < refused.wait_ms <= 600


def test_a_daemon_that_is_not_the_coordinator_denies_it_in_the_reply() -> None:
    _, second = pair()
    second.receive(NOW, slot_request())
    (reply,) = replies(second)
    assert not reply.is_coordinator


def test_free_slots_go_to_daemons_with_waiting_items() -> None:
    first, second = pair(engines=2, slots=4)
    second.waiting = 3
    first.waiting = 2
    second.tick(SETTLED)
    deliver(SETTLED, first, second)
    first.tick(SETTLED + 0.03)
    deliver(SETTLED + 0.03, first, second)
    assert (len(first.items), len(second.items)) == (2, 3)
    assert (first.waiting, second.waiting) == (0, 0)


def test_no_more_slots_are_granted_than_are_free() -> None:
    first, second = pair(engines=2, slots=4)
    second.waiting = 30
    second.tick(SETTLED)
    deliver(SETTLED, first, second)
    for tick in range(10):
        first.tick(SETTLED + 0.03 * (tick + 1))
        second.tick(SETTLED + 0.03 * (tick + 1))
        deliver(SETTLED, first, second)
    assert len(second.items) == 8


def slots_granted_before_a_report() -> int:
    first, second = pair(engines=1, slots=2)
    second.waiting = 9
    second.tick(SETTLED)
    deliver(SETTLED, first, second)
    for tick in range(1, 6):
        first.tick(SETTLED + tick * ASSIGN_SECONDS)
    return sum(message.count for message in batch_grants(first))


def test_a_grant_is_counted_before_a_report_includes_it() -> None:
    assert slots_granted_before_a_report() == 2


def test_a_coordinator_that_does_not_count_its_grants_grants_too_many(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(SlotLedger, "_apply", lambda self, now, holder: holder.grants.clear())
    assert slots_granted_before_a_report() > 2


def test_a_new_coordinator_grants_no_batch_slots_during_its_grace_period() -> None:
    first, _ = pair()
    first.waiting = 4
    first.tick(NOW + GRACE_SECONDS / 2)
    assert first.items == []
    first.tick(SETTLED)
    assert len(first.items) == 4


def test_the_slot_of_a_finished_online_request_goes_to_an_item() -> None:
    first, _ = pair(engines=1, slots=4)
    first.waiting = 9
    for token in range(3):
        first.request_slot(SETTLED, token)
    first.tick(SETTLED)
    assert len(first.items) == 1
    for token in range(3):
        first.end(SETTLED, token)
    first.tick(SETTLED + ASSIGN_SECONDS)
    assert len(first.items) == 4


def test_a_daemon_with_only_late_items_gets_the_late_slot() -> None:
    first, second = pair(engines=1, slots=1)
    second.late = 1
    first.waiting = 10 * LATE_SLOT_INTERVAL
    now = SETTLED
    slots_assigned = 0
    while slots_assigned < 2 * LATE_SLOT_INTERVAL:
        slots_assigned += 1
        now += 1.0
        second.tick(now)
        deliver(now, first, second)
        first.tick(now)
        deliver(now, first, second)
        if second.items:
            break
        first.end_item(now, "s0")
    assert second.items
    assert slots_assigned <= LATE_SLOT_INTERVAL


def test_a_daemon_with_only_late_items_gets_no_slot_before_the_late_slot() -> None:
    first, second = pair(engines=1, slots=1)
    second.late = 1
    first.waiting = LATE_SLOT_INTERVAL - 2
    now = SETTLED
    for _ in range(LATE_SLOT_INTERVAL - 2):
        now += 1.0
        second.tick(now)
        deliver(now, first, second)
        first.tick(now)
        deliver(now, first, second)
        assert second.items == []
        first.end_item(now, "s0")


def test_daemons_with_work_receive_digests() -> None:
    first, second = pair(engines=2, slots=4)
    second.waiting = 3
    second.tick(SETTLED)
    deliver(SETTLED, first, second)
    first.tick(SETTLED + 0.6)
    digest = next(message for message in first.messages() if isinstance(message, GroupDigest))
    assert digest.open_items == 3
    second.receive(SETTLED + 0.6, digest)
    assert second.fleet.share(SETTLED + 0.6).free_slots > 7


def test_failing_engines_are_not_chosen_while_others_are_usable() -> None:
    first, _ = pair(engines=2, slots=4)
    first.engine("s0").ejected_until = NOW + 9.0
    rng = random.Random(1)
    for number in range(1, 4):
        first.receive(NOW + rng.random(), slot_request(number))
    assert {reply.engine_key for reply in replies(first)} == {engine_key("s1")}
