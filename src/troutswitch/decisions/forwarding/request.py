"""One forwarded request in flight, and how long its engine may stay silent."""

from dataclasses import dataclass, field

from troutswitch.decisions.forwarding.engines import NO_SIZE, Engine, RequestSize
from troutswitch.decisions.forwarding.messages import RequestArrived
from troutswitch.decisions.forwarding.types import Route
from troutswitch.decisions.tenants.types import NO_TENANT
from troutswitch.outcomes import RAN_NOTHING, AttemptKind

SUSPECT_LEAST_SECONDS = 0.4
"""Least time without a first event, and without any byte of the engine, before another
engine is tried."""
SUSPECT_OBJECTIVES = 1.0
"""The same time in objectives of the route."""
HUNG_SUSPECTS = 5.0
"""The time for the first event in these units after which a request is taken for hung,
although the engine answers others."""
GAP_WAIT_LEAST_SECONDS = 0.3
"""Least time between events before a resumable stream goes on elsewhere."""
GAP_WAIT_LIMITS = 2.0
"""The same time in pauses that the route allows."""


@dataclass(slots=True)
class ForwardedRequest:
    """One request in flight on this daemon. Times are this process's clock."""

    arrival: RequestArrived
    route: Route
    service: str
    deadline: float
    limit_at: float
    attempt: int = 0
    engine_id: str = ""
    kinds: list[AttemptKind] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    """Engines that it was sent to, but for those whose rejection was forgotten."""
    rejected_by: set[str] = field(default_factory=set)
    """Those of them that rejected it unrun."""
    position: str = ""
    delivered: int = 0
    size: RequestSize = NO_SIZE
    began_at: float = float("inf")
    sent_at: float = 0.0
    waited: bool = False
    is_placing: bool = False
    longest_wait: float = float("inf")
    waits_until: float = float("inf")
    """When a request that waits for room is offered again; infinite if none is awaited."""
    waits: int = 0
    """Times for which it waited for room."""
    is_held: bool = False
    """Whether the request is late anyway and waits for a slot that is free."""
    tenant: str = NO_TENANT
    owes_retry: bool = False
    """Whether the next attempt must first be taken from the retry budget."""

    def state(self, now: float) -> str:
        """Returns the request's state in words, for logs."""
        if self.is_placing:
            return "waiting for room" if self.waits_until < float("inf") else "wanting a place"
        return "answer begun" if self.began_at <= now else "sent"

    @property
    def due_at(self) -> float:
        """When something is to be done for the request whether or not an event comes."""
        return min(self.ends_at, self.waits_until)

    @property
    def arrived_at(self) -> float:
        """When the request reached this daemon."""
        return self.limit_at - self.route.time_limit

    @property
    def may_wait_for_room(self) -> bool:
        """Whether the request waits where no engine can take it now.

        One that has run nowhere is refused instead, with a time to come back. One that may
        have run can't be, and would only be cut: it was, with 4.3 of 5 s left, where engines
        that had just rejected it as full had room a tenth of a second later.
        """
        return self.runs > 0

    @property
    def ends_at(self) -> float:
        """When the request gets its final answer at the latest."""
        return min(self.deadline, self.limit_at)

    @property
    def runs(self) -> int:
        """Attempts that may have run at an engine."""
        return sum(kind not in RAN_NOTHING for kind in self.kinds)

    @property
    def may_try_again(self) -> bool:
        """Whether another attempt is allowed if the one in flight may have run.

        Rejections don't count: after one run and two rejections, of three attempts allowed, a
        engine that fell silent was kept until the deadline (tests in test_rejections.py).
        """
        return self.route.is_repeatable and self.runs + 1 < self.route.attempts_most

    def gap_wait(self, now: float) -> float:
        """Returns the seconds that each next event may take, before the attempt is left."""
        left = self.ends_at - now
        if not self.may_try_again:
            return left
        return min(left, max(GAP_WAIT_LEAST_SECONDS, GAP_WAIT_LIMITS * self.route.gap_limit))

    def first_event_wait(self, now: float) -> float:
        """Returns the seconds that bytes may take after a head, before the attempt is left.

        A head says that the engine has the request, not that its connection lives on: without
        this bound a stream silent from there on held its thread and place to its deadline.
        """
        left = self.ends_at - now
        if not self.may_try_again:
            return left
        return min(left, HUNG_SUSPECTS * self._patience)

    @property
    def _patience(self) -> float:
        return max(SUSPECT_LEAST_SECONDS, SUSPECT_OBJECTIVES * self.route.objective)

    def is_stuck(self, now: float, engine: Engine | None) -> bool:
        """Returns whether the engine seems not to answer this request any more.

        A loaded engine answers others meanwhile: leaving it would only add to the load.
        """
        if self.began_at <= now or not self.may_try_again:
            return False
        if now - self.sent_at > HUNG_SUSPECTS * self._patience:
            return True
        last_seen_at = engine.last_seen_at if engine is not None else float("-inf")
        return now - max(last_seen_at, self.sent_at) > self._patience
