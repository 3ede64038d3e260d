"""Ranks the items that a daemon has to finish: which start first, and which stop first.

It owns the ranks of the last round and the run time estimate. The order is a policy, see `order`.
"""

from collections.abc import Iterable

from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.jobs.due_times import due_at
from troutswitch.decisions.jobs.index import JobIndex
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.order import (
    AvailableCapacity,
    ItemForecast,
    ItemKey,
    ItemOrder,
    ItemRank,
)
from troutswitch.decisions.jobs.run_time_estimate import RunTimeEstimate
from troutswitch.decisions.tenants.types import NO_TENANT

UNRANKED = ItemRank(True, float("inf"))
"""Rank of an item that was added after the last round."""


class ItemRanking:
    """Ranks of a daemon's items, computed in each round of dispatching."""

    def __init__(self, routes: RouteTable, index: JobIndex, order: ItemOrder) -> None:
        self.run_times = RunTimeEstimate()
        self._routes = routes
        self._index = index
        self._order = order
        self._ranks: dict[ItemKey, ItemRank] = {}

    def rank(self, now: float, items: Iterable[ItemProgress], capacity: AvailableCapacity) -> None:
        """Computes the ranks of all items."""
        self._ranks = self._order.rank(now, [self.forecast(item) for item in items], capacity)

    def forecast(self, progress: ItemProgress) -> ItemForecast:
        """Returns when an item is due and its remaining run time at an engine of mean speed."""
        entry = self._index.jobs.get(progress.job_id)
        due = due_at(self._routes, entry) if entry is not None else float("inf")
        return ItemForecast(progress.key, due, self.run_times.remaining_seconds(progress))

    def tenant_of(self, progress: ItemProgress) -> str:
        """Returns the tenant that submitted an item's job, empty if unknown."""
        entry = self._index.jobs.get(progress.job_id)
        return entry.manifest.tenant if entry is not None else NO_TENANT

    def _rank(self, progress: ItemProgress) -> ItemRank:
        return self._ranks.get(progress.key, UNRANKED)

    def is_late(self, progress: ItemProgress) -> bool:
        """Returns whether the item will miss its completion target, as of the last round."""
        return self._rank(progress).is_late

    def is_about_as_urgent(
        self, progress: ItemProgress, other: ItemProgress, max_difference: float
    ) -> bool:
        """Returns whether two items are late, or in time and due within `max_difference` s."""
        if self.is_late(progress) != self.is_late(other):
            return False
        if self.is_late(progress):
            return True
        dues = [self.forecast(item).due_at for item in (progress, other)]
        return dues[0] == dues[1] or abs(dues[0] - dues[1]) <= max_difference

    def is_overdue(self, now: float, progress: ItemProgress) -> bool:
        """Returns whether the item's job is past its due time."""
        entry = self._index.jobs.get(progress.job_id)
        return entry is not None and now > due_at(self._routes, entry)

    def most_urgent_first(self, items: Iterable[ItemProgress]) -> list[ItemProgress]:
        """Returns the items in order of rank."""
        return sorted(items, key=self._rank)

    def least_urgent(self, items: Iterable[ItemProgress], count: int) -> list[ItemProgress]:
        """Returns the `count` items with the highest ranks, or all if there are fewer."""
        ordered = self.most_urgent_first(items)
        return ordered[len(ordered) - min(count, len(ordered)) :]
