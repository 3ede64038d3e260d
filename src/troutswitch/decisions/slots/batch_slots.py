"""Decides which daemons get the free slots of a group of engines for their batch items.

The coordinator of the group runs this every `ASSIGN_SECONDS` while items wait at any daemon.

Inputs: free slots by the coordinator's counts (some 10 ms old) and the policy for batch capacity;
for each daemon, its items that could start now and meet their job's objective, and those that will
miss it, from its newest report (up to 0.5 s old), less the slots granted since; engines that a
daemon cannot use.

Rule: slots are assigned engine by engine, the fastest engine first, and the least loaded one first
of engines that are equally fast or whose speed is not known (`forwarding/engine_cost.py`). Each
slot goes to a daemon drawn at random, weighted by its number of items that can still meet their
objective and by `SAME_ZONE_WEIGHT` if it is in the engine's zone. Every `LATE_SLOT_INTERVAL`th slot
goes to a daemon drawn by its number of late items, and so does every slot if no other items wait.

Why: late items come second, because starting them earlier does not restore a missed objective.
Their reserved slots keep them from starving. Weighting by the number of items lets the jobs of all
daemons progress at the same rate.

Measured in docs/POLICY.md: late items second in "Rounds" (round 7), coordinators as a whole in
"Rounds with coordinators of slots" and "Ablation". `tests/proofs/test_starvation.py` shows that
late items finish.
"""

import random
from dataclasses import dataclass, field

from troutswitch.daemons.messages import engine_key
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engine_cost import IgnoredSpeed, SpeedPolicy
from troutswitch.decisions.jobs.batch_capacity import BatchCapacityPolicy
from troutswitch.decisions.slots.ledger import Holder, SlotLedger
from troutswitch.decisions.slots.messages import OwnItems, WaitingItems

ASSIGN_SECONDS = 0.02
"""Interval between checks for free slots while items wait: about the time between two events of an
engine's stream, so a slot stays idle for about that long."""
SAME_ZONE_WEIGHT = 3
"""Weight of an item that waits at a daemon in the engine's zone; other items have weight 1."""
LATE_SLOT_INTERVAL = 8
"""One slot out of this many goes to a daemon that has late items."""
SELF = ""
"""Identifies this daemon among the daemons that have or want slots."""


@dataclass(frozen=True, slots=True)
class BatchAssignment:
    """Slots at an engine that are assigned to a daemon's items."""

    daemon: str
    engine: Engine
    count: int


@dataclass(slots=True)
class _Demand:
    """Items that still need a slot at one engine, by daemon."""

    in_time: dict[str, int] = field(default_factory=dict)
    late: dict[str, int] = field(default_factory=dict)

    def add(self, name: str, waiting: WaitingItems, granted: int) -> None:
        """Adds a daemon's items, less those that have been granted a slot already."""
        in_time = waiting.in_time - granted
        late = waiting.late - max(0, -in_time)
        if in_time > 0:
            self.in_time[name] = in_time
        if late > 0:
            self.late[name] = late


class BatchSlotAssigner:
    """Assigns free slots to daemons. The coordinator sends the grants."""

    def __init__(
        self,
        zone: str,
        ledger: SlotLedger,
        own_items: OwnItems,
        capacity: BatchCapacityPolicy,
        rng: random.Random,
        speed: SpeedPolicy | None = None,
    ) -> None:
        self._zone = zone
        self._ledger = ledger
        self._own_items = own_items
        self._capacity = capacity
        self._rng = rng
        self._speed = speed or IgnoredSpeed()
        self._assigned_at = float("-inf")
        self._own_granted = 0
        """Slots assigned to this daemon's own items in the current round."""
        self._slots_assigned = 0
        """Slots assigned so far; every `LATE_SLOT_INTERVAL`th of them goes to late items."""

    # Timers.

    def next_due(self) -> float:
        """Returns when to assign slots next, in seconds; infinite while no items wait."""
        return self._assigned_at + ASSIGN_SECONDS if self._has_waiting_items() else float("inf")

    def is_due(self, now: float) -> bool:
        """Returns whether it is time to check for free slots."""
        return now >= self._assigned_at + ASSIGN_SECONDS

    def _has_waiting_items(self) -> bool:
        own = self._own_items.waiting
        if own.in_time or own.late:
            return True
        return any(h.waiting_items or h.late_items for h in self._ledger.holders.values())

    # Assigning.

    def assign(self, now: float, groups: dict[str, list[Engine]]) -> list[BatchAssignment]:
        """Assigns the free slots of `groups`, which maps group names to usable engines."""
        self._assigned_at = now
        self._own_granted = 0
        if not self._has_waiting_items():
            return []
        assignments: list[BatchAssignment] = []
        for engines in groups.values():
            assignments += self._assign_group(now, engines)
        return assignments

    def _assign_group(self, now: float, engines: list[Engine]) -> list[BatchAssignment]:
        assignments: list[BatchAssignment] = []
        factors = self._speed.factors(now, engines)

        def fastest_first(engine: Engine) -> tuple[float, float]:
            factor = factors.get(engine.record.engine_id, 1.0)
            return factor, engine.in_flight(now) / engine.slots

        for engine in sorted(engines, key=fastest_first):
            counts = self._assign_engine(engine, self._capacity.free_slots(now, engine, 0.0))
            self._own_granted += counts.get(SELF, 0)
            assignments += [BatchAssignment(name, engine, n) for name, n in counts.items()]
        return assignments

    def _assign_engine(self, engine: Engine, slots: int) -> dict[str, int]:
        """Returns how many of an engine's free slots each daemon gets."""
        counts: dict[str, int] = {}
        demand = self._demand(engine) if slots > 0 else _Demand()
        for _ in range(slots):
            name = self._draw(demand, engine)
            if name is None:
                break
            counts[name] = counts.get(name, 0) + 1
        return counts

    def _draw(self, demand: _Demand, engine: Engine) -> str | None:
        """Draws the daemon that gets the next slot, and reduces its demand by one."""
        is_late_slot = (self._slots_assigned + 1) % LATE_SLOT_INTERVAL == 0
        is_for_late = bool(demand.late) and (is_late_slot or not demand.in_time)
        waiting = demand.late if is_for_late else demand.in_time
        if not waiting:
            return None
        self._slots_assigned += 1
        weights = [count * self._weight(name, engine) for name, count in waiting.items()]
        name = self._rng.choices(list(waiting), weights)[0]
        waiting[name] -= 1
        if waiting[name] <= 0:
            del waiting[name]
        return name

    def _weight(self, name: str, engine: Engine) -> int:
        zone = self._zone if name == SELF else self._ledger.holders[name].zone
        return SAME_ZONE_WEIGHT if zone == engine.record.zone else 1

    def _demand(self, engine: Engine) -> _Demand:
        demand = _Demand()
        demand.add(SELF, self._own_items.waiting, self._own_granted)
        for name, holder in self._ledger.holders.items():
            if _can_use(holder, engine):
                waiting = WaitingItems(holder.waiting_items, holder.late_items)
                demand.add(name, waiting, holder.unreported_batch_grants)
        return demand


def _can_use(holder: Holder, engine: Engine) -> bool:
    if not holder.waiting_items and not holder.late_items:
        return False
    return engine_key(engine.record.engine_id) not in holder.unusable
