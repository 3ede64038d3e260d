"""Decides which engine of a group an online request gets, and when it gets none.

The coordinator of the group uses this, for its own requests and for those of its peers.

Inputs: online requests and batch items at each engine, exact but for reports in flight (some
10 ms); engines that daemons cannot use at present, as last reported (0.5 s); for how long a
request of the service uses its slot, averaged; the longest wait that the request accepts, in
seconds.

Rule:

1. Engines that the request excludes, and those that have begun to leave, are left out. So are
   engines that fail or are full for this daemon, or that several daemons report as unusable,
   unless no others are left.
2. The engine with the lowest cost gets the request; of equal ones, one drawn at random. The cost is
   the share of its slots that online requests take, with additions for another zone, for prompt
   tokens that are still to be read, and for having no free slot.
3. If the wait for a slot there is longer than the request accepts, it gets none.

Why: batch items count little, since they yield at once, but a free slot is better than one that
an item must give up: the item's work since its last event is lost.

Measured in docs/POLICY.md: the cost in "Rounds" (round 6) and "Ablation" (`placement`), exact
counts in "Rounds with coordinators of slots" (round 14).
"""

import random
from dataclasses import dataclass

from troutswitch.daemons.messages import engine_key
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.placement import queue_cost
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.forwarding.wait_estimate import NO_WAIT, Estimate, slot_wait
from troutswitch.decisions.slots.groups import Group
from troutswitch.decisions.slots.ledger import SlotLedger

NO_FREE_SLOT_COST = 1.0
"""Cost, in shares of an engine's slots, of an engine where no slot is free: one online request
more at an engine with a free slot is always better than stopping a batch item elsewhere."""


@dataclass(frozen=True, slots=True)
class SlotQuery:
    """An online request of this daemon or a peer that needs a slot.

    `zone` is the zone of the daemon that has the request, `max_wait` is in seconds, and
    `excluded` has the keys of engines that the request may not be sent to.
    """

    group: Group
    zone: str
    max_wait: float
    excluded: frozenset[int]


@dataclass(frozen=True, slots=True)
class SlotDecision:
    """The engine for a request, or None, and the wait that is expected at the best engine."""

    engine: Engine | None
    estimate: Estimate


class SlotChoice:
    """Chooses engines for online requests from the coordinator's counts."""

    def __init__(self, ledger: SlotLedger, times: RunTimes, rng: random.Random) -> None:
        self._ledger = ledger
        self._times = times
        self._rng = rng

    def choose(self, now: float, query: SlotQuery, engines: list[Engine]) -> SlotDecision:
        """Chooses among the engines of the query's group that have not begun to leave."""
        candidates = self._candidates(now, query, engines)
        if not candidates:
            return SlotDecision(None, NO_WAIT)
        costs = {e.record.engine_id: _cost(now, e, query.zone) for e in candidates}
        engine = min(candidates, key=lambda e: (costs[e.record.engine_id], self._rng.random()))
        estimate = slot_wait(now, engine, self._times.of(query.group.service))
        if estimate.wait > query.max_wait:
            return SlotDecision(None, estimate)
        return SlotDecision(engine, estimate)

    def _candidates(self, now: float, query: SlotQuery, engines: list[Engine]) -> list[Engine]:
        permitted = [e for e in engines if engine_key(e.record.engine_id) not in query.excluded]
        usable = [engine for engine in permitted if self.is_usable(now, engine)]
        return usable or permitted

    def is_usable(self, now: float, engine: Engine) -> bool:
        """Returns whether an engine neither fails nor is full, here or for several daemons."""
        if now < max(engine.ejected_until, engine.full_until):
            return False
        return not self._ledger.is_avoided(engine_key(engine.record.engine_id))


def _cost(now: float, engine: Engine, zone: str) -> float:
    is_full = engine.in_flight(now) >= engine.slots
    return queue_cost(now, engine, zone) + (NO_FREE_SLOT_COST if is_full else 0.0)
