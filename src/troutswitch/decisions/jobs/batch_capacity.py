"""How much of an engine batch items may take, so that online requests find room.

Engines know no priorities and admit in the order of arrival. An item gives its slot back
only by being stopped, which takes a few milliseconds once somebody asks for the slot.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from troutswitch.decisions.forwarding.engines import Engine

MEMORY_SHARE = 0.85
"""Share of an engine's memory that this daemon's own requests may fill with a batch item."""


class BatchCapacityPolicy(Protocol):
    """Tells how many items may start at an engine, and how many must stop."""

    def free(self, now: float, engine: Engine, age_share: float) -> int:
        """Returns how many more items the engine may take from all daemons together.

        Args:
            now: this process's clock, in seconds.
            engine: the engine.
            age_share: age of the item's job, in its objectives.
        """
        ...

    def surplus(self, now: float, engine: Engine) -> int:
        """Returns how many items all daemons together should stop for online requests."""
        ...


@dataclass(frozen=True, slots=True)
class ShareCapacity:
    """Room by shares of the slots: the baseline.

    A job whose time is less than `pressing_age` of its objective gone is `relaxed`, and
    one past its objective is again, as haste no longer helps it; between, it is
    `pressing`. Beyond `yield_share` of all requests an item is stopped.
    """

    relaxed: float = 0.85
    pressing: float = 0.92
    pressing_age: float = 0.35
    yield_share: float = 0.95

    def free(self, now: float, engine: Engine, age_share: float) -> int:
        """Returns how many more items fit the share of a job of that age."""
        is_pressing = self.pressing_age <= age_share <= 1.0
        share = self.pressing if is_pressing else self.relaxed
        return max(0, max(1, int(engine.slots * share)) - engine.in_flight(now))

    def surplus(self, now: float, engine: Engine) -> int:
        """Returns how many items stand above the share from which they yield."""
        return _surplus(now, engine, int(engine.slots * self.yield_share))


@dataclass(frozen=True, slots=True)
class SlotCapacity:
    """Room by whole slots: items fill all but `reserve` of them, and yield when asked."""

    reserve: int = 0

    def free(self, now: float, engine: Engine, age_share: float) -> int:
        """Returns the slots that are free beyond the reserve."""
        most = max(1, engine.slots - self.reserve)
        return max(0, most - engine.in_flight(now))

    def surplus(self, now: float, engine: Engine) -> int:
        """Returns how many items hold slots for which online requests wait."""
        return _surplus(now, engine, engine.slots)


def _surplus(now: float, engine: Engine, most: int) -> int:
    if engine.online() == 0:
        return 0
    return max(0, min(engine.in_flight(now) - most, engine.batch()))


BATCH_CAPACITY_POLICIES: dict[str, Callable[[], BatchCapacityPolicy]] = {
    "shares": ShareCapacity,
    "slots": SlotCapacity,
}
"""Room policies by name."""


def has_memory(engine: Engine, tokens: int, cache_tokens: int) -> bool:
    """Returns whether an item of some tokens fits the engine's memory, as far as known."""
    if cache_tokens <= 0:
        return True
    return engine.tokens_in_flight + tokens <= cache_tokens * MEMORY_SHARE


def own_part(count: int, part: float, rng: random.Random) -> int:
    """Returns this daemon's part of a count, rounded at random so that parts add up.

    Daemons hear of each other's steps late. If each took all the room it sees, all
    would start, and then all would stop.
    """
    exact = count * part
    whole = int(exact)
    return whole + (rng.random() < exact - whole)
