"""Submissions of jobs for which the process has no memory."""

from dataclasses import replace

from tests.decisions.jobs.test_tenants import OURS, TenantFleet, status
from tests.simulation.plain_formats import HOST, PREFIX
from troutswitch.decisions.jobs.messages import JobAccepted, JobRefused, JobSubmitted
from troutswitch.decisions.jobs.records import JobItem


def submitted(fleet: TenantFleet, has_room: bool) -> JobSubmitted:
    items = (JobItem("job-0", f"{PREFIX}0", (), b"body", 100),)
    event = JobSubmitted(fleet.next_token(), "job", HOST, PREFIX, items, "d", 4.0, OURS)
    return replace(event, has_room=has_room)


def test_a_job_without_room_is_refused_and_nothing_of_it_is_stored() -> None:
    fleet = TenantFleet()
    refusal = fleet.call(submitted(fleet, has_room=False))
    assert status(refusal) == 503
    assert isinstance(refusal, JobRefused) and refusal.retry_after
    fleet.run(8.0)
    assert fleet.run_tenants == set()
    assert isinstance(fleet.call(submitted(fleet, has_room=True)), JobAccepted)


def test_an_accepted_job_is_not_refused_when_it_is_submitted_again() -> None:
    """Guards against a false refusal: 503 says that the job never runs, and it does."""
    fleet = TenantFleet()
    assert isinstance(fleet.call(submitted(fleet, has_room=True)), JobAccepted)
    fleet.run(2.0)  # every daemon has read the index
    assert isinstance(fleet.call(submitted(fleet, has_room=False)), JobAccepted)
