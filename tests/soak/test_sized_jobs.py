"""Jobs whose items need much of a cache, and whose ids are sent with two contents."""

import threading
from dataclasses import replace
from pathlib import Path

import pytest

from troutswitch.decisions.jobs.records import (
    Manifest,
    end_record,
    manifest_record,
    progress_record,
)
from troutswitch.decisions.storage.messages import KeyedRecord
from troutswitch.soak.checks import item_path, one_content_of_an_id_runs
from troutswitch.soak.load_kinds import LoadKind
from troutswitch.soak.manifest_checks import unfounded_manifests
from troutswitch.soak.observations import JournalEntry, Observations, ObservedJob
from troutswitch.soak.run import SoakSize, run_soak
from troutswitch.soak.sized_jobs import SIZES, SizedJobClient
from troutswitch.standins.content import digest

SECONDS = 12.0
FIRST = Manifest("job-1", "route", "host", 1, 60, "d", 0)
SECOND = replace(FIRST, job_id="job-2")


@pytest.mark.parametrize(
    ("records", "found"),
    [
        ([manifest_record(FIRST)], 0),
        ([manifest_record(FIRST), manifest_record(SECOND)], 1),
        ([manifest_record(FIRST), progress_record("job-1", 40), manifest_record(SECOND)], 0),
        ([manifest_record(FIRST), end_record("job-1"), manifest_record(SECOND)], 0),
        ([manifest_record(SECOND), end_record("job-2"), manifest_record(SECOND)], 1),
        ([manifest_record(FIRST), KeyedRecord("j:job-1", b""), manifest_record(FIRST)], 0),
    ],
)
def test_manifest_of_a_known_job_or_above_the_limit_is_found(
    records: list[KeyedRecord], found: int
) -> None:
    assert len(unfounded_manifests(records, 100)) == found


def observations_of(statuses: list[int], *ran: str) -> Observations:
    """Returns a job of two contents: that of item "own", answered 202, and that of "other"."""
    jobs = [ObservedJob("job", {item: b"body"}, 0.0) for item in ("own", "other")]
    jobs[0].statuses, jobs[1].statuses = [202], statuses
    entries = [
        JournalEntry("begun", item, 1.0, "e", item_path("job", 0), digest(b"body"), "m")
        for item in ran
    ]
    return Observations(0.0, jobs=jobs, journal_entries=entries)


def test_of_two_contents_one_may_run_and_not_the_one_that_was_refused() -> None:
    assert one_content_of_an_id_runs(observations_of([409], "own")) == []
    assert one_content_of_an_id_runs(observations_of([0], "other")) == []
    both = one_content_of_an_id_runs(observations_of([0], "own", "other"))
    assert [violation.promise for violation in both] == ["MIXED"]
    refused = one_content_of_an_id_runs(observations_of([409], "other"))
    assert [violation.promise for violation in refused] == ["UNASKED"]


@pytest.mark.parametrize("seed", [41])
def test_sized_items_run_beside_idle_services_under_faults(seed: int, tmp_path: Path) -> None:
    size = SoakSize(load=frozenset({LoadKind.SIZED_ITEMS}))
    result = run_soak(seed, SECONDS, tmp_path, size, lambda line: None, threading.Event())
    assert not result.violations
    jobs = [job for job in result.observations.jobs if job.accepted_at]
    assert any(job.job_id.startswith("sized-job") for job in jobs)


def test_a_sized_client_states_all_sizes() -> None:
    client = SizedJobClient("client", 1, [], Observations(0.0))
    job = client._draw_job("job")
    client._sizes = dict(zip(job.items, SIZES, strict=False))
    body = client._encode(job)
    assert all(str(client._sizes[item]).encode() in body for item in job.items)
