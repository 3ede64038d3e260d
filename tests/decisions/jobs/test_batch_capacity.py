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
    peer_tokens,
)

URGENT_AGE = 0.5
"""Age of a job, as a share of its completion target, at which it is urgent."""
NORMAL_AGE = 0.1
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=200)
every_policy = pytest.mark.parametrize(
    "policy", [make() for make in BATCH_CAPACITY_POLICIES.values()]
)


def engine_with(online: int = 0, batch: int = 0, slots: int = 12) -> Engine:
    loaded = Engine(engine("a", slots=slots))
    loaded.online_in_flight = online
    loaded.batch_in_flight = batch
    return loaded


def test_share_capacity_allows_more_items_of_urgent_jobs_until_the_target() -> None:
    policy = ShareCapacity()
    loaded = engine_with()
    assert policy.free_slots(0.0, loaded, 1 / 20) < policy.free_slots(0.0, loaded, 10 / 20)
    assert policy.free_slots(0.0, loaded, 25 / 20) == policy.free_slots(0.0, loaded, 1 / 20)


@every_policy
def test_no_slot_is_free_for_items_if_online_requests_fill_the_engine(
    policy: BatchCapacityPolicy,
) -> None:
    if isinstance(policy, ShareCapacity):
        assert policy.free_slots(0.0, engine_with(online=11), URGENT_AGE) == 0
    assert policy.free_slots(0.0, engine_with(online=12), URGENT_AGE) == 0


@every_policy
def test_items_yield_only_if_there_are_online_requests(policy: BatchCapacityPolicy) -> None:
    assert policy.surplus(0.0, engine_with(batch=14)) == 0
    expected = 5 if isinstance(policy, ShareCapacity) else 4
    assert policy.surplus(0.0, engine_with(online=2, batch=14)) == expected


def test_share_capacity_makes_an_item_yield_when_all_slots_are_in_use() -> None:
    assert ShareCapacity().surplus(0.0, engine_with(online=4, batch=8)) == 1


def test_slot_capacity_fills_the_last_slot_and_yields_when_a_request_lacks_one() -> None:
    policy = SlotCapacity()
    assert policy.free_slots(0.0, engine_with(online=4, batch=7), NORMAL_AGE) == 1
    assert policy.surplus(0.0, engine_with(online=4, batch=8)) == 0
    assert policy.surplus(0.0, engine_with(online=5, batch=8)) == 1
    assert SlotCapacity(reserve=2).free_slots(0.0, engine_with(online=4, batch=7), NORMAL_AGE) == 0


@every_policy
@DETERMINISTIC
@given(
    st.integers(1, 40),
    st.integers(0, 60),
    st.integers(0, 60),
    st.floats(0.0, 2.0),
)
def test_free_slots_and_surplus_are_within_bounds_and_exclusive(
    policy: BatchCapacityPolicy, slots: int, online: int, batch: int, age_share: float
) -> None:
    loaded = engine_with(online, batch, slots)
    free = policy.free_slots(0.0, loaded, age_share)
    surplus = policy.surplus(0.0, loaded)
    assert 0 <= free <= max(0, slots - online - batch)
    assert 0 <= surplus <= batch
    assert not (free and surplus)
    if online >= slots and batch:
        assert surplus == min(batch, online + batch - slots) or isinstance(policy, ShareCapacity)


@every_policy
def test_items_that_may_start_are_no_surplus(policy: BatchCapacityPolicy) -> None:
    for slots in range(4, 40):
        loaded = engine_with(online=1, slots=slots)
        while policy.free_slots(0.0, loaded, URGENT_AGE):
            loaded.batch_in_flight += 1
        assert policy.surplus(0.0, loaded) == 0


def test_an_item_needs_cache_space_at_the_engine() -> None:
    loaded = engine_with()
    loaded.tokens_in_flight = 80_000
    assert has_cache_space(loaded, 5_000, 100_000)
    assert not has_cache_space(loaded, 6_000, 100_000)
    assert has_cache_space(loaded, 6_000, 0)  # the size of the cache is unknown


def test_an_item_above_the_share_starts_where_the_whole_cache_has_space() -> None:
    """Guards against an accepted item that waits for ever beside empty engines."""
    loaded = engine_with()
    for tokens in (85_001, 95_000, 100_000):
        assert has_cache_space(loaded, tokens, 100_000)
    assert not has_cache_space(loaded, 100_001, 100_000)
    loaded.tokens_in_flight = 5_000
    assert has_cache_space(loaded, 95_000, 100_000)
    assert not has_cache_space(loaded, 95_001, 100_000)
    assert not has_cache_space(loaded, 90_000, 100_000, 5_001)


def test_other_daemons_requests_take_cache_space_at_their_mean_sizes() -> None:
    """Guards against items beyond an engine's cache: each daemon knew only its own tokens."""
    loaded = engine_with(online=1)
    loaded.tokens_in_flight = 5_000
    loaded.peers_online, loaded.peers_batch = 3, 4
    peers = peer_tokens(loaded, 5_000.0, 15_000.0)
    assert peers == 75_000
    assert has_cache_space(loaded, 5_000, 100_000, peers)
    assert not has_cache_space(loaded, 6_000, 100_000, peers)
    assert has_cache_space(loaded, 6_000, 100_000)


def test_random_rounding_keeps_the_mean_of_all_shares() -> None:
    rng = random.Random(1)
    total = sum(own_share_of(7, 1 / 8, rng) for _ in range(8 * 500)) / 500
    assert 6.5 < total < 7.5
