"""Quotas counted by one daemon a tenant, which is asked before a request is sent.

That daemon is the coordinator of one of the groups of engines, drawn by the tenant's name: all
daemons agree on who it is, and another takes over when it is silent.
"""

import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from troutswitch.common import Address, stable_hash
from troutswitch.daemons.messages import QuotaDecision, QuotaRequest
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.slots.coordinator_claims import CoordinatorClaims
from troutswitch.decisions.slots.groups import EngineGroups, Group
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.tenants.ledger import QuotaLedger, QuotaLimit
from troutswitch.decisions.tenants.quota import UNLIMITED, QuotaEnd, QuotaMessage
from troutswitch.decisions.tenants.shares import LastGrants
from troutswitch.decisions.tenants.types import QuotaBounds, Tenant

ANSWER_SECONDS = 0.03
"""Time for an answer, as for a place: a tenth of an objective of 300 ms; one takes one to four
milliseconds between zones."""
AGAIN_SECONDS = 0.012
"""Time after which an ask that was not answered is sent once more. Where one message in twenty was
lost and none was sent again, a tenant at eleven times its usual came to 1.22 of what users allow in
a window (`tests/worlds/quota_world.py`, 61 daemons)."""
LEASE_SECONDS = 0.5
"""Time for which requests that were allowed in advance may be used."""
LEASED_MOST = 4
"""Requests allowed in advance with one answer, while a tenant has used less than half."""


@dataclass(frozen=True, slots=True)
class _Ask:
    """An ask that waits for its answer."""

    token: int
    tenant: Tenant
    asked: SendToPeers
    group: str
    requested_at: float
    spent: int
    is_again: bool = False

    @property
    def due_at(self) -> float:
        """When the ask is sent again, or given up."""
        return self.requested_at + (ANSWER_SECONDS if self.is_again else AGAIN_SECONDS)


@dataclass(slots=True)
class _Lease:
    """Requests of a tenant that were allowed in advance."""

    left: int
    until: float


