"""Decides which waiting request gets the next free slot of one group of engines.

The coordinator of a group keeps one `SlotQueue` for it (`queue_coordinator.py`).

Inputs: the requests that wait, each with its flow (its tenant, else its route), priority, the
latest time of a slot with which it meets its objective, the time after which a slot is of no use
to it, and the engines that it can't use; the slot time that each flow was granted.

Rule:

1. The highest priority first, which has the lowest number.
2. Between flows of one priority: start-time fair queueing over slot time. Each flow has a start
   tag; the flow with the lowest tag is next, and a grant moves its tag on by the slot time that
   it uses. A flow that begins to wait gets the tag at which its last grant ended, but at least the
   highest tag of a grant less its equal share of the group's slots, so that what it gains from the
   time in which it did not wait is bounded.
3. Within a flow: callers that return after a refusal; then the earliest objective that can still
   be met; then requests that will be late anyway, in the order of their arrival.
4. A slot that the first request can't use goes to the next one that can.
5. A request is denied if its slot is expected only after its expiry, or if it is last in order
   and the queue is beyond its bound.

Why: with a first-in-first-out queue at each engine, a flow that sends 7 times its share gets 7 of 8
slots, and all flows wait for its backlog. By tags a flow that uses less than its share has the
lowest one, and waits for about the next free slot. The earliest objective comes first because it
is the one that is missed first; one that is missed already loses nothing more by waiting.

The load that this answers: docs/design/hard-load.md, "The load" and "C. One queue under
contention". Times are seconds of the coordinator's clock.
"""

import heapq
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field
from typing import TypeVar

from troutswitch.decisions.invariants import ensure

SILENT_ENTRY_SECONDS = 1.0
"""Time without a repetition after which an entry is dropped: two of its holder's intervals, so that
one lost datagram drops no request."""
QUEUE_SLOT_MULTIPLE = 4
"""Bound of a queue, as a multiple of the group's slots. A request at the end waits for four slot
times, 1.1 to 2.1 s with slots of 278 to 536 ms; callers that received nothing leave after some
2.4 s. With 2, a crest of 1.87 of a mean of 0.85 of the slots had 17 of 360 requests refused for the
bound alone. The order of 480 requests takes 0.4 ms."""
USUAL_COST = 1.0
"""Slot time of a request at an engine of usual speed, the unit of the tags."""
MAX_IDLE_FLOWS = 256
"""Flows without waiting requests whose tags are kept: more than there are tenants on the demanding
deployments (75). Beyond it, the flow that has not waited for longest is dropped."""
Slot = TypeVar("Slot")
LATE_ANYWAY = float("-inf")
"""Objective time of a request that misses its objective whatever the wait."""


@dataclass(frozen=True, slots=True)
class EntryKey:
    """Identifies a request in a queue: its daemon, that daemon's incarnation, and its number."""

    holder: str
    incarnation: int
    number: int


@dataclass(slots=True)
class QueueEntry:
    """A request that waits for a slot.

    `objective_at` is the latest time of a slot with which it meets its objective, `expires_at` the
    time after which a slot is of no use to it. `is_returned` is set for a caller that was refused
    before. `connected` has the keys of engines to which its daemon had an idle connection when it
    arrived. `confirmed_at` is when its daemon last sent it.
    """

    key: EntryKey
    flow: str
    priority: int
    arrived_at: float
    objective_at: float
    expires_at: float
    is_returned: bool = False
    zone: str = ""
    prefill_units: int = 0
    excluded: frozenset[int] = frozenset()
    connected: frozenset[int] = frozenset()
    confirmed_at: float = field(init=False)

    def __post_init__(self) -> None:
        """Counts the arrival as the first confirmation."""
        self.confirmed_at = self.arrived_at

    def rank(self, now: float) -> tuple[bool, bool, float, float, Hashable]:
        """Returns the order within a flow; the lowest rank is first."""
        is_late = self.objective_at < now
        due_at = self.arrived_at if is_late else self.objective_at
        key = (self.key.holder, self.key.incarnation, self.key.number)
        return (not self.is_returned, is_late, due_at, self.arrived_at, key)


@dataclass(slots=True)
class _Flow:
    """One flow's waiting requests, and the start tag of its next grant."""

    start: float
    entries: dict[EntryKey, QueueEntry] = field(default_factory=dict)


class _Level:
    """The flows of one priority."""

    def __init__(self) -> None:
        self.flows: dict[str, _Flow] = {}
        self._virtual_time = 0.0
        """The highest start tag of a grant so far."""
        self._finish_tags: dict[str, float] = {}
        """Tags at which the last grants of flows without waiting requests end."""

    def add(self, entry: QueueEntry, slots: int) -> None:
        flow = self.flows.get(entry.flow)
        if flow is None:
            earliest = self._virtual_time - slots / (len(self.flows) + 1)
            finish = self._finish_tags.pop(entry.flow, earliest)
            flow = self.flows[entry.flow] = _Flow(max(earliest, finish))
        flow.entries[entry.key] = entry

    def remove(self, entry: QueueEntry) -> None:
        flow = self.flows[entry.flow]
        del flow.entries[entry.key]
        if not flow.entries:
            del self.flows[entry.flow]
            self._finish_tags[entry.flow] = flow.start
            if len(self._finish_tags) > MAX_IDLE_FLOWS:
                del self._finish_tags[next(iter(self._finish_tags))]

    def charge(self, flow_name: str, cost: float) -> None:
        """Moves a waiting flow's tag on by a grant."""
        flow = self.flows[flow_name]
        self._virtual_time = max(self._virtual_time, flow.start)
        flow.start += cost

    def order(self, now: float) -> Iterator[QueueEntry]:
        """Yields the entries in the order of their grants, if each uses the usual slot time."""
        heads = [
            (flow.start, name, sorted(flow.entries.values(), key=lambda entry: entry.rank(now)), 0)
            for name, flow in self.flows.items()
        ]
        heapq.heapify(heads)
        while heads:
            start, name, entries, index = heads[0]
            yield entries[index]
            if index + 1 < len(entries):
                heapq.heapreplace(heads, (start + USUAL_COST, name, entries, index + 1))
            else:
                heapq.heappop(heads)


