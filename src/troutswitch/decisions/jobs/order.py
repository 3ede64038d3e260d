"""Rule: in which order do a daemon's batch items start, and which of them will be late?

Inputs, for each unlisted item: the time at which its job is due and its remaining run time (an
estimate from finished runs, see `run_time_estimate`); the slots available to this daemon's items,
from digests of coordinators that are at most 2 s old.

The rule is a policy, `items` of TROUTSWITCH_POLICIES. `most_in_time`, the default, chooses the
largest set of items that can all meet their targets, and orders the others behind them.
`least_slack` is the baseline that operators compare it with.

Why: spreading slots over more items than can finish in time makes all of them late. Measured in
docs/POLICY.md, "Rounds" (4 and 7) and "Ablation".
"""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

ItemKey = tuple[str, str]
"""Id of the job, id of the item."""


@dataclass(frozen=True, slots=True)
class ItemForecast:
    """When an unlisted item is due, on this process's clock, and its estimated remaining run time.

    Both are in seconds.
    """

    key: ItemKey
    due_at: float
    remaining_seconds: float


@dataclass(frozen=True, slots=True, order=True)
class ItemRank:
    """Sort key of an item: late items last, then by two keys that the policy chooses."""

    is_late: bool
    first: float
    second: float = 0.0


@dataclass(frozen=True, slots=True)
class AvailableCapacity:
    """Capacity available to this daemon's items.

    `slots` is the mean number of slots for all of its items. `duty` is the share of the time since
    its first start in which an item runs, from 0 to 1.
    """

    slots: float
    duty: float


class ItemOrder(Protocol):
    """Ranks all items that a daemon has to finish; the lowest rank starts first."""

    def rank(
        self, now: float, items: Iterable[ItemForecast], capacity: AvailableCapacity
    ) -> dict[ItemKey, ItemRank]:
        """Returns the rank of each item."""
        ...


class LeastSlack:
    """Least slack first: the time until an item is due, minus its remaining run time.

    Items that cannot meet their targets come after all others.
    """

    def rank(
        self, now: float, items: Iterable[ItemForecast], capacity: AvailableCapacity
    ) -> dict[ItemKey, ItemRank]:
        """Ranks by slack."""
        slacks = {item.key: item.due_at - now - item.remaining_seconds for item in items}
        return {key: ItemRank(slack < 0, slack) for key, slack in slacks.items()}


class MostInTime:
    """Maximizes the number of items that meet their targets with the given capacity.

    This is the Moore-Hodgson algorithm: items are scheduled in the order of their due times, and
    whenever one would be late, the longest item scheduled so far is removed. Partly finished items
    have little time remaining, so they are finished before new items start.
    """

    def rank(
        self, now: float, items: Iterable[ItemForecast], capacity: AvailableCapacity
    ) -> dict[ItemKey, ItemRank]:
        """Ranks by due time, then by remaining run time; late items by remaining run time only."""
        ordered = sorted(items, key=lambda item: (item.due_at, item.remaining_seconds, item.key))
        late = _late_items(now, ordered, capacity)
        return {item.key: _rank(item, item.key in late) for item in ordered}


def _late_items(
    now: float, ordered: list[ItemForecast], capacity: AvailableCapacity
) -> set[ItemKey]:
    """Returns the items that cannot meet their targets with the given capacity."""
    scheduled: list[tuple[float, ItemKey]] = []  # longest first
    late: set[ItemKey] = set()
    work = 0.0
    for item in ordered:
        time_left = item.due_at - now
        if item.remaining_seconds > time_left * capacity.duty:
            late.add(item.key)
            continue
        heapq.heappush(scheduled, (-item.remaining_seconds, item.key))
        work += item.remaining_seconds
        while scheduled and work > time_left * capacity.slots:
            negative_longest, key = heapq.heappop(scheduled)
            work += negative_longest
            late.add(key)
    return late


def _rank(item: ItemForecast, is_late: bool) -> ItemRank:
    if is_late:
        return ItemRank(True, item.remaining_seconds)
    return ItemRank(False, item.due_at, item.remaining_seconds)


ITEM_ORDERS: dict[str, Callable[[], ItemOrder]] = {
    "least_slack": LeastSlack,
    "most_in_time": MostInTime,
}
"""Order policies by name."""
