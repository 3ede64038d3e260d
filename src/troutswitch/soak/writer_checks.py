"""Checks of the promises beside another program that writes to the store."""

from troutswitch.soak.hard_load_checks import is_planned_at
from troutswitch.soak.observations import (
    ConfigurationWrite,
    Exchange,
    Observations,
    Outcome,
    RequestKind,
)
from troutswitch.soak.schedule import FAULT_FREE_SECONDS
from troutswitch.soak.violations import Violation

INTERNAL_ERROR = 500
"""Status with which a daemon's HTTP server answers when its own code fails; a daemon has no other
use for it."""
CALLER_PREFIX = "caller-"
"""Prefix of the requests of the soak's usual callers."""
UNSERVED_STATUSES = frozenset({502, 503, 504})
MIN_REQUESTS = 40
MAX_UNSERVED_SHARE = 0.02
"""Share of the requests without a fault that may fail beside odd records: those on their way when
an engine ends."""
USED_SECONDS = 6.0
"""Time until a listed engine has requests: a list is read in a second, and each engine gets some
requests in each second."""
IN_FORCE_SECONDS = 4.0
"""Time until a configuration is in force without a fault: four times the daemons' bound."""


def no_request_ends_with_an_internal_error(observations: Observations) -> list[Violation]:
    """LOST: no request is answered with the status of an error in the daemon itself."""
    return [
        Violation("LOST", exchange.request_id, f"{exchange.daemon} answered with an internal error")
        for exchange in observations.exchanges
        if exchange.outcome is Outcome.COMPLETE
        and exchange.status == INTERNAL_ERROR
        and not exchange.stamp
    ]


def requests_beside_odd_records_are_served(observations: Observations) -> list[Violation]:
    """LOST: without a fault, callers are served whatever another program wrote."""
    if not observations.odd_records or not observations.is_lightly_loaded:
        return []
    ended = [
        exchange
        for exchange in observations.exchanges
        if exchange.request_id.startswith(CALLER_PREFIX)
        and exchange.outcome in (Outcome.COMPLETE, Outcome.INTERRUPTED)
        and observations.is_fault_free(exchange.sent_at - FAULT_FREE_SECONDS, exchange.ended_at)
        and not is_planned_at(observations, exchange)
    ]
    unserved = [exchange for exchange in ended if _is_unserved(exchange)]
    if len(ended) < MIN_REQUESTS or len(unserved) <= MAX_UNSERVED_SHARE * len(ended):
        return []
    first = unserved[0]
    what = f"{len(unserved)} of {len(ended)} requests were not served, first {first.status}"
    return [Violation("LOST", first.request_id, what)]


def _is_unserved(exchange: Exchange) -> bool:
    if exchange.outcome is Outcome.INTERRUPTED:
        return True
    return exchange.status in UNSERVED_STATUSES


def listed_engines_are_used(observations: Observations) -> list[Violation]:
    """RECOVER: without a fault, an engine that was listed gets requests soon."""
    last_at = max((exchange.ended_at for exchange in observations.exchanges), default=0.0)
    used = {entry.engine for entry in observations.journal_entries if entry.kind == "begun"}
    found: list[Violation] = []
    for listing in observations.listings:
        begin, end = listing.acknowledged_at, listing.acknowledged_at + USED_SECONDS
        has_left = any(
            departure.engine == listing.engine and departure.acknowledged_at < end
            for departure in observations.departures
        )
        if has_left or end > last_at or listing.engine in used:
            continue
        if observations.is_fault_free(begin - FAULT_FREE_SECONDS, end):
            what = f"has no request {USED_SECONDS:.0f} s after it was listed"
            found.append(Violation("RECOVER", listing.engine, what))
    return found


def configurations_come_into_force(observations: Observations) -> list[Violation]:
    """CONFIG: without a fault, daemons serve a good configuration soon, and until the next one."""
    found: list[Violation] = []
    following = [*observations.configurations[1:], None]
    for written, after in zip(observations.configurations, following, strict=False):
        if written.is_odd:
            continue
        late = [
            exchange
            for exchange in observations.exchanges
            if _is_late_probe(exchange, written, after)
            and observations.is_fault_free(
                exchange.sent_at - IN_FORCE_SECONDS - FAULT_FREE_SECONDS, exchange.ended_at
            )
            and not is_planned_at(observations, exchange)
        ]
        found += [
            Violation("CONFIG", daemon, f"does not serve version {written.version}")
            for daemon in sorted({exchange.daemon for exchange in late})
        ]
    return found


def _is_late_probe(
    exchange: Exchange, written: ConfigurationWrite, after: ConfigurationWrite | None
) -> bool:
    """Returns whether a probe shows that a version isn't served that should be."""
    return (
        exchange.kind is RequestKind.VERSION
        and exchange.version == written.version
        and exchange.outcome is Outcome.COMPLETE
        and exchange.status == 404
        and exchange.sent_at > written.acknowledged_at + IN_FORCE_SECONDS
        and (after is None or exchange.ended_at < after.begun_at)
    )
