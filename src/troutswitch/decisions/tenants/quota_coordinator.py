"""Counts the requests of the tenants whose group this daemon coordinates.

It owns the ledger of these tenants. It relies on `quota_groups.py` for which groups this daemon
coordinates, and since when.
"""

from troutswitch.daemons.messages import QuotaDecision, QuotaRequest
from troutswitch.decisions.tenants.quota_groups import QuotaGroups
from troutswitch.decisions.tenants.quota_ledger import QuotaGrant, QuotaLedger, QuotaLimit
from troutswitch.decisions.tenants.types import QuotaBounds


class QuotaCoordinator:
    """Counts requests of this daemon and its peers."""

    def __init__(self, name: str, bounds: QuotaBounds, groups: QuotaGroups) -> None:
        self.ledger = QuotaLedger(bounds)
        self._name = name
        self._groups = groups
        self._counted: dict[str, float] = {}
        """The coordinated groups to which the accounts in the ledger belong."""

    def counts_for(self, group: str) -> bool:
        """Returns whether this daemon counts for the tenants of a group."""
        return group in self._groups.coordinated

    def take_own(self, now: float, group: str, tenant: str, limit: QuotaLimit) -> QuotaGrant:
        """Counts one of this daemon's own requests. This daemon must coordinate the group."""
        return self.ledger.take(now, tenant, limit, 1, self._groups.coordinated[group])

    def decide(self, now: float, request: QuotaRequest) -> QuotaDecision:
        """Decides on a peer's request."""
        counts_since = self._groups.coordinated.get(request.group)
        grant = QuotaGrant(0, 0.0)
        if counts_since is not None and request.rate > 0:
            grant = self._grant(now, request, counts_since)
        is_coordinator = counts_since is not None
        wait_ms = round(grant.wait * 1000)
        return QuotaDecision(
            self._name, request.number, request.group, grant.granted, wait_ms, is_coordinator
        )

    def _grant(self, now: float, request: QuotaRequest, counts_since: float) -> QuotaGrant:
        limit = QuotaLimit(request.rate, request.burst, request.version)
        self.ledger.debit(now, request.tenant, limit, request.unreported, counts_since)
        count = request.count if self.ledger.has_ample_quota(request.tenant) else 1
        return self.ledger.take(now, request.tenant, limit, count, counts_since)

    def on_timer(self, now: float) -> None:
        """Drops accounts that are full again, or that this daemon no longer counts."""
        self.ledger.drop_idle(now)
        if self._counted == self._groups.coordinated:
            return
        self.ledger.drop({t for t in self.ledger.tenants() if not self._is_still_counted(t)})
        self._counted = dict(self._groups.coordinated)

    def _is_still_counted(self, tenant: str) -> bool:
        """Returns whether this daemon has coordinated a tenant's group since the last check."""
        group = self._groups.group_of(tenant)
        if group is None or group.name not in self._groups.coordinated:
            return False
        return self._counted.get(group.name) == self._groups.coordinated[group.name]
