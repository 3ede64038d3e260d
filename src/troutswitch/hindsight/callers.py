"""What became of callers, counted from their first try, as far as daemons' logs tell.

A daemon sees tries, not callers: each try has a request id of its own, and none names the
one before it. What it does see is the time that the caller has left, which a caller that
comes back counts on from its first try. Where the callers of a route all set out with the
same time, a try that comes with less is one that came back, and what it lacks is its wait so
far. Which earlier try it belongs to is not known, so shares are of counts, not of callers
followed. On a route whose callers set out with different times even that can't be told, and
only counts of tries are given.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from troutswitch.hindsight.log_lines import Line

CAME_BACK_SECONDS = 0.1
"""Time that a try must lack against its route's longest to have come back: the least time
after which a refused caller is asked to return, as `RETURNED_SECONDS` of the admission."""
SET_OUT_ALIKE_PART = 0.5
"""Part of the tries that must come with the route's longest time, for that to be the time
with which its callers set out: more than half can't be ones that came back."""
UNKNOWN_MILLISECONDS = 60_000
"""Times of this length and more stand for ones that never came."""
CALLER_LEFT_REASON = "caller went away"
"""Reason in the log of a request whose caller closed its connection."""


class End(Enum):
    """How a try ended at this system."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Try:
    """One try of a caller. Times are seconds; `given` is what the caller had left."""

    route: str
    objective: float = 0.0
    given: float = 0.0
    first: float = float("inf")
    held: float = 0.0
    end: End = End.UNKNOWN


@dataclass(slots=True)
class RouteCallers:
    """Counts of one route's tries and, where `are_told_apart`, of its callers.

    A caller that was refused and isn't seen again counts as refused once. One that came back
    and is answered counts by its time since the first try. `held_seconds` are those of tries
    that were not answered, refused at once or not.
    """

    route: str
    are_told_apart: bool
    tries: int = 0
    first_tries: int = 0
    answered: int = 0
    in_aim: int = 0
    late: int = 0
    refused_first: int = 0
    refused_again: int = 0
    failed: int = 0
    left: int = 0
    unknown: int = 0
    held_seconds: float = 0.0
    longest_held: float = 0.0

    @property
    def refused(self) -> int:
        """Tries that were refused."""
        return self.refused_first + self.refused_again

    @property
    def refused_once(self) -> int:
        """Callers refused at their first try that did not come back, at least 0."""
        return max(0, self.refused_first - (self.tries - self.first_tries))


@dataclass
class TryReader:
    """Folds log lines into tries, by request id."""

    tries: dict[str, Try] = field(default_factory=dict)
    refused_before_route: int = 0
    _sent: dict[tuple[str, int], float] = field(default_factory=dict)

    def read(self, lines: Iterable[Line]) -> list[Try]:
        """Reads lines in the order of time; lines without the time given are left out."""
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
        found.given = _seconds(fields, "client_timeout_ms")
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
        found.held = sent + _seconds(fields, "total_ms")
        if is_completed:
            found.end = End.ANSWERED

    def _close(self, fields: dict[str, Any], end: End) -> None:
        found = self._try(fields)
        if found is not None:
            found.held = _seconds(fields, "elapsed_ms")
            found.end = end


def count_callers(tries: list[Try]) -> list[RouteCallers]:
    """Counts tries, and callers where they can be told, by route."""
    routes = sorted({made.route for made in tries})
    return [_count_route(route, [t for t in tries if t.route == route]) for route in routes]


def _count_route(route: str, tries: list[Try]) -> RouteCallers:
    longest = max(made.given for made in tries)
    are_first = [made.given > longest - CAME_BACK_SECONDS for made in tries]
    told = Counter(are_first)[True] > SET_OUT_ALIKE_PART * len(tries)
    counted = RouteCallers(route, told, len(tries), sum(are_first))
    for made, is_first in zip(tries, are_first, strict=True):
        _count_try(counted, made, is_first, longest - made.given if told else 0.0)
    return counted


def _count_try(counted: RouteCallers, made: Try, is_first: bool, waited: float) -> None:
    match made.end:
        case End.ANSWERED:
            counted.answered += 1
            is_in_aim = waited + made.first <= made.objective
            counted.in_aim += is_in_aim
            counted.late += not is_in_aim
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
    counted.held_seconds += made.held
    counted.longest_held = max(counted.longest_held, made.held)


def _end_of(fields: dict[str, Any]) -> End:
    if fields.get("reason") == CALLER_LEFT_REASON:
        return End.LEFT
    return End.REFUSED if fields.get("outcome") == "NotRun" else End.FAILED


def _seconds(fields: dict[str, Any], name: str) -> float:
    return float(fields.get(name, 0)) / 1000
