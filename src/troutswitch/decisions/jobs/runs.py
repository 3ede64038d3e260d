"""Runs of batch items that this daemon has in flight at engines.

It owns the runs by number, and updates the engine registry from them: the runs in flight at each
engine, its load reports, and whether it rejects, fails or drains.
"""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.decisions.forwarding.engine import Engine, RequestSize
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.log_events import (
    answer_fields,
    configuration_fields,
    factor_fields,
)
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.messages import (
    ItemBegun,
    ItemProgressed,
    ItemRunEnded,
    RunItem,
    StopItem,
)
from troutswitch.decisions.jobs.records import MAX_OUTPUT_BYTES, Manifest, StoreLimits
from troutswitch.outcomes import AttemptOutcome

FIRST_EVENT_TIMEOUT_SECONDS = 5.0
"""Longest wait for the head of an engine's response, and then for its first event."""
EVENT_TIMEOUT_SECONDS = 1.5
"""Longest wait for an event after the first, whatever bytes arrive."""
FULL_EXCLUSION_SECONDS = 0.2
"""Time for which an engine that rejected an item as full receives no further items."""


@dataclass(slots=True)
class ItemRun:
    """One run of an item at an engine.

    `events_before` is the number of output events from earlier runs. `has_first_token` is set once
    the engine has begun its response, so it has read the prompt; `is_stopped` once this daemon has
    stopped the run.
    """

    progress: ItemProgress
    engine_id: str
    started_at: float
    size: RequestSize
    events_before: int
    has_first_token: bool = False
    is_stopped: bool = False


class ItemRuns:
    """All runs in flight, by number."""

    def __init__(
        self,
        routes: RouteTable,
        engines: EngineRegistry,
        log: Callable[..., None],
        limits: StoreLimits,
    ) -> None:
        # A result is stored in one call, and escapes make it shorter there than as JSON.
        self._max_output_bytes = min(MAX_OUTPUT_BYTES, limits.call_bytes // 2)
        self.by_number: dict[int, ItemRun] = {}
        self.started = 0
        self._routes = routes
        self._engines = engines
        self._log = log
        self._numbers = itertools.count(1)

    def start(
        self, now: float, progress: ItemProgress, manifest: Manifest, engine: Engine
    ) -> RunItem:
        """Starts a run of an item that has no run in flight."""
        ensure(not progress.run_number, "an item has two runs in flight")
        is_one_version = not progress.position or progress.version == engine.record.version
        ensure(is_one_version, "an item goes on at an engine of another version")
        number = next(self._numbers)
        progress.run_number = number
        progress.started_at = min(progress.started_at, now)
        progress.runs_started += 1
        self.started += 1
        size = RequestSize(progress.item.tokens, progress.item.tokens // 2)
        engine_id = engine.record.engine_id
        self.by_number[number] = ItemRun(progress, engine_id, now, size, progress.event_count)
        self._engines.on_sent(now, engine_id, True, size)
        self._log_start(now, progress, engine)
        return RunItem(
            number,
            engine_id,
            engine.record.address,
            manifest.host,
            progress.item,
            progress.position,
            FIRST_EVENT_TIMEOUT_SECONDS,
            EVENT_TIMEOUT_SECONDS,
            manifest.tenant,
            self._max_output_bytes - progress.output_bytes,
        )

    def _log_start(self, now: float, progress: ItemProgress, engine: Engine) -> None:
        self._log(
            "item sent",
            job_id=progress.job_id,
            item_id=progress.item.item_id,
            run=progress.runs_started,
            engine=engine.record.engine_id,
            engine_version=engine.record.version,
            load=engine.in_flight(now),
            resume_after=progress.position,
            output=progress.output_id.start,
            **factor_fields(now, engine),
            **configuration_fields(self._routes.known(now)),
        )

    def on_first_token(self, event: ItemBegun) -> None:
        """Records that the engine has read a run's prompt."""
        run = self.by_number.get(event.run)
        if run is not None and not run.has_first_token and not run.is_stopped:
            run.has_first_token = True
            self._engines.on_answered(run.engine_id)
            self._engines.on_first_token(run.engine_id, run.size)

    def on_progressed(self, event: ItemProgressed) -> None:
        """Adds the next events of a run's output."""
        run = self.by_number.get(event.run)
        if run is not None:
            run.progress.add_events(event.events)

    def stop(self, now: float, number: int) -> StopItem:
        """Stops a run; its slot counts as free immediately."""
        run = self.by_number[number]
        ensure(not run.is_stopped, "a run is stopped twice")
        run.is_stopped = True
        self._engines.on_preempted(now, run.engine_id, run.size, begun=run.has_first_token)
        return StopItem(number)

    def end(self, now: float, event: ItemRunEnded) -> ItemRun | None:
        """Handles the end of a run; returns the run, or None if it is unknown."""
        run = self.by_number.pop(event.run, None)
        if run is None:
            return None
        run.progress.run_number = 0
        run.progress.run_seconds += now - run.started_at
        self._update_engine(now, run, event)
        run.progress.add_events(event.events)
        self._log(
            "item run ended",
            job_id=run.progress.job_id,
            item_id=run.progress.item.item_id,
            engine=run.engine_id,
            kind=event.kind,
            status=event.status,
            reason=event.reason,
            position=run.progress.position,
            stopped=run.is_stopped,
            **answer_fields(event.answer),
        )
        return run

    def _update_engine(self, now: float, run: ItemRun, event: ItemRunEnded) -> None:
        """Updates the engine registry from the end of a run."""
        if not run.is_stopped:
            is_broken = event.kind in (AttemptOutcome.CUT, AttemptOutcome.UNREACHABLE)
            failed = is_broken and event.status == 0
            self._engines.on_ended(
                now, run.engine_id, True, run.size, begun=run.has_first_token, failed=failed
            )
        self._engines.idle_connections.on_kept(now, run.engine_id, event.connection_seconds)
        if event.load is not None:
            self._engines.on_load(now, run.engine_id, event.load)
        if event.wrong_instance:
            self._engines.mark_draining(run.engine_id)
        engine = self._engines.engines.get(run.engine_id)
        if event.kind is AttemptOutcome.REFUSED and engine is not None:
            engine.full_until = now + FULL_EXCLUSION_SECONDS
