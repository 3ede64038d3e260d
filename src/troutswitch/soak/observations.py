"""Recorded observations of callers, engines and the operator, the only input of the checks."""

import json
import threading
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

from troutswitch.soak.processes import ProcessExit
from troutswitch.soak.schedule import ScheduledAction


class RequestKind(StrEnum):
    """Kinds of online requests; each has a route whose path prefix is the kind."""

    READ = "read"
    ONCE = "once"
    STREAM = "stream"
    STREAM_ONCE = "stream-once"
    VERSION = "version"


AT_MOST_ONCE = frozenset({RequestKind.ONCE, RequestKind.STREAM_ONCE})
"""Kinds that must not be repeated."""


class Outcome(StrEnum):
    """How an exchange ended for its caller."""

    OPEN = "open"
    COMPLETE = "whole"
    INTERRUPTED = "cut"
    MALFORMED = "malformed"
    CALLER_LEFT = "left"


@dataclass(slots=True)
class Exchange:
    """A request and its answer as its caller observed them, recorded before the request is sent."""

    request_id: str
    kind: RequestKind
    path: str
    body: bytes
    daemon: str
    sent_at: float
    version: int = 0
    outcome: Outcome = Outcome.OPEN
    ended_at: float = 0.0
    status: int = 0
    stamp: str = ""
    answer: bytes = b""
    reason: str = ""
    stray_bytes: bytes = b""
    has_unknown_key: bool = False
    """Whether the request has an API key that no tenant has."""
    deadline_seconds: float = 0.0
    """Deadline that the caller sends; 0 for the usual one."""
    resumed_id: str = ""
    """Request id of the attempt that brought the first event of a stream that it resumes."""
    resumed_after: int = 0
    """Number of events that the caller had when it resumed the stream."""

    @property
    def events_received(self) -> int:
        """Number of complete events in the answer of a stream."""
        return self.answer.count(b"\n\n") if self.status == 200 else 0


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """A line of an engine's journal, such as the start or failure of a request."""

    kind: str
    request_id: str
    written_at: float
    engine: str
    path: str = ""
    body: str = ""
    model: str = ""
    after: int = 0
    status: int = 0
    tenant: str = ""
    has_key: bool = False
    run: int = 0
    """Number of the run at its engine."""
    is_whole: bool = False
    """Whether an answer goes out complete, signed and framed."""


@dataclass(frozen=True, slots=True)
class InjectedAction:
    """An action that was performed, with its target and its span in monotonic time."""

    scheduled: ScheduledAction
    target: str
    begin: float
    end: float


@dataclass(frozen=True, slots=True)
class EngineDeparture:
    """The departure of an engine, from the time at which the store acknowledged it."""

    engine: str
    acknowledged_at: float


@dataclass(frozen=True, slots=True)
class EngineListing:
    """The listing of a started engine, from the time at which the store acknowledged it."""

    engine: str
    acknowledged_at: float


@dataclass(frozen=True, slots=True)
class ConfigurationWrite:
    """A configuration that the store acknowledged; `is_odd` if another program wrote it."""

    version: int
    begun_at: float
    acknowledged_at: float
    is_odd: bool = False


@dataclass(frozen=True, slots=True)
class OddRecordWrite:
    """The write of an odd record; `kind` names what is odd, `key` is empty for configurations."""

    kind: str
    key: str
    written_at: float


@dataclass(frozen=True, slots=True)
class ObservedResult:
    """A batch result as one read returned it."""

    daemon: str
    position: int
    item_id: str
    state: str
    text: str


@dataclass(slots=True)
class ObservedJob:
    """A batch job as its client observed it.

    `not_found_replies` has the daemon and time of each answer that there is no such job.
    """

    job_id: str
    items: dict[str, bytes]
    submitted_at: float
    statuses: list[int] = field(default_factory=list)
    accepted_at: float = 0.0
    end_requested_at: float = 0.0
    ended_at: float = 0.0
    totals: set[int] = field(default_factory=set)
    results: list[ObservedResult] = field(default_factory=list)
    not_found_replies: list[tuple[str, float]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ResourceSample:
    """The resource use of a process at one time."""

    process: str
    sampled_at: float
    memory_mb: float
    descriptors: int
    log_bytes: int
    peak_memory_mb: float = 0.0
    """Highest resident memory since the process started."""


@dataclass(slots=True)
class Observations:
    """All observations of a soak."""

    started_at: float
    exchanges: list[Exchange] = field(default_factory=list)
    journal_entries: list[JournalEntry] = field(default_factory=list)
    actions: list[InjectedAction] = field(default_factory=list)
    departures: list[EngineDeparture] = field(default_factory=list)
    jobs: list[ObservedJob] = field(default_factory=list)
    exits: list[ProcessExit] = field(default_factory=list)
    samples: list[ResourceSample] = field(default_factory=list)
    unmet_expectations: list[tuple[str, str]] = field(default_factory=list)
    unknown_key_exchanges: list[Exchange] = field(default_factory=list)
    """Requests with a key that no tenant has; they are not among `exchanges`."""
    attempts: list[tuple[float, float]] = field(default_factory=list)
    """Begin and end of attempts by the daemons' logs (`sent_attempts`); empty if not read."""
    slots: int = 0
    """Slots of all engines together; 0 if unknown."""
    memory_limit_mb: float = 0.0
    """Memory limit in the daemons' settings, in units of 1,000,000 bytes; 0 means none."""
    engine_versions: dict[str, str] = field(default_factory=dict)
    """Software version of each engine, by its id."""
    listings: list[EngineListing] = field(default_factory=list)
    configurations: list[ConfigurationWrite] = field(default_factory=list)
    """The configurations by version, odd ones included."""
    odd_records: list[OddRecordWrite] = field(default_factory=list)
    """What another writer wrote; deletions are left out."""
    is_lightly_loaded: bool = False
    """Whether the callers of the soak leave most slots free, so that none is refused without a
    fault."""
    lock: threading.Lock = field(default_factory=threading.Lock)

    def is_fault_free(self, begin: float, end: float) -> bool:
        """Returns whether no fault overlaps a span; planned operations may."""
        return not any(
            span.begin <= end and span.end >= begin
            for span in self.actions
            if not span.scheduled.is_planned
        )


def read_journal(path: Path) -> list[JournalEntry]:
    """Reads an engine's journal, without a last line that is still being written."""
    journal_entries: list[JournalEntry] = []
    for line in path.read_text().splitlines():
        try:
            row = json.loads(line)
        except json.JSONDecodeError:
            continue
        journal_entries.append(
            JournalEntry(
                row["kind"],
                row["id"],
                row["at"],
                row["engine"],
                row.get("path", ""),
                row.get("body", ""),
                row.get("model", ""),
                row.get("after", 0),
                row.get("status", 0),
                row.get("tenant", ""),
                row.get("has_key", False),
                row.get("run", 0),
                row.get("is_whole", False),
            )
        )
    return journal_entries
