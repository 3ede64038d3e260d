"""Typed effects that the decision modules emit and a runtime executes."""

from dataclasses import dataclass, field

from troutswitch.common import Address
from troutswitch.outcomes import OnlineOutcome, Step
from troutswitch.standalone.daemons.messages import Message
from troutswitch.standalone.decisions.views import (
    Directory,
    EffectiveView,
    HistoryView,
    StatusView,
    TreeView,
)
from troutswitch.standalone.log_service.records import BatchItem


@dataclass(frozen=True, slots=True)
class AppendToLog:
    """Append one entry; answered by `LogAppended` or `LogAppendFailed`."""

    stream: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read entries; answered by `LogRead` or `LogReadFailed`.

    `offset` -1 requests the last entry of the stream.
    """

    token: int
    stream: str
    offset: int
    limit: int


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a message to a peer; delivery is not guaranteed."""

    address: Address
    message: Message


@dataclass(frozen=True, slots=True)
class ReadMachineList:
    """Read the machine list; answered by `MachineListRead`."""


@dataclass(frozen=True, slots=True)
class PollEngine:
    """Request an engine's load; answered by `EngineLoadRead`."""

    engine: str
    address: Address


@dataclass(frozen=True, slots=True)
class StartOnlineAttempt:
    """Send an online request to an engine, which continues at token `position`."""

    request_id: str
    attempt_id: str
    engine: str
    address: Address
    incarnation: str
    position: int
    time_limit: float


@dataclass(frozen=True, slots=True)
class FinishOnline:
    """Give the caller the final answer of a request that has ended."""

    request_id: str
    outcome: OnlineOutcome


@dataclass(frozen=True, slots=True)
class StartBatchAttempt:
    """Run a batch item; answered by `BatchAttemptEnded`.

    A lower `priority` runs first. The engine continues at token `position`, after the
    `text_so_far` of an earlier attempt.
    """

    attempt_id: str
    engine: str
    address: Address
    incarnation: str
    job_id: str
    item: BatchItem
    priority: int
    position: int = 0
    text_so_far: str = ""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt on an engine; the end of the attempt is still reported."""

    attempt_id: str
    address: Address


@dataclass(frozen=True, slots=True)
class JobView:
    """State of a job as reported to callers; times are in seconds since the epoch."""

    job_id: str
    status: str
    service: str
    total: int
    completed: int
    failed: int
    created_at: float
    deadline: float
    duplicate: bool = False


@dataclass(frozen=True, slots=True)
class ItemResult:
    """Result of one item as reported to callers."""

    index: int
    custom_id: str
    outcome: str
    body: str


@dataclass(frozen=True, slots=True)
class JobResults:
    """Results in item order; the next read starts at `next_index`, None at the end."""

    job_id: str
    results: tuple[ItemResult, ...]
    next_index: int | None


@dataclass(frozen=True, slots=True)
class PublicationVerdict:
    """Verdict on a publication.

    `version` is the version of an accepted publication, or the one that stays in force.
    """

    accepted: bool
    version: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class CallRefused:
    """Failure of a call by a caller or operator; if `not_run` is True, nothing changed."""

    reason: str
    step: Step
    status: int
    not_run: bool
    peer: str = ""
    retry_after: float | None = None


CallAnswer = (
    JobView
    | JobResults
    | PublicationVerdict
    | CallRefused
    | StatusView
    | EffectiveView
    | TreeView
    | HistoryView
)


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """Answer the call identified by `token`."""

    token: str
    answer: CallAnswer


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One line for the daemon's own log, used for lifecycle events only."""

    event: str
    fields: dict[str, str | int | float | bool] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DirectoryChanged:
    """Replace the directory that the callers' threads use."""

    directory: Directory


@dataclass(frozen=True, slots=True)
class Drained:
    """All work has ended and all shards are released; the process may exit."""


Effect = (
    AppendToLog
    | ReadLog
    | SendDatagram
    | ReadMachineList
    | PollEngine
    | StartOnlineAttempt
    | FinishOnline
    | StartBatchAttempt
    | CancelAttempt
    | AnswerCall
    | LogEvent
    | DirectoryChanged
    | Drained
)
