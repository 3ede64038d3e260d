"""Decides whether an engine crashed, or only an answer of it was lost.

Question: answers of an engine were lost. Has its process ended unexpectedly?

Inputs: lost and begun answers on this daemon; the engine list as it was last read; checks of the
engine's port, which this daemon makes. Times are by this process's clock, in seconds.

Rule, for an engine of which answers were lost:

    (lost)   -> PENDING    its port is checked, at most once every `MIN_CHECK_INTERVAL_SECONDS`;
                           it is not checked after mere silence without a lost connection
    PENDING  -> crash      its port refuses connections
    PENDING  -> crash      its entry was removed from the list without a planned drain
    PENDING  -> forgotten  it answers an attempt that was sent after the loss
    PENDING  -> forgotten  `PENDING_SECONDS` passed

Why: a port that accepts connections proves nothing, because a proxy in front of a crashed engine
accepts them too. An engine that is draining ends as planned, so no request is the cause.

Measurements: docs/design/crashes.md.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from troutswitch.decisions.crashes.messages import (
    CheckEngine,
    Crash,
    EngineChecked,
    EngineCheckResult,
)
from troutswitch.decisions.forwarding.engines import EngineRegistry

PENDING_SECONDS = 8.0
"""Time in which the entry of a crashed engine disappears from the list: three missed heartbeats, a
read of the list, and a store outage of some seconds."""
MIN_CHECK_INTERVAL_SECONDS = 0.25
"""Minimum time between checks of one engine, for a live engine that loses many answers."""
MAX_PENDING_ENGINES = 1024
"""Maximum number of pending engines; further ones are ignored."""
MAX_CONTENTS_PER_ENGINE = 256
"""Maximum number of requests recorded for one engine: more than it runs and queues."""


@dataclass(slots=True)
class _LostAnswers:
    """The requests whose answers were lost with one engine."""

    contents: dict[str, None] = field(default_factory=dict)
    lost_at: float = float("-inf")
    check_at: float = float("inf")
    """When the engine's port is to be checked; infinite if no check is due."""
    checked_at: float = float("-inf")


class EngineCrashes:
    """The engines that recently lost answers, and whether they crashed."""

    def __init__(self, engines: EngineRegistry, emit: Callable[[CheckEngine], None]) -> None:
        self._engines = engines
        self._emit = emit
        self._lost: dict[str, _LostAnswers] = {}

    def on_lost(self, now: float, content: str, engine_id: str, is_silent: bool) -> None:
        """Records that an attempt's answer was lost.

        Args:
            is_silent: nothing was received, not even the end of the connection.
        """
        engine = self._engines.engines.get(engine_id)
        if not content or engine is None or engine.is_leaving:
            return
        lost = self._lost.get(engine_id)
        if lost is None and len(self._lost) >= MAX_PENDING_ENGINES:
            return
        if lost is None:
            lost = self._lost[engine_id] = _LostAnswers()
        if len(lost.contents) < MAX_CONTENTS_PER_ENGINE:
            lost.contents[content] = None
        lost.lost_at = now
        if not is_silent:
            lost.check_at = min(
                lost.check_at, max(now, lost.checked_at + MIN_CHECK_INTERVAL_SECONDS)
            )
            self._check(now, engine_id, lost)

    def _check(self, now: float, engine_id: str, lost: _LostAnswers) -> None:
        engine = self._engines.engines.get(engine_id)
        if now < lost.check_at or engine is None:
            return
        lost.check_at = float("inf")
        lost.checked_at = now
        self._emit(CheckEngine(engine_id, engine.record.address))

    def on_checked(self, event: EngineChecked) -> list[Crash]:
        """Returns the crashes that a check of an engine proves."""
        if event.result is not EngineCheckResult.ENDED:
            return []
        lost = self._lost.pop(event.engine_id, _LostAnswers())
        return _crashes(event.engine_id, lost)

    def on_answered(self, engine_id: str, sent_at: float) -> bool:
        """Forgets an engine that answers an attempt sent after the loss, as it is alive.

        Returns whether it was forgotten.
        """
        lost = self._lost.get(engine_id)
        if lost is None or sent_at <= lost.lost_at:
            return False
        del self._lost[engine_id]
        return True

    def on_list(self) -> list[Crash]:
        """Returns the crashes that a new list of engines proves."""
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
        """Makes the checks that are due, and forgets engines that were pending for too long."""
        for engine_id, lost in list(self._lost.items()):
            self._check(now, engine_id, lost)
            if now >= lost.lost_at + PENDING_SECONDS:
                del self._lost[engine_id]


def _crashes(engine_id: str, lost: _LostAnswers) -> list[Crash]:
    return [Crash(content, engine_id) for content in lost.contents]
