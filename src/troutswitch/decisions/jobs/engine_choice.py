"""Rule: at which engine does an item start where no coordinator grants slots?

Inputs: the engines that are listed and usable, with this daemon's counts of what they have and the
counts that peers reported; the item's tokens and the age of its job; this daemon's part of all
open items, from 0 to 1.

The rule: of the engines of the item's service that have a free slot by the capacity policy, memory
for the item, and no recent rejection or failure, the one with the least load, engines of this zone
first. In one round a daemon takes only its own part of the free slots.

Why: without a coordinator all daemons see the same free slots at once. The parts keep them from
filling each slot several times, and the noise in the cost keeps them from choosing the same
engine. docs/POLICY.md, "What bound (untouched code)", has what happened without them.
"""

import random
from collections.abc import Callable

from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.placement import batch_cost
from troutswitch.decisions.forwarding.routes import RouteTable, choose_service
from troutswitch.decisions.jobs.batch_capacity import (
    BatchCapacityPolicy,
    has_cache_space,
    own_share_of,
)
from troutswitch.decisions.jobs.due_times import completion_target
from troutswitch.decisions.jobs.item_retries import StartableItem

CHOICE_NOISE = 0.1
"""Most that is added to an engine's cost at random; a cost of 1 means that no slot is free."""


def accepts_items(now: float, engine: Engine) -> bool:
    """Returns whether an engine has not lately rejected items as full, or failed."""
    return now >= max(engine.full_until, engine.ejected_until)


class EngineChoice:
    """Chooses engines by their free slots, and counts what this round has started there."""

    def __init__(
        self,
        routes: RouteTable,
        engines: EngineRegistry,
        capacity: BatchCapacityPolicy,
        zone: str,
        rng: random.Random,
    ) -> None:
        self._routes = routes
        self._engines = engines
        self._capacity = capacity
        self._zone = zone
        self._rng = rng
        self._own_share = 1.0
        self._allowed: dict[tuple[str, int], int] = {}
        """Starts allowed to this daemon in a round, by engine and free slots; drawn once."""
        self._started: dict[str, int] = {}

    def begin_round(self) -> None:
        """Begins a new round: nothing was started in it."""
        self._started = {}
        self._allowed = {}

    def set_own_share(self, own_share: float) -> None:
        """Sets this daemon's part, from 0 to 1, of the free slots of this round."""
        self._own_share = own_share
        self._allowed = {}

    def may_run_at(self, item: StartableItem, engine: Engine) -> bool:
        """Returns whether an engine is of the item's route, and has memory for it."""
        service = engine.record.service
        if all(backend.service != service for backend in item.route.backends):
            return False
        return has_cache_space(engine, item.progress.item.tokens, self._cache_tokens(service))

    def choose(
        self, now: float, item: StartableItem, is_open: Callable[[float, Engine], bool]
    ) -> Engine | None:
        """Chooses an engine with a free slot; None if there is none.

        Args:
            now: this process's clock, in seconds.
            item: what is to start.
            is_open: returns whether items may start at an engine without a granted slot.
        """
        service = choose_service(item.route, self._rng)
        target = completion_target(self._routes, item.entry.manifest)
        age_share = item.entry.age(now) / target if target > 0 else 0.0
        tokens = item.progress.item.tokens
        cache_tokens = self._cache_tokens(service)
        candidates = [
            engine
            for engine in self._engines.usable(now, service)
            if is_open(now, engine)
            and accepts_items(now, engine)
            and has_cache_space(engine, tokens, cache_tokens)
            and self._has_own_slot(now, engine, age_share)
        ]
        return min(candidates, key=lambda engine: self._cost(now, engine), default=None)

    def _cost(self, now: float, engine: Engine) -> float:
        return batch_cost(now, engine, self._zone) + CHOICE_NOISE * self._rng.random()

    def _cache_tokens(self, service: str) -> int:
        configuration = self._routes.configuration
        known = configuration.services.get(service) if configuration is not None else None
        return known.cache_tokens if known is not None else 0

    def _has_own_slot(self, now: float, engine: Engine, age_share: float) -> bool:
        """Returns whether one more of an engine's free slots is this daemon's in this round."""
        engine_id = engine.record.engine_id
        started = self._started.get(engine_id, 0)
        free = self._capacity.free_slots(now, engine, age_share)
        key = (engine_id, free + started)
        if key not in self._allowed:
            self._allowed[key] = own_share_of(free + started, self._own_share, self._rng)
        return free > 0 and started < self._allowed[key]

    def on_started(self, engine_id: str) -> None:
        """An item started at an engine in this round."""
        self._started[engine_id] = self._started.get(engine_id, 0) + 1
