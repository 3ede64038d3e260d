"""Decides for a group of engines who gets which slot: the coordinator's part.

An online request gets the engine with the fewest online requests, a free slot before one that
a batch item has. Where a batch item has the slot, one holder is told in the same step to stop
one. Slots that are free are granted to daemons with batch items that wait.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.daemons.messages import (
    NO_ENGINE,
    BatchSlotGrant,
    EngineShare,
    GroupDigest,
    SlotReply,
    SlotRequest,
    engine_key,
)
from troutswitch.decisions.forwarding.engines import Engine, EngineRegistry
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.placement import queue_cost
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.forwarding.wait_estimate import NO_WAIT, Estimate, slot_wait
from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.jobs.batch_capacity import BatchCapacityPolicy
from troutswitch.decisions.slots.batch_slots import SELF, BatchGrant, BatchSlotAssigner
from troutswitch.decisions.slots.groups import EngineGroups, Group
from troutswitch.decisions.slots.ledger import SlotLedger
from troutswitch.decisions.slots.messages import SendToPeers, StartItems, WaitingItems

NO_FREE_SLOT_COST = 1.0
"""Cost, in shares of an engine's slots, of an engine where no slot is free: one online request
more at an engine with a free slot is always better than stopping a batch item elsewhere."""
GRACE_SECONDS = 0.6
"""Time after which a new coordinator grants places for batch items: by then each holder has
reported to it (they refresh each 0.5 s)."""
DIGEST_SECONDS = 0.5
"""Interval between digests to peers that have work here."""
Instruction = SendToPeers | StartItems | LogLine


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """An online request for which a place is asked, by this daemon or a peer.

    `longest_wait` is in seconds; `avoid` holds keys of engines that it will not go to.
    """

    group: Group
    zone: str
    prefill_units: int
    longest_wait: float
    avoid: frozenset[int]


@dataclass(frozen=True, slots=True)
class Decision:
    """An engine for a request, or none; the wait expected there, or at best."""

    engine: Engine | None
    estimate: Estimate


class SlotCoordinator:
    """Grants places at the engines of the groups that this daemon coordinates."""

    def __init__(
        self,
        name: str,
        zone: str,
        engines: EngineRegistry,
        groups: EngineGroups,
        ledger: SlotLedger,
        times: RunTimes,
        own_waiting: Callable[[], WaitingItems],
        own_open: Callable[[], int],
        room: BatchCapacityPolicy,
        rng: random.Random,
    ) -> None:
        self.coordinated: dict[str, float] = {}
        """Groups that this daemon coordinates, with since when."""
        self._name = name
        self._zone = zone
        self._engines = engines
        self._groups = groups
        self._ledger = ledger
        self._times = times
        self._own_open = own_open
        self._rng = rng
        self._digest_at = float("-inf")
        self._own_stops: dict[str, int] = {}
        """Own items told to stop in this step, which still count as running."""
        self._dealer = BatchSlotAssigner(zone, ledger, own_waiting, room, rng)

    # What is coordinated.

    def begin(self, now: float, group: str) -> None:
        """Takes a group over; its counts fill as holders report."""
        self.coordinated[group] = now
        self._ledger.recount(now, self.engines_of(group))

    def end(self, group: str) -> None:
        """Gives a group up."""
        self.coordinated.pop(group, None)

    def coordinates(self, group: str) -> bool:
        """Returns whether this daemon counts a group's slots."""
        return group in self.coordinated

    def on_list_changed(self, now: float) -> None:
        """Counts anew, as engines came or moved between groups."""
        for group in self.coordinated:
            self._ledger.recount(now, self.engines_of(group))

    def engines_of(self, group: str) -> list[Engine]:
        """Returns a group's engines that have not begun to leave."""
        held = (self._engines.engines.get(name) for name in self._groups.members(group))
        return [engine for engine in held if engine is not None and not engine.is_leaving]

    # Online requests.

    def on_ask(self, now: float, ask: SlotRequest) -> list[Instruction]:
        """Answers a peer's ask, whose report the ledger has taken."""
        group = self._groups.named(ask.group)
        holder = self._ledger.holders[ask.report.sender]
        if group is None or ask.group not in self.coordinated:
            refusal = self._answer(ask, None, NO_WAIT, 0, is_coordinator=False)
            return [SendToPeers((holder.address,), refusal)]
        wait = float("inf") if ask.wait_most_ms < 0 else ask.wait_most_ms / 1000
        request = PlaceRequest(
            group, ask.report.zone, ask.prefill_units, wait, frozenset(ask.avoid)
        )
        decision = self.decide(now, request)
        grant = 0
        made: list[Instruction] = []
        if decision.engine is not None:
            key = engine_key(decision.engine.record.engine_id)
            share = EngineShare(key, 1, 0, ask.prefill_units)
            grant = self._ledger.tell(now, ask.report.sender, share)
            made = self._make_room(now, decision.engine)
        answer = self._answer(ask, decision.engine, decision.estimate, grant)
        return [SendToPeers((holder.address,), answer), *made]

    def _answer(
        self,
        ask: SlotRequest,
        engine: Engine | None,
        estimate: Estimate,
        grant: int,
        *,
        is_coordinator: bool = True,
    ) -> SlotReply:
        return SlotReply(
            self._name,
            self._ledger.incarnation,
            ask.number,
            ask.group,
            grant,
            engine_key(engine.record.engine_id) if engine is not None else NO_ENGINE,
            round(estimate.wait * 1000),
            estimate.queued,
            estimate.slots,
            is_coordinator,
        )

    def decide(self, now: float, request: PlaceRequest) -> Decision:
        """Chooses an engine, unless the wait is longer than the request takes."""
        candidates = self._candidates(now, request)
        if not candidates:
            return Decision(None, NO_WAIT)
        costs = {s.record.engine_id: self._cost(now, s, request.zone) for s in candidates}
        engine = min(candidates, key=lambda s: (costs[s.record.engine_id], self._rng.random()))
        estimate = slot_wait(now, engine, self._times.of(request.group.service))
        if estimate.wait > request.longest_wait:
            return Decision(None, estimate)
        return Decision(engine, estimate)

    def _candidates(self, now: float, request: PlaceRequest) -> list[Engine]:
        present = [
            engine
            for engine in self.engines_of(request.group.name)
            if engine_key(engine.record.engine_id) not in request.avoid
        ]
        sound = [engine for engine in present if self._is_sound(now, engine)]
        return sound or present

    def _is_sound(self, now: float, engine: Engine) -> bool:
        if now < max(engine.ejected_until, engine.full_until):
            return False
        return not self._ledger.is_avoided(engine_key(engine.record.engine_id))

    @staticmethod
    def _cost(now: float, engine: Engine, zone: str) -> float:
        is_full = engine.in_flight(now) >= engine.slots
        return queue_cost(now, engine, zone) + (NO_FREE_SLOT_COST if is_full else 0.0)

    def make_room_for_own(self, now: float, engine: Engine) -> list[Instruction]:
        """Has a batch item stopped for an online request that this daemon sends now."""
        return self._make_room(now, engine, about_to_send=1)

    def _make_room(self, now: float, engine: Engine, about_to_send: int = 0) -> list[Instruction]:
        """Has as many batch items stopped as requests and items exceed the engine's slots."""
        instructions: list[Instruction] = []
        surplus = engine.online() + engine.batch() + about_to_send - engine.slots
        for _ in range(min(surplus, engine.batch())):
            instructions += self._take_one_back(now, engine)
        return instructions

    def _take_one_back(self, now: float, engine: Engine) -> list[Instruction]:
        """Has one holder stop an item, drawn by how many it has there."""
        engine_id = engine.record.engine_id
        own = engine.batch_in_flight - self._own_stops.get(engine_id, 0)
        holders = [(SELF, own)] if own > 0 else []
        holders += self._ledger.batch_holders(engine_key(engine_id))
        if not holders:
            return []
        names = [name for name, _ in holders]
        name = self._rng.choices(names, [count for _, count in holders])[0]
        line = LogLine("item to yield", {"engine": engine_id, "peer": name or self._name})
        if name == SELF:
            self._own_stops[engine_id] = self._own_stops.get(engine_id, 0) + 1
            return [StartItems(engine_id, -1), line]
        holder = self._ledger.holders[name]
        return [self._tell_batch(now, name, holder.address, engine, -1), line]

    def _tell_batch(
        self, now: float, name: str, address: Address, engine: Engine, count: int
    ) -> SendToPeers:
        key = engine_key(engine.record.engine_id)
        grant = self._ledger.tell(now, name, EngineShare(key, 0, count, 0))
        group = self._groups.of_engine(engine.record.engine_id)
        ensure(group is not None, "a place is granted at an engine of no group")
        assert group is not None
        message = BatchSlotGrant(
            self._name, self._ledger.incarnation, group.name, grant, key, count
        )
        return SendToPeers((address,), message)

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        if not self.coordinated:
            return float("inf")
        digest_due = self._digest_at + DIGEST_SECONDS if self._ledger.holders else float("inf")
        return min(digest_due, self._dealer.next_due())

    def on_timer(self, now: float) -> list[Instruction]:
        """Takes slots back that online requests need, grants free ones, and sends digests."""
        if not self.coordinated:
            return []
        instructions: list[Instruction] = []
        if self._dealer.is_due(now):
            for group in self.coordinated:
                for engine in self.engines_of(group):
                    instructions += self._make_room(now, engine)
            instructions += self._deal(now)
        if now >= self._digest_at + DIGEST_SECONDS:
            self._digest_at = now
            instructions += self._digests(now)
        self._own_stops.clear()  # they are carried out at the end of the step
        return instructions

    def _deal(self, now: float) -> list[Instruction]:
        """Grants the slots that are free in each group that is old enough here."""
        settled = {
            group: [s for s in self.engines_of(group) if self._is_sound(now, s)]
            for group, since in self.coordinated.items()
            if now - since >= GRACE_SECONDS
        }
        grants = self._dealer.deal(now, settled)
        return [self._grant(now, grant) for grant in grants]

    def _grant(self, now: float, grant: BatchGrant) -> Instruction:
        if grant.daemon == SELF:
            return StartItems(grant.engine.record.engine_id, grant.count)
        holder = self._ledger.holders[grant.daemon]
        return self._tell_batch(now, grant.daemon, holder.address, grant.engine, grant.count)

    # Digests.

    def _digests(self, now: float) -> list[Instruction]:
        addresses = tuple(
            holder.address
            for holder in self._ledger.holders.values()
            if holder.shares or holder.open_items
        )
        if not addresses:
            return []
        return [SendToPeers(addresses, self.digest(now, group)) for group in self.coordinated]

    def digest(self, now: float, group: str) -> GroupDigest:
        """Returns what is known of a group."""
        engines = self.engines_of(group)
        free = self.usual_free_slots(now, group)
        return GroupDigest(
            self._name,
            self._ledger.incarnation,
            group,
            self._engines.counts_of(engines),
            round(max(0.0, free) * 100),
            self._own_open() + self._ledger.open_items(),
        )

    def usual_free_slots(self, now: float, group: str) -> float:
        """Returns the mean number of slots that online requests leave in a group."""
        return self._engines.usual_free_slots(now, self.engines_of(group))
