"""Works out how long a request would wait for a slot at a server.

Servers serve in the order of arrival. From when the online requests there were sent and
from how long one holds its slot, it is told when each slot is free. Batch items do not
count: they yield at once.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from troutswitch.decisions.forwarding.engines import Server
from troutswitch.decisions.forwarding.run_times import ServiceTimes


@dataclass(frozen=True, slots=True)
class Estimate:
    """The wait for a slot at a server, and what it was worked out from. Times are seconds."""

    wait: float
    queued: int
    slots: int
    held: float


NO_WAIT = Estimate(0.0, 0, 0, 0.0)


def slot_wait(now: float, server: Server, times: ServiceTimes) -> Estimate:
    """Returns how long one more request waits at a server.

    Two estimates, of which the larger holds: by when each request there was sent, which
    tells that slots taken together are free together; and by how many wait, as which of the
    requests ended is not known.
    """
    queued = max(0, server.online() + 1 - server.slots)
    if queued == 0:
        return Estimate(0.0, 0, server.slots, times.held)
    free_at = [now] * (server.slots - min(server.slots, len(server.online_sent_at)))
    for sent_at in server.online_sent_at:
        starts_at = sent_at if len(free_at) < server.slots else heapq.heappop(free_at)
        ends_at = max(starts_at, sent_at) + times.held
        heapq.heappush(free_at, max(now, ends_at))
    by_times = max(0.0, min(free_at) - now)
    by_count = queued * times.held / server.slots
    return Estimate(max(by_times, by_count), queued, server.slots, times.held)


def least_wait(now: float, servers: Iterable[Server], times: ServiceTimes) -> Estimate | None:
    """Returns the shortest of the waits at some servers; None if there is no server."""
    waits = (slot_wait(now, server, times) for server in servers)
    return min(waits, key=lambda estimate: estimate.wait, default=None)
