"""Runs the items of the shards that this daemon owns, and lists their results.

An item's states:

    PENDING  -> RUNNING   an engine has room, and its run started
    RUNNING  -> PENDING   the run ended early; the next goes on after its last whole event
    RUNNING  -> FINISHED  the output is whole, or the item can never be done
    FINISHED -> listed    its result was appended at a position under the shard's epoch

Items may run more than once; a result is listed once, because only the fenced owner
appends results, and it appends none for an item that is listed.
"""

import random
from collections.abc import Callable
from typing import Protocol

from troutswitch.decisions.crashes.interface import Suspects
from troutswitch.decisions.forwarding.engines import Engine, EngineRegistry
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.types import Route
from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.jobs.batch_capacity import BATCH_CAPACITY_POLICIES
from troutswitch.decisions.jobs.index import JobEntry
from troutswitch.decisions.jobs.item_refusals import ItemRefusals
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.messages import (
    ItemBegun,
    ItemProgressed,
    ItemRunEnded,
    RunItem,
    StopItem,
)
from troutswitch.decisions.jobs.open_items import OpenItems
from troutswitch.decisions.jobs.order import ITEM_ORDERS, BatchCapacity
from troutswitch.decisions.jobs.ownership import ShardOwnership
from troutswitch.decisions.jobs.records import DEAD, DONE, ItemResult, StoreLimits
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.jobs.run_time_estimate import RunTimeEstimate
from troutswitch.decisions.jobs.runs import ItemRun, ItemRuns
from troutswitch.decisions.jobs.selection import TICK_SECONDS, ItemSelection
from troutswitch.decisions.jobs.starvation_guard import StarvationGuard
from troutswitch.decisions.jobs.writer import ShardWriter
from troutswitch.decisions.policies import BatchPolicies
from troutswitch.decisions.slots.messages import FleetShare, StartItems, WaitingItems
from troutswitch.decisions.storage.follower import CallNumbers
from troutswitch.decisions.storage.messages import StoreCall, StoreOutcome
from troutswitch.outcomes import AttemptKind

RUNS_MOST = 64
"""Items that run at once from this daemon."""
SETTLE_SECONDS = 0.5
"""Time after its start for which a daemon starts no items: it does not know yet what others
have at engines. After all were killed at once, all would fill the same slots."""
STARTS_A_TICK = 8
"""Items that start in one look, so that peers hear of them before many follow."""
RETRY_SECONDS = 0.2
FAILED_RETRY_SECONDS = 0.4
REFUSED_RETRY_SECONDS = 1.0
"""Time after which an item that is refused is looked at again. It may not be listed as given up:
only an engine's word or the end of its retention allows that."""
CROWDED_SHARE = 0.3
"""Share of the tokens that may wait on a route from which daemons tell how far jobs are."""
ROUTE_GONE_SECONDS = 6.0
"""Time without a route after which an item is given up."""
FAILED_STATUS = 500
"""Status with which an engine says that an item's run failed; others say nothing of it."""
LOST_STATUSES = (0, 200)
"""Statuses of a run whose answer did not come whole: none was read, or a stream broke off."""
NEVER_STATUS = 422
"""Status with which an engine says that an item can never be done."""

Instruction = StoreCall | RunItem | StopItem | LogLine


class BatchSlots(Protocol):
    """What is known of the slots for batch items."""

    def share(self, now: float) -> FleetShare:
        """Returns what all daemons' items may count on together."""
        ...

    def is_coordinated(self, now: float, engine_id: str) -> bool:
        """Returns whether places at an engine are granted, and must not be taken without."""
        ...


