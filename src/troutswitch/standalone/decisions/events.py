"""Typed events that the decision modules handle.

Times are in seconds on the clock whose value is passed to each step.
"""

from dataclasses import dataclass, field

from troutswitch.common import Address
from troutswitch.outcomes import AttemptOutcome
from troutswitch.standalone.daemons.messages import Message
from troutswitch.standalone.log_service.records import BatchItem, ConfigurationChange


@dataclass(frozen=True, slots=True)
class LogAppended:
    """An append was confirmed; the entry is at `offset`."""

    stream: str
    offset: int


@dataclass(frozen=True, slots=True)
class LogAppendFailed:
    """An append was not confirmed; it may nevertheless have taken effect."""

    stream: str
    reason: str


@dataclass(frozen=True, slots=True)
class LogRead:
    """Consecutive entries starting at `offset`, and the tail offset of the stream."""

    token: int
    stream: str
    offset: int
    entries: tuple[bytes, ...]
    tail: int


@dataclass(frozen=True, slots=True)
class LogReadFailed:
    """A log read failed."""

    token: int
    stream: str
    reason: str


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    """An authenticated message from a peer was received."""

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
    """The machine list; `machines` is None if it could not be read."""

    machines: tuple[Machine, ...] | None


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load reported by an engine; it lags behind the actual load."""

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
    """The answer to a load poll; `load` is None if the engine did not answer."""

    engine: str
    load: EngineLoad | None


@dataclass(frozen=True, slots=True)
class OnlineArrived:
    """An online request arrived; `deadline` is absolute and `once_key` may be empty."""

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
    """The first token of an attempt reached the relay.

    `leaving` is whether the engine reported that it is leaving.
    """

    request_id: str
    attempt_id: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class OnlineAttemptEnded:
    """An online attempt ended; `position` counts the tokens delivered in total."""

    request_id: str
    attempt_id: str
    kind: AttemptOutcome
    position: int
    reason: str = ""
    retry_after: float | None = None
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class OnlineAbandoned:
    """The caller closed its connection."""

    request_id: str


@dataclass(frozen=True, slots=True)
class BatchAttemptEnded:
    """A batch attempt ended; `body` is the answer if it completed, otherwise the reason.

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
    """A caller submits a batch job; `token` identifies the call and `key` may be empty.

    The caller's thread computes `content_digest`, because it takes long for a large job.
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
    """A caller requests the state of a job."""

    token: str
    tenant: str
    job_id: str
    call_deadline: float


@dataclass(frozen=True, slots=True)
class JobCancelRequested:
    """A caller requests the cancellation of a job."""

    token: str
    tenant: str
    job_id: str
    call_deadline: float


@dataclass(frozen=True, slots=True)
class JobResultsRequested:
    """A caller requests up to `limit` results, starting at item index `first`."""

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
    """An operator requests the state of the daemon."""

    token: str


@dataclass(frozen=True, slots=True)
class EffectiveConfigurationRequested:
    """An operator requests the effective configuration."""

    token: str
    zone: str
    service: str
    tenant: str


@dataclass(frozen=True, slots=True)
class ConfigurationTreeRequested:
    """An operator requests all overrides."""

    token: str


@dataclass(frozen=True, slots=True)
class PublicationHistoryRequested:
    """An operator requests the newest `limit` publications."""

    token: str
    limit: int


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """A planned stop of the daemon was requested."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time that `next_due` returned has been reached."""


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
