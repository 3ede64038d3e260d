"""A confirmed configuration is in force at all daemons within a bound, and is never reverted.

The bounds are the users': `APPLY_SECONDS` after the confirmation, or `CONTACT_SECONDS` after the
end of the fault that kept a daemon from the store, whichever is later.
"""

import pytest

from tests.simulation.configuration_disruptions import (
    APPLY_SECONDS,
    CONTACT_SECONDS,
    DisruptedFleet,
)
from tests.simulation.fleet import SimulatedFleet
from troutswitch.decisions.storage.messages import KeyedRecord, Partition

START_SECONDS = 3.0
RUN_SECONDS = 40.0


def versions_in_force(fleet: SimulatedFleet) -> set[int]:
    return {daemon.core.routes.version for daemon in fleet.daemons.values()}


def versions_after_outage(seed: int, outage: float) -> set[int]:
    """Publishes version 2 just after an outage; returns the versions in force at the bound."""
    fleet = SimulatedFleet(seed, daemons=9)
    fleet.run(START_SECONDS)
    fleet.faults.is_silent = True
    fleet.run(outage)
    fleet.faults.is_silent = False
    fleet.run(0.1)
    fleet.publish(2)
    fleet.run(max(APPLY_SECONDS, CONTACT_SECONDS - 0.1))
    return versions_in_force(fleet)


def test_version_confirmed_after_a_store_outage_is_in_force_within_the_bound() -> None:
    outages = (1.5, 3.9, 5.0, 7.8, 9.0)
    found = {(seed, s): versions_after_outage(seed, s) for seed in range(1, 5) for s in outages}
    assert {case: in_force for case, in_force in found.items() if in_force != {2}} == {}


def test_zone_partitioned_from_the_store_learns_a_version_from_other_zones() -> None:
    """Guards against daemons that ask only peers of their own zone, which lack the version too."""
    late: dict[int, list[str]] = {}
    for seed in range(1, 11):
        fleet = SimulatedFleet(seed, daemons=12, zones=("a", "b", "c"))
        fleet.run(START_SECONDS)
        partitioned = [d for d in fleet.daemons.values() if d.core.identity.zone == "a"]
        for daemon in partitioned:
            daemon.is_partitioned_from_store = True
        fleet.run(3.0)
        fleet.publish(2)
        fleet.run(APPLY_SECONDS)
        outdated = [daemon.name for daemon in partitioned if daemon.core.routes.version < 2]
        if outdated:
            late[seed] = outdated
    assert late == {}


@pytest.mark.parametrize("seed", range(1, 9))
def test_random_disruptions_during_changes_violate_no_bound(seed: int) -> None:
    assert DisruptedFleet(seed).run(RUN_SECONDS) == []


@pytest.mark.parametrize("seed", range(1, 5))
def test_malformed_record_does_not_keep_daemons_that_start_from_the_sound_one(seed: int) -> None:
    """Every daemon starts anew, at a store that is silent, beside a malformed newest record."""
    fleet = SimulatedFleet(seed, daemons=9)
    fleet.run(START_SECONDS)
    fleet.publish(2)
    fleet.store.log(Partition("configuration")).append((KeyedRecord("configuration", b"odd"),))
    fleet.faults.is_silent = True
    for name in list(fleet.daemons):
        fleet.kill(name)
    fleet.run(4.0)
    fleet.faults.is_silent = False
    fleet.run(CONTACT_SECONDS)
    assert versions_in_force(fleet) == {2}
    fleet.publish(3)
    fleet.run(APPLY_SECONDS)
    assert versions_in_force(fleet) == {3}
