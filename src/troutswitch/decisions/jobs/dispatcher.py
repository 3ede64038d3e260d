"""Rule: which items of this daemon start now, and how many does it report as waiting?

Inputs: the items that may start; the free slots of the fleet and the open items of other daemons,
from digests of coordinators that are at most 2 s old; the slots that a coordinator grants.

The rule: a coordinator grants the slots of an engine to daemons with waiting items, and this daemon
starts its most urgent items in them. A grant to a tenant's items goes to these, and to others only
if none of them can start (`waiting_tenants`). Where no coordinator answers, it starts items by its
own view of the engines, a few in each round, and only in its own share of the free slots. Items
that can meet their targets start before late ones, except on a late item's turn. Where engines
differ in speed, `speed_order` determines which items an engine is suited for.

Why: without grants several daemons would fill the same slot. If a coordinator is lost, batch work
continues: each daemon then uses a share of the slots in proportion to its open items. Measured in
docs/POLICY.md, "Rounds" (7) and "Rounds with coordinators of slots" (14).
"""

from collections.abc import Iterable
from functools import partial

from troutswitch.daemons.messages import ServiceItems, TenantItems
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engine_cost import RelativeFactors
from troutswitch.decisions.jobs.dependencies import JobDependencies
from troutswitch.decisions.jobs.engine_choice import EngineChoice, accepts_items
from troutswitch.decisions.jobs.item_parts import ItemParts
from troutswitch.decisions.jobs.item_retries import StartableItem
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.messages import RunItem
from troutswitch.decisions.jobs.order import AvailableCapacity, ItemKey
from troutswitch.decisions.jobs.space_reservation import SpaceReservation
from troutswitch.decisions.jobs.speed_order import is_better_served_elsewhere, order_for
from troutswitch.decisions.jobs.starvation_guard import StarvationGuard
from troutswitch.decisions.jobs.waiting_services import rows_by_service, rows_without_started
from troutswitch.decisions.jobs.waiting_tenants import (
    is_in_row,
    rows_by_tenant,
    without_started,
)
from troutswitch.decisions.slots.messages import FleetShare, StartItems, WaitingItems

MAX_RUNS = 64
"""Maximum number of this daemon's runs in flight."""
MAX_STARTS_PER_ROUND = 8
"""Maximum number of items that start in one round without a grant, so that peers learn of these
starts before more follow."""


