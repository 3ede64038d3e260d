"""Check of requests while most new connections go to one daemon."""

from troutswitch.soak.hard_load_checks import is_planned_at
from troutswitch.soak.observations import Observations, Outcome
from troutswitch.soak.schedule import FAULT_FREE_SECONDS
from troutswitch.soak.skewed_callers import EVEN_PREFIX, SKEWED_PREFIX
from troutswitch.soak.violations import Violation

MIN_REQUESTS = 40
"""Requests of each kind from which their shares are compared."""
MIN_SERVED_RATIO = 0.75
"""Bound on the share that is served during a skew, as a part of the share before it."""


def skewed_connections_are_served(observations: Observations) -> list[Violation]:
    """RECOVER: while most new connections go to one daemon, requests are served as before."""
    even, skewed = (_outcomes(observations, prefix) for prefix in (EVEN_PREFIX, SKEWED_PREFIX))
    if min(len(even), len(skewed)) < MIN_REQUESTS:
        return []
    share_before, share = sum(even) / len(even), sum(skewed) / len(skewed)
    if share >= MIN_SERVED_RATIO * share_before:
        return []
    what = f"{share:.2f} of the requests were served, {share_before:.2f} before"
    return [Violation("RECOVER", "skewed connections", what)]


def _outcomes(observations: Observations, prefix: str) -> list[bool]:
    """Returns whether each ended request was served, of those without a fault around them.

    A daemon that stops or starts refuses requests; the platform gives it no new connections then.
    """
    return [
        exchange.outcome is Outcome.COMPLETE and exchange.status == 200
        for exchange in observations.exchanges
        if exchange.request_id.startswith(prefix)
        and exchange.outcome is not Outcome.OPEN
        and observations.is_fault_free(exchange.sent_at - FAULT_FREE_SECONDS, exchange.ended_at)
        and not is_planned_at(observations, exchange)
    ]
