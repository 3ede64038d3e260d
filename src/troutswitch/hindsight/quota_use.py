"""Reads from daemons' logs how a tenant's quota was used: who admitted, by which count, what ran.

Relies on the lines `request sent`, `attempt ended`, `request refused`, `quota decision late`,
`quota coordination begun`, `confirmed` and `ended`. Times are seconds since the first line.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from troutswitch.hindsight.log_lines import Line
from troutswitch.outcomes import NOT_EXECUTED_OUTCOMES

NOT_RUN_KINDS = frozenset(kind.value for kind in NOT_EXECUTED_OUTCOMES)
COORDINATION_EVENTS = (
    "quota coordination begun",
    "quota coordination confirmed",
    "quota coordination ended",
)


@dataclass(frozen=True, slots=True)
class Admission:
    """One admitted request, by its first attempt. `decision_ms` is how long its decision took."""

    at: float
    daemon: str
    way: str
    decided_by: str
    decision_ms: int


@dataclass(frozen=True, slots=True)
class CoordinationChange:
    """A daemon began to coordinate a quota group, was confirmed, or ended.

    `cause` is why it was confirmed, or which predecessors it awaits.
    """

    at: float
    daemon: str
    event: str
    group: str
    cause: str = ""


@dataclass(slots=True)
class QuotaUse:
    """The use of one tenant's quota.

    `runs` has the times of attempts that may have run at an engine, and `runs_by_admission` the
    number of admissions by their number of such attempts. `refusals` counts refused requests by
    way. `late_ms` has how long late decisions took.
    """

    admissions: list[Admission] = field(default_factory=list)
    refusals: Counter[str] = field(default_factory=Counter)
    runs: list[float] = field(default_factory=list)
    runs_by_admission: Counter[int] = field(default_factory=Counter)
    late_ms: list[int] = field(default_factory=list)
    changes: list[CoordinationChange] = field(default_factory=list)

    def between(self, begin: float, end: float) -> Counter[tuple[str, str]]:
        """Counts the admissions of a span by daemon and way."""
        return Counter((a.daemon, a.way) for a in self.admissions if begin <= a.at < end)


def fullest_window(times: Iterable[float], window: float) -> tuple[float, int]:
    """Returns the begin and the count of the window with most of the given times."""
    ordered = sorted(times)
    best, first = (0.0, 0), 0
    for last, at in enumerate(ordered):
        while at - ordered[first] >= window:
            first += 1
        if last - first + 1 > best[1]:
            best = (ordered[first], last - first + 1)
    return best


def read_quota_use(lines: Iterable[Line], tenant: str) -> QuotaUse:
    """Reads the use of one tenant's quota from lines in time order."""
    reader = _Reader(tenant)
    for line in lines:
        reader.on_line(line)
    return reader.finish()


class _Reader:
    """Collects the lines of one tenant."""

    def __init__(self, tenant: str) -> None:
        self._tenant = tenant
        self._use = QuotaUse()
        self._begin: float | None = None
        self._attempts: dict[tuple[str, str], dict[int, float]] = defaultdict(dict)
        """Times of the attempts that may have run, by daemon and request id, by attempt."""

    def on_line(self, line: Line) -> None:
        if self._begin is None:
            self._begin = line.seconds
        at = line.seconds - self._begin
        is_of_tenant = line.fields.get("tenant") == self._tenant
        if line.event in COORDINATION_EVENTS:
            group = str(line.fields.get("group", ""))
            awaited = line.fields.get("predecessors") or ()
            cause = str(line.fields.get("by", "")) or ", ".join(map(str, awaited))
            change = CoordinationChange(at, line.daemon, line.event, group, cause)
            self._use.changes.append(change)
        elif line.event == "attempt ended":
            self._on_attempt_ended(line)
        elif is_of_tenant and line.event == "request sent":
            self._on_sent(at, line)
        elif is_of_tenant and line.event == "request refused":
            self._use.refusals[str(line.fields.get("quota_way", ""))] += 1
        elif is_of_tenant and line.event == "quota decision late":
            self._use.late_ms.append(int(line.fields.get("decision_ms", 0)))

    def _on_sent(self, at: float, line: Line) -> None:
        fields = line.fields
        key = (line.daemon, str(fields.get("request_id", "")))
        attempt = int(fields.get("attempt", 0))
        if attempt == 1:
            self._count_runs(key)
            way, by = str(fields.get("quota_way", "")), str(fields.get("decided_by", ""))
            admission = Admission(at, line.daemon, way, by, int(fields.get("quota_ms", 0)))
            self._use.admissions.append(admission)
        self._attempts[key][attempt] = at

    def _on_attempt_ended(self, line: Line) -> None:
        if line.fields.get("kind") not in NOT_RUN_KINDS:
            return
        attempts = self._attempts.get((line.daemon, str(line.fields.get("request_id", ""))))
        if attempts is not None:
            attempts.pop(int(line.fields.get("attempt", 0)), None)

    def _count_runs(self, key: tuple[str, str]) -> None:
        """Counts the runs of a request's earlier admission; a client may use an id again."""
        attempts = self._attempts.pop(key, None)
        if attempts is not None:
            self._use.runs += attempts.values()
            self._use.runs_by_admission[len(attempts)] += 1

    def finish(self) -> QuotaUse:
        for key in list(self._attempts):
            self._count_runs(key)
        self._use.runs.sort()
        return self._use
