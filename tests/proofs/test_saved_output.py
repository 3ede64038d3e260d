"""The text of a result is of one output, whatever an owner has read of its shard, and when.

Guards against results that join two runs: users saw events 1 to 10 of a run at a new version and 11
to 40 of one at the old version, after a release and new assignments of the shards.
"""

import pytest

from tests.proofs.test_stream_versions import release_half, started_fleet
from tests.simulation.versioned_fleet import VersionedFleet
from troutswitch.standins.keyed_store import ReadLimits

SMALL_PAGES = ReadLimits(page_records=3, page_bytes=1_000_000, read_bytes=600)


def restart_all_daemons_beside_a_release(fleet: VersionedFleet) -> None:
    """Replaces all engines by those of another version while all daemons are down."""
    for number in range(6):
        fleet.submit_job(f"job-{number}", 8)
    fleet.run(3.0)
    for name in list(fleet.daemons):
        fleet.kill(name, 2.0)
    for number, name in enumerate(list(fleet.incarnations)):
        fleet.start_engine(f"new-{number}", "v2")
        fleet.retire_engine(name)
        fleet.remove_engine(name)
    fleet.run(40.0)


@pytest.mark.parametrize("seed", range(1, 4))
def test_result_is_of_one_output_if_all_daemons_started_anew_during_a_release(seed: int) -> None:
    fleet = started_fleet(seed, "v1")
    restart_all_daemons_beside_a_release(fleet)
    assert fleet.violations == []
    assert fleet.unfinished_jobs() == []


def run_jobs_beside_a_release(fleet: VersionedFleet) -> None:
    """Releases an engine version while shards change their owners, daemons stop, clients read."""
    for number in range(6):
        fleet.submit_job(f"job-{number}", 8)
    fleet.run(2.0)
    release_half(fleet)
    for _ in range(6):
        fleet.reassign_shards()
        fleet.run(fleet.rng.uniform(0.5, 2.0))
        if fleet.rng.random() < 0.5:
            fleet.compact()
        if fleet.rng.random() < 0.5:
            fleet.kill(fleet.rng.choice(list(fleet.daemons)))
        fleet.run(fleet.rng.uniform(0.1, 0.6))
    fleet.run(30.0)


@pytest.mark.parametrize("seed", range(1, 7))
def test_result_is_of_one_output_if_a_shard_has_many_pages(seed: int) -> None:
    fleet = started_fleet(seed, "v1")
    fleet.store.limits = SMALL_PAGES
    run_jobs_beside_a_release(fleet)
    assert fleet.violations == []
    assert fleet.unfinished_jobs() == []
