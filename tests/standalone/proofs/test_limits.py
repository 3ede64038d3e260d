"""Retry storms, bursts and bounded queues, on virtual time."""

from dataclasses import replace

import pytest

from tests.standalone.proofs.simulations import QUETZAL, make_simulation
from troutswitch.decisions import limits
from troutswitch.outcomes import NotRun
from troutswitch.standalone.decisions.batch.dispatcher import BatchDispatcher
from troutswitch.standalone.decisions.engines import EngineRegistry
from troutswitch.standalone.simulation.fleet_simulation import FleetSimulation

STORM = replace(
    QUETZAL.workload, online_per_second=60.0, jobs_per_burst=(0, 0), non_repeatable_share=0.0
)
SATURATED = replace(
    QUETZAL.workload, jobs_per_burst=(6, 8), items_per_job=(60, 120), cancel_share=0.0
)
WAIT_SECONDS = 0.25
"""Bound on the wait of an online request on an engine that runs batch items: a few steps."""


def storm(seed: int) -> FleetSimulation:
    """Runs full load while half the engines cut every stream for about a minute."""
    simulation = make_simulation((), seed, 1.5, STORM)
    broken = [engine for number, engine in enumerate(simulation.engines.values()) if number % 2]

    def inject() -> None:
        for engine in broken:
            engine.cut_streams(1.0)
        if simulation.clock.now() < simulation.ends_at - 10.0:
            simulation.clock.call_later(0.05, inject)

    simulation.clock.call_later(15.0, inject)
    simulation.run()
    return simulation


def amplification(simulation: FleetSimulation) -> float:
    counts = [daemon.core.online.counts for daemon in simulation.daemons.values()]
    admitted = sum(c.arrived for c in counts)
    return sum(c.attempts for c in counts) / admitted


def test_a_retry_storm_is_bounded_and_refusals_are_fast() -> None:
    simulation = storm(1)
    assert simulation.observer.violations == []
    assert amplification(simulation) < 1.2
    for record in simulation.observer.online.values():
        if isinstance(record.outcome, NotRun):
            assert record.ended_at - record.sent_at < 3.0
            assert record.outcome.retry_after is not None


def test_retries_amplify_without_budget_and_ejection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(limits.RetryBudget, "take", lambda self, service: True)
    monkeypatch.setattr(EngineRegistry, "_record_failure", lambda self, now, engine: None)
    assert amplification(storm(1)) >= 1.2


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_online_never_waits_behind_batch(seed: int) -> None:
    simulation = make_simulation((), seed, 2.0, SATURATED)
    simulation.observer.max_wait_behind_batch = WAIT_SECONDS
    report = simulation.run()
    assert report.violations == []
    assert report.details["batch_yielded"] != 0


def test_online_waits_behind_batch_without_yielding(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(BatchDispatcher, "_yield_excess", lambda self, engine, slots: [])
    simulation = make_simulation((), 1, 2.0, SATURATED)
    simulation.observer.max_wait_behind_batch = WAIT_SECONDS
    assert any("behind" in text for text in simulation.run().violations)
