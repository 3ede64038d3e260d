"""Promises of batch jobs on the store, with and without the mechanisms that keep them."""

import dataclasses

import pytest

from tests.worlds.gateway_world import Daemon, GatewayWorld
from tests.worlds.job_truth import EVENTS_AN_ITEM
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
    NewestPage,
    ReadNewest,
    StoreCall,
    WriterStamp,
)
from troutswitch.standins.keyed_store import KeyedStoreModel

START_SECONDS = 3.0


def started(seed: int, **options: object) -> GatewayWorld:
    world = GatewayWorld(seed, **options)  # type: ignore[arg-type]
    world.run(START_SECONDS)
    return world


def check(world: GatewayWorld, jobs: int | None = None) -> None:
    assert world.violations == []
    assert world.unfinished() == []
    if jobs is not None:
        assert sum(j.accepted_at < float("inf") for j in world.jobs.values()) == jobs


def test_jobs_are_accepted_run_and_listed() -> None:
    world = started(1)
    for number in range(6):
        world.hand_in(f"job{number}", 5)
    world.run(30.0)
    check(world, 6)
    assert all(set(job.ran.values()) == {1} for job in world.jobs.values())


@pytest.mark.parametrize("seed", range(4))
def test_all_daemons_killed_at_once(seed: int) -> None:
    world = started(seed)
    for number in range(4):
        world.hand_in(f"job{number}", 4)
    world.run(1.5)
    for name in list(world.daemons):
        world.kill(name)
    world.run(40.0)
    check(world, 4)


class CountingWorld(GatewayWorld):
    """Counts the events that engines make."""

    made = 0

    def _make_event(self, daemon: Daemon, run: RunItem, number: int, interval: float) -> None:
        self.made += daemon.is_alive and run.run not in daemon.stopped
        super()._make_event(daemon, run, number, interval)


def without_saved_output(call: StoreCall) -> StoreCall:
    if not isinstance(call, AppendRecords):
        return call
    kept = tuple(r for r in call.records if not r.key.startswith(f"{CHECKPOINT}:"))
    return dataclasses.replace(call, records=kept)


@pytest.mark.parametrize("is_saved", [True, False])
def test_a_planned_stop_loses_no_output(is_saved: bool) -> None:
    change = None if is_saved else without_saved_output
    world = CountingWorld(5, change=change)
    world.run(START_SECONDS)
    world.hand_in("job", 4)
    world.run(2.0)
    for name in list(world.daemons):
        world.drain(name)
    world.run(40.0)
    check(world, 1)
    if is_saved:
        assert world.made == 4 * EVENTS_AN_ITEM  # none is made twice
    else:
        assert world.made > 4 * EVENTS_AN_ITEM


@pytest.mark.parametrize("seed", range(4))
def test_an_owner_that_wakes_up_changes_nothing(seed: int) -> None:
    world = started(seed)
    for number in range(4):
        world.hand_in(f"job{number}", 4)
    world.run(1.6)
    for name in list(world.daemons)[:2]:
        world.pause(name, 5.0)
    world.run(40.0)
    check(world, 4)


class StaleWrites:
    """Counts records that reach the store from an owner whose successor has claimed."""

    def __init__(self, is_fenced: bool) -> None:
        self.taken = 0
        self._is_fenced = is_fenced
        self._epochs: dict[int, int] = {}

    def __call__(self, call: StoreCall) -> StoreCall:
        if not isinstance(call, AppendRecords) or call.stamp is None:
            return call
        shard = call.partition.number
        newest = max(self._epochs.get(shard, 0), call.stamp.epoch)
        self._epochs[shard] = newest
        if self._is_fenced:
            return call
        self.taken += len(call.records) if call.stamp.epoch < newest else 0
        return dataclasses.replace(call, stamp=None)


def test_without_the_fence_a_paused_owner_writes_after_its_successor() -> None:
    """The pair of the test above: the same faults with the mechanism taken out."""
    writes = StaleWrites(is_fenced=False)
    world = started(0, change=writes)
    for number in range(4):
        world.hand_in(f"job{number}", 4)
    world.run(1.6)
    for name in list(world.daemons)[:2]:
        world.pause(name, 5.0)
    world.run(40.0)
    assert writes.taken > 0


@pytest.mark.parametrize("is_fenced", [True, False])
def test_a_position_holds_what_the_newest_owner_listed(is_fenced: bool) -> None:
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
    held = read_result_head(page.records[0].value).item_id
    assert held == ("of the successor" if is_fenced else "of the owner that woke up")


