"""Events that the forwarding decisions handle, and instructions that they return.

The gateway's threads create the events (`gateway.callers`, `gateway.engines`) and execute the
instructions (`gateway.instruction_executor`). `token` identifies a request within this process,
`attempt` is the ordinal of an attempt, from 1. Times are this process's clock, durations are
seconds.
"""

from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import AnswerFacts, EngineLoad, PromptShape
from troutswitch.decisions.tenants.types import NO_KEY, NO_TENANT
from troutswitch.outcomes import AttemptOutcome, Cut, MayHaveRun, NotRun

# Events.


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request of a caller was read completely.

    `request_id` is the caller's id, `time_left` is how long the caller will wait. `content` is a
    name derived from the request's content (`crashes.content`), or empty if it is not needed.
    `read_at` is when the request was read; infinite stands for now. `caller_key` is the digest of
    the caller's key, or empty if it sent none. `resume_after` is the id of the last event that the
    caller has received, or empty. `resumed_id` is the id of the request that brought the first
    event of a resumed stream, or empty if the caller does not name it.
    """

    token: int
    request_id: str
    host: str
    path: str
    time_left: float
    prompt: PromptShape
    resume_after: str = ""
    content: str = ""
    read_at: float = float("inf")
    caller_key: str = NO_KEY
    resumed_id: str = ""


@dataclass(frozen=True, slots=True)
class AnswerBegun:
    """The head of an answer to an attempt was received.

    `not_run` is set if the answer is a rejection. It may come from another engine than the one that
    the request was sent to: after a crash, another may have the same address.
    """

    token: int
    attempt: int
    load: EngineLoad | None
    not_run: bool = False


@dataclass(frozen=True, slots=True)
class RequestAttemptEnded:
    """An attempt ended.

    `position` is the id of the last complete event delivered to the caller, or empty; `delivered`
    is the number of events delivered. `status` is the HTTP status of the answer, or 0 without one.
    `has_answer` is set if the relay has a complete answer of the engine that can be relayed
    unchanged, `wrong_instance` if another incarnation answered at the engine's address.
    `longest_gap` is the longest pause between events. `connection_seconds` is how long its
    connection may be reused, 0 if it was closed. `began_version` is the software version of the
    engine that brought the first of the delivered events, or empty without one. `answer` is how the
    answer arrived, None without one.
    """

    token: int
    attempt: int
    kind: AttemptOutcome
    reason: str = ""
    position: str = ""
    delivered: int = 0
    status: int = 0
    load: EngineLoad | None = None
    retry_after: float | None = None
    wrong_instance: bool = False
    has_answer: bool = False
    longest_gap: float = 0.0
    connection_seconds: float = 0.0
    began_version: str = ""
    answer: AnswerFacts | None = None


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection.

    `aborted_at` is when the connection to its engine was shut down; infinite if there was none.
    """

    token: int
    closed_at: float
    aborted_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class CallerGoneBeforeHandling:
    """A caller closed its connection `age` seconds ago, before its request was handled."""

    request_id: str
    age: float


@dataclass(frozen=True, slots=True)
class EngineActivity:
    """Bytes of an answer were received from an engine; reported a few times a second at most."""

    engine_id: str


# Instructions.


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send the request to an engine.

    `time_left` is the timeout for the head of the answer, and is sent to the engine as the
    deadline. `first_event_wait` is the timeout for the first event after the head, `gap_wait` the
    timeout for each following event. `decided_at` is when these were computed; infinite stands for
    now. `resume_after` is the id of the last event that the caller has received, or empty. `tenant`
    is the caller's tenant, which is sent to the engine. `engine_version` is the engine's software
    version. `expects_stream` is set if a success must be a stream of events.
    """

    token: int
    attempt: int
    engine_id: str
    address: Address
    time_left: float
    gap_wait: float
    resume_after: str
    first_event_wait: float = float("inf")
    decided_at: float = float("inf")
    tenant: str = NO_TENANT
    engine_version: str = ""
    expects_stream: bool = False


@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Give the caller its final answer.

    With `relays_answer`, the caller gets the engine's complete answer, which the relay has.
    """

    token: int
    outcome: NotRun | MayHaveRun | Cut
    relays_answer: bool = False


@dataclass(frozen=True, slots=True)
class AbortAttempt:
    """Close the connection of an attempt that is no longer wanted.

    `is_silent` is set if the attempt was abandoned for silence or timed out, but not if its caller
    disconnected or it is refused for crashes.
    """

    token: int
    attempt: int
    is_silent: bool = False


@dataclass(frozen=True, slots=True)
class PreemptBatchItem:
    """Preempt a batch item at an engine without a free slot, to which a request was sent."""

    engine_id: str
    request_id: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write one log line."""

    event: str
    fields: dict[str, object]


ForwardingInstruction = SendRequest | FinishRequest | AbortAttempt | PreemptBatchItem | LogLine
