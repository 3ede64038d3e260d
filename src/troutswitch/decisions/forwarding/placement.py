"""Chooses an engine for a request: an interface and its implementations.

Question: a request may be sent to several engines now. Which one gets it?

Inputs: the online requests, batch items and waiting prompt tokens on each engine, from the counts
of this daemon and of its peers (up to a second old) or from the engine's own load; the waiting
prompt tokens averaged over three seconds (`engine`); its zone; the request's prompt size and
session.

Rule of `prefix_shortest`, the default: a long prompt goes to a home of its session, one of the few
engines that get long prompts (`long_prompts`). Any other request goes to the engine with the lowest
cost, with a small random part. Costs are shares of an engine's slots, and count the speed of
engines by the policy `speed` (`engine_cost`).

With any policy, `two_choices` decides if no coordinator answers (`slots/slot_requests.py`).
`prefix_aware` exists for comparison.

Why: batch items are preempted immediately, so they count little; waiting prompt tokens delay the
first token of the following requests.

Measurements: docs/POLICY.md, "The policies".
"""

import random
from collections.abc import Callable
from typing import Protocol

from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engine_cost import (
    IgnoredSpeed,
    SpeedPolicy,
    prefill_cost,
    zone_cost,
)
from troutswitch.decisions.forwarding.long_prompts import PromptSizes, choose_home
from troutswitch.decisions.forwarding.types import PromptShape

WEIGHTED_CHOICES = 2
"""Engines drawn by `Headroom`, of which the better one is chosen."""
MIN_HEADROOM = 0.05
"""Minimum free share used as a weight, so that full engines are still drawn occasionally."""
RANDOM_CHOICES = 2
"""Engines drawn by `TwoChoices`, and the minimum number of engines in its own zone to draw from."""
COST_JITTER = 0.1
"""Random part of an engine's cost, as a share of its slots, so that daemons with the same counts
don't all choose the same engine."""


class PlacementPolicy(Protocol):
    """Chooses among the engines that a request may be sent to."""

    def choose(
        self,
        now: float,
        candidates: list[Engine],
        prompt: PromptShape,
        zone: str,
        rng: random.Random,
    ) -> Engine:
        """Returns one of the candidates; there is at least one."""
        ...


class HomePolicy(Protocol):
    """Chooses the engines for requests that are bound to an engine by their session."""

    def home(self, candidates: list[Engine], prompt: PromptShape) -> Engine | None:
        """Returns the engine for a request; None if it may be sent to any."""
        ...


def load_share(now: float, engine: Engine) -> float:
    """Returns the share of the engine's slots that is taken; above 1 if requests are queued."""
    return engine.in_flight(now) / engine.slots


def placement_cost(now: float, engine: Engine, zone: str) -> float:
    """Returns the cost of sending the next request to an engine; 1 corresponds to no free slot."""
    return batch_cost(now, engine, zone) + prefill_cost(engine)


def batch_cost(now: float, engine: Engine, zone: str) -> float:
    """Returns the cost of sending a batch item to an engine; waiting prompts do not count."""
    return load_share(now, engine) + zone_cost(engine, zone)


class Headroom:
    """Chooses the better of two random engines; those with more free capacity are drawn more often.

    Load counts are as old as the last reports. If many daemons chose the engine that seems best,
    they would overload it; a draw weighted by free capacity fills all engines evenly.
    """

    def choose(
        self,
        now: float,
        candidates: list[Engine],
        prompt: PromptShape,
        zone: str,
        rng: random.Random,
    ) -> Engine:
        """Returns the better of the engines drawn."""
        costs = [placement_cost(now, engine, zone) for engine in candidates]
        weights = [max(MIN_HEADROOM, 1.0 - cost) ** 2 for cost in costs]
        drawn = rng.choices(range(len(candidates)), weights, k=WEIGHTED_CHOICES)
        return candidates[min(drawn, key=lambda index: costs[index])]


