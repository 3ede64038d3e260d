"""Finds the route of a request: by host, then by the longest path prefix.

Owns the configuration in force on this daemon, its source, and the time at which it was known to be
current. Threads of the gateway look up routes while the loop puts a configuration in force.
"""

import random
from dataclasses import dataclass
from enum import Enum

from troutswitch.decisions.forwarding.types import FleetConfiguration, Route

NO_CONFIGURATION_RETRY_SECONDS = 0.5
"""`Retry-After` before the first configuration is known."""
OUTDATED_RETRY_SECONDS = 0.5
"""Time after which a caller should retry if its key or route is unknown and the daemon's
configuration may be outdated. It equals the interval at which such a daemon requests a newer
configuration from a peer."""


class ConfigurationSource(Enum):
    """Where the configuration in force came from; the values are logged and label metrics."""

    NOTHING = "none"
    START = "start"
    """Read from the store when no configuration was in force."""
    STORE = "store"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class KnownConfiguration:
    """What this daemon knows about the configuration at one moment, for logs.

    `age` is the time, in seconds, since no newer version existed, as far as this daemon knows.
    """

    version: int
    age: float
    source: ConfigurationSource


class RouteTable:
    """The routes of the newest configuration that this process has seen.

    Versions that are not newer than the one in force are ignored, so that this process never
    reverts to an older configuration.
    """

    def __init__(self) -> None:
        self.configuration: FleetConfiguration | None = None
        self.may_be_outdated = False
        """Whether a newer configuration may be in force elsewhere. If so, a key or route that is
        missing here must not lead to a final refusal."""
        self.source = ConfigurationSource.NOTHING
        self.current_at = float("-inf")
        """The latest time at which no newer version existed, by what is known here.

        On this process's clock, in seconds.
        """
        self._by_host: dict[str, list[Route]] = {}
        self._by_name: dict[str, Route] = {}
        self._gap_limits: dict[str, float] = {}

    @property
    def version(self) -> int:
        """Version in force, or -1 before the first."""
        return self.configuration.version if self.configuration is not None else -1

    def known(self, now: float) -> KnownConfiguration:
        """Returns what this daemon knows about the configuration now."""
        return KnownConfiguration(self.version, now - self.current_at, self.source)

    def confirm(self, current_at: float) -> None:
        """Records that the version in force was the newest one at `current_at`."""
        self.current_at = max(self.current_at, current_at)

    def replace(
        self,
        configuration: FleetConfiguration,
        source: ConfigurationSource = ConfigurationSource.STORE,
    ) -> bool:
        """Puts a configuration in force; returns False if it is not newer."""
        if configuration.version <= self.version:
            return False
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        # The tables are replaced, not modified, so that other threads see a consistent table.
        self._by_host = by_host
        self._by_name = {route.name: route for route in configuration.routes}
        self._gap_limits = _shortest_gap_limits(configuration)
        self.configuration = configuration
        self.source = source
        return True

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of the host with the longest matching prefix; None if none matches."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def health_path(self, service: str) -> str:
        """Returns the health path of a service's engines; an empty string if it is not known."""
        if self.configuration is None:
            return ""
        known = self.configuration.services.get(service)
        return known.health_path if known is not None else ""

    def named(self, name: str) -> Route | None:
        """Returns the route with a name; None if there is none."""
        return self._by_name.get(name)

    def shortest_gap_limit(self, service: str) -> float:
        """Returns the shortest pause that an online route of a service allows; else infinity."""
        return self._gap_limits.get(service, float("inf"))


def _shortest_gap_limits(configuration: FleetConfiguration) -> dict[str, float]:
    """Returns the shortest pause that the online routes of each service allow, in seconds."""
    limits: dict[str, float] = {}
    for route in configuration.routes:
        if route.is_for_jobs or route.gap_limit <= 0.0:
            continue
        for backend in route.backends:
            limit = limits.get(backend.service, float("inf"))
            limits[backend.service] = min(limit, route.gap_limit)
    return limits


def choose_service(route: Route, rng: random.Random) -> str:
    """Returns one of the route's services, drawn by weight; an empty string if it has none."""
    weights = [backend.weight for backend in route.backends]
    if not weights or sum(weights) <= 0:
        return route.backends[0].service if route.backends else ""
    return rng.choices(route.backends, weights)[0].service
