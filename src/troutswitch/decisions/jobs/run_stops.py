"""Rule: which runs of batch items are stopped before their end?

Inputs: the jobs, shards and crashes that this daemon knows of; the capacity policy's surplus at an
engine, from the counts that `batch_capacity` describes; the ranks of the last round.

The rule: runs stop that are no longer wanted (the job was ended, the shard has another owner, the
daemon drains) or that crashes forbid. Where items occupy slots that online requests need, the least
urgent items stop: as many as the engine's coordinator requests or, without a coordinator, as the
capacity policy counts as surplus. In a paced service the work that a stop loses counts too
(`stop_choice`). One stops immediately when an online request of this daemon needs
its slot.

Why: engines have no priorities, so an item releases its slot only if it is stopped. It resumes
later after its last whole event. Measured in docs/POLICY.md, "Rounds" (1).
"""

from troutswitch.decisions.jobs.batch_capacity import BatchCapacityPolicy
from troutswitch.decisions.jobs.dependencies import JobDependencies
from troutswitch.decisions.jobs.item_parts import ItemParts
from troutswitch.decisions.jobs.messages import StopItem
from troutswitch.decisions.jobs.runs import ItemRun
from troutswitch.decisions.jobs.stop_choice import choose_stops


class RunStops:
    """Stops runs of this daemon."""

    def __init__(
        self, parts: ItemParts, capacity: BatchCapacityPolicy, dependencies: JobDependencies
    ) -> None:
        self._runs = parts.runs
        self._items = parts.items
        self._refusals = parts.refusals
        self._ranking = parts.ranking
        self._capacity = capacity
        self._engines = dependencies.engines
        self._log = dependencies.log
        self._slots = dependencies.slots

    def stop_unwanted(self, now: float, *, is_draining: bool) -> list[StopItem]:
        """Stops unwanted and refused runs, and drops unwanted items that have no run."""
        stops: list[StopItem] = []
        for number, run in self._runs.by_number.items():
            is_refused = self._refusals.forbids_run(run.progress)
            is_unwanted = is_draining or is_refused or not self._items.is_wanted(run.progress)
            if is_unwanted and not run.is_stopped:
                stops.append(self._runs.stop(now, number))
        for progress in self._items:
            if not progress.run_number and not self._items.is_wanted(progress):
                self._items.drop(progress)
        return stops

    def yield_slots(self, now: float) -> list[StopItem]:
        """Stops items whose slots online requests need, at engines without a coordinator."""
        stops: list[StopItem] = []
        runs = self._runs.by_number.values()
        for engine_id in {run.engine_id for run in runs if not run.is_stopped}:
            engine = self._engines.engines.get(engine_id)
            if engine is None or self._slots.is_coordinated(now, engine_id):
                continue
            stops += self.stop_least_urgent(now, engine_id, self._capacity.surplus(now, engine))
        return stops

    def stop_least_urgent(self, now: float, engine_id: str, count: int) -> list[StopItem]:
        """Stops at most `count` items at an engine, the least urgent first."""
        running = [
            run
            for run in self._runs.by_number.values()
            if run.engine_id == engine_id and not run.is_stopped
        ]
        if count <= 0 or not running:
            return []
        engine = self._engines.engines.get(engine_id)
        if engine is not None and self._engines.is_paced(engine.record.service):
            return self._stop_cheapest(now, running, count)
        chosen = self._ranking.least_urgent([run.progress for run in running], count)
        return [self._runs.stop(now, progress.run_number) for progress in chosen]

    def _stop_cheapest(self, now: float, running: list[ItemRun], count: int) -> list[StopItem]:
        """Stops the items that lose least among those that are about equally urgent."""
        stops: list[StopItem] = []
        for chosen in choose_stops(now, running, count, self._ranking):
            progress = chosen.run.progress
            self._log(
                "item chosen to stop",
                job_id=progress.job_id,
                item_id=progress.item.item_id,
                engine=chosen.run.engine_id,
                stage=chosen.stage.name.lower(),
                lost_ms=round(chosen.lost_seconds * 1000),
                candidates=chosen.candidates,
            )
            stops.append(self._runs.stop(now, progress.run_number))
        return stops