class ShortestQueue:
    """Chooses the engine with the lowest cost.

    It relies on fresh counts: with old counts, all daemons choose the same engine. The random part
    of the cost mitigates this.
    """

    def __init__(self, speed: SpeedPolicy | None = None) -> None:
        self._speed = speed or IgnoredSpeed()

    def choose(
        self,
        now: float,
        candidates: list[Engine],
        prompt: PromptShape,
        zone: str,
        rng: random.Random,
    ) -> Engine:
        """Returns the engine with the lowest cost; any of several with nearly the same cost."""
        factors = self._speed.factors(now, candidates)
        return min(
            candidates,
            key=lambda engine: (
                self._speed.cost(now, engine, zone, factors) + COST_JITTER * rng.random()
            ),
        )


def _none(now: float, engine: Engine) -> float:
    """Returns 0, the saving where idle connections do not count."""
    return 0.0


class TwoChoices:
    """Chooses the better of two random engines, of this daemon's zone if it has two.

    It is meant for old counts, with which all daemons would choose the same best engine.

    Args:
        speed: how the speed of engines counts; without it, it does not.
        saving: returns how much less an engine costs because of an idle connection to it.
    """

    def __init__(
        self, speed: SpeedPolicy | None = None, saving: Callable[[float, Engine], float] = _none
    ) -> None:
        self._speed = speed or IgnoredSpeed()
        self._saving = saving

    def choose(
        self,
        now: float,
        candidates: list[Engine],
        prompt: PromptShape,
        zone: str,
        rng: random.Random,
    ) -> Engine:
        """Returns the better of the engines drawn."""
        near = [engine for engine in candidates if engine.record.zone == zone]
        pool = near if len(near) >= RANDOM_CHOICES else candidates
        drawn = rng.sample(pool, min(RANDOM_CHOICES, len(pool)))
        factors = self._speed.factors(now, candidates)
        return min(
            drawn,
            key=lambda engine: (
                self._speed.cost(now, engine, zone, factors) - self._saving(now, engine)
            ),
        )


class LongPromptHomes:
    """Sends long prompts to the homes of their sessions, among the engines for long prompts."""

    def __init__(self) -> None:
        self._sizes = PromptSizes()

    def home(self, candidates: list[Engine], prompt: PromptShape) -> Engine | None:
        """Returns the engine for a long prompt, and adds the prompt's size to the mean."""
        if not candidates:
            return None
        service = candidates[0].record.service
        is_long = self._sizes.is_long(service, prompt.prompt_tokens)
        self._sizes.add(service, prompt.prompt_tokens)
        return choose_home(prompt, candidates) if is_long else None


class NoHomes:
    """Binds no request to an engine."""

    def home(self, candidates: list[Engine], prompt: PromptShape) -> Engine | None:
        """Returns None."""
        return None


class PrefixAware:
    """Sends long prompts to the homes of their sessions; another policy places other requests."""

    def __init__(self, fallback: PlacementPolicy) -> None:
        self.homes = LongPromptHomes()
        self.fallback = fallback

    def choose(
        self,
        now: float,
        candidates: list[Engine],
        prompt: PromptShape,
        zone: str,
        rng: random.Random,
    ) -> Engine:
        """Returns the home of a long prompt, or the other policy's choice."""
        home = self.homes.home(candidates, prompt)
        return home or self.fallback.choose(now, candidates, prompt, zone, rng)


class PlacementFactory(Protocol):
    """Constructs a placement policy."""

    def __call__(self, speed: SpeedPolicy | None = None, /) -> PlacementPolicy:
        """Returns the policy; without `speed`, it ignores the speed of engines."""
        ...


def _prefix_aware(speed: SpeedPolicy | None = None) -> PlacementPolicy:
    """Returns the policy for old counts, whose draws do not depend on the speed of engines."""
    return PrefixAware(Headroom())


def _prefix_shortest(speed: SpeedPolicy | None = None) -> PlacementPolicy:
    return PrefixAware(ShortestQueue(speed))


POLICIES: dict[str, PlacementFactory] = {
    "two_choices": TwoChoices,
    "prefix_aware": _prefix_aware,
    "prefix_shortest": _prefix_shortest,
}
"""Placement policies by name."""


def home_policy(name: str) -> HomePolicy:
    """Returns the home policy of the placement policy with a name."""
    policy = POLICIES[name]()
    return policy.homes if isinstance(policy, PrefixAware) else NoHomes()
