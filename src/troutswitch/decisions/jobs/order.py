"""Orders batch items by what is lost if they wait: an interface and its implementations.

`least_slack` is the baseline that `most_in_time` is compared with.
"""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

ItemKey = tuple[str, str]
"""Id of the job, id of the item."""


@dataclass(frozen=True, slots=True)
class ItemProspect:
    """One item that is not listed. Times are seconds; `due` is on this process's clock."""

    key: ItemKey
    due: float
    seconds_left: float


@dataclass(frozen=True, slots=True, order=True)
class ItemRank:
    """Place of an item: late ones last, then by figures that the policy chooses."""

    is_late: bool
    first: float
    second: float = 0.0


@dataclass(frozen=True, slots=True)
class BatchCapacity:
    """What this daemon's items may count on.

    `slots` is the mean number of slots that its items have together; `duty` is the part
    of the time for which an item that was started runs, from 0 to 1.
    """

    slots: float
    duty: float


class ItemOrder(Protocol):
    """Ranks all items that a daemon has to finish; the lowest rank goes first."""

    def rank(
        self, now: float, items: Iterable[ItemProspect], capacity: BatchCapacity
    ) -> dict[ItemKey, ItemRank]:
        """Returns the rank of each item."""
        ...


class LeastSlack:
    """Least slack first: the time until due, less the time that an item runs yet.

    An item that cannot be in time waits for room that no other item needs.
    """

    def rank(
        self, now: float, items: Iterable[ItemProspect], capacity: BatchCapacity
    ) -> dict[ItemKey, ItemRank]:
        """Ranks by slack."""
        slacks = {item.key: item.due - now - item.seconds_left for item in items}
        return {key: ItemRank(slack < 0, slack) for key, slack in slacks.items()}


class MostInTime:
    """As many items in time as the capacity allows; the others go behind them.

    Moore and Hodgson's rule: items are taken in the order of their due times, and
    whenever one would be late, the longest of those taken so far is left out. Those
    half done are short, so work that was begun is finished before new work is begun.
    """

    def rank(
        self, now: float, items: Iterable[ItemProspect], capacity: BatchCapacity
    ) -> dict[ItemKey, ItemRank]:
        """Ranks by due time, then by what is left."""
        taken: list[tuple[float, ItemKey]] = []
        left_out: set[ItemKey] = set()
        ordered = sorted(items, key=lambda item: (item.due, item.seconds_left, item.key))
        work = 0.0
        for item in ordered:
            time_left = item.due - now
            if item.seconds_left > time_left * capacity.duty:
                left_out.add(item.key)
                continue
            heapq.heappush(taken, (-item.seconds_left, item.key))
            work += item.seconds_left
            while taken and work > time_left * capacity.slots:
                longest, key = heapq.heappop(taken)
                work += longest
                left_out.add(key)
        return {item.key: _rank(item, item.key in left_out) for item in ordered}


def _rank(item: ItemProspect, is_late: bool) -> ItemRank:
    """Items in time by due time; late ones by what is left, so that they get done."""
    if is_late:
        return ItemRank(True, item.seconds_left)
    return ItemRank(False, item.due, item.seconds_left)


ITEM_ORDERS: dict[str, Callable[[], ItemOrder]] = {
    "least_slack": LeastSlack,
    "most_in_time": MostInTime,
}
"""Orders by name."""
