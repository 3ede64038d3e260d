"""An upper bound on the online requests and batch items that could have been served in time.

The bound is computed after the fact from a whole `Workload`. It holds for any scheduling
decisions, because each of its assumptions makes it larger than what can be achieved:

- The slots of all listed engines form one pool. A crashed engine counts until its entry is removed.
- No request or item is lost or interrupted.
- Online requests have priority, and those that cannot meet their latency target take no slot.
- Batch items use every slot that online requests leave free, are stopped and resumed at no cost,
  and may run on several slots at the same time.

A deferred request counts at the time of its retry.
"""

import bisect
import heapq
from dataclasses import dataclass

from troutswitch.hindsight.workload import BatchItem, OnlineRequest, Workload, step_times

STEP_SECONDS = 0.05
"""Time step at which the slots available to batch items are sampled."""
WINDOW_SECONDS = 2.0
"""Length of the windows by which online requests are counted."""


@dataclass(frozen=True, slots=True)
class ServedCounts:
    """Counts of requests or items: all, served in time, and at most possible in time."""

    total: int
    served: int
    possible: int

    @property
    def gap(self) -> int:
        """How many more could have been served in time with hindsight."""
        return max(0, self.possible - self.served)


@dataclass(frozen=True, slots=True)
class Bound:
    """The bound of a workload.

    `windows` holds the start of each window, in seconds since the first request, and its counts of
    online requests.
    """

    online: ServedCounts
    batch: ServedCounts
    windows: list[tuple[float, ServedCounts]]


@dataclass
class _SlotPool:
    """The slots of all engines as one pool.

    `runs` holds the begin and end, in seconds since the epoch, of each admitted request.
    """

    workload: Workload
    unqueued_first_event: float
    runs: list[tuple[float, float]]

    def admit(self, request: OnlineRequest, running_ends: list[float]) -> bool:
        """Gives a request a slot if one is free early enough for its latency target.

        Args:
            request: The next request in order of arrival.
            running_ends: Heap of the end times of the admitted requests; updated.

        Returns:
            Whether the request got a slot.
        """
        while running_ends and running_ends[0] <= request.sent_at:
            heapq.heappop(running_ends)
        slots = self.workload.slots_at(request.sent_at)
        waiting = len(running_ends) - slots
        begins = request.sent_at
        if waiting >= 0:
            if waiting >= len(running_ends):
                return False
            begins = heapq.nsmallest(waiting + 1, running_ends)[-1]
        if begins - request.sent_at + self.unqueued_first_event > request.objective:
            return False
        heapq.heappush(running_ends, begins + request.slot_seconds)
        self.runs.append((begins, begins + request.slot_seconds))
        return True


def compute_bound(workload: Workload, unqueued_first_event: float) -> Bound:
    """Returns the bound of a workload.

    Args:
        workload: All requests, items and slots.
        unqueued_first_event: Time to the first event without a wait for a slot, in seconds.
    """
    pool = _SlotPool(workload, unqueued_first_event, [])
    running_ends: list[float] = []
    online = sorted(workload.online, key=lambda r: r.sent_at)
    admitted = [pool.admit(request, running_ends) for request in online]
    work = max_batch_work_in_time(workload, pool.runs)
    return Bound(
        ServedCounts(len(online), sum(r.met_objective for r in online), sum(admitted)),
        ServedCounts(
            len(workload.items),
            sum(item.is_in_time for item in workload.items),
            count_items_within(workload.items, work),
        ),
        _windows(online, admitted),
    )


def max_batch_work_in_time(workload: Workload, runs: list[tuple[float, float]]) -> float:
    """Returns the maximum batch work, in slot-seconds, that can be done before it is due.

    The work with the earliest due time runs first, which maximises the work done in time.
    """
    begins = sorted(begin for begin, _ in runs)
    ends = sorted(end for _, end in runs)
    waiting = sorted(workload.items, key=lambda item: item.accepted_at, reverse=True)
    open_work: list[tuple[float, float]] = []
    done = 0.0
    for at in step_times(workload, STEP_SECONDS):
        while waiting and waiting[-1].accepted_at <= at:
            item = waiting.pop()
            heapq.heappush(open_work, (item.due, item.work))
        running = bisect.bisect_right(begins, at) - bisect.bisect_right(ends, at)
        capacity = max(0, workload.slots_at(at) - running) * STEP_SECONDS
        while open_work and capacity > 0:
            due, remaining = heapq.heappop(open_work)
            if due <= at:
                continue
            part = min(capacity, remaining)
            capacity -= part
            done += part
            if remaining > part:
                heapq.heappush(open_work, (due, remaining - part))
    return done


def count_items_within(items: list[BatchItem], work: float) -> int:
    """Returns how many items an amount of work, in slot-seconds, can finish, shortest first."""
    count = 0
    for needed in sorted(item.work for item in items):
        work -= needed
        if work < -1e-9:
            break
        count += 1
    return count


def _windows(online: list[OnlineRequest], admitted: list[bool]) -> list[tuple[float, ServedCounts]]:
    if not online:
        return []
    first = online[0].sent_at
    by_window: dict[int, list[tuple[bool, bool]]] = {}
    for request, is_possible in zip(online, admitted, strict=True):
        window = int((request.sent_at - first) / WINDOW_SECONDS)
        by_window.setdefault(window, []).append((request.met_objective, is_possible))
    return [
        (
            window * WINDOW_SECONDS,
            ServedCounts(len(rows), sum(r for r, _ in rows), sum(c for _, c in rows)),
        )
        for window, rows in sorted(by_window.items())
    ]
