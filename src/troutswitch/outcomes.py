"""Tagged outcomes of online requests and of calls by callers and operators.

Errors carry the step at which they arose and the peer that was involved.
`NotRun` is a promise: no engine has run any part of the request. It is built
only by `failure_outcome` from the evidence of all attempts.
"""

from dataclasses import dataclass
from enum import StrEnum


class Step(StrEnum):
    """Step of the path at which an outcome arose."""

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
    """The whole answer was delivered; `length` is its tokens."""

    length: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """Refused, and certain not to have run. `retry_after` is in seconds."""

    reason: str
    step: Step
    peer: str = ""
    retry_after: float | None = None
    status: int = 503


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """Nothing was delivered, but an engine or the log may have taken the request."""

    reason: str
    step: Step
    peer: str = ""
    retry_after: float | None = None
    status: int = 504


@dataclass(frozen=True, slots=True)
class Cut:
    """Part of the answer was delivered; it ends at token `position` and is not whole."""

    reason: str
    position: int
    step: Step
    peer: str = ""


OnlineOutcome = Completed | NotRun | MayHaveRun | Cut


class AttemptOutcome(StrEnum):
    """How one attempt on an engine ended."""

    COMPLETED = "completed"
    REFUSED = "refused"  # the engine said that it did not run it
    UNREACHABLE = "unreachable"  # no connection was made, so nothing was sent
    CUT = "cut"  # sent, then the connection or the answer was lost
    CANCELLED = "cancelled"  # cancelled by us
    REJECTED = "rejected"  # the engine will never run it: the request is at fault


NOT_EXECUTED_OUTCOMES = frozenset(
    {AttemptOutcome.REFUSED, AttemptOutcome.UNREACHABLE, AttemptOutcome.REJECTED}
)
"""Attempt endings after which it is certain that the engine ran nothing."""


def failure_outcome(
    attempts: list[AttemptOutcome],
    position: int,
    reason: str,
    step: Step,
    peer: str,
    retry_after: float,
) -> NotRun | MayHaveRun | Cut:
    """Builds the outcome of a request that is given up.

    Args:
        attempts: endings of all attempts made, in order.
        position: tokens already delivered to the caller.
        reason: why the request is given up.
        step: step at which it is given up.
        peer: engine of the last attempt, or empty.
        retry_after: seconds after which the caller should ask again.

    Returns:
        `Cut` if tokens were delivered, `MayHaveRun` if any attempt may have run,
        otherwise `NotRun`.
    """
    if position > 0:
        return Cut(reason, position, step, peer)
    if any(kind not in NOT_EXECUTED_OUTCOMES for kind in attempts):
        return MayHaveRun(reason, step, peer, retry_after)
    return NotRun(reason, step, peer, retry_after)
