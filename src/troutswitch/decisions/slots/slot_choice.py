"""Decides which engine of a group an online request gets, and when it gets none.

The coordinator of the group uses this module for its own requests and for those of its peers.

Inputs: online requests and batch items at each engine, exact except for reports in flight (some
10 ms); engines that daemons currently cannot use, as last reported (0.5 s); the average time for
which a request of the service uses its slot; the maximum wait that the request accepts, in seconds.

Rule:

1. Engines that the request excludes, and those that are leaving, are left out. Engines that are
   failing or full for this daemon, or that several daemons report as unusable, are left out too,
   unless no others remain.
2. The engine with the lowest cost gets the request; of engines with equal costs, one is drawn at
   random. The cost is the share of the engine's slots that online requests use, with additions for
   another zone, for prompt tokens that are still to be processed, and for having no free slot.
   Where engines are known to differ in speed, the policy `speed` determines the cost
   (`forwarding/engine_cost.py`). An engine to which the daemon of the request has an idle
   connection costs `CONNECTION_COST` less.
3. If the wait for a slot at that engine is longer than the request accepts, the request gets none.

Where engines are known to differ in speed, an engine whose slots all have online requests comes
after one where a slot is free or has an item, whatever the cost, and an engine where an item must
be stopped costs `ITEM_STOP_COST` more. These engines come after all others:

- an engine at which the wait, and the time by which its first event comes later than at a mean
  engine, exceed the wait that the request accepts (unless it accepts none: it is late anyway);
- an engine whose pauses between events exceed the limit of a route;
- an engine that is slower by `SLOW_RATIO` than the mean of the other candidates, while an engine
  that is not has a free slot.

A request gets no slot only if the wait is longer than it accepts at every engine.

Why: batch items add little cost, since they are stopped immediately when needed. But a free slot is
better than one that an item must give up, because the item's work since its last event is lost.

Measured in docs/POLICY.md: the cost in "Rounds" (round 6) and "Ablation" (`placement`), exact
counts in "Rounds with coordinators of slots" (round 14).
"""

import operator
import random
from dataclasses import dataclass

from troutswitch.daemons.messages import engine_key
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engine_cost import (
    CONNECTION_COST,
    IgnoredSpeed,
    RelativeFactors,
    SpeedPolicy,
    queue_cost,
)
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.forwarding.wait_estimate import (
    NO_WAIT,
    WaitEstimate,
    least_wait,
    slot_wait,
)
from troutswitch.decisions.slots.groups import Group
from troutswitch.decisions.slots.ledger import SlotLedger

NO_FREE_SLOT_COST = 1.0
"""Cost, as a share of the engine's slots, of having no free slot. Sending one more online request
to an engine with a free slot is always better than stopping a batch item elsewhere."""
ITEM_STOP_COST = 0.4
"""Cost, in slot times, of stopping an item where engines differ in speed: its prompt is processed
again, and its current event is lost. A dominating cost would send requests to slow engines while
items fill the fast ones."""
SLOW_RATIO = 2.0
"""Ratio of an engine's factor to the mean of the other candidates at which it gets no online
request while another has a free slot. A request that waits for one slot time at a mean engine and
then runs there ends as early."""

MIN_COMPARED_ENGINES = 2
"""Minimum number of candidates of which one can be slower than the others."""


@dataclass(frozen=True, slots=True)
class SlotQuery:
    """An online request of this daemon or a peer that needs a slot.

    `zone` is the zone of the daemon that has the request. `max_wait` is in seconds. `excluded` has
    the keys of engines to which the request may not be sent, `connected` those of
    its daemon's zone to which it has an idle connection.
    """

    group: Group
    zone: str
    max_wait: float
    excluded: frozenset[int]
    connected: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class SlotDecision:
    """The engine for a request, or None, and the expected wait at the best engine."""

    engine: Engine | None
    estimate: WaitEstimate


