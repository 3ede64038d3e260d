"""The interface of quotas: whether a tenant may send one more request now, over all daemons.

    (taken)   -> allowed    the request counts against the tenant's quota
    (taken)   -> exceeded   with the time after which there is quota for this caller
    (taken)   -> AWAITING   a coordinator was sent a request; `on_decision` or `on_timer` ends it

`quota_policies.py` names the implementations.
"""

from dataclasses import dataclass
from typing import Protocol

from troutswitch.daemons.messages import QuotaDecision, QuotaRequest
from troutswitch.decisions.tenants.types import Tenant


@dataclass(frozen=True, slots=True)
class QuotaResult:
    """Whether one request is inside its tenant's quota.

    `wait` is the time in seconds after which there is quota for it; `decided_by` says, for logs,
    who counted.
    """

    is_allowed: bool
    wait: float
    decided_by: str


@dataclass(frozen=True, slots=True)
class QuotaCompletion:
    """The result for a request that awaited a coordinator's decision, named by its token."""

    token: int
    result: QuotaResult


UNLIMITED = QuotaResult(True, 0.0, "no limit")


class Quota(Protocol):
    """Counts the requests of tenants over all daemons."""

    def take(self, now: float, token: int, tenant: Tenant) -> QuotaResult | None:
        """Takes one request from a tenant's quota; None if the result comes later."""
        ...

    def withdraw(self, token: int) -> None:
        """Forgets a request whose result is not needed any more."""
        ...

    def on_request(self, now: float, request: QuotaRequest) -> None:
        """Replies to a peer, as the coordinator of the tenant."""
        ...

    def on_decision(self, now: float, decision: QuotaDecision) -> list[QuotaCompletion]:
        """Takes a coordinator's decision."""
        ...

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do, in seconds of this process's clock."""
        ...

    def on_timer(self, now: float) -> list[QuotaCompletion]:
        """Ends requests whose decision is overdue."""
        ...


class NoQuota:
    """Quota of a daemon that counts nothing."""

    def take(self, now: float, token: int, tenant: Tenant) -> QuotaResult | None:
        """Allows everything."""
        return UNLIMITED

    def withdraw(self, token: int) -> None:
        """Has nothing to forget."""

    def on_request(self, now: float, request: QuotaRequest) -> None:
        """Does not reply: the peer decides alone."""

    def on_decision(self, now: float, decision: QuotaDecision) -> list[QuotaCompletion]:
        """Awaits no decision."""
        return []

    def next_due(self) -> float:
        """Returns infinity."""
        return float("inf")

    def on_timer(self, now: float) -> list[QuotaCompletion]:
        """Has nothing to do."""
        return []
