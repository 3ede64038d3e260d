"""Effects of the end of an item's run on the item, the record of crashes and the estimates.

It owns no state; it passes each end on to the parts that handle it.
"""

from troutswitch.decisions.forwarding.engine_cost import SpeedPolicy
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.jobs.item_parts import ItemParts
from troutswitch.decisions.jobs.messages import ItemRunEnded
from troutswitch.decisions.jobs.runs import ItemRun
from troutswitch.outcomes import AttemptOutcome

CONNECTION_LOST_STATUSES = (0, 200)
"""Statuses of a run whose connection was lost: before the response, or during its stream."""


class RunEnds:
    """Handles the ends of runs."""

    def __init__(self, parts: ItemParts, engines: EngineRegistry, speed: SpeedPolicy) -> None:
        self._runs = parts.runs
        self._refusals = parts.refusals
        self._retries = parts.retries
        self._endings = parts.endings
        self._ranking = parts.ranking
        self._engines = engines
        self._speed = speed

    def on_run_ended(self, now: float, event: ItemRunEnded) -> bool:
        """Handles the end of a run; returns False if the run is unknown."""
        run = self._runs.end(now, event)
        if run is None:
            return False
        if event.kind is AttemptOutcome.COMPLETED:
            self._on_completed(now, run)
        else:
            self._on_ended_early(now, run, event)
        return True

    def _on_ended_early(self, now: float, run: ItemRun, event: ItemRunEnded) -> None:
        is_lost = event.kind is AttemptOutcome.CUT and event.status in CONNECTION_LOST_STATUSES
        if is_lost and not run.is_stopped:
            self._refusals.on_lost(now, run.progress, run.engine_id)
        else:
            self._refusals.on_ended_otherwise(now, run.progress)
        run.progress.needs_restart |= event.is_too_long
        self._retries.on_ended_early(now, run.progress, event, is_stopped=run.is_stopped)

    def _on_completed(self, now: float, run: ItemRun) -> None:
        progress = run.progress
        self._refusals.on_done(now, progress)
        events = progress.event_count - run.events_before
        run_times = self._ranking.run_times
        run_times.on_completed(
            now - run.started_at, events, progress.event_count, self._factor(now, run)
        )
        if not self._ranking.is_overdue(now, progress):
            run_times.on_item_done(progress.run_seconds, now - progress.started_at)
        self._endings.complete(progress)

    def _factor(self, now: float, run: ItemRun) -> float:
        """Returns the relative factor of a run's engine over the last seconds."""
        engine = self._engines.engines.get(run.engine_id)
        if engine is None or not self._engines.is_paced(engine.record.service):
            return 1.0
        engines = self._engines.all_of_service(engine.record.service)
        return self._speed.average_factor(now, engine, engines)
