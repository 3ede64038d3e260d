"""No tenant gets more than its quota permits, whatever daemons, messages and engines do.

Guards against the violation that users saw (QUOTA): engines ran more of a tenant's requests in a
window than its quota and the permitted excess allow. Runs are counted as users do: the requests
that were both sent and run in a window, further attempts included.
"""

from collections.abc import Callable

import pytest

from tests.simulation.limited_tenants import LimitedTenantFleet, max_runs, tenant
from troutswitch.decisions.tenants.quota_groups import QUOTA_GROUPS

HOT_FACTOR = 7.5
"""Requests sent, as a multiple of the limit."""
CALM_FACTOR = 0.6
SECONDS = 12.0

Disruption = Callable[[LimitedTenantFleet], None]


def coordinators(fleet: LimitedTenantFleet) -> list[str]:
    names = {group.name for group in QUOTA_GROUPS}
    daemons = fleet.daemons.values()
    return [d.name for d in daemons if any(d.core.slots.claims.is_own(name) for name in names)]


def kill_all(fleet: LimitedTenantFleet, names: list[str], down: float) -> None:
    for name in names:
        fleet.kill(name, down)


def nothing(fleet: LimitedTenantFleet) -> None:
    """Causes no disruption."""


def stalls(fleet: LimitedTenantFleet) -> None:
    fleet.stall_share = 0.6


def lost_messages(fleet: LimitedTenantFleet) -> None:
    fleet.message_loss = 0.3


def failing_engines(fleet: LimitedTenantFleet) -> None:
    fleet.failure_rate = 0.5


def cut_off_half(fleet: LimitedTenantFleet) -> None:
    """Cuts half of the daemons, with the coordinators, from the others and the store."""
    names = list(fleet.daemons)

    def cut() -> None:
        cut_off = coordinators(fleet)
        cut_off += [name for name in names if name not in cut_off][: len(names) // 2]
        fleet.cut(cut_off, 1, from_store=True)

    fleet.call_later(3.0, cut)
    fleet.call_later(9.0, lambda: fleet.cut(names, 0, from_store=False))


def kills_in_turn(fleet: LimitedTenantFleet) -> None:
    for number, name in enumerate(list(fleet.daemons)):
        fleet.call_later(1.0 + 0.4 * number, lambda name=name: fleet.kill(name, 0.3))  # type: ignore[misc]


def planned_restarts_in_turn(fleet: LimitedTenantFleet) -> None:
    for number, name in enumerate(list(fleet.daemons)):
        fleet.call_later(1.0 + 0.4 * number, lambda name=name: fleet.drain(name))  # type: ignore[misc]


def kill_coordinators(fleet: LimitedTenantFleet) -> None:
    """Kills the coordinators again and again, more often than a window is long."""
    for number in range(8):
        fleet.call_later(1.0 + 1.2 * number, lambda: kill_all(fleet, coordinators(fleet), 0.6))


def suspend_coordinators(fleet: LimitedTenantFleet) -> None:
    def suspend() -> None:
        for name in coordinators(fleet):
            fleet.pause(name, 1.5)

    for number in range(5):
        fleet.call_later(1.0 + 2.0 * number, suspend)


def store_outage(fleet: LimitedTenantFleet) -> None:
    """Has the store fail for some seconds, in which the coordinators are killed."""
    fleet.call_later(2.0, lambda: setattr(fleet.faults, "is_down", True))
    fleet.call_later(4.0, lambda: kill_all(fleet, coordinators(fleet), 1.0))
    fleet.call_later(8.0, lambda: setattr(fleet.faults, "is_down", False))


def cut_from_store(fleet: LimitedTenantFleet, names: list[str], seconds: float) -> None:
    """Partitions daemons from the store alone, for some seconds."""

    def set_cut(is_cut: bool) -> None:
        for name in names:
            fleet.daemons[name].is_partitioned_from_store = is_cut

    set_cut(True)
    fleet.call_later(seconds, lambda: set_cut(False))


def coordinators_cut_from_store(fleet: LimitedTenantFleet) -> None:
    """Has the coordinators hand over, as other daemons reach the store."""
    fleet.call_later(1.0, lambda: cut_from_store(fleet, coordinators(fleet), 10.0))


def coordinators_cut_again_and_again(fleet: LimitedTenantFleet) -> None:
    """Ends each partition about when the successors claim."""
    for begin in (0.5, 5.0, 9.0):
        fleet.call_later(begin, lambda: cut_from_store(fleet, coordinators(fleet), 4.0))


def coordinators_cut_and_killed(fleet: LimitedTenantFleet) -> None:
    """Kills the coordinators about when their successors claim."""

    def cut() -> None:
        names = coordinators(fleet)
        cut_from_store(fleet, names, 10.0)
        fleet.call_later(4.0, lambda: kill_all(fleet, names, 1.0))

    fleet.call_later(1.0, cut)


def added_daemons(fleet: LimitedTenantFleet) -> None:
    first = len(fleet.daemons)
    for number in range(first, 2 * first):
        fleet.call_later(3.0, lambda n=number: fleet.start_daemon(f"daemon-{n}", 0))  # type: ignore[misc]


BUSY = (0.012, 0.03)
"""Delay of a message between daemons on busy machines, in seconds."""
IDLE = (0.001, 0.004)

Case = tuple[Disruption, float, int, tuple[float, float]]
"""Disruption, rate and burst, number of daemons, delay of a message."""
CASES: list[Case] = [
    (nothing, 3.0, 48, BUSY),
    (nothing, 3.0, 24, (0.02, 0.06)),
    (nothing, 20.0, 24, BUSY),
    (stalls, 3.0, 24, IDLE),
    (lost_messages, 3.0, 24, IDLE),
    (failing_engines, 20.0, 24, IDLE),
    (cut_off_half, 20.0, 24, IDLE),
    (kills_in_turn, 3.0, 24, IDLE),
    (planned_restarts_in_turn, 20.0, 24, IDLE),
    (kill_coordinators, 3.0, 24, IDLE),
    (kill_coordinators, 20.0, 24, BUSY),
    (suspend_coordinators, 20.0, 24, IDLE),
    (store_outage, 3.0, 24, IDLE),
    (coordinators_cut_from_store, 20.0, 24, IDLE),
    (coordinators_cut_again_and_again, 20.0, 24, BUSY),
    (coordinators_cut_and_killed, 20.0, 24, IDLE),
    (added_daemons, 3.0, 24, BUSY),
]


def play(
    disrupt: Disruption, rate: float, daemons: int, delay: tuple[float, float], seed: int
) -> LimitedTenantFleet:
    tenants = [tenant("hot", rate, rate), tenant("calm", rate, rate)]
    fleet = LimitedTenantFleet(seed, daemons, tenants, delay)
    fleet.send_for("hot", SECONDS, HOT_FACTOR * rate)
    fleet.send_for("calm", SECONDS, CALM_FACTOR * rate)
    disrupt(fleet)
    fleet.run(SECONDS + 1.0)
    return fleet


def case_name(case: Case) -> str:
    disrupt, rate, daemons, delay = case
    return f"{disrupt.__name__}-rate {rate:g}-{daemons} daemons-{1000 * delay[1]:g} ms"


@pytest.mark.parametrize("case", CASES, ids=case_name)
@pytest.mark.parametrize("seed", [1])
def test_no_window_exceeds_a_quota_whatever_the_daemons_meet(case: Case, seed: int) -> None:
    record = play(*case, seed).records["hot"]
    assert record.most_runs() <= max_runs(record.tenant)
    assert len(record.runs) > record.tenant.rate
