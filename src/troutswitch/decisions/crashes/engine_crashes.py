"""Tells engines that ended under requests from answers that only broke off.

    (lost)   -> PENDING    an answer was lost: the engine is asked for a new connection
    PENDING  -> crash      its port refuses connections
    PENDING  -> crash      its entry went from the list without a planned end
    PENDING  -> forgotten  it answers an attempt that was sent later
    PENDING  -> forgotten  `PENDING_SECONDS` passed

That a port takes connections tells nothing: a proxy before an engine that ended does so.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from troutswitch.decisions.crashes.messages import (
    CheckEngine,
    Crash,
    EngineChecked,
    EngineFound,
)
from troutswitch.decisions.forwarding.engines import EngineRegistry

PENDING_SECONDS = 8.0
"""Time after which an engine's entry must be gone: three heartbeats without a write (3.6 s at the
usual 1.2 s), the reading of the list, and an outage of the store of some seconds."""
CHECK_SECONDS = 0.25
"""Least time between checks of one engine: an engine that breaks off many answers, and lives, is
asked for four connections a second by each daemon at the most."""
ENGINES_MOST = 1024
"""Engines that are looked into at once; beyond that, none is added."""
CONTENTS_MOST = 256
"""Requests that are noted for one engine: more than any has slots and places to wait."""


@dataclass(slots=True)
class _Lost:
    """The requests that were lost with one engine. Times are this process's clock."""

    contents: dict[str, None] = field(default_factory=dict)
    lost_at: float = float("-inf")
    check_at: float = float("inf")
    """When the engine is to be asked for a connection; infinite if it is not."""
    checked_at: float = float("-inf")


class EngineCrashes:
    """Engines of which answers were lost lately."""

    def __init__(self, engines: EngineRegistry, emit: Callable[[CheckEngine], None]) -> None:
        self._engines = engines
        self._emit = emit
        self._lost: dict[str, _Lost] = {}

    def on_lost(self, now: float, content: str, engine_id: str, is_silent: bool) -> None:
        """An attempt's answer was lost; `is_silent` if nothing came, not even an end.

        An engine that leaves as planned ends too, and no request is the cause.
        """
        engine = self._engines.engines.get(engine_id)
        if not content or engine is None or engine.is_leaving:
            return
        lost = self._lost.get(engine_id)
        if lost is None and len(self._lost) >= ENGINES_MOST:
            return
        if lost is None:
            lost = self._lost[engine_id] = _Lost()
        if len(lost.contents) < CONTENTS_MOST:
            lost.contents[content] = None
        lost.lost_at = now
        if not is_silent:
            lost.check_at = min(lost.check_at, max(now, lost.checked_at + CHECK_SECONDS))
            self._check(now, engine_id, lost)

    def _check(self, now: float, engine_id: str, lost: _Lost) -> None:
        engine = self._engines.engines.get(engine_id)
        if now < lost.check_at or engine is None:
            return
        lost.check_at = float("inf")
        lost.checked_at = now
        self._emit(CheckEngine(engine_id, engine.record.address))

    def on_checked(self, event: EngineChecked) -> list[Crash]:
        """Returns the crashes that a check has shown."""
        if event.found is not EngineFound.ENDED:
            return []
        lost = self._lost.pop(event.engine_id, _Lost())
        return _crashes(event.engine_id, lost)

    def on_answered(self, engine_id: str, sent_at: float) -> None:
        """An engine answers an attempt; one that was sent after the loss shows that it lives."""
        lost = self._lost.get(engine_id)
        if lost is not None and sent_at > lost.lost_at:
            del self._lost[engine_id]

    def on_list(self) -> list[Crash]:
        """Returns the crashes that a new list of engines has shown."""
        crashes: list[Crash] = []
        for engine_id, lost in list(self._lost.items()):
            engine = self._engines.engines.get(engine_id)
            if engine is not None and not engine.is_leaving:
                continue
            del self._lost[engine_id]
            if engine is None or not engine.is_draining:
                crashes += _crashes(engine_id, lost)
        return crashes

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        due = (min(lost.check_at, lost.lost_at + PENDING_SECONDS) for lost in self._lost.values())
        return min(due, default=float("inf"))

    def on_timer(self, now: float) -> None:
        """Makes the checks that are due, and forgets what was not shown to be a crash."""
        for engine_id, lost in list(self._lost.items()):
            self._check(now, engine_id, lost)
            if now >= lost.lost_at + PENDING_SECONDS:
                del self._lost[engine_id]


def _crashes(engine_id: str, lost: _Lost) -> list[Crash]:
    return [Crash(content, engine_id) for content in lost.contents]
