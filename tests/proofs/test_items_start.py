"""Accepted items start while engines have room, with their own content and within their limit.

Random services with idle ones beside them, items near the cache, ids that are sent twice, and a
store that is slow and refuses.
"""

import pytest

from tests.simulation.service_fleet import ServiceFleet
from troutswitch.decisions.jobs import batch_capacity, dispatcher, index, intake
from troutswitch.decisions.jobs.intake import IntakeState, JobIntake, Submission
from troutswitch.decisions.jobs.records import INDEX, content_record, manifest_record
from troutswitch.decisions.slots.unused_grants import UnusedGrants
from troutswitch.decisions.storage.messages import AppendRecords, StoreCall

LOAD_SECONDS = 25.0
SEEDS = range(16)


def played(seed: int) -> ServiceFleet:
    """Returns a fleet after random jobs and disturbances, and time to finish."""
    fleet = ServiceFleet(seed)
    fleet.run(4.0)
    number = 0
    while fleet.now < LOAD_SECONDS:
        number += 1
        fleet.send_job(f"job-{number}", copies=1 + (fleet.draws.random() < 0.4))
        chance = fleet.draws.random()
        if chance < 0.15:
            fleet.disturb_store()
        elif chance < 0.2:
            fleet.restart_daemon()
        fleet.run(fleet.draws.uniform(0.1, 1.2))
    fleet.run(60.0)
    return fleet


@pytest.mark.parametrize("seed", SEEDS)
def test_accepted_items_start_where_an_engine_has_room_and_are_done(seed: int) -> None:
    fleet = played(seed)
    assert fleet.find_violations() == []
    assert fleet.unfinished_jobs() == []
    assert sum(job.is_open for job in fleet.jobs.values()) >= 5


def is_found(*texts: str) -> bool:
    """Returns whether plays find violations with all texts; plays until they do."""
    missing = set(texts)
    for seed in SEEDS:
        violations = played(seed).find_violations()
        missing -= {text for text in missing if any(text in found for found in violations)}
        if not missing:
            return True
    return False


def test_without_counts_by_service_items_wait_beside_free_engines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(dispatcher, "rows_by_service", lambda *arguments: ())
    monkeypatch.setattr(UnusedGrants, "record", lambda *arguments, **fields: None)
    assert is_found("waits beside a free engine")


def test_with_a_margin_for_all_items_those_near_the_cache_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(batch_capacity, "exceeds_share", lambda *arguments: False)
    assert is_found("waits beside a free engine")


def test_without_a_comparison_when_it_is_appended_a_manifest_is_unfounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def append_unchecked(intake: JobIntake, now: float, submission: Submission) -> list[StoreCall]:
        submission.state = IntakeState.APPENDING
        end = intake._replicas.index_follower.next_offset
        records = (content_record(submission.manifest), manifest_record(submission.manifest))
        call = AppendRecords(intake._numbers.next(), INDEX, records, end)
        return intake._start_call(now, submission, call)

    monkeypatch.setattr(JobIntake, "_append_manifest", append_unchecked)
    assert is_found("the job was known", "tokens were queued")


def test_with_content_under_the_id_alone_the_items_of_another_submission_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(intake, "first_chunk", lambda digest: 0)
    monkeypatch.setattr(index, "first_chunk", lambda digest: 0)
    assert is_found(" ran: ")
