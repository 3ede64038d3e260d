"""A daemon that alone has lost the store starts no items of jobs that were ended meanwhile.

Guards against items that run, and are paid for, seconds after the end of their job was confirmed.
One daemon loses the store, its shards pass to others, and a job there is ended. The daemon took its
failed joins for an outage of the store, in which no other daemon could own its shards. With six of
ten seeds, three of which are kept here, 22 to 27 items ran too late.
"""

import pytest

from tests.worlds.gateway_world import GatewayWorld

CANCEL_SECONDS = 3.0


@pytest.mark.parametrize("seed", [2, 4, 5])
def test_a_daemon_without_the_store_starts_no_items_of_ended_jobs(seed: int) -> None:
    world = GatewayWorld(seed, daemons=2, engines=1)
    world.run(4.0)
    jobs = [world.hand_in(f"job-{number}", 200) for number in range(8)]
    world.run(2.0)
    cut_off = max(world.daemons.values(), key=lambda daemon: daemon.core.jobs.owner.open_items)
    assert cut_off.core.jobs.owner.runs
    cut_off.is_cut_from_store = True
    other = next(daemon for daemon in world.daemons.values() if daemon is not cut_off)
    world.any_daemon = lambda: other  # type: ignore[method-assign]
    world.run(0.5)
    for job in jobs:
        world.end_job(job)
    world.run(CANCEL_SECONDS)
    assert all(job.ended_at < world.now for job in jobs)
    world.run(6.0)
    late = [violation for violation in world.violations if "ended job ran" in violation]
    assert not late, f"{len(late)} items ran"
