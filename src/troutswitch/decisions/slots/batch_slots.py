"""Decides which daemons get the free slots of a group of engines for their batch items.

The coordinator of the group runs this every `ASSIGN_SECONDS` while items wait at any daemon.

Inputs: free slots by the coordinator's counts (some 10 ms old) and the policy for batch capacity;
for each daemon and service, its items that could start now and meet their job's objective, and
those that will miss it, from its newest report (up to 0.5 s old), less the slots granted since;
engines that a daemon cannot use. A daemon of an earlier version does not report by service: each of
its items counts at every service, and a slot of one service uses up no item of another.

Rule: slots are assigned engine by engine, the fastest engine first, and the least loaded one first
of engines that are equally fast or whose speed is not known (`forwarding/engine_cost.py`). In
a paced service the tenant whose items get a slot is chosen first (`tenant_turns.py`), and only its
items count for the draw; items of a daemon that reports no tenants count under an empty name. Each
slot goes to a daemon drawn at random, weighted by its number of items that can still meet their
objective and by `SAME_ZONE_WEIGHT` if it is in the engine's zone. Every `LATE_SLOT_INTERVAL`th slot
goes to a daemon drawn by its number of late items, and so does every slot if no other items wait;
in a paced service the slots are counted for each tenant, and a daemon is assigned no more of them
in a round than it has waiting items.

A daemon that left a granted slot of an engine unused gets none there for a while, and longer if
other engines have free slots for it (`unused_grants.py`).

An engine that a daemon reserves for a large item is assigned to no other daemon
(`jobs/space_reservation.py`); of several daemons, to the first that reserved it here.

Why: late items come second, because starting them earlier does not restore a missed objective.
Their reserved slots keep them from starving. Weighting by the number of items lets the jobs of all
daemons progress at the same rate.

Measured in docs/POLICY.md: late items second in "Rounds" (round 7), coordinators as a whole in
"Rounds with coordinators of slots" and "Ablation". `tests/proofs/test_starvation.py` shows that
late items finish.
"""

import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from troutswitch.daemons.messages import NO_ENGINE, ServiceItems, TenantItems, engine_key
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engine_cost import IgnoredSpeed, SpeedPolicy
from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.jobs.batch_capacity import BatchCapacityPolicy
from troutswitch.decisions.jobs.waiting_services import items_at
from troutswitch.decisions.slots.ledger import Holder, SlotLedger
from troutswitch.decisions.slots.messages import OwnItems, WaitingItems
from troutswitch.decisions.slots.tenant_turns import TenantShare, TenantTurns
from troutswitch.decisions.tenants.types import NO_TENANT

ASSIGN_SECONDS = 0.02
"""Interval between checks for free slots while items wait: about the time between two events of an
engine's stream, so a slot stays idle for about that long."""
SAME_ZONE_WEIGHT = 3
"""Weight of an item that waits at a daemon in the engine's zone; other items have weight 1."""
LATE_SLOT_INTERVAL = 8
"""One slot out of this many goes to a daemon that has late items."""
SELF = ""
"""Identifies this daemon among the daemons that have or want slots."""
_NOTHING_ASSIGNED: Counter[str] = Counter()


@dataclass(frozen=True, slots=True)
class BatchAssignment:
    """Slots at an engine that are assigned to a daemon's items.

    `tenant` names the tenant whose items they are; None leaves the choice to the daemon. `share` is
    set if tenants compete for the slots.
    """

    daemon: str
    engine: Engine
    count: int
    tenant: str | None = None
    share: TenantShare | None = None


@dataclass(slots=True)
class _Demand:
    """Items that still need a slot at one engine, by daemon."""

    in_time: dict[str, int] = field(default_factory=dict)
    late: dict[str, int] = field(default_factory=dict)

    def add(self, name: str, waiting: WaitingItems) -> None:
        """Adds a daemon's items that have not been granted a slot."""
        if waiting.in_time > 0:
            self.in_time[name] = waiting.in_time
        if waiting.late > 0:
            self.late[name] = waiting.late

    def limit_to(self, total: "_Demand") -> "_Demand":
        """Returns this demand without the items beyond the total demand of their daemon."""
        return _Demand(
            {
                name: min(n, total.in_time[name])
                for name, n in self.in_time.items()
                if name in total.in_time
            },
            {name: min(n, total.late[name]) for name, n in self.late.items() if name in total.late},
        )


