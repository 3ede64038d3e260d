"""Order, bound and denials of the queue of one group."""

import pytest

from troutswitch.decisions.invariants import InvariantViolated
from troutswitch.decisions.slots.slot_queue import (
    LATE_ANYWAY,
    MAX_IDLE_FLOWS,
    SILENT_ENTRY_SECONDS,
    EntryKey,
    QueueEntry,
    SlotQueue,
)

NOW = 10.0


def entry(
    number: int,
    flow: str = "a",
    *,
    priority: int = 0,
    objective_at: float = NOW + 0.3,
    expires_at: float = NOW + 2.0,
    is_returned: bool = False,
    excluded: frozenset[int] = frozenset(),
    arrived_at: float = NOW,
    incarnation: int = 1,
) -> QueueEntry:
    return QueueEntry(
        EntryKey("peer", incarnation, number),
        flow,
        priority,
        arrived_at,
        objective_at,
        expires_at,
        is_returned,
        excluded=excluded,
    )


def queue_of(*entries: QueueEntry) -> SlotQueue:
    queue = SlotQueue()
    for queued in entries:
        queue.add(queued)
    queue.validate()
    return queue


def numbers(queue: SlotQueue, now: float = NOW) -> list[int]:
    return [queued.key.number for queued in queue.order(now)]


def test_the_highest_priority_is_first_whatever_the_flows_got() -> None:
    queue = queue_of(entry(1, priority=2), entry(2, "b", priority=1), entry(3, priority=0))
    assert numbers(queue) == [3, 2, 1]


def test_flows_of_one_priority_take_turns_whatever_they_sent() -> None:
    """Load: one flow sends 7 times the requests of the other."""
    queue = queue_of(*(entry(n, "large") for n in range(7)), entry(10, "small"), entry(11, "small"))
    assert sorted(numbers(queue)[:4])[2:] == [10, 11]


def test_a_flow_that_was_granted_slots_waits_for_one_that_was_not() -> None:
    queue = queue_of(entry(1, "a"), entry(2, "a"))
    queue.grant(entry(1).key, 1.0)
    queue.add(entry(3, "b"))
    assert numbers(queue) == [3, 2]


def test_a_flow_gains_nothing_from_the_time_in_which_it_did_not_wait() -> None:
    """Without the tag of the last grant, a new flow would take all slots until it caught up."""
    queue = queue_of(*(entry(n, "busy") for n in range(20)))
    for number in range(10):
        queue.grant(entry(number).key, 1.0)
    for number in range(30, 36):
        queue.add(entry(number, "new"))
    first_six = numbers(queue)[:6]
    assert len([n for n in first_six if n >= 30]) <= 4


def test_a_flow_without_slots_first_gets_its_share_of_them() -> None:
    """Found under 30 times a share: one that took all slots before another came kept half of the
    next ones too, so the other never made up for its first wait."""
    queue = SlotQueue(slots=8)
    for number in range(8):
        queue.add(entry(number, "first to come"))
        queue.grant(entry(number).key, 1.0)
    for number in range(10, 20):
        queue.add(entry(number, "first to come"))
    for number in range(30, 40):
        queue.add(entry(number, "second"))
    assert all(n >= 30 for n in numbers(queue)[:4])
    assert sum(n >= 30 for n in numbers(queue)[:12]) <= 8


def test_a_slot_at_a_slow_engine_counts_for_more() -> None:
    """Shares are shares of slot time: a grant at a slow engine uses more of it."""
    queue = queue_of(*(entry(n, "a") for n in range(3)), *(entry(n, "b") for n in range(10, 13)))
    queue.grant(entry(0).key, 2.5)
    queue.grant(entry(10).key, 1.0)
    assert numbers(queue)[0] >= 10
    queue.grant(entry(numbers(queue)[0]).key, 1.0)
    assert numbers(queue)[0] >= 10


def test_in_a_flow_the_earliest_objective_that_can_be_met_is_first() -> None:
    queue = queue_of(
        entry(1, objective_at=LATE_ANYWAY, arrived_at=NOW - 2.0),
        entry(2, objective_at=NOW + 0.3),
        entry(3, objective_at=NOW + 0.1),
        entry(4, objective_at=LATE_ANYWAY, arrived_at=NOW - 1.0),
    )
    assert numbers(queue) == [3, 2, 1, 4]


