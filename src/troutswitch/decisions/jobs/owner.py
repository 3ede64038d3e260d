"""Runs the items of the shards that this daemon owns, and lists their results.

An item's states:

    PENDING  -> RUNNING   an engine has a free or granted slot, and a run started there
    RUNNING  -> PENDING   the run ended early; the next one resumes after its last whole event, or
                          starts again at another engine version (`item_versions`)
    RUNNING  -> FINISHED  the output is complete, or the item is dead-lettered
    FINISHED -> listed    the result was appended at a position under the shard's epoch

Items may run more than once. A result is listed once, since only the fenced owner of a shard
appends results, and it appends none for an item that is listed.

It owns the items, their runs and the writes of both, and works in rounds. `dispatcher` decides
which items start, `run_stops` which runs stop, `run_ends` and `item_retries` what follows a run.
"""

from troutswitch.daemons.messages import ServiceItems, TenantItems
from troutswitch.decisions.jobs.batch_capacity import BATCH_CAPACITY_POLICIES
from troutswitch.decisions.jobs.dependencies import JobDependencies, JobSettings
from troutswitch.decisions.jobs.dispatcher import ItemDispatcher
from troutswitch.decisions.jobs.engine_choice import EngineChoice
from troutswitch.decisions.jobs.item_endings import ItemEndings
from troutswitch.decisions.jobs.item_parts import ItemParts
from troutswitch.decisions.jobs.item_refusals import ItemRefusals
from troutswitch.decisions.jobs.item_retries import ItemRetries
from troutswitch.decisions.jobs.item_versions import ItemVersions
from troutswitch.decisions.jobs.messages import (
    ItemBegun,
    ItemProgressed,
    ItemRunEnded,
    RunItem,
    StopItem,
)
from troutswitch.decisions.jobs.open_items import OpenItems
from troutswitch.decisions.jobs.order import ITEM_ORDERS
from troutswitch.decisions.jobs.ownership import ShardLease, ShardOwnership
from troutswitch.decisions.jobs.ranking import ItemRanking
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.jobs.run_ends import RunEnds
from troutswitch.decisions.jobs.run_stops import RunStops
from troutswitch.decisions.jobs.run_time_estimate import RunTimeEstimate
from troutswitch.decisions.jobs.runs import ItemRun, ItemRuns
from troutswitch.decisions.jobs.space_reservation import SpaceReservation
from troutswitch.decisions.jobs.token_limits import TokenLimits
from troutswitch.decisions.jobs.writer import ShardWriter
from troutswitch.decisions.slots.messages import StartItems, WaitingItems
from troutswitch.decisions.storage.messages import StoreCall, StoreOutcome

ROUND_INTERVAL_SECONDS = 0.05
"""Interval between rounds of dispatching and writing."""
SETTLE_SECONDS = 0.5
"""Time after its first round for which a daemon neither starts items nor reports any as waiting. It
does not know the runs of other daemons yet, and after a restart of all daemons each would fill the
same slots."""

UNUSED_LOG_SECONDS = 1.0
"""Minimum interval between log lines about unused grants."""

OwnerInstruction = StoreCall | RunItem | StopItem


