"""Connections to the store that become permanently silent, while new connections work.

Guards against a reader that misses the bound for applying a configuration. Calls leave up to eight
idle connections, and the network drops all of them without a reset. A timeout closed only the
connection on which it happened, so a reader tried them one after the other, with a timeout that
doubles each time (0.6, 1.2, 2.4 s). The tests fail without the pool's `_close_suspects`.
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
from troutswitch.runtime.connection_pool import CONNECT_TIMEOUT_SECONDS

PARTITION = Partition("records")
IDLE_CONNECTIONS = 4
SHORT_SECONDS = 0.3
LONG_SECONDS = 30.0


class ProxiedStore:
    """A store behind a proxy, and a client with pooled connections to it."""

    def __init__(self) -> None:
        self.store = StoreStandin()
        self.proxy = SilentProxy(self.store.address)
        self.suspects_closed: list[int] = []
        self.client = StoreClient(self.proxy.address, self.suspects_closed.append)

    def add_idle_connections(self, count: int) -> None:
        """Creates idle connections, each of which has received a response."""
        acquired = [self.client.connections.acquire() for _ in range(count)]
        for pooled in acquired:
            pooled.connect()
            pooled.connection.sock.settimeout(LONG_SECONDS)  # the connect timeout is short
            pooled.connection.request("GET", "/log-newest?topic=records&part=0")
            pooled.connection.getresponse().read()
        for pooled in acquired:
            self.client.connections.release(pooled)
        assert self.proxy.connection_count == count


@pytest.fixture
def proxied() -> Iterator[ProxiedStore]:
    proxied_store = ProxiedStore()
    yield proxied_store
    proxied_store.proxy.close()
    proxied_store.store.server.shutdown()
    proxied_store.store.server.server_close()


def calls(timeout: float) -> list[tuple[StoreCall, type[StoreOutcome]]]:
    record = KeyedRecord("k", b"v")
    return [
        (ReadNewest(1, PARTITION, timeout=timeout), NewestPage),
        (ReadRecords(1, PARTITION, 0, timeout=timeout), RecordsRead),
        (ReadRecords(1, PARTITION, 0, wait=0.1, timeout=timeout), RecordsRead),
        (AppendRecords(1, PARTITION, (record,), timeout=timeout), Appended),
        (JoinGroup(1, "g", "m", ("records",), 2.0, 0, timeout=timeout), GroupJoined),
    ]


@pytest.mark.parametrize("call_index", range(len(calls(0.0))))
def test_timeout_closes_all_idle_connections(proxied: ProxiedStore, call_index: int) -> None:
    proxied.add_idle_connections(IDLE_CONNECTIONS)
    proxied.proxy.silence()
    lost = proxied.client.call(calls(SHORT_SECONDS)[call_index][0])
    assert isinstance(lost, CallFailed)
    assert lost.may_have_acted
    call, answer = calls(LONG_SECONDS)[call_index]
    assert isinstance(proxied.client.call(call), answer)
    assert (
        proxied.proxy.connection_count == IDLE_CONNECTIONS + 1
    )  # a new connection, without a second timeout
    assert proxied.suspects_closed == [IDLE_CONNECTIONS - 1]


def test_long_poll_on_a_silent_connection_ends_with_the_first_timeout(
    proxied: ProxiedStore,
) -> None:
    """Such a read waits for up to three seconds for claims, in addition to its timeout."""
    proxied.add_idle_connections(IDLE_CONNECTIONS)
    proxied.proxy.silence()
    outcomes: list[StoreOutcome] = []
    waiting = ReadRecords(1, PARTITION, 0, wait=LONG_SECONDS, timeout=LONG_SECONDS)
    reader = threading.Thread(target=lambda: outcomes.append(proxied.client.call(waiting)))
    in_use = proxied.client.connections._in_use
    reader.start()
    while not in_use:
        time.sleep(0.01)
    proxied.client.call(ReadNewest(2, PARTITION, timeout=SHORT_SECONDS))
    reader.join(LONG_SECONDS / 2)
    assert len(outcomes) == 1
    assert isinstance(outcomes[0], CallFailed)


def test_timeout_on_a_connection_without_a_response_closes_no_other(proxied: ProxiedStore) -> None:
    """Otherwise a slow or unreachable store would repeatedly cost all of its connections."""
    proxied.add_idle_connections(IDLE_CONNECTIONS)
    connections = proxied.client.connections
    acquired = [connections.acquire() for _ in range(IDLE_CONNECTIONS + 1)]
    assert [pooled.has_answered for pooled in acquired] == [True] * IDLE_CONNECTIONS + [False]
    for pooled in acquired[:IDLE_CONNECTIONS]:
        connections.release(pooled)
    connections.discard(acquired[IDLE_CONNECTIONS], TimeoutError())
    assert proxied.suspects_closed == []


def test_connection_that_the_store_closed_is_not_reused(proxied: ProxiedStore) -> None:
    proxied.add_idle_connections(IDLE_CONNECTIONS)
    sockets = [pooled.connection.sock for pooled in proxied.client.connections._idle]
    proxied.proxy.close_connections()
    for sock in sockets:
        assert select.select([sock], [], [], LONG_SECONDS)[0], "its end was not received"
    for _ in range(IDLE_CONNECTIONS):
        outcome = proxied.client.call(ReadNewest(1, PARTITION, timeout=LONG_SECONDS))
        assert isinstance(outcome, NewestPage)


def test_join_on_a_silent_connection_is_repeated_before_shards_are_reassigned() -> None:
    """Guards against shards that are reassigned because a join is repeated too late.

    A join that waited 2.0 s for its response was repeated 2.8 s after the last join that the group
    had received. The group reassigns shards after 2.5 s.
    """
    rng = random.Random(1)
    ownership = ShardOwnership("m", 0.0, None, CallNumbers(), rng, lambda *a, **b: None)  # type: ignore[arg-type]
    join = ownership.on_timer(0.0)[0]
    assert isinstance(join, JoinGroup)
    latest = 1.2 * JOIN_SECONDS + join.timeout + 1.5 * RETRY_SECONDS + CONNECT_TIMEOUT_SECONDS
    assert join.timeout == JOIN_TIMEOUT_FIRST_SECONDS
    assert latest < join.ttl == TTL_JOINS * JOIN_SECONDS
