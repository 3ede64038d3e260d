"""Promises that rest on what daemons read hold if each answer of the store has little.

Guards against a reader that acts on a part of a partition: pages hold a few records, reads end
between the records of one append, and history is dropped meanwhile.
"""

import random
from functools import partial

import pytest

from tests.proofs.test_crashes import MAX_LATE_ATTEMPTS, kill_all, resend_in_rounds, send_others
from tests.proofs.test_jobs import check_jobs, submit_jobs_beside_random_faults
from tests.proofs.test_jobs import started_fleet as started_fleet_of_jobs
from tests.simulation.crashing_fleet import CrashingFleet
from tests.simulation.fleet import SimulatedFleet
from troutswitch.decisions.jobs.records import (
    DONE,
    ItemResult,
    result_records,
    shard_partition,
)
from troutswitch.decisions.jobs.replicas import JobReplicas, ShardReplica
from troutswitch.decisions.storage.messages import AppendRecords
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.standins.keyed_store import KeyedStoreModel, ReadLimits

SMALL_READS = ReadLimits(page_records=2, page_bytes=1_000_000, read_bytes=300)
COMPACTION_SECONDS = 1.7


def compact_often(fleet: SimulatedFleet) -> None:
    fleet.compact()
    fleet.call_later(COMPACTION_SECONDS, partial(compact_often, fleet))


@pytest.mark.parametrize("seed", range(4))
def test_jobs_survive_random_faults_with_small_reads(seed: int) -> None:
    fleet = started_fleet_of_jobs(200 + seed)
    fleet.store.limits = SMALL_READS
    compact_often(fleet)
    submit_jobs_beside_random_faults(fleet)


def test_token_limit_holds_with_small_reads_of_the_index() -> None:
    fleet = started_fleet_of_jobs(11, max_queued_tokens=1000)
    fleet.store.limits = SMALL_READS
    compact_often(fleet)
    for number in range(12):
        fleet.submit_job(f"job{number}", 4, tokens=100, tries=1)
    fleet.run(0.6)
    accepted = [job for job in fleet.jobs.values() if job.accepted_at < float("inf")]
    assert len(accepted) == 2
    fleet.run(30.0)
    check_jobs(fleet)


@pytest.mark.parametrize("seed", range(1, 4))
def test_restarted_daemon_refuses_what_was_refused_before_with_small_reads(seed: int) -> None:
    fleet = CrashingFleet(seed)
    fleet.store.limits = SMALL_READS
    compact_often(fleet)
    fleet.run(4.0)
    crashing, _ = resend_in_rounds(fleet, rounds=1)
    before = len(fleet.crash_times[crashing.content])
    kill_all(fleet)
    fleet.resend(crashing)
    send_others(fleet, 2.0)
    assert len(fleet.crash_times[crashing.content]) == before
    assert fleet.late_attempts(crashing.content) <= MAX_LATE_ATTEMPTS


def read_shard(store: KeyedStoreModel, replicas: JobReplicas, now: float) -> ShardReplica:
    """Reads a shard to its end, and checks that no result is listed with a part of its text."""
    replica = replicas.shard(0)
    waiting = [True]
    replica.refresher.refresh(lambda at, succeeded: waiting.remove(succeeded))
    while waiting:
        now += 0.01
        calls = replicas.on_timer(now)
        while calls:
            call = calls.pop(0)
            calls += replicas.on_answer(now, call.call, store.call(now, call))
            results = replica.fold.content("job").results.values()
            assert all(result.text == TEXT for result in results)
    return replica


TEXT = "".join(f"event {number}\n" for number in range(400))


@pytest.mark.parametrize("drops_history", [True, False])
def test_result_in_several_records_is_listed_with_its_whole_text(drops_history: bool) -> None:
    """The append of a result is split between reads, and its pages between its records."""
    store = KeyedStoreModel(8, SMALL_READS)
    log = store.log(shard_partition(0))
    replicas = JobReplicas(CallNumbers(), random.Random(1))
    for position in range(3):
        result = ItemResult(f"item-{position}", DONE, TEXT)
        records = result_records("job", position, result, 700)
        assert len(records) > 5
        store.call(0.0, AppendRecords(0, shard_partition(0), records))
        if drops_history:
            log.drop_history(log.end - 2)
        replica = read_shard(store, replicas, 10.0 * (position + 1))
        assert sorted(replica.fold.content("job").results) == list(range(position + 1))
