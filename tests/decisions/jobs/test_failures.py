"""Which answers of servers end an item, and which only end its run."""

import pytest

from troutswitch.decisions.jobs.messages import ItemRunEnded, RunItem
from troutswitch.decisions.jobs.records import DEAD
from troutswitch.outcomes import AttemptKind
from troutswitch.simulation.gatewayworld import Daemon, GatewayWorld

ATTEMPTS_MOST = 3


class FailingWorld(GatewayWorld):
    """Servers answer each run with the next of some statuses, then run items as they should."""

    statuses: list[int]
    runs = 0

    def run_item(self, daemon: Daemon, run: RunItem) -> None:
        self.runs += 1
        if not self.statuses:
            super().run_item(daemon, run)
            return
        status = self.statuses.pop(0)
        ended = ItemRunEnded(run.run, AttemptKind.CUT, status, f"status {status}", ())
        self.step_later(daemon, ended, 0.01)


def played(*statuses: int) -> tuple[FailingWorld, str]:
    world = FailingWorld(1)
    world.statuses = list(statuses)
    world.run(3.0)
    truth = world.hand_in("job", 1)
    world.run(25.0)
    return world, truth.results[0][1]


@pytest.mark.parametrize("status", [502, 503, 504, 0])
def test_a_status_that_is_no_failure_of_the_item_never_ends_it(status: int) -> None:
    world, state = played(*[status] * 2 * ATTEMPTS_MOST)
    assert state != DEAD
    assert world.violations == []


def test_an_item_ends_once_as_many_runs_failed_as_its_route_allows() -> None:
    world, state = played(*[500] * 2 * ATTEMPTS_MOST)
    assert state == DEAD
    assert world.runs == ATTEMPTS_MOST


def test_an_item_that_can_never_be_done_runs_once() -> None:
    world, state = played(422, 422)
    assert state == DEAD
    assert world.runs == 1
