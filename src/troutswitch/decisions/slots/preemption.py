"""Decides which batch items are stopped so that online requests get their slots.

Inputs: online requests and batch items at an engine as the coordinator counts them, exact except
for reports in flight (some 10 ms); this daemon's own items there, exact.

Rule: the number of stopped items is the number by which online requests and items together exceed
the engine's slots, at most all items. For each of them a daemon is drawn at random, weighted by its
number of items at the engine. That daemon chooses which of its items to stop (`jobs/owner.py`).

Why: engines admit requests in order of arrival and have no priorities, so a batch item gives up its
slot only if it is stopped. The weights make the loss proportional for all daemons.

Measured in docs/POLICY.md: "Rounds" (round 1). Keeping a slot free for a while afterwards was worse
("Rounds with coordinators of slots", round 15).
"""

import random

from troutswitch.daemons.messages import engine_key
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.slots.batch_grants import BatchGrants
from troutswitch.decisions.slots.batch_slots import SELF
from troutswitch.decisions.slots.ledger import SlotLedger
from troutswitch.decisions.slots.messages import SlotInstruction, StartItems


class ItemPreemption:
    """Stops batch items at the engines that this daemon coordinates."""

    def __init__(
        self, name: str, ledger: SlotLedger, grants: BatchGrants, rng: random.Random
    ) -> None:
        self._name = name
        self._ledger = ledger
        self._grants = grants
        self._rng = rng
        self._own_stops: dict[str, int] = {}
        """Number of own items by engine that will be stopped in this step but still count as
        running."""

    def preempt(self, now: float, engine: Engine, about_to_send: int = 0) -> list[SlotInstruction]:
        """Stops the items in excess of the engine's slots.

        `about_to_send` is the number of this daemon's online requests that are sent to the engine
        in this step and are not counted yet.
        """
        instructions: list[SlotInstruction] = []
        surplus = engine.online_count() + engine.batch_count() + about_to_send - engine.slots
        for _ in range(min(surplus, engine.batch_count())):
            instructions += self._stop_one(now, engine)
        return instructions

    def end_step(self) -> None:
        """Resets the own items to stop: they are stopped at the end of the step."""
        self._own_stops.clear()

    def _stop_one(self, now: float, engine: Engine) -> list[SlotInstruction]:
        engine_id = engine.record.engine_id
        holder = self._draw_holder(engine)
        if holder is None:
            return []
        line = LogLine("item to yield", {"engine": engine_id, "peer": holder or self._name})
        if holder == SELF:
            self._own_stops[engine_id] = self._own_stops.get(engine_id, 0) + 1
            return [StartItems(engine_id, -1), line]
        return [self._grants.grant(now, holder, engine, -1), line]

    def _draw_holder(self, engine: Engine) -> str | None:
        """Draws a daemon, weighted by its items at an engine; None if there are no items."""
        engine_id = engine.record.engine_id
        own = engine.batch_in_flight - self._own_stops.get(engine_id, 0)
        holders = [(SELF, own)] if own > 0 else []
        holders += self._ledger.batch_holders(engine_key(engine_id))
        if not holders:
            return None
        names = [name for name, _ in holders]
        return self._rng.choices(names, [count for _, count in holders])[0]
