"""Requests at engines that differ in speed, with the coordinator's choice, on virtual time."""

import heapq
import random
from collections.abc import Callable

from tests.decisions.slots.harness import SERVICE, ZONE, record
from troutswitch.decisions.forwarding.engine_cost import SPEED_POLICIES
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.slots.groups import EngineGroups, Group
from troutswitch.decisions.slots.ledger import SlotLedger
from troutswitch.decisions.slots.slot_choice import SlotChoice, SlotQuery

SLOTS = 8
SLOT_SECONDS = 0.5
FIRST_EVENT_SHARE = 0.15
READ_SECONDS = 0.1
"""Interval between readings of an engine's pace."""
Factor = Callable[[float], float]


def steady(factor: float) -> Factor:
    return lambda now: factor


class Load:
    """Requests at random times; `crowding` is how much slower a full engine is than an empty one.

    `factors` are the engines' time factors; `reported` the ones that they report, None for none.
    """

    def __init__(
        self,
        rule: str,
        factors: list[Factor],
        reported: dict[int, Factor | None] | None = None,
        crowding: float = 0.0,
    ) -> None:
        self.factors, self.crowding = factors, crowding
        self.reported = {n: (reported or {}).get(n, factor) for n, factor in enumerate(factors)}
        self.registry, self.times = EngineRegistry(), RunTimes()
        self.records = [record(f"e{n}", slots=SLOTS) for n in range(len(factors))]
        self.registry.on_list(0.0, self.records)
        self.engines = [self.registry.engines[r.engine_id] for r in self.records]
        groups = EngineGroups()
        groups.update(self.records)
        self.group: Group = groups.of_service(SERVICE)[0]
        ledger, rng = SlotLedger(self.registry, 1), random.Random(2)
        speed = SPEED_POLICIES[rule](self.times, RouteTable())
        self.choice = SlotChoice(ledger, self.times, rng, speed)
        self.sent = [0] * len(factors)

    def play(self, load: float, seconds: float = 20.0) -> tuple[float, float]:
        """Returns the mean times to the first event and to the end, in seconds."""
        capacity = sum(SLOTS / factor(0.0) for factor in self.factors) / SLOT_SECONDS
        rate, rng = load * capacity, random.Random(1)
        free = [[0.0] * SLOTS for _ in self.engines]
        ends: list[tuple[float, int, float, float]] = []
        totals: list[tuple[float, float]] = []
        now, read_at = 0.0, 0.0
        while now < seconds:
            now += rng.expovariate(rate)
            while ends and ends[0][0] <= now:
                ended_at, n, first, total = heapq.heappop(ends)
                self.engines[n].change_own_online(ended_at, -1)
                self.times.on_completed(SERVICE, first, total, was_queued=False)
            if now >= read_at:
                self._read(now)
                read_at = now + READ_SECONDS
            query = SlotQuery(self.group, ZONE, float("inf"), frozenset())
            engine = self.choice.choose(now, query, self.engines).engine
            assert engine is not None
            n = self.engines.index(engine)
            starts_at = max(now, heapq.heappop(free[n]))
            busy = sum(at > now for at in free[n]) / SLOTS
            run = SLOT_SECONDS * self.factors[n](starts_at) * (1 + self.crowding * busy)
            heapq.heappush(free[n], starts_at + run)
            first, total = starts_at - now + run * FIRST_EVENT_SHARE, starts_at + run - now
            heapq.heappush(ends, (now + total, n, first, total))
            engine.change_own_online(now, 1)
            self.sent[n] += 1
            totals.append((first, total))
        count = len(totals)
        return sum(t[0] for t in totals) / count, sum(t[1] for t in totals) / count

    def _read(self, now: float) -> None:
        for n, engine in enumerate(self.engines):
            factor = self.reported[n]
            if factor is not None:
                self.registry.on_pace(engine, round(factor(now) * 100), now)
