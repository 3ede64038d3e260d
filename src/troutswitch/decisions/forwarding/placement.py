"""Chooses an engine for a request: an interface and its implementations.

`prefix_shortest` is the default. `two_choices` also acts, whatever the policy, where no
coordinator answers (`slots/slot_requests.py`). `prefix_aware` is there to be compared with.
"""

import random
from collections.abc import Callable
from typing import Protocol

from troutswitch.decisions.forwarding.engines import Engine
from troutswitch.decisions.forwarding.long_prompts import PromptSizes, choose_home
from troutswitch.decisions.forwarding.types import PromptShape

PREFILL_TOKENS_AS_FULL = 8192
"""Prompt tokens waiting at an engine that count as much as all its slots taken: they hold
up the first token of whatever comes, while free slots beyond one do not matter."""
ZONE_PENALTY = 0.1
"""Load share that an engine of another zone counts as more."""
HEADROOM_CHOICES = 2
"""Engines drawn by their room, of which the better one is taken."""
HEADROOM_LEAST = 0.05
"""Room by which an engine without any is still drawn now and then."""

BATCH_WEIGHT = 0.2
"""Part of a request that a batch item counts as where items yield at once."""
ZONE_CHOICES = 2
"""Engines drawn by `TwoChoices`, and the least number of near ones of which it draws."""
QUEUE_NOISE = 0.1
"""Random part of an engine's cost, in shares of its slots."""


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
    """Knows engines to which some requests go whatever the counts of others are."""

    def home(self, candidates: list[Engine], prompt: PromptShape) -> Engine | None:
        """Returns the engine for a request, or None if any may take it."""
        ...


def load_share(now: float, engine: Engine) -> float:
    """Returns the share of the engine's slots that is taken; over 1 if requests wait."""
    return engine.in_flight(now) / engine.slots


def placement_cost(now: float, engine: Engine, zone: str) -> float:
    """Returns how bad an engine is for the next request: 1 is as bad as no free slot.

    Where prompts often wait, they probably wait again when the request arrives.
    """
    prefill = max(engine.waiting_prefill_tokens, engine.usual_prefill_tokens)
    return _room_cost(now, engine, zone) + prefill / PREFILL_TOKENS_AS_FULL


def queue_cost(now: float, engine: Engine, zone: str) -> float:
    """Returns how bad an engine is for the next request where batch items yield at once."""
    away = ZONE_PENALTY if engine.record.zone != zone else 0.0
    taken = engine.online_load(now) + BATCH_WEIGHT * engine.batch()
    prefill = max(engine.waiting_prefill_tokens, engine.usual_prefill_tokens)
    return taken / engine.slots + away + prefill / PREFILL_TOKENS_AS_FULL


def batch_cost(now: float, engine: Engine, zone: str) -> float:
    """Returns how bad an engine is for a batch item, which may wait to be read."""
    return _room_cost(now, engine, zone)


def _room_cost(now: float, engine: Engine, zone: str) -> float:
    away = ZONE_PENALTY if engine.record.zone != zone else 0.0
    return load_share(now, engine) + away


class Headroom:
    """The better one of two engines, drawn the more often the more room they have.

    What is known of loads is as old as the last reports. If many daemons took the engine
    that seems best, it would not stay so; drawn by their room, all fill alike.
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
        weights = [max(HEADROOM_LEAST, 1.0 - cost) ** 2 for cost in costs]
        places = rng.choices(range(len(candidates)), weights, k=HEADROOM_CHOICES)
        return candidates[min(places, key=lambda place: costs[place])]


class ShortestQueue:
    """The engine with fewest online requests for its slots.

    Batch items count little, as they yield. It needs counts that are fresh: with old ones
    all daemons take the same engine, which the random part of the cost lessens.
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
            key=lambda engine: queue_cost(now, engine, zone) + QUEUE_NOISE * rng.random(),
        )


class TwoChoices:
    """The better one of two engines drawn at random, near ones if there are two.

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
        pool = near if len(near) >= ZONE_CHOICES else candidates
        drawn = rng.sample(pool, min(ZONE_CHOICES, len(pool)))
        return min(drawn, key=lambda engine: queue_cost(now, engine, zone))


class LongPromptHomes:
    """Long prompts go to their session's engine among few."""

    def __init__(self) -> None:
        self._sizes = PromptSizes()

    def home(self, candidates: list[Engine], prompt: PromptShape) -> Engine | None:
        """Returns a long prompt's engine; all daemons order those engines alike."""
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
    """Long prompts to their session's engine among few, others as a second policy says."""

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
