"""Counts how callers fared from their first try on, as far as daemons' logs show it.

A daemon sees tries, not callers: each try has a request id of its own, and none names the
one before it. What it does see is the time that the caller has left, which a caller that
retries counts from its first try. Where the callers of a route all begin with the same time,
a try with less is a retry, and what it lacks is the time since the first try. Which earlier
try it belongs to is not known, so shares are of counts, not of callers followed. On a route
whose callers begin with different times retries can't be recognised, and only tries are counted.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from troutswitch.hindsight.log_lines import Line

RETRY_LACK_SECONDS = 0.1
"""Time that a try must lack against its route's longest to be a retry: the least Retry-After
that a refused caller gets, as `RETURNED_SECONDS` of the admission."""
FIRST_TRIES_SHARE = 0.5
"""Share of the tries that must have the route's longest time left, for that to be the time with
which its callers begin: more than half can't be retries."""
UNKNOWN_MILLISECONDS = 60_000
"""Times of this length and more stand for events that never came."""
CALLER_LEFT_REASON = "caller went away"
"""Reason in the log of a request whose caller closed its connection."""


class End(Enum):
    """How a try ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Try:
    """One try of a caller. Times are seconds.

    `time_left` is what the caller had left on arrival, `first` the time to the first event,
    `spent` the time for which the try was here.
    """

    route: str
    objective: float = 0.0
    time_left: float = 0.0
    first: float = float("inf")
    spent: float = 0.0
    end: End = End.UNKNOWN


@dataclass(slots=True)
class RouteCallers:
    """Counts of one route's tries and, where `knows_retries`, of its callers.

    A caller that was refused and isn't seen again counts as refused once. One that retried
    and is answered counts by its time since the first try. `wasted_seconds` were spent by tries
    that were not answered.
    """

    route: str
    knows_retries: bool
    tries: int = 0
    first_tries: int = 0
    answered: int = 0
    in_time: int = 0
    late: int = 0
    refused_first: int = 0
    refused_again: int = 0
    failed: int = 0
    left: int = 0
    unknown: int = 0
    wasted_seconds: float = 0.0
    longest_wasted: float = 0.0

    @property
    def refused(self) -> int:
        """Tries that were refused."""
        return self.refused_first + self.refused_again

    @property
    def refused_once(self) -> int:
        """Callers refused at their first try that did not retry, at least 0."""
        return max(0, self.refused_first - (self.tries - self.first_tries))


@dataclass
class TryReader:
    """Folds log lines into tries, by request id."""

    tries: dict[str, Try] = field(default_factory=dict)
    refused_before_route: int = 0
    _sent: dict[tuple[str, int], float] = field(default_factory=dict)

    def read(self, lines: Iterable[Line]) -> list[Try]:
        """Reads lines in the order of time; those without the caller's time are left out."""
        for line in lines:
            self._take(line)
        return list(self.tries.values())

    def _take(self, line: Line) -> None:
        match line.event:
            case "request sent":
                self._on_sent(line.fields)
            case "attempt ended":
                self._on_ended(line.fields)
            case "request deferred":
                self._close(line.fields, End.REFUSED)
            case "request given up":
                self._close(line.fields, _end_of(line.fields))
            case "request refused" if line.fields.get("status") == 503:
                self.refused_before_route += 1

    def _try(self, fields: dict[str, Any]) -> Try | None:
        if "client_timeout_ms" not in fields:
            return None
        found = self.tries.setdefault(str(fields["request_id"]), Try(str(fields["route"])))
        found.time_left = _seconds(fields, "client_timeout_ms")
        found.objective = _seconds(fields, "objective_ms")
        return found

    def _on_sent(self, fields: dict[str, Any]) -> None:
        found = self._try(fields)
        if found is not None:
            here = _seconds(fields, "elapsed_ms")
            self._sent[str(fields["request_id"]), int(fields["attempt"])] = here

    def _on_ended(self, fields: dict[str, Any]) -> None:
        request_id = str(fields["request_id"])
        found = self.tries.get(request_id)
        sent = self._sent.pop((request_id, int(fields["attempt"])), None)
        if found is None or sent is None:
            return
        is_completed = fields.get("kind") == "completed"
        if int(fields.get("first_ms", UNKNOWN_MILLISECONDS)) < UNKNOWN_MILLISECONDS:
            is_stream = bool(fields.get("position"))
            came = _seconds(fields, "first_ms" if is_stream else "total_ms")
            if is_stream or is_completed:
                found.first = min(found.first, sent + came)
        found.spent = sent + _seconds(fields, "total_ms")
        if is_completed:
            found.end = End.ANSWERED

    def _close(self, fields: dict[str, Any], end: End) -> None:
        found = self._try(fields)
        if found is not None:
            found.spent = _seconds(fields, "elapsed_ms")
            found.end = end


def count_callers(tries: list[Try]) -> list[RouteCallers]:
    """Counts tries by route, and callers where retries are recognised."""
    routes = sorted({made.route for made in tries})
    return [_count_route(route, [t for t in tries if t.route == route]) for route in routes]


def _count_route(route: str, tries: list[Try]) -> RouteCallers:
    longest = max(made.time_left for made in tries)
    are_first = [made.time_left > longest - RETRY_LACK_SECONDS for made in tries]
    knows_retries = Counter(are_first)[True] > FIRST_TRIES_SHARE * len(tries)
    counted = RouteCallers(route, knows_retries, len(tries), sum(are_first))
    for made, is_first in zip(tries, are_first, strict=True):
        _count_try(counted, made, is_first, longest - made.time_left if knows_retries else 0.0)
    return counted


def _count_try(counted: RouteCallers, made: Try, is_first: bool, waited: float) -> None:
    match made.end:
        case End.ANSWERED:
            counted.answered += 1
            is_in_time = waited + made.first <= made.objective
            counted.in_time += is_in_time
            counted.late += not is_in_time
            return
        case End.REFUSED if is_first:
            counted.refused_first += 1
        case End.REFUSED:
            counted.refused_again += 1
        case End.FAILED:
            counted.failed += 1
        case End.LEFT:
            counted.left += 1
        case End.UNKNOWN:
            counted.unknown += 1
            return
    counted.wasted_seconds += made.spent
    counted.longest_wasted = max(counted.longest_wasted, made.spent)


def _end_of(fields: dict[str, Any]) -> End:
    if fields.get("reason") == CALLER_LEFT_REASON:
        return End.LEFT
    return End.REFUSED if fields.get("outcome") == "NotRun" else End.FAILED


def _seconds(fields: dict[str, Any], name: str) -> float:
    return float(fields.get(name, 0)) / 1000
