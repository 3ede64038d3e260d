"""Routing policies that choose an engine for an online request."""

import random
from abc import ABC, abstractmethod

from troutswitch.common import stable_hash
from troutswitch.standalone.constants import NON_PREEMPTIBLE_SHARE
from troutswitch.standalone.decisions.configuration.keys import RoutingPolicyName
from troutswitch.standalone.decisions.engines import Engine

PREFIX_LOAD_SLACK = 1.25
"""A prefix stays on its engine while that engine's load is at most the minimum load
times this factor, plus one request and a share of the slots."""

PREFIX_SLOT_SLACK = 0.25
"""Share of an engine's slots by which its load may exceed the minimum load."""

MAX_EXPECTED_GATEWAYS = 8
"""Maximum gateways assumed to send like this one within the lag of a load report."""

CROSS_ZONE_COST = 0.15
"""Cost of an engine in another zone, as a share of its slots."""


class RoutingPolicy(ABC):
    """Strategy that chooses an engine for a request."""

    @abstractmethod
    def choose(
        self, prefix: str, candidates: list[Engine], zone: str, gateways: int, rng: random.Random
    ) -> Engine:
        """Chooses one of the candidates.

        Args:
            prefix: Identity of the prompt's prefix, or empty.
            candidates: Engines that can accept the request; at least one.
            zone: Zone of this gateway.
            gateways: Number of daemons that send requests to the same engines.
            rng: Seeded source of randomness.
        """


def load_share(engine: Engine) -> float:
    """Returns the online requests per slot of the engine."""
    return engine.online_load / max(1, engine.slots)


class RoundRobin(RoutingPolicy):
    """Uses the engines in turn, regardless of load; a baseline."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, prefix: str, candidates: list[Engine], zone: str, gateways: int, rng: random.Random
    ) -> Engine:
        """Chooses the next engine in name order."""
        ordered = sorted(candidates, key=lambda engine: engine.name)
        self._next += 1
        return ordered[self._next % len(ordered)]


class LeastLoaded(RoutingPolicy):
    """Uses the less loaded of two random engines; a baseline."""

    def choose(
        self, prefix: str, candidates: list[Engine], zone: str, gateways: int, rng: random.Random
    ) -> Engine:
        """Chooses by known load, with a small preference for this zone."""
        pair = rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda engine: _cost(engine, zone))


class PrefixAware(RoutingPolicy):
    """Sends requests with the same prefix to the same engine, within a load bound.

    Uses rendezvous hashing with bounded load. All gateways choose the same engine for
    a prefix without communicating, so the choice does not depend on cache events,
    which arrive late and incompletely.
    """

    def __init__(self) -> None:
        self._fallback = LeastLoaded()

    def choose(
        self, prefix: str, candidates: list[Engine], zone: str, gateways: int, rng: random.Random
    ) -> Engine:
        """Chooses the first engine in rendezvous order within the load bound, else by load."""
        if not prefix:
            return self._fallback.choose(prefix, candidates, zone, gateways, rng)
        min_load = min(engine.online_load for engine in candidates)
        slots = candidates[0].slots
        max_load = PREFIX_LOAD_SLACK * min_load + 1 + slots * PREFIX_SLOT_SLACK
        # Non-preemptible batch items may occupy the remaining slots.
        max_load = min(max_load, slots * (1.0 - NON_PREEMPTIBLE_SHARE) - 1)
        ordered = sorted(
            candidates, key=lambda engine: stable_hash(prefix, engine.name), reverse=True
        )
        for engine in ordered:
            if engine.expected_load(gateways) <= max_load:
                return engine
        return self._fallback.choose(prefix, candidates, zone, gateways, rng)


def _cost(engine: Engine, zone: str) -> float:
    zone_cost = CROSS_ZONE_COST if engine.zone != zone else 0.0
    return load_share(engine) + zone_cost


class Router:
    """Holds one instance of each policy, because some policies keep state."""

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._policies: dict[RoutingPolicyName, RoutingPolicy] = {
            "round_robin": RoundRobin(),
            "least_loaded": LeastLoaded(),
            "prefix_aware": PrefixAware(),
        }

    def choose(
        self, name: RoutingPolicyName, prefix: str, candidates: list[Engine], gateways: int
    ) -> Engine | None:
        """Chooses by the named policy; returns None if there is no candidate."""
        if not candidates:
            return None
        gateway_count = min(gateways, MAX_EXPECTED_GATEWAYS)
        return self._policies[name].choose(prefix, candidates, self._zone, gateway_count, self._rng)
