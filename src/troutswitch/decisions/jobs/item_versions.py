"""Rule: at which engines may an item with output go on, and when does it start again?

Inputs: the software version of the engines that wrote an item's output, from its runs here or from
its saved output; the engines of its service that accept work now.

The rule:

1. An item without output runs at any engine. Otherwise it goes on at engines of the version that
   wrote its output.
2. If such an engine accepts work, the item does not start elsewhere for `VERSION_WAIT_SECONDS`.
   After that, or without such an engine, it starts again at another version: its output is dropped,
   and its saved parts are overwritten.
3. An item whose output became too long for a result starts again at any engine.
4. Each start from the beginning is a new output with a name of its own (`OutputId`). Saved parts
   state it, so that a later owner continues the output to which they belong, at its version, also
   if by then it knows of no other version. Parts that state none are not continued.

Why: what two versions write does not fit together. Starting again costs a run, but an item that
waits without a bound for a version that is being replaced would miss its objective.

Measurements: docs/design/stream-versions.md.
"""

import itertools
from collections.abc import Callable

from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.records import OutputId

VERSION_WAIT_SECONDS = 2.0
"""Time for which an item waits for a slot at the version of its output: about the time of a run."""
START_MASK = 0xFFFFFFFF


class ItemVersions:
    """Keeps the output of each item to one engine version.

    Args:
        incarnation: the random number of this process, which makes names of outputs unique.
    """

    def __init__(self, engines: EngineRegistry, incarnation: int, log: Callable[..., None]) -> None:
        self._engines = engines
        self._incarnation = incarnation
        self._numbers = itertools.count(1)
        self._log = log

    def may_start_at(self, now: float, progress: ItemProgress, engine: Engine) -> bool:
        """Returns whether an item may start at an engine now, with or without its output."""
        if self._fits(progress, engine):
            return True
        if progress.is_saving:
            return False  # its saved parts can't be replaced before their write has ended
        if progress.needs_restart:
            return True
        if not self._has_engine(now, progress, engine.record.service):
            return True
        if progress.version_wait_ends_at is None:
            progress.version_wait_ends_at = now + VERSION_WAIT_SECONDS
        return now >= progress.version_wait_ends_at

    def prepare_run(self, now: float, progress: ItemProgress, engine: Engine) -> None:
        """Prepares an item for a run at an engine that `may_start_at` allows."""
        if not self._fits(progress, engine):
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
        if not progress.position:
            progress.begin_output(OutputId(engine.record.version, self._next_start()))
        progress.version_wait_ends_at = None

    def _next_start(self) -> str:
        """Returns a name for the start of an output: this process, and a number."""
        return f"{self._incarnation & START_MASK:08x}{next(self._numbers) & START_MASK:08x}"

    @staticmethod
    def _fits(progress: ItemProgress, engine: Engine) -> bool:
        """Returns whether the output of an item may go on at an engine."""
        if not progress.position:
            return True
        return not progress.needs_restart and progress.version == engine.record.version

    def _has_engine(self, now: float, progress: ItemProgress, service: str) -> bool:
        """Returns whether an engine of the version that wrote an item's output accepts work."""
        usable = self._engines.usable(now, service)
        return any(engine.record.version == progress.version for engine in usable)
