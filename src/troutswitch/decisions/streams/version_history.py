"""Keeps in the store which versions the engines of each service ran lately.

Question: which versions may have begun streams before this process started? Daemons know that from
the engine list and from each other, so a daemon whose whole fleet has just started knows neither a
version that is gone nor a peer that could tell.

Rule:

1. A record of each service states its recent versions (`EngineVersions.recent`). It is written
   again when they change, by the `WRITERS` daemons that rank highest in the rendezvous order of the
   service, so that the number of writes does not grow with the fleet. If a version stays without a
   record, the next `WRITERS` in that order write it after each `TAKEOVER_SECONDS`.
2. A daemon reads the records when it starts, and counts the versions in them as listed until then.
3. While the list has a version of which a daemon knows no record, it reads the records again. The
   version begins streams when it is recorded (`EngineVersions.may_begin`).
4. Before a daemon writes whose knowledge of the versions has a gap, it reads the records, as they
   may have a version that it has missed. It also reads them when a resumed stream needs it
   (`store_knowledge`).
5. Until it has read them and the list of engines, it does not know the past, and asks its peers for
   the origin of each stream that a caller resumes. Once it has run for `MIXED_SECONDS`, nothing
   from before matters. A service that has engines and no readable record, while others have one,
   has an unknown past: its record was not written before all daemons ended.

A record is no older than its versions: one that was gone for long is removed by the next write,
and one that no daemon could remove costs searches for `MIXED_SECONDS` after a start. So no clock is
needed to judge it.

Owns the calls that read and write the records. Times are by this process's clock, in seconds.
"""

import random
import re
from collections.abc import Callable
from typing import Annotated

import cbor2
import msgspec

from troutswitch.cbor_values import MalformedCbor, decode_cbor
from troutswitch.common import rendezvous_order
from troutswitch.decisions.storage.follower import PartitionFollower
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    KeyedRecord,
    NewestPage,
    Partition,
    RecordsRead,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decisions.streams.versions import KEY_MASK, MIXED_SECONDS, EngineVersions
from troutswitch.decoding import raises_only

_Key = Annotated[int, msgspec.Meta(ge=0, le=KEY_MASK)]

VERSIONS = Partition("versions")
KEY_FORM = re.compile("[0-9a-f]{8}")
"""Form of the key of a service in the records' keys."""
SCHEMA_VERSION = 1
WRITERS = 3
"""Daemons that write a service's record: one may be cut off from the store, another restarted."""
CHECK_SECONDS = 0.5
"""Interval at which the versions are compared with the records. It is shorter than the time for
which a further version begins no streams."""
TAKEOVER_SECONDS = 2.0
"""Time after which other daemons write a record that the writers have not written: several checks
and calls."""
CONFIRM_INTERVAL_SECONDS = 0.1
"""Least interval between readings that confirm versions; all resumptions that wait share one."""
CALL_EXPIRY_SECONDS = 4.0
"""Time after which a write without an outcome is repeated."""