class JobOwner:
    """All items that this daemon runs."""

    def __init__(
        self,
        routes: RouteTable,
        engines: EngineRegistry,
        replicas: JobReplicas,
        ownership: ShardOwnership,
        numbers: CallNumbers,
        room: StoreLimits,
        rng: random.Random,
        log: Callable[..., None],
        slots: BatchSlots,
        zone: str,
        policies: BatchPolicies,
        suspects: Suspects,
    ) -> None:
        self._runs = ItemRuns(engines, log)
        self._items = OpenItems(replicas)
        self._refusals = ItemRefusals(suspects, replicas)
        self._routes = routes
        self._engines = engines
        self._replicas = replicas
        self._ownership = ownership
        self.is_draining = False
        self.writer = ShardWriter(
            replicas, ownership, numbers, room, self._items.drop, self._is_crowded, log
        )
        self._rng = rng
        self._log = log
        self._slots = slots
        self._room = BATCH_CAPACITY_POLICIES[policies.room]()
        self._selection = ItemSelection(
            routes,
            engines,
            replicas.index,
            rng,
            zone,
            self._room,
            ITEM_ORDERS[policies.items](),
        )
        self._tick_at = float("-inf")
        self.waiting = WaitingItems()
        self._begun_at = float("inf")
        self._late_turns = StarvationGuard(float("inf"))

    @property
    def pace(self) -> RunTimeEstimate:
        """What was learnt of how items run."""
        return self._selection.pace

    @property
    def runs(self) -> dict[int, ItemRun]:
        """Runs in flight, by number."""
        return self._runs.by_number

    @property
    def runs_started(self) -> int:
        """Runs started since this daemon began."""
        return self._runs.started

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        if not self._ownership.claims and not self.runs:
            return float("inf")
        return self._tick_at

    def on_timer(self, now: float) -> list[Instruction]:
        """Looks for work, stops what must not run, and writes results."""
        if now < self._tick_at:
            return []
        self._tick_at = now + TICK_SECONDS
        instructions: list[Instruction] = []
        owned = {claim.shard: claim for claim in self._ownership.owned()}
        instructions += self._stop_unwanted(now)
        instructions += self._yield_slots(now)
        for claim in owned.values():
            if self.writer.begin_epoch(claim):
                self._items.compare_saved(claim.shard)
        if self._begun_at > now:
            self._begun_at = now
            self._late_turns = StarvationGuard(now)
        self.waiting = WaitingItems()
        if not self.is_draining and now >= self._begun_at + SETTLE_SECONDS:
            instructions += self._start_items(now)
        for claim in owned.values():
            items = self._items.of_shard(claim.shard)
            instructions += self.writer.write(now, claim, items, self.is_draining)
        return instructions

    def _is_crowded(self, job_id: str) -> bool:
        """Returns whether the tokens that wait on a job's route come near their limit."""
        entry = self._replicas.index.jobs.get(job_id)
        route = self._routes.named(entry.manifest.route) if entry is not None else None
        if entry is None or route is None or route.queued_tokens_most <= 0:
            return False
        waiting = self._replicas.index.waiting_tokens(route.name, entry.manifest.tenant)
        return waiting > CROWDED_SHARE * route.queued_tokens_most

    def owns(self, call: int) -> bool:
        """Returns whether an answer belongs to a write."""
        return self.writer.owns(call)

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Takes the outcome of a write; the next one goes at once."""
        self.writer.on_answer(now, call, outcome)
        self._tick_at = now

    def is_saved(self) -> bool:
        """Whether no run is left, and all that came of them was written."""
        unsaved = any(progress.unsaved for progress in self._items.unfinished())
        return not self.runs and not unsaved and self.writer.is_idle()

    # Stopping.

    def _stop_unwanted(self, now: float) -> list[Instruction]:
        """Stops runs of ended jobs and of shards that passed on."""
        instructions: list[Instruction] = []
        for number, run in self.runs.items():
            progress = run.progress
            unwanted = self.is_draining or not self._is_wanted(progress)
            unwanted |= self._refusals.stops(progress)
            if not run.is_stopped and unwanted:
                instructions.append(self._runs.stop(now, number))
        for progress in self._items:
            if not progress.run and not self._is_wanted(progress):
                self._items.drop(progress)
        self.writer.forget_shards()
        return instructions

    def _is_wanted(self, progress: ItemProgress) -> bool:
        if not self._items.holds(progress):
            return False
        entry = self._replicas.index.jobs.get(progress.job_id)
        is_open = entry is not None and not entry.is_ended
        return is_open and progress.shard in self._ownership.claims

    def _yield_slots(self, now: float) -> list[Instruction]:
        """Stops this daemon's part of the items that stand in the way of online requests."""
        instructions: list[Instruction] = []
        for engine_id in {run.engine_id for run in self.runs.values() if not run.is_stopped}:
            engine = self._engines.engines.get(engine_id)
            if engine is None or self._slots.is_coordinated(now, engine_id):
                continue
            surplus = self._room.surplus(now, engine)
            instructions += self._stop_least_urgent(now, engine_id, surplus)
        return instructions

    def give_slot(self, now: float, engine_id: str) -> StopItem | None:
        """Stops the least urgent item at an engine; None if this daemon has none there."""
        stopped = self._stop_least_urgent(now, engine_id, 1)
        return stopped[0] if stopped else None

    def _stop_least_urgent(self, now: float, engine_id: str, count: int) -> list[StopItem]:
        running = [
            run.progress
            for run in self.runs.values()
            if run.engine_id == engine_id and not run.is_stopped
        ]
        if count <= 0 or not running:
            return []
        chosen = self._selection.least_urgent(running, count)
        return [self._runs.stop(now, progress.run) for progress in chosen]

    # Starting.

    def _start_items(self, now: float) -> list[Instruction]:
        """Counts the items that wait, and starts some where nobody grants places."""
        instructions: list[Instruction] = []
        candidates = [p for p in self._candidates(now) if self._is_routed(now, p)]
        if not candidates and not self.runs:
            return []
        share = self._slots.share(now)
        self._selection.begin_look(now, self._items.unfinished(), self._capacity(share))
        ordered = self._selection.most_urgent_first(candidates)
        late = [progress for progress in ordered if self._selection.is_late(progress)]
        in_time = ordered[: len(ordered) - len(late)]
        room = max(0, RUNS_MOST - len(self.runs))
        self.waiting = WaitingItems(min(room, len(in_time)), min(room, len(late)))
        if all(self._slots.is_coordinated(now, name) for name in self._engines.engines):
            return []  # places are granted
        self._selection.share_room(self._own_part(share))
        instructions += self._start_some(now, in_time)
        if late and self._may_start_late(now, in_time):
            instructions += self._start_some(now, late)
        return instructions

    def _may_start_late(self, now: float, in_time: list[ItemProgress]) -> bool:
        """Late items take room that no item needs which can be in time, and their turn."""
        if self._late_turns.has_turn(now):
            return True
        return not any(not progress.run for progress in in_time)

    def _start_some(self, now: float, ordered: list[ItemProgress]) -> list[Instruction]:
        """Starts items at engines where nobody grants places, by what is known here."""
        instructions: list[Instruction] = []
        for progress in ordered:
            if len(self.runs) >= RUNS_MOST or len(instructions) >= STARTS_A_TICK:
                break
            started = self._try_start(now, progress)
            instructions += started
            if started and self._count_start(now, progress):
                break
        return instructions

    def _count_start(self, now: float, progress: ItemProgress) -> bool:
        """Counts a start; returns whether it was a late item's turn, of which one has it."""
        if not self._selection.is_late(progress):
            self._late_turns.on_started_in_time()
            return False
        is_turn = self._late_turns.has_turn(now)
        self._late_turns.on_started_late(now)
        return is_turn

    def _candidates(self, now: float) -> list[ItemProgress]:
        """Returns the items that may start."""
        claims = self._ownership.workable(self._engines.listed_at)
        shards = [claim.shard for claim in claims]
        jobs = [entry for shard in shards for entry in self._replicas.index.open_in_shard(shard)]
        return self._items.startable(now, jobs)

    def _capacity(self, share: FleetShare) -> BatchCapacity:
        """Returns what this daemon's items may count on, by its part of all open items."""
        return BatchCapacity(share.free_slots * self._own_part(share), self.pace.duty)

    def _own_part(self, share: FleetShare) -> float:
        """Returns the part of all open items that this daemon has to finish, from 0 to 1."""
        mine = self.open_items
        return mine / max(1, mine + share.open_items)

    @property
    def open_items(self) -> int:
        """Items that this daemon has to finish."""
        return len(self._items.unfinished())

    def on_places(self, now: float, places: StartItems) -> list[Instruction]:
        """Uses places that were granted at an engine, or stops items there.

        A place for which there is no item is told as not used by the next report.
        """
        if places.count < 0:
            return list(self._stop_least_urgent(now, places.engine_id, -places.count))
        engine = self._engines.engines.get(places.engine_id)
        if self.is_draining or engine is None or not self._takes_items(now, engine):
            return []
        instructions: list[Instruction] = []
        for progress in self._with_late_turn(now):
            if len(self.runs) >= RUNS_MOST or len(instructions) >= places.count:
                break
            instructions += self._start_at(now, progress, engine)
        self._count_waiting(len(instructions))
        return instructions

    def _with_late_turn(self, now: float) -> list[ItemProgress]:
        """Returns the items that may start, most urgent first but for a late one's turn."""
        ordered = self._selection.most_urgent_first(self._candidates(now))
        if self._late_turns.has_turn(now):
            late = next((p for p in ordered if self._selection.is_late(p)), None)
            if late is not None:
                return [late, *(progress for progress in ordered if progress is not late)]
        return ordered

    @staticmethod
    def _takes_items(now: float, engine: Engine) -> bool:
        return not engine.is_leaving and now >= max(engine.full_until, engine.ejected_until)

    def _start_at(self, now: float, progress: ItemProgress, engine: Engine) -> list[Instruction]:
        """Starts an item at an engine, if its route and the engine's memory allow."""
        entry = self._replicas.index.jobs[progress.job_id]
        route = self._route_of(now, progress, entry)
        if route is None or not self._selection.may_run_at(route, progress, engine):
            return []
        self._count_start(now, progress)
        self._refusals.on_started(now, progress)
        return [self._runs.start(now, progress, entry.manifest, engine)]

    def _count_waiting(self, started: int) -> None:
        """Takes items that started off those that wait, until the next look counts them."""
        in_time = max(0, self.waiting.in_time - started)
        late = max(0, self.waiting.late - max(0, started - self.waiting.in_time))
        self.waiting = WaitingItems(in_time, late)

    def _try_start(self, now: float, progress: ItemProgress) -> list[Instruction]:
        entry = self._replicas.index.jobs[progress.job_id]
        route = self._route_of(now, progress, entry)
        if route is None:
            return []
        engine = self._selection.choose(now, route, progress, entry, self._is_uncoordinated)
        if engine is None:
            return []
        self._selection.on_started(engine.record.engine_id)
        self._refusals.on_started(now, progress)
        return [self._runs.start(now, progress, entry.manifest, engine)]

    def _is_uncoordinated(self, now: float, engine: Engine) -> bool:
        return not self._slots.is_coordinated(now, engine.record.engine_id)

    def _is_routed(self, now: float, progress: ItemProgress) -> bool:
        entry = self._replicas.index.jobs[progress.job_id]
        return self._route_of(now, progress, entry) is not None

    def _route_of(self, now: float, progress: ItemProgress, entry: JobEntry) -> Route | None:
        """Returns an item's route; an item whose route or retention is over is given up."""
        route = self._routes.match(entry.manifest.host, progress.item.path)
        if route is None:
            self._without_route(now, progress)
            return None
        progress.no_route_since = float("inf")
        if route.retention and now - entry.seen_at > route.retention:
            self._give_up(progress, "its retention is over")
            return None
        if progress.failures >= route.attempts_most:
            self._give_up(progress, f"{progress.failures} runs failed at earlier owners")
            return None
        if self._refusals.holds(now, progress):
            progress.retry_at = now + REFUSED_RETRY_SECONDS
            return None
        return route

    def _without_route(self, now: float, progress: ItemProgress) -> None:
        progress.no_route_since = min(progress.no_route_since, now)
        if now - progress.no_route_since > ROUTE_GONE_SECONDS:
            self._give_up(progress, "its route is gone")
        else:
            progress.retry_at = now + RETRY_SECONDS

    # Progress and ends of runs.

    def on_begun(self, event: ItemBegun) -> None:
        """A run's prompt was read."""
        self._runs.on_begun(event)

    def on_progressed(self, event: ItemProgressed) -> None:
        """Takes what a run made so far."""
        self._runs.on_progressed(event)

    def on_run_ended(self, now: float, event: ItemRunEnded) -> None:
        """Takes the end of a run: the item is finished, or goes on later."""
        run = self._runs.end(now, event)
        if run is None:
            return
        progress = run.progress
        if run.is_stopped:
            self._refusals.on_stopped(progress)
        if event.kind is AttemptKind.CUT and not run.is_stopped and event.status in LOST_STATUSES:
            self._refusals.on_lost(now, progress, run.engine_id)
        if event.kind is AttemptKind.COMPLETED:
            self._refusals.on_done(now, progress)
            events = progress.events_done - run.events_before
            self.pace.on_completed(now - run.started_at, events, progress.events_done)
            if not self._selection.is_overdue(now, progress):
                self.pace.on_item_done(progress.ran_seconds, now - progress.started_at)
            self._finish(progress, ItemResult(progress.item.item_id, DONE, progress.output))
        elif event.status == NEVER_STATUS:
            self._give_up(progress, f"status {event.status}")
        else:
            self._after_failure(now, progress, event)
        self._tick_at = now

    def _after_failure(self, now: float, progress: ItemProgress, event: ItemRunEnded) -> None:
        progress.retry_at = now + RETRY_SECONDS * self._rng.uniform(0.5, 1.5)
        if event.status != FAILED_STATUS or event.kind is AttemptKind.REFUSED:
            return
        progress.failures += 1
        progress.retry_at = now + FAILED_RETRY_SECONDS
        entry = self._replicas.index.jobs.get(progress.job_id)
        route = self._routes.named(entry.manifest.route) if entry is not None else None
        if route is not None and progress.failures >= route.attempts_most:
            self._give_up(progress, f"{progress.failures} runs failed")

    def _give_up(self, progress: ItemProgress, reason: str) -> None:
        self._log(
            "item given up", job_id=progress.job_id, item_id=progress.item.item_id, reason=reason
        )
        self._finish(progress, ItemResult(progress.item.item_id, DEAD, ""))

    def _finish(self, progress: ItemProgress, result: ItemResult) -> None:
        ensure(not progress.is_finished, "an item is finished twice")
        progress.is_finished = True
        if self._is_wanted(progress):
            self.writer.finish(progress, result)
