"""Counts the requests of the tenants whose group this daemon coordinates.

Rule: a request is counted once. If its message is received again, the first decision is repeated.

It owns the ledger of these tenants, and the recent decisions. It relies on `quota_groups.py` for
which groups this daemon coordinates, and since when.
"""

from dataclasses import dataclass

from troutswitch.daemons.messages import QuotaDecision, QuotaRequest
from troutswitch.decisions.tenants.quota_groups import QuotaGroups
from troutswitch.decisions.tenants.quota_ledger import QuotaGrant, QuotaLedger, QuotaLimit
from troutswitch.decisions.tenants.types import QuotaBounds

REMEMBERED_SECONDS = 2.0
"""Time for which a decision is repeated: longer than a request is sent again and datagrams are
delayed. A message that is later still counts again."""


@dataclass(frozen=True, slots=True)
class _Decided:
    """A decision, and when it was made."""

    at: float
    decision: QuotaDecision


class QuotaCoordinator:
    """Counts requests of this daemon and its peers."""

    def __init__(self, name: str, bounds: QuotaBounds, groups: QuotaGroups) -> None:
        self.ledger = QuotaLedger(bounds)
        self._name = name
        self._groups = groups
        self._decided: dict[tuple[str, int, int], _Decided] = {}
        """Decisions by the sender, incarnation and number of the request, oldest first."""
        self._counted: dict[str, float] = {}
        """The coordinated groups to which the accounts in the ledger belong."""

    def counts_for(self, group: str) -> bool:
        """Returns whether this daemon counts for the tenants of a group."""
        return group in self._groups.coordinated

    def take_own(self, now: float, group: str, tenant: str, limit: QuotaLimit) -> QuotaGrant:
        """Counts one of this daemon's own requests. This daemon must coordinate the group."""
        return self.ledger.take(now, tenant, limit, self._groups.coordinated[group])

    def decide(self, now: float, request: QuotaRequest) -> QuotaDecision:
        """Decides on a peer's request."""
        counts_since = self._groups.coordinated.get(request.group)
        if counts_since is None:
            return QuotaDecision(self._name, request.number, request.group, 0, 0, False)
        key = (request.sender, request.incarnation, request.number)
        decided = self._decided.get(key)
        if decided is None:
            decided = self._decided[key] = _Decided(now, self._decide(now, request, counts_since))
        return decided.decision

    def _decide(self, now: float, request: QuotaRequest, counts_since: float) -> QuotaDecision:
        limit = QuotaLimit(request.rate, request.burst, request.version)
        grant = QuotaGrant(False, 0.0)
        if request.rate > 0:
            grant = self.ledger.take(now, request.tenant, limit, counts_since)
        return QuotaDecision(
            self._name,
            request.number,
            request.group,
            int(grant.is_granted),
            round(grant.wait * 1000),
        )

    def on_timer(self, now: float) -> None:
        """Drops accounts that are full again, or that this daemon no longer counts."""
        self.ledger.drop_idle(now)
        self._forget_decided(now)
        if self._counted == self._groups.coordinated:
            return
        self.ledger.drop({t for t in self.ledger.tenants() if not self._is_still_counted(t)})
        self._counted = dict(self._groups.coordinated)

    def _forget_decided(self, now: float) -> None:
        for key, decided in list(self._decided.items()):
            if now - decided.at <= REMEMBERED_SECONDS:
                return
            del self._decided[key]

    def _is_still_counted(self, tenant: str) -> bool:
        """Returns whether this daemon has coordinated a tenant's group since the last check."""
        group = self._groups.group_of(tenant)
        if group is None or group.name not in self._groups.coordinated:
            return False
        return self._counted.get(group.name) == self._groups.coordinated[group.name]