class VersionHistory:
    """The records of all services, as this daemon reads and writes them.

    Args:
        name: name of this daemon.
        peers: returns the names of other daemons; None if they are not known yet.
        log: writes a log line: its event, and its fields by name.
    """

    def __init__(
        self,
        name: str,
        versions: EngineVersions,
        peers: Callable[[float], list[str] | None],
        numbers: CallNumbers,
        rng: random.Random,
        log: Callable[..., None],
    ) -> None:
        self._name = name
        self._versions = versions
        self._versions.knows_past = False
        self._versions.needs_record = True
        self._knowledge = versions.knowledge
        self._knowledge.needs_records = True
        self._confirm_at = float("-inf")
        """Earliest time of the next reading that confirms versions."""
        self._read_requested_at = float("-inf")
        """Request of the newest reading that confirms versions."""
        self._peers = peers
        self._numbers = numbers
        self._log = log
        self._now = float("-inf")
        self._started_at: float | None = None
        self._check_at = float("-inf")
        self._stored: dict[int, frozenset[int]] = {}
        """Versions by service, as they were read or written last."""
        self._unreadable: set[int] = set()
        """Services whose records are malformed."""
        self._unrecorded_since: dict[int, float] = {}
        """When services were first seen to have a version without a record."""
        self._writing: dict[int, frozenset[int]] = {}
        self._write_call = 0
        self._written_at = float("-inf")
        self._follower = PartitionFollower(
            VERSIONS,
            numbers,
            rng,
            self._apply_record,
            wait=0.0,
            pause=CHECK_SECONDS,
            is_tailing=False,
        )

    def _apply_record(self, record: KeyedRecord) -> None:
        try:
            service, versions = decode_record(record)
        except MalformedCbor as error:
            self._log("record of versions malformed", key=record.key, reason=str(error))
            if KEY_FORM.fullmatch(record.key) is not None:
                self._unreadable.add(int(record.key, 16))
            return
        self._unreadable.discard(service)
        self._stored[service] = versions

    # The store.

    def owns(self, call: int) -> bool:
        """Returns whether a store call was made here."""
        return call == self._write_call != 0 or self._follower.owns(call)

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a store call."""
        self._now = now
        if call == self._write_call:
            self._write_call = 0
            if isinstance(outcome, Appended):
                self._stored |= self._writing
                self._mark_recorded(now, self._writing)
            return
        self._follower.on_answer(now, call, outcome)
        is_partial = isinstance(outcome, RecordsRead) and outcome.next_offset < outcome.end
        is_answer = isinstance(outcome, RecordsRead | NewestPage)
        if is_answer and not is_partial and self._follower.is_following:
            readable = {key: self._stored[key] for key in self._stored.keys() - self._unreadable}
            self._versions.on_records_read(now, self._follower.current_at, readable)
            self._mark_recorded(now, self._stored)

    def _mark_recorded(self, now: float, records: dict[int, frozenset[int]]) -> None:
        for service, versions in records.items():
            for version in versions:
                is_only = len(versions) == 1
                self._versions.on_recorded(now, service, version, is_only=is_only)

    def _check_past(self, now: float) -> None:
        """Records that the past is known once the records and a list were read, or after a time."""
        if self._versions.knows_past:
            return
        is_read = self._follower.is_following and self._versions.has_list
        if self._started_at is None:
            self._started_at = now
        if is_read or now >= self._started_at + MIXED_SECONDS:
            self._versions.knows_past = True
            if is_read and self._stored:
                self._check_missing(now)
            source = "store" if is_read else "time"
            self._log("versions before the start known", source=source, services=len(self._stored))

    def _check_missing(self, now: float) -> None:
        """Finds services with engines whose record is missing or unreadable."""
        listed = {service for service, _ in self._versions.recent(now)}
        for service in (listed - self._stored.keys()) | self._unreadable:
            self._versions.on_past_unknown(now, service)
            self._log("record of versions missing", service=f"{service:08x}")

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        confirm_at = self._confirm_at if self._is_wanted else float("inf")
        return min(self._follower.next_due(), self._check_at, confirm_at)

    @property
    def _is_wanted(self) -> bool:
        """Whether a reading is wanted that is requested later than the newest one."""
        wanted_at = self._knowledge.wanted_at
        return wanted_at > self._read_requested_at and self._follower.is_following

    def _confirm(self, now: float) -> None:
        """Makes a reading due at once if one is wanted."""
        if self._is_wanted and now >= self._confirm_at:
            self._confirm_at = now + CONFIRM_INTERVAL_SECONDS
            self._read_requested_at = now
            self._follower.is_tailing = True
            self._follower.read_concurrently(now)

    def on_timer(self, now: float) -> list[StoreCall]:
        """Returns the calls that are due."""
        self._now = now
        self._check_past(now)
        self._follower.is_tailing = self._versions.has_unrecorded()
        self._confirm(now)
        calls = self._follower.on_timer(now)
        if now < self._check_at:
            return calls
        self._check_at = now + CHECK_SECONDS
        return calls + self._write(now)

    def _write(self, now: float) -> list[StoreCall]:
        """Writes the records of services whose versions changed, if this daemon is to."""
        if self._write_call and now < self._written_at + CALL_EXPIRY_SECONDS:
            return []
        peers = self._peers(now)
        if peers is None or not self._follower.is_following:
            return []
        if self._knowledge.has_gap:
            self._knowledge.want_records(now)
            return []
        self._writing = {
            service: versions
            for service, versions in self._versions.recent(now)
            if versions != self._stored.get(service)
            and self._is_writer(service, peers, self._takeovers(now, service, versions))
        }
        if not self._writing:
            return []
        self._write_call = self._numbers.next()
        self._written_at = now
        records = tuple(encode_record(*row) for row in sorted(self._writing.items()))
        return [AppendRecords(self._write_call, VERSIONS, records)]

    def _takeovers(self, now: float, service: int, versions: frozenset[int]) -> int:
        """Returns how often further writers are due, as a version has no record."""
        if versions <= self._stored.get(service, frozenset()):
            self._unrecorded_since.pop(service, None)
            return 0
        since = self._unrecorded_since.setdefault(service, now)
        return int((now - since) / TAKEOVER_SECONDS)

    def _is_writer(self, service: int, peers: list[str], takeovers: int) -> bool:
        order = rendezvous_order(f"{service:x}", [self._name, *peers])
        return self._name in order[: WRITERS * (1 + takeovers)]


def encode_record(service: int, versions: frozenset[int]) -> KeyedRecord:
    """Encodes the versions of a service, all by their keys."""
    return KeyedRecord(f"{service:08x}", cbor2.dumps([SCHEMA_VERSION, sorted(versions)]))


@raises_only(MalformedCbor)
def decode_record(record: KeyedRecord) -> tuple[int, frozenset[int]]:
    """Decodes the key of a service and those of its versions; none if the record was removed.

    Raises:
        MalformedCbor: the record is malformed or of another schema.
    """
    if KEY_FORM.fullmatch(record.key) is None:
        raise MalformedCbor(f"malformed key {record.key!r}")
    service = int(record.key, 16)
    if not record.value:
        return service, frozenset()
    schema, versions = decode_cbor(record.value, tuple[int, list[_Key]])
    if schema != SCHEMA_VERSION:
        raise MalformedCbor(f"record of schema {schema}")
    return service, frozenset(versions)
