"""No batch item starves, however many newer items could still meet their objective."""

import pytest

from tests.simulation.fleet import SimulatedFleet
from troutswitch.decisions.jobs import starvation_guard
from troutswitch.decisions.slots import batch_slots

OBJECTIVE_SECONDS = 20.0


def overload(fleet: SimulatedFleet, seconds: float) -> None:
    """Submits a job per second for some time, more than the engines can finish in time."""
    until = fleet.now + seconds
    number = 0
    while fleet.now < until:
        number += 1
        fleet.submit_job(f"later-{number}", 12)
        fleet.run(1.0)


def late_items_done() -> tuple[int, int]:
    """Returns the number of early items that are done after an overload, and their total."""
    fleet = SimulatedFleet(5, daemons=3, engines=2)
    fleet.run(3.0)
    early_jobs = [fleet.submit_job(f"early-{number}", 12) for number in range(6)]
    overload(fleet, 4 * OBJECTIVE_SECONDS)
    assert not fleet.violations
    return sum(len(job.results) for job in early_jobs), sum(len(job.items) for job in early_jobs)


def test_late_items_finish_while_newer_items_keep_arriving() -> None:
    done, items = late_items_done()
    assert done == items


def test_without_reserved_starts_some_late_items_starve(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(starvation_guard, "LATE_START_INTERVAL", 1 << 30)
    monkeypatch.setattr(starvation_guard, "LATE_WAIT_SECONDS", 1e9)
    monkeypatch.setattr(batch_slots, "LATE_SLOT_INTERVAL", 1 << 30)
    done, items = late_items_done()
    assert done < items
