"""Typed events and instructions of batch jobs.

Times are seconds. A `token` names a client's call on this daemon, a `run` one run of an item.
"""

from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import EngineLoad
from troutswitch.decisions.jobs.records import ItemResult, JobItem
from troutswitch.decisions.tenants.types import NO_KEY, NO_TENANT
from troutswitch.outcomes import AttemptOutcome

# Events.


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A client submits a job.

    In all calls about jobs, `time_left` is how long the client will wait, `caller_key` the digest
    of its API key, and `tenant` the name that this daemon finds for the key.
    """

    token: int
    job_id: str
    host: str
    path: str
    items: tuple[JobItem, ...]
    digest: str
    time_left: float
    caller_key: str = NO_KEY
    tenant: str = NO_TENANT


@dataclass(frozen=True, slots=True)
class ResultsRequested:
    """A client reads a job's results from a position on."""

    token: int
    job_id: str
    position: int
    time_left: float
    caller_key: str = NO_KEY
    tenant: str = NO_TENANT


@dataclass(frozen=True, slots=True)
class BodyRequested:
    """A client reads the body of an item."""

    token: int
    job_id: str
    item_id: str
    time_left: float
    caller_key: str = NO_KEY
    tenant: str = NO_TENANT


@dataclass(frozen=True, slots=True)
class JobEndRequested:
    """A client ends a job."""

    token: int
    job_id: str
    time_left: float
    caller_key: str = NO_KEY
    tenant: str = NO_TENANT


@dataclass(frozen=True, slots=True)
class OutputEvent:
    """The data of one whole event of an item's output, and the event's id."""

    position: str
    text: str


@dataclass(frozen=True, slots=True)
class ItemBegun:
    """An engine made the first token of a run."""

    run: int


@dataclass(frozen=True, slots=True)
class ItemProgressed:
    """Events of a run's output came; they are gathered, and sent a few times a second."""

    run: int
    events: tuple[OutputEvent, ...]


@dataclass(frozen=True, slots=True)
class ItemRunEnded:
    """A run of an item ended.

    `events` are those that no `ItemProgressed` brought. `status` is the HTTP status of the
    response, 0 if there was none. `load` is the engine's report on itself, if the response carried
    one. `wrong_instance` is set if another engine answers at the address.
    """

    run: int
    kind: AttemptOutcome
    status: int
    reason: str
    events: tuple[OutputEvent, ...]
    load: EngineLoad | None = None
    wrong_instance: bool = False


# Instructions.


@dataclass(frozen=True, slots=True)
class RunItem:
    """Run an item at an engine, from the event after `resume_after`.

    `response_timeout` bounds the wait for the first bytes of the response, `event_timeout` the
    wait for each further event.
    """

    run: int
    engine_id: str
    address: Address
    host: str
    item: JobItem
    resume_after: str
    response_timeout: float
    event_timeout: float
    tenant: str = NO_TENANT


@dataclass(frozen=True, slots=True)
class StopItem:
    """Close the connection of an item's run."""

    run: int


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """Answer: the job is kept."""


@dataclass(frozen=True, slots=True)
class JobRefused:
    """Answer: the call was not carried out.

    `status` is that of HTTP; of a submission, 429 and 503 promise that none of the job will ever
    run. `retry_after` is in seconds; None if the response has no such header.
    """

    status: int
    reason: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class JobResults:
    """Answer: results from a position on; `total` counts the job's items."""

    total: int
    position: int
    results: tuple[ItemResult, ...]


@dataclass(frozen=True, slots=True)
class ItemBody:
    """Answer: an item's body."""

    body: bytes


@dataclass(frozen=True, slots=True)
class JobEnded:
    """Answer: the job is ended."""


JobAnswer = JobAccepted | JobRefused | JobResults | ItemBody | JobEnded


@dataclass(frozen=True, slots=True)
class AnswerJobCall:
    """Answer a client's call about a job."""

    token: int
    answer: JobAnswer
