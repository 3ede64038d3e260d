"""Typed events that reach the forwarding decisions, and the instructions they give.

The gateway's threads make the events (`gateway.callers`, `gateway.engines`) and carry the
instructions out (`gateway.instruction_executor`). `token` names a request within this process,
`attempt` numbers its attempts from 1. Times are this process's clock, durations are seconds.
"""

from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import EngineLoad, PromptShape
from troutswitch.decisions.tenants.types import NO_KEY, NO_TENANT
from troutswitch.outcomes import AttemptOutcome, Cut, MayHaveRun, NotRun

# Events.


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's whole request was read.

    `request_id` is the caller's, `time_left` what it will wait. `content` names the request by
    its content (`crashes.content`), empty where nobody needs it. `read_at` is when it was read;
    infinite stands for now. `caller_key` is the digest of the key that the caller shows, empty if
    it shows none. `resume_after` is the id of the last event that the caller has, or empty.
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


@dataclass(frozen=True, slots=True)
class AnswerBegun:
    """The head of an answer to an attempt came.

    `not_run` tells that it is a rejection. Whoever has the address now may have sent it: an
    engine that crashed may have been followed there by another.
    """

    token: int
    attempt: int
    load: EngineLoad | None
    not_run: bool = False


@dataclass(frozen=True, slots=True)
class RequestAttemptEnded:
    """An attempt ended.

    `position` is the id of the last whole event delivered to the caller, or empty; `delivered`
    counts the events delivered. `status` is the HTTP status of the answer, 0 without one.
    `has_answer` tells that the relay has a whole answer of the engine that can be passed on as it
    is, `wrong_instance` that another incarnation answered at the engine's address. `longest_gap`
    is the longest pause between events.
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


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection.

    `aborted_at` is when its engine's connection was shut down, infinite if there was none.
    """

    token: int
    closed_at: float
    aborted_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class CallerGoneBeforeHandling:
    """A request was found with its connection closed by the caller, `age` seconds ago."""

    request_id: str
    age: float


@dataclass(frozen=True, slots=True)
class EngineActivity:
    """Bytes of an answer came from an engine; reported a few times a second at most."""

    engine_id: str


# Instructions.


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send the request to an engine.

    `gap_wait` bounds how long each next bytes of the answer may take after its first event,
    `first_event_wait` those after its head; `time_left` bounds the head and is sent to the
    engine as the deadline. `decided_at` is when these were computed; infinite stands for now.
    `resume_after` is the id of the last event that the caller has, or empty. `tenant` names the
    caller's tenant to the engine.
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


@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Give the caller its final answer.

    `relays_answer`: pass on the engine's whole answer, which the relay has.
    """

    token: int
    outcome: NotRun | MayHaveRun | Cut
    relays_answer: bool = False


@dataclass(frozen=True, slots=True)
class AbortAttempt:
    """Close the connection of an attempt that is no longer wanted.

    `is_silent`: nothing came on it for too long; otherwise its caller left.
    """

    token: int
    attempt: int
    is_silent: bool = False


@dataclass(frozen=True, slots=True)
class PreemptBatchItem:
    """A request was sent to an engine that has no free slot: preempt a batch item there."""

    engine_id: str
    request_id: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write one log line."""

    event: str
    fields: dict[str, object]


ForwardingInstruction = SendRequest | FinishRequest | AbortAttempt | PreemptBatchItem | LogLine
