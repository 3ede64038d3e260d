"""Reports this daemon's requests in flight to the coordinators of the engines.

A report is sent some milliseconds after a change that the coordinator does not know of, and
periodically while requests are in flight or items are unfinished. A daemon without work sends no
reports, so their number depends on the number of requests, not of daemons.

`HoldingsReports` owns what was last sent to each coordinator, the number of the newest grant that
each one sent, and the sequence number of this daemon's reports. It relies on the claims for which
daemon coordinates a group.

A report also has the paces that engines of the coordinator's groups have reported to this daemon,
if it was not sent them before. A pace alone is no reason for a report. A coordinator of an earlier
version ignores reports with paces, so it is sent none.

A report divides the waiting items by service unless each can start at every listed service. One to
a coordinator of a paced service that reads paces also divides them by tenant, if a named tenant has
some.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from troutswitch.common import Address
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import (
    MAX_PACES,
    NO_ENGINE,
    EngineShare,
    HoldingsReport,
    PacedReport,
    PaceReading,
    ServiceItems,
    TenantItems,
    engine_key,
    prefill_units,
)
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engine_pace import MAX_AGE_SECONDS, PaceObservation
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.slots.coordinator_claims import Claim, CoordinatorClaims
from troutswitch.decisions.slots.groups import EngineGroups
from troutswitch.decisions.slots.messages import OwnItems, SendToPeers, WaitingItems

REPORT_SECONDS = 0.01
"""Minimum interval between reports to one coordinator. Changes within it are reported together."""
ACKNOWLEDGE_SECONDS = 0.2
"""Maximum time until a report acknowledges a grant, well before the grant expires."""
REFRESH_SECONDS = 0.5
"""Interval between reports while requests are in flight or items are unfinished, for a coordinator
that is new or lost a report."""
MAX_UNUSABLE = 256
"""Maximum number of unusable engines in a report. Their keys take at most 5 bytes each, and a
datagram that is too long is not sent."""


@dataclass(frozen=True, slots=True)
class _Holdings:
    """The state of this daemon that one coordinator needs to know."""

    shares: tuple[EngineShare, ...] = ()
    waiting: WaitingItems = field(default_factory=WaitingItems)
    open_items: int = 0
    tenants: tuple[TenantItems, ...] = ()
    services: tuple[ServiceItems, ...] = ()
    reserved: int = NO_ENGINE

    @property
    def is_empty(self) -> bool:
        """Whether the report need not be repeated."""
        return not self.shares and not self.open_items


@dataclass(slots=True)
class _Coordinator:
    """State of the reports to one coordinator."""

    address: Address
    reported: _Holdings = field(default_factory=_Holdings)
    sent_at: float = float("-inf")
    incarnation: int = 0
    last_grant_seen: int = 0
    has_unacknowledged: bool = False
    has_unused_grant: bool = False
    """Whether it granted a slot to a request that no longer needs it."""
    paces: dict[str, PaceObservation] = field(default_factory=dict)
    """Paces that it was not sent, by engine, the newest last."""


@dataclass(frozen=True, slots=True)
class _HoldingsInputs:
    """The inputs of the holdings, which are computed again when an input changes."""

    engine_changes: int
    claim_changes: int
    group_changes: int
    waiting: WaitingItems
    open_items: int
    tenants: tuple[TenantItems, ...]
    services: tuple[ServiceItems, ...]
    reserved_engine: str
    tenant_readers: frozenset[str]
    """Coordinators that are sent the division by tenant."""


class HoldingsReports:
    """Reports of one daemon to all coordinators."""

    def __init__(
        self,
        identity: DaemonIdentity,
        engines: EngineRegistry,
        groups: EngineGroups,
        claims: CoordinatorClaims,
        own_items: OwnItems,
        reads_paces: Callable[[str], bool] = lambda daemon: True,
    ) -> None:
        self._reads_paces = reads_paces
        """Returns whether a daemon understands reports with paces."""
        self._identity = identity
        self._engines = engines
        self._groups = groups
        self._claims = claims
        self._own_items = own_items
        self._sequence = 0
        self._coordinators: dict[str, _Coordinator] = {}
        self._inputs: _HoldingsInputs | None = None
        self._holdings: dict[str, _Holdings] = {}

    # Grants of coordinators.

    def record_grant(self, claim: Claim, incarnation: int, number: int) -> bool:
        """Records a numbered grant; returns whether it is new and may be used."""
        coordinator = self._coordinator(claim)
        if coordinator.incarnation != incarnation:
            coordinator.incarnation, coordinator.last_grant_seen = incarnation, 0
            coordinator.has_unacknowledged = True  # the new process has received no report
        if number <= coordinator.last_grant_seen:
            return False
        coordinator.last_grant_seen = number
        coordinator.has_unacknowledged = True
        return True

    def on_unused_grant(self, claim: Claim) -> None:
        """Schedules a report that returns a slot, because the request no longer needs it.

        Without it the slot would stay empty until the next acknowledgement.
        """
        self._coordinator(claim).has_unused_grant = True

    def has_reported_all(self, claim: Claim) -> bool:
        """Returns whether a coordinator was sent this daemon's current state."""
        self._update()
        return self._coordinator(claim).reported == self._holdings_for(claim)

    def mark_reported(self, claim: Claim) -> None:
        """Marks this daemon's current state as reported.

        The coordinator has just granted the slot, so it knows the state without a report.
        """
        self._update()
        self._coordinator(claim).reported = self._holdings_for(claim)

    def _coordinator(self, claim: Claim) -> _Coordinator:
        coordinator = self._coordinators.get(claim.daemon)
        if coordinator is None:
            coordinator = _Coordinator(claim.address)
            self._coordinators[claim.daemon] = coordinator
        coordinator.address = claim.address
        return coordinator

    def _holdings_for(self, claim: Claim) -> _Holdings:
        return self._holdings.get(claim.daemon, _Holdings())

    # Computation of the holdings.

    def _update(self) -> None:
        """Computes the holdings for each coordinator, if an input changed."""
        inputs = _HoldingsInputs(
            self._engines.own_changes,
            self._claims.changes,
            self._groups.changes,
            self._own_items.waiting,
            self._own_items.open_items,
            self._own_items.waiting_by_tenant,
            self._own_items.waiting_by_service,
            self._own_items.reserved_engine,
            self._tenant_readers(),
        )
        if inputs == self._inputs:
            return
        self._inputs = inputs
        shares = self._shares()
        self._holdings = {}
        for claim in self._peers_claims():
            self._coordinator(claim)
            in_flight = tuple(shares.get(claim.daemon, ()))
            self._holdings[claim.daemon] = _Holdings(
                in_flight,
                inputs.waiting,
                inputs.open_items,
                inputs.tenants if claim.daemon in inputs.tenant_readers else (),
                inputs.services,
                engine_key(inputs.reserved_engine) if inputs.reserved_engine else NO_ENGINE,
            )

    def _tenant_readers(self) -> frozenset[str]:
        """Returns the coordinators of paced services that read the division by tenant."""
        if not self._own_items.waiting_by_tenant:
            return frozenset()
        return frozenset(
            claim.daemon
            for group in self._groups.all()
            if self._engines.is_paced(group.service)
            and (claim := self._claims.claim_of(group.name)) is not None
            and self._reads_paces(claim.daemon)
        )

    def _shares(self) -> dict[str, list[EngineShare]]:
        """Returns the requests and items in flight, by the coordinator that counts them."""
        shares: dict[str, list[EngineShare]] = {}
        for engine_id, engine in self._engines.engines.items():
            if engine.online_in_flight or engine.batch_in_flight:
                group = self._groups.of_engine(engine_id)
                claim = self._claims.claim_of(group.name) if group is not None else None
                if claim is not None:
                    shares.setdefault(claim.daemon, []).append(_share(engine_id, engine))
        return shares

    def _peers_claims(self) -> Iterator[Claim]:
        """Yields the claims of groups that peers coordinate."""
        for group in self._groups.all():
            claim = self._claims.claim_of(group.name)
            if claim is not None and claim.daemon != self._identity.name:
                yield claim

    # Reports.

    def report(self, now: float, claim: Claim) -> HoldingsReport:
        """Returns a report for a coordinator, and marks it as sent now."""
        self._update()
        return self._report(now, self._coordinator(claim), self._holdings_for(claim))

    def _report(self, now: float, coordinator: _Coordinator, holdings: _Holdings) -> HoldingsReport:
        coordinator.reported = holdings
        coordinator.sent_at = now
        coordinator.has_unacknowledged = False
        coordinator.has_unused_grant = False
        self._sequence += 1
        return HoldingsReport(
            self._identity.name,
            self._identity.zone,
            self._identity.address,
            self._identity.incarnation,
            self._sequence,
            holdings.shares,
            holdings.waiting.in_time,
            holdings.waiting.late,
            holdings.open_items,
            coordinator.incarnation,
            coordinator.last_grant_seen,
            self._unusable(now),
            holdings.services,
            holdings.reserved,
        )

    def tenants(self, claim: Claim) -> tuple[TenantItems, ...]:
        """Returns the waiting items by tenant for a message to a coordinator with a report."""
        return self._holdings_for(claim).tenants

    def new_paces(self, now: float, claim: Claim) -> tuple[PaceReading, ...]:
        """Returns the paces that a coordinator was not sent, and marks them as sent now.

        There are at most `MAX_PACES`, the newest ones; the others remain for the next message.
        """
        return self._new_paces(now, self._coordinator(claim))

    def _new_paces(self, now: float, coordinator: _Coordinator) -> tuple[PaceReading, ...]:
        self._sort_own_paces()
        readings: list[PaceReading] = []
        while coordinator.paces and len(readings) < MAX_PACES:
            engine_id, pace = coordinator.paces.popitem()
            age = now - pace.read_at
            if age > MAX_AGE_SECONDS:
                coordinator.paces.clear()  # all others are older
                break
            readings.append(PaceReading(engine_key(engine_id), pace.percent, round(age * 1000)))
        return tuple(readings)

    def _sort_own_paces(self) -> None:
        """Assigns the new paces to the coordinators that do not know them."""
        for engine_id, pace in self._engines.take_own_paces().items():
            group = self._groups.of_engine(engine_id)
            claim = self._claims.claim_of(group.name) if group is not None else None
            if claim is not None and claim.daemon != self._identity.name:
                paces = self._coordinator(claim).paces
                paces.pop(engine_id, None)
                paces[engine_id] = pace

    def _unusable(self, now: float) -> tuple[int, ...]:
        """Returns the keys of engines that get no requests, at most `MAX_UNUSABLE`.

        The first to be left out are those that leave and that this daemon has not used for long:
        coordinators know by their own lists that they leave.
        """
        unusable = [
            engine
            for engine in self._engines.engines.values()
            if engine.is_leaving or now < max(engine.ejected_until, engine.full_until)
        ]
        if len(unusable) > MAX_UNUSABLE:
            unusable.sort(key=lambda engine: (engine.is_leaving, -engine.last_seen_at))
        return tuple(engine_key(engine.record.engine_id) for engine in unusable[:MAX_UNUSABLE])

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` is due next, in seconds of this process's clock."""
        self._update()
        return min((self._due(name) for name in self._holdings), default=float("inf"))

    def _due(self, name: str) -> float:
        coordinator = self._coordinators[name]
        holdings = self._holdings[name]
        if holdings != coordinator.reported or coordinator.has_unused_grant:
            return coordinator.sent_at + REPORT_SECONDS
        if coordinator.has_unacknowledged:
            return coordinator.sent_at + ACKNOWLEDGE_SECONDS
        return float("inf") if holdings.is_empty else coordinator.sent_at + REFRESH_SECONDS

    def on_timer(self, now: float) -> list[SendToPeers]:
        """Sends the reports that are due."""
        self._update()
        instructions: list[SendToPeers] = []
        for name in [name for name in self._holdings if now >= self._due(name)]:
            coordinator = self._coordinators[name]
            report = self._report(now, coordinator, self._holdings[name])
            paces = self._new_paces(now, coordinator) if self._reads_paces(name) else ()
            tenants = self._holdings[name].tenants
            message = PacedReport(report, paces, tenants) if paces or tenants else report
            instructions.append(SendToPeers((coordinator.address,), message))
        return instructions


def _share(engine_id: str, engine: Engine) -> EngineShare:
    return EngineShare(
        engine_key(engine_id),
        engine.online_in_flight,
        engine.batch_in_flight,
        prefill_units(engine.prefill_tokens),
    )
