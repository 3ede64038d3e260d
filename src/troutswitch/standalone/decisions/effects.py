"""Typed effects that leave the decision modules; a runtime carries them out."""

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

    `offset` -1 asks for the last entry of the stream.
    """

    token: int
    stream: str
    offset: int
    limit: int


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a message to a peer; it may be lost."""

    address: Address
    message: Message


@dataclass(frozen=True, slots=True)
class ReadMachineList:
    """Read the machine list; answered by `MachineListRead`."""


@dataclass(frozen=True, slots=True)
class PollEngine:
    """Ask an engine for its load; answered by `EngineLoadRead`."""

    engine: str
    address: Address


@dataclass(frozen=True, slots=True)
class StartOnlineAttempt:
    """Send an online request to an engine, continuing at token `position`."""

    request_id: str
    attempt_id: str
    engine: str
    address: Address
    incarnation: str
    position: int
    time_limit: float


@dataclass(frozen=True, slots=True)
class FinishOnline:
    """The request is over; the caller gets its final answer now."""

    request_id: str
    outcome: OnlineOutcome


@dataclass(frozen=True, slots=True)
class StartBatchAttempt:
    """Run a batch item; answered by `BatchAttemptEnded`. Lower `priority` runs first.

    The engine goes on at token `position`, after `text_so_far` of an earlier attempt.
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
    """Cancel an attempt on an engine; the attempt's own end is still reported."""

    attempt_id: str
    address: Address


@dataclass(frozen=True, slots=True)
class JobView:
    """State of a job as told to callers. Times are in seconds since the epoch."""

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
    """Result of one item as told to callers."""

    index: int
    custom_id: str
    outcome: str
    body: str


@dataclass(frozen=True, slots=True)
class JobResults:
    """Results in item order; `next_index` is where the next read goes on, None at the end."""

    job_id: str
    results: tuple[ItemResult, ...]
    next_index: int | None


@dataclass(frozen=True, slots=True)
class PublicationVerdict:
    """Whether a publication was accepted, and as which version."""

    accepted: bool
    version: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class CallRefused:
    """A call by a caller or operator failed. `not_run` True means nothing was changed."""

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
    """Answers the call named by `token`."""

    token: str
    answer: CallAnswer


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One line for the daemon's own log, for lifecycle events only."""

    event: str
    fields: dict[str, str | int | float | bool] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DirectoryChanged:
    """The callers' threads must use this directory from now on."""

    directory: Directory


@dataclass(frozen=True, slots=True)
class Drained:
    """Every request and lease is settled; the process may end."""


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
