"""Order of batch items when not all can meet their targets."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from troutswitch.decisions.jobs.order import (
    ITEM_ORDERS,
    AvailableCapacity,
    ItemForecast,
    ItemKey,
    ItemOrder,
    LeastSlack,
    MostInTime,
)

ONE_SLOT = AvailableCapacity(1.0, 1.0)
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=150)
ITEMS = st.lists(st.tuples(st.integers(1, 30), st.integers(1, 12)), max_size=7)
every_order = pytest.mark.parametrize("order", [make() for make in ITEM_ORDERS.values()])


def forecasts(rows: list[tuple[int, int]]) -> list[ItemForecast]:
    return [ItemForecast(("job", str(n)), due, run_time) for n, (due, run_time) in enumerate(rows)]


def in_time(items: list[ItemForecast], sequence: tuple[ItemForecast, ...]) -> int:
    """Returns the number of items that one slot finishes in time in the given sequence."""
    clock, count = 0.0, 0
    for item in sequence:
        clock += item.remaining_seconds
        count += clock <= item.due_at
    return count


def sequence_of(order: ItemOrder, items: list[ItemForecast]) -> list[ItemForecast]:
    ranks = order.rank(0.0, items, ONE_SLOT)
    return sorted(items, key=lambda item: ranks[item.key])


@DETERMINISTIC
@given(ITEMS)
def test_on_one_slot_most_in_time_is_as_good_as_the_best_order(rows: list[tuple[int, int]]) -> None:
    items = forecasts(rows)
    best = max(in_time(items, sequence) for sequence in itertools.permutations(items))
    assert in_time(items, tuple(sequence_of(MostInTime(), items))) == best


def test_partly_finished_items_are_finished_before_new_ones_start() -> None:
    fresh = [(10, 5)] * 4
    partly_finished = [(10, 2)] * 2
    ranks = MostInTime().rank(0.0, forecasts([*fresh, *partly_finished]), ONE_SLOT)
    late = {key for key, rank in ranks.items() if rank.is_late}
    assert ("job", "4") not in late
    assert ("job", "5") not in late
    assert len(late) == 3


def test_least_slack_ranks_no_item_late_where_not_all_can_be_in_time() -> None:
    items = forecasts([(10, 4)] * 5)
    assert not any(rank.is_late for rank in LeastSlack().rank(0.0, items, ONE_SLOT).values())
    assert sum(r.is_late for r in MostInTime().rank(0.0, items, ONE_SLOT).values()) == 3


def test_a_lower_duty_makes_an_item_late() -> None:
    items = forecasts([(10, 6)])
    half = AvailableCapacity(slots=4.0, duty=0.5)
    assert MostInTime().rank(0.0, items, half)[("job", "0")].is_late
    assert not MostInTime().rank(0.0, items, AvailableCapacity(4.0, 1.0))[("job", "0")].is_late


@every_order
@DETERMINISTIC
@given(ITEMS, st.floats(0.0, 20.0), st.floats(0.0, 40.0))
def test_every_item_has_a_rank_and_late_items_come_last(
    order: ItemOrder, rows: list[tuple[int, int]], slots: float, now: float
) -> None:
    items = forecasts(rows)
    ranks = order.rank(now, items, AvailableCapacity(slots, 1.0))
    assert ranks.keys() == {item.key for item in items}
    ordered: list[ItemKey] = sorted(ranks, key=lambda key: ranks[key])
    lateness = [ranks[key].is_late for key in ordered]
    assert lateness == sorted(lateness)
