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
    NewestPage,
    Partition,
    ReadNewest,
    ReadRecords,
    RecordsRead,
)
from troutswitch.platform.store import StoreClient, decode_records
from troutswitch.platform.store_service import StoreFaults, StoreService
from troutswitch.standins.keyed_store import PartitionLog

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


def append_three_large_records(service: StoreService) -> StoreClient:
    client = StoreClient(service.address)
    rows = tuple(KeyedRecord(f"key-{number}", bytes(200 * 1024)) for number in range(3))
    assert client.call(AppendRecords(0, PARTITION, rows)) == Appended(0, 3)
    return client


def test_read_ends_at_the_limit_of_the_store_between_records_of_one_append(
    service: StoreService,
) -> None:
    client = append_three_large_records(service)
    service.set_faults(StoreFaults(read_kilobytes=500))
    first = client.call(ReadRecords(0, PARTITION, 0))
    assert isinstance(first, RecordsRead)
    assert (len(first.records), first.next_offset, first.end) == (2, 2, 3)
    second = client.call(ReadRecords(0, PARTITION, first.next_offset))
    assert isinstance(second, RecordsRead)
    assert [record.key for record in second.records] == ["key-2"]


def test_read_ends_at_the_limit_of_its_call(service: StoreService) -> None:
    append_three_large_records(service)
    status, content = service.get("/log-read?topic=keyed.jobs&part=0&from=0&max_kb=450", b"")
    assert status == 200
    assert len(decode_records(content[16:], 0)) == 2


def test_read_returns_a_record_that_is_larger_than_its_limit(service: StoreService) -> None:
    append_three_large_records(service)
    _, content = service.get("/log-read?topic=keyed.jobs&part=0&from=1&max_kb=1", b"")
    assert [record.key for record in decode_records(content[16:], 1)] == ["key-1"]


def test_pages_of_newest_records_have_the_size_that_is_set(service: StoreService) -> None:
    client = append_three_large_records(service)
    service.set_faults(StoreFaults(page_records=2))
    page = client.call(ReadNewest(0, PARTITION))
    assert isinstance(page, NewestPage)
    assert (len(page.records), page.has_more) == (2, True)
    rest = client.call(ReadNewest(0, PARTITION, page.records[-1].key))
    assert isinstance(rest, NewestPage)
    assert (len(rest.records), rest.has_more) == (1, False)


def test_history_can_be_dropped_in_part() -> None:
    log = PartitionLog()
    log.append(tuple(KeyedRecord(f"key-{number}", b"value") for number in range(4)))
    log.drop_history(before=2)
    assert (log.first_offset, log.end, len(log.records)) == (2, 4, 2)
    log.drop_history(before=1)
    assert (log.first_offset, len(log.newest)) == (2, 4)
