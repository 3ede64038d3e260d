"""Rule: how many slots of an engine may batch items take, and how many items must yield?

Inputs: the slots of the engine; the requests and items that it has, by this daemon's own count, the
counts that peers reported and the load that the engine reported; the age of the item's job as a
share of its completion target.

The rule is a policy, `room` of TROUTSWITCH_POLICIES. `slots`, the default, lets items fill all
slots that online requests leave, and has items yield as soon as requests need their slots.
`shares`, the baseline that operators compare it with, keeps a share of the slots free.

Why: engines know no priorities and admit in the order of arrival, so an online request finds a
slot only if items leave one or stop at once. To stop an item takes milliseconds, and it resumes
after its last whole event, so a reserve of slots cost more than it saved where this was measured:
docs/POLICY.md, "Rounds" (1, 4 and 12b) and "Ablation".
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from troutswitch.decisions.forwarding.engine import Engine

MEMORY_SHARE = 0.85
"""Share of an engine's cache up to which this daemon's own requests may fill it with an item. What
other daemons have there is not counted."""


class BatchCapacityPolicy(Protocol):
    """Says how many items may start at an engine, and how many must stop."""

    def free_slots(self, now: float, engine: Engine, age_share: float) -> int:
        """Returns how many more items the engine may take from all daemons together.

        Args:
            now: this process's clock, in seconds.
            engine: the engine.
            age_share: age of the item's job, as a share of its completion target.
        """
        ...

    def surplus(self, now: float, engine: Engine) -> int:
        """Returns how many items all daemons together should stop for online requests."""
        ...


@dataclass(frozen=True, slots=True)
class ShareCapacity:
    """Capacity by shares of the slots: the baseline.

    Items of a job whose age is below `pressing_age` (a share of its completion target) may fill
    the share `relaxed`, and those of an older one `pressing`. Past the target it is `relaxed`
    again, since haste no longer helps. Items stop where all requests fill more than
    `yield_share`.
    """

    relaxed: float = 0.85
    pressing: float = 0.92
    pressing_age: float = 0.35
    yield_share: float = 0.95

    def free_slots(self, now: float, engine: Engine, age_share: float) -> int:
        """Returns how many more items fit the share of a job of that age."""
        is_pressing = self.pressing_age <= age_share <= 1.0
        share = self.pressing if is_pressing else self.relaxed
        return max(0, max(1, int(engine.slots * share)) - engine.in_flight(now))

    def surplus(self, now: float, engine: Engine) -> int:
        """Returns how many items are above the share from which they yield."""
        return _surplus(now, engine, int(engine.slots * self.yield_share))


@dataclass(frozen=True, slots=True)
class SlotCapacity:
    """Capacity by whole slots: items fill all but `reserve`, and yield to online requests."""

    reserve: int = 0

    def free_slots(self, now: float, engine: Engine, age_share: float) -> int:
        """Returns the slots that are free beyond the reserve."""
        most = max(1, engine.slots - self.reserve)
        return max(0, most - engine.in_flight(now))

    def surplus(self, now: float, engine: Engine) -> int:
        """Returns how many items have slots for which online requests wait."""
        return _surplus(now, engine, engine.slots)


def _surplus(now: float, engine: Engine, most: int) -> int:
    if engine.online_count() == 0:
        return 0
    return max(0, min(engine.in_flight(now) - most, engine.batch_count()))


BATCH_CAPACITY_POLICIES: dict[str, Callable[[], BatchCapacityPolicy]] = {
    "shares": ShareCapacity,
    "slots": SlotCapacity,
}
"""Capacity policies by name."""


def has_cache_space(engine: Engine, tokens: int, cache_tokens: int) -> bool:
    """Returns whether an item fits into an engine's cache, by what this daemon has there.

    Args:
        engine: the engine.
        tokens: estimated size of the item.
        cache_tokens: size of the engine's cache; 0 if it is not known, which always fits.
    """
    if cache_tokens <= 0:
        return True
    return engine.tokens_in_flight + tokens <= cache_tokens * MEMORY_SHARE


def own_share_of(count: int, part: float, rng: random.Random) -> int:
    """Returns this daemon's part of a count, rounded at random so that the parts add up.

    Guards against oscillation: daemons learn of each other's starts late. If each took all free
    slots that it sees, all would start, and then all would stop.
    """
    exact = count * part
    whole = int(exact)
    return whole + (rng.random() < exact - whole)
