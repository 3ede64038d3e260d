"""Rule: at which engines may an item with output go on, and when does it start again?

Inputs: the software version of the engines that wrote an item's output, from its runs here or from
its saved output; the engines of its service that accept work now; the versions of the service
(`streams.versions`).

The rule:

1. An item without output runs at any engine. Otherwise it goes on at engines of the version that
   wrote its output.
2. If such an engine accepts work, the item does not start elsewhere for `VERSION_WAIT_SECONDS`.
   After that, or without such an engine, it starts again at another version: its output is dropped,
   and its saved parts are overwritten.
3. An item whose output became too long for a result starts again at any engine.
4. Output that was saved while its service had one version names none. It goes on while the service
   still has one; otherwise the item starts again.

Why: what two versions write does not fit together. Starting again costs a run, but an item that
waits without a bound for a version that is being replaced would miss its objective.

Measurements: docs/design/stream-versions.md.
"""

from collections.abc import Callable

from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.jobs.items import ItemProgress

VERSION_WAIT_SECONDS = 2.0
"""Time for which an item waits for a slot at the version of its output: about the time of a run."""


class ItemVersions:
    """Keeps the output of each item to one engine version."""

    def __init__(self, engines: EngineRegistry, log: Callable[..., None]) -> None:
        self._engines = engines
        self._log = log

    def may_start_at(self, now: float, progress: ItemProgress, engine: Engine) -> bool:
        """Returns whether an item may start at an engine now, with or without its output."""
        if self._fits(now, progress, engine):
            return True
        if progress.is_saving:
            return False  # its saved parts can't be replaced before their write has ended
        if progress.needs_restart:
            return True
        if not progress.version:
            return self._is_mixed(now, engine)
        if not self._has_engine(now, progress, engine.record.service):
            return True
        if progress.version_wait_ends_at is None:
            progress.version_wait_ends_at = now + VERSION_WAIT_SECONDS
        return now >= progress.version_wait_ends_at

    def prepare_run(self, now: float, progress: ItemProgress, engine: Engine) -> None:
        """Prepares an item for a run at an engine that `may_start_at` allows."""
        if not self._fits(now, progress, engine):
            self._log(
                "item starts again",
                job_id=progress.job_id,
                item_id=progress.item.item_id,
                events=progress.event_count,
                written_by=progress.version,
                engine_version=engine.record.version,
            )
            progress.start_again()
        progress.needs_restart = False
        progress.version = engine.record.version
        progress.version_wait_ends_at = None

    def _fits(self, now: float, progress: ItemProgress, engine: Engine) -> bool:
        """Returns whether the output of an item may go on at an engine."""
        if not progress.position:
            return True
        if progress.needs_restart:
            return False
        if progress.version:
            return progress.version == engine.record.version
        return not self._is_mixed(now, engine) and self._engines.versions.is_confirmed(now)

    def _is_mixed(self, now: float, engine: Engine) -> bool:
        return self._engines.versions.is_mixed(now, engine.record.service)

    def _has_engine(self, now: float, progress: ItemProgress, service: str) -> bool:
        """Returns whether an engine of the version that wrote an item's output accepts work."""
        usable = self._engines.usable(now, service)
        return any(engine.record.version == progress.version for engine in usable)
