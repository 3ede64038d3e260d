"""Chooses an engine for a request: an interface and its implementations.

Question: several engines may take a request now. Which one gets it?

Inputs: for each engine the online requests, batch items and waiting prompt tokens on it, by the
counts of this daemon and of its peers (up to a second old) or by the engine's own load, and
averages of the waiting prompt tokens over three seconds (`engine`); its zone; the request's
prompt size and session.

Rule of `prefix_shortest`, the default: a long prompt goes to the engine that its session keeps to,
among the few engines that take long prompts (`long_prompts`). Any other request goes to the engine
with the lowest `queue_cost`, with a small random part. Costs are shares of an engine's slots.

`two_choices` also decides, whatever the policy, where no coordinator answers
(`slots/slot_requests.py`). `prefix_aware` is there to be compared with.

Why: batch items are preempted at once, so they count little; waiting prompt tokens hold up the
first token of whatever comes next.

Measurements: docs/POLICY.md, "The policies".
"""

import random
from collections.abc import Callable
from typing import Protocol

from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.long_prompts import PromptSizes, choose_home
from troutswitch.decisions.forwarding.types import PromptShape

FULL_PREFILL_TOKENS = 8192
"""Prompt tokens waiting at an engine that count as much as all its slots taken."""
ZONE_PENALTY = 0.1
"""Load share that an engine of another zone counts as more."""
WEIGHTED_CHOICES = 2
"""Engines drawn by `Headroom`, of which the better one is taken."""
MIN_HEADROOM = 0.05
"""Free share by which an engine without any is still drawn now and then."""
BATCH_WEIGHT = 0.2
"""Part of an online request that a batch item counts as, since it is preempted at once."""
RANDOM_CHOICES = 2
"""Engines drawn by `TwoChoices`, and the least number of near ones of which it draws."""
COST_JITTER = 0.1
"""Random part of an engine's cost, in shares of its slots: daemons with the same counts don't
all choose the same engine."""


class PlacementPolicy(Protocol):
    """Chooses among engines that may take a request."""

    def choose(
        self,
        now: float,
        candidates: list[Engine],
        prompt: PromptShape,
        zone: str,
        rng: random.Random,
    ) -> Engine:
        """Returns one of the candidates, of which there is at least one."""
        ...


class HomePolicy(Protocol):
    """Knows the engines to which some requests go whatever the load of others is."""

    def home(self, candidates: list[Engine], prompt: PromptShape) -> Engine | None:
        """Returns the engine for a request, or None if any may take it."""
        ...


def load_share(now: float, engine: Engine) -> float:
    """Returns the share of the engine's slots that is taken; over 1 if requests are queued."""
    return engine.in_flight(now) / engine.slots


def placement_cost(now: float, engine: Engine, zone: str) -> float:
    """Returns how bad an engine is for the next request: 1 is as bad as no free slot."""
    return batch_cost(now, engine, zone) + _prefill_cost(engine)


def queue_cost(now: float, engine: Engine, zone: str) -> float:
    """Returns how bad an engine is for the next request where batch items are preempted."""
    taken = engine.online_load(now) + BATCH_WEIGHT * engine.batch_count()
    return taken / engine.slots + _zone_cost(engine, zone) + _prefill_cost(engine)


def batch_cost(now: float, engine: Engine, zone: str) -> float:
    """Returns how bad an engine is for a batch item, whose prompt may wait to be read."""
    return load_share(now, engine) + _zone_cost(engine, zone)


def _zone_cost(engine: Engine, zone: str) -> float:
    return ZONE_PENALTY if engine.record.zone != zone else 0.0


def _prefill_cost(engine: Engine) -> float:
    """Returns the cost of waiting prompt tokens.

    Where there often are some, there probably are again when the request arrives.
    """
    waiting = max(engine.waiting_prefill_tokens, engine.mean_prefill_tokens)
    return waiting / FULL_PREFILL_TOKENS


class Headroom:
    """The better one of two engines, drawn the more often the more free capacity they have.

    Load counts are as old as the last reports. If many daemons took the engine that seems best,
    it would not stay so; drawn by their free capacity, all fill alike.
    """

    def choose(
        self,
        now: float,
        candidates: list[Engine],
        prompt: PromptShape,
        zone: str,
        rng: random.Random,
    ) -> Engine:
        """Chooses the better of the engines drawn."""
        costs = [placement_cost(now, engine, zone) for engine in candidates]
        weights = [max(MIN_HEADROOM, 1.0 - cost) ** 2 for cost in costs]
        drawn = rng.choices(range(len(candidates)), weights, k=WEIGHTED_CHOICES)
        return candidates[min(drawn, key=lambda index: costs[index])]


class ShortestQueue:
    """The engine with fewest online requests for its slots.

    It needs counts that are fresh: with old ones all daemons take the same engine, which the
    random part of the cost lessens.
    """

    def choose(
        self,
        now: float,
        candidates: list[Engine],
        prompt: PromptShape,
        zone: str,
        rng: random.Random,
    ) -> Engine:
        """Chooses the best engine, any of those that are nearly alike."""
        return min(
            candidates,
            key=lambda engine: queue_cost(now, engine, zone) + COST_JITTER * rng.random(),
        )


class TwoChoices:
    """The better one of two engines drawn at random, of the own zone if it has two.

    For counts that are old: if all daemons took the best engine, all would take the same.
    """

    def choose(
        self,
        now: float,
        candidates: list[Engine],
        prompt: PromptShape,
        zone: str,
        rng: random.Random,
    ) -> Engine:
        """Chooses the better of the engines drawn."""
        near = [engine for engine in candidates if engine.record.zone == zone]
        pool = near if len(near) >= RANDOM_CHOICES else candidates
        drawn = rng.sample(pool, min(RANDOM_CHOICES, len(pool)))
        return min(drawn, key=lambda engine: queue_cost(now, engine, zone))


class LongPromptHomes:
    """Long prompts go to the engine of their session, among the few that take long prompts."""

    def __init__(self) -> None:
        self._sizes = PromptSizes()

    def home(self, candidates: list[Engine], prompt: PromptShape) -> Engine | None:
        """Returns a long prompt's engine, and takes the prompt's size into the mean."""
        if not candidates:
            return None
        service = candidates[0].record.service
        is_long = self._sizes.is_long(service, prompt.prompt_tokens)
        self._sizes.add(service, prompt.prompt_tokens)
        return choose_home(prompt, candidates) if is_long else None


class NoHomes:
    """Any engine may take any request."""

    def home(self, candidates: list[Engine], prompt: PromptShape) -> Engine | None:
        """Names none."""
        return None


class PrefixAware:
    """Long prompts to the engine of their session, others as a second policy chooses."""

    def __init__(self, others: PlacementPolicy) -> None:
        self.homes = LongPromptHomes()
        self.others = others

    def choose(
        self,
        now: float,
        candidates: list[Engine],
        prompt: PromptShape,
        zone: str,
        rng: random.Random,
    ) -> Engine:
        """Chooses an engine."""
        home = self.homes.home(candidates, prompt)
        return home or self.others.choose(now, candidates, prompt, zone, rng)


POLICIES: dict[str, Callable[[], PlacementPolicy]] = {
    "two_choices": TwoChoices,
    "prefix_aware": lambda: PrefixAware(Headroom()),
    "prefix_shortest": lambda: PrefixAware(ShortestQueue()),
}
"""Placement policies by name."""


def home_policy(name: str) -> HomePolicy:
    """Returns the homes that a placement policy of some name knows."""
    policy = POLICIES[name]()
    return policy.homes if isinstance(policy, PrefixAware) else NoHomes()