class JobOwner:
    """All items that this daemon runs."""

    def __init__(
        self,
        dependencies: JobDependencies,
        settings: JobSettings,
        replicas: JobReplicas,
        ownership: ShardOwnership,
        token_limits: TokenLimits,
    ) -> None:
        capacity = BATCH_CAPACITY_POLICIES[settings.policies.capacity]()
        items = OpenItems(replicas, ownership, dependencies.log)
        self.is_draining = False
        self._slots = dependencies.slots
        self._log = dependencies.log
        self._unused_logged_at = float("-inf")
        self._ownership = ownership
        self._round_at = float("-inf")
        self._first_round_at = float("inf")
        self._writer = ShardWriter(
            replicas,
            ownership,
            dependencies.numbers,
            settings.limits,
            items,
            token_limits,
            dependencies.log,
        )
        parts = _build_parts(dependencies, settings, replicas, items, self._writer)
        self._items = parts.items
        self._runs = parts.runs
        self._ranking = parts.ranking
        self._run_ends = RunEnds(parts, dependencies.engines, dependencies.speed)
        self._run_stops = RunStops(parts, capacity, dependencies)
        engine_choice = EngineChoice(
            dependencies.routes,
            dependencies.engines,
            capacity,
            settings.zone,
            dependencies.rng,
            settings.counts_peer_tokens,
        )
        self._dispatcher = ItemDispatcher(parts, engine_choice, dependencies)

    @property
    def run_times(self) -> RunTimeEstimate:
        """Estimate of run times, from finished runs."""
        return self._ranking.run_times

    @property
    def runs(self) -> dict[int, ItemRun]:
        """Runs in flight, by number."""
        return self._runs.by_number

    @property
    def runs_started(self) -> int:
        """Number of runs started since this process started."""
        return self._runs.started

    @property
    def waiting(self) -> WaitingItems:
        """Numbers of items that could start now if slots were free."""
        return self._dispatcher.waiting

    @property
    def waiting_by_tenant(self) -> tuple[TenantItems, ...]:
        """The waiting items by tenant, if a named tenant has some and a service is paced."""
        return self._dispatcher.waiting_by_tenant

    @property
    def waiting_by_service(self) -> tuple[ServiceItems, ...]:
        """The waiting items by service; empty if each can start at every listed service."""
        return self._dispatcher.waiting_by_service

    @property
    def reservation(self) -> SpaceReservation:
        """The reservation of an engine for a large item."""
        return self._dispatcher.reservation

    @property
    def open_items(self) -> int:
        """Number of items that this daemon has to finish."""
        return len(self._items.unfinished())

    def is_drained(self) -> bool:
        """Returns whether no run is in flight and all output and results are written."""
        unsaved = any(self._writer.has_unsaved(progress) for progress in self._items.unfinished())
        return not self.runs and not unsaved and self._writer.is_idle()

    # Rounds.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        if not self._ownership.leases and not self.runs:
            return float("inf")
        return self._round_at

    def on_timer(self, now: float) -> list[OwnerInstruction]:
        """Runs a round if it is due: stops unwanted runs, starts items, writes results."""
        if now < self._round_at:
            return []
        self._round_at = now + ROUND_INTERVAL_SECONDS
        owned = self._ownership.owned()
        instructions: list[OwnerInstruction] = []
        instructions += self._run_stops.stop_unwanted(now, is_draining=self.is_draining)
        self._writer.forget_lost_shards()
        instructions += self._run_stops.yield_slots(now)
        for lease in owned:
            if self._writer.begin_epoch(lease):
                self._items.reconcile_saved(lease.shard)
        instructions += self._start_items(now)
        instructions += self._write(now, owned)
        return instructions

    def _start_items(self, now: float) -> list[RunItem]:
        if self._first_round_at > now:
            self._first_round_at = now
            self._dispatcher.starvation_guard.begin(now)
        self._dispatcher.clear_waiting()
        if self.is_draining:
            self._dispatcher.reservation.release()
        if self.is_draining or now < self._first_round_at + SETTLE_SECONDS:
            return []
        return self._dispatcher.start_round(now)

    def _write(self, now: float, owned: list[ShardLease]) -> list[StoreCall]:
        calls: list[StoreCall] = []
        for lease in owned:
            items = self._items.in_shard(lease.shard)
            calls += self._writer.write(now, lease, items, is_draining=self.is_draining)
        return calls

    # Slots.

    def on_slots_granted(self, now: float, grant: StartItems) -> list[RunItem] | list[StopItem]:
        """Starts items in granted slots; a negative count stops items at the engine instead."""
        if grant.count < 0:
            return self._run_stops.stop_least_urgent(now, grant.engine_id, -grant.count)
        if self.is_draining:
            return []
        started = self._dispatcher.start_granted(now, grant)
        self._slots.on_granted_items_started(now, grant.engine_id, grant.count, len(started))
        if not started:
            self._log_unused(now, grant)
        return started

    def _log_unused(self, now: float, grant: StartItems) -> None:
        """Logs a grant in whose slots no item could start, but not each one of a series."""
        waiting = self.waiting.in_time + self.waiting.late
        if waiting and now >= self._unused_logged_at + UNUSED_LOG_SECONDS:
            self._unused_logged_at = now
            self._log(
                "granted slots not used",
                engine=grant.engine_id,
                count=grant.count,
                waiting=waiting,
            )

    def yield_slot(self, now: float, engine_id: str) -> StopItem | None:
        """Stops the least urgent item at an engine; returns None if this daemon has none there."""
        stopped = self._run_stops.stop_least_urgent(now, engine_id, 1)
        return stopped[0] if stopped else None

    # Runs.

    def on_first_token(self, event: ItemBegun) -> None:
        """Records that an engine has read a run's prompt."""
        self._runs.on_first_token(event)

    def on_progressed(self, event: ItemProgressed) -> None:
        """Adds the next events of a run's output."""
        self._runs.on_progressed(event)

    def on_run_ended(self, now: float, event: ItemRunEnded) -> None:
        """Handles the end of a run; the next round is due immediately."""
        if self._run_ends.on_run_ended(now, event):
            self._round_at = now

    # Writes.

    def owns(self, call: int) -> bool:
        """Returns whether a store call is one of the owner's writes."""
        return self._writer.owns(call)

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a write; the next round is due immediately."""
        self._writer.on_answer(now, call, outcome)
        self._round_at = now


def _build_parts(
    dependencies: JobDependencies,
    settings: JobSettings,
    replicas: JobReplicas,
    items: OpenItems,
    writer: ShardWriter,
) -> ItemParts:
    routes, log = dependencies.routes, dependencies.log
    order = ITEM_ORDERS[settings.policies.item_order]()
    refusals = ItemRefusals(dependencies.suspects, replicas, dependencies.prompt_of, log)
    endings = ItemEndings(items, writer, log)
    return ItemParts(
        items,
        ItemRuns(routes, dependencies.engines, log, settings.limits),
        ItemRanking(routes, replicas.index, order),
        refusals,
        endings,
        ItemRetries(routes, replicas.index, refusals, endings, dependencies.rng),
        ItemVersions(dependencies.engines, settings.incarnation, log),
    )
