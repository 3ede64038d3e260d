"""Tenants of jobs: access by API key, and queued tokens by tenant."""

import pytest

from tests.simulation.fleet import Daemon, SimulatedFleet
from tests.simulation.plain_formats import HOST, PREFIX
from troutswitch.decisions.jobs.messages import (
    BodyRequested,
    ItemBody,
    JobAccepted,
    JobAnswer,
    JobEnded,
    JobEndRequested,
    JobRefused,
    JobResults,
    JobSubmitted,
    ResultsRequested,
    RunItem,
)
from troutswitch.decisions.jobs.reads import JobCall
from troutswitch.decisions.jobs.records import JobItem, Manifest, manifest_record, read_manifest
from troutswitch.decisions.tenants.types import Tenant, key_digest

OURS = key_digest("ours-1")
OURS_NEW = key_digest("ours-2")
THEIRS = key_digest("theirs-1")
UNKNOWN = key_digest("nobody")


class TenantFleet(SimulatedFleet):
    """Daemons with two tenants; records the tenants whose items run."""

    def __init__(self, seed: int = 1, max_queued_tokens: int = 0) -> None:
        self.run_tenants: set[str] = set()
        tenants = (
            Tenant("ours", frozenset({OURS, OURS_NEW})),
            Tenant("theirs", frozenset({THEIRS})),
        )
        super().__init__(seed, max_queued_tokens=max_queued_tokens, tenants=tenants)
        self.run(3.0)

    def run_item(self, daemon: Daemon, run: RunItem) -> None:
        self.run_tenants.add(run.tenant)
        super().run_item(daemon, run)

    def call(self, event: JobCall | JobSubmitted) -> JobAnswer:
        """Makes a call and returns its answer."""
        answers: list[JobAnswer] = []
        self.call_any_daemon(event, answers.append)
        self.run(2.5)
        assert answers, "a call was not answered"
        return answers[0]

    def submit_for(self, key: str, job_id: str = "job", tokens: int = 100) -> JobAnswer:
        items = (JobItem(f"{job_id}-0", f"{PREFIX}0", (), b"body", tokens),)
        return self.call(
            JobSubmitted(self.next_token(), job_id, HOST, PREFIX, items, "d", 4.0, key)
        )


def status(answer: JobAnswer) -> int:
    assert isinstance(answer, JobRefused)
    return answer.status


def test_items_run_for_the_tenant_that_submitted_them() -> None:
    fleet = TenantFleet()
    assert isinstance(fleet.submit_for(OURS), JobAccepted)
    fleet.run(8.0)
    assert fleet.run_tenants == {"ours"}


@pytest.mark.parametrize("key", ["", UNKNOWN])
def test_calls_about_jobs_without_a_known_key_are_refused(key: str) -> None:
    fleet = TenantFleet()
    assert status(fleet.submit_for(key)) == 401
    assert isinstance(fleet.submit_for(OURS), JobAccepted)
    assert status(fleet.call(ResultsRequested(fleet.next_token(), "job", 0, 4.0, key))) == 401
    assert status(fleet.call(BodyRequested(fleet.next_token(), "job", "job-0", 4.0, key))) == 401
    assert status(fleet.call(JobEndRequested(fleet.next_token(), "job", 4.0, key))) == 401


def test_a_job_of_another_tenant_looks_like_one_that_does_not_exist() -> None:
    fleet = TenantFleet()
    assert isinstance(fleet.submit_for(OURS), JobAccepted)
    for job_id in ("job", "no-job"):
        results = fleet.call(ResultsRequested(fleet.next_token(), job_id, 0, 4.0, THEIRS))
        body = fleet.call(BodyRequested(fleet.next_token(), job_id, "job-0", 4.0, THEIRS))
        end = fleet.call(JobEndRequested(fleet.next_token(), job_id, 4.0, THEIRS))
        assert {results, body, end} == {JobRefused(404, "no such job")}
    assert isinstance(
        fleet.call(ResultsRequested(fleet.next_token(), "job", 0, 4.0, OURS)), JobResults
    )


def test_a_job_is_not_denied_by_a_daemon_that_has_no_configuration_yet() -> None:
    """A daemon that has just started and knows no tenants must not answer that there is no job."""
    fleet = TenantFleet()
    assert isinstance(fleet.submit_for(OURS), JobAccepted)
    name = next(iter(fleet.daemons))
    killed = fleet.daemons[name]
    fleet.kill(name)
    while fleet.daemons[name] is killed:
        fleet.run(0.001)
    answers: list[JobAnswer] = []
    call = ResultsRequested(fleet.next_token(), "job", 0, 4.0, OURS)
    fleet.ask(fleet.daemons[name], call, answers.append)
    fleet.run(4.0)
    (answer,) = answers
    assert not isinstance(answer, JobRefused) or answer.status == 503


def test_each_key_of_a_tenant_has_access_to_its_jobs() -> None:
    fleet = TenantFleet()
    fleet.submit_for(OURS)
    answer = fleet.call(BodyRequested(fleet.next_token(), "job", "job-0", 4.0, OURS_NEW))
    assert isinstance(answer, ItemBody | JobRefused)
    assert isinstance(fleet.submit_for(OURS_NEW), JobAccepted)
    assert isinstance(
        fleet.call(JobEndRequested(fleet.next_token(), "job", 4.0, OURS_NEW)), JobEnded
    )


def test_a_job_id_of_another_tenant_is_refused_as_a_conflict() -> None:
    fleet = TenantFleet()
    assert isinstance(fleet.submit_for(OURS), JobAccepted)
    assert status(fleet.submit_for(THEIRS)) == 409


def test_queued_tokens_are_counted_by_tenant() -> None:
    fleet = TenantFleet(max_queued_tokens=1000)
    for daemon in fleet.daemons.values():
        daemon.core.jobs.owner.is_draining = True  # so that no item starts
    assert isinstance(fleet.submit_for(OURS, "a", 900), JobAccepted)
    assert status(fleet.submit_for(OURS, "b", 900)) == 429
    assert isinstance(fleet.submit_for(THEIRS, "c", 900), JobAccepted)


def test_a_manifest_keeps_its_tenant_when_encoded() -> None:
    manifest = Manifest("job", "route", HOST, 1, 10, "d", 0, 5.0, "ours")
    assert read_manifest("job", manifest_record(manifest).value) == manifest
