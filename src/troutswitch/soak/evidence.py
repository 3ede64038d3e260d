"""What callers, engines and the operator saw: the only ground on which promises are judged."""

import json
import threading
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

from troutswitch.soak.processes import ProcessEnd
from troutswitch.soak.schedule import Strike


class Kind(StrEnum):
    """Kinds of requests; each has a route under a prefix of this name."""

    READ = "read"
    ONCE = "once"
    STREAM = "stream"
    STREAM_ONCE = "stream-once"
    VERSION = "version"


AT_MOST_ONCE = frozenset({Kind.ONCE, Kind.STREAM_ONCE})


class Outcome(StrEnum):
    """How an exchange ended for its caller."""

    OPEN = "open"
    WHOLE = "whole"
    CUT = "cut"
    MALFORMED = "malformed"
    LEFT = "left"


@dataclass(slots=True)
class Exchange:
    """One request as its caller saw it, noted before it is sent."""

    request_id: str
    kind: Kind
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
    stray: bytes = b""
    is_strange: bool = False
    """Whether it shows a key that nobody holds."""


@dataclass(frozen=True, slots=True)
class Run:
    """A line of an engine's journal."""

    kind: str
    request_id: str
    at: float
    engine: str
    path: str = ""
    body: str = ""
    model: str = ""
    after: int = 0
    status: int = 0
    tenant: str = ""
    has_key: bool = False


@dataclass(frozen=True, slots=True)
class StruckSpan:
    """A strike as it happened, in monotonic time."""

    strike: Strike
    target: str
    begin: float
    end: float


@dataclass(frozen=True, slots=True)
class EngineLeft:
    """An engine whose leaving the store has acknowledged."""

    engine: str
    at: float


@dataclass(frozen=True, slots=True)
class ResultSeen:
    """A batch result as one reading showed it."""

    daemon: str
    position: int
    item_id: str
    state: str
    text: str


@dataclass(slots=True)
class JobSeen:
    """A batch job as its client saw it; `denied` are daemons that said there is none, and when."""

    job_id: str
    items: dict[str, bytes]
    handed_in_at: float
    statuses: list[int] = field(default_factory=list)
    accepted_at: float = 0.0
    end_asked_at: float = 0.0
    ended_at: float = 0.0
    totals: set[int] = field(default_factory=set)
    results: list[ResultSeen] = field(default_factory=list)
    denied: list[tuple[str, float]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Sample:
    """Use of one process at a moment."""

    process: str
    at: float
    memory_mb: float
    descriptors: int
    log_bytes: int


@dataclass(slots=True)
class Evidence:
    """All observations of a soak."""

    began_at: float
    exchanges: list[Exchange] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    strikes: list[StruckSpan] = field(default_factory=list)
    left: list[EngineLeft] = field(default_factory=list)
    jobs: list[JobSeen] = field(default_factory=list)
    ends: list[ProcessEnd] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    unmet: list[tuple[str, str]] = field(default_factory=list)
    strangers: list[Exchange] = field(default_factory=list)
    """Requests with a key that nobody holds."""
    lock: threading.Lock = field(default_factory=threading.Lock)

    def is_calm(self, begin: float, end: float) -> bool:
        """Tells whether nothing but planned work touched a span."""
        return not any(
            span.begin <= end and span.end >= begin
            for span in self.strikes
            if not span.strike.is_planned
        )


def read_journal(path: Path) -> list[Run]:
    """Reads an engine's journal; a last line that is being written is left out."""
    runs: list[Run] = []
    for line in path.read_text().splitlines():
        try:
            row = json.loads(line)
        except json.JSONDecodeError:
            continue
        runs.append(
            Run(
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
            )
        )
    return runs
