"""Items start while a shard is fenced again during an outage of the store."""

import pytest

from tests.simulation.fleet import SimulatedFleet
from troutswitch.decisions.jobs.ownership import ShardOwnership

OUTAGE_SECONDS = 6.0


def starts_in_outage() -> int:
    """Returns the number of runs started in an outage in which the only owner lost its writes."""
    fleet = SimulatedFleet(1, daemons=1, engines=1)
    fleet.run(3.0)
    owner = next(iter(fleet.daemons.values())).core.jobs.owner
    ownership = next(iter(fleet.daemons.values())).core.jobs.ownership
    fleet.submit_job("job", 40)
    fleet.run(1.0)
    assert owner.runs
    fleet.faults.is_down = True
    for lease in ownership.owned():
        ownership.fence_again(fleet.now, lease.shard)
    assert not ownership.owned()
    before = owner.runs_started
    fleet.run(OUTAGE_SECONDS)
    assert not fleet.violations
    return owner.runs_started - before


def test_items_start_while_their_shard_is_fenced_again() -> None:
    assert starts_in_outage() > 0


def test_items_wait_for_the_store_if_only_owned_shards_are_startable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ShardOwnership, "startable", lambda self, served_at: self.owned())
    assert starts_in_outage() == 0


def test_a_shard_that_was_never_read_is_not_startable() -> None:
    fleet = SimulatedFleet(1, daemons=1, engines=1)
    fleet.faults.is_down = True
    fleet.run(5.0)
    daemon = next(iter(fleet.daemons.values()))
    assert daemon.core.jobs.ownership.startable(float("-inf")) == []
