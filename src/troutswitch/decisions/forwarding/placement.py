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
HOME_PREFILL_MOST = 3072
"""Prompt tokens waiting at a home up to which it is preferred."""
PREFILL_TOKENS_AS_FULL = 8192
"""Prompt tokens waiting at a server that count as much as all its slots taken: they hold
up the first token of whatever comes, while free slots beyond one do not matter."""
ZONE_PENALTY = 0.1
"""Load share that a server of another zone counts as more."""
CHOICES = 3
"""Servers drawn at random, of which the better one is taken. What is known of loads is
some tenths of a second old: if all took the best server, all would take the same one."""


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


def placement_cost(now: float, server: Server, zone: str) -> float:
    """Returns how bad a server is for the next request: 1 is as bad as no free slot."""
    away = ZONE_PENALTY if server.record.zone != zone else 0.0
    prefill = server.waiting_prefill_tokens / PREFILL_TOKENS_AS_FULL
    return load_share(now, server) + prefill + away


def home_of(prompt: PromptShape, candidates: list[Server]) -> list[Server]:
    """Orders servers by how well they suit a prompt's session; all daemons agree."""
    part = prompt.session_part
    return sorted(candidates, key=lambda s: stable_hash(part, s.record.server_id), reverse=True)


def expected_prefill(prompt: PromptShape, server: Server, servers: list[Server]) -> int:
    """Returns the prompt tokens that a server has probably to read for a request."""
    if prompt.shared_tokens < SHARED_TOKENS_LEAST or home_of(prompt, servers)[0] is not server:
        return prompt.prompt_tokens
    return max(0, prompt.prompt_tokens - prompt.shared_tokens)


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
    """The better one of few servers drawn at random."""

    def choose(
        self,
        now: float,
        candidates: list[Server],
        prompt: PromptShape,
        zone: str,
        rng: random.Random,
    ) -> Server:
        """Chooses the better of the servers drawn."""
        drawn = rng.sample(candidates, min(CHOICES, len(candidates)))
        return min(drawn, key=lambda server: placement_cost(now, server, zone))


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
        for server in home_of(prompt, candidates)[:2]:
            is_free = load_share(now, server) <= HOME_LOAD_MOST
            if is_free and server.waiting_prefill_tokens <= HOME_PREFILL_MOST:
                return server
        return self._fallback.choose(now, candidates, prompt, zone, rng)


POLICIES: dict[str, type[RoundRobin] | type[LeastLoaded] | type[PrefixAware]] = {
    "round_robin": RoundRobin,
    "least_loaded": LeastLoaded,
    "prefix_aware": PrefixAware,
}
"""Placement policies by name."""
