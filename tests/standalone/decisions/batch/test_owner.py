"""Causes found by simulation, as tests of the shard owner and its surroundings."""

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


class Shard:
    """One daemon's ownership of one shard over a log kept in a list."""

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

    def carry_out(self, effects: list[Effect]) -> None:
        """Answers reads and appends until nothing is left."""
        waiting = list(effects)
        while waiting:
            effect = waiting.pop(0)
            if isinstance(effect, AppendToLog) and effect.stream == shard_stream(0):
                self.log.append(effect.payload)
                waiting.extend(self.writer.on_appended(effect.stream))
                waiting.extend(self.ownership.on_appended(NOW, effect.stream))
            elif isinstance(effect, ReadLog):
                waiting.extend(self.reader.on_answer(NOW, self.answer(effect)))

    def answer(self, effect: ReadLog) -> LogRead:
        entries = self.log if effect.stream == shard_stream(0) else []
        found = tuple(entries[effect.offset : effect.offset + effect.limit])
        return LogRead(effect.token, effect.stream, effect.offset, found, len(entries))

    def start(self) -> ShardOwner:
        replica, effects = self.ownership.replica(NOW, 0)
        assert isinstance(replica, ShardReplica)
        self.carry_out(effects)
        self.carry_out(self.ownership.on_timer(NOW))
        self.carry_out(self.ownership.on_timer(NOW + 1.1))
        return self.ownership.owners[0]

    def records(self) -> list[Record]:
        return [record for entry in self.log for record in decode_entry(entry).records]


def submit(shard: Shard, repeatable: bool) -> None:
    items = [BatchItem("one", "p", 1), BatchItem("two", "p", 1)]
    commit = JobCommitted("job", "id", "c", "t", "s", 2, repeatable, 0.0, 9e9, 1.0)
    shard.write("other#1", 1, ChunkSubmitted("job", 0, items), commit)


def test_an_attempt_of_an_earlier_epoch_is_never_dispatched_again() -> None:
    """Quetzal seed 1: the attempt was read together with our own claim."""
    shard = Shard()
    submit(shard, repeatable=False)
    epoch = shard.write("other#1", 2, EpochClaimed("other#1", -1))
    shard.write("other#1", 3, AttemptStarted(epoch, "job", 0))
    claim = shard.write("me#7", 1, EpochClaimed("me#7", epoch))
    shard.writer.append("elsewhere", [])
    replica, effects = shard.ownership.replica(NOW, 0)
    shard.carry_out(effects)
    owner = shard.ownership.owners[0]
    assert owner.epoch == claim
    finished = [r for r in shard.records() if isinstance(r, ItemFinished)]
    assert [(r.item_index, r.outcome) for r in finished] == [(0, "may_have_run")]
    job = replica.fold.jobs["job"]
    handouts = []
    for _ in range(6):
        handout, more = owner.next_item(NOW, job)
        shard.carry_out(more)
        handouts.extend([handout.reference.index] if handout is not None else [])
    assert handouts == [1]


def test_a_cancelled_attempt_goes_back_and_a_result_is_recorded_once() -> None:
    shard = Shard()
    submit(shard, repeatable=True)
    owner = shard.start()
    job = owner.fold.jobs["job"]
    _, fetch = owner.next_item(NOW, job)
    shard.carry_out(fetch)
    first, _ = owner.next_item(NOW, job)
    assert first is not None
    cut = BatchAttemptEnded("a", AttemptOutcome.CANCELLED, "yielded", False, 7, "half an")
    owner.on_attempt_ended(NOW, first.reference, cut)
    again, _ = owner.next_item(NOW, job)
    assert again is not None and again.reference == first.reference
    assert (again.partial.position, again.partial.text) == (7, "half an")
    done = BatchAttemptEnded("b", AttemptOutcome.COMPLETED, "half an answer")
    late = BatchAttemptEnded("c", AttemptOutcome.COMPLETED, "late")
    shard.carry_out(owner.on_attempt_ended(NOW, again.reference, done))
    shard.carry_out(owner.on_attempt_ended(NOW, ItemReference("job", 0), late))
    assert job.completed == 1


def test_a_snapshot_append_does_not_disturb_the_writer() -> None:
    """A confirmed append that the writer had not queued ended the loop with a KeyError."""
    writer = LogWriter("me#7")
    assert writer.on_appended("snapshot-0000") == []
    assert writer.on_failed(NOW, "snapshot-0000") == []
