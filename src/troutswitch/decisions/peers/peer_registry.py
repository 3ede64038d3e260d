"""The peer registry in the store: each daemon's address and its learnt run times.

A daemon that starts finds its peers here, and starts from their estimates of the services' run
times. Without the registry, these would be lost when all daemons are killed at once.

Owns this daemon's entry and the calls that read and write the registry. Entries are CBOR arrays.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import cbor2

from troutswitch.cbor_values import MalformedCbor, decode_cbor
from troutswitch.common import Address, Ipv4Host, Port
from troutswitch.decisions.forwarding.learned_times import LearnedTimes
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    KeyedRecord,
    NewestPage,
    Partition,
    ReadNewest,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decoding import raises_only

PEERS_TOPIC = "daemons"
INITIAL_READ_INTERVAL_SECONDS = 1.0
"""Interval between the first reads, while other daemons may be starting too."""
READ_INTERVAL_SECONDS = 10.0
"""Interval between later reads."""
MAX_READ_AGE_SECONDS = 3 * READ_INTERVAL_SECONDS
"""Age of the last successful read up to which the registry counts as current: two lost reads."""
INITIAL_READS = 2
"""Successful reads before the longer interval applies. A daemon that starts while the store is
unreachable knows no peer until a read succeeds."""
CALL_EXPIRY_SECONDS = 4.0
"""Time after which a call without an answer is repeated."""
WRITE_RETRY_PAUSE_SECONDS = 1.0
"""Pause after a write that failed."""
MIN_LEARNED_TIMES_INTERVAL_SECONDS = 6.0
"""Minimum interval between writes of learnt run times."""
MIN_LEARNED_TIMES_INTERVAL_PER_PEER_SECONDS = 0.1
"""Minimum such interval for each known peer, which bounds the writes of a large fleet."""


@dataclass(frozen=True, slots=True)
class PeerRegistryEntry:
    """One daemon's name, address, zone and learnt run times."""

    name: str
    address: Address
    zone: str
    learned_times: LearnedTimes


class PeerRegistry:
    """Reads the registry, and keeps this daemon's entry up to date.

    Args:
        own_entry: returns this daemon's current entry.
        count_peers: returns how many other daemons are known.
        numbers: source of call numbers.
        apply_entry: called with the time and an entry that was read.
        log: called with an event and its fields.
    """

    def __init__(
        self,
        own_entry: Callable[[], PeerRegistryEntry],
        count_peers: Callable[[], int],
        numbers: CallNumbers,
        apply_entry: Callable[[float, PeerRegistryEntry], None],
        log: Callable[..., None],
    ) -> None:
        self._own_entry = own_entry
        self._count_peers = count_peers
        self._numbers = numbers
        self._apply_entry = apply_entry
        self._log = log
        self._next_read_at = float("-inf")
        self._read_call = 0
        self._next_write_at = float("inf")
        self._write_call = 0
        self._last_written = LearnedTimes()
        self._successful_reads = 0
        self._read_at = float("-inf")

    def is_current(self, now: float) -> bool:
        """Returns whether the registry was read lately, and often enough after the start.

        Daemons that start together find each other with the second read.
        """
        is_recent = now - self._read_at <= MAX_READ_AGE_SECONDS
        return is_recent and self._successful_reads >= INITIAL_READS

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min(self._next_read_at, self._next_write_at)

    def on_timer(self, now: float) -> list[StoreCall]:
        """Makes the calls that are due."""
        calls: list[StoreCall] = []
        if now >= self._next_write_at:
            calls += self._write(now)
        if now >= self._next_read_at:
            calls.append(self._read(now))
            if self._successful_reads == 0:
                self._next_write_at = min(self._next_write_at, now + INITIAL_READ_INTERVAL_SECONDS)
        return calls

    def _write(self, now: float) -> list[StoreCall]:
        entry = self._own_entry()
        is_first = self._write_call == 0
        if not is_first and entry.learned_times.is_similar_to(self._last_written):
            self._next_write_at = now + self._learned_times_interval()
            return []
        self._next_write_at = now + CALL_EXPIRY_SECONDS
        self._write_call = self._numbers.next()
        self._last_written = entry.learned_times
        record = KeyedRecord(entry.name, encode_entry(entry))
        return [AppendRecords(self._write_call, Partition(PEERS_TOPIC), (record,))]

    def _learned_times_interval(self) -> float:
        return max(
            MIN_LEARNED_TIMES_INTERVAL_SECONDS,
            MIN_LEARNED_TIMES_INTERVAL_PER_PEER_SECONDS * self._count_peers(),
        )

    def _read(self, now: float) -> StoreCall:
        self._next_read_at = now + CALL_EXPIRY_SECONDS
        self._read_call = self._numbers.next()
        return ReadNewest(self._read_call, Partition(PEERS_TOPIC))

    def owns(self, call: int) -> bool:
        """Returns whether a store call is a read or a write of the registry."""
        return call in (self._read_call, self._write_call)

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a read, or of a write of this daemon's entry."""
        if call == self._write_call:
            self._on_written(now, isinstance(outcome, Appended))
            return
        if not isinstance(outcome, NewestPage):
            self._next_read_at = now + INITIAL_READ_INTERVAL_SECONDS
            return
        self._successful_reads += 1
        self._read_at = now
        if self._successful_reads == 1:
            # The entry of this daemon's previous incarnation must be read before it is replaced.
            self._next_write_at = min(self._next_write_at, now)
        is_early = self._successful_reads <= INITIAL_READS
        self._next_read_at = now + (
            INITIAL_READ_INTERVAL_SECONDS if is_early else READ_INTERVAL_SECONDS
        )
        for record in outcome.records:
            self._apply_record(now, record)

    def _on_written(self, now: float, succeeded: bool) -> None:
        if succeeded:
            self._next_write_at = now + self._learned_times_interval()
        else:
            self._last_written = LearnedTimes()
            self._write_call = 0
            self._next_write_at = now + WRITE_RETRY_PAUSE_SECONDS

    def _apply_record(self, now: float, record: KeyedRecord) -> None:
        try:
            entry = decode_entry(record)
        except ValueError:
            self._log("peer record malformed", peer=record.key)
            return
        self._apply_entry(now, entry)


def encode_entry(entry: PeerRegistryEntry) -> bytes:
    """Encodes an entry as a record's value."""
    address = entry.address
    return cbor2.dumps([address.host, address.port, entry.zone, entry.learned_times.to_fields()])


@raises_only(MalformedCbor)
def decode_entry(record: KeyedRecord) -> PeerRegistryEntry:
    """Decodes the entry in a record.

    Raises:
        ValueError: it is malformed.
    """
    host, port, zone, learnt = decode_cbor(record.value, tuple[Ipv4Host, Port, str, list[Any]])
    learned_times = LearnedTimes.from_fields(learnt)
    return PeerRegistryEntry(record.key, Address(host, port), zone, learned_times)
