"""Rule: which items of this daemon start now, and how many does it report as waiting?

Inputs: the items that may start; the free slots of the fleet and the open items of other daemons,
from digests of coordinators that are at most 2 s old; the slots that a coordinator grants.

The rule: a coordinator grants the slots of an engine to daemons whose items wait, and this daemon
starts its most urgent items in them. Where no coordinator answers, it starts items by its own
view of the engines, a few in each round, and only in its own part of the free slots. Items that can
meet their targets go before those that will be late, except on a late item's turn.

Why: without a grant several daemons would fill the same slot. So that batch work goes on when a
coordinator is lost, each daemon then takes a part of the slots that is in proportion to its open
items. Measured in docs/POLICY.md, "Rounds" (7) and "Rounds with coordinators of slots" (14).
"""

from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.jobs.dependencies import JobDependencies
from troutswitch.decisions.jobs.engine_choice import EngineChoice, accepts_items
from troutswitch.decisions.jobs.item_parts import ItemParts
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.messages import RunItem
from troutswitch.decisions.jobs.order import BatchCapacity
from troutswitch.decisions.jobs.starvation_guard import StarvationGuard
from troutswitch.decisions.slots.messages import FleetShare, StartItems, WaitingItems

MAX_RUNS = 64
"""Items that run at once from this daemon."""
MAX_STARTS_PER_ROUND = 8
"""Items that start in one round without a grant, so that peers learn of them before many follow."""


class ItemDispatcher:
    """Starts items, with granted slots or without."""

    def __init__(
        self, parts: ItemParts, engine_choice: EngineChoice, dependencies: JobDependencies
    ) -> None:
        self.waiting = WaitingItems()
        """Items that could start now, as far as this daemon may run them."""
        self.starvation_guard = StarvationGuard()
        self._items = parts.items
        self._runs = parts.runs
        self._ranking = parts.ranking
        self._retries = parts.retries
        self._refusals = parts.refusals
        self._engine_choice = engine_choice
        self._engines = dependencies.engines
        self._slots = dependencies.slots

    # A round of dispatching.

    def start_round(self, now: float) -> list[RunItem]:
        """Ranks the items, counts those that wait, and starts some where no slots are granted."""
        candidates = [
            progress
            for progress in self._items.startable(now, self._engines.listed_at)
            if self._retries.prepare_start(now, progress) is not None
        ]
        if not candidates and not self._runs.by_number:
            return []
        share = self._slots.share(now)
        self._rank(now, share)
        ordered = self._ranking.most_urgent_first(candidates)
        late = [progress for progress in ordered if self._ranking.is_late(progress)]
        in_time = ordered[: len(ordered) - len(late)]
        left = max(0, MAX_RUNS - len(self._runs.by_number))
        self.waiting = WaitingItems(min(left, len(in_time)), min(left, len(late)))
        if all(self._slots.is_coordinated(now, name) for name in self._engines.engines):
            return []  # coordinators grant all slots
        self._engine_choice.set_own_share(self._own_share(share))
        started = self._start_without_grant(now, in_time)
        if late and self._may_start_late(now, in_time):
            started += self._start_without_grant(now, late)
        return started

    def _rank(self, now: float, share: FleetShare) -> None:
        self._engine_choice.begin_round()
        own_slots = share.free_slots * self._own_share(share)
        capacity = BatchCapacity(own_slots, self._ranking.run_times.duty)
        self._ranking.rank(now, self._items.unfinished(), capacity)

    def _own_share(self, share: FleetShare) -> float:
        """Returns the part of all open items that this daemon has to finish, from 0 to 1."""
        mine = len(self._items.unfinished())
        return mine / max(1, mine + share.open_items)

    def _may_start_late(self, now: float, in_time: list[ItemProgress]) -> bool:
        """Late items take slots that no item needs which can meet its target, and their turn."""
        if self.starvation_guard.is_late_turn(now):
            return True
        return not any(not progress.run for progress in in_time)

    def _start_without_grant(self, now: float, ordered: list[ItemProgress]) -> list[RunItem]:
        """Starts items at engines whose slots no coordinator grants."""
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
        """Starts an item at an engine that `EngineChoice` finds; None if there is none."""
        item = self._retries.prepare_start(now, progress)
        if item is None:
            return None
        engine = self._engine_choice.choose(now, item, self._is_uncoordinated)
        if engine is None:
            return None
        self._engine_choice.on_started(engine.record.engine_id)
        self._refusals.on_started(now, progress)
        return self._runs.start(now, progress, item.entry.manifest, engine)

    def _is_uncoordinated(self, now: float, engine: Engine) -> bool:
        return not self._slots.is_coordinated(now, engine.record.engine_id)

    def _count_start(self, now: float, progress: ItemProgress) -> bool:
        """Counts a start; returns whether it was a late item's turn, of which one has it."""
        if not self._ranking.is_late(progress):
            self.starvation_guard.on_started_in_time()
            return False
        was_turn = self.starvation_guard.is_late_turn(now)
        self.starvation_guard.on_started_late(now)
        return was_turn

    # Granted slots.

    def start_granted(self, now: float, grant: StartItems) -> list[RunItem]:
        """Starts items in the slots of a grant.

        A slot for which there is no item is reported as unused by the next holdings report.
        """
        engine = self._engines.engines.get(grant.engine_id)
        if engine is None or engine.is_leaving or not accepts_items(now, engine):
            return []
        started: list[RunItem] = []
        for progress in self._startable_in_order(now):
            if len(self._runs.by_number) >= MAX_RUNS or len(started) >= grant.count:
                break
            run = self._start_at(now, progress, engine)
            if run is not None:
                started.append(run)
        self._subtract_started(len(started))
        return started

    def _startable_in_order(self, now: float) -> list[ItemProgress]:
        """Returns the items that may start, most urgent first but for a late one's turn."""
        startable = self._items.startable(now, self._engines.listed_at)
        ordered = self._ranking.most_urgent_first(startable)
        if self.starvation_guard.is_late_turn(now):
            late = next((item for item in ordered if self._ranking.is_late(item)), None)
            if late is not None:
                return [late, *(progress for progress in ordered if progress is not late)]
        return ordered

    def _start_at(self, now: float, progress: ItemProgress, engine: Engine) -> RunItem | None:
        """Starts an item at an engine, if its route and the engine's memory allow."""
        item = self._retries.prepare_start(now, progress)
        if item is None or not self._engine_choice.may_run_at(item, engine):
            return None
        self._count_start(now, progress)
        self._refusals.on_started(now, progress)
        return self._runs.start(now, progress, item.entry.manifest, engine)

    def _subtract_started(self, started: int) -> None:
        """Takes items that started off those that wait, until the next round counts them."""
        in_time = max(0, self.waiting.in_time - started)
        late = max(0, self.waiting.late - max(0, started - self.waiting.in_time))
        self.waiting = WaitingItems(in_time, late)