class CoordinatedQuota:
    """Implements `Quota` by asking; with `leases`, requests are allowed in advance."""

    def __init__(
        self,
        name: str,
        address: Address,
        bounds: QuotaBounds,
        groups: EngineGroups,
        claims: CoordinatorClaims,
        coordinated: dict[str, float],
        version: Callable[[], int],
        daemons: Callable[[], int],
        emit: Callable[[SendToPeers | LogLine], None],
        rng: random.Random,
        *,
        leases: bool = False,
    ) -> None:
        self.ledger = QuotaLedger(bounds)
        self._name = name
        self._address = address
        self._groups = groups
        self._claims = claims
        self._coordinated = coordinated
        self._version = version
        self._emit = emit
        self._extra = LEASED_MOST if leases else 0
        self._alone = LastGrants(daemons, rng)
        self._asks: dict[int, _Ask] = {}
        self._leases: dict[str, _Lease] = {}
        self._numbers = itertools.count(1)
        self._spent: Counter[str] = Counter()
        """Requests of tenants that went from here while nobody counted, not told of yet."""
        self._counted: dict[str, float] = {}

    # Requests of this daemon.

    def take(self, now: float, token: int, tenant: Tenant) -> QuotaMessage | None:
        """Takes one request from a tenant's quota; None if a coordinator is asked."""
        if not tenant.is_limited:
            return UNLIMITED
        if self._use_lease(now, tenant.name):
            return QuotaMessage(True, 0.0, "lease")
        group = self._group_of(tenant.name)
        if group is None:
            return self._take_alone(now, tenant)
        if group.name in self._coordinated:
            limit = QuotaLimit(tenant.rate, tenant.burst, self._version())
            grant = self.ledger.take(now, tenant.name, limit, 1, self._coordinated[group.name])
            return QuotaMessage(grant.granted > 0, grant.wait, "counted here")
        claim = self._claims.coordinator(now, group.name)
        if claim is None:
            self._claims.on_wanted(now, group.name)
            return self._take_alone(now, tenant)
        number = next(self._numbers)
        ask = QuotaRequest(
            self._name,
            self._address,
            number,
            group.name,
            tenant.name,
            tenant.rate,
            tenant.burst,
            self._version(),
            1 + self._extra,
            self._spent[tenant.name],
        )
        asked = SendToPeers((claim.address,), ask)
        self._asks[number] = _Ask(token, tenant, asked, group.name, now, ask.spent)
        self._emit(asked)
        return None

    def _take_alone(self, now: float, tenant: Tenant) -> QuotaMessage:
        grant = self._alone.take(now, tenant)
        self._spent[tenant.name] += grant.is_allowed
        return grant

    def _group_of(self, tenant: str) -> Group | None:
        """Returns the group whose coordinator counts for a tenant: the highest by hash."""
        groups = self._groups.all()
        return max(groups, key=lambda group: stable_hash(group.name, tenant), default=None)

    def _use_lease(self, now: float, tenant: str) -> bool:
        lease = self._leases.get(tenant)
        if lease is None or not lease.left or now >= lease.until:
            return False
        lease.left -= 1
        return True

    def withdraw(self, token: int) -> None:
        """Forgets a request; what is allowed to it counts all the same."""
        for number, ask in list(self._asks.items()):
            if ask.token == token:
                del self._asks[number]

    # Coordinator.

    def on_ask(self, now: float, ask: QuotaRequest) -> None:
        """Answers a peer."""
        since = self._coordinated.get(ask.group)
        granted, wait = 0, 0.0
        if since is not None and ask.rate > 0:
            limit = QuotaLimit(ask.rate, ask.burst, ask.version)
            self.ledger.debit(now, ask.tenant, limit, ask.spent, since)
            count = ask.count if self.ledger.is_ample(ask.tenant) else 1
            grant = self.ledger.take(now, ask.tenant, limit, count, since)
            granted, wait = grant.granted, grant.wait
        answer = QuotaDecision(
            self._name, ask.number, ask.group, granted, round(wait * 1000), since is not None
        )
        self._emit(SendToPeers((ask.address,), answer))

    # Answers.

    def on_answer(self, now: float, answer: QuotaDecision) -> list[QuotaEnd]:
        """Takes a coordinator's answer; a late one changes nothing."""
        ask = self._asks.pop(answer.number, None)
        if ask is None:
            return []
        if not answer.is_coordinator:
            self._claims.on_denied(now, ask.group)
            return [QuotaEnd(ask.token, self._take_alone(now, ask.tenant))]
        self._claims.on_activity(ask.group, answer.sender)
        self._spent[ask.tenant.name] = max(0, self._spent[ask.tenant.name] - ask.spent)
        is_allowed = answer.granted > 0
        self._alone.on_word(now, ask.tenant.name, is_allowed)
        if answer.granted > 1:
            self._leases[ask.tenant.name] = _Lease(answer.granted - 1, now + LEASE_SECONDS)
        grant = QuotaMessage(is_allowed, answer.wait_ms / 1000, f"counted by {answer.sender}")
        return [QuotaEnd(ask.token, grant)]

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min((ask.due_at for ask in self._asks.values()), default=float("inf"))

    def on_timer(self, now: float) -> list[QuotaEnd]:
        """Decides here what was not answered in time."""
        self.ledger.forget_idle(now)
        self._follow_coordination()
        ended: list[QuotaEnd] = []
        for number, ask in list(self._asks.items()):
            if now < ask.due_at:
                continue
            if not ask.is_again and now < ask.requested_at + ANSWER_SECONDS:
                self._asks[number] = replace(ask, is_again=True)
                self._emit(ask.asked)
                continue
            del self._asks[number]
            self._claims.on_missed(now, ask.group)
            fields = {"group": ask.group, "tenant": ask.tenant.name}
            self._emit(LogLine("quota not answered", {**fields}))
            ended.append(QuotaEnd(ask.token, self._take_alone(now, ask.tenant)))
        return ended

    def _follow_coordination(self) -> None:
        """Drops the accounts of groups that this daemon no longer coordinates, or does anew."""
        if self._counted == self._coordinated:
            return
        kept = {
            name for name, since in self._coordinated.items() if self._counted.get(name) == since
        }
        gone: set[str] = set()
        for tenant in self.ledger.tenants():
            group = self._group_of(tenant)
            if group is None or group.name not in kept:
                gone.add(tenant)
        self.ledger.forget(gone)
        self._counted = dict(self._coordinated)
