"""Finds a place for a request: an interface, and the way by this daemon's own counts."""

import random
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from troutswitch.decisions.forwarding.engines import Engine
from troutswitch.decisions.forwarding.placement import PlacementPolicy
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.decisions.forwarding.wait_estimate import Estimate, least_wait


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What a request wants.

    `token` names the request within this process. `longest_wait` is the wait for a slot, in
    seconds, with which it is sent; infinite if it is sent whatever the wait.
    """

    token: int
    service: str
    prompt: PromptShape
    longest_wait: float


class AssignedBy(Enum):
    """How a place was found."""

    OWN_COUNTS = "own counts"
    COORDINATOR = "coordinator"
    HOME = "home of its prompt"
    FALLBACK = "fallback"


@dataclass(frozen=True, slots=True)
class Assignment:
    """An engine for a request; `waits` tells whether the request will wait for a slot there."""

    engine: Engine
    found_by: AssignedBy
    waits: bool


@dataclass(frozen=True, slots=True)
class NoSlotInTime:
    """The request would wait too long at every engine."""

    estimate: Estimate


@dataclass(frozen=True, slots=True)
class NoEngine:
    """There is no engine left that may take the request."""


Placement = Assignment | NoSlotInTime | NoEngine


class Placer(Protocol):
    """Finds places for requests."""

    def place(
        self, now: float, wish: PlacementRequest, candidates: list[Engine]
    ) -> Placement | None:
        """Returns where a request goes; None if that is told later.

        Args:
            now: this process's clock, in seconds.
            wish: what the request wants.
            candidates: engines that may take it, of which there is at least one.
        """
        ...

    def withdraw(self, now: float, token: int) -> None:
        """Forgets a request for which no place is wanted any more."""
        ...


class LocalPlacer:
    """Places at once, by this daemon's own counts: the baseline."""

    def __init__(
        self, zone: str, policy: PlacementPolicy, times: RunTimes, rng: random.Random
    ) -> None:
        self._zone = zone
        self._policy = policy
        self._times = times
        self._rng = rng

    def place(
        self, now: float, wish: PlacementRequest, candidates: list[Engine]
    ) -> Placement | None:
        """Chooses by the policy, unless the wait is too long everywhere."""
        if wish.longest_wait < float("inf"):
            best = least_wait(now, candidates, self._times.of(wish.service))
            if best is not None and best.wait > wish.longest_wait:
                return NoSlotInTime(best)
        engine = self._policy.choose(now, candidates, wish.prompt, self._zone, self._rng)
        return Assignment(engine, AssignedBy.OWN_COUNTS, engine.in_flight(now) >= engine.slots)

    def withdraw(self, now: float, token: int) -> None:
        """Has nothing to forget."""
