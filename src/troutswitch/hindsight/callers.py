"""Counts the outcomes of callers from their first try, as far as daemons' logs show them.

A daemon sees tries, not callers: each try has its own request id, and none refers to the previous
one. A daemon does see the caller's remaining time, which a caller that retries counts from its
first try. If all callers of a route begin with the same timeout, a try with less time remaining is
a retry, and the difference is the time since the first try. The earlier try that it belongs to is
unknown, so the results are counts and do not follow single callers. If the callers of a route begin
with different timeouts, retries cannot be recognised and only tries are counted.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from troutswitch.hindsight.log_lines import Line

MIN_RETRY_DELAY_SECONDS = 0.1
"""Minimum difference from the longest timeout of its route that makes a try a retry: the
minimum Retry-After of a refusal, `MIN_RETRY_AFTER_SECONDS` in `decisions/forwarding/`."""
MIN_FIRST_TRIES_SHARE = 0.5
"""All callers of a route are taken to begin with its longest timeout if more than this share of its
tries has it: more than half of the tries cannot be retries."""
MISSING_EVENT_MILLISECONDS = 60_000
"""Logged times of this length and above mean that the event did not happen."""
DISCONNECTED_REASON = "caller went away"
"""Logged reason of a request whose caller closed its connection."""


class End(Enum):
    """How a try ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    DISCONNECTED = "left"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class CallerTry:
    """One try of a caller. Times are in seconds.

    `client_timeout` is the time that the caller had remaining on arrival, `first_event` the time
    from arrival to the first event, `duration` the time that the daemon spent on the try.
    """

    route: str
    objective: float = 0.0
    client_timeout: float = 0.0
    first_event: float = float("inf")
    duration: float = 0.0
    end: End = End.UNKNOWN


@dataclass(slots=True)
class RouteCallers:
    """Counts of one route's tries and, where `recognises_retries`, of its callers.

    A caller that is refused and does not retry counts as refused once. One that retries and
    is answered is in time or late by the time since its first try. `wasted_seconds` is the total
    duration of the tries that were not answered, `max_wasted_seconds` the longest of them.
    """

    route: str
    recognises_retries: bool
    tries: int = 0
    first_tries: int = 0
    answered: int = 0
    in_time: int = 0
    late: int = 0
    refused_first: int = 0
    refused_again: int = 0
    failed: int = 0
    disconnected: int = 0
    unknown: int = 0
    wasted_seconds: float = 0.0
    max_wasted_seconds: float = 0.0

    @property
    def refused(self) -> int:
        """Number of refused tries."""
        return self.refused_first + self.refused_again

    @property
    def refused_once(self) -> int:
        """Number of callers that were refused at their first try and did not retry, at least 0."""
        return max(0, self.refused_first - (self.tries - self.first_tries))


@dataclass
class TryReader:
    """Collects tries from log lines, by request id."""

    tries: dict[str, CallerTry] = field(default_factory=dict)
    refused_before_route: int = 0
    _sent: dict[tuple[str, int], float] = field(default_factory=dict)

    def read(self, lines: Iterable[Line]) -> list[CallerTry]:
        """Reads lines in time order and returns the tries.

        Tries whose lines have no client timeout are skipped.
        """
        for line in lines:
            self._read_line(line)
        return list(self.tries.values())

    def _read_line(self, line: Line) -> None:
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

    def _find_or_add(self, fields: dict[str, Any]) -> CallerTry | None:
        if "client_timeout_ms" not in fields:
            return None
        caller_try = self.tries.setdefault(
            str(fields["request_id"]), CallerTry(str(fields["route"]))
        )
        caller_try.client_timeout = _seconds(fields, "client_timeout_ms")
        caller_try.objective = _seconds(fields, "objective_ms")
        return caller_try

    def _on_sent(self, fields: dict[str, Any]) -> None:
        caller_try = self._find_or_add(fields)
        if caller_try is not None:
            elapsed = _seconds(fields, "elapsed_ms")
            self._sent[str(fields["request_id"]), int(fields["attempt"])] = elapsed

    def _on_ended(self, fields: dict[str, Any]) -> None:
        request_id = str(fields["request_id"])
        caller_try = self.tries.get(request_id)
        sent = self._sent.pop((request_id, int(fields["attempt"])), None)
        if caller_try is None or sent is None:
            return
        is_completed = fields.get("kind") == "completed"
        if int(fields.get("first_ms", MISSING_EVENT_MILLISECONDS)) < MISSING_EVENT_MILLISECONDS:
            is_stream = bool(fields.get("position"))
            first_event = _seconds(fields, "first_ms" if is_stream else "total_ms")
            if is_stream or is_completed:
                caller_try.first_event = min(caller_try.first_event, sent + first_event)
        caller_try.duration = sent + _seconds(fields, "total_ms")
        if is_completed:
            caller_try.end = End.ANSWERED

    def _close(self, fields: dict[str, Any], end: End) -> None:
        caller_try = self._find_or_add(fields)
        if caller_try is not None:
            caller_try.duration = _seconds(fields, "elapsed_ms")
            caller_try.end = end


def count_callers(tries: list[CallerTry]) -> list[RouteCallers]:
    """Counts the tries of each route, and its callers if retries are recognised."""
    routes = sorted({caller_try.route for caller_try in tries})
    return [_count_route(route, [t for t in tries if t.route == route]) for route in routes]


def _count_route(route: str, tries: list[CallerTry]) -> RouteCallers:
    longest_timeout = max(t.client_timeout for t in tries)
    are_first = [
        caller_try.client_timeout > longest_timeout - MIN_RETRY_DELAY_SECONDS
        for caller_try in tries
    ]
    recognises_retries = Counter(are_first)[True] > MIN_FIRST_TRIES_SHARE * len(tries)
    counted = RouteCallers(route, recognises_retries, len(tries), sum(are_first))
    for caller_try, is_first in zip(tries, are_first, strict=True):
        _count_try(
            counted,
            caller_try,
            is_first,
            longest_timeout - caller_try.client_timeout if recognises_retries else 0.0,
        )
    return counted


def _count_try(
    counted: RouteCallers, caller_try: CallerTry, is_first: bool, since_first_try: float
) -> None:
    match caller_try.end:
        case End.ANSWERED:
            counted.answered += 1
            is_in_time = since_first_try + caller_try.first_event <= caller_try.objective
            counted.in_time += is_in_time
            counted.late += not is_in_time
            return
        case End.REFUSED if is_first:
            counted.refused_first += 1
        case End.REFUSED:
            counted.refused_again += 1
        case End.FAILED:
            counted.failed += 1
        case End.DISCONNECTED:
            counted.disconnected += 1
        case End.UNKNOWN:
            counted.unknown += 1
            return
    counted.wasted_seconds += caller_try.duration
    counted.max_wasted_seconds = max(counted.max_wasted_seconds, caller_try.duration)


def _end_of(fields: dict[str, Any]) -> End:
    if fields.get("reason") == DISCONNECTED_REASON:
        return End.DISCONNECTED
    return End.REFUSED if fields.get("outcome") == "NotRun" else End.FAILED


def _seconds(fields: dict[str, Any], name: str) -> float:
    return float(fields.get(name, 0)) / 1000
