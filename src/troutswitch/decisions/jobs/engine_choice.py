"""Rule: at which engine does an item start where no coordinator grants slots?

Inputs: the engines that are listed and usable, with the requests and items in flight there by this
daemon's own counts and the counts that peers reported; the item's tokens and the age of its job;
this daemon's share of all open items, from 0 to 1.

The rule: candidates are the engines of the item's service that have a free slot by the capacity
policy, cache space for the item, and no recent rejection or failure. The engine with the lowest
cost is chosen, by load and zone (`batch_cost`). In paced services, an idle connection to an engine
of this zone saves `CONNECTION_COST`. In one round a daemon uses only its own share of the free
slots.

Why: without a coordinator all daemons see the same free slots at the same time. The shares keep
them from filling each slot several times, and the noise in the cost keeps them from choosing the
same engine. docs/POLICY.md, "What bound (untouched code)", describes what happened without them.
"""

import random
from collections.abc import Callable

from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engine_cost import CONNECTION_COST
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.placement import batch_cost
from troutswitch.decisions.forwarding.routes import RouteTable, choose_service
from troutswitch.decisions.jobs.batch_capacity import (
    BatchCapacityPolicy,
    exceeds_share,
    has_cache_space,
    own_share_of,
    peer_tokens,
)
from troutswitch.decisions.jobs.due_times import completion_target
from troutswitch.decisions.jobs.item_retries import StartableItem
from troutswitch.decisions.jobs.item_sizes import ItemSizes
from troutswitch.decisions.jobs.space_reservation import LARGE_SHARE, LargeItem

CHOICE_NOISE = 0.1
"""Upper bound of the random addition to an engine's cost; at a cost of 1 no slot is free."""


def accepts_items(now: float, engine: Engine) -> bool:
    """Returns whether an engine has neither rejected an item as full nor failed recently."""
    return now >= max(engine.full_until, engine.ejected_until)


class EngineChoice:
    """Chooses engines by their free slots, and counts the starts of the current round."""

    def __init__(
        self,
        routes: RouteTable,
        engines: EngineRegistry,
        capacity: BatchCapacityPolicy,
        zone: str,
        rng: random.Random,
        counts_peer_tokens: bool = False,
    ) -> None:
        self._routes = routes
        self._sizes = ItemSizes(routes)
        self._engines = engines
        self._capacity = capacity
        self._zone = zone
        self._rng = rng
        self._counts_peer_tokens = counts_peer_tokens
        self._own_share = 1.0
        self._max_starts: dict[tuple[str, int], int] = {}
        """Most starts of this daemon in a round, by engine and free slots; each drawn once."""
        self._started: dict[str, int] = {}

    def begin_round(self) -> None:
        """Resets the counts of starts for a new round."""
        self._started = {}
        self._max_starts = {}

    def set_own_share(self, own_share: float) -> None:
        """Sets this daemon's share of the free slots, from 0 to 1, for this round."""
        self._own_share = own_share
        self._max_starts = {}

    def may_run_at(self, item: StartableItem, engine: Engine) -> bool:
        """Returns whether an engine belongs to an item's route and has cache space for it."""
        service = engine.record.service
        if all(backend.service != service for backend in item.route.backends):
            return False
        return self._has_cache_space(engine, item.progress.item.tokens)

    def services_of(self, item: StartableItem) -> frozenset[str]:
        """Returns the services whose engines an item may run at and can hold it."""
        return self._sizes.services_that_hold(item.route, item.progress.item.tokens)

    def large_item(self, now: float, item: StartableItem) -> LargeItem | None:
        """Returns an item with the engines that can hold it; None if it takes little of each."""
        tokens = item.progress.item.tokens
        services = [
            service
            for service in self.services_of(item)
            if self._sizes.exceeds(service, tokens, LARGE_SHARE)
        ]
        if not services:
            return None
        engines = [engine for service in services for engine in self._engines.usable(now, service)]
        return LargeItem(item.progress.key, tuple(engines))

    def tokens_at(self, engine: Engine) -> float:
        """Returns the tokens of this daemon at an engine, and an estimate of those of others."""
        return engine.tokens_in_flight + self._peer_tokens(engine, 0)

    def choose(
        self, now: float, item: StartableItem, may_start_at: Callable[[float, Engine], bool]
    ) -> Engine | None:
        """Chooses an engine with a free slot; None if there is none.

        Args:
            now: this process's clock, in seconds.
            item: the item to start.
            may_start_at: returns whether the item may start at an engine without a granted slot.
        """
        service = choose_service(item.route, self._rng)
        target = completion_target(self._routes, item.entry.manifest)
        age_share = item.entry.age(now) / target if target > 0 else 0.0
        tokens = item.progress.item.tokens
        candidates = [
            engine
            for engine in self._engines.usable(now, service)
            if may_start_at(now, engine)
            and accepts_items(now, engine)
            and self._has_cache_space(engine, tokens)
            and self._has_own_slot(now, engine, age_share)
        ]
        return min(candidates, key=lambda engine: self._cost(now, engine), default=None)

    def _has_cache_space(self, engine: Engine, tokens: int) -> bool:
        cache_tokens = self._sizes.cache_tokens(engine.record.service)
        counts_peers = self._counts_peer_tokens or exceeds_share(tokens, cache_tokens)
        peers = self._peer_tokens(engine, tokens) if counts_peers else 0
        return has_cache_space(engine, tokens, cache_tokens, peers)

    def _peer_tokens(self, engine: Engine, tokens: int) -> int:
        """Returns the tokens that peers are estimated to hold at an engine."""
        means = self._engines.mean_tokens
        return peer_tokens(engine, means.online or tokens, means.batch or tokens)

    def _cost(self, now: float, engine: Engine) -> float:
        cost = batch_cost(now, engine, self._zone) + CHOICE_NOISE * self._rng.random()
        return cost - (
            CONNECTION_COST if self._engines.is_connected(now, engine, self._zone) else 0.0
        )

    def _has_own_slot(self, now: float, engine: Engine, age_share: float) -> bool:
        """Returns whether this daemon's share of an engine's free slots allows one more start."""
        engine_id = engine.record.engine_id
        started = self._started.get(engine_id, 0)
        free = self._capacity.free_slots(now, engine, age_share)
        key = (engine_id, free + started)
        if key not in self._max_starts:
            self._max_starts[key] = own_share_of(free + started, self._own_share, self._rng)
        return free > 0 and started < self._max_starts[key]

    def on_started(self, engine_id: str) -> None:
        """Counts a start at an engine in this round."""
        self._started[engine_id] = self._started.get(engine_id, 0) + 1
