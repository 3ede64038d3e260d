"""The slots of all engines as one daemon deals with them: its part as coordinator, and as one
that asks and reports."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.daemons.messages import (
    BatchSlotGrant,
    GroupDigest,
    HoldingsReport,
    PeerMessage,
    SlotReply,
    SlotRequest,
)
from troutswitch.decisions.forwarding.engines import Engine, EngineRegistry
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.placement import HomePolicy
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.jobs.batch_capacity import BatchCapacityPolicy
from troutswitch.decisions.slots.claims import Claim, CoordinatorClaims
from troutswitch.decisions.slots.coordinator import SlotCoordinator
from troutswitch.decisions.slots.groups import EngineGroups
from troutswitch.decisions.slots.ledger import SlotLedger
from troutswitch.decisions.slots.messages import (
    FleetShare,
    SendToPeers,
    StartItems,
    WaitingItems,
)
from troutswitch.decisions.slots.reports import HoldingsReports
from troutswitch.decisions.slots.slot_requests import PlacementFound, SlotRequests
from troutswitch.decisions.storage.follower import CallNumbers
from troutswitch.decisions.storage.messages import StoreCall, StoreOutcome

DIGEST_FRESH_SECONDS = 2.0
"""Age up to which a digest counts: four intervals between digests."""
UNCOORDINATED_SECONDS = 1.0
"""Time without a word of a coordinator after which batch items start by what is known here;
until then another daemon takes the group over."""

Instruction = SendToPeers | StartItems | LogLine


@dataclass(frozen=True, slots=True)
class _Heard:
    """A digest, and when it came."""

    at: float
    digest: GroupDigest


class FleetSlots:
    """Groups, claims, counts, asks and reports of one daemon."""

    def __init__(
        self,
        name: str,
        zone: str,
        address: Address,
        incarnation: int,
        engines: EngineRegistry,
        times: RunTimes,
        homes: HomePolicy,
        room: BatchCapacityPolicy,
        numbers: CallNumbers,
        own_waiting: Callable[[], WaitingItems],
        own_open: Callable[[], int],
        candidates: Callable[[float, int], list[Engine]],
        emit: Callable[[Instruction], None],
        log: Callable[..., None],
        rng: random.Random,
    ) -> None:
        self._engines = engines
        self._emit = emit
        self._log = log
        self._own_open = own_open
        self._list_changes = -1
        self._heard: dict[str, _Heard] = {}
        self._word_at: dict[str, float] = {}
        """When each group's coordinator was last heard, or had last nothing to tell."""
        self._looked_at: dict[str, float] = {}
        self.groups = EngineGroups()
        self.claims = CoordinatorClaims(name, zone, address, self.groups, numbers, rng, log)
        self.ledger = SlotLedger(engines, incarnation)
        self.coordinator = SlotCoordinator(
            name, zone, engines, self.groups, self.ledger, times, own_waiting, own_open, room, rng
        )
        self.reports = HoldingsReports(
            name,
            zone,
            address,
            incarnation,
            engines,
            self.groups,
            self.claims,
            own_waiting,
            own_open,
        )
        self.asks = SlotRequests(
            zone,
            engines,
            self.groups,
            self.claims,
            self.coordinator,
            homes,
            self.reports.report,
            candidates,
            emit,
            rng,
        )

    # Messages.

    def on_message(self, now: float, message: PeerMessage) -> list[PlacementFound]:
        """Takes a peer's message about slots; returns searches for a place that ended."""
        match message:
            case HoldingsReport():
                self.ledger.on_report(now, message)
            case SlotRequest():
                self.ledger.on_report(now, message.report)
                self._emit_all(self.coordinator.on_ask(now, message))
            case SlotReply():
                return self._on_answer(now, message)
            case BatchSlotGrant():
                self._on_places(now, message)
            case GroupDigest():
                self._on_digest(now, message)
            case _:
                raise TypeError(f"no message about slots: {type(message).__name__}")
        return []

    def _on_answer(self, now: float, answer: SlotReply) -> list[PlacementFound]:
        claim = self.claims.claim_of(answer.group)
        is_current = claim is not None and claim.daemon == answer.sender
        if claim is not None and is_current and answer.is_coordinator:
            self._word_at[answer.group] = now
            if answer.grant and not self.reports.take_grant(
                claim, answer.incarnation, answer.grant
            ):
                return []
        if claim is not None and is_current and answer.grant and not self.asks.is_awaited(answer):
            self.reports.on_unused_place(claim)
        found = self.asks.on_answer(now, answer)
        return [found] if found is not None else []

    def _on_places(self, now: float, places: BatchSlotGrant) -> None:
        claim = self.claims.claim_of(places.group)
        engine = self._engines.by_key(places.engine_key)
        if claim is None or claim.daemon != places.sender:
            self._log("places of another coordinator", group=places.group, peer=places.sender)
            return
        if not self.reports.take_grant(claim, places.incarnation, places.grant) or engine is None:
            return
        self._word_at[places.group] = now
        self.claims.on_activity(places.group, places.sender)
        self._emit(StartItems(engine.record.engine_id, places.count))

    def _on_digest(self, now: float, digest: GroupDigest) -> None:
        claim = self.claims.claim_of(digest.group)
        if claim is None or claim.daemon != digest.sender:
            return
        self._word_at[digest.group] = now
        self._heard[digest.group] = _Heard(now, digest)
        self.claims.on_activity(digest.group, digest.sender)
        if not self.coordinator.coordinates(digest.group):
            self._engines.take_counts(now, digest.counts)

    def claim_by(self, group: str, sender: str) -> Claim | None:
        """Returns the claim of a group if it is a given daemon's."""
        claim = self.claims.claim_of(group)
        return claim if claim is not None and claim.daemon == sender else None

    # What batch items may count on (`BatchSlots`).

    def share(self, now: float) -> FleetShare:
        """Returns what all daemons' items may count on together."""
        free = 0.0
        others = self.ledger.open_items() if self.coordinator.coordinated else 0
        for group in self.groups.all():
            told = self._digest(now, group.name)
            if told is not None:
                free += told.free_slots_hundredths / 100
                others = max(others, told.open_items - self._own_open())
            else:
                free += self.coordinator.usual_free_slots(now, group.name)
        return FleetShare(free, others)

    def _digest(self, now: float, group: str) -> GroupDigest | None:
        """Returns the newest digest of a group that another daemon coordinates."""
        heard = self._heard.get(group)
        if heard is None or self.coordinator.coordinates(group):
            return None
        return heard.digest if now - heard.at <= DIGEST_FRESH_SECONDS else None

    def is_coordinated(self, now: float, engine_id: str) -> bool:
        """Returns whether places at an engine are granted, and must not be taken without."""
        group = self.groups.of_engine(engine_id)
        if group is None:
            return False
        if self.coordinator.coordinates(group.name):
            return True
        looked_at = self._looked_at.get(group.name, float("-inf"))
        self._looked_at[group.name] = now
        if now - looked_at > UNCOORDINATED_SECONDS:
            self._word_at[group.name] = now  # nothing was wanted of it, so it was silent
        return now - self._word_at[group.name] <= UNCOORDINATED_SECONDS

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min(
            self.claims.next_due(),
            self.ledger.next_due(),
            self.coordinator.next_due(),
            self.reports.next_due(),
            self.asks.next_due(),
        )

    def on_timer(self, now: float) -> tuple[list[PlacementFound], list[StoreCall]]:
        """Does what is due; returns searches that ended, and calls to the store."""
        self._follow_list(now)
        calls = self.claims.on_timer(now)
        self._follow_claims(now)
        self.ledger.on_timer(now)
        self._emit_all(self.coordinator.on_timer(now))
        found = self.asks.on_timer(now)
        self._emit_all(self.reports.on_timer(now))
        self.ledger.validate()
        return found, calls

    def _follow_list(self, now: float) -> None:
        if self._engines.list_changes == self._list_changes:
            return
        self._list_changes = self._engines.list_changes
        present = [s.record for s in self._engines.engines.values() if not s.is_leaving]
        self.groups.update(present)
        self.coordinator.on_list_changed(now)

    def _follow_claims(self, now: float) -> None:
        """Begins and ends to coordinate as the claims have it."""
        own = {group.name for group in self.groups.all() if self.claims.is_own(group.name)}
        held = set(self.coordinator.coordinated)
        for group in sorted(own - held):
            self._log("coordination begun", group=group)
            self.coordinator.begin(now, group)
        for group in sorted(held - own):
            self._log("coordination ended", group=group)
            self.coordinator.end(group)

    def owns(self, call: int) -> bool:
        """Returns whether a store's answer belongs here."""
        return self.claims.owns(call)

    def on_store(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Takes a store's answer."""
        self.claims.on_answer(now, call, outcome)

    def drain(self) -> None:
        """Gives up what this daemon coordinates: others claim it."""
        self.claims.is_leaving = True

    def _emit_all(self, instructions: list[Instruction] | list[SendToPeers]) -> None:
        for instruction in instructions:
            self._emit(instruction)
