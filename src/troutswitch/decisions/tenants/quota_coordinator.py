"""Counts the requests of the tenants whose quota group this daemon coordinates.

Rule: a request is counted once. If its message is received again, the first decision is repeated. A
daemon that can't decide now says so, and decides if the message comes again. While the store has
not confirmed this daemon for some seconds, its replies say so.

It owns the recent decisions. It relies on `coordination.py` for the ledgers.
"""

from dataclasses import dataclass

import msgspec

from troutswitch.daemons.messages import QuotaDecision, QuotaRequest
from troutswitch.decisions.tenants.coordination import QuotaCoordination
from troutswitch.decisions.tenants.quota import Authority, QuotaResult, QuotaWay
from troutswitch.decisions.tenants.quota_ledger import QuotaLimit

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

    def __init__(self, coordination: QuotaCoordination) -> None:
        self._coordination = coordination
        self._name = coordination.identity.name
        self._decided: dict[tuple[str, int, int], _Decided] = {}
        """Decisions by the sender, incarnation and number of the request, oldest first."""

    def counts_for(self, group: str) -> bool:
        """Returns whether this daemon coordinates a quota group."""
        return self._coordination.holds(group)

    def take_own(
        self, now: float, group: str, tenant: str, limit: QuotaLimit, *, is_further: bool = False
    ) -> QuotaResult | None:
        """Counts one of this daemon's own requests; None if it can't be decided now."""
        is_confirmed = self._coordination.authority(now, group) is Authority.CONFIRMED
        ledger = self._coordination.ledger(now, group)
        if ledger is None:
            return None
        grant = ledger.take(now, tenant, limit, is_further=is_further)
        if not grant.is_granted and not is_confirmed:
            return None
        way = QuotaWay.COUNTED if is_confirmed else QuotaWay.RESERVE
        return QuotaResult(grant.is_granted, grant.wait, "counted here", way)

    def decide(self, now: float, request: QuotaRequest) -> QuotaDecision:
        """Decides on a peer's request."""
        if not self.counts_for(request.group):
            return QuotaDecision(
                self._name, request.number, request.group, 0, 0, is_coordinator=False
            )
        decision = self._decide_once(now, request)
        if self._coordination.reads_store(now):
            return decision
        return msgspec.structs.replace(decision, reads_store=False)

    def _decide_once(self, now: float, request: QuotaRequest) -> QuotaDecision:
        """Decides on a request, or returns the earlier decision on it."""
        key = (request.sender, request.incarnation, request.number)
        decided = self._decided.get(key)
        if decided is not None:
            return decided.decision
        decision = self._decide(now, request)
        if decision.granted or decision.is_confirmed:
            self._decided[key] = _Decided(now, decision)
        return decision

    def _decide(self, now: float, request: QuotaRequest) -> QuotaDecision:
        limit = QuotaLimit(request.rate, request.burst, request.version)
        result = None
        if request.rate > 0:
            result = self.take_own(
                now, request.group, request.tenant, limit, is_further=request.is_further
            )
        if result is None:
            return QuotaDecision(
                self._name, request.number, request.group, 0, 0, is_confirmed=False
            )
        return QuotaDecision(
            self._name,
            request.number,
            request.group,
            int(result.is_allowed),
            round(result.wait * 1000),
            is_confirmed=result.way is QuotaWay.COUNTED,
        )

    def on_timer(self, now: float) -> None:
        """Forgets old decisions."""
        for key, decided in list(self._decided.items()):
            if now - decided.at <= REMEMBERED_SECONDS:
                return
            del self._decided[key]
