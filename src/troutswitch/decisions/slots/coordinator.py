"""Grants the slots of the groups that this daemon coordinates.

The coordinator replies to slot requests (`slot_choice.py`), stops batch items where online requests
need their slots (`preemption.py`), assigns free slots to waiting items (`batch_slots.py`), and
sends digests.

It owns the set of coordinated groups, and the time at which each was taken over. It relies on the
ledger for the peers' requests in flight, and on `coordinator_claims.py` for which groups this
daemon coordinates.
"""

import random

from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import (
    NO_ENGINE,
    EngineShare,
    GroupDigest,
    PacedDigest,
    SlotReply,
    SlotRequest,
    engine_key,
)
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engine_cost import IgnoredSpeed, SpeedPolicy
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.forwarding.wait_estimate import NO_WAIT
from troutswitch.decisions.jobs.batch_capacity import BatchCapacityPolicy
from troutswitch.decisions.slots.batch_grants import BatchGrants
from troutswitch.decisions.slots.batch_slots import SELF, BatchAssignment, BatchSlotAssigner
from troutswitch.decisions.slots.groups import EngineGroups
from troutswitch.decisions.slots.ledger import SlotLedger
from troutswitch.decisions.slots.messages import (
    OwnItems,
    SendToPeers,
    SlotInstruction,
    StartItems,
)
from troutswitch.decisions.slots.preemption import ItemPreemption
from troutswitch.decisions.slots.slot_choice import SlotChoice, SlotDecision, SlotQuery

GRACE_SECONDS = 0.6
"""Time after which a new coordinator grants slots to batch items. By then each holder has reported
to it (`reports.REFRESH_SECONDS`)."""
DIGEST_SECONDS = 0.5
"""Interval between digests to peers that have work at the coordinated engines."""


