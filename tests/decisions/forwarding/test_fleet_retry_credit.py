"""The retry credit of all daemons together does not grow with their number."""

import random
from collections import Counter

import pytest

from troutswitch.decisions.forwarding.fleet_retry_credit import (
    FLEET_RETRY_CREDIT,
    UNKNOWN_FLEET_SECONDS,
    FleetRetryCredit,
)
from troutswitch.decisions.limits import MAX_RETRY_CREDIT, RetryBudget

SERVICE = "s"
SLOTS = 8


class DaemonBudget:
    """The retry budget of one daemon that knows `daemons`, and has read the registry or not."""

    def __init__(self, daemons: int, *, is_current: bool = True, is_paced: bool = True) -> None:
        self.is_paced = is_paced
        self.credit = FleetRetryCredit(lambda service: self.is_paced)
        self.budget = RetryBudget(self.credit.limits)
        self.know(daemons, is_current=is_current)

    def know(self, daemons: int, now: float = 0.0, *, is_current: bool = True) -> None:
        self.credit.update(now, daemons, is_current=is_current)

    def take(self, retries: int = 1000) -> int:
        return sum(self.budget.take(SERVICE) for _ in range(retries))

    def succeed(self, count: int) -> None:
        for _ in range(count):
            self.budget.on_success(SERVICE)


@pytest.mark.parametrize("daemons", [1, 3, 20, 65, 130, 200, 201, 1000])
def test_daemons_that_start_together_have_no_more_than_the_fleet_s_credit(daemons: int) -> None:
    fleet = [DaemonBudget(daemons) for _ in range(daemons)]
    assert sum(daemon.take() for daemon in fleet) <= FLEET_RETRY_CREDIT


def test_65_daemons_have_a_third_of_their_former_credit() -> None:
    assert sum(DaemonBudget(65).take() for _ in range(65)) == 195
    assert sum(DaemonBudget(65, is_paced=False).take() for _ in range(65)) == 650


def test_successes_earn_no_more_than_the_share() -> None:
    daemon = DaemonBudget(65)
    daemon.succeed(1000)
    assert daemon.take() == 3
    daemon.succeed(11)
    assert daemon.take() == 1


def test_restarted_daemon_has_only_its_share_once_it_knows_the_fleet() -> None:
    daemon = DaemonBudget(1, is_current=False)
    assert daemon.take() == 0
    daemon.know(12, 1.0, is_current=False)
    assert daemon.take() == 0
    daemon.know(65, 2.0)
    assert daemon.take() == 3


def test_restarted_daemon_without_the_registry_uses_the_largest_fleet_that_it_heard_of() -> None:
    daemon = DaemonBudget(1, is_current=False)
    daemon.know(40, 5.0, is_current=False)
    daemon.know(25, 9.0, is_current=False)
    assert daemon.take() == 0
    daemon.know(25, UNKNOWN_FLEET_SECONDS, is_current=False)
    assert daemon.take() == 5


def test_daemon_that_is_cut_off_keeps_its_share() -> None:
    """Peers are forgotten after some time of silence, which must not raise the share."""
    daemon = DaemonBudget(65)
    daemon.know(1, 100.0, is_current=False)
    assert daemon.take() == 3


def test_retries_before_the_first_reported_pace_count() -> None:
    """Guards against a second credit when the service turns out to be paced."""
    daemon = DaemonBudget(65, is_paced=False)
    assert daemon.take(2) == 2
    daemon.is_paced = True
    assert daemon.take() == 1


def test_fleet_that_grows_and_shrinks_creates_no_credit() -> None:
    daemon = DaemonBudget(40)
    assert daemon.take(3) == 3
    taken = 0
    for turn in range(100):
        daemon.know(40 if turn % 2 else 65, turn)
        taken += daemon.take()
    assert taken == 2


def test_fleet_that_shrinks_gets_larger_shares() -> None:
    fleet = [DaemonBudget(65) for _ in range(65)]
    for daemon in fleet[:30]:
        assert daemon.take(1) == 1
        daemon.know(30, 60.0)
    assert sum(daemon.take() for daemon in fleet[:30]) + 30 <= FLEET_RETRY_CREDIT
    fleet[0].know(3, 120.0)
    fleet[0].succeed(200)
    assert fleet[0].take() == MAX_RETRY_CREDIT


@pytest.mark.parametrize("daemons", [1, 2, 3, 5])
def test_small_fleet_retries_the_requests_of_a_crashed_engine(daemons: int) -> None:
    assert DaemonBudget(daemons).take(SLOTS) == SLOTS  # also if one daemon has all of them


def test_65_daemons_retry_nearly_all_requests_of_five_crashed_engines() -> None:
    rng, retried, trials = random.Random(1), 0, 200
    for _ in range(trials):
        lost = Counter(rng.randrange(65) for _ in range(5 * SLOTS))
        retried += sum(DaemonBudget(65).take(count) for count in lost.values())
    assert retried / (trials * 5 * SLOTS) > 0.99
