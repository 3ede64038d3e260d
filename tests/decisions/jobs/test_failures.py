"""Which answers of engines end an item, and which only end its run."""

from collections.abc import Callable

import pytest

from tests.worlds.gateway_world import Daemon, GatewayWorld
from troutswitch.decisions.jobs.messages import ItemRunEnded, RunItem
from troutswitch.decisions.jobs.records import DEAD, DONE
from troutswitch.outcomes import AttemptOutcome

MAX_ATTEMPTS = 3


class FailingWorld(GatewayWorld):
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


def run_one_item(*statuses: int) -> tuple[FailingWorld, str]:
    world = FailingWorld(1)
    world.statuses = list(statuses)
    world.run(3.0)
    job = world.hand_in("job", 1)
    world.run(25.0)
    return world, job.results[0][1]


@pytest.mark.parametrize("status", [502, 503, 504, 0])
def test_a_status_that_is_not_attributed_to_the_item_does_not_end_it(status: int) -> None:
    world, state = run_one_item(*[status] * 2 * MAX_ATTEMPTS)
    assert state != DEAD
    assert world.violations == []


def test_an_item_is_dead_lettered_after_as_many_failed_runs_as_its_route_allows() -> None:
    world, state = run_one_item(*[500] * 2 * MAX_ATTEMPTS)
    assert state == DEAD
    assert world.runs == MAX_ATTEMPTS


def test_status_422_dead_letters_an_item_after_one_run() -> None:
    world, state = run_one_item(422, 422)
    assert state == DEAD
    assert world.runs == 1


class AlwaysFailingWorld(GatewayWorld):
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


def kill_all(world: GatewayWorld) -> None:
    for name in list(world.daemons):
        world.kill(name)
    world.run(1.0)


@pytest.mark.parametrize("disturb", [GatewayWorld.reassign, kill_all])
@pytest.mark.parametrize("seed", range(1, 4))
def test_failed_runs_are_counted_over_all_owners(
    seed: int, disturb: Callable[[GatewayWorld], None]
) -> None:
    """Guards against an item that fails at each run and is retried without a bound.

    Its runs fail twice at its owner, then the shard moves to another daemon, because all shards are
    reassigned or the owner is lost, and they fail twice again. When each owner counted only its own
    failed runs, the item ran 27 to 35 times here.
    """
    world = AlwaysFailingWorld(seed, daemons=6)
    world.run(3.0)
    job = world.hand_in("job", 4)
    world.failing = job.items[0].item_id
    for _ in range(24):
        world.run(0.5)
        disturb(world)
    world.run(10.0)
    states = {row[0]: row[1] for row in job.results.values()}
    assert states.pop(world.failing) == DEAD
    assert set(states.values()) == {DONE}
    assert world.runs <= MAX_RUNS_OVER_ALL_DAEMONS
    assert world.violations == []
