"""Typed calls to the store of keyed, append-only partitions, and their outcomes.

A partition is a log of records; each record has a key, and the newest record of a key is kept for
good, while older ones may be dropped. An empty value removes its key. A group assigns the
partitions of some topics to its members.

`call` names a call on this daemon. Times are seconds.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Partition:
    """One partition of a topic."""

    topic: str
    number: int = 0


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record; `value` is empty where the key is removed."""

    key: str
    value: bytes
    offset: int = -1


@dataclass(frozen=True, slots=True)
class WriterStamp:
    """The fence of an append: a writer's name, its epoch and its next sequence number.

    The store refuses an epoch that is lower than one it has seen of the writer, and gives a repeat
    of the last sequence number its first answer again.
    """

    writer: str
    epoch: int
    sequence: int


# Calls. `timeout` is the longest time for the answer beyond what a read waits at the store. With
# `on_new_connection`, a read is not sent on a connection that is already open.

READ_TIMEOUT_SECONDS = 1.5
"""Timeout of reads that name none."""
WRITE_TIMEOUT_SECONDS = 2.0
"""Timeout of writes that name none."""


@dataclass(frozen=True, slots=True)
class ReadNewest:
    """Read a page of the newest record of each key, in the order of keys, after a key."""

    call: int
    partition: Partition
    after_key: str = ""
    timeout: float = READ_TIMEOUT_SECONDS
    on_new_connection: bool = False


@dataclass(frozen=True, slots=True)
class ReadRecords:
    """Read records from an offset; wait up to `wait` seconds if there is none."""

    call: int
    partition: Partition
    offset: int
    wait: float = 0.0
    timeout: float = READ_TIMEOUT_SECONDS
    on_new_connection: bool = False


@dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append all records or none.

    With `expected_end`, only if the partition ends there; with `stamp`, only if the
    writer is not fenced off.
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

    `generation` is that of the assignment that the member knows. The group assigns a partition that
    the member has lost to another one only when the member knows it, or its membership expired.
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
    """Leave a group, so that others are assigned the member's partitions at once."""

    call: int
    group: str
    member: str
    timeout: float = WRITE_TIMEOUT_SECONDS


StoreCall = ReadNewest | ReadRecords | AppendRecords | JoinGroup | LeaveGroup


# Outcomes.


@dataclass(frozen=True, slots=True)
class NewestPage:
    """A page of newest records; `has_more` if the next page is to be read."""

    records: tuple[KeyedRecord, ...]
    has_more: bool
    end: int


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """Records from the given offset on; `next_offset` is where the next read begins."""

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
    """Nothing was appended: the partition ends elsewhere."""

    end: int


@dataclass(frozen=True, slots=True)
class FencedOff:
    """Nothing was appended: a higher epoch of the writer was seen."""

    epoch: int


@dataclass(frozen=True, slots=True)
class OutOfSequence:
    """Nothing was appended: the next sequence number is another one."""

    expected: int


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
    """The call failed, or was not answered.

    `may_have_acted` is False only where the store said that nothing was done, or was not reached at
    all.
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
    """Event: a store call has an outcome."""

    call: int
    outcome: StoreOutcome
