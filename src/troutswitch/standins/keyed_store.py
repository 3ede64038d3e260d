"""Model of the platform's store: keyed partitions, fenced appends and groups.

The model has no clock and no sockets: simulations call it in virtual time, and the stand-in
process serves it over HTTP. It follows the users' page PROTOCOL, section on the platform's
metadata store, and the answers recorded in docs/PLATFORM.md.
"""

from collections import deque
from dataclasses import dataclass, field

from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    CallFailed,
    EndMoved,
    FencedOff,
    GroupJoined,
    GroupLeft,
    HistoryGone,
    JoinGroup,
    KeyedRecord,
    LeaveGroup,
    NewestPage,
    OutOfSequence,
    Partition,
    ReadNewest,
    ReadRecords,
    RecordsRead,
    StoreCall,
    StoreOutcome,
    WriterStamp,
)

RECORD_BYTES = 262_144
"""Maximum bytes of a record: the length of its key, the key and the value."""
CALL_BYTES = 2_097_152
"""Maximum bytes of the records of an append, each with four bytes for its length."""
LENGTH_BYTES = 4
"""Bytes of a record's length, which precedes it."""
MAX_KEY_BYTES = 255
CACHED_ANSWERS = 5
"""Number of a writer's latest appends whose answers are repeated if the append is repeated."""


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """Limits of one answer: records and bytes of a page of newest records, bytes of a read.

    An answer that is not empty has at least one record, whatever its size.
    """

    page_records: int = 500
    page_bytes: int = 1_000_000
    read_bytes: int = 1_048_576


@dataclass(slots=True)
class WriterState:
    """A partition's state of one writer."""

    epoch: int = -1
    next_sequence: int | None = None
    answers: deque[tuple[int, Appended]] = field(
        default_factory=lambda: deque(maxlen=CACHED_ANSWERS)
    )


@dataclass(slots=True)
class PartitionLog:
    """The records of one partition, and the newest record of each key."""

    first_offset: int = 0
    records: list[KeyedRecord] = field(default_factory=list)
    newest: dict[str, KeyedRecord] = field(default_factory=dict)
    writers: dict[str, WriterState] = field(default_factory=dict)

    @property
    def end(self) -> int:
        """Offset after the last record."""
        return self.first_offset + len(self.records)

    def append(self, records: tuple[KeyedRecord, ...]) -> Appended:
        """Appends records; an empty value deletes its key."""
        offset = self.end
        for record in records:
            stored = KeyedRecord(record.key, record.value, self.end)
            self.records.append(stored)
            if record.value:
                self.newest[record.key] = stored
            else:
                self.newest.pop(record.key, None)
        return Appended(offset, self.end)

    def drop_history(self, before: int | None = None) -> None:
        """Drops the records before an offset, or all; the newest record of each key stays."""
        first = self.end if before is None else min(max(before, self.first_offset), self.end)
        self.records = self.records[first - self.first_offset :]
        self.first_offset = first


@dataclass(slots=True)
class Member:
    """A member of a group. `generation` is the newest assignment that it has acknowledged."""

    last_seen_at: float
    ttl: float
    generation: int


@dataclass(slots=True)
class Group:
    """A group that assigns partitions to its members.

    `targets` is the newest assignment; `holders` names the current owners, which may still have to
    hand over. `rotation` shifts the assignment.
    """

    generation: int = 0
    members: dict[str, Member] = field(default_factory=dict)
    targets: dict[int, str] = field(default_factory=dict)
    holders: dict[int, str] = field(default_factory=dict)
    rotation: int = 0