class SlotCoordinator:
    """Grants slots at the engines of the groups that this daemon coordinates."""

    def __init__(
        self,
        identity: DaemonIdentity,
        engines: EngineRegistry,
        groups: EngineGroups,
        ledger: SlotLedger,
        times: RunTimes,
        own_items: OwnItems,
        capacity: BatchCapacityPolicy,
        rng: random.Random,
        speed: SpeedPolicy | None = None,
    ) -> None:
        speed = speed or IgnoredSpeed()
        self.coordinated: dict[str, float] = {}
        """Groups that this daemon coordinates, with the time at which it took each over."""
        self._identity = identity
        self._engines = engines
        self._groups = groups
        self._ledger = ledger
        self._own_items = own_items
        self._digest_at = float("-inf")
        self._choice = SlotChoice(ledger, times, rng, speed)
        self._grants = BatchGrants(identity, groups, ledger)
        self._preemption = ItemPreemption(identity.name, ledger, self._grants, rng)
        self._assigner = BatchSlotAssigner(
            identity.zone, ledger, own_items, capacity, rng, speed, engines.is_paced
        )

    # Coordinated groups.

    def start_coordinating(self, now: float, group: str) -> None:
        """Takes a group over. Its counts become complete as the holders report."""
        self.coordinated[group] = now
        self._ledger.recount(now, self.engines_of(group))

    def stop_coordinating(self, group: str) -> None:
        """Stops coordinating a group."""
        self.coordinated.pop(group, None)

    def coordinates(self, group: str) -> bool:
        """Returns whether this daemon coordinates a group."""
        return group in self.coordinated

    def on_list_changed(self, now: float) -> None:
        """Counts again after engines were added or moved between groups."""
        for group in self.coordinated:
            self._ledger.recount(now, self.engines_of(group))

    def engines_of(self, group: str) -> list[Engine]:
        """Returns a group's engines that are not leaving."""
        known = (self._engines.engines.get(name) for name in self._groups.members(group))
        return [engine for engine in known if engine is not None and not engine.is_leaving]

    # Online requests.

    def on_request(self, now: float, request: SlotRequest) -> list[SlotInstruction]:
        """Replies to a peer's slot request, after the ledger has applied the report in it."""
        holder = self._ledger.holders[request.report.sender]
        query = self._query(request)
        if query is None:
            refusal = self._reply(request, SlotDecision(None, NO_WAIT), 0, is_coordinator=False)
            return [SendToPeers((holder.address,), refusal)]
        decision = self.decide(now, query)
        grant_number = 0
        preempted: list[SlotInstruction] = []
        if decision.engine is not None:
            sender, units = request.report.sender, request.prefill_units
            grant_number, preempted = self.grant_slot(now, sender, decision.engine, units)
        queues = self._engines.is_paced(query.group.service)
        reply = self._reply(request, decision, grant_number, queues=queues)
        return [SendToPeers((holder.address,), reply), *preempted]

    def grant_slot(
        self, now: float, holder: str, engine: Engine, units: int
    ) -> tuple[int, list[SlotInstruction]]:
        """Counts a slot for a peer's request; returns the grant's number, and stops of items."""
        share = EngineShare(engine_key(engine.record.engine_id), 1, 0, units)
        number = self._ledger.grant(now, holder, share)
        return number, self._preemption.preempt(now, engine)

    def _query(self, request: SlotRequest) -> SlotQuery | None:
        """Returns the query of a peer's request, or None if a peer coordinates the group."""
        group = self._groups.named(request.group)
        if group is None or not self.coordinates(request.group):
            return None
        is_bounded = request.max_wait_ms >= 0
        max_wait = request.max_wait_ms / 1000 if is_bounded else float("inf")
        return SlotQuery(group, request.report.zone, max_wait, frozenset(request.excluded))

    def _reply(
        self,
        request: SlotRequest,
        decision: SlotDecision,
        grant_number: int,
        *,
        is_coordinator: bool = True,
        queues: bool = False,
    ) -> SlotReply:
        engine, estimate = decision.engine, decision.estimate
        return SlotReply(
            self._identity.name,
            self._identity.incarnation,
            request.number,
            request.group,
            grant_number,
            engine_key(engine.record.engine_id) if engine is not None else NO_ENGINE,
            round(estimate.wait * 1000),
            estimate.queued,
            estimate.slots,
            is_coordinator,
            queues,
        )

    def decide(self, now: float, query: SlotQuery) -> SlotDecision:
        """Chooses an engine in a coordinated group."""
        return self._choice.choose(now, query, self.engines_of(query.group.name))

    def preempt_for_own_request(self, now: float, engine: Engine) -> list[SlotInstruction]:
        """Stops a batch item, if needed, for an online request that is sent in this step."""
        return self._preemption.preempt(now, engine, about_to_send=1)

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` is due next, in seconds of this process's clock."""
        if not self.coordinated:
            return float("inf")
        digest_due = self._digest_at + DIGEST_SECONDS if self._ledger.holders else float("inf")
        return min(digest_due, self._assigner.next_due())

    def on_timer(self, now: float) -> list[SlotInstruction]:
        """Retracts slots that online requests need, assigns free slots, and sends digests."""
        if not self.coordinated:
            return []
        instructions: list[SlotInstruction] = []
        if self._assigner.is_due(now):
            instructions += self._preempt(now)
            instructions += self._assign(now)
        if now >= self._digest_at + DIGEST_SECONDS:
            self._digest_at = now
            instructions += self._digests(now)
        self._preemption.end_step()
        return instructions

    def _preempt(self, now: float) -> list[SlotInstruction]:
        """Stops items for online requests that were sent without the coordinator's grant."""
        instructions: list[SlotInstruction] = []
        for group in self.coordinated:
            for engine in self.engines_of(group):
                instructions += self._preemption.preempt(now, engine)
        return instructions

    def _assign(self, now: float) -> list[SlotInstruction]:
        """Assigns the free slots of each group whose grace period is over."""
        settled = {
            group: [e for e in self.engines_of(group) if self._choice.is_usable(now, e)]
            for group, coordinated_since in self.coordinated.items()
            if now - coordinated_since >= GRACE_SECONDS
        }
        assignments = self._assigner.assign(now, settled)
        return [step for assignment in assignments for step in self._grant(now, assignment)]

    def _grant(self, now: float, assignment: BatchAssignment) -> list[SlotInstruction]:
        daemon, engine = assignment.daemon, assignment.engine
        count, tenant = assignment.count, assignment.tenant
        lines = self._grant_lines(assignment)
        if daemon == SELF:
            return [StartItems(engine.record.engine_id, count, tenant), *lines]
        return [self._grants.grant(now, daemon, engine, count, tenant), *lines]

    def _grant_lines(self, assignment: BatchAssignment) -> list[SlotInstruction]:
        """Returns the log line of a grant to a tenant's items, none if no tenant is named."""
        share = assignment.share
        if share is None:
            return []
        fields: dict[str, object] = {
            "engine": assignment.engine.record.engine_id,
            "peer": assignment.daemon or self._identity.name,
            "tenant": share.tenant,
            "count": assignment.count,
            "tenants_waiting": share.tenants_waiting,
            "tenant_slots": share.slots,
            "slots_meanwhile": share.slots_of_all,
        }
        return [LogLine("batch slots granted", fields)]

    # Digests.

    def _digests(self, now: float) -> list[SlotInstruction]:
        addresses = tuple(
            holder.address
            for holder in self._ledger.holders.values()
            if holder.shares or holder.open_items
        )
        if not addresses:
            return []
        return [SendToPeers(addresses, self._digest(now, group)) for group in self.coordinated]

    def _digest(self, now: float, group: str) -> GroupDigest | PacedDigest:
        free_slots = max(0.0, self.mean_free_slots(now, group))
        engines = self.engines_of(group)
        digest = GroupDigest(
            self._identity.name,
            self._identity.incarnation,
            group,
            self._engines.counts_of(engines),
            round(free_slots * 100),
            self._own_items.open_items + self._ledger.open_items(),
        )
        paces = self._engines.paces_of(now, engines)
        return PacedDigest(digest, paces) if paces else digest

    def mean_free_slots(self, now: float, group: str) -> float:
        """Returns the mean number of slots that online requests leave free in a group."""
        return self._engines.mean_free_slots(now, self.engines_of(group))