class SlotChoice:
    """Chooses engines for online requests by the coordinator's counts."""

    def __init__(
        self,
        ledger: SlotLedger,
        times: RunTimes,
        rng: random.Random,
        speed: SpeedPolicy | None = None,
    ) -> None:
        self._ledger = ledger
        self._times = times
        self._rng = rng
        self._speed = speed or IgnoredSpeed()

    def choose(self, now: float, query: SlotQuery, engines: list[Engine]) -> SlotDecision:
        """Chooses among `engines`, the engines of the query's group that are not leaving."""
        candidates = self._candidates(now, query, engines)
        if not candidates:
            return SlotDecision(None, NO_WAIT)
        factors = self._speed.factors(now, engines)
        if factors:
            return self._choose_by_speed(now, query, candidates, factors)
        costs = {
            e.record.engine_id: _cost(now, e, query.zone) - _connection_saving(query, e)
            for e in candidates
        }
        engine = min(candidates, key=lambda e: (costs[e.record.engine_id], self._rng.random()))
        estimate = slot_wait(now, engine, self._times.of(query.group.service))
        if estimate.wait > query.max_wait:
            return SlotDecision(None, estimate)
        return SlotDecision(engine, estimate)

    def _choose_by_speed(
        self, now: float, query: SlotQuery, candidates: list[Engine], factors: RelativeFactors
    ) -> SlotDecision:
        """Chooses among engines that differ in speed."""
        times = self._times.of(query.group.service)
        acceptable: SlotDecision | None = None
        best: WaitEstimate | None = None
        for engine in self._in_order(now, query, candidates, factors):
            factor = factors.get(engine.record.engine_id, 1.0)
            if best is not None and least_wait(engine, times, factor) > query.max_wait:
                continue
            estimate = slot_wait(now, engine, times, factor)
            best = best or estimate
            if estimate.wait > query.max_wait:
                continue
            delay = estimate.wait + max(0.0, (factor - 1.0) * times.first_event)
            if delay <= query.max_wait or query.max_wait <= 0.0:
                return SlotDecision(engine, estimate)
            acceptable = acceptable or SlotDecision(engine, estimate)
        return acceptable or SlotDecision(None, best or NO_WAIT)

    def _in_order(
        self, now: float, query: SlotQuery, candidates: list[Engine], factors: RelativeFactors
    ) -> list[Engine]:
        """Returns the engines by queue and cost, and after them those that are too slow."""
        known = [factors.get(engine.record.engine_id, 1.0) for engine in candidates]
        full = [engine.in_flight(now) >= engine.slots for engine in candidates]
        max_factor = self._speed.max_factor(candidates[0].record.service)
        slow_factor = _slow_factor(known)
        if all(map(operator.or_, full, (factor >= slow_factor for factor in known))):
            slow_factor = float("inf")
        keys: list[tuple[bool, bool, float, float, int]] = []
        for index, engine in enumerate(candidates):
            is_last = known[index] >= slow_factor or known[index] > max_factor
            cost = self._speed.cost(now, engine, query.zone, factors)
            cost -= _connection_saving(query, engine)
            is_queued = False
            if full[index]:
                is_queued = engine.online_load(now) >= engine.slots
                cost += ITEM_STOP_COST
            keys.append((is_last, is_queued, cost, self._rng.random(), index))
        return [candidates[key[-1]] for key in sorted(keys)]

    def _candidates(self, now: float, query: SlotQuery, engines: list[Engine]) -> list[Engine]:
        permitted = [e for e in engines if engine_key(e.record.engine_id) not in query.excluded]
        usable = [engine for engine in permitted if self.is_usable(now, engine)]
        return usable or permitted

    def is_usable(self, now: float, engine: Engine) -> bool:
        """Returns whether an engine is neither failing nor full, here or for several daemons."""
        if now < max(engine.ejected_until, engine.full_until):
            return False
        return not self._ledger.is_avoided(engine_key(engine.record.engine_id))


def _cost(now: float, engine: Engine, zone: str) -> float:
    is_full = engine.in_flight(now) >= engine.slots
    return queue_cost(now, engine, zone) + (NO_FREE_SLOT_COST if is_full else 0.0)


def _connection_saving(query: SlotQuery, engine: Engine) -> float:
    """Returns how much less an engine costs because the request needs no new connection there."""
    is_connected = query.connected and engine_key(engine.record.engine_id) in query.connected
    return CONNECTION_COST if is_connected else 0.0


def _slow_factor(factors: list[float]) -> float:
    """Returns the factor from which on an engine is slower by `SLOW_RATIO` than the others' mean.

    With n engines whose factors add up to s, f >= r (s - f) / (n - 1) is f >= r s / (n - 1 + r).
    """
    if len(factors) < MIN_COMPARED_ENGINES:
        return float("inf")
    return SLOW_RATIO * sum(factors) / (len(factors) - 1 + SLOW_RATIO)
