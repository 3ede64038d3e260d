"""Typed calls to the store of keyed, append-only partitions, and their outcomes.

A partition is a log of records with keys. The store keeps the newest record of each key and may
drop older ones. A record with an empty value removes its key. A group assigns the partitions of
some topics to its members.

`call` identifies a call on this daemon. Times are in seconds.
"""

from collections.abc import Collection
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Partition:
    """One partition of a topic."""

    topic: str
    number: int = 0


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record; an empty `value` removes the key. `offset` is -1 before the record is stored."""

    key: str
    value: bytes
    offset: int = -1


@dataclass(frozen=True, slots=True)
class WriterStamp:
    """The fence of an append: a writer's name, its epoch and its next sequence number.

    The store refuses an epoch lower than the highest one it has seen from the writer, and answers a
    repeat of the last sequence number as it did the first time.
    """

    writer: str
    epoch: int
    sequence: int


# Calls. `timeout` bounds the time for the answer, beyond the time for which a read waits at the
# store. With `on_new_connection`, a read is sent on a new connection, not on an open one.

READ_TIMEOUT_SECONDS = 1.5
"""Default timeout of reads."""
WRITE_TIMEOUT_SECONDS = 2.0
"""Default timeout of writes."""


@dataclass(frozen=True, slots=True)
class ReadNewest:
    """Read one page of the newest record of each key, ordered by key, after `after_key`."""

    call: int
    partition: Partition
    after_key: str = ""
    timeout: float = READ_TIMEOUT_SECONDS
    on_new_connection: bool = False


@dataclass(frozen=True, slots=True)
class ReadRecords:
    """Read records from an offset on; wait up to `wait` seconds if there are none yet."""

    call: int
    partition: Partition
    offset: int
    wait: float = 0.0
    timeout: float = READ_TIMEOUT_SECONDS
    on_new_connection: bool = False


@dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append all records or none.

    With `expected_end`, append only if the partition ends there. With `stamp`, append only if the
    writer is not fenced off and its sequence number is the next one.
    """

    call: int
    partition: Partition
    records: tuple[KeyedRecord, ...]
    expected_end: int | None = None
    stamp: WriterStamp | None = None
    timeout: float = WRITE_TIMEOUT_SECONDS


@dataclass(frozen=True, slots=True)
class JoinGroup:
    """Join a group, or renew the membership, which lasts `ttl` seconds.

    `generation` is that of the assignment that the member knows. A partition that the member has
    lost is assigned to another member only after this member knows of the loss, or after its
    membership expired.
    """

    call: int
    group: str
    member: str
    topics: tuple[str, ...]
    ttl: float
    generation: int
    timeout: float = WRITE_TIMEOUT_SECONDS


@dataclass(frozen=True, slots=True)
class LeaveGroup:
    """Leave a group, so that the member's partitions are assigned to others immediately."""

    call: int
    group: str
    member: str
    timeout: float = WRITE_TIMEOUT_SECONDS


StoreCall = ReadNewest | ReadRecords | AppendRecords | JoinGroup | LeaveGroup


# Outcomes.


@dataclass(frozen=True, slots=True)
class NewestPage:
    """A page of newest records; `has_more` tells whether another page follows.

    `last_key` is the key of the last row, empty if that is the last record. The store may hold
    records that are unreadable, which are not among `records`.
    """

    records: tuple[KeyedRecord, ...]
    has_more: bool
    end: int
    last_key: str = ""

    @property
    def next_key(self) -> str:
        """The key behind which the next page begins; empty if this page names none."""
        if self.last_key:
            return self.last_key
        return self.records[-1].key if self.records else ""

    def leads_on(self, after_keys: Collection[str]) -> bool:
        """Returns whether this page is the last one, or names a key that leads to further pages.

        Args:
            after_keys: the keys behind which this page and those before it begin.
        """
        return not self.has_more or (bool(self.next_key) and self.next_key not in after_keys)


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """Records from the requested offset on; `next_offset` is where the next read begins."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The records at the requested offset were dropped; those from `first_offset` on remain."""

    first_offset: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The records were appended at `offset`; the partition ends at `end`."""

    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class EndMoved:
    """Nothing was appended, as the partition ends at `end`, not at the expected offset."""

    end: int


@dataclass(frozen=True, slots=True)
class FencedOff:
    """Nothing was appended, as the store has seen a higher epoch of the writer.

    `epoch` is None if the store did not state which.
    """

    epoch: int | None


@dataclass(frozen=True, slots=True)
class OutOfSequence:
    """Nothing was appended, as the writer's next sequence number is `expected`.

    `expected` is None if the store did not state it.
    """

    expected: int | None


@dataclass(frozen=True, slots=True)
class GroupJoined:
    """The partitions assigned to the member at a generation of the group."""

    generation: int
    partitions: tuple[Partition, ...]


@dataclass(frozen=True, slots=True)
class GroupLeft:
    """The member left the group."""


@dataclass(frozen=True, slots=True)
class CallFailed:
    """The call failed, was not answered, or its answer states no outcome.

    `may_have_acted` is False only if the store answered that it did nothing, or was not reached.
    """

    reason: str
    may_have_acted: bool


StoreOutcome = (
    NewestPage
    | RecordsRead
    | HistoryGone
    | Appended
    | EndMoved
    | FencedOff
    | OutOfSequence
    | GroupJoined
    | GroupLeft
    | CallFailed
)


@dataclass(frozen=True, slots=True)
class StoreAnswered:
    """Event: a store call ended with an outcome."""

    call: int
    outcome: StoreOutcome
