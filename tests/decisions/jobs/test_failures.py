"""Which answers of engines end an item, and which only end its run."""

from collections.abc import Callable

import pytest

from tests.simulation.fleet import Daemon, SimulatedFleet
from troutswitch.decisions.jobs.messages import ItemRunEnded, RunItem
from troutswitch.decisions.jobs.records import DEAD, DONE
from troutswitch.outcomes import AttemptOutcome

MAX_ATTEMPTS = 3


class FailingFleet(SimulatedFleet):
    """Engines answer each run with the next of the given statuses, then run items normally."""

    statuses: list[int]
    runs = 0

    def run_item(self, daemon: Daemon, run: RunItem) -> None:
        self.runs += 1
        if not self.statuses:
            super().run_item(daemon, run)
            return
        status = self.statuses.pop(0)
        ended = ItemRunEnded(run.run, AttemptOutcome.CUT, status, f"status {status}", ())
        self.step_later(daemon, ended, 0.01)


def run_one_item(*statuses: int) -> tuple[FailingFleet, str]:
    fleet = FailingFleet(1)
    fleet.statuses = list(statuses)
    fleet.run(3.0)
    job = fleet.submit_job("job", 1)
    fleet.run(25.0)
    return fleet, job.results[0][1]


@pytest.mark.parametrize("status", [502, 503, 504, 0])
def test_a_status_that_is_not_attributed_to_the_item_does_not_end_it(status: int) -> None:
    fleet, state = run_one_item(*[status] * 2 * MAX_ATTEMPTS)
    assert state != DEAD
    assert fleet.violations == []


def test_an_item_is_dead_lettered_after_as_many_failed_runs_as_its_route_allows() -> None:
    fleet, state = run_one_item(*[500] * 2 * MAX_ATTEMPTS)
    assert state == DEAD
    assert fleet.runs == MAX_ATTEMPTS


def test_status_422_dead_letters_an_item_after_one_run() -> None:
    fleet, state = run_one_item(422, 422)
    assert state == DEAD
    assert fleet.runs == 1


class AlwaysFailingFleet(SimulatedFleet):
    """Engines answer 500 to each run of one item."""

    failing = ""
    runs = 0

    def run_item(self, daemon: Daemon, run: RunItem) -> None:
        if run.item.item_id != self.failing:
            super().run_item(daemon, run)
            return
        self.runs += 1
        ended = ItemRunEnded(run.run, AttemptOutcome.CUT, 500, "status 500", ())
        self.step_later(daemon, ended, 0.1)


MAX_RUNS_OVER_ALL_DAEMONS = 3 * MAX_ATTEMPTS
"""Maximum runs, over all daemons, of an item that always fails."""


def kill_all(fleet: SimulatedFleet) -> None:
    for name in list(fleet.daemons):
        fleet.kill(name)
    fleet.run(1.0)


@pytest.mark.parametrize("disturb", [SimulatedFleet.reassign_shards, kill_all])
@pytest.mark.parametrize("seed", range(1, 4))
def test_failed_runs_are_counted_over_all_owners(
    seed: int, disturb: Callable[[SimulatedFleet], None]
) -> None:
    """Guards against an item that fails at each run and is retried without a bound.

    Its runs fail twice at its owner, then the shard moves to another daemon, because all shards are
    reassigned or the owner is lost, and they fail twice again. When each owner counted only its own
    failed runs, the item ran 27 to 35 times here.
    """
    fleet = AlwaysFailingFleet(seed, daemons=6)
    fleet.run(3.0)
    job = fleet.submit_job("job", 4)
    fleet.failing = job.items[0].item_id
    for _ in range(24):
        fleet.run(0.5)
        disturb(fleet)
    fleet.run(10.0)
    states = {row[0]: row[1] for row in job.results.values()}
    assert states.pop(fleet.failing) == DEAD
    assert set(states.values()) == {DONE}
    assert fleet.runs <= MAX_RUNS_OVER_ALL_DAEMONS
    assert fleet.violations == []
