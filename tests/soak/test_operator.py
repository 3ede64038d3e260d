"""The soak's operator at a store that does calls late."""

import threading
import time
from collections.abc import Iterator

import pytest

from troutswitch.common import Address
from troutswitch.decisions.storage.messages import Partition
from troutswitch.platform import names
from troutswitch.platform.store_service import StoreFaults, StoreService
from troutswitch.soak.operator import Operator

LATE_SECONDS = 0.4
"""Longer than the pause between two tries of a write, so that several are done late."""
ENGINE_ADDRESS = Address("127.0.0.1", 1)


@pytest.fixture
def store() -> Iterator[StoreService]:
    service = StoreService()
    yield service
    service.server.shutdown()


def newest_record(store: StoreService, key: str) -> bytes:
    with store.lock:
        record = store.model.log(Partition(names.SERVERS_TOPIC)).newest.get(key)
    return record.value if record is not None else b""


def wait_for_late_calls() -> None:
    for thread in threading.enumerate():
        if isinstance(thread, threading.Timer):
            thread.join()


def test_late_listing_does_not_undo_the_removal_of_an_engine(store: StoreService) -> None:
    """Guards against a listed engine that is killed as one that has left."""
    operator = Operator(store.address)
    store.set_faults(StoreFaults(acts_late_seconds=LATE_SECONDS))
    lister = threading.Thread(target=operator.list_engine, args=("engine", ENGINE_ADDRESS))
    lister.start()
    while not newest_record(store, "engine"):
        time.sleep(0.01)
    store.set_faults(StoreFaults())
    lister.join()
    assert operator.unlist_engine("engine")
    wait_for_late_calls()
    assert newest_record(store, "engine") == b""


def test_engine_is_listed_again_after_its_removal(store: StoreService) -> None:
    operator = Operator(store.address)
    assert operator.list_engine("engine", ENGINE_ADDRESS)
    assert operator.unlist_engine("engine")
    assert operator.list_engine("engine", ENGINE_ADDRESS)
    assert newest_record(store, "engine") != b""
