"""Decides for how long an engine is ejected after failures.

Question: attempts on an engine failed (no connection, or a lost answer). Is it sent work now?

Inputs: its consecutive failures, as seen by this daemon alone; this process's clock, in seconds.

Rule: after `FAILURES_TO_EJECT` consecutive failures an engine is ejected, first for
`MIN_EJECTION_SECONDS`, then for twice as long after each further failure, up to
`MAX_EJECTION_SECONDS`. Any attempt that doesn't fail ends the ejection. If all engines of a service
are ejected, all are used: the cause is then more often this daemon's own network.

An engine is known to be reachable if it has answered this daemon and has not failed since.

Measurements: docs/POLICY.md.
"""

from troutswitch.decisions.forwarding.engine import Engine

FAILURES_TO_EJECT = 2
"""Consecutive failures after which an engine is ejected."""
MIN_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 4.0
MAX_DOUBLINGS = 8
"""Bounds the exponent, so that the power of two does not grow without limit."""


def on_failure(now: float, engine: Engine) -> None:
    """Counts a failure, and ejects the engine for a while if there were several."""
    engine.failures += 1
    if engine.failures < FAILURES_TO_EJECT:
        return
    doublings = min(engine.failures - FAILURES_TO_EJECT, MAX_DOUBLINGS)
    pause = min(MIN_EJECTION_SECONDS * 2**doublings, MAX_EJECTION_SECONDS)
    engine.ejected_until = now + pause


def on_success(engine: Engine) -> None:
    """Resets the failures after an attempt that didn't fail."""
    engine.failures = 0
    engine.ejected_until = float("-inf")


def is_reachable(engine: Engine) -> bool:
    """Returns whether the engine has answered, and no attempt has failed since."""
    return engine.has_answered and engine.failures == 0


def without_ejected(now: float, engines: list[Engine]) -> list[Engine]:
    """Returns the engines that are not ejected; all if every engine is."""
    return [engine for engine in engines if now >= engine.ejected_until] or engines
