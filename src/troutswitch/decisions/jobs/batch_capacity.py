"""Rule: how many slots of an engine may batch items use, and how many items must yield?

Inputs: the number of slots of the engine; the requests and items in flight there, from this
daemon's own count, the counts that peers reported and the load that the engine reported; the age
of the item's job as a share of its completion target.

The rule is a policy, `room` of TROUTSWITCH_POLICIES. `slots`, the default, lets items fill all
slots that online requests do not use, and stops items as soon as requests need their slots.
`shares`, the baseline that operators compare it with, keeps a share of the slots free.

Why: engines have no priorities and admit in the order of arrival, so an online request finds a
slot only if items leave one free or stop immediately. Stopping an item takes milliseconds, and the
item resumes after its last whole event. Where this was measured, reserving slots cost more than it
saved: docs/POLICY.md, "Rounds" (1, 4 and 12b) and "Ablation".
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from troutswitch.decisions.forwarding.engine import Engine

MEMORY_SHARE = 0.85
"""Maximum share of an engine's cache that the counted requests and items may fill together, unless
an item takes more by itself. The tokens of other daemons are counted for such an item, and where
the settings name a limit of memory."""


class BatchCapacityPolicy(Protocol):
    """Decides how many items may start at an engine, and how many must stop."""

    def free_slots(self, now: float, engine: Engine, age_share: float) -> int:
        """Returns how many more items may start at the engine, over all daemons.

        Args:
            now: this process's clock, in seconds.
            engine: the engine.
            age_share: age of the item's job, as a share of its completion target.
        """
        ...

    def surplus(self, now: float, engine: Engine) -> int:
        """Returns how many items must stop for online requests, over all daemons."""
        ...


@dataclass(frozen=True, slots=True)
class ShareCapacity:
    """Limits items to a share of the slots; the baseline policy.

    Items of a job whose age is below `urgent_age` (a share of its completion target) may fill the
    share `normal_share`, items of an older job `urgent_share`. Past the target the limit is
    `normal_share` again, since urgency no longer helps. Items stop where requests and items
    together fill more than `yield_share`.
    """

    normal_share: float = 0.85
    urgent_share: float = 0.92
    urgent_age: float = 0.35
    yield_share: float = 0.95

    def free_slots(self, now: float, engine: Engine, age_share: float) -> int:
        """Returns how many more items fit the share for a job of this age."""
        is_urgent = self.urgent_age <= age_share <= 1.0
        share = self.urgent_share if is_urgent else self.normal_share
        return max(0, max(1, int(engine.slots * share)) - engine.in_flight(now))

    def surplus(self, now: float, engine: Engine) -> int:
        """Returns how many items exceed `yield_share`."""
        return _surplus(now, engine, int(engine.slots * self.yield_share))


@dataclass(frozen=True, slots=True)
class SlotCapacity:
    """Lets items fill all slots but `reserve`; they yield to online requests."""

    reserve: int = 0

    def free_slots(self, now: float, engine: Engine, age_share: float) -> int:
        """Returns the slots that are free beyond the reserve."""
        limit = max(1, engine.slots - self.reserve)
        return max(0, limit - engine.in_flight(now))

    def surplus(self, now: float, engine: Engine) -> int:
        """Returns how many items occupy slots that online requests wait for."""
        return _surplus(now, engine, engine.slots)


def _surplus(now: float, engine: Engine, limit: int) -> int:
    if engine.online_count() == 0:
        return 0
    return max(0, min(engine.in_flight(now) - limit, engine.batch_count()))


BATCH_CAPACITY_POLICIES: dict[str, Callable[[], BatchCapacityPolicy]] = {
    "shares": ShareCapacity,
    "slots": SlotCapacity,
}
"""Capacity policies by name."""


def peer_tokens(engine: Engine, mean_online: float, mean_batch: float) -> int:
    """Returns the tokens that other daemons are estimated to hold at an engine.

    Peers report numbers of requests. Their sizes are taken to be this daemon's mean sizes, as all
    daemons serve the same routes.
    """
    return round(engine.peers_online * mean_online + engine.peers_batch * mean_batch)


def has_cache_space(
    engine: Engine, tokens: int, cache_tokens: int, tokens_of_peers: int = 0
) -> bool:
    """Returns whether an item fits into an engine's cache beside the requests there.

    Args:
        engine: the engine.
        tokens: estimated size of the item.
        cache_tokens: size of the engine's cache; 0 if unknown, then every item fits.
        tokens_of_peers: estimate of what other daemons hold there, 0 to count only own requests.
    """
    if cache_tokens <= 0:
        return True
    held = engine.tokens_in_flight + tokens_of_peers
    share = 1.0 if exceeds_share(tokens, cache_tokens) else MEMORY_SHARE
    return held + tokens <= cache_tokens * share


def exceeds_share(tokens: int, cache_tokens: int) -> bool:
    """Returns whether an item takes more than `MEMORY_SHARE` of a cache by itself.

    It may fill the cache to the end, as it could start nowhere otherwise.
    """
    return 0 < cache_tokens * MEMORY_SHARE < tokens


def own_share_of(count: int, share: float, rng: random.Random) -> int:
    """Returns this daemon's share of a count, rounded at random so that shares add up on average.

    Guards against oscillation: daemons learn of each other's starts late. If each filled all free
    slots that it sees, all would start items, and then all would stop them.
    """
    exact = count * share
    whole = int(exact)
    return whole + (rng.random() < exact - whole)
