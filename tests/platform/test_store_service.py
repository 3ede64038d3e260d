"""The store's stand-in over HTTP: effects of its injected faults on calls of the real client."""

import time
from collections.abc import Iterator

import pytest

from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    CallFailed,
    HistoryGone,
    KeyedRecord,
    Partition,
    ReadNewest,
    ReadRecords,
)
from troutswitch.platform.store import StoreClient
from troutswitch.platform.store_service import StoreFaults, StoreService

PARTITION = Partition("jobs")
WAIT_SECONDS = 30.0
APPEND = AppendRecords(0, PARTITION, (KeyedRecord("key", b"value"),))


@pytest.fixture
def service() -> Iterator[StoreService]:
    store = StoreService()
    yield store
    store.server.shutdown()


def record_count(service: StoreService) -> int:
    return sum(log.end for log in service.model.logs.values())


def test_appended_record_is_read(service: StoreService) -> None:
    client = StoreClient(service.address)
    assert client.call(APPEND) == Appended(0, 1)
    newest = client.call(ReadNewest(0, PARTITION))
    assert newest.records == (KeyedRecord("key", b"value", 0),)  # type: ignore[union-attr]


def test_store_that_is_down_refuses_calls_without_executing_them(service: StoreService) -> None:
    service.set_faults(StoreFaults(is_down=True))
    outcome = StoreClient(service.address).call(APPEND)
    assert isinstance(outcome, CallFailed) and not outcome.may_have_acted
    assert record_count(service) == 0


def test_call_whose_response_is_lost_is_executed(service: StoreService) -> None:
    service.set_faults(StoreFaults(loses_answers=True))
    outcome = StoreClient(service.address).call(APPEND)
    assert isinstance(outcome, CallFailed) and outcome.may_have_acted
    assert record_count(service) == 1


def test_late_call_is_executed_after_its_connection_closed(service: StoreService) -> None:
    service.set_faults(StoreFaults(acts_late_seconds=0.2))
    outcome = StoreClient(service.address).call(APPEND)
    assert isinstance(outcome, CallFailed) and outcome.may_have_acted
    deadline = time.monotonic() + WAIT_SECONDS
    while not record_count(service) and time.monotonic() < deadline:
        time.sleep(0.01)
    assert record_count(service) == 1


def test_dropped_history_is_reported_and_the_newest_records_remain(service: StoreService) -> None:
    client = StoreClient(service.address)
    client.call(APPEND)
    service.set_faults(StoreFaults(drops_history=True))
    assert client.call(ReadRecords(0, PARTITION, 0)) == HistoryGone(1)
    newest = client.call(ReadNewest(0, PARTITION))
    assert len(newest.records) == 1  # type: ignore[union-attr]
