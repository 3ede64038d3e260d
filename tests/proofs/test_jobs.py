"""Guarantees of batch jobs under faults, with and without the mechanisms that provide them."""

import dataclasses

import pytest

from tests.simulation.fleet import Daemon, SimulatedFleet
from tests.simulation.observed_job import EVENTS_PER_ITEM
from troutswitch.decisions.jobs.messages import RunItem
from troutswitch.decisions.jobs.ownership import WRITER
from troutswitch.decisions.jobs.records import (
    CHECKPOINT,
    DONE,
    ItemResult,
    read_result_head,
    result_records,
    shard_partition,
)
from troutswitch.decisions.storage.messages import (
    AppendRecords,
    KeyedRecord,
    NewestPage,
    ReadNewest,
    StoreCall,
    WriterStamp,
)
from troutswitch.standins.keyed_store import KeyedStoreModel

START_SECONDS = 3.0


def started_fleet(seed: int, **options: object) -> SimulatedFleet:
    fleet = SimulatedFleet(seed, **options)  # type: ignore[arg-type]
    fleet.run(START_SECONDS)
    return fleet


def check_jobs(fleet: SimulatedFleet, jobs: int | None = None) -> None:
    assert fleet.violations == []
    assert fleet.unfinished_jobs() == []
    if jobs is not None:
        assert sum(j.accepted_at < float("inf") for j in fleet.jobs.values()) == jobs


def test_items_of_accepted_jobs_run_once_and_are_listed() -> None:
    fleet = started_fleet(1)
    for number in range(6):
        fleet.submit_job(f"job{number}", 5)
    fleet.run(30.0)
    check_jobs(fleet, 6)
    assert all(set(job.run_counts.values()) == {1} for job in fleet.jobs.values())


@pytest.mark.parametrize("seed", range(4))
def test_jobs_survive_simultaneous_kills_of_all_daemons(seed: int) -> None:
    fleet = started_fleet(seed)
    for number in range(4):
        fleet.submit_job(f"job{number}", 4)
    fleet.run(1.5)
    for name in list(fleet.daemons):
        fleet.kill(name)
    fleet.run(40.0)
    check_jobs(fleet, 4)


class EventCountingFleet(SimulatedFleet):
    """Counts the events that engines produce."""

    event_count = 0

    def _make_event(self, daemon: Daemon, run: RunItem, number: int, interval: float) -> None:
        self.event_count += daemon.is_alive and run.run not in daemon.stopped_runs
        super()._make_event(daemon, run, number, interval)


def without_saved_output(call: StoreCall) -> StoreCall:
    """Appends removals in place of saved output, so that all offsets stay as they were."""
    if not isinstance(call, AppendRecords):
        return call
    records = tuple(
        KeyedRecord(r.key, b"") if r.key.startswith(f"{CHECKPOINT}:") else r for r in call.records
    )
    return dataclasses.replace(call, records=records)


@pytest.mark.parametrize("saves_output", [True, False])
def test_a_planned_stop_loses_no_output(saves_output: bool) -> None:
    rewrite_call = None if saves_output else without_saved_output
    fleet = EventCountingFleet(5, rewrite_call=rewrite_call)
    fleet.run(START_SECONDS)
    fleet.submit_job("job", 4)
    fleet.run(2.0)
    for name in list(fleet.daemons):
        fleet.drain(name)
    fleet.run(40.0)
    check_jobs(fleet, 1)
    if saves_output:
        assert fleet.event_count == 4 * EVENTS_PER_ITEM  # no event is produced twice
    else:
        assert fleet.event_count > 4 * EVENTS_PER_ITEM


@pytest.mark.parametrize("seed", range(4))
def test_owner_that_resumes_changes_nothing(seed: int) -> None:
    fleet = started_fleet(seed)
    for number in range(4):
        fleet.submit_job(f"job{number}", 4)
    fleet.run(1.6)
    for name in list(fleet.daemons)[:2]:
        fleet.pause(name, 5.0)
    fleet.run(40.0)
    check_jobs(fleet, 4)


