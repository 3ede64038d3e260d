"""Checks of requests while a part of their prompts crashes engines."""

from troutswitch.soak.crashing_parts import BESIDE_PREFIX, CRASHING_PREFIX
from troutswitch.soak.observations import JournalEntry, Observations, Outcome
from troutswitch.soak.schedule import ActionKind
from troutswitch.soak.violations import Violation

CRASHES_TO_REFUSE = 5
"""Number of engines that a part crashes before requests with it are refused."""
CRASH_KNOWN_SECONDS = 6.0
"""Time until all daemons know of an engine's crash: twice `contactMs` of their settings."""
MAX_LATE_STARTS = 3
"""Number of requests with the part that may still reach engines after `CRASH_KNOWN_SECONDS`."""
MIN_BESIDE_REQUESTS = 20
"""Number of sound requests from which the share that is served is judged."""
MIN_SERVED_SHARE = 0.5
"""Bound on the share of sound requests that are served while requests with the part still come."""


def crashing_parts_are_stopped(observations: Observations) -> list[Violation]:
    """BUDGET: a part that crashed five engines reaches few more once all daemons know it."""
    crash_times = _crash_times(observations)
    if len(crash_times) < CRASHES_TO_REFUSE:
        return []
    known_at = crash_times[CRASHES_TO_REFUSE - 1] + CRASH_KNOWN_SECONDS
    late = [
        entry
        for entry in observations.journal_entries
        if entry.kind == "begun"
        and _has_crashing_part(entry)
        and entry.written_at > known_at
        and is_free_of_other_faults(
            observations, entry.written_at - CRASH_KNOWN_SECONDS, entry.written_at
        )
    ]
    if len(late) <= MAX_LATE_STARTS:
        return []
    return [Violation("BUDGET", "crashing part", f"was sent to servers {len(late)} times more")]


def requests_beside_a_crashing_part_are_served(observations: Observations) -> list[Violation]:
    """LOST: sound requests with the same first part are served once the part is known."""
    crash_times = _crash_times(observations)
    if not crash_times:
        return []
    known_at = crash_times[:CRASHES_TO_REFUSE][-1] + CRASH_KNOWN_SECONDS
    ended = [
        exchange
        for exchange in observations.exchanges
        if exchange.request_id.startswith(BESIDE_PREFIX)
        and exchange.outcome is not Outcome.OPEN
        and exchange.sent_at > known_at
        and observations.is_fault_free(exchange.sent_at - CRASH_KNOWN_SECONDS, exchange.ended_at)
    ]
    served = [
        exchange
        for exchange in ended
        if exchange.outcome is Outcome.COMPLETE and exchange.status == 200
    ]
    if len(ended) < MIN_BESIDE_REQUESTS or len(served) >= MIN_SERVED_SHARE * len(ended):
        return []
    what = f"{len(served)} of {len(ended)} sound requests were served"
    return [Violation("LOST", "beside a crashing part", what)]


def _has_crashing_part(entry: JournalEntry) -> bool:
    return entry.request_id.startswith(CRASHING_PREFIX)


def _crash_times(observations: Observations) -> list[float]:
    """Returns when engines crashed under the part, in order."""
    return sorted(
        entry.written_at
        for entry in observations.journal_entries
        if entry.kind == "ended under" and _has_crashing_part(entry)
    )


def is_free_of_other_faults(observations: Observations, begin: float, end: float) -> bool:
    """Returns whether no fault except crashes under requests overlaps a span."""
    return not any(
        span.begin <= end and span.end >= begin
        for span in observations.actions
        if not span.scheduled.is_planned and span.scheduled.kind is not ActionKind.CRASHING_REQUEST
    )
