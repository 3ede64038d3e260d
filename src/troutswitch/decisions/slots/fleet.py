"""All decisions on slots of one daemon, both as coordinator and as a daemon that requests slots.

`FleetSlots` owns the parts in this package. It updates them when the engine list or the claims
change, and passes each peer's message about slots to the part that handles it. Grants for batch
items are used only if they come from the daemon with the newest known claim of the group, and only
once. A reply to a slot request is used as long as its search awaits it, even if a newer claim has
become known meanwhile.
"""

import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import assert_never

from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import (
    BatchSlotGrant,
    GroupDigest,
    HoldingsReport,
    PacedDigest,
    PacedReport,
    PaceReading,
    QueuedSlotRequest,
    SlotDenied,
    SlotMessage,
    SlotQueued,
    SlotReply,
    SlotRequest,
    SlotRequestWithdrawn,
    TenantItems,
)
from troutswitch.decisions.forwarding.engine_cost import IgnoredSpeed, SpeedPolicy
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.placement import HomePolicy
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.jobs.batch_capacity import BatchCapacityPolicy
from troutswitch.decisions.slots.batch_coordination import BatchCoordination
from troutswitch.decisions.slots.batch_slots import SELF
from troutswitch.decisions.slots.coordinator import SlotCoordinator
from troutswitch.decisions.slots.coordinator_claims import Claim, CoordinatorClaims
from troutswitch.decisions.slots.groups import EngineGroups, Group
from troutswitch.decisions.slots.health_requests import HealthRequests
from troutswitch.decisions.slots.ledger import SlotLedger
from troutswitch.decisions.slots.local_placement import LocalPlacement, RequestCandidates
from troutswitch.decisions.slots.messages import (
    FleetShare,
    OwnItems,
    SlotInstruction,
    StartItems,
)
from troutswitch.decisions.slots.queue_coordinator import QueueCoordinator
from troutswitch.decisions.slots.queued_requests import PlacementResult, QueuedRequests
from troutswitch.decisions.slots.queueing_coordinators import QueueingCoordinators
from troutswitch.decisions.slots.reports import HoldingsReports
from troutswitch.decisions.slots.slot_requests import SlotRequests
from troutswitch.decisions.storage.messages import StoreCall, StoreOutcome
from troutswitch.decisions.storage.read_attempts import CallNumbers


@dataclass(frozen=True, slots=True)
class SlotPolicies:
    """Policies that the decisions on slots use.

    `homes` knows the home engines of long prompts. `batch_capacity` determines how much of an
    engine batch items may use, and `speed` how the speed of engines counts.
    """

    homes: HomePolicy
    batch_capacity: BatchCapacityPolicy
    speed: SpeedPolicy = field(default_factory=IgnoredSpeed)