@pytest.mark.parametrize("late", [False, True])
def test_answers_lost_although_the_appends_act(late: bool) -> None:
    world = started(7)
    world.faults.answers_lost = 0.4
    world.faults.is_late = late
    for number in range(5):
        world.hand_in(f"job{number}", 4)
        world.run(0.5)
    world.run(10.0)
    world.faults.answers_lost = 0.0
    world.run(40.0)
    check(world)


def test_history_is_forgotten_and_shards_are_dealt_anew() -> None:
    world = started(8)
    for number in range(5):
        world.hand_in(f"job{number}", 4)
        world.run(1.0)
        world.compact()
        world.reassign()
    world.run(40.0)
    check(world, 5)


def test_the_store_is_down_for_long() -> None:
    world = started(9)
    for number in range(4):
        world.hand_in(f"job{number}", 4)
    world.run(1.0)
    world.faults.is_down = True
    world.run(6.0)
    world.faults.is_down = False
    world.run(40.0)
    check(world)


def test_an_ended_job_stops_everywhere() -> None:
    world = started(10)
    job = world.hand_in("job", 40)
    world.run(2.0)
    world.end_job(job)
    world.run(3.5)
    assert job.ended_at < float("inf")
    ran = sum(job.ran.values())
    world.run(20.0)
    assert sum(job.ran.values()) == ran
    assert world.violations == []


def test_jobs_that_do_not_fit_are_refused_wherever_they_are_handed_in() -> None:
    world = started(11, tokens_most=1000)
    for number in range(12):
        world.hand_in(f"job{number}", 4, tokens=100, tries=1)
    world.run(0.6)
    accepted = [job for job in world.jobs.values() if job.accepted_at < float("inf")]
    assert len(accepted) == 2
    assert {s for job in world.jobs.values() for s in job.refusals} == {429}
    world.run(30.0)
    check(world)


def unconditional(call: StoreCall) -> StoreCall:
    if isinstance(call, AppendRecords) and call.expected_end is not None:
        return dataclasses.replace(call, expected_end=None)
    return call


def test_without_the_expected_end_too_many_tokens_are_accepted() -> None:
    """The pair of the test above: the same jobs with the condition taken out."""
    world = started(11, tokens_most=1000, change=unconditional)
    for number in range(12):
        world.hand_in(f"job{number}", 4, tokens=100, tries=1)
    world.run(0.6)
    assert sum(job.accepted_at < float("inf") for job in world.jobs.values()) > 2


def test_room_comes_back_as_items_are_listed() -> None:
    world = started(12, tokens_most=1000)
    for number in range(4):
        world.hand_in(f"job{number}", 5, tokens=100, tries=1)
        world.run(12.0)
    check(world, 4)


def test_finished_jobs_leave_the_store_when_their_time_is_over() -> None:
    world = started(13)
    for number in range(3):
        world.hand_in(f"job{number}", 4)
    world.run(20.0)
    check(world, 3)
    kept = [key for log in world.store.logs.values() for key in log.newest if "job" in key]
    assert len(kept) > 3 * 4
    for name in list(world.daemons)[:2]:
        world.kill(name)  # an owner that dies half way leaves nothing behind
        world.run(100.0)
    world.run(300.0)
    held = [key for log in world.store.logs.values() for key in log.newest if "job" in key]
    assert held == []
    assert all(not daemon.core.jobs.replicas.index.jobs for daemon in world.daemons.values())


def test_open_jobs_stay_however_old_they_are() -> None:
    world = started(14, engines=0)
    world.hand_in("job", 2)
    world.run(400.0)
    assert "job" in world.any_daemon().core.jobs.replicas.index.jobs
    assert world.violations == []


@pytest.mark.parametrize("seed", range(10))
def test_random_faults(seed: int) -> None:
    world = started(100 + seed)
    for number in range(12):
        world.hand_in(f"job{number}", world.rng.randint(1, 6))
        name = world.rng.choice(list(world.daemons))
        fault = world.rng.randrange(7)
        if fault == 0:
            world.kill(name)
        elif fault == 1:
            world.pause(name, world.rng.uniform(1.0, 6.0))
        elif fault == 2:
            world.compact()
        elif fault == 3:
            world.reassign()
        elif fault == 4:
            world.faults.answers_lost = 0.3
            world.faults.is_late = True
        elif fault == 5:
            world.faults.is_down = not world.faults.is_down
        else:
            world.drain(name)
        world.run(1.0)
    world.faults.is_down = False
    world.faults.answers_lost = 0.0
    world.run(60.0)
    check(world)
