"""Decides how many retries this daemon's budget allows beyond a share of its successes.

Question: with how much credit does a retry budget start, and how much can it accumulate?
Inputs: whether the service is paced; the number of known daemons; whether the registry of daemons
was read lately (`peers/peer_registry.py`).
Rule: for a paced service, `FLEET_RETRY_CREDIT` divided by the number of daemons, at most
`MAX_RETRY_CREDIT`. The maximum is at least 1, or a daemon of a large fleet could never retry; what
it has beyond its share, it earned by successes. While the registry is not read, the number of
daemons is the largest that was known. A daemon that has just started has no credit until it has
read the registry, for `UNKNOWN_FLEET_SECONDS` at most. Other services keep `MAX_RETRY_CREDIT`.
Why: 10 retries for each daemon and start allow 650 at once in a fleet of 65, and as many again
whenever daemons restart. Retries are most wanted when engines have failed, and add to the load of
the others.
"""

from collections.abc import Callable

from troutswitch.decisions.limits import MAX_RETRY_CREDIT, USUAL_CREDIT, CreditLimits

FLEET_RETRY_CREDIT = 200.0
"""Retry credit of all daemons together. If 5 engines with 8 slots crash at once, 40 requests are
spread over the daemons by chance. With a share of 3 at 65 daemons, nearly every one of them finds
credit at its daemon; with a share of 1, a quarter would not."""
UNKNOWN_FLEET_SECONDS = 10.0
"""Time after its start for which a daemon that can't read the registry has no credit. It receives
some 4 heartbeats a second, so it has then heard from about half of a fleet of 65."""
MIN_MAX_CREDIT = 1.0
"""Least maximum of a budget: one retry."""


def credit_share(daemons: int) -> float:
    """Returns each daemon's share of the fleet's retry credit."""
    return min(MAX_RETRY_CREDIT, FLEET_RETRY_CREDIT / max(1, daemons))


class FleetRetryCredit:
    """The limits of this daemon's retry budgets, by what it knows of the fleet."""

    def __init__(self, is_paced: Callable[[str], bool]) -> None:
        self._is_paced = is_paced
        self._begun_at: float | None = None
        self._daemons = 1
        self._is_known = False

    def update(self, now: float, daemons: int, *, is_current: bool) -> None:
        """Applies the number of known daemons.

        Args:
            now: this process's clock, in seconds.
            daemons: known daemons, including this one.
            is_current: whether the registry of daemons was read lately.
        """
        if self._begun_at is None:
            self._begun_at = now
        self._daemons = daemons if is_current else max(self._daemons, daemons)
        if is_current or now >= self._begun_at + UNKNOWN_FLEET_SECONDS:
            self._is_known = True

    def limits(self, service: str) -> CreditLimits:
        """Returns the limits of a service's budget."""
        if not self._is_paced(service):
            return USUAL_CREDIT
        share = credit_share(self._daemons)
        return CreditLimits(share if self._is_known else 0.0, max(MIN_MAX_CREDIT, share))
