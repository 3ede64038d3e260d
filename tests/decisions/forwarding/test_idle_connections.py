"""The estimate of idle connections follows the pool's order."""

from tests.decisions.forwarding.harness import engine
from troutswitch.decisions.forwarding.engine import NO_SIZE
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.idle_connections import MAX_COUNTED, IdleConnections

NOW = 10.0


def test_connection_is_held_until_its_reuse_ends() -> None:
    idle = IdleConnections()
    idle.on_kept(NOW, "a", 4.0)
    assert idle.has(NOW + 3.9, "a")
    assert not idle.has(NOW + 4.0, "a")
    assert not idle.has(NOW, "b")


def test_closed_connection_is_not_counted() -> None:
    idle = IdleConnections()
    idle.on_kept(NOW, "a", 0.0)
    assert not idle.has(NOW, "a")


def test_request_takes_one_connection() -> None:
    idle = IdleConnections()
    idle.on_sent("a")
    for _ in range(2):
        idle.on_kept(NOW, "a", 4.0)
    idle.on_sent("a")
    assert idle.has(NOW, "a")
    idle.on_sent("a")
    assert not idle.has(NOW, "a")


def test_no_more_connections_are_counted_than_the_pool_keeps() -> None:
    idle = IdleConnections()
    for _ in range(MAX_COUNTED + 3):
        idle.on_kept(NOW, "a", 4.0)
    for _ in range(MAX_COUNTED):
        idle.on_sent("a")
    assert not idle.has(NOW, "a")


def test_engines_used_last_come_first() -> None:
    idle = IdleConnections()
    for n, name in enumerate("abca"):
        idle.on_kept(NOW + n, name, 4.0)
    assert list(idle.newest(NOW + 5.0)) == ["a", "c"]


def test_engines_whose_connections_have_expired_are_dropped() -> None:
    """Guards against memory that grows with each engine that ever left the list."""
    idle = IdleConnections()
    for n in range(1000):
        idle.on_kept(NOW + n, f"engine-{n}", 4.0)
    assert idle.engine_count == 4


def test_sent_request_of_a_registered_engine_takes_its_connection() -> None:
    registry = EngineRegistry()
    registry.on_list(NOW, [engine("a"), engine("b")])
    for name in "ab":
        registry.idle_connections.on_kept(NOW, name, 4.0)
    registry.on_sent(NOW, "b", False, NO_SIZE)
    assert list(registry.idle_connections.newest(NOW)) == ["a"]


def test_connections_count_in_paced_services_only() -> None:
    registry = EngineRegistry()
    registry.on_list(NOW, [engine("a")])
    registry.idle_connections.on_kept(NOW, "a", 4.0)
    assert not registry.is_connected(NOW, registry.engines["a"], "z")
    registry.on_pace(registry.engines["a"], 100, NOW)
    assert registry.is_connected(NOW, registry.engines["a"], "z")
    assert not registry.is_connected(NOW, registry.engines["a"], "another zone")
