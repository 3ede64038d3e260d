"""Records of an owner that was paused beyond its lease have no effect."""

import pytest

from troutswitch.standalone.decisions.batch.fold import ShardFold
from troutswitch.standalone.decisions.batch.jobs import ItemState, JobStatus
from troutswitch.standalone.log_service.records import (
    AttemptStarted,
    BatchItem,
    ChunkSubmitted,
    Entry,
    EpochClaimed,
    EpochRenewed,
    ItemFinished,
    JobCancelled,
    JobCommitted,
    Record,
)


class Stream:
    """A shard stream and its fold."""

    def __init__(self) -> None:
        self.fold = ShardFold()
        self.count = 0

    def append(self, *records: Record) -> int:
        self.count += 1
        self.fold.apply(self.count - 1, Entry(1, "w#1", self.count, list(records)))
        return self.count - 1

    def submit(self, job_id: str) -> None:
        items = [BatchItem(f"{job_id}/0", "p", 1), BatchItem(f"{job_id}/1", "p", 1)]
        commit = JobCommitted(job_id, job_id, "c", "t", "s", 2, False, 0.0, 9.0, 9.0)
        self.append(ChunkSubmitted(job_id, 0, items), commit)


def fold_with_records_of_a_previous_owner() -> ShardFold:
    """Returns the fold after owner b took over and queued records of paused owner a arrived."""
    stream = Stream()
    stream.submit("job")
    first = stream.append(EpochClaimed("a#1", -1))
    second = stream.append(EpochClaimed("b#1", first))
    stream.append(AttemptStarted(first, "job", 0), ItemFinished(first, "job", 1, "completed", "x"))
    stream.append(EpochRenewed(first))
    assert stream.fold.epoch == second
    return stream.fold


def test_records_of_a_previous_epoch_are_void() -> None:
    fold = fold_with_records_of_a_previous_owner()
    assert fold.jobs["job"].state_of(0) is ItemState.OPEN
    assert fold.jobs["job"].state_of(1) is ItemState.OPEN
    assert fold.owner == "b#1"


def test_previous_owner_changes_items_without_the_epoch_check(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ShardFold, "_is_current", lambda self, offset, epoch: True)
    fold = fold_with_records_of_a_previous_owner()
    assert fold.jobs["job"].state_of(0) is ItemState.ATTEMPTED
    assert fold.jobs["job"].state_of(1) is ItemState.COMPLETED


def test_first_of_two_concurrent_claims_wins() -> None:
    stream = Stream()
    first = stream.append(EpochClaimed("a#1", -1))
    stream.append(EpochClaimed("b#1", -1))
    assert (stream.fold.epoch, stream.fold.owner) == (first, "a#1")


def test_results_after_a_cancellation_are_void() -> None:
    stream = Stream()
    stream.submit("job")
    epoch = stream.append(EpochClaimed("a#1", -1))
    stream.append(ItemFinished(epoch, "job", 0, "completed", "kept"))
    stream.append(JobCancelled("job"))
    stream.append(ItemFinished(epoch, "job", 1, "completed", "late"))
    job = stream.fold.jobs["job"]
    assert (job.status, job.completed) == (JobStatus.CANCELLED, 1)
