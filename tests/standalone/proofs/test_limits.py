"""Retry storms, bursts and bounded queues, on virtual time."""

from dataclasses import replace

import pytest

from tests.standalone.proofs.worlds import QUETZAL, make_world
from troutswitch.decisions import limits
from troutswitch.outcomes import NotRun
from troutswitch.standalone.decisions.batch.dispatcher import BatchDispatcher
from troutswitch.standalone.decisions.engines import EngineRegistry
from troutswitch.standalone.simulation.world import SimulatedWorld

STORM = replace(QUETZAL.workload, online_per_second=60.0, jobs_per_heap=(0, 0), once_share=0.0)
SATURATED = replace(
    QUETZAL.workload, jobs_per_heap=(6, 8), items_per_job=(60, 120), cancel_share=0.0
)
WAIT_SECONDS = 0.25
"""Bound on an online request's wait on an engine that runs batch: a few steps."""


def storm(seed: int) -> SimulatedWorld:
    """Half the engines cut every stream they take, for a minute, under full load."""
    world = make_world((), seed, 1.5, STORM)
    broken = [engine for number, engine in enumerate(world.engines.values()) if number % 2]

    def strike() -> None:
        for engine in broken:
            engine.cut_streams(1.0)
        if world.clock.now() < world.ends_at - 10.0:
            world.clock.call_later(0.05, strike)

    world.clock.call_later(15.0, strike)
    world.run()
    return world


def amplification(world: SimulatedWorld) -> float:
    counts = [daemon.core.online.counts for daemon in world.daemons.values()]
    admitted = sum(c.arrived for c in counts)
    return sum(c.attempts for c in counts) / admitted


def test_a_retry_storm_is_bounded_and_refusals_come_at_once() -> None:
    world = storm(1)
    assert world.observer.violations == []
    assert amplification(world) < 1.2
    for record in world.observer.online.values():
        if isinstance(record.outcome, NotRun):
            assert record.ended_at - record.sent_at < 3.0
            assert record.outcome.retry_after is not None


def test_without_budget_and_ejection_retries_amplify(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(limits.RetryBudget, "take", lambda self, service: True)
    monkeypatch.setattr(EngineRegistry, "_record_failure", lambda self, now, engine: None)
    assert amplification(storm(1)) >= 1.2


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_online_never_waits_behind_batch(seed: int) -> None:
    world = make_world((), seed, 2.0, SATURATED)
    world.observer.wait_limit = WAIT_SECONDS
    report = world.run()
    assert report.violations == []
    assert report.details["batch_yielded"] != 0


def test_without_yielding_online_waits_behind_batch(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(BatchDispatcher, "_yield_excess", lambda self, engine, slots: [])
    world = make_world((), 1, 2.0, SATURATED)
    world.observer.wait_limit = WAIT_SECONDS
    assert any("behind" in text for text in world.run().violations)
