"""Reports of how far jobs are: always at the end, before that only near the limit of a route."""

import random
from collections import Counter

from tests.worlds.gateway_world import GatewayWorld
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.jobs.open_items import OpenItems
from troutswitch.decisions.jobs.ownership import ShardLease, ShardOwnership, ShardState
from troutswitch.decisions.jobs.records import (
    DONE,
    INDEX,
    PROGRESS,
    ItemResult,
    JobItem,
    Manifest,
    StoreLimits,
    chunk_records,
    manifest_record,
    result_records,
)
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.jobs.token_limits import TokenLimits
from troutswitch.decisions.jobs.writer import ShardWriter
from troutswitch.decisions.storage.messages import AppendRecords, StoreCall
from troutswitch.decisions.storage.read_attempts import CallNumbers

JOBS = 3
ITEMS = 4
TOKENS_AN_ITEM = 100


class Reports:
    """Counts reports of progress as they pass to the store."""

    def __init__(self) -> None:
        self.by_job: Counter[str] = Counter()

    def __call__(self, call: StoreCall) -> StoreCall:
        if isinstance(call, AppendRecords) and call.partition == INDEX:
            for record in call.records:
                kind, _, job_id = record.key.partition(":")
                if kind == PROGRESS:
                    self.by_job[job_id] += 1
        return call


def played(reports: Reports, tokens_most: int = 0, answers_lost: float = 0.0) -> GatewayWorld:
    world = GatewayWorld(2, tokens_most=tokens_most, change=reports)
    world.run(3.0)
    for number in range(JOBS):
        world.hand_in(f"job{number}", ITEMS, tokens=TOKENS_AN_ITEM)
    world.run(1.0)
    world.faults.answers_lost = answers_lost
    world.run(20.0)
    world.faults.answers_lost = 0.0
    world.run(10.0)
    return world


def assert_all_know_that_jobs_are_done(world: GatewayWorld) -> None:
    assert world.unfinished() == []
    for daemon in world.daemons.values():
        entries = daemon.core.jobs.replicas.index.jobs.values()
        assert len(entries) == JOBS
        assert not any(entry.is_open for entry in entries)


def test_far_from_the_limit_a_job_is_reported_once_when_it_is_done() -> None:
    reports = Reports()
    assert_all_know_that_jobs_are_done(played(reports))
    assert set(reports.by_job.values()) == {1}


def test_near_the_limit_each_step_is_reported() -> None:
    reports = Reports()
    assert_all_know_that_jobs_are_done(played(reports, JOBS * ITEMS * TOKENS_AN_ITEM))
    assert max(reports.by_job.values()) > 1


def test_a_report_whose_answer_was_lost_is_made_again() -> None:
    assert_all_know_that_jobs_are_done(played(Reports(), answers_lost=0.6))


def test_a_successor_reports_what_its_predecessor_could_not() -> None:
    dropped = Reports()
    world = GatewayWorld(2, change=lambda call: _without_reports(call))
    world.run(3.0)
    for number in range(JOBS):
        world.hand_in(f"job{number}", ITEMS, tokens=TOKENS_AN_ITEM)
    world.run(15.0)
    world._change = dropped
    for name in list(world.daemons):
        world.kill(name)
    world.run(15.0)
    assert_all_know_that_jobs_are_done(world)


def _without_reports(call: StoreCall) -> StoreCall:
    """Empties appends of reports, as if they never arrived."""
    if isinstance(call, AppendRecords) and call.partition == INDEX:
        kept = tuple(r for r in call.records if not r.key.startswith(f"{PROGRESS}:"))
        return AppendRecords(
            call.call, call.partition, kept, call.expected_end, call.stamp, call.timeout
        )
    return call


def test_a_job_whose_items_were_not_read_yet_is_never_reported_as_done() -> None:
    numbers = CallNumbers()
    rng = random.Random(1)
    replicas = JobReplicas(numbers, rng)
    ownership = ShardOwnership("me", 1.0, replicas, numbers, rng, lambda *_, **__: None)
    writer = ShardWriter(
        replicas,
        ownership,
        numbers,
        StoreLimits(262_144, 2_097_152, 4),
        OpenItems(replicas, ownership),
        TokenLimits(RouteTable(), replicas.index),
        lambda *_, **__: None,
    )
    lease = ShardLease(0, 5, ShardState.OWNED)
    ownership.leases[0] = lease
    items = (JobItem("a", "/p", (), b"", 7), JobItem("b", "/p", (), b"", 7))
    replicas.index.apply(0.0, manifest_record(Manifest("job", "r", "h", 2, 14, "d", 0)))
    assert writer.begin_epoch(lease)
    assert writer.write(1.0, lease, [], is_draining=False) == []
    for record in chunk_records("job", items[:1], 262_144):
        replicas.shard(0).fold.apply(record)
    assert writer.write(2.0, lease, [], is_draining=False) == []
    for record in chunk_records("job", items, 262_144):
        replicas.shard(0).fold.apply(record)
    assert writer.write(3.0, lease, [], is_draining=False) == []
    assert replicas.index.jobs["job"].is_open
    for position, item in enumerate(items):
        result = ItemResult(item.item_id, DONE, "text")
        for record in result_records("job", position, result, 262_144):
            replicas.shard(0).fold.apply(record)
    (report,) = writer.write(4.0, lease, [], is_draining=False)
    assert isinstance(report, AppendRecords)
    assert not replicas.index.jobs["job"].is_open
