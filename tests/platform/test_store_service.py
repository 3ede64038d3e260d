"""The store's stand-in over HTTP: what its faults do to calls of the real client."""

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
PATIENCE_SECONDS = 30.0
APPEND = AppendRecords(0, PARTITION, (KeyedRecord("key", b"value"),))


@pytest.fixture
def service() -> Iterator[StoreService]:
    held = StoreService()
    yield held
    held.server.shutdown()


def end_of(service: StoreService) -> int:
    return sum(log.end for log in service.model.logs.values())


def test_an_append_is_read_back(service: StoreService) -> None:
    client = StoreClient(service.address)
    assert client.call(APPEND) == Appended(0, 1)
    newest = client.call(ReadNewest(0, PARTITION))
    assert newest.records == (KeyedRecord("key", b"value", 0),)  # type: ignore[union-attr]


def test_a_store_that_is_down_does_nothing_and_says_so(service: StoreService) -> None:
    service.set_faults(StoreFaults(is_down=True))
    outcome = StoreClient(service.address).call(APPEND)
    assert isinstance(outcome, CallFailed) and not outcome.may_have_acted
    assert end_of(service) == 0


def test_a_lost_answer_s_call_was_done(service: StoreService) -> None:
    service.set_faults(StoreFaults(loses_answers=True))
    outcome = StoreClient(service.address).call(APPEND)
    assert isinstance(outcome, CallFailed) and outcome.may_have_acted
    assert end_of(service) == 1


def test_a_late_call_is_done_after_its_answer_was_lost(service: StoreService) -> None:
    service.set_faults(StoreFaults(acts_late_seconds=0.2))
    outcome = StoreClient(service.address).call(APPEND)
    assert isinstance(outcome, CallFailed) and outcome.may_have_acted
    until = time.monotonic() + PATIENCE_SECONDS
    while not end_of(service) and time.monotonic() < until:
        time.sleep(0.01)
    assert end_of(service) == 1


def test_forgotten_history_is_told_and_the_newest_stays(service: StoreService) -> None:
    client = StoreClient(service.address)
    client.call(APPEND)
    service.set_faults(StoreFaults(drops_history=True))
    assert client.call(ReadRecords(0, PARTITION, 0)) == HistoryGone(1)
    newest = client.call(ReadNewest(0, PARTITION))
    assert len(newest.records) == 1  # type: ignore[union-attr]
