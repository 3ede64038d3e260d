"""Real daemons keep a tenant within its quota while they stall; a short, seeded soak."""

import time
from pathlib import Path

import pytest

from troutswitch.soak.fleet import Fleet
from troutswitch.soak.limited_callers import LimitedCallers
from troutswitch.soak.observations import Observations, read_journal
from troutswitch.soak.stalls import Stalls
from troutswitch.soak.tenant_checks import most_limited_runs, tenants_stay_within_their_quota

DAEMONS = 20
ENGINES = 3
STALL_SHARE = 0.6
SECONDS = 12.0
MIN_RUNS = 10
"""Runs in the fullest window below which the soak has shown nothing."""


def observe(fleet: Fleet, seed: int) -> Observations:
    """Sends a limited tenant's requests to stalled daemons; returns what was observed."""
    fleet.start()
    callers = LimitedCallers(seed, fleet.direct_endpoints(), fleet.observations)
    stalls = Stalls(fleet.daemons, STALL_SHARE)
    threads = [*callers.threads, *stalls.threads]
    for thread in threads:
        thread.start()
    time.sleep(SECONDS)
    for worker in (callers, stalls):
        worker.stop_requested.set()
    for thread in threads:
        thread.join()
    for engine in fleet.engines:
        fleet.observations.journal_entries += read_journal(engine.journal)
    return fleet.observations


@pytest.mark.parametrize("seed", [11])
def test_stalled_daemons_keep_a_tenant_within_its_quota(seed: int, tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, seed, DAEMONS, ENGINES)
    try:
        observations = observe(fleet, seed)
    finally:
        fleet.stop()
    assert tenants_stay_within_their_quota(observations) == []
    assert most_limited_runs(observations)[1] >= MIN_RUNS
