"""Shares crashes with all daemons, through the store and by gossip between peers.

The store reaches daemons that no peer reaches, keeps crashes across restarts, and deduplicates
reports of one crash by its key. Peers reach daemons while the store is unreachable. The daemon that
detects a crash writes it to the store, and each daemon that learns of it from a peer forwards the
report once.

Owns the pending writes and reports, and the crashes that were recently retracted. Relies on
`storage.follower` for reading. Times are by this process's clock, in seconds, except the time of a
crash (`at`), which is in seconds since the epoch.
"""

import random
from collections import OrderedDict, deque
from collections.abc import Callable

import cbor2

from troutswitch.cbor_values import MalformedCbor, decode_cbor
from troutswitch.common import Address
from troutswitch.daemons.messages import CrashReport, ReportedCrash
from troutswitch.decisions.crashes.messages import Crash
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.storage.follower import PartitionFollower
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    KeyedRecord,
    Partition,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decoding import raises_only

CRASHES_TOPIC = "crashes"
READ_WAIT_SECONDS = 5.0
"""Time for which a read waits at the store for a new record while no crash is on record."""
ALERT_READ_WAIT_SECONDS = 1.0
"""The same while crashes are on record. All daemons must learn of a crash within three seconds, and
this leaves time to notice a lost answer and to repeat the read."""
MIN_READ_INTERVAL_SECONDS = 0.05
"""Minimum time between reads: about the time in which one engine's crashes are written."""
WRITE_DELAY_SECONDS = 0.02
"""Time for which crashes are collected into one write."""
WRITE_RETRY_PAUSE_SECONDS = 0.5
WRITE_EXPIRY_SECONDS = 4.0
"""Time after which a write without an outcome is repeated."""
MAX_RECORDS_PER_WRITE = 64
MAX_PENDING_RECORDS = 2048
"""Maximum number of crashes to be written; the oldest beyond it are left to other daemons."""
PEERS_NOTIFIED = 8
"""Daemons that one report is sent to. As each daemon that learns of a crash forwards it to this
many, hardly any daemon misses it."""
MAX_CRASHES_PER_REPORT = 14
"""Maximum number of crashes in one report, at most 90 bytes each: it fits into one packet."""
MIN_REPORT_INTERVAL_SECONDS = 0.01
"""Minimum time between reports."""
MAX_PENDING_REPORTS = 1024
"""Maximum number of crashes to be reported; the oldest beyond it are left to the store."""
MAX_RETRACTED = 4096
"""Maximum number of crashes remembered as retracted, so that a late report does not add them."""


