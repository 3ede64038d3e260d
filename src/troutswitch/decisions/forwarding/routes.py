"""Finds the route of a request: by host, then by the longest path prefix.

Owns the configuration in force on this daemon, and how and when it was learnt. Threads of the
gateway look routes up while the loop puts a configuration in force.
"""

import random
from dataclasses import dataclass
from enum import Enum

from troutswitch.decisions.forwarding.types import FleetConfiguration, Route

OUTDATED_RETRY_SECONDS = 0.5
"""Time after which a caller is to retry whose key or route is unknown to a daemon with a
configuration that may be old: as often as such a daemon requests a newer one from a peer."""


class ConfigurationSource(Enum):
    """How this daemon learnt the configuration in force; the values stand in logs."""

    NOTHING = "none"
    START = "start"
    """Read whole from the store, with no configuration in force before."""
    STORE = "store"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class KnownConfiguration:
    """What this daemon knew of the configuration at one moment, for logs.

    `age` is the time, in seconds, since no newer version existed, as far as is known here.
    """

    version: int
    age: float
    source: ConfigurationSource


class RouteTable:
    """The routes of the newest configuration that this process has seen.

    A version older than the one in force is ignored, so what this process has acted
    on never reverts.
    """

    def __init__(self) -> None:
        self.configuration: FleetConfiguration | None = None
        self.may_be_outdated = False
        """Whether a newer configuration may be in force elsewhere: what this one doesn't have is
        then no ground for a final refusal."""
        self.source = ConfigurationSource.NOTHING
        self.current_at = float("-inf")
        """The latest time at which no newer version existed, on this process's clock."""
        self._by_host: dict[str, list[Route]] = {}
        self._by_name: dict[str, Route] = {}

    @property
    def version(self) -> int:
        """Version in force, or -1 before the first."""
        return self.configuration.version if self.configuration is not None else -1

    def known(self, now: float) -> KnownConfiguration:
        """Returns what is known of the configuration now."""
        return KnownConfiguration(self.version, now - self.current_at, self.source)

    def confirm(self, current_at: float) -> None:
        """Takes note that at some time no newer version existed than the one in force."""
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
        # Whole new tables: a thread that looks a route up sees the old ones or the new ones.
        self._by_host = by_host
        self._by_name = {route.name: route for route in configuration.routes}
        self.configuration = configuration
        self.source = source
        return True

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of the host whose prefix begins the path and is longest."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def named(self, name: str) -> Route | None:
        """Returns the route of a name."""
        return self._by_name.get(name)


def choose_service(route: Route, rng: random.Random) -> str:
    """Chooses one of the route's services by weight; an empty string if it has none."""
    weights = [backend.weight for backend in route.backends]
    if not weights or sum(weights) <= 0:
        return route.backends[0].service if route.backends else ""
    return rng.choices(route.backends, weights)[0].service
