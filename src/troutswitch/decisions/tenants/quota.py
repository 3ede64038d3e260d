"""The interface of quotas: whether a tenant may send one more request now, over all daemons.

    (new)     -> allowed    the request counts against the tenant's quota
    (new)     -> exceeded   with the time after which there is quota for this caller
    (new)     -> AWAITING   a request was sent to a coordinator; `on_decision` or `on_timer` ends it

`quota_policies.py` selects the implementation.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from troutswitch.daemons.messages import (
    QuotaDecision,
    QuotaHandover,
    QuotaHandoverRequest,
    QuotaRequest,
)
from troutswitch.decisions.tenants.types import Tenant


class QuotaWay(Enum):
    """By which count a request was admitted or refused, for logs and metrics."""

    NONE = "none"
    """No quota applies."""
    COUNTED = "counted"
    """A coordinator counted the request."""
    RESERVE = "reserve"
    """A coordinator counted it beside which another one may have counted."""
    UNDECIDED = "undecided"
    """No coordinator decided in time, so it was refused."""
    ALONE = "alone"
    """This daemon decided without a coordinator (`equal_shares.py`)."""


class Authority(Enum):
    """What a daemon may count with for a group of tenants."""

    NONE = "none"
    PROVISIONAL = "provisional"
    CONFIRMED = "confirmed"


@dataclass(frozen=True, slots=True)
class QuotaResult:
    """Whether one request is inside its tenant's quota.

    `wait` is the time in seconds after which there is quota for it. `decided_by` states for logs
    which count decided.
    """

    is_allowed: bool
    wait: float
    decided_by: str
    way: QuotaWay = QuotaWay.NONE


@dataclass(frozen=True, slots=True)
class QuotaCompletion:
    """The result for a request, identified by its token, that awaited a coordinator's decision."""

    token: int
    result: QuotaResult


UNLIMITED = QuotaResult(True, 0.0, "no limit")
NOT_COUNTED = QuotaResult(True, 0.0, "")
"""The result for a request that is refused before its quota is checked."""


class Quota(Protocol):
    """Counts the requests of tenants over all daemons."""

    def take(
        self, now: float, token: int, tenant: Tenant, *, is_further: bool = False
    ) -> QuotaResult | None:
        """Counts one request against a tenant's quota; returns None if the result is pending.

        `is_further` is set for a further attempt of an admitted request.
        """
        ...

    def withdraw(self, token: int) -> None:
        """Drops a pending request whose result is no longer needed."""
        ...

    def on_request(self, now: float, request: QuotaRequest) -> None:
        """Replies to a peer, as the coordinator of the tenant."""
        ...

    def on_decision(self, now: float, decision: QuotaDecision) -> list[QuotaCompletion]:
        """Handles a coordinator's decision."""
        ...

    def on_handover_request(self, now: float, request: QuotaHandoverRequest) -> None:
        """Stops counting for a group, as a successor asks for it."""
        ...

    def on_handover(self, now: float, handover: QuotaHandover) -> None:
        """Handles the statement of a predecessor that it has stopped counting."""
        ...

    def authorities(self, now: float) -> list[Authority]:
        """Returns the authority over each group of tenants. Safe to call from any thread."""
        ...

    def next_due(self) -> float:
        """Returns when `on_timer` is due next, in seconds of this process's clock."""
        ...

    def on_timer(self, now: float) -> list[QuotaCompletion]:
        """Ends requests whose decision is overdue."""
        ...


class NoQuota:
    """A quota that counts nothing and admits all requests."""

    def take(
        self, now: float, token: int, tenant: Tenant, *, is_further: bool = False
    ) -> QuotaResult | None:
        """Admits the request."""
        return UNLIMITED

    def withdraw(self, token: int) -> None:
        """Does nothing, because no request is pending."""

    def on_request(self, now: float, request: QuotaRequest) -> None:
        """Sends no reply, so the peer decides alone."""

    def on_decision(self, now: float, decision: QuotaDecision) -> list[QuotaCompletion]:
        """Returns no results, because no request is pending."""
        return []

    def on_handover_request(self, now: float, request: QuotaHandoverRequest) -> None:
        """Sends no reply, so the successor waits until this daemon's lease would have ended."""

    def on_handover(self, now: float, handover: QuotaHandover) -> None:
        """Does nothing, because no group is coordinated."""

    def authorities(self, now: float) -> list[Authority]:
        """Returns nothing, because no group is coordinated."""
        return []

    def next_due(self) -> float:
        """Returns infinity."""
        return float("inf")

    def on_timer(self, now: float) -> list[QuotaCompletion]:
        """Returns no results, because no request is pending."""
        return []