class KeyedStoreModel:
    """The whole store: all partitions and groups.

    Attributes:
        limits: limits of each answer; tests set small ones.
    """

    def __init__(self, partitions: int = 8, limits: ReadLimits | None = None) -> None:
        self.partitions = partitions
        self.limits = limits or ReadLimits()
        self.logs: dict[Partition, PartitionLog] = {}
        self.groups: dict[str, Group] = {}

    def log(self, partition: Partition) -> PartitionLog:
        """Returns the log of a partition and creates it on first use."""
        return self.logs.setdefault(partition, PartitionLog())

    def call(self, now: float, call: StoreCall) -> StoreOutcome:
        """Executes a call at time `now`, in seconds."""
        match call:
            case ReadNewest():
                return self._newest(call)
            case ReadRecords():
                return self._read(call)
            case AppendRecords():
                return self._append(call)
            case JoinGroup():
                return self._join(now, call)
            case LeaveGroup():
                return self._leave(now, call)

    # Partitions.

    def _newest(self, call: ReadNewest) -> NewestPage:
        log = self.log(call.partition)
        keys = sorted(key for key in log.newest if key > call.after_key)
        page: list[KeyedRecord] = []
        size = 0
        for key in keys[: self.limits.page_records]:
            size += len(log.newest[key].value)
            if page and size > self.limits.page_bytes:
                break
            page.append(log.newest[key])
        return NewestPage(tuple(page), len(page) < len(keys), log.end)

    def _read(self, call: ReadRecords) -> StoreOutcome:
        log = self.log(call.partition)
        if call.offset < log.first_offset:
            return HistoryGone(log.first_offset)
        records: list[KeyedRecord] = []
        size = 0
        for record in log.records[call.offset - log.first_offset :]:
            size += _encoded_bytes(record)
            if records and size > self.limits.read_bytes:
                break
            records.append(record)
        return RecordsRead(tuple(records), call.offset + len(records), log.end)

    def _append(self, call: AppendRecords) -> StoreOutcome:
        if call.partition.number >= self.partitions:
            return CallFailed("no such partition", False)
        if not _are_within_limits(call.records):
            return CallFailed("a record or the call is too large", False)
        log = self.log(call.partition)
        if call.stamp is None:
            return self._append_at(log, call)
        return self._append_stamped(log, call, call.stamp)

    def _append_at(self, log: PartitionLog, call: AppendRecords) -> StoreOutcome:
        if call.expected_end is not None and call.expected_end != log.end:
            return EndMoved(log.end)
        return log.append(call.records)

    def _append_stamped(
        self, log: PartitionLog, call: AppendRecords, stamp: WriterStamp
    ) -> StoreOutcome:
        writer = log.writers.setdefault(stamp.writer, WriterState())
        if stamp.epoch < writer.epoch:
            return FencedOff(writer.epoch)
        if stamp.epoch > writer.epoch:
            writer.epoch = stamp.epoch
            writer.next_sequence = None
            writer.answers.clear()
        if not call.records:
            return Appended(log.end, log.end)
        for sequence, answer in writer.answers:
            if sequence == stamp.sequence:
                return answer
        if writer.next_sequence is not None and stamp.sequence != writer.next_sequence:
            return OutOfSequence(writer.next_sequence)
        outcome = self._append_at(log, call)
        if isinstance(outcome, Appended):
            writer.next_sequence = stamp.sequence + 1
            writer.answers.append((stamp.sequence, outcome))
        return outcome

    # Groups.

    def _join(self, now: float, call: JoinGroup) -> GroupJoined:
        group = self.groups.setdefault(call.group, Group())
        self._expire(now, group)
        if call.member not in group.members:
            group.members[call.member] = Member(now, call.ttl, call.generation)
            self._assign_targets(group)
        member = group.members[call.member]
        member.last_seen_at = now
        member.generation = call.generation
        self._hand_over(group)
        owned = tuple(
            Partition(topic, number)
            for topic in call.topics
            for number, holder in sorted(group.holders.items())
            if holder == call.member and group.targets.get(number) == call.member
        )
        return GroupJoined(group.generation, owned)

    def _leave(self, now: float, call: LeaveGroup) -> GroupLeft:
        group = self.groups.setdefault(call.group, Group())
        self._expire(now, group)
        if group.members.pop(call.member, None) is not None:
            self._assign_targets(group)
            self._hand_over(group)
        return GroupLeft()

    def _expire(self, now: float, group: Group) -> None:
        expired = [n for n, m in group.members.items() if now - m.last_seen_at > m.ttl]
        for name in expired:
            del group.members[name]
        if expired:
            self._assign_targets(group)
            self._hand_over(group)

    def reassign(self, name: str) -> None:
        """Reassigns all partitions immediately, without waiting for their owners to hand over."""
        group = self.groups.setdefault(name, Group())
        group.rotation += 1
        self._assign_targets(group)
        group.holders = dict(group.targets)

    def _assign_targets(self, group: Group) -> None:
        group.generation += 1
        names = sorted(group.members)
        group.targets = {
            number: names[(number + group.rotation) % len(names)]
            for number in range(self.partitions)
            if names
        }

    @staticmethod
    def _hand_over(group: Group) -> None:
        """Moves each partition to its target once the owner knows the assignment or has left."""
        for number, target in group.targets.items():
            holder = group.holders.get(number)
            member = group.members.get(holder) if holder is not None else None
            if member is None or holder == target or member.generation >= group.generation:
                group.holders[number] = target


def _encoded_bytes(record: KeyedRecord) -> int:
    """Returns the bytes of a record: its length, the length of its key, the key and the value."""
    return LENGTH_BYTES + 1 + len(record.key.encode()) + len(record.value)


def _are_within_limits(records: tuple[KeyedRecord, ...]) -> bool:
    """Returns whether the store takes records in one call."""
    keys = [len(record.key.encode()) for record in records]
    sizes = [_encoded_bytes(record) for record in records]
    is_key = max(keys, default=0) <= MAX_KEY_BYTES
    is_record = max(sizes, default=0) <= LENGTH_BYTES + RECORD_BYTES
    return is_key and is_record and sum(sizes) <= CALL_BYTES
