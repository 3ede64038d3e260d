"""Decides for how long an engine is left out after failures.

Question: attempts on an engine failed (no connection, or a lost answer). Is it sent work now?

Inputs: its failures in a row, as seen by this daemon alone; this process's clock, in seconds.

Rule: after `FAILURES_TO_EJECT` failures in a row it is left out, at first for
`MIN_EJECTION_SECONDS`, then twice as long after each further failure, up to `MAX_EJECTION_SECONDS`.
Any attempt that doesn't fail ends this. When all engines of a service are left out, all are used:
that all of them failed is more often a fault of this daemon's own network.

Measurements: docs/POLICY.md.
"""

from troutswitch.decisions.forwarding.engine import Engine

FAILURES_TO_EJECT = 2
"""Failures in a row after which an engine is left out."""
MIN_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 4.0
MAX_DOUBLINGS = 8
"""Guards against a power that grows without bound."""


def on_failure(now: float, engine: Engine) -> None:
    """Counts a failure, and leaves the engine out for a while if there were several."""
    engine.failures += 1
    if engine.failures < FAILURES_TO_EJECT:
        return
    doublings = min(engine.failures - FAILURES_TO_EJECT, MAX_DOUBLINGS)
    pause = min(MIN_EJECTION_SECONDS * 2**doublings, MAX_EJECTION_SECONDS)
    engine.ejected_until = now + pause


def on_success(engine: Engine) -> None:
    """Takes an attempt that didn't fail."""
    engine.failures = 0
    engine.ejected_until = float("-inf")


def without_ejected(now: float, engines: list[Engine]) -> list[Engine]:
    """Returns the engines that are not left out; all if there are none."""
    return [engine for engine in engines if now >= engine.ejected_until] or engines
