"""Decides how many idle connections this daemon keeps to each engine.

Question: how many idle connections does one daemon keep to an engine of a paced service?
Inputs: the connections that an engine of the service accepts from all callers (`maxConnections`),
and the number of known daemons.
Rule: `IDLE_SHARE` of them divided by the number of daemons, at least 1, at most
`MAX_IDLE_CONNECTIONS_PER_ENGINE`. Other services keep the maximum.
Why: idle connections add up over daemons. With 6 for each of 65 daemons, an engine that accepts 440
could have 390 idle ones, and a larger fleet would use all of them.
Limit: one connection for each daemon is kept in any fleet, so the idle ones stay below
`maxConnections` while there are fewer daemons than that.
"""

from collections.abc import Mapping

from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.gateway_messages import IdleConnectionsLimited

MAX_IDLE_CONNECTIONS_PER_ENGINE = 6
"""Most idle connections that one daemon keeps to an engine. Few requests of one daemon run at an
engine at the same time: engines have 8 slots."""
IDLE_SHARE = 0.5
"""Share of an engine's connections that may be idle. The other half is for connections in use, and
for daemons that are not known yet: a fleet whose daemons are all replaced has twice as many for
the 4 s for which idle connections are kept."""


def max_idle_connections(max_connections: int, daemons: int) -> int:
    """Returns how many idle connections each daemon keeps to an engine."""
    share = int(IDLE_SHARE * max_connections / max(1, daemons))
    return max(1, min(MAX_IDLE_CONNECTIONS_PER_ENGINE, share))


class IdleConnectionLimits:
    """Limits the idle connections to engines of paced services."""

    def __init__(self, engines: EngineRegistry, routes: RouteTable) -> None:
        self._engines = engines
        self._routes = routes
        self._inputs: tuple[int, ...] = ()
        """Number of daemons, version, engine list and number of paced services at the last use."""
        self._limits: Mapping[str, int] = {}

    def update(self, daemons: int) -> list[IdleConnectionsLimited]:
        """Returns the limits if they changed since the last call."""
        engines, routes = self._engines, self._routes
        inputs = (daemons, routes.version, engines.list_changes, engines.paced_service_count)
        if inputs == self._inputs:
            return []
        self._inputs = inputs
        limits = self._limits_by_engine(daemons)
        if limits == self._limits:
            return []
        self._limits = limits
        return [IdleConnectionsLimited(tuple(sorted(limits.items())))]

    def _limits_by_engine(self, daemons: int) -> dict[str, int]:
        """Returns the limits that are below the maximum, by engine id."""
        configuration = self._routes.configuration
        if configuration is None or not self._engines.paced_service_count:
            return {}
        limits = {
            name: max_idle_connections(service.max_connections, daemons)
            for name, service in configuration.services.items()
            if self._engines.is_paced(name)
        }
        return {
            engine_id: limits[engine.record.service]
            for engine_id, engine in self._engines.engines.items()
            if limits.get(engine.record.service, MAX_IDLE_CONNECTIONS_PER_ENGINE)
            < MAX_IDLE_CONNECTIONS_PER_ENGINE
        }
