"""Routing policies: which engine an online request goes to."""

import random
from abc import ABC, abstractmethod

from troutswitch.common import stable_hash
from troutswitch.standalone.constants import FIRM_SHARE
from troutswitch.standalone.decisions.configuration.keys import RoutingPolicyName
from troutswitch.standalone.decisions.engines import Engine

PREFIX_LOAD_SLACK = 1.25
"""A prefix stays on its engine while that engine's load is within this factor of the
least loaded one's, plus one request and a share of its slots."""

PREFIX_SLOT_SLACK = 0.25
"""Share of an engine's slots by which a prefix's home may be above the least loaded."""

MAX_EXPECTED_GATEWAYS = 8
"""Most gateways that are taken to send alike within the lag of a load report."""

CROSS_ZONE_COST = 0.15
"""Cost of leaving the zone, in shares of an engine's slots."""


class RoutingPolicy(ABC):
    """Chooses an engine for a request."""

    @abstractmethod
    def choose(
        self, prefix: str, candidates: list[Engine], zone: str, gateways: int, rng: random.Random
    ) -> Engine:
        """Chooses one of the candidates.

        Args:
            prefix: identity of the prompt's beginning, or empty.
            candidates: engines that may take the request; at least one.
            zone: the gateway's zone.
            gateways: daemons that send requests to the same engines.
            rng: seeded source of randomness.
        """


def load_share(engine: Engine) -> float:
    """Returns online requests on the engine per slot."""
    return engine.online_load / max(1, engine.slots)


class RoundRobin(RoutingPolicy):
    """Each engine in turn, whatever its load; a baseline."""

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
    """The better of two random engines by load; a baseline."""

    def choose(
        self, prefix: str, candidates: list[Engine], zone: str, gateways: int, rng: random.Random
    ) -> Engine:
        """Chooses by known load, own zone preferred a little."""
        pair = rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda engine: _cost(engine, zone))


class PrefixAware(RoutingPolicy):
    """Keeps a prefix on the engine that holds it, within a bound on load.

    Rendezvous hashing with bounded load: all gateways agree on an engine for a
    prefix without talking, so cache events, which come late and with gaps, are
    not needed to find it.
    """

    def __init__(self) -> None:
        self._fallback = LeastLoaded()

    def choose(
        self, prefix: str, candidates: list[Engine], zone: str, gateways: int, rng: random.Random
    ) -> Engine:
        """Chooses the prefix's home unless it is loaded well above the least loaded."""
        if not prefix:
            return self._fallback.choose(prefix, candidates, zone, gateways, rng)
        min_load = min(engine.online_load for engine in candidates)
        slots = candidates[0].slots
        max_load = PREFIX_LOAD_SLACK * min_load + 1 + slots * PREFIX_SLOT_SLACK
        # Batch items that cannot yield may hold the rest of the slots.
        max_load = min(max_load, slots * (1.0 - FIRM_SHARE) - 1)
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
    """Holds one instance of each policy, as some keep state."""

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
        """Chooses by the named policy, or None if there is no candidate."""
        if not candidates:
            return None
        gateway_count = min(gateways, MAX_EXPECTED_GATEWAYS)
        return self._policies[name].choose(prefix, candidates, self._zone, gateway_count, self._rng)
