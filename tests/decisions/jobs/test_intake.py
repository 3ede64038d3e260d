"""Submissions of jobs for which this process or the engines have no memory."""

from dataclasses import replace

from tests.decisions.jobs.test_tenants import OURS, TenantFleet, status
from tests.simulation.fleet import SimulatedFleet
from tests.simulation.plain_formats import HOST, PREFIX, SERVICE, PlainFormats
from troutswitch.decisions.forwarding.types import Service
from troutswitch.decisions.jobs.messages import (
    JobAccepted,
    JobAnswer,
    JobRefused,
    JobSubmitted,
)
from troutswitch.decisions.jobs.records import INDEX, JobItem


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


class SmallCacheFleet(SimulatedFleet):
    """Daemons whose engines hold 1,000 tokens."""

    def __init__(self) -> None:
        super().__init__(1, cache_tokens=1000)
        self.run(3.0)


def test_a_job_with_an_item_that_no_engine_can_hold_is_refused_at_once() -> None:
    """Guards against an accepted job that can never be done, and whose client is never told."""
    fleet = SmallCacheFleet()
    answers: list[JobAnswer] = []
    items = tuple(JobItem(f"i{n}", f"{PREFIX}{n}", (), b"", 1000 + n) for n in range(2))
    fleet.ask(
        fleet.random_daemon(), JobSubmitted(1, "job", HOST, PREFIX, items, "d", 4.0), answers.append
    )
    fleet.run(1.0)
    assert status(answers[0]) == 413
    assert fleet.store.log(INDEX).records == []


def test_items_up_to_the_size_of_an_engines_cache_are_done() -> None:
    fleet = SmallCacheFleet()
    for tokens in (851, 950, 1000):
        fleet.submit_job(f"job-{tokens}", 2, tokens)
    fleet.run(10.0)
    assert fleet.unfinished_jobs() == []
    assert all(job.is_open for job in fleet.jobs.values())


def test_an_accepted_item_that_fits_no_engine_any_more_does_not_delay_others() -> None:
    """Guards against grants that wait for an item which can't start."""
    fleet = SmallCacheFleet()
    fleet.submit_job("large", 4, 1000)
    fleet.run(0.2)
    first = fleet.formats.configuration("configuration", b"1")
    assert first is not None and isinstance(fleet.formats, PlainFormats)
    services = {SERVICE: Service(SERVICE, 100, 8, 500)}
    fleet.formats.changed[2] = replace(first, services=services)
    fleet.publish(2)
    fleet.run(3.0)
    fleet.submit_job("small", 8, 100)
    fleet.run(8.0)
    assert "small" not in fleet.unfinished_jobs()
    fleet.publish(3)
    fleet.run(10.0)
    assert fleet.unfinished_jobs() == []
