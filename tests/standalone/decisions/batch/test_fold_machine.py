"""State machine test of the shard fold with records of owners and submitters in any order."""

from array import array

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from troutswitch.standalone.decisions.batch.fold import Accepted, Duplicate, ShardFold
from troutswitch.standalone.decisions.batch.jobs import Job
from troutswitch.standalone.decisions.batch.snapshot import decode_snapshot, encode_snapshot
from troutswitch.standalone.log_service.records import (
    AttemptStarted,
    BatchItem,
    ChunkSubmitted,
    Entry,
    EpochClaimed,
    EpochReleased,
    ItemFinished,
    JobCancelled,
    JobClosed,
    JobCommitted,
    Record,
    pack_offsets,
)

ITEMS = 3
jobs = st.sampled_from(["job-0", "job-1", "job-2"])
keys = st.sampled_from(["key-0", "key-1"])
indexes = st.integers(0, ITEMS - 1)
writers = st.sampled_from(["a#1", "b#1"])
epoch_choices = st.integers(0, 3)


class ShardFoldMachine(RuleBasedStateMachine):
    """Two writers append records, including stale and duplicate ones."""

    def __init__(self) -> None:
        super().__init__()
        self.fold = ShardFold()
        self.log: list[Entry] = []
        self.sequences = {"a#1": 0, "b#1": 0}
        self.epochs = [-1]
        self.first_results: dict[tuple[str, int], tuple[int, str]] = {}
        self.cancelled_open: dict[str, set[int]] = {}

    def append(self, writer: str, records: list[Record]) -> int:
        self.sequences[writer] += 1
        return self.put(Entry(1, writer, self.sequences[writer], records))

    def put(self, entry: Entry) -> int:
        self.log.append(entry)
        offset = len(self.log) - 1
        before = self.fold.epoch
        self.fold.apply(offset, entry)
        if self.fold.epoch != before:
            self.epochs.append(self.fold.epoch)
        return offset

    def epoch(self, choice: int) -> int:
        return self.epochs[-1 - min(choice, len(self.epochs) - 1)]

    @rule(writer=writers, job=jobs, key=keys, at=st.integers(0, 200))
    def submit(self, writer: str, job: str, key: str, at: int) -> None:
        items = [BatchItem(f"{job}/{i}", "p", 1) for i in range(ITEMS)]
        commit = JobCommitted(
            job, key, f"content-{key}", "t", "s", ITEMS, True, float(at), 1e9, 100.0
        )
        self.append(writer, [ChunkSubmitted(job, 0, items), commit])

    @rule(writer=writers, job=jobs, key=keys)
    def commit_without_chunks(self, writer: str, job: str, key: str) -> None:
        commit = JobCommitted(job, key, "c", "t", "s", ITEMS, True, 0.0, 1e9, 100.0)
        known = job in self.fold.jobs
        staged = job in self.fold.staged_chunks
        self.append(writer, [commit])
        assert known or staged or job not in self.fold.jobs

    @rule(writer=writers, choice=epoch_choices)
    def claim(self, writer: str, choice: int) -> None:
        previous = self.epoch(choice)
        is_current = previous == self.fold.epoch
        offset = self.append(writer, [EpochClaimed(writer, previous)])
        assert (self.fold.epoch == offset) == is_current

    @rule(writer=writers, choice=epoch_choices)
    def release(self, writer: str, choice: int) -> None:
        self.append(writer, [EpochReleased(self.epoch(choice))])

    @rule(writer=writers, choice=epoch_choices, job=jobs, index=indexes)
    def attempt(self, writer: str, choice: int, job: str, index: int) -> None:
        self.append(writer, [AttemptStarted(self.epoch(choice), job, index)])

    @rule(writer=writers, choice=epoch_choices, job=jobs, index=indexes, body=st.text(max_size=3))
    def finish(self, writer: str, choice: int, job: str, index: int, body: str) -> None:
        epoch = self.epoch(choice)
        known_job = self.fold.jobs.get(job)
        is_open = (
            known_job is not None
            and known_job.is_running
            and not known_job.is_closed
            and not known_job.state_of(index).is_final
        )
        is_valid = is_open and epoch == self.fold.epoch and bool(self.fold.owner)
        finished_before = known_job.finished if known_job is not None else 0
        offset = self.append(writer, [ItemFinished(epoch, job, index, "completed", body)])
        if known_job is not None and not known_job.is_closed:
            assert known_job.finished == finished_before + is_valid
        if is_valid:
            assert (job, index) not in self.first_results
            self.first_results[job, index] = (offset, body)

    @rule(writer=writers, job=jobs)
    def cancel(self, writer: str, job: str) -> None:
        self.append(writer, [JobCancelled(job)])

    @rule(writer=writers, choice=epoch_choices, job=jobs)
    def close(self, writer: str, choice: int, job: str) -> None:
        packed = pack_offsets(array("Q", [0] * ITEMS))
        self.append(writer, [JobClosed(self.epoch(choice), job, packed)])

    @rule(data=st.data())
    def repeat_an_entry(self, data: st.DataObject) -> None:
        if self.log:
            entry = data.draw(st.sampled_from(self.log))
            before = encode_snapshot(self.fold)
            self.put(entry)
            after = decode_snapshot(encode_snapshot(self.fold))
            after.next_offset -= 1
            assert encode_snapshot(after) == before

    @rule()
    def reload_from_snapshot(self) -> None:
        self.fold = decode_snapshot(encode_snapshot(self.fold))

    @invariant()
    def all_readers_agree(self) -> None:
        replica = ShardFold()
        for offset, entry in enumerate(self.log):
            replica.apply(offset, entry)
        assert encode_snapshot(replica) == encode_snapshot(self.fold)

    @invariant()
    def identity_has_one_job_within_its_window(self) -> None:
        latest: dict[str, Job] = {}
        for job_id, verdict in self.fold.verdicts.items():
            if verdict != Accepted():
                continue
            job = self.fold.jobs[job_id]
            earlier = latest.get(job.identity)
            if earlier is not None:
                assert job.committed_at - earlier.committed_at >= earlier.identity_window
            latest[job.identity] = job

    @invariant()
    def duplicate_verdict_names_an_existing_job(self) -> None:
        for verdict in self.fold.verdicts.values():
            if isinstance(verdict, Duplicate):
                assert verdict.job_id in self.fold.jobs

    @invariant()
    def first_results_are_kept(self) -> None:
        for (job, index), (offset, _) in self.first_results.items():
            known_job = self.fold.jobs[job]
            if not known_job.is_closed:
                assert known_job.result_offsets[index] == offset
                assert known_job.state_of(index).is_final


TestShardFold = ShardFoldMachine.TestCase
TestShardFold.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None, database=None
)
