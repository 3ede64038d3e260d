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
3. If the wait for a slot at that engine is longer than the request accepts, the request gets none.

Why: batch items add little cost, since they are stopped immediately when needed. But a free slot is
better than one that an item must give up, because the item's work since its last event is lost.

Measured in docs/POLICY.md: the cost in "Rounds" (round 6) and "Ablation" (`placement`), exact
counts in "Rounds with coordinators of slots" (round 14).
"""

import random
from dataclasses import dataclass

from troutswitch.daemons.messages import engine_key
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.placement import queue_cost
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.forwarding.wait_estimate import NO_WAIT, WaitEstimate, slot_wait
from troutswitch.decisions.slots.groups import Group
from troutswitch.decisions.slots.ledger import SlotLedger

NO_FREE_SLOT_COST = 1.0
"""Cost, as a share of the engine's slots, of having no free slot. Sending one more online request
to an engine with a free slot is always better than stopping a batch item elsewhere."""


@dataclass(frozen=True, slots=True)
class SlotQuery:
    """An online request of this daemon or a peer that needs a slot.

    `zone` is the zone of the daemon that has the request. `max_wait` is in seconds. `excluded` has
    the keys of engines to which the request may not be sent.
    """

    group: Group
    zone: str
    max_wait: float
    excluded: frozenset[int]


@dataclass(frozen=True, slots=True)
class SlotDecision:
    """The engine for a request, or None, and the expected wait at the best engine."""

    engine: Engine | None
    estimate: WaitEstimate


class SlotChoice:
    """Chooses engines for online requests by the coordinator's counts."""

    def __init__(self, ledger: SlotLedger, times: RunTimes, rng: random.Random) -> None:
        self._ledger = ledger
        self._times = times
        self._rng = rng

    def choose(self, now: float, query: SlotQuery, engines: list[Engine]) -> SlotDecision:
        """Chooses among `engines`, the engines of the query's group that are not leaving."""
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
        """Returns whether an engine is neither failing nor full, here or for several daemons."""
        if now < max(engine.ejected_until, engine.full_until):
            return False
        return not self._ledger.is_avoided(engine_key(engine.record.engine_id))


def _cost(now: float, engine: Engine, zone: str) -> float:
    is_full = engine.in_flight(now) >= engine.slots
    return queue_cost(now, engine, zone) + (NO_FREE_SLOT_COST if is_full else 0.0)