class FleetSlots:
    """Groups, claims, counts, slot requests and reports of one daemon."""

    def __init__(
        self,
        identity: DaemonIdentity,
        engines: EngineRegistry,
        times: RunTimes,
        policies: SlotPolicies,
        own_items: OwnItems,
        requests: RequestCandidates,
        numbers: CallNumbers,
        emit: Callable[[SlotInstruction], None],
        rng: random.Random,
        exclusive_groups: tuple[Group, ...] = (),
        health_path: Callable[[str], str] = lambda service: "",
    ) -> None:
        self._engines = engines
        self._emit = emit
        self._list_changes = -1
        self.groups = EngineGroups()
        self.claims = CoordinatorClaims(
            identity, self.groups, numbers, rng, self._log, exclusive_groups
        )
        self.ledger = SlotLedger(engines, identity.incarnation)
        self.coordinator = SlotCoordinator(
            identity,
            engines,
            self.groups,
            self.ledger,
            times,
            own_items,
            policies.batch_capacity,
            rng,
            policies.speed,
        )
        self.health = HealthRequests(
            engines, self.groups, self.coordinator.coordinated, health_path
        )
        self.batch = BatchCoordination(self.groups, self.coordinator, self.ledger, own_items)
        self.queueing = QueueingCoordinators()
        self.reports = HoldingsReports(
            identity, engines, self.groups, self.claims, own_items, self.queueing.queues
        )
        self.queues = QueueCoordinator(
            identity, self.groups, engines, self.ledger, self.coordinator, times
        )
        local = LocalPlacement(
            identity.zone, engines, requests, policies.homes, rng, policies.speed
        )
        request_numbers = itertools.count(1)
        queued = QueuedRequests(
            identity,
            self.groups,
            self.claims,
            self.queueing,
            self.coordinator,
            self.queues,
            self.reports,
            local,
            request_numbers,
            emit,
        )
        self.requests = SlotRequests(
            identity.zone,
            self.groups,
            self.claims,
            self.coordinator,
            self.reports,
            local,
            queued,
            engines.is_paced,
            request_numbers,
            emit,
            rng,
        )

    # Messages.

    def on_message(self, now: float, message: SlotMessage) -> list[PlacementResult]:
        """Handles a peer's message; returns the searches for a slot that it ended."""
        match message:
            case HoldingsReport():
                self._apply_report(now, message)
            case SlotRequest():
                self._apply_report(now, message.report, None)
                self._emit_all(self.coordinator.on_request(now, message))
            case QueuedSlotRequest():
                self._apply_paced_report(now, message.report, message.paces, message.tenants)
                self._emit_all(self.queues.on_request(now, message))
            case SlotRequestWithdrawn():
                self.queues.on_withdrawn(now, message)
            case SlotQueued() | SlotDenied():
                return self._on_queue_answer(now, message)
            case SlotReply():
                return self._on_reply(now, message)
            case BatchSlotGrant():
                self._on_batch_grant(now, message)
            case GroupDigest():
                self.queueing.on_message(message.sender, message.incarnation, queues=False)
                self._on_digest(now, message)
            case PacedReport():
                self._apply_paced_report(now, message.report, message.paces, message.tenants)
            case PacedDigest():
                self.queueing.on_message(
                    message.digest.sender, message.digest.incarnation, queues=True
                )
                if self._on_digest(now, message.digest):
                    self._engines.on_peer_paces(now, message.paces)
            case _:
                assert_never(message)
        return []

    def _apply_report(
        self,
        now: float,
        report: HoldingsReport,
        tenants: tuple[TenantItems, ...] | None = (),
    ) -> bool:
        """Applies a report; returns False if a newer one was applied before."""
        is_new = self.ledger.on_report(now, report, tenants)
        self.queues.on_report()
        return is_new

    def _apply_paced_report(
        self,
        now: float,
        report: HoldingsReport,
        paces: tuple[PaceReading, ...],
        tenants: tuple[TenantItems, ...],
    ) -> None:
        """Applies a report with paces, whose ages are too low if the report was overtaken."""
        if self._apply_report(now, report, tenants):
            self._engines.on_peer_paces(now, paces)

    def _on_queue_answer(
        self, now: float, answer: SlotQueued | SlotDenied
    ) -> list[PlacementResult]:
        self.queueing.on_message(answer.sender, answer.incarnation, queues=True)
        if self.claim_by(answer.group, answer.sender) is not None:
            self.batch.on_activity(now, answer.group)
        return self.requests.on_queue_answer(now, answer)

    def _on_reply(self, now: float, reply: SlotReply) -> list[PlacementResult]:
        self.queueing.on_message(reply.sender, reply.incarnation, queues=reply.queues)
        claim = self.claim_by(reply.group, reply.sender)
        if claim is not None:
            if reply.is_coordinator:
                self.batch.on_activity(now, reply.group)
                if self._is_duplicate(claim, reply):
                    return []
            if reply.grant_number and not self.requests.is_awaited(reply):
                self.reports.on_unused_grant(claim)
        result = self.requests.on_reply(now, reply)
        return [result] if result is not None else []

    def _is_duplicate(self, claim: Claim, reply: SlotReply) -> bool:
        """Records the grant in a reply; returns whether it was received before."""
        if not reply.grant_number:
            return False
        return not self.reports.record_grant(claim, reply.incarnation, reply.grant_number)

    def _on_batch_grant(self, now: float, grant: BatchSlotGrant) -> None:
        claim = self.claim_by(grant.group, grant.sender)
        if claim is None:
            self._log("grant of another coordinator", group=grant.group, peer=grant.sender)
            return
        is_new = self.reports.record_grant(claim, grant.incarnation, grant.grant_number)
        engine = self._engines.by_key(grant.engine_key)
        if not is_new or engine is None:
            return
        self.batch.on_activity(now, grant.group)
        self.claims.on_activity(grant.group, grant.sender)
        self._emit(StartItems(engine.record.engine_id, grant.count, grant.tenant))

    def _on_digest(self, now: float, digest: GroupDigest) -> bool:
        """Applies a digest; returns False if it is not from the group's newest coordinator."""
        if self.claim_by(digest.group, digest.sender) is None:
            return False
        self.batch.on_digest(now, digest)
        self.claims.on_activity(digest.group, digest.sender)
        if not self.coordinator.coordinates(digest.group):
            self._engines.update_peer_counts(now, digest.counts)
        return True

    def claim_by(self, group: str, sender: str) -> Claim | None:
        """Returns the newest known claim of a group if `sender` made it, else None."""
        claim = self.claims.claim_of(group)
        return claim if claim is not None and claim.daemon == sender else None

    # For batch items (`jobs.owner.BatchSlots`).

    def share(self, now: float) -> FleetShare:
        """Returns the free slots and unfinished items of all daemons."""
        return self.batch.share(now)

    def on_granted_items_started(
        self, now: float, engine_id: str, granted: int, started: int
    ) -> None:
        """Records how many of this daemon's items started in the slots of a grant."""
        group = self.groups.of_engine(engine_id)
        if group is not None and self.coordinator.coordinates(group.name):
            self.ledger.unused.record(now, SELF, engine_id, is_used=started >= granted)

    def is_coordinated(self, now: float, engine_id: str) -> bool:
        """Returns whether items at an engine may start only with a coordinator's grant."""
        return self.batch.is_coordinated(now, engine_id)

    # The store.

    def owns(self, call: int) -> bool:
        """Returns whether a call to the store was made by the claims."""
        return self.claims.owns(call)

    def on_store(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a call to the store."""
        self.claims.on_answer(now, call, outcome)

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` is due next, in seconds of this process's clock."""
        return min(
            self.claims.next_due(),
            self.ledger.next_due(),
            self.coordinator.next_due(),
            self.queues.next_due(),
            self.reports.next_due(),
            self.requests.next_due(),
            self.health.next_due(),
        )

    def on_timer(self, now: float) -> tuple[list[PlacementResult], list[StoreCall]]:
        """Does what is due; returns the searches that ended and the calls to the store."""
        self._update_groups(now)
        calls = self.claims.on_timer(now)
        self._update_coordinated(now)
        self.ledger.on_timer(now)
        # Queued requests come first: an item in a slot that they need would be stopped at once.
        self._emit_all(self.queues.on_timer(now))
        self._emit_all(self.coordinator.on_timer(now))
        results = self.requests.on_timer(now)
        self._emit_all(self.reports.on_timer(now))
        self._emit_all(self.health.on_timer(now))
        self.ledger.validate()
        return results, calls

    def _update_groups(self, now: float) -> None:
        """Groups the engines again if the list changed."""
        if self._engines.list_changes == self._list_changes:
            return
        self._list_changes = self._engines.list_changes
        present = [e.record for e in self._engines.engines.values() if not e.is_leaving]
        self.groups.update(present)
        self.coordinator.on_list_changed(now)

    def _update_coordinated(self, now: float) -> None:
        """Starts and stops coordinating groups according to the claims."""
        own = {group.name for group in self.groups.all() if self.claims.is_own(group.name)}
        coordinated = set(self.coordinator.coordinated)
        for group in sorted(own - coordinated):
            self._log("coordination begun", group=group)
            self.coordinator.start_coordinating(now, group)
        for group in sorted(coordinated - own):
            self._log("coordination ended", group=group)
            self.coordinator.stop_coordinating(group)
            self.queues.stop_coordinating(group)

    def drain(self) -> None:
        """Stops coordinating groups, so that other daemons claim them."""
        self.claims.is_draining = True

    def _log(self, event: str, **fields: object) -> None:
        self._emit(LogLine(event, fields))

    def _emit_all(self, instructions: Sequence[SlotInstruction]) -> None:
        for instruction in instructions:
            self._emit(instruction)
