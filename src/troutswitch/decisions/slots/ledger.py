"""Counts the requests of other daemons in flight on the engines that this daemon coordinates.

A peer's share of an engine is the share in its newest report, plus what this daemon granted or
retracted since that report was made. Grants to a peer are numbered, and a report has the number of
the newest grant that it includes. So a count is exact as long as no datagram is lost.

Two timeouts limit the effect of lost datagrams. A grant that no report includes expires after
`GRANT_EXPIRY_SECONDS`. The requests in flight of a peer that has been silent for `SILENT_SECONDS`
are no longer counted.

The ledger owns the holders, which are the peers that report to this daemon. It writes the peers'
counts of each engine to the registry.
"""

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from troutswitch.common import Address
from troutswitch.daemons.messages import (
    NO_ENGINE,
    PREFILL_UNIT_TOKENS,
    EngineShare,
    HoldingsReport,
    ServiceItems,
    TenantItems,
    engine_key,
)
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.slots.unused_grants import UnusedGrants

GRANT_EXPIRY_SECONDS = 0.5
"""Time after which a grant that no report has included is no longer counted: more than twice the
maximum time until a report includes it, so that one lost report has no effect."""
SILENT_SECONDS = 2.0
"""Silence after which a peer's requests in flight are no longer counted: four of its periodic
reports."""
FORGET_SECONDS = 60.0
"""Silence after which a peer is removed."""
CHECK_SECONDS = 0.1
"""Interval between checks for expired grants and silent peers."""
MIN_UNUSABLE_REPORTS = 2
"""Number of daemons that must report an engine as unusable before all daemons avoid it."""


@dataclass(frozen=True, slots=True)
class Grant:
    """Slots granted to a peer; negative counts retract slots."""

    number: int
    granted_at: float
    share: EngineShare
    tenant: str | None = None
    """The tenant whose items get the slots; None if the peer chooses."""
    service: str = ""
    """The service of the engine; empty if the engine is not known."""


@dataclass(slots=True)
class Holder:
    """A peer with work at the engines that this daemon coordinates.

    `reported` has the shares in its newest report, `grants` the grants since then, and `shares` the
    sum of both. Shares are stored by engine key. Times are in seconds of this process's clock.
    """

    address: Address
    zone: str
    incarnation: int
    sequence: int
    last_seen_at: float
    reported: dict[int, EngineShare] = field(default_factory=dict)
    grants: deque[Grant] = field(default_factory=deque)
    last_grant: int = 0
    shares: dict[int, EngineShare] = field(default_factory=dict)
    waiting_items: int = 0
    late_items: int = 0
    tenants: tuple[TenantItems, ...] = ()
    """The waiting items by tenant; empty if they count as one tenant's."""
    services: tuple[ServiceItems, ...] = ()
    """The waiting items by service; empty if each can start at every service."""
    reserved: int = NO_ENGINE
    """Key of the engine that is reserved for a large item of the peer."""
    open_items: int = 0
    unusable: frozenset[int] = frozenset()

    def batch_at(self, key: int) -> int:
        """Returns the number of the peer's batch items at the engine with the given key."""
        share = self.shares.get(key)
        return share.batch if share is not None else 0

    @property
    def unreported_batch_grants(self) -> int:
        """Number of slots for batch items granted since the newest report."""
        return sum(grant.share.batch for grant in self.grants if grant.share.batch > 0)

    def granted_at(self, service: str) -> int:
        """Returns the number of slots for items granted at a service since the newest report."""
        shares = (grant.share for grant in self.grants if grant.service == service)
        return sum(share.batch for share in shares if share.batch > 0)

    def granted_to(self, tenant: str) -> int:
        """Returns the number of slots granted to a tenant's items since the newest report."""
        shares = (grant.share for grant in self.grants if grant.tenant == tenant)
        return sum(share.batch for share in shares if share.batch > 0)

    def apply_report(
        self, now: float, report: HoldingsReport, tenants: tuple[TenantItems, ...] | None
    ) -> None:
        """Replaces the reported state with that of a newer report."""
        self.address, self.zone = report.address, report.zone
        self.incarnation, self.sequence = report.incarnation, report.sequence
        self.last_seen_at = now
        self.waiting_items = report.waiting_items
        self.late_items = report.late_items
        if tenants is not None:
            self.tenants = tenants
        self.services = report.services
        self.reserved = report.reserved
        self.open_items = report.open_items
        self.unusable = frozenset(report.unusable)
        self.reported = {share.engine_key: share for share in report.shares}

    def drop_reported_grants(self, last_seen: int) -> None:
        """Drops the grants up to `last_seen`, which the newest report includes."""
        while self.grants and self.grants[0].number <= last_seen:
            self.grants.popleft()

    def drop_expired_grants(self, now: float) -> None:
        """Drops the grants that no report included in time."""
        while self.grants and now - self.grants[0].granted_at > GRANT_EXPIRY_SECONDS:
            self.grants.popleft()

    def clear(self) -> None:
        """Drops everything that a silent peer reported or was granted."""
        self.reported = {}
        self.grants.clear()
        self.waiting_items = 0
        self.late_items = 0
        self.tenants = ()
        self.services = ()
        self.reserved = NO_ENGINE
        self.open_items = 0
        self.unusable = frozenset()


