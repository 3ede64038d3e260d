"""Estimates how long a request would wait for a slot at an engine.

Relies on the local counts of the online requests on the engine and their send times (`engines`),
and on the time for which a request occupies its slot (`run_times`). Engines serve requests in the
order of arrival. Batch items do not count: they are preempted immediately. Where engines differ in
speed, the time of a slot is the mean of the service multiplied by the engine's relative factor
(`engine_cost`).
"""

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.run_times import ServiceTimes


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """The estimated wait for a slot at an engine, and the values that it is based on.

    `wait` and `slot_time` are seconds at this engine. `queued` is the number of requests that would
    be queued there, including the new one.
    """

    wait: float
    queued: int
    slots: int
    slot_time: float


NO_WAIT = WaitEstimate(0.0, 0, 0, 0.0)


def slot_wait(now: float, engine: Engine, times: ServiceTimes, factor: float = 1.0) -> WaitEstimate:
    """Returns the estimated wait of one more request at an engine.

    The result is the larger of two estimates. The one by send times is needed because slots that
    were taken together become free together. The one by the number of queued requests is needed
    because it is not known which request ended.

    `factor` is the engine's relative factor.
    """
    slot_time = times.slot_time * factor
    queued = max(0, engine.online_count() + 1 - engine.slots)
    if queued == 0:
        return WaitEstimate(0.0, 0, engine.slots, slot_time)
    by_times = max(0.0, _next_slot_at(now, engine, slot_time) - now)
    by_count = queued * slot_time / engine.slots
    return WaitEstimate(max(by_times, by_count), queued, engine.slots, slot_time)


def least_wait(engine: Engine, times: ServiceTimes, factor: float) -> float:
    """Returns a lower bound of `slot_wait` that takes little time to compute, in seconds."""
    queued = max(0, engine.online_count() + 1 - engine.slots)
    return queued * times.slot_time * factor / engine.slots


def _next_slot_at(now: float, engine: Engine, slot_time: float) -> float:
    """Returns when the next slot is free if requests run in the order in which they were sent."""
    free_at = [now] * (engine.slots - min(engine.slots, len(engine.online_sent_at)))
    for sent_at in engine.online_sent_at:
        starts_at = sent_at if len(free_at) < engine.slots else heapq.heappop(free_at)
        ends_at = max(starts_at, sent_at) + slot_time
        heapq.heappush(free_at, max(now, ends_at))
    return min(free_at)


def shortest_wait(
    now: float,
    engines: Iterable[Engine],
    times: ServiceTimes,
    factors: Mapping[str, float] | None = None,
) -> WaitEstimate | None:
    """Returns the shortest wait at any of some engines; None if there is no engine.

    `factors` has the relative factors of the engines, by id.
    """
    known = factors or {}
    waits = (
        slot_wait(now, engine, times, known.get(engine.record.engine_id, 1.0)) for engine in engines
    )
    return min(waits, key=lambda estimate: estimate.wait, default=None)
