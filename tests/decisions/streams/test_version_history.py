"""Records of services' versions: who writes them, when, and what a started daemon reads."""

import random
from dataclasses import replace

import pytest

from tests.decisions.forwarding.harness import engine
from tests.decisions.streams.test_versions import listed
from troutswitch.cbor_values import MalformedCbor
from troutswitch.decisions.storage.messages import (
    AppendRecords,
    CallFailed,
    KeyedRecord,
    ReadNewest,
    StoreCall,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decisions.streams.version_history import (
    CALL_EXPIRY_SECONDS,
    CHECK_SECONDS,
    VERSIONS,
    VersionHistory,
    decode_record,
    encode_record,
)
from troutswitch.decisions.streams.versions import (
    MIXED_SECONDS,
    EngineVersions,
    service_key,
    version_key,
)
from troutswitch.standins.keyed_store import KeyedStoreModel

SERVICE = engine("e").service


class Daemon:
    """The history of one daemon and its store."""

    def __init__(self, store: KeyedStoreModel, name: str = "d-1", *peers: str) -> None:
        self.store = store
        self.versions = EngineVersions()
        self.peers: list[str] | None = list(peers)
        self.events: list[str] = []
        self.history = VersionHistory(
            name,
            self.versions,
            lambda now: self.peers,
            CallNumbers(),
            random.Random(1),
            lambda event, **fields: self.events.append(event),
        )

    def calls(self, now: float) -> list[StoreCall]:
        return self.history.on_timer(now)

    def run(self, now: float) -> list[StoreCall]:
        """Makes the calls that are due and answers them."""
        calls = self.calls(now)
        for call in calls:
            assert self.history.owns(call.call)
            self.history.on_answer(now, call.call, self.store.call(now, call))
        return calls

    def list_versions(self, now: float, *versions: str) -> None:
        self.versions.on_list(now, [replace(engine(v), version=v) for v in versions])

    def writes(self, now: float) -> list[StoreCall]:
        return [call for call in self.run(now) if isinstance(call, AppendRecords)]


def stored(store: KeyedStoreModel) -> dict[str, bytes]:
    return {key: record.value for key, record in store.log(VERSIONS).newest.items()}


def test_started_daemon_knows_a_version_that_has_gone() -> None:
    """Guards against streams of that version which continue at another one."""
    store = KeyedStoreModel()
    former = Daemon(store)
    former.list_versions(0.0, "v1")
    former.run(0.0)
    assert len(former.writes(CHECK_SECONDS)) == 1
    started = Daemon(store)
    started.list_versions(10.0, "v2")
    assert not started.versions.knows_past
    started.run(10.0)
    started.run(10.1)
    assert started.versions.knows_past
    assert started.versions.is_mixed(10.0, SERVICE)
    assert not started.versions.is_mixed(10.1 + MIXED_SECONDS, SERVICE)


def test_record_is_written_when_versions_change_and_not_otherwise() -> None:
    store = KeyedStoreModel()
    daemon = Daemon(store)
    daemon.list_versions(0.0, "v1")
    daemon.run(0.0)
    assert len(daemon.writes(1.0)) == 1
    assert daemon.writes(2.0) == []
    daemon.list_versions(3.0, "v1", "v2")
    assert len(daemon.writes(3.0)) == 1
    daemon.list_versions(4.0, "v2")
    assert daemon.writes(4.0) == []
    assert len(daemon.writes(4.1 + MIXED_SECONDS)) == 1
    (value,) = stored(store).values()
    key = f"{service_key(SERVICE):08x}"
    assert decode_record(KeyedRecord(key, value)) == (
        service_key(SERVICE),
        frozenset({version_key("v2")}),
    )


def test_few_daemons_write_the_record_of_a_service() -> None:
    store = KeyedStoreModel()
    names = [f"d-{number}" for number in range(12)]
    writes = 0
    for name in names:
        daemon = Daemon(store, name, *(other for other in names if other != name))
        daemon.list_versions(0.0, "v1")
        calls = daemon.calls(0.0)  # read before any of them has written
        for call in calls:
            daemon.history.on_answer(0.0, call.call, KeyedStoreModel().call(0.0, call))
        writes += len(daemon.writes(1.0))
    assert writes == 3


def test_nothing_is_written_before_the_records_were_read_and_peers_are_known() -> None:
    daemon = Daemon(KeyedStoreModel())
    daemon.list_versions(0.0, "v1")
    (read,) = daemon.calls(0.0)
    assert isinstance(read, ReadNewest)
    assert daemon.calls(CHECK_SECONDS) == []
    daemon.peers = None
    daemon.history.on_answer(0.6, read.call, daemon.store.call(0.6, read))
    assert daemon.calls(1.1) == []


def test_write_without_an_outcome_and_failed_write_are_repeated() -> None:
    daemon = Daemon(KeyedStoreModel())
    daemon.list_versions(0.0, "v1")
    daemon.run(0.0)
    (lost,) = daemon.calls(1.0)
    assert daemon.calls(1.0 + CHECK_SECONDS) == []
    (failed,) = daemon.calls(1.0 + CALL_EXPIRY_SECONDS)
    assert failed.call != lost.call
    daemon.history.on_answer(5.1, failed.call, CallFailed("down", False))
    assert len(daemon.writes(6.0)) == 1


def test_daemon_without_the_store_knows_the_past_after_the_longest_stream() -> None:
    daemon = Daemon(KeyedStoreModel())
    daemon.calls(0.0)
    daemon.calls(MIXED_SECONDS - 1.0)
    assert not daemon.versions.knows_past
    daemon.calls(MIXED_SECONDS)
    assert daemon.versions.knows_past


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("x", b""),
        ("123456789", b""),
        ("0000000a", b"\xff"),
        ("0000000a", b"\x82\x02\x80"),
        ("0000000a", b"\x82\x01\x81\x20"),
        ("0000000a", b"\x82\x01\x81\x1b\x00\x00\x00\x01\x00\x00\x00\x00"),
    ],
)
def test_malformed_record_is_logged_and_skipped(key: str, value: bytes) -> None:
    if value:
        with pytest.raises(MalformedCbor):
            decode_record(KeyedRecord(key, value))
    store = KeyedStoreModel()
    store.log(VERSIONS).append((KeyedRecord(key, value or b"\x00"),))
    store.log(VERSIONS).append((encode_record(7, frozenset({1})),))
    daemon = Daemon(store)
    daemon.list_versions(0.0, "v1")
    daemon.run(0.0)
    daemon.run(0.1)
    assert "record of versions malformed" in daemon.events
    assert daemon.versions.knows_past


def test_past_is_not_known_before_a_list_was_read() -> None:
    """Guards against a stream that may continue anywhere, as no version is known yet."""
    daemon = Daemon(KeyedStoreModel())
    daemon.run(0.0)
    daemon.run(0.1)
    assert not daemon.versions.knows_past
    daemon.list_versions(0.2, "v1")
    daemon.run(0.2)
    assert daemon.versions.knows_past


def test_versions_that_are_listed_from_the_start_are_recent() -> None:
    assert dict(listed("v1").recent(5.0)) == {service_key(SERVICE): frozenset({version_key("v1")})}
