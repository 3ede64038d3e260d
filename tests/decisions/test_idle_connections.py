"""Idle connections of all daemons leave an engine connections for requests, in any fleet."""

from dataclasses import replace

import pytest

from tests.decisions.forwarding.harness import configuration, engine
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.types import EngineLoad, Service
from troutswitch.decisions.gateway_messages import IdleConnectionsLimited
from troutswitch.decisions.idle_connections import (
    MAX_IDLE_CONNECTIONS_PER_ENGINE,
    IdleConnectionLimits,
    max_idle_connections,
)

MAX_CONNECTIONS = 440


def limits_of(registry: EngineRegistry) -> IdleConnectionLimits:
    routes = RouteTable()
    services = {name: Service(name, MAX_CONNECTIONS, 8, 0) for name in ("s", "unpaced")}
    routes.replace(replace(configuration(), services=services))
    return IdleConnectionLimits(registry, routes)


def registry_of(*names: str) -> EngineRegistry:
    registry = EngineRegistry()
    unpaced = engine("other", service="unpaced")
    registry.on_list(0.0, [*(engine(name) for name in names), unpaced])
    return registry


def report_pace(registry: EngineRegistry, name: str) -> None:
    registry.on_load(0.0, name, EngineLoad(0, 0, 8, 100))


@pytest.mark.parametrize("daemons", [1, 2, 20, 36, 37, 65, 130, 219, 300, 439])
def test_all_daemons_together_stay_below_the_connections_of_an_engine(daemons: int) -> None:
    limit = max_idle_connections(MAX_CONNECTIONS, daemons)
    assert 1 <= limit <= MAX_IDLE_CONNECTIONS_PER_ENGINE
    assert daemons * limit < MAX_CONNECTIONS


def test_small_fleets_keep_the_present_number() -> None:
    assert max_idle_connections(MAX_CONNECTIONS, 36) == MAX_IDLE_CONNECTIONS_PER_ENGINE
    assert max_idle_connections(MAX_CONNECTIONS, 65) == 3


def test_services_without_a_pace_get_no_instruction() -> None:
    assert limits_of(registry_of("a")).update(65) == []


def test_limits_are_given_once_and_again_when_they_change() -> None:
    registry = registry_of("a")
    limits = limits_of(registry)
    assert limits.update(65) == []
    report_pace(registry, "a")
    assert limits.update(65) == [IdleConnectionsLimited((("a", 3),))]
    assert limits.update(65) == []
    assert limits.update(66) == []
    assert limits.update(100) == [IdleConnectionsLimited((("a", 2),))]
    registry.on_list(1.0, [engine("a"), engine("b")])
    assert limits.update(100) == [IdleConnectionsLimited((("a", 2), ("b", 2)))]
    assert limits.update(3) == [IdleConnectionsLimited(())]
