"""Reads the requests, batch items and slots of a period from daemons' log lines.

The reader matches log events of `decisions` by name and field. A line that lacks a needed field is
skipped, or its value counts as unknown.
"""

import bisect
import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import mean

from troutswitch.hindsight.log_lines import Line

UNQUEUED_RANK = 0.1
"""Quantile of the times to the first event that is taken as the time without a wait, 0 to 1."""
MISSING_EVENT_MILLISECONDS = 60_000
"""Logged times of this length and above mean that the event did not happen."""


@dataclass(slots=True)
class OnlineRequest:
    """An online request that was sent to an engine. Times are in seconds.

    `first_event` is the time to the first event, infinite if there was none. `slot_seconds` is the
    time for which the request occupied its slot, 0 if unknown. Answers without events occupy a slot
    only briefly and are left out of the workload.
    """

    sent_at: float
    objective: float
    first_event: float = float("inf")
    slot_seconds: float = 0.0
    is_stream: bool = True

    @property
    def met_objective(self) -> bool:
        """Whether the first event arrived within the latency target."""
        return self.first_event <= self.objective


@dataclass(slots=True)
class BatchItem:
    """An item of an accepted job. Times are in seconds; `work` is the total time of its runs."""

    accepted_at: float
    due: float
    work: float = 0.0
    listed_at: float = float("inf")

    @property
    def is_in_time(self) -> bool:
        """Whether the result was listed by the due time."""
        return self.listed_at <= self.due


@dataclass
class Workload:
    """The requests, items and slots from which the bound is computed.

    `slots` holds pairs of a time, in seconds since the epoch, and the slots of all engines from
    then on. `deferred` counts requests that were asked to retry later.
    """

    online: list[OnlineRequest] = field(default_factory=list)
    items: list[BatchItem] = field(default_factory=list)
    slots: list[tuple[float, int]] = field(default_factory=list)
    deferred: int = 0

    def slots_at(self, at: float) -> int:
        """Returns the slots of all listed engines at a time.

        Before the first entry, the slots of the first entry are returned.
        """
        if not self.slots:
            return 0
        index = bisect.bisect_right(self.slots, (at, 1 << 31)) - 1
        return self.slots[max(0, index)][1]


class WorkloadReader:
    """Collects a `Workload` from log lines."""

    def __init__(self) -> None:
        self.workload = Workload()
        self._requests: dict[tuple[str, int], OnlineRequest] = {}
        self._seen: set[str] = set()
        self._jobs: dict[str, tuple[float, float, int]] = {}
        self._items: dict[str, BatchItem] = {}
        self._item_jobs: dict[str, str] = {}
        self._started: dict[str, float] = {}

    def read(self, lines: Iterable[Line]) -> Workload:
        """Reads lines in time order and returns the completed workload."""
        for line in lines:
            self._read_line(line)
        self._finish()
        return self.workload

    def _read_line(self, line: Line) -> None:
        match line.event:
            case "request sent":
                self._on_sent(line)
            case "attempt ended":
                self._on_ended(line)
            case "request deferred":
                self.workload.deferred += 1
            case "engines changed" if "slots" in line.fields:
                self.workload.slots.append((line.seconds, int(line.fields["slots"])))
            case "job submission ended" if line.fields.get("status") == 202:
                due = line.seconds + float(line.fields.get("due_ms", 0)) / 1000
                job = (line.seconds, due, int(line.fields["items"]))
                self._jobs.setdefault(str(line.fields["job_id"]), job)
            case "item sent":
                self._item(line)
                self._started[str(line.fields["item_id"])] = line.seconds
            case "item run ended":
                self._on_run_ended(line)
            case "item listed":
                item = self._item(line)
                item.listed_at = min(item.listed_at, line.seconds)

    def _on_sent(self, line: Line) -> None:
        objective = float(line.fields.get("objective_ms", 0)) / 1000
        request_id = str(line.fields["request_id"])
        request = OnlineRequest(line.seconds, objective)
        self._requests[request_id, int(line.fields["attempt"])] = request
        if request_id not in self._seen:
            self._seen.add(request_id)
            self.workload.online.append(request)

    def _on_ended(self, line: Line) -> None:
        request = self._requests.get((str(line.fields["request_id"]), int(line.fields["attempt"])))
        first = int(line.fields.get("first_ms", MISSING_EVENT_MILLISECONDS))
        if request is None or first >= MISSING_EVENT_MILLISECONDS:
            return
        if line.fields.get("kind") == "completed" and not line.fields.get("position"):
            request.is_stream = False
        request.first_event = first / 1000
        if line.fields.get("kind") == "completed":
            request.slot_seconds = int(line.fields.get("total_ms", 0)) / 1000

    def _item(self, line: Line) -> BatchItem:
        item_id = str(line.fields["item_id"])
        self._item_jobs[item_id] = str(line.fields["job_id"])
        return self._items.setdefault(item_id, BatchItem(line.seconds, float("inf")))

    def _on_run_ended(self, line: Line) -> None:
        started = self._started.pop(str(line.fields["item_id"]), None)
        if started is not None:
            self._item(line).work += line.seconds - started

    def _finish(self) -> None:
        """Fills in what depends on all lines: due times, missing items, work and slot times."""
        for item_id, item in self._items.items():
            accepted, due, _ = self._jobs.get(self._item_jobs[item_id], (None, None, 0))
            if accepted is not None and due is not None:
                item.accepted_at, item.due = accepted, due
        item_counts = {job: 0 for job in self._jobs}
        for item_id in self._items:
            item_counts[self._item_jobs[item_id]] = item_counts.get(self._item_jobs[item_id], 0) + 1
        self.workload.items = list(self._items.values())
        for job, (accepted, due, count) in self._jobs.items():
            missing = max(0, count - item_counts[job])
            self.workload.items += [BatchItem(accepted, due) for _ in range(missing)]
        self._finish_work()
        self._finish_online()

    def _finish_work(self) -> None:
        """Sets the work of each unfinished item to at least the mean work of the finished items."""
        listed = [item.work for item in self.workload.items if item.listed_at != float("inf")]
        mean_work = mean(listed or [0.0])
        for item in self.workload.items:
            if item.listed_at == float("inf"):
                item.work = max(item.work, mean_work)

    def _finish_online(self) -> None:
        self.workload.online = [request for request in self.workload.online if request.is_stream]
        unqueued_first_event = self.unqueued_first_event()
        for request in self.workload.online:
            if request.slot_seconds:
                request.slot_seconds -= max(0.0, request.first_event - unqueued_first_event)
        mean_seconds = mean(
            [r.slot_seconds for r in self.workload.online if r.slot_seconds] or [0.0]
        )
        for request in self.workload.online:
            request.slot_seconds = request.slot_seconds or mean_seconds

    def unqueued_first_event(self) -> float:
        """Returns the time to the first event without a wait for a slot, in seconds."""
        first_events = sorted(
            r.first_event for r in self.workload.online if r.first_event != float("inf")
        )
        return first_events[int(len(first_events) * UNQUEUED_RANK)] if first_events else 0.0


def step_times(workload: Workload, step: float) -> list[float]:
    """Returns equally spaced times from the first arrival to after the last end or due time."""
    starts = [r.sent_at for r in workload.online] + [i.accepted_at for i in workload.items]
    ends = [r.sent_at + r.slot_seconds for r in workload.online] + [i.due for i in workload.items]
    ends = [end for end in ends if end != float("inf")]
    if not starts or not ends:
        return []
    first, last = min(starts), max(ends)
    count = int((last - first) / step) + 2
    return list(itertools.islice((first + step * n for n in itertools.count()), count))
