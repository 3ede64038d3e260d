"""Chooses a server for a request: an interface and its implementations.

`least_loaded` and `round_robin` are the baselines that `prefix_aware` is compared with.
"""

import random
from typing import Protocol

from troutswitch.common import stable_hash
from troutswitch.decisions.forwarding.servers import Server
from troutswitch.decisions.forwarding.types import PromptShape

SHARED_TOKENS_LEAST = 600
"""Shared prompt tokens from which it pays to keep to one server."""
HOME_LOAD_MOST = 0.7
"""Share of its slots up to which a prompt's home server is preferred."""
ZONE_PENALTY = 0.08
"""Load share that a server of another zone counts as more."""
NEAR_EQUAL = 0.12
"""Load shares closer than this are taken for equal, so that daemons do not all agree."""


class PlacementPolicy(Protocol):
    """Chooses among servers that may take a request."""

    def choose(
        self,
        now: float,
        candidates: list[Server],
        prompt: PromptShape,
        zone: str,
        rng: random.Random,
    ) -> Server:
        """Returns one of the candidates, of which there is at least one."""
        ...


def load_share(now: float, server: Server) -> float:
    """Returns the share of the server's slots that is taken; over 1 if requests wait."""
    return server.in_flight(now) / server.slots


class RoundRobin:
    """Each in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self,
        now: float,
        candidates: list[Server],
        prompt: PromptShape,
        zone: str,
        rng: random.Random,
    ) -> Server:
        """Chooses the next one."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class LeastLoaded:
    """The least loaded, any of those that are nearly equal."""

    def choose(
        self,
        now: float,
        candidates: list[Server],
        prompt: PromptShape,
        zone: str,
        rng: random.Random,
    ) -> Server:
        """Chooses one of the least loaded."""
        costs = [(self._cost(now, server, zone), server) for server in candidates]
        least = min(cost for cost, _ in costs)
        return rng.choice([server for cost, server in costs if cost <= least + NEAR_EQUAL])

    @staticmethod
    def _cost(now: float, server: Server, zone: str) -> float:
        away = ZONE_PENALTY if server.record.zone != zone else 0.0
        return load_share(now, server) + away


class PrefixAware:
    """The home of the prompt's session while it has room, else the least loaded."""

    def __init__(self) -> None:
        self._fallback = LeastLoaded()

    def choose(
        self,
        now: float,
        candidates: list[Server],
        prompt: PromptShape,
        zone: str,
        rng: random.Random,
    ) -> Server:
        """Chooses the best home with room; all daemons order homes alike."""
        if prompt.shared_tokens < SHARED_TOKENS_LEAST:
            return self._fallback.choose(now, candidates, prompt, zone, rng)
        part = prompt.session_part
        homes = sorted(
            candidates, key=lambda s: stable_hash(part, s.record.server_id), reverse=True
        )
        for server in homes[:2]:
            if load_share(now, server) <= HOME_LOAD_MOST:
                return server
        return self._fallback.choose(now, candidates, prompt, zone, rng)


POLICIES: dict[str, type[RoundRobin] | type[LeastLoaded] | type[PrefixAware]] = {
    "round_robin": RoundRobin,
    "least_loaded": LeastLoaded,
    "prefix_aware": PrefixAware,
}
"""Placement policies by name."""
