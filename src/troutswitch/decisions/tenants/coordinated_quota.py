"""Decides on a request's quota by asking the daemon that counts the requests of its tenant.

Inputs: the coordinator of the tenant's group (`quota_groups.py`), by the claims known here; its
decisions; the tenant's limit in this daemon's configuration.

Rule:

1. A request of a tenant without a limit, or one that a lease covers, needs no message.
2. If this daemon coordinates the tenant's group, it counts the request itself
   (`quota_coordinator.py`).
3. Otherwise a request is sent to the coordinator, and sent again after `RESEND_SECONDS`. After
   `DECISION_TIMEOUT_SECONDS` without a decision the coordinator counts as silent, as for slots.
4. If there is no coordinator, or it is silent or denies that it is one, this daemon decides alone
   (`uncoordinated_quota.py`). The requests that it admits alone are reported to the next
   coordinator, which then counts them.

With leases, a coordinator may grant `MAX_LEASED_REQUESTS` more requests in advance, to be used
within `LEASE_SECONDS`, while the tenant has used less than half of its quota.

Why: a single count over all daemons neither exceeds a quota nor refuses requests inside it. The
second message compensates for a lost datagram within the time for a decision. Measured in
docs/design/tenants.md.
"""

import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import QuotaDecision, QuotaRequest
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.slots.coordinator_claims import Claim
from troutswitch.decisions.slots.groups import Group
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.tenants.quota import (
    UNLIMITED,
    QuotaCompletion,
    QuotaResult,
    QuotaWay,
)
from troutswitch.decisions.tenants.quota_coordinator import QuotaCoordinator
from troutswitch.decisions.tenants.quota_groups import QuotaGroups
from troutswitch.decisions.tenants.quota_ledger import QuotaLimit
from troutswitch.decisions.tenants.types import QuotaBounds, Tenant
from troutswitch.decisions.tenants.uncoordinated_quota import UncoordinatedQuota

DECISION_TIMEOUT_SECONDS = 0.03
"""Time within which a coordinator must decide, as for slots: a tenth of an objective of 300 ms."""
LATE_DECISION_SECONDS = 2.0
"""Time for which a request that ended without a decision is remembered, to log how late it came."""
RESEND_SECONDS = 0.012
"""Time after which a request without a decision is sent again."""
LEASE_SECONDS = 0.5
"""Time within which requests that were granted in advance may be used."""
MAX_LEASED_REQUESTS = 4
"""Maximum number of requests granted in advance with one decision."""


class FleetState(Protocol):
    """The state of this daemon and its peers on which quotas depend."""

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force."""
        ...

    @property
    def daemons(self) -> int:
        """Number of daemons, including this one."""
        ...


@dataclass(frozen=True, slots=True)
class _Pending:
    """A request that awaits its coordinator's decision. Times are in seconds."""

    token: int
    tenant: Tenant
    message: SendToPeers
    group: str
    requested_at: float
    unreported: int
    is_resent: bool = False

    @property
    def decision_due_at(self) -> float:
        """When the decision is overdue."""
        return self.requested_at + DECISION_TIMEOUT_SECONDS

    @property
    def due_at(self) -> float:
        """When the request is sent again, or ends without a decision."""
        return self.decision_due_at if self.is_resent else self.requested_at + RESEND_SECONDS


@dataclass(slots=True)
class _Lease:
    """Requests of a tenant that were granted in advance."""

    remaining: int
    expires_at: float


