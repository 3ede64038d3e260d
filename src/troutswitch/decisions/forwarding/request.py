"""One forwarded request in flight: its state, and what its attempts have come to.

Owned by `requests.ForwardedRequests`, which alone changes the state; `attempts` fills in the
running attempt. Relies on the route of the request and on its arrival event.
"""

from dataclasses import dataclass, field
from enum import Enum

from troutswitch.decisions.forwarding.engine import NO_SIZE, RequestSize
from troutswitch.decisions.forwarding.messages import RequestArrived
from troutswitch.decisions.forwarding.types import Route
from troutswitch.decisions.tenants.types import NO_TENANT
from troutswitch.outcomes import NOT_EXECUTED_OUTCOMES, AttemptOutcome


class RequestState(Enum):
    """State of a request; `requests` shows the moves between them."""

    PLACING = "placing"
    """An engine is being chosen."""
    WAITING = "waiting for capacity"
    """No engine can take it now; it asks again at `retry_at`."""
    RUNNING = "running"
    """An attempt is in flight."""


@dataclass(slots=True)
class ForwardedRequest:
    """One request in flight on this daemon. Times are this process's clock, in seconds."""

    arrival: RequestArrived
    route: Route
    service: str
    deadline: float
    """When the client stops to wait."""
    time_limit_at: float
    """When the route's time limit ends."""
    state: RequestState = RequestState.PLACING
    tenant: str = NO_TENANT
    admitted_version: int = -1
    """Version of the configuration by whose route it goes."""
    longest_wait: float = float("inf")
    """Wait for a slot with which it is sent, in seconds, while it has not been sent."""

    # Attempts so far.
    ended_attempts: list[AttemptOutcome] = field(default_factory=list)
    """How its attempts ended, in order."""
    tried: set[str] = field(default_factory=set)
    """Engines that it was sent to, but for those whose rejection was forgotten."""
    rejected_by: set[str] = field(default_factory=set)
    """Those of them that rejected it unrun."""
    position: str = ""
    """Id of the last whole event delivered to the client."""
    delivered: int = 0
    """Events delivered to the client."""
    needs_retry_budget: bool = False
    """Whether the next attempt must first be taken from the retry budget."""

    # The newest attempt.
    attempt: int = 0
    """Its number, from 1; 0 before the first."""
    engine_id: str = ""
    size: RequestSize = NO_SIZE
    sent_at: float = 0.0
    answer_began_at: float = float("inf")
    was_queued: bool = False
    """Whether all slots of the engine seemed taken when it was sent."""

    # Waiting for capacity.
    retry_at: float = float("inf")
    """When a waiting request asks again for an engine; infinite in other states."""
    waits: int = 0
    """Times for which it waited as no engine could take it."""
    was_delayed: bool = False
    """Whether it waited as it would be late."""

    @property
    def is_running(self) -> bool:
        """Whether an attempt is in flight."""
        return self.state is RequestState.RUNNING

    @property
    def arrived_at(self) -> float:
        """When the request reached this daemon."""
        return self.time_limit_at - self.route.time_limit

    @property
    def ends_at(self) -> float:
        """When the request gets its final answer at the latest."""
        return min(self.deadline, self.time_limit_at)

    @property
    def due_at(self) -> float:
        """When something is to be done for the request whether or not an event comes."""
        return min(self.ends_at, self.retry_at)

    @property
    def possible_runs(self) -> int:
        """Ended attempts that may have run at an engine."""
        return sum(kind not in NOT_EXECUTED_OUTCOMES for kind in self.ended_attempts)

    @property
    def may_retry(self) -> bool:
        """Whether another attempt is allowed if the one in flight may have run.

        Rejections don't count: otherwise a request with one run and a few rejections would stay
        with a silent engine until its deadline.
        """
        return self.route.is_repeatable and self.possible_runs + 1 < self.route.max_attempts

    def state_text(self, now: float) -> str:
        """Returns the request's state for logs; a running one by whether its answer began."""
        if not self.is_running:
            return self.state.value
        return "answer begun" if self.answer_began_at <= now else "sent"
