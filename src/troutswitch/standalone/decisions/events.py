"""Typed events that enter the decision modules.

Times are in seconds on the clock that is handed in with each step.
"""

from dataclasses import dataclass, field

from troutswitch.common import Address
from troutswitch.outcomes import AttemptOutcome
from troutswitch.standalone.daemons.messages import Message
from troutswitch.standalone.log_service.records import BatchItem, ConfigurationChange


@dataclass(frozen=True, slots=True)
class LogAppended:
    """An append was confirmed; the entry stands at `offset`."""

    stream: str
    offset: int


@dataclass(frozen=True, slots=True)
class LogAppendFailed:
    """An append was not confirmed; it may have taken effect all the same."""

    stream: str
    reason: str


@dataclass(frozen=True, slots=True)
class LogRead:
    """Entries from `offset` on, in order, and the tail offset of the stream."""

    token: int
    stream: str
    offset: int
    entries: tuple[bytes, ...]
    tail: int


@dataclass(frozen=True, slots=True)
class LogReadFailed:
    """A read was not answered."""

    token: int
    stream: str
    reason: str


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    """An authenticated message from a peer."""

    sender: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Machine:
    """One row of the machine list. `kind` is "engine" or "daemon"."""

    name: str
    kind: str
    address: Address
    zone: str
    service: str = ""
    incarnation: str = ""
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class MachineListRead:
    """The machine list, or None if it could not be read."""

    machines: tuple[Machine, ...] | None


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load that an engine reports of itself; it lags."""

    incarnation: str
    slots: int
    running_online: int
    running_batch: int
    waiting_online: int
    waiting_batch: int
    leaving: bool = False
    cache_sequence: int = 0


@dataclass(frozen=True, slots=True)
class EngineLoadRead:
    """Answer to a load poll, or None if the engine did not answer."""

    engine: str
    load: EngineLoad | None


@dataclass(frozen=True, slots=True)
class OnlineArrived:
    """A caller's online request. `deadline` is absolute; `once_key` may be empty."""

    request_id: str
    tenant: str
    service: str
    prompt_tokens: int
    max_tokens: int
    prefix: str
    deadline: float
    repeatable: bool = True
    once_key: str = ""


@dataclass(frozen=True, slots=True)
class OnlineFirstToken:
    """The first token of an attempt reached the relay; `leaving` as the engine said."""

    request_id: str
    attempt_id: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class OnlineAttemptEnded:
    """An online attempt ended; `position` tokens have been delivered in all."""

    request_id: str
    attempt_id: str
    kind: AttemptOutcome
    position: int
    reason: str = ""
    retry_after: float | None = None
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class OnlineAbandoned:
    """The caller went away."""

    request_id: str


@dataclass(frozen=True, slots=True)
class BatchAttemptEnded:
    """A batch attempt ended; `body` is the answer if it completed, else the reason.

    If it did not complete, `partial` is the answer's text up to token `position`.
    """

    attempt_id: str
    kind: AttemptOutcome
    body: str
    leaving: bool = False
    position: int = 0
    partial: str = ""


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A caller submits a batch job. `token` names the call; `key` may be empty.

    `content_digest` is made on the caller's thread, as it takes long for a large job.
    """

    token: str
    tenant: str
    service: str
    key: str
    content_digest: str
    items: tuple[BatchItem, ...]
    deadline: float
    repeatable: bool = True
    call_deadline: float = field(default=float("inf"))


@dataclass(frozen=True, slots=True)
class JobStatusRequested:
    """A caller asks for a job's state."""

    token: str
    tenant: str
    job_id: str
    call_deadline: float


@dataclass(frozen=True, slots=True)
class JobCancelRequested:
    """A caller cancels a job."""

    token: str
    tenant: str
    job_id: str
    call_deadline: float


@dataclass(frozen=True, slots=True)
class JobResultsRequested:
    """A caller reads up to `limit` results from item index `first` on."""

    token: str
    tenant: str
    job_id: str
    first: int
    limit: int
    call_deadline: float


@dataclass(frozen=True, slots=True)
class ConfigurationSubmitted:
    """An operator publishes a change set."""

    token: str
    publication_id: str
    author: str
    message: str
    base_version: int
    changes: tuple[ConfigurationChange, ...]
    call_deadline: float


@dataclass(frozen=True, slots=True)
class StatusRequested:
    """An operator asks for the daemon's state."""

    token: str


@dataclass(frozen=True, slots=True)
class EffectiveConfigurationRequested:
    """An operator asks for the effective configuration."""

    token: str
    zone: str
    service: str
    tenant: str


@dataclass(frozen=True, slots=True)
class ConfigurationTreeRequested:
    """An operator asks for all overrides."""

    token: str


@dataclass(frozen=True, slots=True)
class PublicationHistoryRequested:
    """An operator asks for the newest `limit` publications."""

    token: str
    limit: int


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The daemon is to stop as planned."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A time that `next_due` named has come."""


Event = (
    LogAppended
    | LogAppendFailed
    | LogRead
    | LogReadFailed
    | DatagramReceived
    | MachineListRead
    | EngineLoadRead
    | OnlineArrived
    | OnlineFirstToken
    | OnlineAttemptEnded
    | OnlineAbandoned
    | BatchAttemptEnded
    | JobSubmitted
    | JobStatusRequested
    | JobCancelRequested
    | JobResultsRequested
    | ConfigurationSubmitted
    | StatusRequested
    | EffectiveConfigurationRequested
    | ConfigurationTreeRequested
    | PublicationHistoryRequested
    | DrainRequested
    | TimerFired
)
