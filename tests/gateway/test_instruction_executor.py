"""Blocking calls run on threads, and calls of one kind do not delay those of another."""

import queue
import socket
import threading
from collections.abc import Iterator
from unittest.mock import MagicMock

import pytest

from troutswitch.common import Address
from troutswitch.decisions.active_configuration import CONFIGURATION_TOPIC
from troutswitch.decisions.crashes.messages import CheckEngine, EngineChecked, EngineCheckResult
from troutswitch.decisions.forwarding.engine_list import ENGINES_TOPIC
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.decisions.peers.catch_up import PeerStateReceived, RequestPeerState
from troutswitch.decisions.slots.messages import HealthAnswered, HealthResult, RequestHealth
from troutswitch.decisions.storage.messages import (
    AppendRecords,
    KeyedRecord,
    NewestPage,
    Partition,
    ReadNewest,
    ReadRecords,
    RecordsRead,
    StoreAnswered,
    StoreCall,
    StoreOutcome,
)
from troutswitch.gateway import instruction_executor
from troutswitch.gateway.instruction_executor import (
    STORE_THREADS,
    Executors,
    InstructionExecutor,
)

WAIT_SECONDS = 30.0
ANSWER_SECONDS = 10.0


class WriteBlockingStore:
    """A store that answers reads immediately, and blocks writes until it is released."""

    def __init__(self) -> None:
        self.released = threading.Event()

    def call(self, call: StoreCall) -> StoreOutcome:
        match call:
            case ReadNewest():
                return NewestPage((), False, 0)
            case ReadRecords():
                return RecordsRead((), 0, 0)
            case _:
                self.released.wait(WAIT_SECONDS)
                return NewestPage((), False, 0)


@pytest.fixture
def store() -> Iterator[WriteBlockingStore]:
    blocking = WriteBlockingStore()
    yield blocking
    blocking.released.set()


def test_blocked_calls_for_jobs_do_not_delay_reads_of_the_configuration(
    store: WriteBlockingStore,
) -> None:
    events: queue.SimpleQueue[GatewayEvent] = queue.SimpleQueue()
    executors = MagicMock(spec=Executors)
    executors.call_store = store.call
    executors.request_peer_state = lambda request: PeerStateReceived(request.host, None)
    executor = InstructionExecutor(executors, events.put, MagicMock())
    record = KeyedRecord("k", b"v")
    for number in range(1, 2 * STORE_THREADS):
        executor.execute(AppendRecords(number, Partition("items"), (record,)))
    executor.execute(ReadRecords(1001, Partition(CONFIGURATION_TOPIC), 0))
    executor.execute(ReadNewest(1002, Partition(ENGINES_TOPIC)))
    executor.execute(RequestPeerState("peer", 1, 1.0))
    posted = [events.get(timeout=WAIT_SECONDS) for _ in range(3)]
    calls = {event.call for event in posted if isinstance(event, StoreAnswered)}
    assert calls == {1001, 1002}
    assert PeerStateReceived("peer", None) in posted
    assert executor.blocking_calls >= 2 * STORE_THREADS - 1
    store.released.set()
    executor.stop()


def test_health_request_runs_on_a_thread_and_posts_its_result() -> None:
    events: queue.SimpleQueue[GatewayEvent] = queue.SimpleQueue()
    executor = InstructionExecutor(MagicMock(spec=Executors), events.put, MagicMock())
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = Address("127.0.0.1", listener.getsockname()[1])
    executor.execute(RequestHealth("e", address, "/health"))
    assert events.get(timeout=WAIT_SECONDS) == HealthAnswered("e", HealthResult.FAILED)
    executor.stop()


def test_health_request_that_raises_an_unexpected_error_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without an answer it stays in flight, and no engine of its group is asked again."""
    events: queue.SimpleQueue[GatewayEvent] = queue.SimpleQueue()
    executor = InstructionExecutor(MagicMock(spec=Executors), events.put, MagicMock())
    failing = MagicMock(side_effect=RuntimeError("unexpected"))
    monkeypatch.setattr(instruction_executor, "request_health", failing)
    executor.execute(RequestHealth("e", Address("127.0.0.1", 1), "/health"))
    assert events.get(timeout=WAIT_SECONDS) == HealthAnswered("e", HealthResult.FAILED)
    executor.stop()


def test_calls_that_raise_an_unexpected_error_are_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a state machine that waits for ever for the result of its call."""
    events: queue.SimpleQueue[GatewayEvent] = queue.SimpleQueue()
    failing = MagicMock(side_effect=RecursionError("unexpected"))
    executors = MagicMock(spec=Executors)
    executors.request_peer_state = failing
    monkeypatch.setattr(instruction_executor, "check_engine", failing)
    executor = InstructionExecutor(executors, events.put, MagicMock())
    executor.execute(RequestPeerState("peer", 1, 1.0))
    assert events.get(timeout=ANSWER_SECONDS) == PeerStateReceived("peer", None)
    executor.execute(CheckEngine("e", Address("127.0.0.1", 1)))
    assert events.get(timeout=ANSWER_SECONDS) == EngineChecked("e", EngineCheckResult.UNKNOWN)
    executor.stop()