class StaleWrites:
    """Counts records that an owner writes after its successor claimed the shard.

    Unless `is_fenced`, it removes the fencing stamp from every append.
    """

    def __init__(self, is_fenced: bool) -> None:
        self.stale_records = 0
        self._is_fenced = is_fenced
        self._epochs: dict[int, int] = {}

    def __call__(self, call: StoreCall) -> StoreCall:
        if not isinstance(call, AppendRecords) or call.stamp is None:
            return call
        shard = call.partition.number
        newest_epoch = max(self._epochs.get(shard, 0), call.stamp.epoch)
        self._epochs[shard] = newest_epoch
        if self._is_fenced:
            return call
        self.stale_records += len(call.records) if call.stamp.epoch < newest_epoch else 0
        return dataclasses.replace(call, stamp=None)


def test_without_the_fence_a_paused_owner_writes_after_its_successor() -> None:
    """Counterpart of the test above: the same faults without the mechanism."""
    writes = StaleWrites(is_fenced=False)
    fleet = started_fleet(0, rewrite_call=writes)
    for number in range(4):
        fleet.submit_job(f"job{number}", 4)
    fleet.run(1.6)
    for name in list(fleet.daemons)[:2]:
        fleet.pause(name, 5.0)
    fleet.run(40.0)
    assert writes.stale_records > 0


@pytest.mark.parametrize("is_fenced", [True, False])
def test_result_position_keeps_what_the_newest_owner_wrote(is_fenced: bool) -> None:
    store = KeyedStoreModel()
    shard = shard_partition(0)

    def append(epoch: int, item_id: str) -> None:
        records = result_records("job", 0, ItemResult(item_id, DONE, item_id), 262_144)
        stamp = WriterStamp(WRITER, epoch, 0) if is_fenced else None
        store.call(0.0, AppendRecords(1, shard, records, stamp=stamp))

    for epoch in (1, 2):
        store.call(0.0, AppendRecords(1, shard, (), stamp=WriterStamp(WRITER, epoch, 0)))
    append(2, "of the successor")
    append(1, "of the owner that woke up")
    page = store.call(0.0, ReadNewest(1, shard))
    assert isinstance(page, NewestPage)
    item_id = read_result_head(page.records[0].value).item_id
    assert item_id == ("of the successor" if is_fenced else "of the owner that woke up")


@pytest.mark.parametrize("late", [False, True])
def test_jobs_survive_lost_answers_to_applied_appends(late: bool) -> None:
    fleet = started_fleet(7)
    fleet.faults.answer_loss_rate = 0.4
    fleet.faults.delays_lost_appends = late
    for number in range(5):
        fleet.submit_job(f"job{number}", 4)
        fleet.run(0.5)
    fleet.run(10.0)
    fleet.faults.answer_loss_rate = 0.0
    fleet.run(40.0)
    check_jobs(fleet)


def test_jobs_survive_compaction_and_shard_reassignment() -> None:
    fleet = started_fleet(8)
    for number in range(5):
        fleet.submit_job(f"job{number}", 4)
        fleet.run(1.0)
        fleet.compact()
        fleet.reassign_shards()
    fleet.run(40.0)
    check_jobs(fleet, 5)


def test_jobs_survive_a_long_store_outage() -> None:
    fleet = started_fleet(9)
    for number in range(4):
        fleet.submit_job(f"job{number}", 4)
    fleet.run(1.0)
    fleet.faults.is_down = True
    fleet.run(6.0)
    fleet.faults.is_down = False
    fleet.run(40.0)
    check_jobs(fleet)


def test_items_of_an_ended_job_stop_at_all_daemons() -> None:
    fleet = started_fleet(10)
    job = fleet.submit_job("job", 40)
    fleet.run(2.0)
    fleet.end_job(job)
    fleet.run(3.5)
    assert job.ended_at < float("inf")
    runs = sum(job.run_counts.values())
    fleet.run(20.0)
    assert sum(job.run_counts.values()) == runs
    assert fleet.violations == []


