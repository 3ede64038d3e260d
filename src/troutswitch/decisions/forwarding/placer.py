"""Assigns requests to engines: an interface, and the implementation by local slot counts.

Question: which engine is a request sent to, or is no slot free in time at any engine?

`LocalPlacer` decides immediately, by this daemon's own counts of requests and by those that peers
reported (`engines`; up to a second old). It estimates the shortest wait for a slot, with each
engine's own speed (`engine_cost`). If that is longer than the request's longest wait, no slot is
free in time; otherwise the placement policy chooses an engine. The other implementation,
`slots.slot_requests`, requests slots from coordinators.

Measurements: docs/POLICY.md, "Rounds with coordinators of slots".
"""

import random
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engine_cost import IgnoredSpeed, SpeedPolicy
from troutswitch.decisions.forwarding.placement import PlacementPolicy
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.decisions.forwarding.wait_estimate import WaitEstimate, shortest_wait


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """On which terms a request waits in the queue of a group's coordinator.

    `share` names the tenant, or the route for callers without a tenant. `priority` 0 is the
    highest. `objective_at` is the latest time of a slot with which the request meets its objective,
    negative infinity if it will be late anyway; `expires_at` is the time after which a slot is of
    no use to it. Both are of this process's clock. `is_returned` is set if its caller was refused
    before, or if the request was sent before.
    """

    request_id: str
    share: str
    priority: int
    objective_at: float
    expires_at: float
    is_returned: bool


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request to be placed.

    `token` identifies the request within this process. `max_wait` is the maximum wait for a slot,
    in seconds, with which it is sent; infinite if it is sent whatever the wait. A request without
    `queue_terms` waits in no coordinator's queue.
    """

    token: int
    service: str
    prompt: PromptShape
    max_wait: float
    queue_terms: QueueTerms | None = None


class AssignedBy(Enum):
    """What decided an assignment; the values are logged."""

    OWN_COUNTS = "own counts"
    COORDINATOR = "coordinator"
    HOME = "home of its prompt"
    FALLBACK = "fallback"


@dataclass(frozen=True, slots=True)
class Assignment:
    """An engine for a request; `is_queued` is set if all slots of the engine seem taken."""

    engine: Engine
    assigned_by: AssignedBy
    is_queued: bool


@dataclass(frozen=True, slots=True)
class NoSlotInTime:
    """The request would wait too long at every engine; `estimate` is the shortest wait.

    `retry_after` is set if a coordinator denied the request a slot: the seconds after which its
    caller should return.
    """

    estimate: WaitEstimate
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class NoEngine:
    """The request may not be sent to any engine."""


Placement = Assignment | NoSlotInTime | NoEngine


class Placer(Protocol):
    """Assigns requests to engines."""

    def place(
        self, now: float, request: PlacementRequest, candidates: list[Engine], /
    ) -> Placement | None:
        """Returns the placement of a request; None if it is decided later.

        Args:
            now: this process's clock, in seconds.
            request: the request to be placed.
            candidates: the engines that it may be sent to; at least one.
        """
        ...

    def withdraw(self, now: float, token: int) -> None:
        """Drops a request that no longer needs a placement."""
        ...


class LocalPlacer:
    """Assigns requests immediately, by the local slot counts: the baseline."""

    def __init__(
        self,
        zone: str,
        policy: PlacementPolicy,
        times: RunTimes,
        rng: random.Random,
        speed: SpeedPolicy | None = None,
    ) -> None:
        self._zone = zone
        self._policy = policy
        self._times = times
        self._rng = rng
        self._speed = speed or IgnoredSpeed()

    def place(
        self, now: float, request: PlacementRequest, candidates: list[Engine]
    ) -> Placement | None:
        """Returns the policy's choice, unless the wait is too long at every engine."""
        if request.max_wait < float("inf"):
            factors = self._speed.factors(now, candidates)
            best = shortest_wait(now, candidates, self._times.of(request.service), factors)
            if best is not None and best.wait > request.max_wait:
                return NoSlotInTime(best)
        engine = self._policy.choose(now, candidates, request.prompt, self._zone, self._rng)
        is_queued = engine.in_flight(now) >= engine.slots
        return Assignment(engine, AssignedBy.OWN_COUNTS, is_queued)

    def withdraw(self, now: float, token: int) -> None:
        """Does nothing, as no placement is pending."""
