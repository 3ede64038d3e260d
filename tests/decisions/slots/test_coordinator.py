"""The coordinator grants slots by exact counts."""

import random

import pytest

from tests.decisions.slots.worlds import GROUP, SlotsOf, address_of, deliver, record, report
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


def pair(engines: int = 2, slots: int = 2) -> tuple[SlotsOf, SlotsOf]:
    """Returns a coordinator and another daemon."""
    records = [record(f"s{n}", slots=slots) for n in range(engines)]
    first, second = SlotsOf("first", records), SlotsOf("second", records)
    first.coordinate(NOW, second)
    first.messages()
    second.messages()
    return first, second


def slot_request(number: int = 1, max_wait_ms: int = -1, **held: int) -> SlotRequest:
    return SlotRequest(report("peer", number, **held), number, GROUP, 0, max_wait_ms)


def batch_grants(daemon: SlotsOf) -> list[BatchSlotGrant]:
    return [made for made in daemon.messages() if isinstance(made, BatchSlotGrant)]


def replies(daemon: SlotsOf) -> list[SlotReply]:
    return [made for made in daemon.messages() if isinstance(made, SlotReply)]


def test_each_grant_counts_before_the_next_one_is_made() -> None:
    first, _ = pair()
    for number in range(1, 5):
        first.take(NOW, slot_request(number))
    keys = [reply.engine_key for reply in replies(first)]
    assert sorted(keys) == sorted([engine_key("s0"), engine_key("s1")] * 2)


def test_a_free_slot_is_taken_before_one_that_an_item_has() -> None:
    first, _ = pair(engines=2, slots=4)
    first.take(NOW, report("other", 1, s0=4))
    for number in range(1, 5):
        first.take(NOW, slot_request(number))
    granted = [made for made in first.messages()]
    assert [r.engine_key for r in granted if isinstance(r, SlotReply)] == [engine_key("s1")] * 4
    assert not [made for made in granted if isinstance(made, BatchSlotGrant)]


def test_an_item_is_stopped_in_the_step_of_the_grant() -> None:
    first, _ = pair(engines=1, slots=2)
    first.take(NOW, report("other", 1, s0=2))
    first.take(NOW, slot_request())
    (retracted,) = batch_grants(first)
    assert (retracted.engine_key, retracted.count) == (engine_key("s0"), -1)
    assert first.engine("s0").batch() == 1


def test_own_items_yield_too() -> None:
    first, _ = pair(engines=1, slots=2)
    first.waiting = 2
    first.tick(SETTLED)
    assert len(first.items) == 2
    first.take(SETTLED, slot_request())
    assert len(first.items) == 1


def test_items_yield_to_requests_that_were_sent_without_being_granted() -> None:
    first, _ = pair(engines=1, slots=4)
    share = EngineShare(engine_key("s0"), 2, 4, 0)
    first.take(SETTLED, HoldingsReport("other", "z", address_of("other"), 1, 1, (share,)))
    first.tick(SETTLED + ASSIGN_SECONDS)
    assert [(made.count, made.grant_number) for made in batch_grants(first)] == [(-1, 1), (-1, 2)]
    first.tick(SETTLED + 3 * ASSIGN_SECONDS)
    assert batch_grants(first) == []


def test_a_request_that_accepts_no_wait_gets_the_wait_in_the_reply() -> None:
    first, _ = pair(engines=1, slots=1)
    first.times.on_completed("service", 0.06, 0.6, was_queued=False)
    first.take(NOW, slot_request(1, max_wait_ms=0))
    first.take(NOW, slot_request(2, max_wait_ms=0))
    granted, refused = replies(first)
    assert granted.grant_number > 0
    assert refused.grant_number == 0
    assert refused.engine_key == 0
    assert 300 < refused.wait_ms <= 600


def test_a_daemon_that_does_not_coordinate_replies_so() -> None:
    _, second = pair()
    second.take(NOW, slot_request())
    (reply,) = replies(second)
    assert not reply.is_coordinator


def test_free_slots_go_to_those_whose_items_wait() -> None:
    first, second = pair(engines=2, slots=4)
    second.waiting = 3
    first.waiting = 2
    second.tick(SETTLED)
    deliver(SETTLED, first, second)
    first.tick(SETTLED + 0.03)
    deliver(SETTLED + 0.03, first, second)
    assert (len(first.items), len(second.items)) == (2, 3)
    assert (first.waiting, second.waiting) == (0, 0)


def test_no_more_is_granted_than_is_free() -> None:
    first, second = pair(engines=2, slots=4)
    second.waiting = 30
    second.tick(SETTLED)
    deliver(SETTLED, first, second)
    for tick in range(10):
        first.tick(SETTLED + 0.03 * (tick + 1))
        second.tick(SETTLED + 0.03 * (tick + 1))
        deliver(SETTLED, first, second)
    assert len(second.items) == 8


def granted_before_a_report_comes() -> int:
    first, second = pair(engines=1, slots=2)
    second.waiting = 9
    second.tick(SETTLED)
    deliver(SETTLED, first, second)
    for tick in range(1, 6):
        first.tick(SETTLED + tick * ASSIGN_SECONDS)
    return sum(made.count for made in batch_grants(first))


def test_a_grant_counts_before_a_report_includes_it() -> None:
    assert granted_before_a_report_comes() == 2


def test_without_counting_its_own_words_a_coordinator_grants_too_much(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(SlotLedger, "_apply", lambda self, now, holder: holder.grants.clear())
    assert granted_before_a_report_comes() > 2


def test_a_new_coordinator_grants_no_batch_slots_before_holders_could_report() -> None:
    first, _ = pair()
    first.waiting = 4
    first.tick(NOW + GRACE_SECONDS / 2)
    assert first.items == []
    first.tick(SETTLED)
    assert len(first.items) == 4


def test_a_slot_that_an_online_request_gives_back_goes_to_an_item() -> None:
    first, _ = pair(engines=1, slots=4)
    first.waiting = 9
    for token in range(3):
        first.want(SETTLED, token)
    first.tick(SETTLED)
    assert len(first.items) == 1
    for token in range(3):
        first.end(SETTLED, token)
    first.tick(SETTLED + ASSIGN_SECONDS)
    assert len(first.items) == 4


def test_a_daemon_that_has_only_late_items_has_its_turn_beside_others() -> None:
    first, second = pair(engines=1, slots=1)
    second.late = 1
    first.waiting = 10 * LATE_SLOT_INTERVAL
    now = SETTLED
    slots_given = 0
    while slots_given < 2 * LATE_SLOT_INTERVAL:
        slots_given += 1
        now += 1.0
        second.tick(now)
        deliver(now, first, second)
        first.tick(now)
        deliver(now, first, second)
        if second.items:
            break
        first.end_item(now, "s0")
    assert second.items
    assert slots_given <= LATE_SLOT_INTERVAL


def test_without_turns_it_would_wait_on() -> None:
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
    digest = next(made for made in first.messages() if isinstance(made, GroupDigest))
    assert digest.open_items == 3
    second.take(SETTLED + 0.6, digest)
    assert second.fleet.share(SETTLED + 0.6).free_slots > 7


def test_engines_that_fail_are_not_chosen_while_others_are_usable() -> None:
    first, _ = pair(engines=2, slots=4)
    first.engine("s0").ejected_until = NOW + 9.0
    rng = random.Random(1)
    for number in range(1, 4):
        first.take(NOW + rng.random(), slot_request(number))
    assert {reply.engine_key for reply in replies(first)} == {engine_key("s1")}
