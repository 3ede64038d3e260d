"""Decides when the ports of failed engines are checked, before requests are sent to them again.

Question: does an engine listen at the address of an entry at which attempts failed?

Inputs: the engines that failed, and whether they are ejected (`engine_ejection`); the results of
the checks, each of which connects to an engine's port and sends nothing; this process's clock, in
seconds.

Rule: an engine that has not answered this daemon is checked after its first failure; an ejected one
`CHECK_LEAD_SECONDS` before its ejection is over, or at once if that is sooner. A failed check is a
further failure: it ejects the engine, or makes its ejection longer. So an entry of the engine list
that no engine listens at costs one or two attempts, and none later on. At most `MAX_CHECKS` run at
once, the ones due first. A check without a result after `RESULT_SECONDS` is forgotten, and its
engine is used when its ejection is over.
"""

from troutswitch.decisions.crashes.messages import CheckEngine, EngineChecked, EngineCheckResult
from troutswitch.decisions.forwarding.engines import EngineRegistry

CHECK_LEAD_SECONDS = 0.6
"""Time before the end of an ejection, slightly longer than the connect timeout of a check."""
MAX_CHECKS = 8
"""Maximum number of checks at once: they run on the threads of the calls to the store."""
RESULT_SECONDS = 3.0
"""Time after which a check without a result no longer counts as running: several times its connect
timeout, as threads may be busy."""


class FailedEngineChecks:
    """Schedules the checks of failed engines, and applies their results."""

    def __init__(self, engines: EngineRegistry) -> None:
        self._engines = engines
        self._due: dict[str, float] = {}
        """When each failed engine is to be checked, by id."""
        self._running: dict[str, float] = {}
        """When each check in flight began, by engine id."""

    def next_due(self) -> float:
        """Returns when `on_timer` must be called next, in seconds of this process's clock."""
        expiry = min(self._running.values(), default=float("inf")) + RESULT_SECONDS
        if len(self._running) >= MAX_CHECKS:
            return expiry
        return min(expiry, min(self._due.values(), default=float("inf")))

    def on_timer(self, now: float) -> list[CheckEngine]:
        """Returns the checks that are due."""
        for failed in self._engines.take_failed():
            due_at = max(now, failed.ejected_until - CHECK_LEAD_SECONDS)
            self._due[failed.record.engine_id] = due_at
        if now < self.next_due():
            return []
        self._running = {
            engine_id: begun_at
            for engine_id, begun_at in self._running.items()
            if now < begun_at + RESULT_SECONDS
        }
        due = [engine_id for engine_id, at in self._due.items() if at <= now]
        checks: list[CheckEngine] = []
        for engine_id in sorted(due, key=lambda name: self._due[name]):
            if len(self._running) >= MAX_CHECKS:
                break
            del self._due[engine_id]
            engine = self._engines.engines.get(engine_id)
            if engine is None or engine.is_leaving or not engine.failures:
                continue
            self._running[engine_id] = now
            checks.append(CheckEngine(engine_id, engine.record.address))
        return checks

    def on_checked(self, now: float, event: EngineChecked) -> bool:
        """Applies the result of a check; returns False if another part asked for it."""
        if self._running.pop(event.engine_id, None) is None:
            return False
        if event.result is not EngineCheckResult.LISTENS:
            self._engines.on_check_failed(now, event.engine_id)
        return True
