"""How crashes and their retractions are written, reported and forwarded to other daemons."""

import random

import cbor2
import pytest

from troutswitch.common import Address
from troutswitch.daemons.datagram import decode, encode
from troutswitch.daemons.messages import CrashReport, ReportedCrash
from troutswitch.decisions.crashes import shared as shared_module
from troutswitch.decisions.crashes.content import item_key, path_key
from troutswitch.decisions.crashes.messages import Crash
from troutswitch.decisions.crashes.shared import (
    MAX_CRASHES_PER_REPORT,
    MAX_PENDING_RECORDS,
    MAX_PENDING_REPORTS,
    MAX_RECORDS_PER_WRITE,
    PEERS_NOTIFIED,
    WRITE_DELAY_SECONDS,
    WRITE_RETRY_PAUSE_SECONDS,
    SharedCrashes,
)
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    CallFailed,
    KeyedRecord,
    NewestPage,
    ReadNewest,
    ReadRecords,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.gateway.daemons.peer_socket import MAX_DATAGRAM_BYTES

AT = 1.7e9
PEERS = [Address(f"10.0.0.{n}", 7) for n in range(20)]
CRASH = Crash("0123456789abcdef", "i-0123456789")


class SharingHarness:
    """The sharing of one daemon, and the set of crashes that it applied."""

    def __init__(self, peers: list[Address] = PEERS) -> None:
        self.known: set[Crash] = set()
        self.logged: list[str] = []
        self.shared = SharedCrashes(
            "d",
            CallNumbers(),
            random.Random(1),
            lambda: peers,
            self.apply,
            lambda event, **fields: self.logged.append(event),
        )

    def apply(self, now: float, crash: Crash, at: float, is_valid: bool) -> bool:
        is_new = (crash in self.known) != is_valid
        (self.known.add if is_valid else self.known.discard)(crash)
        return is_new

    def writes(self, now: float) -> list[AppendRecords]:
        return [i for i in self.shared.on_timer(now, True) if isinstance(i, AppendRecords)]

    def messages(self, now: float) -> list[SendToPeers]:
        return [i for i in self.shared.on_timer(now, True) if isinstance(i, SendToPeers)]

    def report(self, is_valid: bool = True) -> CrashReport:
        return CrashReport("p", (ReportedCrash(CRASH.content, CRASH.engine_id, int(AT), is_valid),))


def test_simultaneous_crashes_are_written_together() -> None:
    harness = SharingHarness()
    for number in range(5):
        harness.shared.publish(1.0, Crash("x", f"s{number}"), AT, True)
    assert not harness.writes(1.0)
    (write,) = harness.writes(1.0 + WRITE_DELAY_SECONDS)
    assert [record.key for record in write.records] == [f"x/s{n}" for n in range(5)]
    assert cbor2.loads(write.records[0].value) == [int(AT)]


def test_failed_write_is_repeated_before_the_remaining_records() -> None:
    harness = SharingHarness()
    for number in range(MAX_RECORDS_PER_WRITE + 1):
        harness.shared.publish(1.0, Crash("x", f"s{number}"), AT, True)
    (first,) = harness.writes(2.0)
    harness.shared.on_store(2.1, first.call, CallFailed("lost", True))
    assert not harness.writes(2.2)
    (again,) = harness.writes(2.1 + WRITE_RETRY_PAUSE_SECONDS)
    assert again.records == first.records
    harness.shared.on_store(3.0, again.call, Appended(0, MAX_RECORDS_PER_WRITE))
    (rest,) = harness.writes(3.0)
    assert [record.key for record in rest.records] == [f"x/s{MAX_RECORDS_PER_WRITE}"]


def test_pending_writes_and_reports_are_bounded() -> None:
    harness = SharingHarness()
    for number in range(2 * MAX_PENDING_RECORDS):
        harness.shared.publish(1.0, Crash("x", f"s{number}"), AT, True)
    assert len(harness.shared._pending_writes) == MAX_PENDING_RECORDS
    assert len(harness.shared._pending_reports) == MAX_PENDING_REPORTS


def test_new_report_is_forwarded_once_to_some_peers() -> None:
    harness = SharingHarness()
    harness.shared.on_report(1.0, harness.report())
    (message,) = harness.messages(1.0)
    assert len(set(message.addresses)) == PEERS_NOTIFIED
    harness.shared.on_report(2.0, harness.report())
    assert not harness.messages(2.0)


def test_late_report_does_not_restore_a_retracted_crash() -> None:
    harness = SharingHarness()
    harness.shared.on_report(1.0, harness.report())
    harness.shared.on_report(2.0, harness.report(is_valid=False))
    assert not harness.known
    harness.shared.on_report(3.0, harness.report())
    assert not harness.known


def test_record_in_the_store_restores_a_retracted_crash() -> None:
    harness = SharingHarness()
    harness.shared.on_report(1.0, harness.report())
    harness.shared.on_report(1.0, harness.report(is_valid=False))
    read = next(i for i in harness.shared.on_timer(1.0, False) if isinstance(i, ReadNewest))
    record = KeyedRecord(f"{CRASH.content}/{CRASH.engine_id}", cbor2.dumps([int(AT)]), 0)
    harness.shared.on_store(1.1, read.call, NewestPage((record,), False, 1))
    assert harness.known == {CRASH}


@pytest.mark.parametrize("value", [b"\xff", cbor2.dumps({}), cbor2.dumps(["late"])])
def test_malformed_record_is_logged_and_ignored(value: bytes) -> None:
    harness = SharingHarness()
    read = next(i for i in harness.shared.on_timer(1.0, False) if isinstance(i, ReadNewest))
    record = KeyedRecord("x/s", value, 0)
    harness.shared.on_store(1.1, read.call, NewestPage((record,), False, 1))
    assert harness.logged == ["crash record malformed"]
    assert not harness.known


def test_reads_wait_longer_at_the_store_while_no_crash_is_on_record() -> None:
    harness = SharingHarness()
    read = next(i for i in harness.shared.on_timer(1.0, False) if isinstance(i, ReadNewest))
    harness.shared.on_store(1.1, read.call, NewestPage((), False, 0))
    (calm,) = (i for i in harness.shared.on_timer(1.2, False) if isinstance(i, ReadRecords))
    harness.shared.follower.read_again(1.3)
    (alert,) = (i for i in harness.shared.on_timer(1.3, True) if isinstance(i, ReadRecords))
    assert (calm.wait, alert.wait) == (
        shared_module.READ_WAIT_SECONDS,
        shared_module.ALERT_READ_WAIT_SECONDS,
    )


def test_report_of_maximum_size_fits_into_a_packet() -> None:
    item = item_key(path_key("host", "tenant", "/path"), b"body")
    trial_id = "trial:edge-guediawaye-3:1764808000123"
    reported = ReportedCrash(item, trial_id, int(AT), True)
    report = CrashReport("edge-guediawaye-3", (reported,) * MAX_CRASHES_PER_REPORT)
    data = encode(report)
    assert len(data) < 1400 < MAX_DATAGRAM_BYTES
    assert decode(data) == report


def test_about_one_of_all_daemons_removes_an_expired_crash() -> None:
    removed = 0
    for seed in range(2000):
        harness = SharingHarness()
        harness.shared._rng = random.Random(seed)
        harness.shared.forget(1.0, CRASH)
        removed += len(harness.shared._pending_writes)
    assert 0.7 < removed / 2000 * (1 + len(PEERS)) < 1.3
