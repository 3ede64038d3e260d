"""Decides on a request's quota by asking the daemon that counts the requests of its tenant.

Inputs: the coordinator of the tenant's quota group (`quota_groups.py`), by the claims known here;
its decisions; the tenant's limit in this daemon's configuration.

Rule:

1. A request of a tenant without a limit needs no message.
2. If this daemon coordinates the tenant's group, it counts the request itself
   (`quota_coordinator.py`).
3. Otherwise a request is sent to the coordinator, and sent again after each of
   `RESEND_AFTER_SECONDS`. If a newer coordinator becomes known, it is sent to that one. A
   coordinator that can't decide yet, as another one may still count, is asked again less often.
4. A coordinator that has not decided after `SILENCE_SECONDS` counts as silent, so that daemons
   claim its group. Its decision is still awaited.
5. A coordinator that says that the store has not confirmed it for some seconds goes on deciding,
   and a daemon that reads the store claims its group.
6. A request without a decision after `MAX_WAIT_SECONDS` is refused, with a time to retry. No daemon
   admits a request without a coordinator's decision on it.

Why: a single count over all daemons neither exceeds a quota nor refuses requests inside it. What
daemons admitted alone would add up over the fleet, whatever the limit. Each decision is made after
the caller sent its request and before an engine runs it, so the requests that are sent and run in a
window are at most those that were counted in it, however late a decision arrives. Measured in
docs/design/tenants.md.
"""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import (
    QuotaDecision,
    QuotaHandover,
    QuotaHandoverRequest,
    QuotaRequest,
)
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.slots.coordinator_claims import Claim, CoordinatorClaims
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.tenants.coordination import QuotaCoordination
from troutswitch.decisions.tenants.quota import (
    UNLIMITED,
    Authority,
    QuotaCompletion,
    QuotaResult,
    QuotaWay,
)
from troutswitch.decisions.tenants.quota_coordinator import QuotaCoordinator
from troutswitch.decisions.tenants.quota_groups import QUOTA_GROUPS, group_of
from troutswitch.decisions.tenants.quota_ledger import QuotaLimit
from troutswitch.decisions.tenants.types import QuotaBounds, Tenant

MAX_WAIT_SECONDS = 0.25
"""Time after which a request is refused without a decision: below a usual latency objective of 300
ms, and above the time in which a coordinator that ended is replaced."""
SILENCE_SECONDS = 0.1
"""Time without a decision after which a coordinator counts as silent: above the round trip between
two processes that each wait for a busy processor."""
DENIALS_TO_REPORT = 2
"""Denials on one request after which the group is taken for one without a coordinator."""
RESEND_AFTER_SECONDS = (0.02, 0.06, 0.14)
"""Times after which a request without a decision is sent again, in case a datagram was lost. Few,
as a coordinator that is slow because it is busy receives each of them."""
LATE_DECISION_SECONDS = 2.0
"""Time for which a request that ended without a decision is remembered, to log how late it came."""
RETRY_SECONDS = 0.3
"""Minimum `Retry-After` of a request without a decision. A new coordinator counts by then."""
RETRY_JITTER_SECONDS = 0.3
"""Maximum random addition to that time, so that callers don't all return at the same time."""
NUMBERS_PER_INCARNATION = 1_000_000
"""Distance between the first request numbers of two incarnations, so that a late decision for an
earlier process is not taken for one on a request of this process."""
NO_DECISION = "no coordinator decided"


