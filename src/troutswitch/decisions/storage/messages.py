"""Typed calls to a store of keyed, append-only partitions, and their outcomes.

A partition is a log of records; each record has a key, and the newest record of a key
is kept for good, while older ones may be dropped. An empty value removes its key.
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
    """The fence of an append: a writer's text, its epoch and its next sequence number.

    A lower epoch than the partition has seen is refused, and a repeat of the last
    sequence gets its first answer again.
    """

    writer: str
    epoch: int
    sequence: int


# Calls. Each has a `timeout`, the longest time in seconds for its answer beyond what a
# read waits at the store.

READ_TIMEOUT_SECONDS = 1.5
WRITE_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class ReadNewest:
    """Read a page of the newest record of each key, after a key. `call` names the call."""

    call: int
    partition: Partition
    after_key: str = ""
    timeout: float = READ_TIMEOUT_SECONDS


@dataclass(frozen=True, slots=True)
class ReadRecords:
    """Read records from an offset; wait up to `wait` seconds if there is none."""

    call: int
    partition: Partition
    offset: int
    wait: float = 0.0
    timeout: float = READ_TIMEOUT_SECONDS


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
    """Join a group that deals partitions out, or stay in it."""

    call: int
    group: str
    member: str
    topics: tuple[str, ...]
    ttl: float
    generation: int
    timeout: float = WRITE_TIMEOUT_SECONDS


@dataclass(frozen=True, slots=True)
class LeaveGroup:
    """Leave a group, so that its partitions pass on at once."""

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
    """Records from the asked offset on; `next_offset` is where the next read begins."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The records at the asked offset were dropped."""

    first: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The records stand at `offset` and after; the partition ends at `end`."""

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
    """Nothing was appended: another sequence number is wanted."""

    wanted: int


@dataclass(frozen=True, slots=True)
class GroupJoined:
    """The member's partitions at a generation of the group."""

    generation: int
    partitions: tuple[Partition, ...]


@dataclass(frozen=True, slots=True)
class GroupLeft:
    """The member left the group."""


@dataclass(frozen=True, slots=True)
class CallFailed:
    """The call was not answered as hoped.

    `may_have_acted` is False only where the store said that nothing was done, or was
    not reached at all.
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
    """Event: a store call came to its outcome."""

    call: int
    outcome: StoreOutcome