class CoordinatedQuota:
    """Implements `Quota` with requests to coordinators. With `leases`, some need no message."""

    def __init__(
        self,
        identity: DaemonIdentity,
        bounds: QuotaBounds,
        groups: QuotaGroups,
        fleet: FleetState,
        emit: Callable[[SendToPeers | LogLine], None],
        rng: random.Random,
        *,
        leases: bool = False,
    ) -> None:
        self.coordinator = QuotaCoordinator(identity.name, bounds, groups)
        self._identity = identity
        self._groups = groups
        self._fleet = fleet
        self._emit = emit
        self._leased_requests = MAX_LEASED_REQUESTS if leases else 0
        self._uncoordinated = UncoordinatedQuota(lambda: fleet.daemons, rng)
        self._pending: dict[int, _Pending] = {}
        self._leases: dict[str, _Lease] = {}
        self._numbers = itertools.count(1)
        self._overdue: dict[int, _Pending] = {}
        """Requests that ended without a decision a short time ago."""
        self._unreported: Counter[str] = Counter()
        """Requests by tenant that were admitted without a coordinator and are not reported yet."""

    # Requests of this daemon.

    def take(self, now: float, token: int, tenant: Tenant) -> QuotaResult | None:
        """Counts one request against a tenant's quota; None if a coordinator decides on it."""
        if not tenant.is_limited:
            return UNLIMITED
        if self._use_lease(now, tenant.name):
            return QuotaResult(True, 0.0, "lease", QuotaWay.LEASED)
        group = self._groups.group_of(tenant.name)
        if group is None:
            return self._decide_alone(now, tenant)
        if self.coordinator.counts_for(group.name):
            limit = QuotaLimit(tenant.rate, tenant.burst, self._fleet.configuration_version)
            grant = self.coordinator.take_own(now, group.name, tenant.name, limit)
            return QuotaResult(grant.granted > 0, grant.wait, "counted here", QuotaWay.COUNTED)
        claim = self._groups.claims.coordinator(now, group.name)
        if claim is None:
            self._groups.claims.on_coordinator_needed(now, group.name)
            return self._decide_alone(now, tenant)
        self._send(now, token, tenant, group, claim)
        return None

    def _send(self, now: float, token: int, tenant: Tenant, group: Group, claim: Claim) -> None:
        """Sends a request to the coordinator of a tenant's group."""
        number = next(self._numbers)
        request = QuotaRequest(
            self._identity.name,
            self._identity.address,
            number,
            group.name,
            tenant.name,
            tenant.rate,
            tenant.burst,
            self._fleet.configuration_version,
            1 + self._leased_requests,
            self._unreported[tenant.name],
        )
        message = SendToPeers((claim.address,), request)
        self._pending[number] = _Pending(
            token, tenant, message, group.name, now, request.unreported
        )
        self._emit(message)

    def _decide_alone(self, now: float, tenant: Tenant) -> QuotaResult:
        result = self._uncoordinated.take(now, tenant)
        self._unreported[tenant.name] += result.is_allowed
        return result

    def _use_lease(self, now: float, tenant: str) -> bool:
        lease = self._leases.get(tenant)
        if lease is None or not lease.remaining or now >= lease.expires_at:
            return False
        lease.remaining -= 1
        return True

    def withdraw(self, token: int) -> None:
        """Drops a request. A grant that a coordinator makes for it still counts."""
        for number, pending in list(self._pending.items()):
            if pending.token == token:
                del self._pending[number]

    # Messages.

    def on_request(self, now: float, request: QuotaRequest) -> None:
        """Replies to a peer's request."""
        decision = self.coordinator.decide(now, request)
        self._emit(SendToPeers((request.address,), decision))

    def on_decision(self, now: float, decision: QuotaDecision) -> list[QuotaCompletion]:
        """Handles a coordinator's decision. A late decision has no effect."""
        pending = self._pending.pop(decision.number, None)
        if pending is None:
            self._log_late(now, decision)
            return []
        if not decision.is_coordinator:
            self._groups.claims.on_not_coordinator(now, pending.group)
            return [QuotaCompletion(pending.token, self._decide_alone(now, pending.tenant))]
        self._groups.claims.on_activity(pending.group, decision.sender)
        return [QuotaCompletion(pending.token, self._result(now, pending, decision))]

    def _log_late(self, now: float, decision: QuotaDecision) -> None:
        """Logs a decision that came after its request was decided without it."""
        pending = self._overdue.pop(decision.number, None)
        if pending is None:
            return
        fields: dict[str, object] = {
            "group": pending.group,
            "tenant": pending.tenant.name,
            "coordinator": decision.sender,
            "granted": decision.granted,
            "decision_ms": round((now - pending.requested_at) * 1000),
        }
        self._emit(LogLine("quota decision late", fields))

    def _result(self, now: float, pending: _Pending, decision: QuotaDecision) -> QuotaResult:
        """Records a coordinator's decision, and returns the request's result."""
        tenant = pending.tenant.name
        self._unreported[tenant] = max(0, self._unreported[tenant] - pending.unreported)
        is_allowed = decision.granted > 0
        self._uncoordinated.on_decision(now, tenant, is_allowed)
        if decision.granted > 1:
            self._leases[tenant] = _Lease(decision.granted - 1, now + LEASE_SECONDS)
        by = f"counted by {decision.sender}"
        return QuotaResult(is_allowed, decision.wait_ms / 1000, by, QuotaWay.COUNTED)

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` is due next, in seconds of this process's clock."""
        return min((pending.due_at for pending in self._pending.values()), default=float("inf"))

    def on_timer(self, now: float) -> list[QuotaCompletion]:
        """Sends requests again, and ends those whose decision is overdue."""
        self.coordinator.on_timer(now)
        self._forget_overdue(now)
        ended: list[QuotaCompletion] = []
        for number, pending in list(self._pending.items()):
            if now < pending.due_at:
                continue
            if not pending.is_resent and now < pending.decision_due_at:
                self._pending[number] = replace(pending, is_resent=True)
                self._emit(pending.message)
                continue
            del self._pending[number]
            self._overdue[number] = pending
            ended.append(self._end_overdue(now, pending))
        return ended

    def _forget_overdue(self, now: float) -> None:
        for number, pending in list(self._overdue.items()):
            if now - pending.requested_at > LATE_DECISION_SECONDS:
                del self._overdue[number]

    def _end_overdue(self, now: float, pending: _Pending) -> QuotaCompletion:
        self._groups.claims.on_reply_timeout(now, pending.group)
        fields: dict[str, object] = {"group": pending.group, "tenant": pending.tenant.name}
        self._emit(LogLine("quota request not answered", fields))
        return QuotaCompletion(pending.token, self._decide_alone(now, pending.tenant))