class ConfigurationState(Protocol):
    """The state of the configuration on which quotas depend."""

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force."""
        ...


@dataclass(slots=True)
class _Pending:
    """A request that awaits a coordinator's decision. Times are in seconds.

    `claim` is the claim of the coordinator that was asked last, or None while none is known;
    `asked_at` is when it was first asked, and `sent` the number of messages to it. `denials` counts
    its replies that it is no coordinator. `reports_silence` is false once it has replied, or its
    silence was reported.
    """

    token: int
    tenant: Tenant
    group: str
    requested_at: float
    is_further: bool
    claim: Claim | None = None
    asked_at: float = 0.0
    sent: int = 0
    denials: int = 0
    reports_silence: bool = True

    @property
    def ends_at(self) -> float:
        """When the request ends without a decision."""
        return self.requested_at + MAX_WAIT_SECONDS

    @property
    def due_at(self) -> float:
        """When a timer of the request is due."""
        if self.claim is None:
            return self.ends_at
        due = [self.ends_at]
        if self.sent <= len(RESEND_AFTER_SECONDS):
            due.append(self.asked_at + RESEND_AFTER_SECONDS[self.sent - 1])
        if self.reports_silence:
            due.append(self.asked_at + SILENCE_SECONDS)
        return min(due)


class CoordinatedQuota:
    """Implements `Quota` with requests to coordinators."""

    def __init__(
        self,
        identity: DaemonIdentity,
        bounds: QuotaBounds,
        claims: CoordinatorClaims,
        configuration: ConfigurationState,
        emit: Callable[[SendToPeers | LogLine], None],
        rng: random.Random,
    ) -> None:
        self.coordination = QuotaCoordination(identity, bounds, claims, emit)
        self.coordinator = QuotaCoordinator(self.coordination)
        self._identity = identity
        self._claims = claims
        self._configuration = configuration
        self._emit = emit
        self._rng = rng
        self._pending: dict[int, _Pending] = {}
        self._overdue: dict[int, _Pending] = {}
        """Requests that ended without a decision a short time ago."""
        self._numbers = itertools.count(identity.incarnation * NUMBERS_PER_INCARNATION)

    # Requests of this daemon.

    def take(
        self, now: float, token: int, tenant: Tenant, *, is_further: bool = False
    ) -> QuotaResult | None:
        """Counts one request against a tenant's quota; None if a coordinator decides on it."""
        if not tenant.is_limited:
            return UNLIMITED
        group = group_of(tenant.name)
        result = self._take_own(now, group, tenant, is_further)
        if result is not None:
            return result
        number = next(self._numbers)
        self._pending[number] = _Pending(token, tenant, group, now, is_further)
        self._ask(now, number, self._pending[number])
        return None

    def _take_own(
        self, now: float, group: str, tenant: Tenant, is_further: bool
    ) -> QuotaResult | None:
        """Decides here; None if this daemon does not coordinate the group, or can't decide now."""
        if not self.coordinator.counts_for(group):
            return None
        limit = self._limit(tenant)
        return self.coordinator.take_own(now, group, tenant.name, limit, is_further=is_further)

    def _limit(self, tenant: Tenant) -> QuotaLimit:
        return QuotaLimit(tenant.rate, tenant.burst, self._configuration.configuration_version)

    def _undecided(self) -> QuotaResult:
        wait = RETRY_SECONDS + self._rng.random() * RETRY_JITTER_SECONDS
        return QuotaResult(False, wait, NO_DECISION, QuotaWay.UNDECIDED)

    def _ask(self, now: float, number: int, pending: _Pending) -> None:
        """Asks the coordinator whose claim is the newest known."""
        pending.claim = self._claims.claim_of(pending.group)
        pending.asked_at, pending.sent = now, 0
        pending.denials, pending.reports_silence = 0, True
        if pending.claim is None:
            self._claims.on_coordinator_needed(now, pending.group)
        else:
            self._try_again(number, pending, pending.claim)

    def _try_again(self, number: int, pending: _Pending, claim: Claim) -> None:
        """Sends a request, unless this daemon itself is the coordinator that can't decide yet."""
        pending.sent += 1
        if not self.coordinator.counts_for(pending.group):
            self._send(number, pending, claim)

    def _send(self, number: int, pending: _Pending, claim: Claim) -> None:
        limit = self._limit(pending.tenant)
        request = QuotaRequest(
            self._identity.name,
            self._identity.address,
            number,
            pending.group,
            pending.tenant.name,
            limit.rate,
            limit.burst,
            limit.version,
            self._identity.incarnation,
            pending.is_further,
        )
        self._emit(SendToPeers((claim.address,), request))

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
        """Handles a coordinator's decision. One on a request that has ended has no effect."""
        pending = self._pending.get(decision.number)
        if pending is None:
            self._log_late(now, decision)
            return []
        if not decision.is_coordinator:
            self._on_denial(now, pending, decision.sender)
            return []
        if decision.reads_store:
            self._claims.on_activity(pending.group, decision.sender)
        else:
            self._claims.on_unconfirmed(now, pending.group, decision.sender)
        if not decision.granted and not decision.is_confirmed:
            pending.sent += 1
            pending.reports_silence = False
            return []
        del self._pending[decision.number]
        by, wait = f"counted by {decision.sender}", decision.wait_ms / 1000
        way = QuotaWay.COUNTED if decision.is_confirmed else QuotaWay.RESERVE
        return [QuotaCompletion(pending.token, QuotaResult(decision.granted > 0, wait, by, way))]

    def _on_denial(self, now: float, pending: _Pending, sender: str) -> None:
        """Has the group claimed if the daemon that was asked denies repeatedly.

        A claimant may learn of its own claim later than the daemons that ask it.
        """
        if pending.claim is None or pending.claim.daemon != sender:
            return
        pending.denials += 1
        pending.reports_silence = False
        if pending.denials >= DENIALS_TO_REPORT:
            self._claims.on_not_coordinator(now, pending.group)

    def _log_late(self, now: float, decision: QuotaDecision) -> None:
        """Logs a decision that came after its request ended without it."""
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

    def on_handover_request(self, now: float, request: QuotaHandoverRequest) -> None:
        """Stops counting for a group, as a successor asks for it."""
        self.coordination.on_handover_request(now, request)

    def on_handover(self, now: float, handover: QuotaHandover) -> None:
        """Handles the statement of a predecessor that it has stopped counting."""
        self.coordination.on_handover(now, handover)

    # Timers.

    def authorities(self, now: float) -> list[Authority]:
        """Returns the authority over each quota group. Safe to call from any thread."""
        return [self.coordination.authority(now, group.name) for group in QUOTA_GROUPS]

    def next_due(self) -> float:
        """Returns when `on_timer` is due next, in seconds of this process's clock."""
        pending = min((pending.due_at for pending in self._pending.values()), default=float("inf"))
        return min(pending, self.coordination.next_due())

    def on_timer(self, now: float) -> list[QuotaCompletion]:
        """Asks new coordinators, sends requests again, and ends those without a decision."""
        self.coordination.on_timer(now)
        self.coordinator.on_timer(now)
        self._forget_overdue(now)
        completions: list[QuotaCompletion] = []
        for number, pending in list(self._pending.items()):
            completions += self._advance(now, number, pending)
        return completions

    def _advance(self, now: float, number: int, pending: _Pending) -> list[QuotaCompletion]:
        """Does what is due for one request; returns its result if it ended."""
        result = self._take_own(now, pending.group, pending.tenant, pending.is_further)
        if result is not None:
            del self._pending[number]
            return [QuotaCompletion(pending.token, result)]
        if now >= pending.ends_at:
            return [self._end_overdue(number, pending)]
        if self._claims.claim_of(pending.group) != pending.claim:
            self._ask(now, number, pending)
        elif pending.claim is not None and now >= pending.due_at:
            self._remind(now, number, pending, pending.claim)
        return []

    def _remind(self, now: float, number: int, pending: _Pending, claim: Claim) -> None:
        """Sends a request again, and reports a silent coordinator."""
        if pending.reports_silence and now >= pending.asked_at + SILENCE_SECONDS:
            pending.reports_silence = False
            if not self.coordinator.counts_for(pending.group):
                self._claims.on_reply_timeout(now, pending.group)
        is_last = pending.sent > len(RESEND_AFTER_SECONDS)
        if not is_last and now >= pending.asked_at + RESEND_AFTER_SECONDS[pending.sent - 1]:
            self._try_again(number, pending, claim)

    def _end_overdue(self, number: int, pending: _Pending) -> QuotaCompletion:
        """Refuses a request on which no coordinator decided."""
        self._overdue[number] = self._pending.pop(number)
        fields: dict[str, object] = {"group": pending.group, "tenant": pending.tenant.name}
        self._emit(LogLine("quota request not answered", fields))
        return QuotaCompletion(pending.token, self._undecided())

    def _forget_overdue(self, now: float) -> None:
        for number, pending in list(self._overdue.items()):
            if now - pending.requested_at > LATE_DECISION_SECONDS:
                del self._overdue[number]
