"""Rule: in which order do a daemon's batch items start, and which of them will be late?

Inputs, for each item that is not listed: the time at which its job is due and the seconds that it
still has to run (an estimate from finished runs, see `run_time_estimate`); the slots that this
daemon's items can count on, from digests of coordinators that are at most 2 s old.

The rule is a policy, `items` of TROUTSWITCH_POLICIES. `most_in_time`, the default, chooses the
largest set of items that can all meet their targets, and puts the others behind them.
`least_slack` is the baseline that operators compare it with.

Why: spreading slots over more items than can be finished makes all of them late. Measured in
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
    """An item that is not listed: when it is due, on this process's clock, and what it has to run.

    Both times are in seconds.
    """

    key: ItemKey
    due_at: float
    remaining_seconds: float


@dataclass(frozen=True, slots=True, order=True)
class ItemRank:
    """Sort key of an item: late items last, then by figures that the policy chooses."""

    is_late: bool
    first: float
    second: float = 0.0


@dataclass(frozen=True, slots=True)
class BatchCapacity:
    """What this daemon's items can count on.

    `slots` is the mean number of slots that its items have together; `duty` is the part of the
    time for which an item that was started runs, from 0 to 1.
    """

    slots: float
    duty: float


class ItemOrder(Protocol):
    """Ranks all items that a daemon has to finish; the lowest rank goes first."""

    def rank(
        self, now: float, items: Iterable[ItemForecast], capacity: BatchCapacity
    ) -> dict[ItemKey, ItemRank]:
        """Returns the rank of each item."""
        ...


class LeastSlack:
    """Least slack first: the time until an item is due, less the time that it still has to run.

    An item that cannot meet its target waits for slots that no other item needs.
    """

    def rank(
        self, now: float, items: Iterable[ItemForecast], capacity: BatchCapacity
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
        self, now: float, items: Iterable[ItemForecast], capacity: BatchCapacity
    ) -> dict[ItemKey, ItemRank]:
        """Ranks by due time, then by the time left; late items by the time left."""
        ordered = sorted(items, key=lambda item: (item.due_at, item.remaining_seconds, item.key))
        late = _late_items(now, ordered, capacity)
        return {item.key: _rank(item, item.key in late) for item in ordered}


def _late_items(now: float, ordered: list[ItemForecast], capacity: BatchCapacity) -> set[ItemKey]:
    """Returns the items that the capacity does not allow to meet their targets."""
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
"""Orders by name."""
