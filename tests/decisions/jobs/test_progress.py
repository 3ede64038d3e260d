"""Words on how far jobs are: always at the end, before that only near the quota."""

import random
from collections import Counter

from tests.worlds.gateway_world import GatewayWorld
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.jobs.index import JobIndex
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
from troutswitch.decisions.storage.follower import CallNumbers
from troutswitch.decisions.storage.messages import AppendRecords, StoreCall

JOBS = 3
ITEMS = 4
TOKENS_AN_ITEM = 100


class Words:
    """Counts words on progress as they pass to the store."""

    def __init__(self) -> None:
        self.by_job: Counter[str] = Counter()

    def __call__(self, call: StoreCall) -> StoreCall:
        if isinstance(call, AppendRecords) and call.partition == INDEX:
            for record in call.records:
                kind, _, job_id = record.key.partition(":")
                if kind == PROGRESS:
                    self.by_job[job_id] += 1
        return call


def played(words: Words, tokens_most: int = 0, answers_lost: float = 0.0) -> GatewayWorld:
    world = GatewayWorld(2, tokens_most=tokens_most, change=words)
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


def test_far_from_the_quota_a_job_is_told_once_when_it_is_done() -> None:
    words = Words()
    assert_all_know_that_jobs_are_done(played(words))
    assert set(words.by_job.values()) == {1}


def test_near_the_quota_each_step_is_told() -> None:
    words = Words()
    assert_all_know_that_jobs_are_done(played(words, JOBS * ITEMS * TOKENS_AN_ITEM))
    assert max(words.by_job.values()) > 1


def test_a_word_whose_answer_was_lost_is_told_again() -> None:
    assert_all_know_that_jobs_are_done(played(Words(), answers_lost=0.6))


def test_a_successor_tells_what_its_predecessor_could_not() -> None:
    dropped = Words()
    world = GatewayWorld(2, change=lambda call: _without_words(call))
    world.run(3.0)
    for number in range(JOBS):
        world.hand_in(f"job{number}", ITEMS, tokens=TOKENS_AN_ITEM)
    world.run(15.0)
    world._change = dropped
    for name in list(world.daemons):
        world.kill(name)
    world.run(15.0)
    assert_all_know_that_jobs_are_done(world)


def _without_words(call: StoreCall) -> StoreCall:
    """Empties appends of words on progress, as if they never arrived."""
    if isinstance(call, AppendRecords) and call.partition == INDEX:
        kept = tuple(r for r in call.records if not r.key.startswith(f"{PROGRESS}:"))
        return AppendRecords(
            call.call, call.partition, kept, call.expected_end, call.stamp, call.timeout
        )
    return call


def test_a_job_whose_items_were_not_read_yet_is_never_told_to_be_done() -> None:
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
    replicas.index.take(0.0, manifest_record(Manifest("job", "r", "h", 2, 14, "d", 0)))
    assert writer.begin_epoch(lease)
    assert writer.write(1.0, lease, [], is_draining=False) == []
    for record in chunk_records("job", items[:1], 262_144):
        replicas.shard(0).fold.take(record)
    assert writer.write(2.0, lease, [], is_draining=False) == []
    for record in chunk_records("job", items, 262_144):
        replicas.shard(0).fold.take(record)
    assert writer.write(3.0, lease, [], is_draining=False) == []
    assert replicas.index.jobs["job"].is_open
    for position, item in enumerate(items):
        result = ItemResult(item.item_id, DONE, "text")
        for record in result_records("job", position, result, 262_144):
            replicas.shard(0).fold.take(record)
    (told,) = writer.write(4.0, lease, [], is_draining=False)
    assert isinstance(told, AppendRecords)
    assert not replicas.index.jobs["job"].is_open


def test_a_job_that_was_there_before_this_daemon_is_as_old_as_its_manifest_tells() -> None:
    index = JobIndex()
    record = manifest_record(Manifest("job", "r", "h", 2, 14, "d", 0, submitted_at=1000.0))
    index.take(5.0, record, time_of_day=1012.0)
    assert index.jobs["job"].age(6.0) == 13.0
    assert index.jobs["job"].seen_at == 5.0


def test_a_clock_that_is_behind_makes_no_job_younger_than_new() -> None:
    index = JobIndex()
    record = manifest_record(Manifest("job", "r", "h", 2, 14, "d", 0, submitted_at=1000.0))
    index.take(5.0, record, time_of_day=900.0)
    assert index.jobs["job"].age(6.0) == 1.0
    unknown = manifest_record(Manifest("other", "r", "h", 2, 14, "d", 0))
    index.take(5.0, unknown, time_of_day=900.0)
    assert index.jobs["other"].age(6.0) == 1.0


def test_after_a_restart_of_all_a_job_keeps_its_age() -> None:
    world = GatewayWorld(3)
    world.run(3.0)
    world.hand_in("job", 4)
    world.run(6.0)
    for name in list(world.daemons):
        world.kill(name)
    world.run(3.0)
    ages = [
        entry.age(world.now)
        for daemon in world.daemons.values()
        for entry in daemon.core.jobs.replicas.index.jobs.values()
    ]
    assert ages
    assert all(8.0 < age < 9.5 for age in ages)
