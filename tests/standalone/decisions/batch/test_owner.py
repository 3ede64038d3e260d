"""Shard owner and log writer: regressions for faults that were found by simulation."""

import random

from troutswitch.common import Address
from troutswitch.outcomes import AttemptOutcome
from troutswitch.standalone.decisions.batch.owner import ItemReference, ShardOwner
from troutswitch.standalone.decisions.batch.ownership import Ownership
from troutswitch.standalone.decisions.batch.replica import ShardReplica, shard_stream
from troutswitch.standalone.decisions.effects import AppendToLog, Effect, ReadLog
from troutswitch.standalone.decisions.events import BatchAttemptEnded, LogRead
from troutswitch.standalone.decisions.log_reader import LogReader
from troutswitch.standalone.decisions.log_writer import LogWriter
from troutswitch.standalone.decisions.members import INCARNATION_STEP
from troutswitch.standalone.decisions.membership import Membership
from troutswitch.standalone.log_service.records import (
    AttemptStarted,
    BatchItem,
    ChunkSubmitted,
    EpochClaimed,
    ItemFinished,
    JobCommitted,
    Record,
    decode_entry,
    encode_entry,
)

NOW = 100.0


class ShardFixture:
    """One daemon's ownership of one shard, with an in-memory log."""

    def __init__(self) -> None:
        rng = random.Random(1)
        membership = Membership("me", 7 * INCARNATION_STEP, Address("10.0.0.1", 1), "z", rng)
        self.writer = LogWriter("me#7")
        self.reader = LogReader()
        self.log: list[bytes] = []
        self.ownership = Ownership(
            1, membership, self.writer, self.reader, lambda now: [], lambda now, owner: []
        )

    def write(self, writer: str, sequence: int, *records: Record) -> int:
        self.log.append(encode_entry(writer, sequence, list(records)))
        return len(self.log) - 1

    def execute(self, effects: list[Effect]) -> None:
        """Executes the reads and appends among the effects and among those that follow."""
        pending = list(effects)
        while pending:
            effect = pending.pop(0)
            if isinstance(effect, AppendToLog) and effect.stream == shard_stream(0):
                self.log.append(effect.payload)
                pending.extend(self.writer.on_appended(effect.stream))
                pending.extend(self.ownership.on_appended(NOW, effect.stream))
            elif isinstance(effect, ReadLog):
                pending.extend(self.reader.on_answer(NOW, self.answer(effect)))

    def answer(self, effect: ReadLog) -> LogRead:
        entries = self.log if effect.stream == shard_stream(0) else []
        entries_read = tuple(entries[effect.offset : effect.offset + effect.limit])
        return LogRead(effect.token, effect.stream, effect.offset, entries_read, len(entries))

    def start(self) -> ShardOwner:
        replica, effects = self.ownership.replica(NOW, 0)
        assert isinstance(replica, ShardReplica)
        self.execute(effects)
        self.execute(self.ownership.on_timer(NOW))
        self.execute(self.ownership.on_timer(NOW + 1.1))
        return self.ownership.owners[0]

    def records(self) -> list[Record]:
        return [record for entry in self.log for record in decode_entry(entry).records]


def submit(shard: ShardFixture, repeatable: bool) -> None:
    items = [BatchItem("one", "p", 1), BatchItem("two", "p", 1)]
    commit = JobCommitted("job", "id", "c", "t", "s", 2, repeatable, 0.0, 9e9, 1.0)
    shard.write("other#1", 1, ChunkSubmitted("job", 0, items), commit)


def test_item_attempted_in_an_earlier_epoch_is_not_dispatched_again() -> None:
    """Guards against an attempt that is read together with the new owner's claim.

    The failure was found by simulation (quetzal, seed 1).
    """
    shard = ShardFixture()
    submit(shard, repeatable=False)
    epoch = shard.write("other#1", 2, EpochClaimed("other#1", -1))
    shard.write("other#1", 3, AttemptStarted(epoch, "job", 0))
    claim = shard.write("me#7", 1, EpochClaimed("me#7", epoch))
    shard.writer.append("elsewhere", [])
    replica, effects = shard.ownership.replica(NOW, 0)
    shard.execute(effects)
    owner = shard.ownership.owners[0]
    assert owner.epoch == claim
    finished = [r for r in shard.records() if isinstance(r, ItemFinished)]
    assert [(r.item_index, r.outcome) for r in finished] == [(0, "may_have_run")]
    job = replica.fold.jobs["job"]
    dispatched = []
    for _ in range(6):
        ready_item, effects_of_item = owner.next_item(NOW, job)
        shard.execute(effects_of_item)
        dispatched.extend([ready_item.reference.index] if ready_item is not None else [])
    assert dispatched == [1]


def test_cancelled_item_is_requeued_and_its_result_is_recorded_once() -> None:
    shard = ShardFixture()
    submit(shard, repeatable=True)
    owner = shard.start()
    job = owner.fold.jobs["job"]
    _, fetch = owner.next_item(NOW, job)
    shard.execute(fetch)
    first, _ = owner.next_item(NOW, job)
    assert first is not None
    cancelled = BatchAttemptEnded("a", AttemptOutcome.CANCELLED, "yielded", False, 7, "half an")
    owner.on_attempt_ended(NOW, first.reference, cancelled)
    second, _ = owner.next_item(NOW, job)
    assert second is not None and second.reference == first.reference
    assert (second.partial.position, second.partial.text) == (7, "half an")
    completed = BatchAttemptEnded("b", AttemptOutcome.COMPLETED, "half an answer")
    late = BatchAttemptEnded("c", AttemptOutcome.COMPLETED, "late")
    shard.execute(owner.on_attempt_ended(NOW, second.reference, completed))
    shard.execute(owner.on_attempt_ended(NOW, ItemReference("job", 0), late))
    assert job.completed == 1


def test_writer_ignores_confirmations_of_snapshot_appends() -> None:
    """Guards against a KeyError at the confirmation of an append that was not queued."""
    writer = LogWriter("me#7")
    assert writer.on_appended("snapshot-0000") == []
    assert writer.on_failed(NOW, "snapshot-0000") == []