@dataclass(slots=True)
class _TenantDemand:
    """Items that still need a slot at one engine, of all tenants and by tenant.

    The total is less than the sum if a daemon can't run all of its items at once.
    """

    total: _Demand
    tenants: dict[str, _Demand] = field(default_factory=dict)

    def can_use(self, tenant: str) -> bool:
        """Returns whether an item of a tenant needs a slot at the engine."""
        own = self.tenants.get(tenant)
        if own is None:
            return False
        return any(name in self.total.in_time for name in own.in_time) or any(
            name in self.total.late for name in own.late
        )


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
        is_paced: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self._is_paced = is_paced
        self._turns = TenantTurns()
        self._assigned_to: Counter[tuple[str, str]] = Counter()
        """Slots of paced services assigned in the current round, by daemon and tenant. The ledger
        counts them only after the round."""
        self._zone = zone
        self._ledger = ledger
        self._own_items = own_items
        self._capacity = capacity
        self._rng = rng
        self._speed = speed or IgnoredSpeed()
        self._assigned_at = float("-inf")
        self._assigned_at_service: defaultdict[str, Counter[str]] = defaultdict(Counter)
        """Slots assigned in the current round, by daemon and service."""
        self._free_engines: list[Engine] = []
        """Engines that had free slots when the current round began."""
        self._waiting: list[str] = []
        """The daemons that have waiting items in the current round."""
        self._reserved_by: dict[int, str] = {}
        """The daemon that has reserved an engine, by the engine's key."""
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
        self._assigned_at_service.clear()
        self._assigned_to.clear()
        if not self._has_waiting_items():
            self._turns.update(())
            return []
        self._update_waiting()
        if any(
            self._is_paced(e.record.service) for engines in groups.values() for e in engines[:1]
        ):
            self._turns.update(self._waiting_tenants())
        self._update_reservations()
        self._free_engines = [
            engine
            for engine in itertools.chain.from_iterable(groups.values())
            if self._capacity.free_slots(now, engine, 0.0) > 0
        ]
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
            assignments += self._assign_engine(now, engine)
        return assignments

    def _assign_engine(self, now: float, engine: Engine) -> list[BatchAssignment]:
        """Assigns an engine's free slots to daemons."""
        free_slots = self._capacity.free_slots(now, engine, 0.0)
        if free_slots <= 0:
            return []
        names = [name for name in self._waiting if not self._is_passed_over(now, name, engine)]
        if self._is_paced(engine.record.service):
            assignments = self._assign_fairly(engine, free_slots, names)
        else:
            assignments = self._assign_drawn(engine, free_slots, self._demand(engine, names))
        for assignment in assignments:
            at_service = self._assigned_at_service[assignment.daemon]
            at_service[engine.record.service] += assignment.count
        return assignments

    def _is_passed_over(self, now: float, name: str, engine: Engine) -> bool:
        """Returns whether a daemon gets no slot of an engine.

        It left one there unused, or another daemon has reserved the engine.
        """
        reserved_by = self._reserved_by.get(engine_key(engine.record.engine_id), name)
        if reserved_by != name:
            return True
        unused = self._ledger.unused
        if unused.is_paused(now, name, engine.record.engine_id):
            return True
        if not unused.is_unused(now, name, engine.record.engine_id):
            return False
        return any(
            not unused.is_unused(now, name, other.record.engine_id) and self._needs(name, other)
            for other in self._free_engines
        )

    def _update_waiting(self) -> None:
        own = self._own_items.waiting
        self._waiting = [SELF] if own.in_time or own.late else []
        self._waiting += [
            name
            for name, holder in self._ledger.holders.items()
            if holder.waiting_items or holder.late_items
        ]

    def _update_reservations(self) -> None:
        """Updates which engines are reserved; a daemon keeps one that it has reserved before."""
        own = self._own_items.reserved_engine
        wanted = {SELF: engine_key(own)} if own else {}
        for name, holder in self._ledger.holders.items():
            if holder.reserved != NO_ENGINE:
                wanted[name] = holder.reserved
        kept = {key: name for key, name in self._reserved_by.items() if wanted.get(name) == key}
        self._reserved_by = {key: name for name, key in reversed(wanted.items())} | kept

    def _needs(self, name: str, engine: Engine) -> bool:
        """Returns whether a daemon has items for an engine, apart from slots of this round."""
        demand = self._demand(engine, (name,))
        return bool(demand.in_time or demand.late)

    def _assign_drawn(self, engine: Engine, slots: int, demand: _Demand) -> list[BatchAssignment]:
        """Assigns slots of an engine to daemons that are drawn at random."""
        counts: dict[str, int] = {}
        for _ in range(slots):
            name = self._draw(demand, engine)
            if name is None:
                break
            counts[name] = counts.get(name, 0) + 1
        return [BatchAssignment(name, engine, count) for name, count in counts.items()]

    def _draw(self, demand: _Demand, engine: Engine) -> str | None:
        """Draws the daemon that gets the next slot, and reduces its demand by one."""
        drawn = self._draw_after(self._slots_assigned, demand, engine)
        if drawn is None:
            return None
        self._slots_assigned += 1
        name, waiting = drawn
        _take_one(waiting, name)
        return name

    def _draw_after(
        self, assigned: int, demand: _Demand, engine: Engine
    ) -> tuple[str, dict[str, int]] | None:
        """Draws a daemon after `assigned` slots; returns it with the items that it was drawn by."""
        is_late_slot = (assigned + 1) % LATE_SLOT_INTERVAL == 0
        is_for_late = bool(demand.late) and (is_late_slot or not demand.in_time)
        waiting = demand.late if is_for_late else demand.in_time
        if not waiting:
            return None
        weights = [count * self._weight(name, engine) for name, count in waiting.items()]
        return self._rng.choices(list(waiting), weights)[0], waiting

    def _weight(self, name: str, engine: Engine) -> int:
        zone = self._zone if name == SELF else self._ledger.holders[name].zone
        return SAME_ZONE_WEIGHT if zone == engine.record.zone else 1

    def _demand(
        self, engine: Engine | None, names: Iterable[str], *, counts_round: bool = False
    ) -> _Demand:
        """Returns the items of some daemons that need a slot at an engine, or at any for None.

        With `counts_round`, slots that peers were assigned in this round are subtracted. Own items
        start in the same step, so their slots always are.
        """
        service = engine.record.service if engine is not None else None
        demand = _Demand()
        for name in names:
            holder = self._ledger.holders.get(name)
            if holder is None:
                demand.add(name, self._own_need(service))
            elif engine is None or _can_use(holder, engine):
                demand.add(name, self._need_of(name, holder, service, counts_round=counts_round))
        return demand

    def _own_need(self, service: str | None) -> WaitingItems:
        """Returns this daemon's items that need a slot at a service, or at any for None."""
        assigned = self._assigned_at_service[SELF]
        left = self._own_items.waiting.without(assigned.total())
        rows = self._own_items.waiting_by_service
        if service is None or not rows:
            return left
        return left.limited_to(_items_at(rows, service).without(assigned[service]))

    def _need_of(
        self, name: str, holder: Holder, service: str | None, *, counts_round: bool
    ) -> WaitingItems:
        """Returns a peer's items that need a slot at a service, or at any for None."""
        waiting = WaitingItems(holder.waiting_items, holder.late_items)
        assigned = self._assigned_at_service[name] if counts_round else _NOTHING_ASSIGNED
        if service is None:
            return waiting.without(holder.unreported_batch_grants + assigned.total())
        granted_here = holder.granted_at(service) + assigned[service]
        if not holder.services:
            return waiting.without(granted_here)
        left = waiting.without(holder.unreported_batch_grants + assigned.total())
        return left.limited_to(_items_at(holder.services, service).without(granted_here))

    # Tenants, in paced services.

    def _assign_fairly(
        self, engine: Engine, slots: int, names: Iterable[str]
    ) -> list[BatchAssignment]:
        """Assigns an engine's free slots between tenants, then between their daemons."""
        demand = self._demand_by_tenant(engine, names)
        counts: dict[tuple[str, str], int] = {}
        for _ in range(slots):
            tenant = self._turns.take(demand.can_use)
            if tenant is None:
                break
            key = self._draw_of(tenant, demand, engine), tenant
            counts[key] = counts.get(key, 0) + 1
        return [self._assignment(engine, *key, count) for key, count in counts.items()]

    def _draw_of(self, tenant: str, demand: _TenantDemand, engine: Engine) -> str:
        """Draws the daemon whose item of a tenant gets the slot that the tenant has taken."""
        own = demand.tenants[tenant]
        limited = own.limit_to(demand.total)
        drawn = self._draw_after(self._turns.slots_of(tenant) - 1, limited, engine)
        ensure(drawn is not None, "a tenant without waiting items took a slot")
        assert drawn is not None
        name, waiting = drawn
        is_late = waiting is limited.late
        _take_one(own.late if is_late else own.in_time, name)
        _take_one(demand.total.late if is_late else demand.total.in_time, name)
        return name

    def _assignment(self, engine: Engine, name: str, tenant: str, count: int) -> BatchAssignment:
        self._assigned_to[name, tenant] += count
        share = self._turns.share(tenant)
        competes = bool(tenant) or share.tenants_waiting > 1
        named = tenant if self._rows_of(name) else None
        return BatchAssignment(name, engine, count, named, share if competes else None)

    def _rows_of(self, name: str) -> tuple[TenantItems, ...]:
        """Returns a daemon's waiting items by tenant, as it reported them."""
        if name == SELF:
            return self._own_items.waiting_by_tenant
        return self._ledger.holders[name].tenants

    def _granted_to(self, name: str, tenant: str) -> int:
        assigned = self._assigned_to[name, tenant]
        if name == SELF:
            return assigned
        return assigned + self._ledger.holders[name].granted_to(tenant)

    def _waiting_tenants(self) -> Iterator[str]:
        """Yields the tenants with items that wait at any daemon for a slot not yet granted."""
        total = self._demand(None, self._waiting)
        for name in total.in_time.keys() | total.late.keys():
            for tenant, demand in self._tenants_of(name, total):
                if demand.in_time or demand.late:
                    yield tenant

    def _demand_by_tenant(self, engine: Engine, names: Iterable[str]) -> _TenantDemand:
        demand = _TenantDemand(self._demand(engine, names, counts_round=True))
        for name in dict.fromkeys([*demand.total.in_time, *demand.total.late]):
            for tenant, own in self._tenants_of(name, demand.total):
                merged = demand.tenants.setdefault(tenant, _Demand())
                merged.in_time.update(own.in_time)
                merged.late.update(own.late)
        return demand

    def _tenants_of(self, name: str, total: _Demand) -> Iterator[tuple[str, _Demand]]:
        """Yields a daemon's items that need a slot, by tenant."""
        rows = self._rows_of(name)
        if not rows:
            in_time, late = total.in_time.get(name, 0), total.late.get(name, 0)
            rows = (TenantItems(NO_TENANT, in_time, late),)
        for row in rows:
            demand = _Demand()
            granted = self._granted_to(name, row.tenant) if self._rows_of(name) else 0
            demand.add(name, WaitingItems(row.in_time, row.late).without(granted))
            yield row.tenant, demand


def _items_at(rows: tuple[ServiceItems, ...], service: str) -> WaitingItems:
    """Returns the items that can start at a service, by rows that are not empty."""
    row = items_at(rows, service)
    return WaitingItems(row.in_time, row.late)


def _take_one(waiting: dict[str, int], name: str) -> None:
    """Reduces a daemon's number of waiting items by one."""
    waiting[name] -= 1
    if waiting[name] <= 0:
        del waiting[name]


def _can_use(holder: Holder, engine: Engine) -> bool:
    if not holder.waiting_items and not holder.late_items:
        return False
    return engine_key(engine.record.engine_id) not in holder.unusable
