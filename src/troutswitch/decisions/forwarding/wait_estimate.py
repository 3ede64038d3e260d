"""Works out how long a request would wait for a slot at an engine.

Engines serve in the order of arrival. From when the online requests there were sent and
from how long one holds its slot, it is told when each slot is free. Batch items do not
count: they yield at once.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from troutswitch.decisions.forwarding.engines import Engine
from troutswitch.decisions.forwarding.run_times import ServiceTimes


@dataclass(frozen=True, slots=True)
class Estimate:
    """The wait for a slot at an engine, and what it was worked out from. Times are seconds."""

    wait: float
    queued: int
    slots: int
    held: float


NO_WAIT = Estimate(0.0, 0, 0, 0.0)


def slot_wait(now: float, engine: Engine, times: ServiceTimes) -> Estimate:
    """Returns how long one more request waits at an engine.

    Two estimates, of which the larger holds: by when each request there was sent, which
    tells that slots taken together are free together; and by how many wait, as which of the
    requests ended is not known.
    """
    queued = max(0, engine.online() + 1 - engine.slots)
    if queued == 0:
        return Estimate(0.0, 0, engine.slots, times.held)
    free_at = [now] * (engine.slots - min(engine.slots, len(engine.online_sent_at)))
    for sent_at in engine.online_sent_at:
        starts_at = sent_at if len(free_at) < engine.slots else heapq.heappop(free_at)
        ends_at = max(starts_at, sent_at) + times.held
        heapq.heappush(free_at, max(now, ends_at))
    by_times = max(0.0, min(free_at) - now)
    by_count = queued * times.held / engine.slots
    return Estimate(max(by_times, by_count), queued, engine.slots, times.held)


def least_wait(now: float, engines: Iterable[Engine], times: ServiceTimes) -> Estimate | None:
    """Returns the shortest of the waits at some engines; None if there is no engine."""
    waits = (slot_wait(now, engine, times) for engine in engines)
    return min(waits, key=lambda estimate: estimate.wait, default=None)
