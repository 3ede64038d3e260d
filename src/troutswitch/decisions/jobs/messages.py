"""Typed events and instructions of batch jobs.

Times are in seconds. `token` identifies a client's call on this daemon, `run` a run of an item.
"""

from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import AnswerFacts, EngineLoad
from troutswitch.decisions.jobs.records import MAX_OUTPUT_BYTES, ItemResult, JobItem
from troutswitch.decisions.tenants.types import NO_KEY, NO_TENANT
from troutswitch.outcomes import AttemptOutcome

# Events.


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A client submits a job.

    In all calls about jobs, `time_left` is how long the client will still wait, `caller_key` the
    digest of its API key, and `tenant` the tenant's name, which this daemon looks up by the key.
    `has_room` tells whether this process has memory for the items.
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
    has_room: bool = True


@dataclass(frozen=True, slots=True)
class ResultsRequested:
    """A client requests a job's results from a position on."""

    token: int
    job_id: str
    position: int
    time_left: float
    caller_key: str = NO_KEY
    tenant: str = NO_TENANT


@dataclass(frozen=True, slots=True)
class BodyRequested:
    """A client requests the body of an item."""

    token: int
    job_id: str
    item_id: str
    time_left: float
    caller_key: str = NO_KEY
    tenant: str = NO_TENANT


@dataclass(frozen=True, slots=True)
class JobEndRequested:
    """A client requests the end of a job."""

    token: int
    job_id: str
    time_left: float
    caller_key: str = NO_KEY
    tenant: str = NO_TENANT


@dataclass(frozen=True, slots=True)
class OutputEvent:
    """One complete event of an item's output: its id and its data."""

    position: str
    text: str


@dataclass(frozen=True, slots=True)
class ItemBegun:
    """An engine began its response to a run, so it has read the prompt."""

    run: int


@dataclass(frozen=True, slots=True)
class ItemProgressed:
    """Events of a run's output arrived. They are reported in batches, a few times a second."""

    run: int
    events: tuple[OutputEvent, ...]


@dataclass(frozen=True, slots=True)
class ItemRunEnded:
    """A run of an item ended.

    `events` are those not reported by an `ItemProgressed`. `status` is the HTTP status of the
    response, 0 if there was none. `load` is the load that the engine reported in the response, if
    any. `wrong_instance` is set if another engine instance answered at the address.
    `is_too_long` is set if the output became longer than the instruction allowed.
    `connection_seconds` is how long the connection may be reused, 0 if it was closed. `answer` is
    how the response arrived, None without one.
    """

    run: int
    kind: AttemptOutcome
    status: int
    reason: str
    events: tuple[OutputEvent, ...]
    load: EngineLoad | None = None
    wrong_instance: bool = False
    connection_seconds: float = 0.0
    is_too_long: bool = False
    answer: AnswerFacts | None = None


# Instructions.


@dataclass(frozen=True, slots=True)
class RunItem:
    """Run an item at an engine, from the event after `resume_after`.

    `response_timeout` bounds the time for the head and then for the first event, `event_timeout`
    the time for the events after it, each counted from the last event. `max_output_bytes` bounds
    the texts of the run's events (`records.output_bytes`).
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
    max_output_bytes: int = MAX_OUTPUT_BYTES


@dataclass(frozen=True, slots=True)
class StopItem:
    """Close the connection of an item's run."""

    run: int


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """Answer: the job is accepted and stored."""


@dataclass(frozen=True, slots=True)
class JobRefused:
    """Answer: the call was not carried out.

    `status` is the HTTP status. For a submission, 429 and 503 promise that no part of the job will
    ever run. `retry_after` is in seconds; None if the response has no such header.
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
    """Answer: the end of the job is stored."""


JobAnswer = JobAccepted | JobRefused | JobResults | ItemBody | JobEnded


@dataclass(frozen=True, slots=True)
class AnswerJobCall:
    """Answer a client's call about a job."""

    token: int
    answer: JobAnswer
