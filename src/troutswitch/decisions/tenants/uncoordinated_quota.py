"""Decides whether a request is admitted while no coordinator counts for its tenant.

Inputs: the decisions of coordinators on the tenant's requests from this daemon, of the last
`DECISION_HISTORY_SECONDS`; this daemon's equal share of the quota (`equal_shares.py`).

Rule: if some of the tenant's recent requests were refused, a request is refused with a probability
equal to the refused fraction. The other requests are admitted up to `UNCOORDINATED_FACTOR` times
the equal share.

Why: without the first step, each daemon would admit its share of the full rate from a tenant that
is far above its quota. The factor allows for callers that are spread over the daemons unevenly.
Measured in docs/design/tenants.md.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.decisions.tenants.equal_shares import EqualShares
from troutswitch.decisions.tenants.quota import QuotaResult, QuotaWay
from troutswitch.decisions.tenants.types import Tenant

UNCOORDINATED_FACTOR = 1.5
"""Multiple of its equal share that a daemon may admit."""
MIN_SHARE_BURST = 1.0
"""Minimum number of requests that a share allows at the same time."""
DECISION_HISTORY_SECONDS = 5.0
"""Time for which coordinators' decisions determine the fraction of a tenant's requests to admit."""


@dataclass(slots=True)
class _Decisions:
    """Recent decisions of coordinators on one tenant's requests."""

    newest_at: float
    allowed: float = 0.0
    refused: float = 0.0


class UncoordinatedQuota:
    """Admits the fraction that was admitted recently, up to a share of the quota."""

    def __init__(self, daemons: Callable[[], int], rng: random.Random) -> None:
        self._shares = EqualShares(daemons, UNCOORDINATED_FACTOR, MIN_SHARE_BURST)
        self._rng = rng
        self._decisions: dict[str, _Decisions] = {}

    def on_decision(self, now: float, tenant: str, is_allowed: bool) -> None:
        """Records a coordinator's decision on one request."""
        decisions = self._decisions.get(tenant)
        if decisions is None or now - decisions.newest_at > DECISION_HISTORY_SECONDS:
            decisions = self._decisions[tenant] = _Decisions(now)
        decisions.newest_at = now
        if is_allowed:
            decisions.allowed += 1.0
        else:
            decisions.refused += 1.0

    def take(self, now: float, tenant: Tenant) -> QuotaResult:
        """Decides on one request of a tenant that has a quota."""
        decisions = self._recent(now, tenant.name)
        if decisions is not None and decisions.refused:
            admitted_fraction = decisions.allowed / (decisions.allowed + decisions.refused)
            if self._rng.random() >= admitted_fraction:
                return QuotaResult(False, 1.0 / tenant.rate, "recent decisions", QuotaWay.ALONE)
        return self._shares.take(now, 0, tenant)

    def _recent(self, now: float, tenant: str) -> _Decisions | None:
        decisions = self._decisions.get(tenant)
        if decisions is None or now - decisions.newest_at > DECISION_HISTORY_SECONDS:
            return None
        return decisions
