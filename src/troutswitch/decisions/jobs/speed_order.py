"""Rule: in which order do a daemon's items get a slot at an engine that is faster or slower?

Inputs: the items that may start, by rank (`order`); when each is due; its remaining run time at an
engine of mean speed; the share of the time in which an item runs (`run_time_estimate`); the
relative factor of the engine (`forwarding/engine_cost.py`).

The rule: an item meets its due time at an engine if its remaining run time, multiplied by the
engine's factor, is at most the time left, multiplied by the share in which it runs. At an engine
that is faster than the mean, the items come first that meet their due time there but not at a mean
engine. At a slower engine, the items come last that meet it at a mean engine but not there. Within
each part, the order by rank stays. A late item on its turn comes before all others.

An item of that last part gets the slot only if no other item can use it, and only if no faster
engine of the service, at which it meets its due time, has a free slot by this daemon's counts.

Why: an item that starts at a slow engine occupies its slot there to its end, so it misses a due
time that it would meet elsewhere. Items that have time, and those that are late anyway, lose
nothing there. A slot that stays unused helps nobody, unless the item gets a better one soon.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engine_cost import RelativeFactors
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.ranking import ItemRanking

MEAN_FACTOR = 1.0
"""Relative factor of an engine of mean speed."""


@dataclass(frozen=True, slots=True)
class SpeedOrder:
    """Items in the order in which they get slots at an engine.

    `endangered` would be late there, but not at an engine of mean speed.
    """

    preferred: list[ItemProgress]
    endangered: list[ItemProgress] = field(default_factory=list)


def order_for(
    now: float,
    factor: float,
    ordered: list[ItemProgress],
    ranking: ItemRanking,
    *,
    is_late_turn: bool = False,
) -> SpeedOrder:
    """Returns the order of items at an engine with a relative factor.

    Args:
        now: this process's clock, in seconds.
        factor: the relative factor of the engine.
        ordered: the items that may start, in order of rank.
        ranking: forecasts the items.
        is_late_turn: whether a late item that is first stays first (`starvation_guard`).
    """
    if factor == MEAN_FACTOR or not ordered:
        return SpeedOrder(ordered)
    if is_late_turn and ranking.is_late(ordered[0]):
        rest = order_for(now, factor, ordered[1:], ranking)
        return SpeedOrder([ordered[0], *rest.preferred], rest.endangered)
    differing = [
        item
        for item in ordered
        if meets_due_time(now, item, factor, ranking)
        != meets_due_time(now, item, MEAN_FACTOR, ranking)
    ]
    keys = {item.key for item in differing}
    others = [item for item in ordered if item.key not in keys]
    if factor < MEAN_FACTOR:
        return SpeedOrder([*differing, *others])
    return SpeedOrder(others, differing)


def meets_due_time(now: float, item: ItemProgress, factor: float, ranking: ItemRanking) -> bool:
    """Returns whether an item meets its due time at an engine with a relative factor."""
    forecast = ranking.forecast(item)
    time_left = (forecast.due_at - now) * ranking.run_times.duty
    return forecast.remaining_seconds * factor <= time_left


def is_better_served_elsewhere(
    now: float,
    item: ItemProgress,
    engine: Engine,
    engines: Iterable[Engine],
    factors: RelativeFactors,
    ranking: ItemRanking,
) -> bool:
    """Returns whether a faster engine has a free slot at which an item meets its due time.

    Args:
        now: this process's clock, in seconds.
        item: the item.
        engine: the engine that has a slot for it.
        engines: the engines of its service that accept items.
        factors: their relative factors.
        ranking: forecasts the item.
    """
    own_factor = factors.get(engine.record.engine_id, MEAN_FACTOR)
    for other in engines:
        factor = factors.get(other.record.engine_id, MEAN_FACTOR)
        if factor >= own_factor or other.in_flight(now) >= other.slots:
            continue
        if meets_due_time(now, item, factor, ranking):
            return True
    return False
