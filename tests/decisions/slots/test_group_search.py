"""Which group is tried next, and which wait is accepted there."""

import random

from troutswitch.decisions.forwarding.placer import PlacementRequest
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.decisions.forwarding.wait_estimate import NO_WAIT, WaitEstimate
from troutswitch.decisions.slots.group_search import (
    MAX_GROUPS_TRIED,
    SHORT_WAIT_SECONDS,
    GroupSearch,
    groups_in_order,
)
from troutswitch.decisions.slots.groups import Group

NEAR = Group("service", "a", 0)
FAR = Group("service", "b", 0)


def search(*groups: Group, max_wait: float = 1.0) -> GroupSearch:
    return GroupSearch(PlacementRequest(1, "service", PromptShape(), max_wait), list(groups))


def wait(seconds: float) -> WaitEstimate:
    return WaitEstimate(seconds, 1, 8, 0.6)


def test_groups_in_the_own_zone_or_spanning_zones_come_first() -> None:
    spanning = Group("service", "", 0)
    for seed in range(20):
        ordered = groups_in_order([FAR, NEAR, spanning], "a", random.Random(seed))
        assert ordered[-1] == FAR


def test_at_most_the_maximum_number_of_groups_is_tried() -> None:
    groups = [Group("service", "a", number) for number in range(9)]
    assert len(groups_in_order(groups, "a", random.Random(1))) == MAX_GROUPS_TRIED


def test_a_single_group_is_accepted_with_any_wait_that_the_request_accepts() -> None:
    single = search(NEAR)
    assert single.next_group() == NEAR
    assert single.max_accepted_wait() == 1.0


def test_only_a_short_wait_is_accepted_while_there_is_another_group() -> None:
    two = search(NEAR, FAR)
    assert two.next_group() == NEAR
    assert two.max_accepted_wait() == SHORT_WAIT_SECONDS
    two.record_wait(NEAR, wait(0.5))
    assert two.next_group() == FAR
    assert two.max_accepted_wait() == SHORT_WAIT_SECONDS
    assert two.next_group() is None


def test_the_shortest_queue_is_joined_once_with_the_wait_that_the_request_accepts() -> None:
    two = search(NEAR, FAR)
    for group, seconds in ((NEAR, 0.5), (FAR, 0.3)):
        assert two.next_group() == group
        two.record_wait(group, wait(seconds))
    assert two.too_long_wait() is None
    assert two.join_queue() == FAR
    assert two.max_accepted_wait() == 1.0
    assert two.join_queue() is None


def test_there_is_no_slot_in_time_if_the_shortest_wait_is_too_long() -> None:
    single = search(NEAR, max_wait=0.1)
    single.next_group()
    single.record_wait(NEAR, wait(0.3))
    assert single.too_long_wait() == wait(0.3)


def test_a_group_without_an_engine_for_the_request_has_no_queue_to_join() -> None:
    single = search(NEAR)
    single.next_group()
    single.record_wait(NEAR, NO_WAIT)
    assert single.too_long_wait() is None
    assert single.join_queue() is None