class SlotQueue:
    """The requests that wait for a slot of one group."""

    def __init__(self, slots: int = 0) -> None:
        self.entries: dict[EntryKey, QueueEntry] = {}
        self.slots = slots
        """Slots of the group."""
        self._levels: dict[int, _Level] = {}
        self._order: list[QueueEntry] | None = None
        """The order, until an entry is added or removed, or an objective passes."""
        self._order_until = float("-inf")

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self.entries)

    # Entries.

    def add(self, entry: QueueEntry) -> None:
        """Adds a request that is not in the queue yet."""
        ensure(entry.key not in self.entries, "a request is queued twice")
        self.entries[entry.key] = entry
        self._levels.setdefault(entry.priority, _Level()).add(entry, self.slots)
        self._order = None

    def confirm(self, now: float, key: EntryKey, excluded: frozenset[int]) -> bool:
        """Records a repetition of a request; returns False if it is not in the queue."""
        entry = self.entries.get(key)
        if entry is None:
            return False
        entry.confirmed_at = now
        entry.excluded = excluded
        return True

    def remove(self, key: EntryKey) -> QueueEntry | None:
        """Removes a request that gets no slot; returns it if it was in the queue."""
        entry = self.entries.pop(key, None)
        if entry is not None:
            self._levels[entry.priority].remove(entry)
            self._order = None
        return entry

    def grant(self, key: EntryKey, cost: float) -> None:
        """Removes a request that gets a slot, and charges its flow the slot time.

        Args:
            key: the request.
            cost: the slot time that it will use, as a multiple of the usual one.
        """
        entry = self.entries[key]
        self._levels[entry.priority].charge(entry.flow, cost)
        self.remove(key)

    def clear(self) -> list[QueueEntry]:
        """Empties the queue; returns what was in it."""
        entries = list(self.entries.values())
        self.entries = {}
        self._levels = {}
        self._order = None
        return entries

    # Order.

    def order(self, now: float) -> list[QueueEntry]:
        """Returns the entries, the next one first."""
        if self._order is None or now >= self._order_until:
            self._order = [
                entry
                for priority in sorted(self._levels)
                for entry in self._levels[priority].order(now)
            ]
            objectives = (e.objective_at for e in self._order if e.objective_at >= now)
            self._order_until = min(objectives, default=float("inf"))
        return self._order

    def position(self, now: float, key: EntryKey) -> int:
        """Returns the position of a queued request, from 1."""
        order = self.order(now)
        return next(place for place, entry in enumerate(order, 1) if entry.key == key)

    def choose(
        self, now: float, find_slot: Callable[[QueueEntry], Slot | None]
    ) -> tuple[QueueEntry, Slot] | None:
        """Returns the first request in order for which there is a free slot, and the slot.

        Args:
            now: the coordinator's clock, in seconds.
            find_slot: returns a free slot that a request can use, or None. It is not called for
                a request that excludes all engines which one before it excluded in vain.
        """
        failed: list[frozenset[int]] = []
        for entry in self.order(now):
            if any(excluded <= entry.excluded for excluded in failed):
                continue
            slot = find_slot(entry)
            if slot is not None:
                return entry, slot
            if not entry.excluded:
                return None
            failed.append(entry.excluded)
        return None

    # Requests that get no slot.

    def silent(self, now: float) -> list[QueueEntry]:
        """Returns the entries that their daemons have not repeated for too long."""
        return [e for e in self.entries.values() if now - e.confirmed_at > SILENT_ENTRY_SECONDS]

    def of_former_incarnations(self, key: EntryKey) -> list[QueueEntry]:
        """Returns the entries of other incarnations of the daemon that has the given request."""
        return [
            e
            for e in self.entries.values()
            if e.key.holder == key.holder and e.key.incarnation != key.incarnation
        ]

    def unservable(
        self, now: float, interval: float, next_slot: float = 0.0
    ) -> list[tuple[QueueEntry, float]]:
        """Returns the entries whose slot is expected after their expiry, with the expected wait.

        An entry that is denied makes those after it move up, so they are judged without it.

        Args:
            now: the coordinator's clock, in seconds.
            interval: mean seconds between two slots that become free.
            next_slot: seconds until the next slot is expected to be free.
        """
        denied: list[tuple[QueueEntry, float]] = []
        place = 1
        for entry in self.order(now):
            wait = max(next_slot, place * interval)
            if now + wait > entry.expires_at:
                denied.append((entry, wait))
            else:
                place += 1
        return denied

    def beyond(self, now: float, bound: int) -> list[QueueEntry]:
        """Returns the entries that are last in order, by which the queue exceeds a bound."""
        return self.order(now)[bound:] if len(self) > bound else []

    def validate(self) -> None:
        """Checks the invariants that hold between events.

        Raises:
            InvariantViolated: An entry is not in exactly one flow, or a flow is empty.
        """
        flows = [flow for level in self._levels.values() for flow in level.flows.values()]
        ensure(all(flow.entries for flow in flows), "a flow without requests waits")
        count = sum(len(flow.entries) for flow in flows)
        ensure(count == len(self.entries), "a queued request is in no flow")
