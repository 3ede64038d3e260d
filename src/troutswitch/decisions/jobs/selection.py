"""Chooses which items start next, at which engine, and which ones yield first."""

import random
from collections.abc import Callable, Iterable

from troutswitch.decisions.forwarding.engines import Engine, EngineRegistry
from troutswitch.decisions.forwarding.placement import batch_cost
from troutswitch.decisions.forwarding.routes import RouteTable, choose_service
from troutswitch.decisions.forwarding.types import Route
from troutswitch.decisions.jobs.batch_capacity import BatchCapacityPolicy, has_memory, own_part
from troutswitch.decisions.jobs.index import JobEntry, JobIndex
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.order import (
    BatchCapacity,
    ItemKey,
    ItemOrder,
    ItemProspect,
    ItemRank,
)
from troutswitch.decisions.jobs.run_time_estimate import RunTimeEstimate

TICK_SECONDS = 0.05
"""Interval between looks for work."""
CHOICE_NOISE = 0.1
"""Random part of an engine's cost, so that daemons do not all choose the same one."""
UNRANKED = ItemRank(True, float("inf"))
"""Rank of an item that came after the last look."""


class ItemSelection:
    """Ranks items and finds engines with room for them."""

    def __init__(
        self,
        routes: RouteTable,
        engines: EngineRegistry,
        index: JobIndex,
        rng: random.Random,
        zone: str,
        room: BatchCapacityPolicy,
        order: ItemOrder,
    ) -> None:
        self.pace = RunTimeEstimate()
        self._room = room
        self._order = order
        self._routes = routes
        self._engines = engines
        self._index = index
        self._rng = rng
        self._own_share = 1.0
        self._zone = zone
        self._ranks: dict[ItemKey, ItemRank] = {}
        self._allowed: dict[tuple[str, int], int] = {}
        self._started: dict[str, int] = {}

    # Order.

    def begin_look(
        self, now: float, items: Iterable[ItemProgress], capacity: BatchCapacity
    ) -> None:
        """Begins a new look for work: ranks all items, with a new part of the room."""
        self._started = {}
        self._allowed = {}
        self._ranks = self._order.rank(now, [self._prospect(p) for p in items], capacity)

    def share_room(self, own_share: float) -> None:
        """Sets this daemon's share, from 0 to 1, of the room for what starts next."""
        self._own_share = own_share
        self._allowed = {}

    def _prospect(self, progress: ItemProgress) -> ItemProspect:
        entry = self._index.jobs.get(progress.job_id)
        due = self._due(entry) if entry is not None else float("inf")
        left = self.pace.seconds_left(progress)
        return ItemProspect(progress.key, due, left)

    def _rank(self, progress: ItemProgress) -> ItemRank:
        return self._ranks.get(progress.key, UNRANKED)

    def is_late(self, progress: ItemProgress) -> bool:
        """Returns whether the last look found no way to have the item in time."""
        return self._rank(progress).is_late

    def is_overdue(self, now: float, progress: ItemProgress) -> bool:
        """Returns whether the item's job was due before now."""
        entry = self._index.jobs.get(progress.job_id)
        return entry is not None and now > self._due(entry)

    def most_urgent_first(self, items: Iterable[ItemProgress]) -> list[ItemProgress]:
        """Orders items by how much is lost if they wait."""
        return sorted(items, key=self._rank)

    def least_urgent(self, items: Iterable[ItemProgress], count: int) -> list[ItemProgress]:
        """Returns the items that lose least by being stopped."""
        ordered = self.most_urgent_first(items)
        return ordered[len(ordered) - min(count, len(ordered)) :]

    def _due(self, entry: JobEntry) -> float:
        return entry.seen_at - entry.age_when_seen + self._objective(entry)

    def _objective(self, entry: JobEntry) -> float:
        route = self._routes.named(entry.manifest.route)
        return route.completion_target if route is not None else 0.0

    # Engines.

    def may_run_at(self, route: Route, progress: ItemProgress, engine: Engine) -> bool:
        """Returns whether an engine is of the item's route, and has memory for it."""
        service = engine.record.service
        if all(backend.service != service for backend in route.backends):
            return False
        return has_memory(engine, progress.item.tokens, self._memory(service))

    def choose(
        self,
        now: float,
        route: Route,
        progress: ItemProgress,
        entry: JobEntry,
        is_open: Callable[[float, Engine], bool],
    ) -> Engine | None:
        """Chooses the open engine with most room, any of those that are alike."""
        service = choose_service(route, self._rng)
        objective = self._objective(entry)
        age_share = entry.age(now) / objective if objective > 0 else 0.0
        memory = self._memory(service)
        open_engines = [
            engine
            for engine in self._engines.usable(now, service)
            if is_open(now, engine)
            and now >= max(engine.full_until, engine.ejected_until)
            and has_memory(engine, progress.item.tokens, memory)
            and self._may_start(now, engine, age_share)
        ]
        if not open_engines:
            return None
        return min(
            open_engines,
            key=lambda s: batch_cost(now, s, self._zone) + CHOICE_NOISE * self._rng.random(),
        )

    def _memory(self, service: str) -> int:
        configuration = self._routes.configuration
        known = configuration.services.get(service) if configuration is not None else None
        return known.cache_tokens if known is not None else 0

    def _may_start(self, now: float, engine: Engine, age_share: float) -> bool:
        """Returns whether this daemon's part of an engine's room takes one more in this look."""
        engine_id = engine.record.engine_id
        started = self._started.get(engine_id, 0)
        free = self._room.free(now, engine, age_share)
        key = (engine_id, free + started)
        if key not in self._allowed:
            self._allowed[key] = own_part(free + started, self._own_share, self._rng)
        return free > 0 and started < self._allowed[key]

    def on_started(self, engine_id: str) -> None:
        """Takes a start off what this look may still start there."""
        self._started[engine_id] = self._started.get(engine_id, 0) + 1
