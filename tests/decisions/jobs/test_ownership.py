"""Items go on while a shard is fenced again and the store is away."""

import pytest

from tests.worlds.gateway_world import GatewayWorld
from troutswitch.decisions.jobs.ownership import ShardOwnership

DOWN_SECONDS = 6.0


def starts_while_the_store_is_away() -> int:
    """Returns the runs that start after the one owner's writes were lost in an outage."""
    world = GatewayWorld(1, daemons=1, engines=1)
    world.run(3.0)
    owner = next(iter(world.daemons.values())).core.jobs.owner
    ownership = next(iter(world.daemons.values())).core.jobs.ownership
    world.hand_in("job", 40)
    world.run(1.0)
    assert owner.runs
    world.faults.is_down = True
    for lease in ownership.owned():
        ownership.fence_again(world.now, lease.shard)
    assert not ownership.owned()
    before = owner.runs_started
    world.run(DOWN_SECONDS)
    assert not world.violations
    return owner.runs_started - before


def test_items_start_although_the_shard_is_fenced_again() -> None:
    assert starts_while_the_store_is_away() > 0


def test_without_it_they_wait_for_the_store(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ShardOwnership, "startable", lambda self, served_at: self.owned())
    assert starts_while_the_store_is_away() == 0


def test_a_shard_that_was_never_read_starts_nothing() -> None:
    world = GatewayWorld(1, daemons=1, engines=1)
    world.faults.is_down = True
    world.run(5.0)
    daemon = next(iter(world.daemons.values()))
    assert daemon.core.jobs.ownership.startable(float("-inf")) == []
