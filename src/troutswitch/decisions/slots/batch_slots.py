"""Deals the free slots of a group of engines to the daemons that have batch items to start.

Daemons whose items can be in time come first, drawn by how many such items wait there; now and
then one that has only late items has a turn.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.daemons.messages import engine_key
from troutswitch.decisions.forwarding.engines import Engine
from troutswitch.decisions.jobs.batch_capacity import BatchCapacityPolicy
from troutswitch.decisions.slots.ledger import Holder, SlotLedger
from troutswitch.decisions.slots.messages import WaitingItems

ASSIGN_SECONDS = 0.02
"""Interval between looks for free slots while items wait: one event of an engine's stream, so a
slot is idle for about that long."""
NEAR_WEIGHT = 3
"""Weight of an item that waits at a daemon in the engine's zone; elsewhere it is 1."""
LATE_TURN = 8
"""One place in so many goes to a daemon that has only items that will be late."""
SELF = ""
"""Stands for this daemon among those that hold or want places."""


@dataclass(frozen=True, slots=True)
class BatchGrant:
    """Places at an engine for a daemon's items."""

    daemon: str
    engine: Engine
    count: int


@dataclass(slots=True)
class _Demand:
    """Items that still want a place at one engine, by daemon."""

    in_time: dict[str, int]
    late: dict[str, int]


class BatchSlotAssigner:
    """Chooses who gets which free slot; implements no grant itself."""

    def __init__(
        self,
        zone: str,
        ledger: SlotLedger,
        own_waiting: Callable[[], WaitingItems],
        room: BatchCapacityPolicy,
        rng: random.Random,
    ) -> None:
        self._zone = zone
        self._ledger = ledger
        self._own_waiting = own_waiting
        self._room = room
        self._rng = rng
        self._deal_at = float("-inf")
        self._own_granted = 0
        self._places = 0

    def next_due(self) -> float:
        """Returns when there is something to deal."""
        return self._deal_at + ASSIGN_SECONDS if self._is_wanted() else float("inf")

    def is_due(self, now: float) -> bool:
        """Returns whether it is time to look for free slots."""
        return now >= self._deal_at + ASSIGN_SECONDS

    def _is_wanted(self) -> bool:
        own = self._own_waiting()
        if own.in_time or own.late:
            return True
        return any(h.waiting_items or h.late_items for h in self._ledger.holders.values())

    def deal(self, now: float, groups: dict[str, list[Engine]]) -> list[BatchGrant]:
        """Deals the free slots of some groups, given with their sound engines."""
        self._deal_at = now
        self._own_granted = 0
        if not self._is_wanted():
            return []
        grants: list[BatchGrant] = []
        for engines in groups.values():
            grants += self._assign_group(now, engines)
        return grants

    def _assign_group(self, now: float, engines: list[Engine]) -> list[BatchGrant]:
        grants: list[BatchGrant] = []
        for engine in sorted(engines, key=lambda s: s.in_flight(now) / s.slots):
            chosen = self._choose(engine, self._room.free(now, engine, 0.0))
            self._own_granted += chosen.get(SELF, 0)
            grants += [BatchGrant(name, engine, count) for name, count in chosen.items()]
        return grants

    def _choose(self, engine: Engine, places: int) -> dict[str, int]:
        """Returns who gets so many places at an engine."""
        chosen: dict[str, int] = {}
        demand = self._demand(engine) if places > 0 else _Demand({}, {})
        for _ in range(places):
            name = self._draw(demand, engine)
            if name is None:
                break
            chosen[name] = chosen.get(name, 0) + 1
        return chosen

    def _draw(self, demand: _Demand, engine: Engine) -> str | None:
        """Draws the daemon that gets the next place, and takes the place off its demand."""
        is_turn = (self._places + 1) % LATE_TURN == 0
        waiting = demand.late if demand.late and (is_turn or not demand.in_time) else demand.in_time
        if not waiting:
            return None
        self._places += 1
        weights = [count * self._weight(name, engine) for name, count in waiting.items()]
        name = self._rng.choices(list(waiting), weights)[0]
        waiting[name] -= 1
        if waiting[name] <= 0:
            del waiting[name]
        return name

    def _demand(self, engine: Engine) -> _Demand:
        demand = _Demand({}, {})
        self._add(demand, SELF, self._own_waiting(), self._own_granted)
        for name, holder in self._ledger.holders.items():
            if self._may_take(holder, engine):
                waiting = WaitingItems(holder.waiting_items, holder.late_items)
                self._add(demand, name, waiting, holder.batch_on_the_way)
        return demand

    @staticmethod
    def _may_take(holder: Holder, engine: Engine) -> bool:
        if not holder.waiting_items and not holder.late_items:
            return False
        return engine_key(engine.record.engine_id) not in holder.unusable

    @staticmethod
    def _add(demand: _Demand, name: str, waiting: WaitingItems, given: int) -> None:
        """Adds a daemon's items but for those that were given a place already."""
        in_time = waiting.in_time - given
        late = waiting.late - max(0, -in_time)
        if in_time > 0:
            demand.in_time[name] = in_time
        if late > 0:
            demand.late[name] = late

    def _weight(self, name: str, engine: Engine) -> int:
        zone = self._zone if name == SELF else self._ledger.holders[name].zone
        return NEAR_WEIGHT if zone == engine.record.zone else 1