class SlotLedger:
    """All holders, and the engine counts that follow from them."""

    def __init__(self, engines: EngineRegistry, incarnation: int) -> None:
        self.holders: dict[str, Holder] = {}
        self.unused = UnusedGrants(random.Random(incarnation))
        self._incarnation = incarnation
        self._engines = engines
        self._checked_at = float("-inf")

    def on_report(
        self,
        now: float,
        report: HoldingsReport,
        tenants: tuple[TenantItems, ...] | None = (),
    ) -> bool:
        """Applies a report; returns False if a newer report was applied before.

        `tenants` divides the waiting items by tenant; None if the message has no room for it, so
        that the division of the report before stays.
        """
        holder = self.holders.get(report.sender)
        if holder is None:
            holder = Holder(report.address, report.zone, report.incarnation, -1, now)
            self.holders[report.sender] = holder
        if holder.incarnation != report.incarnation:
            holder.grants.clear()
            holder.tenants = ()
        elif report.sequence <= holder.sequence:
            return False
        if report.coordinator_incarnation == self._incarnation:
            self._record_use(now, holder, report)
        holder.apply_report(now, report, tenants)
        if report.coordinator_incarnation == self._incarnation:
            holder.drop_reported_grants(report.last_grant_seen)
        self._apply(now, holder)
        return True

    def _record_use(self, now: float, holder: Holder, report: HoldingsReport) -> None:
        """Records at which engines a peer used the grants that its new report includes.

        They count as unused only if nothing else can hide a start: no fewer items wait, and none
        has ended since the report before.
        """
        granted = {
            grant.share.engine_key
            for grant in holder.grants
            if grant.number <= report.last_grant_seen and grant.share.batch > 0
        }
        waiting = holder.waiting_items + holder.late_items
        is_unclear = (
            report.waiting_items + report.late_items < waiting
            or report.open_items < holder.open_items
        )
        reported = {share.engine_key: share.batch for share in report.shares}
        for key in granted:
            engine = self._engines.by_key(key)
            before = holder.reported.get(key, _empty_share(key)).batch
            is_used = reported.get(key, 0) > before
            if engine is not None and (is_used or not is_unclear):
                self.unused.record(now, report.sender, engine.record.engine_id, is_used=is_used)

    def grant(self, now: float, name: str, share: EngineShare, tenant: str | None = None) -> int:
        """Counts a grant to a holder from now on; returns the grant's number."""
        holder = self.holders[name]
        engine = self._engines.by_key(share.engine_key)
        service = engine.record.service if engine is not None else ""
        holder.last_grant += 1
        holder.grants.append(Grant(holder.last_grant, now, share, tenant, service))
        self._apply(now, holder)
        return holder.last_grant

    def _apply(self, now: float, holder: Holder) -> None:
        """Updates the counts of engines to a holder's current shares."""
        shares = dict(holder.reported)
        for grant in holder.grants:
            key = grant.share.engine_key
            shares[key] = _add_shares(shares.get(key, _empty_share(key)), grant.share)
        if shares == holder.shares:
            return
        for key in holder.shares.keys() | shares.keys():
            old = holder.shares.get(key, _empty_share(key))
            self._change(now, old, shares.get(key, _empty_share(key)))
        holder.shares = shares

    def _change(self, now: float, old: EngineShare, new: EngineShare) -> None:
        engine = self._engines.by_key(new.engine_key)
        if engine is None or old == new:
            return
        tokens = (new.prefill_units - old.prefill_units) * PREFILL_UNIT_TOKENS
        engine.change_peers_online(now, new.online - old.online)
        engine.peers_batch = max(0, engine.peers_batch + new.batch - old.batch)
        engine.peers_prefill_tokens = max(0, engine.peers_prefill_tokens + tokens)

    def recount(self, now: float, engines: Iterable[Engine]) -> None:
        """Counts engines again from the holders, after engines were added or changed groups."""
        for engine in engines:
            engine.change_peers_online(now, -engine.peers_online)
            engine.peers_batch = 0
            engine.peers_prefill_tokens = 0
            key = engine_key(engine.record.engine_id)
            for holder in self.holders.values():
                share = holder.shares.get(key)
                if share is not None:
                    self._change(now, _empty_share(key), share)

    # Queries.

    def batch_holders(self, key: int) -> list[tuple[str, int]]:
        """Returns the peers with batch items at an engine, and their numbers of items."""
        counts = ((name, holder.batch_at(key)) for name, holder in self.holders.items())
        return [(name, count) for name, count in counts if count > 0]

    def is_avoided(self, key: int) -> bool:
        """Returns whether `MIN_UNUSABLE_REPORTS` daemons report the engine as unusable."""
        reports = sum(key in holder.unusable for holder in self.holders.values())
        return reports >= MIN_UNUSABLE_REPORTS

    def open_items(self) -> int:
        """Returns the number of the peers' unfinished batch items."""
        return sum(holder.open_items for holder in self.holders.values())

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` is due next, in seconds of this process's clock."""
        return self._checked_at + CHECK_SECONDS if self.holders else float("inf")

    def on_timer(self, now: float) -> None:
        """Drops expired grants and the requests in flight of silent peers."""
        if now < self.next_due():
            return
        self._checked_at = now
        self.unused.on_timer(now)
        for name, holder in list(self.holders.items()):
            silence = now - holder.last_seen_at
            if silence > SILENT_SECONDS:
                holder.clear()
            holder.drop_expired_grants(now)
            self._apply(now, holder)
            if silence > FORGET_SECONDS:
                del self.holders[name]

    def validate(self) -> None:
        """Checks the invariants that hold between events.

        Raises:
            InvariantViolated: The grants to a holder are not numbered in order.
        """
        for holder in self.holders.values():
            numbers = [grant.number for grant in holder.grants]
            ensure(numbers == sorted(set(numbers)), "grants to a peer are out of order")
            ensure(
                not numbers or numbers[-1] <= holder.last_grant,
                "a grant has a number above the last one",
            )


def _empty_share(key: int) -> EngineShare:
    return EngineShare(key, 0, 0, 0)


def _add_shares(share: EngineShare, change: EngineShare) -> EngineShare:
    return EngineShare(
        share.engine_key,
        max(0, share.online + change.online),
        max(0, share.batch + change.batch),
        max(0, share.prefill_units + change.prefill_units),
    )
