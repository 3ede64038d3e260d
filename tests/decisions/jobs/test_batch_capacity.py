"""Slots for batch items beside online requests."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.decisions.forwarding.harness import engine
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.jobs.batch_capacity import (
    BATCH_CAPACITY_POLICIES,
    BatchCapacityPolicy,
    ShareCapacity,
    SlotCapacity,
    has_cache_space,
    own_share_of,
)

PRESSING = 0.5
"""Age of a job, in its objectives, at which it must hurry."""
RELAXED = 0.1
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=200)
every_policy = pytest.mark.parametrize(
    "policy", [make() for make in BATCH_CAPACITY_POLICIES.values()]
)


def held_engine(online: int = 0, batch: int = 0, slots: int = 12) -> Engine:
    held = Engine(engine("a", slots=slots))
    held.online_in_flight = online
    held.batch_in_flight = batch
    return held


def test_room_for_items_grows_as_their_job_must_hurry() -> None:
    policy = ShareCapacity()
    held = held_engine()
    assert policy.free_slots(0.0, held, 1 / 20) < policy.free_slots(0.0, held, 10 / 20)
    assert policy.free_slots(0.0, held, 25 / 20) == policy.free_slots(0.0, held, 1 / 20)


@every_policy
def test_items_never_take_the_slots_that_online_uses(policy: BatchCapacityPolicy) -> None:
    if isinstance(policy, ShareCapacity):
        assert policy.free_slots(0.0, held_engine(online=11), PRESSING) == 0
    assert policy.free_slots(0.0, held_engine(online=12), PRESSING) == 0


@every_policy
def test_only_online_requests_make_items_yield(policy: BatchCapacityPolicy) -> None:
    assert policy.surplus(0.0, held_engine(batch=14)) == 0
    expected = 5 if isinstance(policy, ShareCapacity) else 4
    assert policy.surplus(0.0, held_engine(online=2, batch=14)) == expected


def test_by_shares_items_yield_before_the_last_slot_is_taken() -> None:
    assert ShareCapacity().surplus(0.0, held_engine(online=4, batch=8)) == 1


def test_by_slots_items_use_the_last_slot_and_yield_when_one_is_missing() -> None:
    policy = SlotCapacity()
    assert policy.free_slots(0.0, held_engine(online=4, batch=7), RELAXED) == 1
    assert policy.surplus(0.0, held_engine(online=4, batch=8)) == 0
    assert policy.surplus(0.0, held_engine(online=5, batch=8)) == 1
    assert SlotCapacity(reserve=2).free_slots(0.0, held_engine(online=4, batch=7), RELAXED) == 0


@every_policy
@DETERMINISTIC
@given(
    st.integers(1, 40),
    st.integers(0, 60),
    st.integers(0, 60),
    st.floats(0.0, 2.0),
)
def test_room_and_surplus_stay_within_the_slots(
    policy: BatchCapacityPolicy, slots: int, online: int, batch: int, age_share: float
) -> None:
    held = held_engine(online, batch, slots)
    free = policy.free_slots(0.0, held, age_share)
    surplus = policy.surplus(0.0, held)
    assert 0 <= free <= max(0, slots - online - batch)
    assert 0 <= surplus <= batch
    assert not (free and surplus)
    if online >= slots and batch:
        assert surplus == min(batch, online + batch - slots) or isinstance(policy, ShareCapacity)


@every_policy
def test_what_may_start_does_not_yield_at_once(policy: BatchCapacityPolicy) -> None:
    for slots in range(4, 40):
        held = held_engine(online=1, slots=slots)
        while policy.free_slots(0.0, held, PRESSING):
            held.batch_in_flight += 1
        assert policy.surplus(0.0, held) == 0


def test_an_item_must_fit_the_engine_s_memory() -> None:
    held = held_engine()
    held.tokens_in_flight = 80_000
    assert has_cache_space(held, 5_000, 100_000)
    assert not has_cache_space(held, 6_000, 100_000)
    assert has_cache_space(held, 6_000, 0)  # the engine's memory is not known


def test_parts_of_daemons_add_up() -> None:
    rng = random.Random(1)
    total = sum(own_share_of(7, 1 / 8, rng) for _ in range(8 * 500)) / 500
    assert 6.5 < total < 7.5
