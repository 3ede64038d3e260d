"""The pool keeps no more idle connections than its limits allow."""

import pytest

from troutswitch.common import Address
from troutswitch.decisions.idle_connections import MAX_IDLE_CONNECTIONS_PER_ENGINE
from troutswitch.gateway.engines.connection import EngineConnection
from troutswitch.gateway.engines.connection_pool import ConnectionUse, EngineConnections

ADDRESS = Address("127.0.0.1", 1)


class FakeConnection(EngineConnection):
    """A connection without a socket, which records that it was closed."""

    is_closed = False

    def close(self) -> None:
        self.is_closed = True

    def is_reusable(self, request_id: str) -> bool:
        return True


def fill(pool: EngineConnections, engine_id: str, count: int) -> list[FakeConnection]:
    connections = [FakeConnection(ADDRESS) for _ in range(count)]
    for connection in connections:
        pool.release(engine_id, connection)
    return connections


def closed(connections: list[FakeConnection]) -> list[bool]:
    return [connection.is_closed for connection in connections]


@pytest.mark.parametrize(("engine_id", "kept"), [("a", 2), ("b", MAX_IDLE_CONNECTIONS_PER_ENGINE)])
def test_connections_beyond_the_limit_are_closed_on_release(engine_id: str, kept: int) -> None:
    pool = EngineConnections()
    pool.limit_idle({"a": 2})
    assert closed(fill(pool, engine_id, 8)) == [False] * kept + [True] * (8 - kept)


def test_lower_limit_closes_the_oldest_idle_connections() -> None:
    pool = EngineConnections()
    limited, other = fill(pool, "a", 4), fill(pool, "b", 4)
    pool.limit_idle({"a": 1})
    assert closed(limited) == [True, True, True, False]
    assert closed(other) == [False] * 4
    assert pool.acquire("a", ADDRESS, "id") is limited[-1]


def test_removed_limit_leaves_the_usual_one() -> None:
    pool = EngineConnections()
    pool.limit_idle({"a": 1})
    pool.limit_idle({})
    assert closed(fill(pool, "a", 7)) == [False] * 6 + [True]


def test_new_and_reused_connections_are_counted_by_use() -> None:
    """Without the counter, nothing told that every second request opened a connection."""
    counted: list[tuple[str, bool]] = []
    pool = EngineConnections(on_acquired=lambda use, is_new: counted.append((use, is_new)))
    fill(pool, "a", 1)
    pool.acquire("a", ADDRESS, "id", ConnectionUse.ITEMS)
    pool.acquire("a", ADDRESS, "id", ConnectionUse.ITEMS)
    pool.acquire("b", ADDRESS, "id")
    assert counted == [("items", False), ("items", True), ("online", True)]