def test_jobs_over_the_token_limit_are_refused_at_every_daemon() -> None:
    fleet = started_fleet(11, max_queued_tokens=1000)
    for number in range(12):
        fleet.submit_job(f"job{number}", 4, tokens=100, tries=1)
    fleet.run(0.6)
    accepted = [job for job in fleet.jobs.values() if job.accepted_at < float("inf")]
    assert len(accepted) == 2
    assert {s for job in fleet.jobs.values() for s in job.refusals} == {429}
    fleet.run(30.0)
    check_jobs(fleet)


def without_expected_end(call: StoreCall) -> StoreCall:
    if isinstance(call, AppendRecords) and call.expected_end is not None:
        return dataclasses.replace(call, expected_end=None)
    return call


def test_without_the_expected_end_too_many_tokens_are_accepted() -> None:
    """Counterpart of the test above: the same jobs without the condition."""
    fleet = started_fleet(11, max_queued_tokens=1000, rewrite_call=without_expected_end)
    for number in range(12):
        fleet.submit_job(f"job{number}", 4, tokens=100, tries=1)
    fleet.run(0.6)
    assert sum(job.accepted_at < float("inf") for job in fleet.jobs.values()) > 2


def test_capacity_is_freed_as_items_are_listed() -> None:
    fleet = started_fleet(12, max_queued_tokens=1000)
    for number in range(4):
        fleet.submit_job(f"job{number}", 5, tokens=100, tries=1)
        fleet.run(12.0)
    check_jobs(fleet, 4)


def test_finished_jobs_are_removed_after_their_retention() -> None:
    fleet = started_fleet(13)
    for number in range(3):
        fleet.submit_job(f"job{number}", 4)
    fleet.run(20.0)
    check_jobs(fleet, 3)
    kept = [key for log in fleet.store.logs.values() for key in log.newest if "job" in key]
    assert len(kept) > 3 * 4
    for name in list(fleet.daemons)[:2]:
        fleet.kill(name)  # an owner that is killed while it removes a job leaves no record behind
        fleet.run(100.0)
    fleet.run(300.0)
    remaining = [key for log in fleet.store.logs.values() for key in log.newest if "job" in key]
    assert remaining == []
    assert all(not daemon.core.jobs.replicas.index.jobs for daemon in fleet.daemons.values())


def test_open_jobs_are_kept_regardless_of_age() -> None:
    fleet = started_fleet(14, engines=0)
    fleet.submit_job("job", 2)
    fleet.run(400.0)
    assert "job" in fleet.random_daemon().core.jobs.replicas.index.jobs
    assert fleet.violations == []


def submit_jobs_beside_random_faults(fleet: SimulatedFleet) -> None:
    for number in range(12):
        fleet.submit_job(f"job{number}", fleet.rng.randint(1, 6))
        name = fleet.rng.choice(list(fleet.daemons))
        fault = fleet.rng.randrange(7)
        if fault == 0:
            fleet.kill(name)
        elif fault == 1:
            fleet.pause(name, fleet.rng.uniform(1.0, 6.0))
        elif fault == 2:
            fleet.compact()
        elif fault == 3:
            fleet.reassign_shards()
        elif fault == 4:
            fleet.faults.answer_loss_rate = 0.3
            fleet.faults.delays_lost_appends = True
        elif fault == 5:
            fleet.faults.is_down = not fleet.faults.is_down
        else:
            fleet.drain(name)
        fleet.run(1.0)
    fleet.faults.is_down = False
    fleet.faults.answer_loss_rate = 0.0
    fleet.run(60.0)
    check_jobs(fleet)


@pytest.mark.parametrize("seed", range(10))
def test_jobs_survive_random_faults(seed: int) -> None:
    submit_jobs_beside_random_faults(started_fleet(100 + seed))
