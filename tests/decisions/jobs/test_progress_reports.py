"""Progress reports of jobs: always at their end, before that only near their route's limit."""

import random
from collections import Counter

from tests.simulation.fleet import SimulatedFleet
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
from troutswitch.decisions.storage.messages import Appended, AppendRecords, StoreCall
from troutswitch.decisions.storage.read_attempts import CallNumbers

JOBS = 3
ITEMS = 4
TOKENS_PER_ITEM = 100


class ReportCounter:
    """Counts progress reports on their way to the store."""

    def __init__(self) -> None:
        self.by_job: Counter[str] = Counter()

    def __call__(self, call: StoreCall) -> StoreCall:
        if isinstance(call, AppendRecords) and call.partition == INDEX:
            for record in call.records:
                kind, _, job_id = record.key.partition(":")
                if kind == PROGRESS:
                    self.by_job[job_id] += 1
        return call


def run_jobs(
    reports: ReportCounter, max_queued_tokens: int = 0, answer_loss_rate: float = 0.0
) -> SimulatedFleet:
    fleet = SimulatedFleet(2, max_queued_tokens=max_queued_tokens, rewrite_call=reports)
    fleet.run(3.0)
    for number in range(JOBS):
        fleet.submit_job(f"job{number}", ITEMS, tokens=TOKENS_PER_ITEM)
    fleet.run(1.0)
    fleet.faults.answer_loss_rate = answer_loss_rate
    fleet.run(20.0)
    fleet.faults.answer_loss_rate = 0.0
    fleet.run(10.0)
    return fleet


def assert_all_daemons_know_that_jobs_are_done(fleet: SimulatedFleet) -> None:
    assert fleet.unfinished_jobs() == []
    for daemon in fleet.daemons.values():
        entries = daemon.core.jobs.replicas.index.jobs.values()
        assert len(entries) == JOBS
        assert not any(entry.is_open for entry in entries)


def test_a_job_far_from_the_limit_is_reported_only_when_it_is_done() -> None:
    reports = ReportCounter()
    assert_all_daemons_know_that_jobs_are_done(run_jobs(reports))
    assert set(reports.by_job.values()) == {1}


def test_a_job_near_the_limit_is_reported_several_times() -> None:
    reports = ReportCounter()
    assert_all_daemons_know_that_jobs_are_done(run_jobs(reports, JOBS * ITEMS * TOKENS_PER_ITEM))
    assert max(reports.by_job.values()) > 1


def test_a_report_without_an_answer_is_repeated() -> None:
    assert_all_daemons_know_that_jobs_are_done(run_jobs(ReportCounter(), answer_loss_rate=0.6))


def test_a_successor_reports_jobs_that_its_predecessor_could_not_report() -> None:
    counter = ReportCounter()
    fleet = SimulatedFleet(2, rewrite_call=lambda call: _without_reports(call))
    fleet.run(3.0)
    for number in range(JOBS):
        fleet.submit_job(f"job{number}", ITEMS, tokens=TOKENS_PER_ITEM)
    fleet.run(15.0)
    fleet._rewrite_call = counter
    for name in list(fleet.daemons):
        fleet.kill(name)
    fleet.run(15.0)
    assert_all_daemons_know_that_jobs_are_done(fleet)


def _without_reports(call: StoreCall) -> StoreCall:
    """Removes progress reports from appends, as if they had never arrived."""
    if isinstance(call, AppendRecords) and call.partition == INDEX:
        kept = tuple(r for r in call.records if not r.key.startswith(f"{PROGRESS}:"))
        return AppendRecords(
            call.call, call.partition, kept, call.expected_end, call.stamp, call.timeout
        )
    return call


def test_a_job_is_not_reported_as_done_before_all_its_items_are_read() -> None:
    numbers = CallNumbers()
    rng = random.Random(1)
    replicas = JobReplicas(numbers, rng)
    ownership = ShardOwnership("me", 1.0, replicas, numbers, rng, lambda *_, **__: None)
    writer = ShardWriter(
        replicas,
        ownership,
        numbers,
        StoreLimits(262_144, 2_097_152, 4),
        OpenItems(replicas, ownership, lambda *_, **__: None),
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
    assert replicas.index.jobs["job"].is_open  # until the store has the report
    writer.on_answer(4.1, report.call, Appended(0, 1))
    assert not replicas.index.jobs["job"].is_open
