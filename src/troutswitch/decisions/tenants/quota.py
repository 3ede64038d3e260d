"""The interface of quotas: whether a tenant may send one more request now, over all daemons.

(taken)  -> allowed    the request counts against the tenant's quota
(taken)  -> exceeded   with the time after which there is room for this caller
(taken)  -> ASKED      a coordinator was asked; the end comes by `on_answer` or `on_timer`
"""

from dataclasses import dataclass
from typing import Protocol

from troutswitch.daemons.messages import QuotaDecision, QuotaRequest
from troutswitch.decisions.tenants.types import Tenant


@dataclass(frozen=True, slots=True)
class QuotaMessage:
    """Whether one request is inside its tenant's quota.

    `wait` is the time in seconds after which there is room for it; `decided_by` says who counted.
    """

    is_allowed: bool
    wait: float
    decided_by: str


@dataclass(frozen=True, slots=True)
class QuotaEnd:
    """The word on a request for which a coordinator was asked."""

    token: int
    grant: QuotaMessage


UNLIMITED = QuotaMessage(True, 0.0, "no limit")


class Quota(Protocol):
    """Counts the requests of tenants over all daemons."""

    def take(self, now: float, token: int, tenant: Tenant) -> QuotaMessage | None:
        """Takes one request from a tenant's quota; None if the word comes later."""
        ...

    def withdraw(self, token: int) -> None:
        """Forgets a request whose word is not needed any more."""
        ...

    def on_ask(self, now: float, ask: QuotaRequest) -> None:
        """Answers a peer, as the coordinator of the tenant."""
        ...

    def on_answer(self, now: float, answer: QuotaDecision) -> list[QuotaEnd]:
        """Takes a coordinator's answer."""
        ...

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        ...

    def on_timer(self, now: float) -> list[QuotaEnd]:
        """Decides here what was not answered in time."""
        ...


class NoQuota:
    """Quota of a daemon that counts nothing."""

    def take(self, now: float, token: int, tenant: Tenant) -> QuotaMessage | None:
        """Allows everything."""
        return UNLIMITED

    def withdraw(self, token: int) -> None:
        """Has nothing to forget."""

    def on_ask(self, now: float, ask: QuotaRequest) -> None:
        """Does not answer: the peer decides by itself."""

    def on_answer(self, now: float, answer: QuotaDecision) -> list[QuotaEnd]:
        """Awaits no answer."""
        return []

    def next_due(self) -> float:
        """Returns infinity."""
        return float("inf")

    def on_timer(self, now: float) -> list[QuotaEnd]:
        """Has nothing to do."""
        return []
