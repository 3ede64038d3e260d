"""Another program that writes odd records to the store while a soak runs.

It plays its schedule (`writer_schedule`) on a thread of its own, with writes that are repeated
until the store acknowledges them. Entries whose address accepts connections count as a fault of an
engine for as long as they are listed: what is sent there may have run.
"""

import threading
import time
from collections.abc import Iterable

from troutswitch.common import Address
from troutswitch.decisions.storage.messages import KeyedRecord
from troutswitch.soak.fault_injector import SPAN_MARGIN_SECONDS
from troutswitch.soak.observations import InjectedAction, Observations, OddRecordWrite
from troutswitch.soak.odd_records import ACCEPTING_KINDS, EntryAddresses, OddEntry
from troutswitch.soak.operator import SERVICE, Operator
from troutswitch.soak.schedule import ActionKind, LinkFault, ScheduledAction
from troutswitch.soak.unusable_listeners import ListenerKind, UnusableListener
from troutswitch.soak.writer_schedule import (
    DeleteEntries,
    ReplaceConfiguration,
    SpoilConfiguration,
    WriteEntries,
    WriterAction,
    draw_writer_schedule,
)
from troutswitch.standins.ports import HOST, Ports

WRITER = "another-writer"
DELETED = b""
"""Value that deletes a key."""
MAX_CALL_BYTES = 1_000_000
"""Bytes of records that are written in one call: half of the store's limit."""


class AnotherWriter:
    """Writes odd records as its schedule says; `close` ends it for good."""

    def __init__(
        self, seed: int, seconds: float, operator: Operator, observations: Observations
    ) -> None:
        self.stop_requested = threading.Event()
        self.thread = threading.Thread(target=self._run, name=WRITER, daemon=True)
        self._operator = operator
        self._observations = observations
        self._ports = Ports()
        self._listeners = [UnusableListener(kind) for kind in ListenerKind]
        silent, resetting = (listener.address for listener in self._listeners)
        refusing = Address(HOST, self._ports.reserve())
        addresses = EntryAddresses(SERVICE, operator.slots, refusing, silent, resetting)
        self._schedule = draw_writer_schedule(seed, seconds, addresses)
        self._listed: set[str] = set()
        self._accepting: dict[str, float] = {}
        """When each listed entry was written whose address accepts connections."""

    def write_initial(self) -> None:
        """Writes the entries that are listed before the first daemon starts."""
        self._write(self._schedule.initial)

    def stop(self) -> None:
        """Deletes the entries that don't stay, and writes a good configuration."""
        self.stop_requested.set()
        self.thread.join()
        self._delete(self._listed - self._schedule.staying)
        self._operator.configure()

    def close(self) -> None:
        """Releases the ports. The operator has been stopped, so no write is waited for."""
        self.stop_requested.set()
        if self.thread.ident is not None:
            self.thread.join()
        for listener in self._listeners:
            listener.close()
        self._ports.release_all()

    def _run(self) -> None:
        begun_at = time.monotonic()
        for action in self._schedule.actions:
            if self.stop_requested.wait(begun_at + action.offset_seconds - time.monotonic()):
                return
            self._perform(action)

    def _perform(self, action: WriterAction) -> None:
        match action:
            case WriteEntries():
                self._write(action.entries)
            case DeleteEntries():
                self._delete(action.keys)
            case SpoilConfiguration():
                self._record(action.change.kind, "")
                self._operator.spoil_configuration(action.change.apply)
            case ReplaceConfiguration():
                self._operator.configure()

    def _write(self, entries: Iterable[OddEntry]) -> None:
        entries = list(entries)
        for entry in entries:
            self._record(entry.kind, entry.key)
            self._end_fault(entry.key)
            if entry.kind in ACCEPTING_KINDS:
                self._accepting[entry.key] = time.monotonic()
                self._add_fault_span(entry.key, time.monotonic(), float("inf"))
        self._listed.update(entry.key for entry in entries)
        self._append([KeyedRecord(entry.key, entry.value) for entry in entries])

    def _delete(self, keys: Iterable[str]) -> None:
        keys = sorted(keys)
        self._append([KeyedRecord(key, DELETED) for key in keys])
        self._listed.difference_update(keys)
        for key in keys:
            self._end_fault(key)

    def _append(self, records: list[KeyedRecord]) -> None:
        batch: list[KeyedRecord] = []
        size = 0
        for record in records:
            if batch and size + len(record.value) > MAX_CALL_BYTES:
                self._operator.write_entries(WRITER, tuple(batch))
                batch, size = [], 0
            batch.append(record)
            size += len(record.value)
        if batch:
            self._operator.write_entries(WRITER, tuple(batch))

    def _record(self, kind: str, key: str) -> None:
        write = OddRecordWrite(kind, key, time.monotonic())
        with self._observations.lock:
            self._observations.odd_records.append(write)

    # Spans of faults.

    def _end_fault(self, key: str) -> None:
        """Ends the fault span of an entry that was changed or deleted."""
        begin = self._accepting.pop(key, None)
        if begin is None:
            return
        with self._observations.lock:
            self._observations.actions[:] = [
                span
                for span in self._observations.actions
                if not (span.target == key and span.end == float("inf"))
            ]
        self._add_fault_span(key, begin, time.monotonic() + SPAN_MARGIN_SECONDS)

    def _add_fault_span(self, key: str, begin: float, end: float) -> None:
        scheduled = ScheduledAction(
            0.0, ActionKind.ENGINE_HANGS, 0, 0.0, 1.0, LinkFault.DELAY, is_planned=False
        )
        with self._observations.lock:
            self._observations.actions.append(InjectedAction(scheduled, key, begin, end))
