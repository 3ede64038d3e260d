"""Reads requests, batch items and slots of a stretch of time from daemons' log lines.

It relies on the log events of the decisions by name and field; a line without a field that it
needs is left out or read as unknown.
"""

import bisect
import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import mean

from troutswitch.hindsight.log_lines import Line

FREE_FIRST_RANK = 0.1
"""Rank among the times to the first event, from 0 to 1, of one taken to have not waited."""
UNKNOWN_MILLISECONDS = 60_000
"""Times of this length and more stand for events that never came."""


@dataclass(slots=True)
class OnlineRequest:
    """An online request that was sent to an engine. Times are seconds.

    `first` is the time to the first event, infinite if none came; `slot_seconds` the time for
    which the request had its slot, 0 if unknown. Answers without events have a slot for a short
    time only, and are left out.
    """

    sent_at: float
    objective: float
    first: float = float("inf")
    slot_seconds: float = 0.0
    is_stream: bool = True

    @property
    def met_objective(self) -> bool:
        """Whether the first event came within the latency target."""
        return self.first <= self.objective


@dataclass(slots=True)
class BatchItem:
    """An item of an accepted job. Times are seconds; `work` is the time it ran in all."""

    accepted_at: float
    due: float
    work: float = 0.0
    listed_at: float = float("inf")

    @property
    def is_in_time(self) -> bool:
        """Whether its result was listed before it was due."""
        return self.listed_at <= self.due


@dataclass
class Day:
    """All from which the bound is worked out.

    `slots` holds times, in seconds since the epoch, and the slots of all engines since then.
    `deferred` counts requests that were asked to retry later.
    """

    online: list[OnlineRequest] = field(default_factory=list)
    items: list[BatchItem] = field(default_factory=list)
    slots: list[tuple[float, int]] = field(default_factory=list)
    deferred: int = 0

    def slots_at(self, at: float) -> int:
        """Returns the slots of all listed engines at a time; before the first line, as in it."""
        if not self.slots:
            return 0
        place = bisect.bisect_right(self.slots, (at, 1 << 31)) - 1
        return self.slots[max(0, place)][1]


class DayReader:
    """Folds log lines into a `Day`."""

    def __init__(self) -> None:
        self.day = Day()
        self._requests: dict[tuple[str, int], OnlineRequest] = {}
        self._seen: set[str] = set()
        self._jobs: dict[str, tuple[float, float, int]] = {}
        self._items: dict[str, BatchItem] = {}
        self._item_jobs: dict[str, str] = {}
        self._started: dict[str, float] = {}

    def read(self, lines: Iterable[Line]) -> Day:
        """Reads lines in the order of time."""
        for line in lines:
            self._take(line)
        self._finish()
        return self.day

    def _take(self, line: Line) -> None:
        match line.event:
            case "request sent":
                self._on_sent(line)
            case "attempt ended":
                self._on_ended(line)
            case "request deferred":
                self.day.deferred += 1
            case "engines changed" if "slots" in line.fields:
                self.day.slots.append((line.seconds, int(line.fields["slots"])))
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
            self.day.online.append(request)

    def _on_ended(self, line: Line) -> None:
        request = self._requests.get((str(line.fields["request_id"]), int(line.fields["attempt"])))
        first = int(line.fields.get("first_ms", UNKNOWN_MILLISECONDS))
        if request is None or first >= UNKNOWN_MILLISECONDS:
            return
        if line.fields.get("kind") == "completed" and not line.fields.get("position"):
            request.is_stream = False
        request.first = first / 1000
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
        """Completes items with the times of their jobs, and requests with their time in a slot."""
        for item_id, item in self._items.items():
            accepted, due, _ = self._jobs.get(self._item_jobs[item_id], (None, None, 0))
            if accepted is not None and due is not None:
                item.accepted_at, item.due = accepted, due
        known = {job: 0 for job in self._jobs}
        for item_id in self._items:
            known[self._item_jobs[item_id]] = known.get(self._item_jobs[item_id], 0) + 1
        self.day.items = list(self._items.values())
        for job, (accepted, due, count) in self._jobs.items():
            missing = max(0, count - known[job])
            self.day.items += [BatchItem(accepted, due) for _ in range(missing)]
        self._finish_work()
        self._finish_online()

    def _finish_work(self) -> None:
        """Assumes for each unfinished item the mean work of the finished ones."""
        listed = [item.work for item in self.day.items if item.listed_at != float("inf")]
        mean_work = mean(listed or [0.0])
        for item in self.day.items:
            if item.listed_at == float("inf"):
                item.work = max(item.work, mean_work)

    def _finish_online(self) -> None:
        self.day.online = [request for request in self.day.online if request.is_stream]
        free_first = self.free_first()
        for request in self.day.online:
            if request.slot_seconds:
                request.slot_seconds -= max(0.0, request.first - free_first)
        mean_seconds = mean([r.slot_seconds for r in self.day.online if r.slot_seconds] or [0.0])
        for request in self.day.online:
            request.slot_seconds = request.slot_seconds or mean_seconds

    def free_first(self) -> float:
        """Returns the time to the first event without a wait for a slot, in seconds."""
        came = sorted(r.first for r in self.day.online if r.first != float("inf"))
        return came[int(len(came) * FREE_FIRST_RANK)] if came else 0.0


def boundaries(day: Day, step: float) -> list[float]:
    """Returns the times that cut the day, from its first arrival on, into equal steps."""
    starts = [r.sent_at for r in day.online] + [i.accepted_at for i in day.items]
    ends = [r.sent_at + r.slot_seconds for r in day.online] + [i.due for i in day.items]
    ends = [end for end in ends if end != float("inf")]
    if not starts or not ends:
        return []
    first, last = min(starts), max(ends)
    count = int((last - first) / step) + 2
    return list(itertools.islice((first + step * n for n in itertools.count()), count))