class ItemDispatcher:
    """Starts items in granted slots, or in free slots where no coordinator grants them."""

    def __init__(
        self, parts: ItemParts, engine_choice: EngineChoice, dependencies: JobDependencies
    ) -> None:
        self.waiting = WaitingItems()
        """Items that could start now, up to this daemon's limit of runs."""
        self.waiting_by_tenant: tuple[TenantItems, ...] = ()
        """The waiting items by tenant, for coordinators of paced services."""
        self.waiting_by_service: tuple[ServiceItems, ...] = ()
        """The waiting items by service; empty if each can start at every listed service."""
        self.starvation_guard = StarvationGuard()
        self.reservation = SpaceReservation()
        self._items = parts.items
        self._runs = parts.runs
        self._ranking = parts.ranking
        self._retries = parts.retries
        self._refusals = parts.refusals
        self._versions = parts.versions
        self._engine_choice = engine_choice
        self._engines = dependencies.engines
        self._slots = dependencies.slots
        self._speed = dependencies.speed
        self._log = dependencies.log

    def clear_waiting(self) -> None:
        """Counts no item as waiting until the next round."""
        self.waiting = WaitingItems()
        self.waiting_by_tenant = ()
        self.waiting_by_service = ()

    # A round of dispatching.

    def start_round(self, now: float) -> list[RunItem]:
        """Ranks the items, counts the waiting ones, and starts items where no slots are granted."""
        startable = {
            item.progress.key: item
            for progress in self._items.startable(now, self._engines.listed_at)
            if (item := self._retries.prepare_start(now, progress)) is not None
        }
        services = self._services_of(startable.values())
        candidates = [item.progress for key, item in startable.items() if services[key]]
        if not candidates:
            self.reservation.update(now, (), self._engine_choice.tokens_at)
        if not candidates and not self._runs.by_number:
            return []
        share = self._slots.share(now)
        self._rank(now, share)
        ordered = self._ranking.most_urgent_first(candidates)
        self._reserve_space(now, [startable[progress.key] for progress in ordered])
        late = [progress for progress in ordered if self._ranking.is_late(progress)]
        in_time = ordered[: len(ordered) - len(late)]
        available = max(0, MAX_RUNS - len(self._runs.by_number))
        self.waiting = WaitingItems(min(available, len(in_time)), min(available, len(late)))
        self.waiting_by_service = rows_by_service(
            [services[progress.key] for progress in in_time],
            [services[progress.key] for progress in late],
            self._engines.services(),
            available,
        )
        if self._engines.has_paced_service:
            tenant_of = self._ranking.tenant_of
            tenants = [tenant_of(progress) for progress in ordered]
            self.waiting_by_tenant = rows_by_tenant(
                tenants[: len(in_time)], tenants[len(in_time) :], available
            )
        if all(self._slots.is_coordinated(now, name) for name in self._engines.engines):
            return []  # coordinators grant all slots
        self._engine_choice.set_own_share(self._own_share(share))
        started = self._start_without_grant(now, in_time)
        if late and self._may_start_late(now, in_time):
            started += self._start_without_grant(now, late)
        return started

    def _services_of(self, startable: Iterable[StartableItem]) -> dict[ItemKey, frozenset[str]]:
        """Returns the services that can run each item, for those that may start now."""
        services: dict[ItemKey, frozenset[str]] = {}
        for item in startable:
            key = item.progress.key
            services[key] = self._engine_choice.services_of(item)
            self._note_size(item.progress, fits=bool(services[key]))
        return services

    def _note_size(self, progress: ItemProgress, *, fits: bool) -> None:
        """Logs when an accepted item no longer fits any service of its route."""
        if not fits and not progress.fits_no_service:
            self._log(
                "item exceeds the cache of its services",
                job_id=progress.job_id,
                item_id=progress.item.item_id,
                tokens=progress.item.tokens,
            )
        progress.fits_no_service = not fits

    def _reserve_space(self, now: float, ordered: list[StartableItem]) -> None:
        """Updates the reservation of an engine for a large item that waits."""
        large = [self._engine_choice.large_item(now, item) for item in ordered]
        waiting = [item for item in large if item is not None]
        before = self.reservation.engine_id
        self.reservation.update(now, waiting, self._engine_choice.tokens_at)
        if self.reservation.engine_id not in ("", before):
            assert self.reservation.item is not None
            job_id, item_id = self.reservation.item
            engine_id = self.reservation.engine_id
            self._log("engine reserved", job_id=job_id, item_id=item_id, engine=engine_id)

    def _rank(self, now: float, share: FleetShare) -> None:
        self._engine_choice.begin_round()
        own_slots = share.free_slots * self._own_share(share)
        capacity = AvailableCapacity(own_slots, self._ranking.run_times.duty)
        self._ranking.rank(now, self._items.unfinished(), capacity)

    def _own_share(self, share: FleetShare) -> float:
        """Returns this daemon's share of all open items of the fleet, from 0 to 1."""
        own = len(self._items.unfinished())
        return own / max(1, own + share.open_items)

    def _may_start_late(self, now: float, in_time: list[ItemProgress]) -> bool:
        """Returns whether late items may start: on their turn, or if no other items wait."""
        if self.starvation_guard.is_late_turn(now):
            return True
        return not any(not progress.run_number for progress in in_time)

    def _start_without_grant(self, now: float, ordered: list[ItemProgress]) -> list[RunItem]:
        """Starts items at engines whose slots no coordinator grants, in the given order."""
        started: list[RunItem] = []
        for progress in ordered:
            if len(self._runs.by_number) >= MAX_RUNS or len(started) >= MAX_STARTS_PER_ROUND:
                break
            run = self._start_anywhere(now, progress)
            if run is None:
                continue
            started.append(run)
            if self._count_start(now, progress):
                break
        return started

    def _start_anywhere(self, now: float, progress: ItemProgress) -> RunItem | None:
        """Starts an item at the engine that `EngineChoice` chooses; None if there is none."""
        item = self._retries.prepare_start(now, progress)
        if item is None:
            return None
        may_start_at = partial(self._may_start_ungranted, item)
        engine = self._engine_choice.choose(now, item, may_start_at)
        if engine is None:
            return None
        self._engine_choice.on_started(engine.record.engine_id)
        return self._start(now, item, engine)

    def _may_start_ungranted(self, item: StartableItem, now: float, engine: Engine) -> bool:
        """Returns whether an item may start at an engine without a granted slot."""
        if self._slots.is_coordinated(now, engine.record.engine_id):
            return False
        return self._may_start_beside_others(now, item.progress, engine)

    def _may_start_beside_others(self, now: float, progress: ItemProgress, engine: Engine) -> bool:
        """Returns whether an engine's version and its other items let an item start there."""
        engine_id = engine.record.engine_id
        if not self.reservation.allows(progress.key, engine_id):
            return False
        running = (
            run.progress for run in self._runs.by_number.values() if run.engine_id == engine_id
        )
        if self._refusals.keeps_apart(progress, running):
            return False
        return self._versions.may_start_at(now, progress, engine)

    def _start(self, now: float, item: StartableItem, engine: Engine) -> RunItem:
        self.reservation.on_started(item.progress.key)
        self._refusals.on_started(now, item.progress)
        self._versions.prepare_run(now, item.progress, engine)
        return self._runs.start(now, item.progress, item.entry.manifest, engine)

    def _count_start(self, now: float, progress: ItemProgress) -> bool:
        """Counts a start; returns whether it used up the turn of late items."""
        if not self._ranking.is_late(progress):
            self.starvation_guard.on_started_in_time()
            return False
        was_turn = self.starvation_guard.is_late_turn(now)
        self.starvation_guard.on_started_late(now)
        return was_turn

    # Granted slots.

    def start_granted(self, now: float, grant: StartItems) -> list[RunItem]:
        """Starts items in the slots of a grant.

        The next holdings report lists slots without an item as unused.
        """
        engine = self._engines.engines.get(grant.engine_id)
        if engine is None or engine.is_leaving or not accepts_items(now, engine):
            return []
        ordered = self._startable_in_order(now)
        if grant.tenant is None:
            started = self._start_ordered(now, ordered, engine, grant.count)
        else:
            rows = self.waiting_by_tenant
            tenants = [self._ranking.tenant_of(progress) for progress in ordered]
            is_own = [is_in_row(tenant, grant.tenant, rows) for tenant in tenants]
            own = [progress for progress, own in zip(ordered, is_own, strict=True) if own]
            others = [progress for progress, own in zip(ordered, is_own, strict=True) if not own]
            started = self._start_ordered(now, own, engine, grant.count)
            if len(started) < grant.count:
                started += self._start_ordered(now, others, engine, grant.count - len(started))
        self._subtract_started(started, engine.record.service)
        return started

    def _start_ordered(
        self, now: float, ordered: list[ItemProgress], engine: Engine, count: int
    ) -> list[RunItem]:
        """Starts up to `count` of the items at an engine, in the order that suits its speed."""
        factors = self._factors(now, engine)
        factor = factors.get(engine.record.engine_id, 1.0)
        order = order_for(
            now,
            factor,
            ordered,
            self._ranking,
            is_late_turn=self.starvation_guard.is_late_turn(now),
        )
        started = self._start_in_slots(now, order.preferred, engine, count)
        if len(started) < count and order.endangered:
            usable = self._engines.usable(now, engine.record.service)
            accepting = [other for other in usable if accepts_items(now, other)]
            endangered = [
                item
                for item in order.endangered
                if not is_better_served_elsewhere(
                    now, item, engine, accepting, factors, self._ranking
                )
            ]
            started += self._start_in_slots(now, endangered, engine, count - len(started))
        return started

    def _factors(self, now: float, engine: Engine) -> RelativeFactors:
        service = engine.record.service
        if not self._engines.is_paced(service):
            return {}
        return self._speed.factors(now, self._engines.of_service(service))

    def _start_in_slots(
        self, now: float, ordered: list[ItemProgress], engine: Engine, count: int
    ) -> list[RunItem]:
        """Starts up to `count` items at an engine, in the given order."""
        started: list[RunItem] = []
        for progress in ordered:
            if len(self._runs.by_number) >= MAX_RUNS or len(started) >= count:
                break
            run = self._start_at(now, progress, engine)
            if run is not None:
                started.append(run)
        return started

    def _startable_in_order(self, now: float) -> list[ItemProgress]:
        """Returns the startable items, most urgent first; on its turn, a late item comes first."""
        startable = self._items.startable(now, self._engines.listed_at)
        ordered = self._ranking.most_urgent_first(startable)
        if self.starvation_guard.is_late_turn(now):
            late = next((item for item in ordered if self._ranking.is_late(item)), None)
            if late is not None:
                return [late, *(progress for progress in ordered if progress is not late)]
        return ordered

    def _start_at(self, now: float, progress: ItemProgress, engine: Engine) -> RunItem | None:
        """Starts an item at an engine if its route and the engine's cache allow it."""
        item = self._retries.prepare_start(now, progress)
        if item is None or not self._engine_choice.may_run_at(item, engine):
            return None
        if not self._may_start_beside_others(now, progress, engine):
            return None
        self._count_start(now, progress)
        return self._start(now, item, engine)

    def _subtract_started(self, runs: list[RunItem], service: str) -> None:
        """Subtracts items that started at a service from the waiting ones until the next round."""
        self.waiting_by_service = rows_without_started(self.waiting_by_service, service, len(runs))
        self.waiting_by_tenant = without_started(
            self.waiting_by_tenant, [run.tenant for run in runs]
        )
        started = len(runs)
        self.waiting = self.waiting.without(started)
