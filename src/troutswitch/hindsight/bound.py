"""An upper bound on the requests and items that any decisions could have served in time.

It is worked out afterwards, from a whole `Day`. Assumptions, all of which make the bound larger
than what can be reached: the slots of all listed engines are one pool (a crashed one counts until
its entry is gone); nothing is lost or cut; online requests come first, and those that cannot meet
their latency target take no slot; batch items use every slot that online requests leave, are
stopped and resumed at no cost, and may run on many slots at once. A deferred request counts where
it was retried.
"""

import bisect
import heapq
from dataclasses import dataclass

from troutswitch.hindsight.day import BatchItem, Day, OnlineRequest, boundaries

STEP_SECONDS = 0.05
"""Step in which the slots for batch items are counted."""
WINDOW_SECONDS = 2.0
"""Length of the windows in which online requests are counted."""


@dataclass(frozen=True, slots=True)
class Share:
    """Of `total`, those served in time, and those that could have been at most."""

    total: int
    reached: int
    possible: int

    @property
    def gap(self) -> int:
        """How many more hindsight could have served in time."""
        return max(0, self.possible - self.reached)


@dataclass(frozen=True, slots=True)
class Bound:
    """The bound of a day: online requests, batch items, and online requests by window."""

    online: Share
    batch: Share
    windows: list[tuple[float, Share]]


@dataclass
class _Pool:
    """The slots of all engines as one pool.

    `runs` holds begin and end, in seconds since the epoch, of each request that got a slot.
    """

    day: Day
    free_first: float
    runs: list[tuple[float, float]]

    def admit(self, request: OnlineRequest, busy: list[float]) -> bool:
        """Gives a request a slot if one is free in time; `busy` holds the ends of those running."""
        while busy and busy[0] <= request.sent_at:
            heapq.heappop(busy)
        slots = self.day.slots_at(request.sent_at)
        waiting = len(busy) - slots
        begins = request.sent_at
        if waiting >= 0:
            if waiting >= len(busy):
                return False
            begins = heapq.nsmallest(waiting + 1, busy)[-1]
        if begins - request.sent_at + self.free_first > request.objective:
            return False
        heapq.heappush(busy, begins + request.slot_seconds)
        self.runs.append((begins, begins + request.slot_seconds))
        return True


def bound(day: Day, free_first: float) -> Bound:
    """Returns the bound of a day.

    `free_first` is the time to the first event without a wait for a slot, in seconds.
    """
    pool = _Pool(day, free_first, [])
    busy: list[float] = []
    online = sorted(day.online, key=lambda r: r.sent_at)
    admitted = [pool.admit(request, busy) for request in online]
    work = batch_work_in_time(day, pool.runs)
    return Bound(
        Share(len(online), sum(r.met_objective for r in online), sum(admitted)),
        Share(
            len(day.items),
            sum(item.is_in_time for item in day.items),
            items_within(day.items, work),
        ),
        _windows(online, admitted),
    )


def batch_work_in_time(day: Day, runs: list[tuple[float, float]]) -> float:
    """Returns the most batch work, in slot-seconds, that can be done before it is due.

    Work that is due first goes first, which leaves nothing undone that could be done.
    """
    begins = sorted(begin for begin, _ in runs)
    ends = sorted(end for _, end in runs)
    waiting = sorted(day.items, key=lambda item: item.accepted_at, reverse=True)
    open_work: list[tuple[float, float]] = []
    done = 0.0
    for at in boundaries(day, STEP_SECONDS):
        while waiting and waiting[-1].accepted_at <= at:
            item = waiting.pop()
            heapq.heappush(open_work, (item.due, item.work))
        running = bisect.bisect_right(begins, at) - bisect.bisect_right(ends, at)
        capacity = max(0, day.slots_at(at) - running) * STEP_SECONDS
        while open_work and capacity > 0:
            due, left = heapq.heappop(open_work)
            if due <= at:
                continue
            part = min(capacity, left)
            capacity -= part
            done += part
            if left > part:
                heapq.heappush(open_work, (due, left - part))
    return done


def items_within(items: list[BatchItem], work: float) -> int:
    """Returns how many items so much work, in slot-seconds, can finish: the shortest ones first."""
    count = 0
    for needed in sorted(item.work for item in items):
        work -= needed
        if work < -1e-9:
            break
        count += 1
    return count


def _windows(online: list[OnlineRequest], admitted: list[bool]) -> list[tuple[float, Share]]:
    if not online:
        return []
    first = online[0].sent_at
    by_window: dict[int, list[tuple[bool, bool]]] = {}
    for request, could in zip(online, admitted, strict=True):
        window = int((request.sent_at - first) / WINDOW_SECONDS)
        by_window.setdefault(window, []).append((request.met_objective, could))
    return [
        (
            window * WINDOW_SECONDS,
            Share(len(rows), sum(r for r, _ in rows), sum(c for _, c in rows)),
        )
        for window, rows in sorted(by_window.items())
    ]
