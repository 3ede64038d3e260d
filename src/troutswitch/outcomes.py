"""Tagged outcomes of online requests and of calls by callers and operators.

Errors name the step at which they occurred and the peer involved. `NotRun` guarantees that no
engine has run any part of the request. `failure_outcome` derives this from how all attempts ended.
"""

from dataclasses import dataclass
from enum import StrEnum


class Step(StrEnum):
    """Processing step at which an outcome occurred."""

    PARSE = "parse"
    ADMIT = "admit"
    CLAIM = "claim"
    ROUTE = "route"
    DISPATCH = "dispatch"
    RELAY = "relay"
    SUBMIT = "submit"
    READ = "read"
    PUBLISH = "publish"
    DRAIN = "drain"


@dataclass(frozen=True, slots=True)
class Completed:
    """The whole answer was delivered; `length` is its number of tokens."""

    length: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was refused, and no engine ran it. `retry_after` is in seconds."""

    reason: str
    step: Step
    peer: str = ""
    retry_after: float | None = None
    status: int = 503


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """Nothing was delivered, but an engine may have run the request or the log accepted it."""

    reason: str
    step: Step
    peer: str = ""
    retry_after: float | None = None
    status: int = 504


@dataclass(frozen=True, slots=True)
class Cut:
    """Only part of the answer was delivered, up to token `position`."""

    reason: str
    position: int
    step: Step
    peer: str = ""


OnlineOutcome = Completed | NotRun | MayHaveRun | Cut


class AttemptOutcome(StrEnum):
    """How one attempt on an engine ended."""

    COMPLETED = "completed"
    REFUSED = "refused"  # the engine answered that it did not run the request
    UNREACHABLE = "unreachable"  # no connection was established, so nothing was sent
    CUT = "cut"  # the connection or the answer was lost after sending
    CANCELLED = "cancelled"  # cancelled by this daemon
    REJECTED = "rejected"  # the request is invalid: the engine will never run it


NOT_EXECUTED_OUTCOMES = frozenset(
    {AttemptOutcome.REFUSED, AttemptOutcome.UNREACHABLE, AttemptOutcome.REJECTED}
)
"""Outcomes after which it is certain that the engine did not run the attempt."""


def failure_outcome(
    attempts: list[AttemptOutcome],
    position: int,
    reason: str,
    step: Step,
    peer: str,
    retry_after: float,
) -> NotRun | MayHaveRun | Cut:
    """Returns the outcome of a request that is given up.

    Args:
        attempts: outcomes of all attempts, in order.
        position: number of tokens already delivered to the caller.
        reason: why the request is given up.
        step: step at which it is given up.
        peer: engine of the last attempt, or empty.
        retry_after: seconds after which the caller should retry.

    Returns:
        `Cut` if tokens were delivered, `MayHaveRun` if any attempt may have run,
        otherwise `NotRun`.
    """
    if position > 0:
        return Cut(reason, position, step, peer)
    if any(kind not in NOT_EXECUTED_OUTCOMES for kind in attempts):
        return MayHaveRun(reason, step, peer, retry_after)
    return NotRun(reason, step, peer, retry_after)
