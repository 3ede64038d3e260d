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
    TAKEOVER_SECONDS,
    VERSIONS,
    WRITERS,
    VersionHistory,
    decode_record,
    encode_record,
)
from troutswitch.decisions.streams.versions import (
    ACTIVATION_SECONDS,
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

    def due_writes(self, now: float) -> list[StoreCall]:
        """Returns the writes that are due, without an answer to them."""
        return [call for call in self.calls(now) if isinstance(call, AppendRecords)]

    def may_begin(self, now: float, version: str) -> bool:
        return self.versions.may_begin(now, replace(engine(version), version=version))


def recording_daemon(store: KeyedStoreModel, *versions: str) -> Daemon:
    """Returns a daemon that has written the record of these versions at 1 s."""
    daemon = Daemon(store)
    daemon.list_versions(0.0, *versions)
    daemon.run(0.0)
    assert len(daemon.writes(1.0)) == 1
    return daemon


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
    assert daemon.due_writes(1.1) == []


def test_write_without_an_outcome_and_failed_write_are_repeated() -> None:
    daemon = Daemon(KeyedStoreModel())
    daemon.list_versions(0.0, "v1")
    daemon.run(0.0)
    (lost,) = daemon.due_writes(1.0)
    assert daemon.due_writes(1.0 + CHECK_SECONDS) == []
    (failed,) = daemon.due_writes(1.0 + CALL_EXPIRY_SECONDS)
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


def test_further_version_begins_no_stream_before_it_is_recorded() -> None:
    """Guards against streams of a version of which nobody knows after all daemons ended."""
    daemon = recording_daemon(KeyedStoreModel(), "v1")
    daemon.list_versions(10.0, "v1", "v2")
    (refused,) = daemon.due_writes(10.0)
    daemon.history.on_answer(10.1, refused.call, CallFailed("refused", False))
    later = 10.0 + 2 * ACTIVATION_SECONDS
    assert daemon.may_begin(later, "v1")
    assert not daemon.may_begin(later, "v2")
    assert len(daemon.writes(later)) == 1
    assert daemon.may_begin(later, "v2")


def test_daemon_reads_the_records_that_others_write() -> None:
    store = KeyedStoreModel()
    recording_daemon(store, "v1")
    reader = Daemon(store)
    reader.peers = None  # it writes nothing
    reader.list_versions(2.0, "v1")
    reader.run(2.0)
    reader.run(2.1)
    assert not reader.versions.has_unrecorded()
    reader.list_versions(10.0, "v1", "v2")
    reader.run(10.0)
    later = 10.0 + 2 * ACTIVATION_SECONDS
    assert not reader.may_begin(later, "v2")
    writer = Daemon(store)
    writer.list_versions(10.0, "v1", "v2")
    writer.run(10.0)
    writer.writes(11.0)
    reader.run(later)
    assert reader.may_begin(later, "v2")
    assert reader.calls(later + 10.0) == []


def test_started_daemon_begins_no_stream_at_once_at_a_version_without_a_record() -> None:
    """Guards against streams at a version that daemons with an older list don't know yet."""
    store = KeyedStoreModel()
    recording_daemon(store, "v1")
    started = Daemon(store)
    started.list_versions(10.0, "v1", "v2")
    started.run(10.0)
    started.run(10.1)
    assert started.versions.knows_past
    assert started.may_begin(10.1, "v1")
    started.writes(11.0)
    assert not started.may_begin(10.0 + ACTIVATION_SECONDS - 0.1, "v2")
    assert started.may_begin(10.0 + ACTIVATION_SECONDS, "v2")


def test_started_daemon_begins_no_stream_at_once_at_versions_of_which_one_may_be_new() -> None:
    """Guards against streams at a version that was recorded a moment before the start."""
    store = KeyedStoreModel()
    recording_daemon(store, "v1", "v2")
    started = Daemon(store)
    started.list_versions(10.0, "v1", "v2")
    started.run(10.0)
    started.run(10.1)
    for version in ("v1", "v2"):
        assert not started.may_begin(10.0 + ACTIVATION_SECONDS - 0.1, version)
        assert started.may_begin(10.1 + ACTIVATION_SECONDS, version)


def test_version_that_comes_back_is_recorded_again() -> None:
    """Guards against a record that was removed while the version was gone."""
    daemon = recording_daemon(KeyedStoreModel(), "v1", "v2")
    daemon.list_versions(10.0, "v1")
    daemon.list_versions(20.0 + MIXED_SECONDS, "v1")
    assert len(daemon.writes(20.0 + MIXED_SECONDS)) == 1
    back_at = 30.0 + MIXED_SECONDS
    daemon.list_versions(back_at, "v1", "v2")
    assert not daemon.may_begin(back_at + 2 * ACTIVATION_SECONDS, "v2")
    assert len(daemon.writes(back_at + 2 * ACTIVATION_SECONDS)) == 1
    assert daemon.may_begin(back_at + 2 * ACTIVATION_SECONDS, "v2")


def test_other_daemons_write_a_record_that_its_writers_do_not_write() -> None:
    """Guards against a further version that stays without streams while its writers are gone."""
    names = [f"d-{number}" for number in range(3 * WRITERS)]
    store = KeyedStoreModel()
    daemons = [Daemon(store, name, *(n for n in names if n != name)) for name in names]
    wrote_at = []
    for daemon in daemons:
        daemon.list_versions(0.0, "v1")
        daemon.run(0.0)
        seconds = [step * CHECK_SECONDS for step in range(1, 20)]
        wrote_at.append(next(s for s in seconds if daemon.due_writes(s)))
    expected = [CHECK_SECONDS, CHECK_SECONDS + TAKEOVER_SECONDS]
    assert sorted(wrote_at)[::WRITERS][:2] == expected


def test_past_of_a_service_without_its_record_is_not_known() -> None:
    """Guards against a service whose first record was not written before all daemons ended."""
    store = KeyedStoreModel()
    store.log(VERSIONS).append((encode_record(7, frozenset({1})),))
    daemon = Daemon(store)
    daemon.list_versions(0.0, "v1")
    daemon.run(0.0)
    daemon.run(0.1)
    assert daemon.versions.knows_past
    assert not daemon.versions.knows_past_of(MIXED_SECONDS, SERVICE)
    assert daemon.versions.knows_past_of(0.2 + MIXED_SECONDS, SERVICE)


def test_past_of_a_service_with_a_malformed_record_is_not_known() -> None:
    store = KeyedStoreModel()
    store.log(VERSIONS).append((encode_record(7, frozenset({1})),))
    key = f"{service_key(SERVICE):08x}"
    store.log(VERSIONS).append((KeyedRecord(key, b"\xff"),))
    daemon = Daemon(store)
    daemon.list_versions(0.0, "v1")
    daemon.run(0.0)
    daemon.run(0.1)
    assert not daemon.versions.knows_past_of(1.0, SERVICE)


def test_versions_that_are_listed_from_the_start_are_recent() -> None:
    assert dict(listed("v1").recent(5.0)) == {service_key(SERVICE): frozenset({version_key("v1")})}