def test_a_request_that_becomes_late_waits_for_those_that_are_not() -> None:
    """Load: a crest of 1.87 of the mean, in which some objectives must be missed."""
    queue = queue_of(entry(1, objective_at=NOW + 0.1), entry(2, objective_at=NOW + 0.3))
    assert numbers(queue) == [1, 2]
    assert numbers(queue, NOW + 0.2) == [2, 1]


def test_returned_callers_go_before_first_tries_of_their_flow_alone() -> None:
    queue = queue_of(
        entry(1), entry(2, is_returned=True, objective_at=LATE_ANYWAY), entry(3, priority=0)
    )
    assert numbers(queue)[0] == 2
    queue.add(entry(4, "b"))
    queue.grant(entry(2).key, 1.0)
    queue.add(entry(5, is_returned=True))
    assert numbers(queue)[0] == 4


def test_a_slot_that_the_first_cannot_use_goes_to_the_next_that_can() -> None:
    queue = queue_of(entry(1, excluded=frozenset({7})), entry(2, "b"), entry(3, "c"))
    free = 7
    chosen = queue.choose(NOW, lambda queued: free if free not in queued.excluded else None)
    assert chosen is not None
    assert chosen[0].key.number == 2


def test_no_slot_is_searched_again_for_the_same_exclusions() -> None:
    """Bounds the work of one event: a full group is searched once, not once for each request."""
    excluded = frozenset({7})
    queue = queue_of(*(entry(n, excluded=excluded) for n in range(50)), entry(99))
    searches: list[int] = []
    assert queue.choose(NOW, lambda queued: searches.append(queued.key.number)) is None
    assert len(searches) <= 2


def test_requests_whose_slot_comes_after_their_expiry_are_found() -> None:
    """Those after a denied one move up, and are judged by their new place."""
    queue = queue_of(
        entry(1, expires_at=NOW + 0.05, objective_at=NOW + 0.01),
        entry(2, expires_at=NOW + 0.15, objective_at=NOW + 0.02),
        entry(3, expires_at=NOW + 0.15, objective_at=NOW + 0.03),
    )
    denied = queue.unservable(NOW, interval=0.1)
    assert [(queued.key.number, wait) for queued, wait in denied] == [(1, 0.1), (3, 0.2)]


def test_the_last_in_order_are_beyond_the_bound() -> None:
    queue = queue_of(entry(1, "a", priority=1), entry(2, "a"), entry(3, "b"))
    assert [queued.key.number for queued in queue.beyond(NOW, 2)] == [1]
    assert queue.beyond(NOW, 3) == []


def test_entries_that_are_not_repeated_are_silent() -> None:
    queue = queue_of(entry(1), entry(2))
    later = NOW + SILENT_ENTRY_SECONDS
    assert queue.confirm(later, entry(1).key, frozenset())
    assert not queue.confirm(later, entry(9).key, frozenset())
    assert [queued.key.number for queued in queue.silent(later + 0.1)] == [2]


def test_entries_of_a_former_incarnation_are_found() -> None:
    queue = queue_of(entry(1), entry(2, incarnation=2))
    former = queue.of_former_incarnations(entry(3, incarnation=2).key)
    assert [queued.key.number for queued in former] == [1]


def test_a_request_is_queued_once() -> None:
    queue = queue_of(entry(1))
    with pytest.raises(InvariantViolated):
        queue.add(entry(1))


def test_positions_follow_removals() -> None:
    queue = queue_of(entry(1), entry(2), entry(3))
    assert queue.position(NOW, entry(3).key) == 3
    assert queue.remove(entry(1).key) is not None
    assert queue.remove(entry(1).key) is None
    assert queue.position(NOW, entry(3).key) == 2
    assert len(queue.clear()) == 2
    assert len(queue) == 0


def test_tags_of_flows_that_no_longer_wait_are_bounded() -> None:
    """A daemon that sends new flow names for ever must not fill the coordinator's memory."""
    queue = SlotQueue()
    for number in range(3 * MAX_IDLE_FLOWS):
        queue.add(entry(number, f"flow-{number}"))
        queue.grant(entry(number).key, 1.0)
    level = queue._levels[0]
    assert len(level._finish_tags) <= MAX_IDLE_FLOWS
