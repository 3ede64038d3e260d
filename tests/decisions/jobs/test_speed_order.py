"""Order of items at engines that differ in speed. Load: items with little and with much time left.

An item without events takes 6 s at an engine of mean speed, and its job is due after 20 s.
"""

import pytest

from tests.decisions.forwarding.harness import engine
from tests.decisions.jobs.fixtures import item, job_index, route_table
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.order import AvailableCapacity, MostInTime
from troutswitch.decisions.jobs.ranking import ItemRanking
from troutswitch.decisions.jobs.speed_order import is_better_served_elsewhere, order_for

NOW = 12.0
JOBS = {"hopeless": -12.0, "fast_only": -3.0, "mean_only": 0.0, "easy": 8.0}
"""First reads of jobs: their items have less than 0, 5, 8 and 16 s left."""


def ranked_items() -> tuple[ItemRanking, dict[str, ItemProgress]]:
    ranking = ItemRanking(route_table(), job_index(JOBS), MostInTime())
    ranking.run_times.on_completed(6.0, 60, 60)
    items = {job_id: item(job_id) for job_id in JOBS}
    ranking.rank(NOW, items.values(), AvailableCapacity(8.0, 1.0))
    return ranking, items


def ordered_at(factor: float, *, is_late_turn: bool = False) -> tuple[list[str], list[str]]:
    """Returns the jobs of the items that an engine gets, and those that would be late there."""
    ranking, items = ranked_items()
    ordered = ranking.most_urgent_first(items.values())
    order = order_for(NOW, factor, ordered, ranking, is_late_turn=is_late_turn)
    return [p.job_id for p in order.preferred], [p.job_id for p in order.endangered]


def test_engine_of_mean_speed_gets_the_items_in_order_of_rank() -> None:
    ranked = ["mean_only", "easy", "fast_only", "hopeless"]
    assert sorted(ordered_at(1.0)[0][:2]) == sorted(ranked[:2])
    assert ordered_at(1.0)[0][:2] == ranked[:2]
    assert ordered_at(1.0)[1] == []


def test_fast_engine_gets_the_items_first_that_need_it() -> None:
    preferred, endangered = ordered_at(0.6)
    assert preferred[:3] == ["fast_only", "mean_only", "easy"]
    assert endangered == []


def test_slow_engine_gets_items_with_time_and_those_that_are_late_anyway() -> None:
    preferred, endangered = ordered_at(1.5)
    assert preferred[0] == "easy"
    assert sorted(preferred[1:]) == ["fast_only", "hopeless"]
    assert endangered == ["mean_only"]


def test_late_item_on_its_turn_stays_first() -> None:
    """Guards against a fast engine that never gets a late item."""
    ranking, items = ranked_items()
    ordered = [items["hopeless"], items["mean_only"], items["easy"], items["fast_only"]]
    order = order_for(NOW, 0.6, ordered, ranking, is_late_turn=True)
    assert [p.job_id for p in order.preferred][:2] == ["hopeless", "fast_only"]


def engines(fast_batch: int) -> tuple[list[Engine], dict[str, float]]:
    fast, slow = Engine(engine("fast", slots=2)), Engine(engine("slow", slots=2))
    fast.peers_batch = fast_batch
    return [fast, slow], {"fast": 0.6, "slow": 1.5}


@pytest.mark.parametrize(("fast_batch", "is_better"), [(0, True), (2, False)])
def test_item_waits_only_for_a_free_slot_at_a_faster_engine(
    fast_batch: int, is_better: bool
) -> None:
    ranking, items = ranked_items()
    (fast, slow), factors = engines(fast_batch)
    served = is_better_served_elsewhere(
        NOW, items["mean_only"], slow, [fast, slow], factors, ranking
    )
    assert served is is_better


def test_item_that_is_late_at_the_faster_engine_too_does_not_wait_for_it() -> None:
    ranking, items = ranked_items()
    (fast, slow), factors = engines(0)
    assert not is_better_served_elsewhere(
        NOW, items["hopeless"], slow, [fast, slow], factors, ranking
    )
