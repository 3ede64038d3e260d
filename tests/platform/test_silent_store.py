"""Connections to the store that go silent for good, while new ones work.

What users saw: connections to the store stayed open and no answer came on them any more.
Order of events: calls leave up to eight connections idle, the network forgets all of them,
and each next call takes one. Cause: a time-out closed this one alone, so that a reader went
through them one after the other with a time-out that doubles each time (0.6, 1.2, 2.4 s),
beyond the bound for applying a configuration. Evidence: these tests without the pool's
`_close_suspects`.
"""

import random
import select
import threading
import time
from collections.abc import Iterator

import pytest

from tests.platform.standins import StoreStandin
from tests.silent_proxy import SilentProxy
from troutswitch.decisions.jobs.ownership import (
    JOIN_SECONDS,
    JOIN_TIMEOUT_FIRST_SECONDS,
    RETRY_SECONDS,
    TTL_JOINS,
    ShardOwnership,
)
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    CallFailed,
    GroupJoined,
    JoinGroup,
    KeyedRecord,
    NewestPage,
    Partition,
    ReadNewest,
    ReadRecords,
    RecordsRead,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.platform.store import StoreClient
from troutswitch.runtime.connection_pool import CONNECT_SECONDS

PARTITION = Partition("records")
KEPT = 4
SHORT_SECONDS = 0.3
LONG_SECONDS = 30.0


class World:
    """A store behind a proxy, and a client that keeps some connections to it."""

    def __init__(self) -> None:
        self.store = StoreStandin()
        self.proxy = SilentProxy(self.store.address)
        self.suspects_closed: list[int] = []
        self.client = StoreClient(self.proxy.address, self.suspects_closed.append)

    def keep(self, count: int) -> None:
        """Leaves some connections idle, all of which have answered."""
        held = [self.client.connections.acquire() for _ in range(count)]
        for kept in held:
            kept.connect()
            kept.connection.sock.settimeout(LONG_SECONDS)  # that of connecting is short
            kept.connection.request("GET", "/log-newest?topic=records&part=0")
            kept.connection.getresponse().read()
        for kept in held:
            self.client.connections.release(kept)
        assert self.proxy.connections == count


@pytest.fixture
def world() -> Iterator[World]:
    held = World()
    yield held
    held.proxy.close()
    held.store.server.shutdown()
    held.store.server.server_close()


def calls(timeout: float) -> list[tuple[StoreCall, type[StoreOutcome]]]:
    record = KeyedRecord("k", b"v")
    return [
        (ReadNewest(1, PARTITION, timeout=timeout), NewestPage),
        (ReadRecords(1, PARTITION, 0, timeout=timeout), RecordsRead),
        (ReadRecords(1, PARTITION, 0, wait=0.1, timeout=timeout), RecordsRead),
        (AppendRecords(1, PARTITION, (record,), timeout=timeout), Appended),
        (JoinGroup(1, "g", "m", ("records",), 2.0, 0, timeout=timeout), GroupJoined),
    ]


@pytest.mark.parametrize("kind", range(len(calls(0.0))))
def test_one_time_out_closes_all_kept_connections(world: World, kind: int) -> None:
    world.keep(KEPT)
    world.proxy.silence()
    lost = world.client.call(calls(SHORT_SECONDS)[kind][0])
    assert isinstance(lost, CallFailed)
    assert lost.may_have_acted
    call, answer = calls(LONG_SECONDS)[kind]
    assert isinstance(world.client.call(call), answer)
    assert world.proxy.connections == KEPT + 1  # a fresh one, at once
    assert world.suspects_closed == [KEPT - 1]


def test_a_waiting_read_on_a_silent_connection_ends_with_the_first_time_out(world: World) -> None:
    """It waits long by itself: up to three seconds for claims, and then a time-out."""
    world.keep(KEPT)
    world.proxy.silence()
    outcomes: list[StoreOutcome] = []
    waiting = ReadRecords(1, PARTITION, 0, wait=LONG_SECONDS, timeout=LONG_SECONDS)
    reader = threading.Thread(target=lambda: outcomes.append(world.client.call(waiting)))
    in_use = world.client.connections._in_use
    reader.start()
    while not in_use:
        time.sleep(0.01)
    world.client.call(ReadNewest(2, PARTITION, timeout=SHORT_SECONDS))
    reader.join(LONG_SECONDS / 2)
    assert len(outcomes) == 1
    assert isinstance(outcomes[0], CallFailed)


def test_a_time_out_on_a_connection_that_never_answered_closes_no_other(world: World) -> None:
    """A store that is slow or away would else cost each of its connections again and again."""
    world.keep(KEPT)
    connections = world.client.connections
    held = [connections.acquire() for _ in range(KEPT + 1)]
    assert [kept.has_answered for kept in held] == [True] * KEPT + [False]
    for kept in held[:KEPT]:
        connections.release(kept)
    connections.discard(held[KEPT], TimeoutError())
    assert world.suspects_closed == []


def test_a_connection_that_the_store_closed_is_not_used_again(world: World) -> None:
    world.keep(KEPT)
    sockets = [kept.connection.sock for kept in world.client.connections._idle]
    world.proxy.close_pairs()
    for sock in sockets:
        assert select.select([sock], [], [], LONG_SECONDS)[0], "its end did not come"
    for _ in range(KEPT):
        outcome = world.client.call(ReadNewest(1, PARTITION, timeout=LONG_SECONDS))
        assert isinstance(outcome, NewestPage)


def test_a_join_on_a_silent_connection_is_made_again_before_its_shards_pass_on() -> None:
    """A join waited 2.0 s for its answer and came again 2.8 s after the last one that the
    group had heard, which passes shards on after 2.5 s."""
    rng = random.Random(1)
    ownership = ShardOwnership("m", 0.0, None, CallNumbers(), rng, lambda *a, **b: None)  # type: ignore[arg-type]
    join = ownership.on_timer(0.0)[0]
    assert isinstance(join, JoinGroup)
    latest = 1.2 * JOIN_SECONDS + join.timeout + 1.5 * RETRY_SECONDS + CONNECT_SECONDS
    assert join.timeout == JOIN_TIMEOUT_FIRST_SECONDS
    assert latest < join.ttl == TTL_JOINS * JOIN_SECONDS
