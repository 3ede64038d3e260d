"""Which group is tried next, and which wait is accepted there."""

import random

from troutswitch.decisions.forwarding.placer import PlacementRequest
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.decisions.forwarding.wait_estimate import NO_WAIT, Estimate
from troutswitch.decisions.slots.group_search import (
    MAX_GROUPS_TRIED,
    SHORT_WAIT_SECONDS,
    GroupSearch,
    groups_in_order,
)
from troutswitch.decisions.slots.groups import Group

NEAR = Group("service", "a", 0)
FAR = Group("service", "b", 0)


def search(*groups: Group, longest_wait: float = 1.0) -> GroupSearch:
    return GroupSearch(PlacementRequest(1, "service", PromptShape(), longest_wait), list(groups))


def wait(seconds: float) -> Estimate:
    return Estimate(seconds, 1, 8, 0.6)


def test_groups_of_the_own_zone_and_those_that_span_zones_come_first() -> None:
    spanning = Group("service", "", 0)
    for seed in range(20):
        ordered = groups_in_order([FAR, NEAR, spanning], "a", random.Random(seed))
        assert ordered[-1] == FAR


def test_no_more_groups_are_tried_than_stated() -> None:
    groups = [Group("service", "a", number) for number in range(9)]
    assert len(groups_in_order(groups, "a", random.Random(1))) == MAX_GROUPS_TRIED


def test_of_one_group_any_wait_is_accepted_that_the_request_accepts() -> None:
    only = search(NEAR)
    assert only.next_group() == NEAR
    assert only.max_accepted_wait() == 1.0


def test_little_wait_is_accepted_while_there_is_another_group() -> None:
    two = search(NEAR, FAR)
    assert two.next_group() == NEAR
    assert two.max_accepted_wait() == SHORT_WAIT_SECONDS
    two.record_wait(NEAR, wait(0.5))
    assert two.next_group() == FAR
    assert two.max_accepted_wait() == SHORT_WAIT_SECONDS
    assert two.next_group() is None


def test_the_shortest_queue_is_joined_once_with_the_request_s_own_bound() -> None:
    two = search(NEAR, FAR)
    for group, seconds in ((NEAR, 0.5), (FAR, 0.3)):
        assert two.next_group() == group
        two.record_wait(group, wait(seconds))
    assert two.too_long_wait() is None
    assert two.join_queue() == FAR
    assert two.max_accepted_wait() == 1.0
    assert two.join_queue() is None


def test_there_is_no_slot_in_time_if_the_shortest_wait_is_too_long() -> None:
    one = search(NEAR, longest_wait=0.1)
    one.next_group()
    one.record_wait(NEAR, wait(0.3))
    assert one.too_long_wait() == wait(0.3)


def test_a_group_without_an_engine_for_the_request_has_no_queue_to_join() -> None:
    one = search(NEAR)
    one.next_group()
    one.record_wait(NEAR, NO_WAIT)
    assert one.too_long_wait() is None
    assert one.join_queue() is None
