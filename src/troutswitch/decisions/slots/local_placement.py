"""Decides which engine a request is sent to if no coordinator decides it.

Inputs: the engines to which this daemon may send the request, by its newest engine list and its own
failed attempts; the online requests and items at each engine in this daemon's local view, which is
up to some hundred milliseconds old.

Rule:

1. A long prompt is sent to the home engine of its session (`forwarding/long_prompts.py`),
   regardless of the coordinators' counts.
2. If no coordinator is known, or none replies in time, the better of two randomly drawn engines is
   chosen, preferably in this daemon's zone (`TwoChoices`), with this daemon's own readings of the
   engines' pace and idle connections. If the request may no longer be sent to
   any of its engines, the two are drawn from all usable engines of its service, or of the version
   at which its stream began.
3. If there is no such engine, the request ends with `NoEngine`.

Why two choices: while no coordinator replies, the local view is old, and daemons that all chose the
best engine would choose the same one.

Measured: homes in docs/POLICY.md, "Rounds with coordinators of slots" (round 16). A daemon that
uses no coordinators at all (policy `own_counts`) decides in `forwarding/placer.py` instead.
"""

import itertools
import random
from collections.abc import Callable
from typing import Protocol

from troutswitch.daemons.messages import engine_key
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engine_cost import CONNECTION_COST, SpeedPolicy
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.placement import HomePolicy, TwoChoices
from troutswitch.decisions.forwarding.placer import (
    AssignedBy,
    Assignment,
    NoEngine,
    PlacementRequest,
)

MAX_CONNECTED_KEYS = 8
"""Most engines with idle connections that a request names, 5 bytes each: enough that one of them is
among the engines of lowest cost, and a small part of a datagram."""


class RequestCandidates(Protocol):
    """Provides the engines to which a request may still be sent."""

    def candidates(self, now: float, token: int) -> list[Engine]:
        """Returns the engines for the request that `token` identifies within this process."""
        ...

    def permitted(self, now: float, token: int) -> list[Engine]:
        """Returns the same with the engines that the request was sent to before."""
        ...


class LocalPlacement:
    """Assigns requests to engines by this daemon's local view."""

    def __init__(
        self,
        zone: str,
        engines: EngineRegistry,
        requests: RequestCandidates,
        homes: HomePolicy,
        rng: random.Random,
        speed: SpeedPolicy | None = None,
    ) -> None:
        self._zone = zone
        self._engines = engines
        self._requests = requests
        self._homes = homes
        self._rng = rng
        self._fallback = TwoChoices(speed, self._connection_saving)

    def _connection_saving(self, now: float, engine: Engine) -> float:
        return CONNECTION_COST if self._engines.is_connected(now, engine, self._zone) else 0.0

    def home(
        self, now: float, request: PlacementRequest, candidates: list[Engine]
    ) -> Assignment | None:
        """Assigns a request to its home engine; returns None if it has none."""
        engine = self._homes.home(candidates, request.prompt)
        return _assignment(now, engine, AssignedBy.HOME) if engine is not None else None

    def fall_back(self, now: float, request: PlacementRequest) -> Assignment | NoEngine:
        """Assigns a request for which no coordinator granted a slot."""
        candidates = self._requests.candidates(now, request.token)
        if not candidates:
            candidates = self._requests.permitted(now, request.token)
        if not candidates:
            return NoEngine()
        engine = self._fallback.choose(now, candidates, request.prompt, self._zone, self._rng)
        return _assignment(now, engine, AssignedBy.FALLBACK)

    def permitted_engine(self, now: float, token: int, key: int) -> Engine | None:
        """Returns the engine with a key, or None if it is unknown or the request may not use it."""
        engine = self._engines.by_key(key)
        allowed = self._requests.candidates(now, token)
        return engine if engine is not None and engine in allowed else None

    def connected_keys(self, now: float, is_member: Callable[[str], bool]) -> tuple[int, ...]:
        """Returns the keys of some engines of a group to which idle connections count.

        These are the ones whose connections may be reused for longest, as they were used last.
        """
        known = map(self._engines.engines.get, self._engines.idle_connections.newest(now))
        names = (
            engine.record.engine_id
            for engine in known
            if engine is not None
            and is_member(engine.record.engine_id)
            and self._engines.is_connected(now, engine, self._zone)
        )
        return tuple(sorted(map(engine_key, itertools.islice(names, MAX_CONNECTED_KEYS))))

    def excluded_keys(self, now: float, token: int, engines: list[Engine]) -> frozenset[int]:
        """Returns the keys of those `engines` to which a request may not be sent."""
        allowed = {e.record.engine_id for e in self._requests.candidates(now, token)}
        ids = [engine.record.engine_id for engine in engines]
        return frozenset(engine_key(engine_id) for engine_id in ids if engine_id not in allowed)


def _assignment(now: float, engine: Engine, assigned_by: AssignedBy) -> Assignment:
    return Assignment(engine, assigned_by, engine.in_flight(now) >= engine.slots)
