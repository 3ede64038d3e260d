"""One online request in flight, its states, and the log event for its end."""

from dataclasses import dataclass, field
from enum import Enum

from troutswitch.outcomes import NOT_EXECUTED_OUTCOMES, AttemptOutcome, Completed, OnlineOutcome
from troutswitch.standalone.constants import RETRY_AFTER_SECONDS
from troutswitch.standalone.decisions.configuration.keys import ServingPolicy
from troutswitch.standalone.decisions.effects import LogEvent
from troutswitch.standalone.decisions.events import OnlineArrived


class RequestState(Enum):
    """State of an unfinished online request."""

    CLAIMING = "claiming"
    WAITING = "waiting"
    RUNNING = "running"


@dataclass(slots=True)
class OnlineRequest:
    """One online request in flight on this daemon."""

    arrival: OnlineArrived
    policy: ServingPolicy
    state: RequestState = RequestState.WAITING
    attempts: list[AttemptOutcome] = field(default_factory=list)
    attempt_id: str = ""
    engine: str = ""
    last_engine: str = ""
    sent_at: float = float("-inf")
    refused_by: set[str] = field(default_factory=set)
    position: int = 0
    wake_at: float = float("inf")
    probes_sent: bool = False
    probe_deadline: float = float("-inf")
    retry_after: float = RETRY_AFTER_SECONDS
    needs_retry_credit: bool = False
    """Whether the next attempt requires credit from the retry budget."""

    @property
    def runs(self) -> int:
        """Number of attempts that may have run on an engine."""
        return sum(kind not in NOT_EXECUTED_OUTCOMES for kind in self.attempts)

    @property
    def may_be_sent(self) -> bool:
        """Whether another attempt is allowed."""
        return self.arrival.repeatable or self.runs == 0


@dataclass
class OnlineCounts:
    """Counters for metrics and for the simulation."""

    arrived: int = 0
    completed: int = 0
    refused: int = 0
    attempts: int = 0
    retries: int = 0


def end_log_event(request: OnlineRequest, outcome: OnlineOutcome) -> LogEvent:
    """Returns the log event for the end of a request."""
    fields: dict[str, str | int | float | bool] = {
        "request_id": request.arrival.request_id,
        "tenant": request.arrival.tenant,
        "service": request.arrival.service,
        "attempts": len(request.attempts),
        "outcome": type(outcome).__name__,
        "peer": request.engine,
    }
    if not isinstance(outcome, Completed):
        fields.update(step=outcome.step.value, peer=outcome.peer, reason=outcome.reason)
    return LogEvent("request ended", fields)
