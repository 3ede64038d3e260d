"""Decides whether this daemon may count for a quota group, and with which ledger.

    (none)      -> PROVISIONAL  this process holds the newest claim of the group; its predecessors
                                may still count
    PROVISIONAL -> CONFIRMED    each predecessor stated that it has stopped, or its lease has ended
    any         -> (none)       a newer claim is known, or this daemon drains

Inputs: the claims (`slots/coordinator_claims.py`) and when the store last had no newer one; the
predecessors in the own claim; the predecessors' answers.

Rule:

1. A daemon counts only within `LEASE_SECONDS` after a time at which the store had no newer claim.
2. It asks its predecessors to stop. A daemon that is asked learns of the newer claim by that, so it
   has stopped when it answers; a process that was started since never counted. If the only
   predecessor was confirmed, its accounts are handed over. Otherwise the accounts begin empty, or
   full if nobody has claimed the group before.
3. A predecessor that does not answer has stopped `SUCCESSION_SECONDS` after the claim, as its lease
   has ended.
4. Until then, requests are counted with a small reserve, which also begins empty. Only a
   coordinator with a single predecessor may use it: that predecessor was confirmed, so that no
   other reserve is in use.
5. A confirmed coordinator claims the group again without predecessors.
6. A coordinator whose last read of the store is older than `OLD_CONFIRMATION_SECONDS` says so to
   the daemons that ask it. One that reads the store claims the group (`coordinator_claims.py`). The
   coordinator counts on until it is asked to stop, or until its lease ends.

Why: the ledgers of confirmed coordinators follow each other, and so do the reserves. So whatever
the number of daemons, claims and restarts, the requests counted in a window are at most the depth
of one account and its rate times the window, plus one reserve. A lease that is proved by reading
the store needs no message, and a coordinator goes on counting through an outage of the store that
is shorter than its lease. Measured in docs/design/tenants.md.

It owns the leases of this daemon and the ledgers of the groups that it holds or held.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from troutswitch.common import Address
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import (
    ClaimHolder,
    QuotaBalance,
    QuotaHandover,
    QuotaHandoverRequest,
)
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.slots.coordinator_claims import (
    Claim,
    CoordinatorClaims,
    claim_from,
    known_claim,
)
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.tenants.quota import Authority
from troutswitch.decisions.tenants.quota_groups import QUOTA_GROUPS
from troutswitch.decisions.tenants.quota_ledger import (
    QuotaLedger,
    counted_allowance,
    reserve_allowance,
)
from troutswitch.decisions.tenants.types import QuotaBounds

LEASE_SECONDS = 12.0
"""Time for which a coordinator counts without reading the store. It exceeds the outages that a
fleet must bear without harm, of some 9 s, by the age that the last read may have had."""
OLD_CONFIRMATION_SECONDS = 4.0
"""Age of the last confirmation from which a coordinator asks to be succeeded. Reads wait for 1 s at
the store, so the age reaches 2 s without a fault, and 3 s if one answer is lost; a daemon may need
3 s to be in contact again. The remaining 8 s of the lease exceed the 4 s that a daemon waits which
has itself just reached the store again (`READS_SETTLED_SECONDS`). The outages of some 9 s that a
fleet must bear are longer than this age, but nobody can claim during one."""
SUCCESSION_SECONDS = 12.5
"""Time after its claim at which a successor counts although a predecessor did not answer. It
exceeds the lease by the drift of two clocks."""
HANDOVER_INTERVALS_SECONDS = (0.02, 0.05, 0.1, 0.2, 0.4)
"""Intervals between requests to a predecessor; the last one repeats."""
MAX_BALANCES = 32
"""Maximum number of accounts in a handover, which then fits into a datagram. Further accounts begin
empty."""
FIRST_LEDGER_SECONDS = 86_400.0
"""Age of the ledger of a group that nobody has claimed before: its accounts have filled up."""


@dataclass(slots=True)
class _Held:
    """A group whose newest claim this process holds.

    `offset` is that of its first claim, learnt at `since`. `awaited` has the addresses of the
    predecessors that have not stopped; they were asked `asked` times and are asked again at
    `ask_at`. `is_first` is set if nobody had claimed the group before. `handover` is that of the
    only predecessor, if it had one. `ledger` is None before the coordinator is confirmed.
    `is_lease_over` is set once the end of the lease was logged.
    """

    offset: int
    since: float
    awaited: dict[str, Address]
    is_first: bool
    had_single_predecessor: bool
    reserve: QuotaLedger | None
    ledger: QuotaLedger | None = None
    asked: int = 0
    ask_at: float = float("-inf")
    handover: QuotaHandover | None = None
    is_lease_over: bool = False


@dataclass(frozen=True, slots=True)
class _Stopped:
    """A group that this process held; `ledger` is None if it was never confirmed."""

    ledger: QuotaLedger | None


@dataclass(slots=True)
class QuotaCoordination:
    """The leases and ledgers of this daemon's quota groups."""

    identity: DaemonIdentity
    bounds: QuotaBounds
    claims: CoordinatorClaims
    emit: Callable[[SendToPeers | LogLine], None]
    _held: dict[str, _Held] = field(default_factory=dict)
    _stopped: dict[str, _Stopped] = field(default_factory=dict)

    # Queries.

    def holds(self, group: str) -> bool:
        """Returns whether this process holds the newest known claim of a group."""
        return group in self._held and self.claims.is_own(group)

    def authority(self, now: float, group: str) -> Authority:
        """Returns what this daemon may count with for a group now."""
        if not self.holds(group) or now >= self.claims.proven_at + LEASE_SECONDS:
            return Authority.NONE
        is_confirmed = self._held[group].ledger is not None
        return Authority.CONFIRMED if is_confirmed else Authority.PROVISIONAL

    def reads_store(self, now: float) -> bool:
        """Returns whether the last confirmation by the store is recent."""
        return now < self.claims.proven_at + OLD_CONFIRMATION_SECONDS

    def ledger(self, now: float, group: str) -> QuotaLedger | None:
        """Returns the ledger with which this daemon counts now; None if it must not count."""
        match self.authority(now, group):
            case Authority.CONFIRMED:
                return self._held[group].ledger
            case Authority.PROVISIONAL:
                return self._held[group].reserve
            case Authority.NONE:
                return None

    # Messages.

    def on_handover_request(self, now: float, request: QuotaHandoverRequest) -> None:
        """Stops counting for a group that a successor claimed, and answers it."""
        if request.predecessor != self.identity.name:
            return
        claim = claim_from(request.claim)
        self.claims.add_claim(claim)
        self._update(now)
        newest = self.claims.claim_of(claim.group)
        if newest is None or newest.offset > claim.offset:
            return  # its claim has been replaced
        self.emit(SendToPeers((request.address,), self._handover(now, claim)))

    def _handover(self, now: float, claim: Claim) -> QuotaHandover:
        stopped = self._stopped.get(claim.group)
        if stopped is None or stopped.ledger is None:
            return QuotaHandover(self.identity.name, claim.group, claim.offset)
        ledger = stopped.ledger
        ledger.drop_idle(now, 0.0)
        left = ledger.balances(now)
        opened = now - ledger.opened_at if len(left) <= MAX_BALANCES else 0.0
        balances = tuple(
            QuotaBalance(tenant, int(left[tenant] * 100)) for tenant in sorted(left)[:MAX_BALANCES]
        )
        return QuotaHandover(
            self.identity.name, claim.group, claim.offset, int(opened * 1000), balances
        )

    def on_handover(self, now: float, handover: QuotaHandover) -> None:
        """Handles a predecessor's statement that it has stopped."""
        held = self._held.get(handover.group)
        if held is None or held.offset != handover.offset or handover.sender not in held.awaited:
            return
        del held.awaited[handover.sender]
        if held.had_single_predecessor:
            held.handover = handover
        if not held.awaited and held.ledger is None:
            self._confirm(now, handover.group, held)

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` is due next, in seconds of this process's clock."""
        awaiting = [held for held in self._held.values() if held.ledger is None]
        ends = (min(held.ask_at, held.since + SUCCESSION_SECONDS) for held in awaiting)
        return min(ends, default=float("inf"))

    def on_timer(self, now: float) -> None:
        """Follows the claims, asks predecessors to stop, and drops idle accounts."""
        self._update(now)
        for group, held in self._held.items():
            if held.ledger is None and now >= held.since + SUCCESSION_SECONDS:
                self._confirm(now, group, held)
            if held.ledger is None and now >= held.ask_at:
                self._ask_predecessors(now, group, held)
            self._log_lease(now, group, held)
            for ledger in (held.ledger, held.reserve):
                if ledger is not None:
                    ledger.drop_idle(now, self.bounds.window)

    def _log_lease(self, now: float, group: str, held: _Held) -> None:
        """Logs when the lease of a held group has ended, and when the store confirms it again."""
        is_over = now >= self.claims.proven_at + LEASE_SECONDS
        if is_over == held.is_lease_over:
            return
        held.is_lease_over = is_over
        event = "quota lease ended" if is_over else "quota lease renewed"
        age = round((now - self.claims.proven_at) * 1000)
        self._log(event, group, confirmation_age_ms=age)

    def _update(self, now: float) -> None:
        """Begins and ends to hold groups, by the newest known claims."""
        for group in (group.name for group in QUOTA_GROUPS):
            is_own = self.claims.is_own(group)
            claim = self.claims.claim_of(group)
            if is_own and claim is not None and group not in self._held:
                self._begin(now, claim)
            elif not is_own and group in self._held:
                self._end(group)

    def _begin(self, now: float, claim: Claim) -> None:
        """Begins to hold a group; an earlier process of this name has ended."""
        awaited = {
            earlier.daemon: earlier.address
            for earlier in claim.predecessors
            if earlier.daemon != self.identity.name
        }
        is_single = len(claim.predecessors) == 1
        reserve = QuotaLedger(reserve_allowance(self.bounds), now) if is_single else None
        is_first = not claim.predecessors
        held = _Held(claim.offset, now, awaited, is_first, is_single, reserve)
        self._held[claim.group] = held
        self._stopped.pop(claim.group, None)
        self._log("quota coordination begun", claim.group, predecessors=sorted(awaited))
        if not awaited:
            self._confirm(now, claim.group, held)

    def _end(self, group: str) -> None:
        self._stopped[group] = _Stopped(self._held.pop(group).ledger)
        self._log("quota coordination ended", group)

    def _confirm(self, now: float, group: str, held: _Held) -> None:
        """Opens the ledger of a group."""
        held.ledger = self._open_ledger(now, held)
        by = "lease ended" if held.awaited else "predecessors stopped"
        held.awaited = {}
        held.reserve = None
        self.claims.settle(group)
        self._log("quota coordination confirmed", group, by=by, ms=round((now - held.since) * 1000))

    def _open_ledger(self, now: float, held: _Held) -> QuotaLedger:
        """Opens a ledger, with the accounts that the only predecessor handed over.

        The accounts of a group that nobody has claimed before are full.
        """
        allowance, handover = counted_allowance(self.bounds), held.handover
        if held.is_first:
            return QuotaLedger(allowance, now - FIRST_LEDGER_SECONDS)
        if handover is None:
            return QuotaLedger(allowance, now)
        balances = {row.tenant: row.hundredths / 100 for row in handover.balances}
        opened_at = now - handover.opened_ms / 1000
        return QuotaLedger(allowance, opened_at, balances, now)

    def _ask_predecessors(self, now: float, group: str, held: _Held) -> None:
        claim = self.claims.claim_of(group)
        assert claim is not None, "a held group has a claim"
        step = min(held.asked, len(HANDOVER_INTERVALS_SECONDS) - 1)
        held.asked += 1
        held.ask_at = now + HANDOVER_INTERVALS_SECONDS[step]
        for name, address in held.awaited.items():
            if address.host:
                self._ask(claim, ClaimHolder(name, address))

    def _ask(self, claim: Claim, predecessor: ClaimHolder) -> None:
        identity = self.identity
        request = QuotaHandoverRequest(
            identity.name, identity.address, predecessor.daemon, known_claim(claim)
        )
        self.emit(SendToPeers((predecessor.address,), request))

    def _log(self, event: str, group: str, **fields: object) -> None:
        self.emit(LogLine(event, {"group": group, **fields}))
