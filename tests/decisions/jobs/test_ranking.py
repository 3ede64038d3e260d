"""Ranking of items: which start first, and which stop first."""

from tests.decisions.jobs.fixtures import item, job_index, route_table
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.order import AvailableCapacity, LeastSlack
from troutswitch.decisions.jobs.ranking import ItemRanking


def ranking(read_at: dict[str, float]) -> ItemRanking:
    return ItemRanking(route_table(), job_index(read_at), LeastSlack())


def most_urgent_first(
    ranked: ItemRanking, now: float, items: list[ItemProgress]
) -> list[ItemProgress]:
    ranked.rank(now, items, AvailableCapacity(1.0, 1.0))
    return ranked.most_urgent_first(items)


def least_urgent(
    ranked: ItemRanking, now: float, items: list[ItemProgress], count: int
) -> list[ItemProgress]:
    ranked.rank(now, items, AvailableCapacity(1.0, 1.0))
    return ranked.least_urgent(items, count)


def test_items_of_the_job_that_is_due_first_start_first() -> None:
    ranked = ranking({"old": 0.0, "new": 5.0})
    ordered = most_urgent_first(ranked, 6.0, [item("new"), item("old")])
    assert [progress.job_id for progress in ordered] == ["old", "new"]


def test_late_items_come_after_items_that_can_meet_their_targets() -> None:
    ranked = ranking({"old": 0.0, "new": 5.0})
    ranked.run_times.on_completed(6.0, 60, 60)
    ordered = most_urgent_first(ranked, 15.0, [item("old"), item("new")])
    assert [progress.job_id for progress in ordered] == ["new", "old"]
    nearly_done = item("old", 1, events=52)
    hopeless = item("old")
    ordered = most_urgent_first(ranked, 16.0, [hopeless, item("new"), nearly_done])
    assert [progress.job_id for progress in ordered] == ["new", "old", "old"]
    assert ordered[1] is nearly_done
    assert least_urgent(ranked, 16.0, [hopeless, nearly_done], 1) == [hopeless]


def test_the_item_of_a_job_with_most_remaining_time_starts_first_and_yields_last() -> None:
    ranked = ranking({"job": 0.0})
    ranked.run_times.on_completed(6.0, 60, 60)
    items = [item("job", 0, events=50), item("job", 1), item("job", 2, events=20)]
    assert [p.number for p in most_urgent_first(ranked, 1.0, items)] == [1, 2, 0]
    assert [p.number for p in least_urgent(ranked, 1.0, items, 1)] == [0]
    assert len(least_urgent(ranked, 1.0, items, 9)) == 3
