"""Age of a job, computed from the clocks of two daemons, and ids that are used again."""

from dataclasses import replace

from tests.simulation.fleet import SimulatedFleet
from troutswitch.decisions.jobs.index import JobIndex
from troutswitch.decisions.jobs.records import (
    Manifest,
    end_record,
    manifest_record,
    progress_record,
)
from troutswitch.decisions.storage.messages import KeyedRecord


def test_the_age_of_an_older_job_follows_from_its_manifest() -> None:
    index = JobIndex()
    record = manifest_record(Manifest("job", "r", "h", 2, 14, "d", 0, submitted_at=1000.0))
    index.apply(5.0, record, time_of_day=1012.0)
    assert index.jobs["job"].age(6.0) == 13.0
    assert index.jobs["job"].first_read_at == 5.0


def test_a_clock_that_is_behind_gives_no_negative_age() -> None:
    index = JobIndex()
    record = manifest_record(Manifest("job", "r", "h", 2, 14, "d", 0, submitted_at=1000.0))
    index.apply(5.0, record, time_of_day=900.0)
    assert index.jobs["job"].age(6.0) == 1.0
    unknown = manifest_record(Manifest("other", "r", "h", 2, 14, "d", 0))
    index.apply(5.0, unknown, time_of_day=900.0)
    assert index.jobs["other"].age(6.0) == 1.0


def test_job_with_the_id_of_a_removed_job_is_a_new_one() -> None:
    """Guards against a job that counts as ended where the removal of the former one was not read.

    The history was dropped, so the newest records have the new manifest and no end.
    """
    former = Manifest("job", "r", "h", 2, 14, "d", 0, submitted_at=1000.0)
    index = JobIndex()
    index.apply(5.0, manifest_record(former))
    index.apply(6.0, end_record("job"))
    index.apply(7.0, manifest_record(former))
    assert not index.jobs["job"].is_open
    manifest = replace(former, tokens=20, submitted_at=2000.0)
    index.apply(9.0, manifest_record(manifest))
    index.apply(9.0, KeyedRecord("e:job", b""))
    entry = index.jobs["job"]
    assert entry.is_open
    assert (entry.manifest, entry.remaining_tokens, entry.first_read_at) == (manifest, 20, 9.0)


def test_a_second_manifest_of_a_job_does_not_undo_its_end() -> None:
    """Guards against daemons that differ in whether a job is open: some read newest records only.

    A daemon of an earlier version may append the second manifest.
    """
    first = manifest_record(Manifest("job", "r", "h", 2, 14, "d", 0, submitted_at=1000.0))
    second = manifest_record(Manifest("job", "r", "h", 2, 14, "d", 0, submitted_at=1001.0))
    all_records, newest_records = JobIndex(), JobIndex()
    for record in (first, progress_record("job", 7), end_record("job"), second):
        all_records.apply(5.0, record)
    for record in (progress_record("job", 7), end_record("job"), second):
        newest_records.apply(6.0, record)
    for index in (all_records, newest_records):
        entry = index.jobs["job"]
        assert (entry.is_ended, entry.remaining_tokens) == (True, 7)
        assert entry.manifest.submitted_at == 1001.0


def test_a_removed_end_no_longer_ends_the_job_of_its_id() -> None:
    index = JobIndex()
    index.apply(5.0, end_record("job"))
    index.apply(6.0, manifest_record(Manifest("job", "r", "h", 2, 14, "d", 0)))
    assert not index.jobs["job"].is_open
    index.apply(7.0, KeyedRecord("e:job", b""))
    assert index.jobs["job"].is_open


def test_a_job_keeps_its_age_after_a_restart_of_all_daemons() -> None:
    fleet = SimulatedFleet(3)
    fleet.run(3.0)
    fleet.submit_job("job", 4)
    fleet.run(6.0)
    for name in list(fleet.daemons):
        fleet.kill(name)
    fleet.run(3.0)
    ages = [
        entry.age(fleet.now)
        for daemon in fleet.daemons.values()
        for entry in daemon.core.jobs.replicas.index.jobs.values()
    ]
    assert ages
    assert all(8.0 < age < 9.5 for age in ages)