class SharedCrashes:
    """Writes, reads and reports crashes, and calls `apply` for those that others report.

    Args:
        peers: returns the addresses of other daemons.
        apply: called with the present time, a crash, its time, and whether it is valid (False if
            it was retracted); returns whether that was unknown.
        log: writes a log line: its event, and its fields by name.
    """

    def __init__(
        self,
        name: str,
        numbers: CallNumbers,
        rng: random.Random,
        peers: Callable[[], list[Address]],
        apply: Callable[[float, Crash, float, bool], bool],
        log: Callable[..., None],
    ) -> None:
        self._name = name
        self._numbers = numbers
        self._rng = rng
        self._peers = peers
        self._apply = apply
        self._log = log
        self._now = float("-inf")
        self.follower = PartitionFollower(
            Partition(CRASHES_TOPIC),
            numbers,
            rng,
            self._apply_record,
            READ_WAIT_SECONDS,
            MIN_READ_INTERVAL_SECONDS,
        )
        self._pending_writes: deque[KeyedRecord] = deque()
        self._in_flight: tuple[KeyedRecord, ...] = ()
        self._write_call = 0
        self._next_write_at = float("inf")
        self._pending_reports: deque[ReportedCrash] = deque()
        self._last_report_at = float("-inf")
        self._retracted: OrderedDict[Crash, None] = OrderedDict()

    # Crashes that this daemon detected.

    def publish(self, now: float, crash: Crash, at: float, is_valid: bool) -> None:
        """Announces a crash to all daemons; if it is not valid, announces its retraction."""
        self._enqueue_write(now, crash, cbor2.dumps([int(at)]) if is_valid else b"")
        self._enqueue_report(crash, at, is_valid)

    def forget(self, now: float, crash: Crash) -> None:
        """Removes an expired crash from the store.

        A crash expires on all daemons at about the same time, so each removes it with a
        probability of one divided by the number of daemons. If none does, each daemon that starts
        and reads the record tries again.
        """
        if self._rng.random() * (1 + len(self._peers())) < 1:
            self._enqueue_write(now, crash, b"")

    def _enqueue_write(self, now: float, crash: Crash, value: bytes) -> None:
        self._pending_writes.append(KeyedRecord(f"{crash.content}/{crash.engine_id}", value))
        if len(self._pending_writes) > MAX_PENDING_RECORDS:
            self._pending_writes.popleft()
        if not self._write_call:
            self._next_write_at = min(self._next_write_at, now + WRITE_DELAY_SECONDS)

    def _enqueue_report(self, crash: Crash, at: float, is_valid: bool) -> None:
        self._remember_if_retracted(crash, is_valid)
        self._pending_reports.append(
            ReportedCrash(crash.content, crash.engine_id, int(at), is_valid)
        )
        if len(self._pending_reports) > MAX_PENDING_REPORTS:
            self._pending_reports.popleft()

    def is_retracted(self, crash: Crash) -> bool:
        """Returns whether a crash is known to have been retracted."""
        return crash in self._retracted

    def _remember_if_retracted(self, crash: Crash, is_valid: bool) -> None:
        if is_valid:
            self._retracted.pop(crash, None)
            return
        self._retracted[crash] = None
        if len(self._retracted) > MAX_RETRACTED:
            self._retracted.popitem(last=False)

    # Crashes that other daemons reported.

    def on_report(self, now: float, report: CrashReport) -> None:
        """Applies a peer's report, and forwards what was unknown."""
        for reported in report.crashes:
            crash = Crash(reported.content, reported.engine_id)
            if reported.is_valid and crash in self._retracted:
                continue
            if self._apply(now, crash, reported.crashed_at, reported.is_valid):
                self._enqueue_report(crash, reported.crashed_at, reported.is_valid)

    def _apply_record(self, record: KeyedRecord) -> None:
        content, _, engine_id = record.key.partition("/")
        try:
            at = decode_crash_time(record.value) if record.value else 0.0
        except MalformedCbor:
            self._log("crash record malformed", key=record.key)
            return
        self._apply(self._now, Crash(content, engine_id), at, bool(record.value))

    # The store.

    def owns(self, call: int) -> bool:
        """Returns whether a store call was made here."""
        return self.follower.owns(call) or call == self._write_call != 0

    def on_store(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a store call."""
        self._now = now
        if call != self._write_call:
            self.follower.on_answer(now, call, outcome)
            return
        self._write_call = 0
        if isinstance(outcome, Appended):
            self._in_flight = ()
            self._next_write_at = now if self._pending_writes else float("inf")
        else:
            self._next_write_at = now + WRITE_RETRY_PAUSE_SECONDS

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        due = self._last_report_at + MIN_REPORT_INTERVAL_SECONDS
        report_at = due if self._pending_reports else float("inf")
        return min(self.follower.next_due(), self._next_write_at, report_at)

    def on_timer(self, now: float, is_alert: bool) -> list[StoreCall | SendToPeers]:
        """Returns the calls and messages that are due.

        Args:
            is_alert: whether crashes are on record; reads then wait at the store for less time.
        """
        self._now = now
        self.follower.wait = ALERT_READ_WAIT_SECONDS if is_alert else READ_WAIT_SECONDS
        due: list[StoreCall | SendToPeers] = list(self.follower.on_timer(now))
        if now >= self._next_write_at:
            due.append(self._write(now))
        if self._pending_reports and now >= self._last_report_at + MIN_REPORT_INTERVAL_SECONDS:
            due += self._report(now)
        return due

    def _write(self, now: float) -> StoreCall:
        """Writes pending records; unconfirmed ones are written again, as a repeat does no harm."""
        if not self._in_flight:
            count = min(MAX_RECORDS_PER_WRITE, len(self._pending_writes))
            self._in_flight = tuple(self._pending_writes.popleft() for _ in range(count))
        self._write_call = self._numbers.next()
        self._next_write_at = now + WRITE_EXPIRY_SECONDS
        return AppendRecords(self._write_call, Partition(CRASHES_TOPIC), self._in_flight)

    def _report(self, now: float) -> list[SendToPeers]:
        self._last_report_at = now
        count = min(MAX_CRASHES_PER_REPORT, len(self._pending_reports))
        crashes = tuple(self._pending_reports.popleft() for _ in range(count))
        peers = self._peers()
        chosen = self._rng.sample(peers, min(PEERS_NOTIFIED, len(peers)))
        return [SendToPeers(tuple(chosen), CrashReport(self._name, crashes))] if chosen else []


@raises_only(MalformedCbor)
def decode_crash_time(value: bytes) -> float:
    """Returns when a crash was, in seconds of the time of day, from the value of its record.

    Raises:
        MalformedCbor: the value is malformed.
    """
    (at,) = decode_cbor(value, tuple[float])
    return at
