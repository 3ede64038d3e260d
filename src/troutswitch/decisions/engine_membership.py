"""Updates the known engines from the list in the store, peers' lists and drain notices.

Owns the newest list in its stored form, which peers may ask for. Relies on `EngineListReader` for
the reads and on `EngineRegistry` to decide which engines are used. Passes the changes that a list
shows to the crash suspects and the drain notices.
"""

from collections import Counter

from troutswitch.daemons.messages import EngineDrainNotice
from troutswitch.daemons.peer_state import StoredRecord
from troutswitch.decisions.crashes.suspects import CrashSuspects
from troutswitch.decisions.forwarding.engine_list import EngineListReader
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.log_events import milliseconds
from troutswitch.decisions.forwarding.types import EngineRecord
from troutswitch.decisions.gateway_messages import EnginesRemoved, Formats
from troutswitch.decisions.instruction_queue import InstructionQueue
from troutswitch.decisions.peers.drain_notices import DrainNotices
from troutswitch.decisions.storage.messages import KeyedRecord, StoreCall, StoreOutcome

ENGINE_LIST_SHARE = 0.3
"""Interval between reads of the engine list, as a share of the bound for draining: at least two
reads fall within the bound."""
OUTCOME_LOGGED_CHARACTERS = 200


class EngineMembership:
    """Applies lists of engines and drain notices to the engine registry."""

    def __init__(
        self,
        reader: EngineListReader,
        engines: EngineRegistry,
        formats: Formats,
        suspects: CrashSuspects,
        drain_notices: DrainNotices,
        output: InstructionQueue,
    ) -> None:
        self.reader = reader
        self.newest_list: tuple[tuple[StoredRecord, ...], float] | None = None
        """The newest list in its stored form, and when it was read, by this process's clock. They
        are one value because other threads read them."""
        self._engines = engines
        self._formats = formats
        self._suspects = suspects
        self._drain_notices = drain_notices
        self._output = output

    def set_drain_bound(self, seconds: float) -> None:
        """Sets the maximum time, in seconds, until a draining engine gets no more requests."""
        self.reader.interval = ENGINE_LIST_SHARE * seconds

    # The list in the store.

    def on_timer(self, now: float) -> list[StoreCall]:
        """Returns a read of the list if it is due; a call never answered counts as failed."""
        failures = self.reader.attempts.failures
        calls = self.reader.on_timer(now)
        self._engines.versions.knowledge.failing_since = self.reader.attempts.failing_since
        if self.reader.attempts.failures > failures:
            self._engines.on_list_failed(now)
        return calls

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a read in flight."""
        had_failed = bool(self.reader.attempts.failures)
        rows = self.reader.on_answer(now, call, outcome)
        if had_failed or self.reader.attempts.failures:
            self._engines.on_list_failed(now)  # the list was unreadable until now
            if self.reader.attempts.failures == 1:
                reason = str(outcome)[:OUTCOME_LOGGED_CHARACTERS]
                self._output.log("engine list read failed", outcome=reason)
        if rows is not None:
            self._apply_list(now, now, rows)
            self._engines.versions.knowledge.on_list(self.reader.requested_at)

    # Peers.

    def on_drain_notice(self, now: float, notice: EngineDrainNotice) -> None:
        """Applies a peer's notice of engines that drain or were removed from the list."""
        draining, removed = self._drain_notices.on_notice(now, notice)
        for engine_id in draining:
            self._engines.mark_draining(engine_id)
        self._engines.on_drain_notice(now, removed)
        if draining or removed:
            self._output.log(
                "drain notice received", peer=notice.sender, draining=draining, left=removed
            )

    def apply_peer_list(
        self, now: float, peer: str, records: tuple[StoredRecord, ...], age: float
    ) -> None:
        """Applies a list that a peer read `age` seconds ago if it is newer than the known one."""
        read_at = now - age
        if read_at <= self._engines.listed_at:
            return
        if self.reader.attempts.failures:
            self._engines.on_list_failed(now)
        rows = [KeyedRecord(record.key, record.value) for record in records]
        self._apply_list(now, read_at, rows, peer)

    # Lists from either source.

    def _apply_list(
        self, now: float, read_at: float, rows: list[KeyedRecord], peer: str = ""
    ) -> None:
        """Applies a list that this daemon, or `peer`, read at `read_at`."""
        self.newest_list = (tuple(StoredRecord(row.key, row.value) for row in rows), read_at)
        records, unusable = self._decode(rows)
        self._engines.unusable_entries = unusable
        kept_before = self._engines.kept_missing
        added, removed = self._engines.on_list(read_at, records)
        self._suspects.on_list(now)
        self._drain_notices.on_listed_again(added)
        draining = [record.engine_id for record in records if record.is_draining]
        self._drain_notices.on_list_read(now, draining, removed)
        if self._engines.kept_missing != kept_before:
            self._log_missing_kept(read_at, peer)
        if added or removed:
            self._log_change(added, removed, records, peer)
        if removed:
            self._output.emit(EnginesRemoved(tuple(removed)))

    def _decode(self, rows: list[KeyedRecord]) -> tuple[list[EngineRecord], dict[str, str]]:
        """Returns the usable engine records, and why each other entry is unusable, by key.

        An unusable entry is logged when it appears and whenever its reason changes.
        """
        records: list[EngineRecord] = []
        unusable: dict[str, str] = {}
        for row in rows:
            try:
                records.append(self._formats.engine(row.key, row.value))
            except ValueError as error:
                unusable[row.key] = str(error)
            except Exception as error:
                error.add_note(f"record {row.key!r} at offset {row.offset} of the engine list")
                raise
        for key, reason in unusable.items():
            if self._engines.unusable_entries.get(key) != reason:
                self._output.log("engine record malformed", engine=key, reason=reason)
        return records, unusable

    def _log_missing_kept(self, read_at: float, peer: str) -> None:
        self._output.log(
            "missing engines kept",
            engines=sorted(self._engines.kept_missing),
            reading_failed_ms=milliseconds(read_at - self._engines.expired.failed_at),
            peer=peer,
        )

    def _log_change(
        self, added: list[str], removed: list[str], records: list[EngineRecord], peer: str
    ) -> None:
        self._output.log(
            "engines changed",
            came=added,
            left=removed,
            listed=len(records),
            versions=dict(Counter(record.version for record in records)),
            slots=self._engines.total_slots(),
            peer=peer,
        )
