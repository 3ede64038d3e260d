"""A store whose answers do not end: each call ends, after a bounded number of bytes."""

import pytest

from tests.endless_bytes import (
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    HEAD,
    count_received_bytes,
    endless_server,
)
from troutswitch.decisions.storage.messages import CallFailed, Partition, ReadNewest, ReadRecords
from troutswitch.platform import store
from troutswitch.platform.store import StoreClient

MEBIBYTE = 1 << 20
PARTITION = Partition("records")
MAX_READ_BYTES = MEBIBYTE + (1 << 17)
"""The largest body that the tests allow, and the reads of a head."""
received = pytest.fixture(count_received_bytes)


@pytest.fixture(autouse=True)
def limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes the limits small, so that each test reaches one soon."""
    monkeypatch.setattr(store, "MAX_RESPONSE_BYTES", MEBIBYTE)
    monkeypatch.setattr(store, "TRANSFER_SECONDS", 0.5)


@pytest.mark.parametrize("kind", ENDLESS_HEADS | ENDLESS_BODIES)
def test_endless_answer_fails_after_a_bounded_number_of_bytes(
    kind: str, received: list[int]
) -> None:
    """Guards against a call that fills the memory, or holds its thread for good."""
    pieces = (ENDLESS_HEADS | ENDLESS_BODIES)[kind]
    client = StoreClient(endless_server(pieces).address)
    outcome = client.call(ReadRecords(0, PARTITION, 0, timeout=0.5))
    assert isinstance(outcome, CallFailed) and outcome.may_have_acted
    assert sum(received) <= MAX_READ_BYTES


@pytest.mark.parametrize("sent_before", [b"H", HEAD + b"Content-Length: 99999\r\n\r\n"])
def test_single_bytes_without_end_fail(sent_before: bytes) -> None:
    """Guards against a time-out that starts again with each byte."""
    client = StoreClient(endless_server((sent_before, b"a"), pause=0.01).address)
    outcome = client.call(ReadNewest(0, PARTITION, timeout=0.5))
    assert isinstance(outcome, CallFailed) and outcome.may_have_acted
