"""Grants to daemons whose items can't start at the engine with the fewest requests."""

import random

import pytest

from tests.decisions.slots.harness import SlotsDaemon, deliver, record
from tests.simulation.fleet import SimulatedFleet
from troutswitch.decisions.slots.messages import StartItems
from troutswitch.decisions.slots.unused_grants import (
    PAUSE_JITTER,
    UNUSED_GRANT_SECONDS,
    UNUSED_PAUSE_SECONDS,
    UnusedGrants,
)

SETTLED = 10.0
TICK = 0.02


class ChoosyDaemon(SlotsDaemon):
    """A daemon whose items can start only at some engines."""

    accepting: tuple[str, ...] = ()

    def _start_items(self, grant: StartItems) -> None:
        before = len(self.items)
        if grant.engine_id in self.accepting:
            super()._start_items(grant)
        started = len(self.items) - before
        self.fleet.on_granted_items_started(self.now, grant.engine_id, grant.count, started)

    now = 0.0

    def tick(self, now: float) -> None:
        self.now = now
        super().tick(now)


def test_own_items_start_at_the_engine_that_takes_them_though_others_are_emptier() -> None:
    """Guards against grants of one engine that can't be used, round after round."""
    daemon = ChoosyDaemon("first", [record(f"s{n}") for n in range(6)])
    daemon.coordinate(0.0)
    daemon.accepting = ("s3",)
    daemon.waiting = 3
    for round_number in range(12):
        daemon.tick(SETTLED + round_number * TICK)
    assert daemon.items == ["s3"] * 3


def test_items_start_at_an_engine_that_takes_them_only_after_all_were_tried() -> None:
    daemon = ChoosyDaemon("first", [record(f"s{n}") for n in range(6)])
    daemon.coordinate(0.0)
    daemon.waiting = 3
    for round_number in range(50):
        daemon.tick(SETTLED + round_number * TICK)
    assert daemon.items == []
    daemon.accepting = ("s5",)
    for round_number in range(50, 50 + int(UNUSED_GRANT_SECONDS / TICK) + 12):
        daemon.tick(SETTLED + round_number * TICK)
    assert daemon.items == ["s5"] * 3


def test_a_peers_items_start_at_the_engine_that_takes_them() -> None:
    records = [record(f"s{n}") for n in range(6)]
    coordinator, peer = ChoosyDaemon("first", records), ChoosyDaemon("second", records)
    coordinator.coordinate(0.0, peer)
    for daemon in (coordinator, peer):
        daemon.messages()
    peer.accepting = ("s3",)
    peer.waiting = 3
    for round_number in range(100):
        now = SETTLED + round_number * TICK
        for daemon in (peer, coordinator):
            daemon.tick(now)
            deliver(now, coordinator, peer)
    assert peer.items == ["s3"] * 3


@pytest.mark.parametrize("daemons", [1, 3])
def test_small_items_start_beside_an_engine_that_one_large_item_fills(daemons: int) -> None:
    """Guards against items that wait for the engine with the fewest requests, which is full."""
    fleet = SimulatedFleet(2, daemons=daemons, engines=2, cache_tokens=1000)
    fleet.run(3.0)
    large = fleet.submit_job("large", 1, 900)
    fleet.run(1.0)
    assert sum(large.run_counts.values()) == 1
    first = fleet.submit_job("first", 3, 100)
    fleet.run(0.5)
    second = fleet.submit_job("second", 4, 100)
    fleet.run(0.5)
    assert [sum(job.run_counts.values()) for job in (first, second)] == [3, 4]
    fleet.run(10.0)
    assert fleet.unfinished_jobs() == []


def test_unused_grants_count_until_one_is_used_or_the_time_has_passed() -> None:
    unused = UnusedGrants(random.Random(1))
    unused.record(0.0, "d", "s0", is_used=False)
    assert not unused.is_unused(0.0, "d", "s0")
    unused.record(0.0, "d", "s0", is_used=False)
    assert unused.is_paused(UNUSED_PAUSE_SECONDS * (1 - PAUSE_JITTER) - 0.01, "d", "s0")
    assert not unused.is_paused(UNUSED_PAUSE_SECONDS * (1 + PAUSE_JITTER), "d", "s0")
    assert unused.is_unused(UNUSED_GRANT_SECONDS, "d", "s0")
    assert not unused.is_unused(UNUSED_GRANT_SECONDS + 0.1, "d", "s0")
    assert not unused.is_unused(0.0, "d", "s1")
    unused.record(1.0, "d", "s0", is_used=True)
    assert not unused.is_unused(1.0, "d", "s0")
