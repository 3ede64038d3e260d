"""One open request: its state, and the results of its attempts.

`requests`, `placing` and `open_requests` change its state; `attempts` fills in the running attempt.
Relies on the route of the request and on its arrival event.
"""

from dataclasses import dataclass, field
from enum import Enum

from troutswitch.decisions.forwarding.engine import NO_SIZE, RequestSize
from troutswitch.decisions.forwarding.messages import RequestArrived
from troutswitch.decisions.forwarding.types import Route
from troutswitch.decisions.tenants.quota import NOT_COUNTED, QuotaResult
from troutswitch.decisions.tenants.types import NO_TENANT
from troutswitch.outcomes import NOT_EXECUTED_OUTCOMES, AttemptOutcome


class RequestState(Enum):
    """State of a request; `requests` documents the transitions."""

    LOCATING = "locating"
    """It resumes a stream, and the version that began the stream is being searched."""
    PLACING = "placing"
    """An engine is being chosen."""
    WAITING = "waiting for capacity"
    """No engine can take the request now; its placement is retried at `retry_at`."""
    COUNTING = "awaiting quota"
    """A further attempt is being counted against the tenant's quota."""
    RUNNING = "running"
    """An attempt is in flight."""


@dataclass(slots=True)
class ForwardedRequest:
    """One open request of this daemon. Times are this process's clock, in seconds."""

    arrival: RequestArrived
    route: Route
    service: str
    deadline: float
    """When the client stops waiting."""
    time_limit_at: float
    """When the route's time limit ends."""
    state: RequestState = RequestState.PLACING
    crash_keys: tuple[str, ...] = ()
    """Keys under which crashes count: of its content, and of the shared parts of its prompt."""
    tenant: str = NO_TENANT
    admitted_version: int = -1
    """Version of the configuration that `route` comes from."""
    quota: QuotaResult = NOT_COUNTED
    """The decision on the quota by which it was admitted."""
    quota_seconds: float = 0.0
    """Time that this decision took."""
    longest_wait: float = float("inf")
    """Longest wait for a slot, in seconds, with which it is sent for the first time."""
    priority: int = 0
    """Its tenant's priority, else its route's; 0 is the highest."""
    objective_at: float = float("inf")
    """Latest time of a slot with which it meets its objective; negative infinity if it can't."""
    is_returned: bool = False
    """Whether its caller was refused before."""
    is_denied: bool = False
    """Whether a coordinator denied it a slot and it is sent anyway, as it may have run."""

    # Attempts so far.
    first_sent_at: float = float("inf")
    """When its first attempt started."""
    ended_attempts: list[AttemptOutcome] = field(default_factory=list)
    """How its attempts ended, in order."""
    tried: set[str] = field(default_factory=set)
    """Engines that it was sent to and that are no candidates for that reason."""
    rejected_by: set[str] = field(default_factory=set)
    """Engines in `tried` that rejected it without running it."""
    position: str = ""
    """Id of the last complete event delivered to the client."""
    delivered: int = 0
    """Number of events delivered to the client."""
    origin: int | None = None
    """Key of the only engine version that may continue the stream; None if any version may."""
    needs_retry_budget: bool = False
    """Whether the next attempt takes from the retry budget."""
    needs_quota: bool = False
    """Whether the next attempt counts against the tenant's quota."""
    failure_reason: str = ""
    """Why its last attempt failed, while the next one is being counted."""

    # The newest attempt.
    attempt: int = 0
    """Ordinal of the newest attempt, from 1; 0 before the first."""
    engine_id: str = ""
    engine_version: str = ""
    """Software version of that engine."""
    size: RequestSize = NO_SIZE
    sent_at: float = 0.0
    answer_began_at: float = float("inf")
    was_queued: bool = False
    """Whether all slots of the engine seemed taken when it was sent."""

    # Waiting for capacity.
    retry_at: float = float("inf")
    """When the placement of a waiting request is retried; infinite in other states."""
    waits: int = 0
    """Number of times that it waited because no engine could take it."""
    was_delayed: bool = False
    """Whether it waited because it would be late."""

    @property
    def is_running(self) -> bool:
        """Whether an attempt is in flight."""
        return self.state is RequestState.RUNNING

    @property
    def begins_stream(self) -> bool:
        """Whether its next attempt begins a stream that can be resumed at other daemons."""
        return self.route.is_resumable and self.origin is None and not self.position

    @property
    def arrived_at(self) -> float:
        """When this daemon admitted the request."""
        return self.time_limit_at - self.route.time_limit

    @property
    def ends_at(self) -> float:
        """The latest time of the request's final answer."""
        return min(self.deadline, self.time_limit_at)

    @property
    def due_at(self) -> float:
        """When a timer of the request is due."""
        return min(self.ends_at, self.retry_at)

    @property
    def possible_runs(self) -> int:
        """Number of ended attempts that may have run at an engine."""
        return sum(kind not in NOT_EXECUTED_OUTCOMES for kind in self.ended_attempts)

    @property
    def may_be_refused(self) -> bool:
        """Whether it was never sent to an engine, also not before its stream was cut."""
        return not self.ended_attempts and not self.arrival.resume_after

    @property
    def may_retry(self) -> bool:
        """Whether another attempt is allowed if the one in flight may have run.

        Rejections don't count as attempts. If they did, a request with one run and a few rejections
        would stay at a silent engine until its deadline.
        """
        return self.route.is_repeatable and self.possible_runs + 1 < self.route.max_attempts

    def state_text(self, now: float) -> str:
        """Returns the request's state for logs, and whether the answer of a running one began."""
        if not self.is_running:
            return self.state.value
        return "answer begun" if self.answer_began_at <= now else "sent"
