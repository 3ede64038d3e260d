"""Real daemons with paced engines, competing tenants and slow callers; a short, seeded soak."""

import time
from pathlib import Path

import pytest

from troutswitch.soak.checks import find_violations
from troutswitch.soak.competing_callers import SteadyCaller, SurgingCallers
from troutswitch.soak.fleet import Fleet
from troutswitch.soak.load_kinds import LoadKind
from troutswitch.soak.observations import Observations, read_journal
from troutswitch.soak.resource_sampler import ResourceSampler
from troutswitch.soak.sent_attempts import read_attempts
from troutswitch.soak.slow_callers import SlowCallers

DAEMONS = 3
ENGINES = 2
SECONDS = 10.0
MIN_REQUESTS = 20
"""Requests of a kind below which the soak has shown nothing."""


def observe(fleet: Fleet, seed: int) -> Observations:
    """Runs callers of all kinds of demanding load; returns what was observed."""
    fleet.start()
    endpoints, observations = fleet.direct_endpoints(), fleet.observations
    groups = [
        kind(seed, endpoints, observations) for kind in (SurgingCallers, SteadyCaller, SlowCallers)
    ]
    sampler = ResourceSampler(fleet.daemons, observations)
    threads = [sampler.thread, *(thread for group in groups for thread in group.threads)]
    for thread in threads:
        thread.start()
    time.sleep(SECONDS)
    for worker in (*groups, sampler):
        worker.stop_requested.set()
    for thread in threads:
        thread.join()
    for engine in fleet.engines:
        observations.journal_entries += read_journal(engine.journal)
    observations.attempts = read_attempts(fleet.daemon_logs())
    return observations


@pytest.mark.parametrize("seed", [11])
def test_demanding_load_breaks_no_promise(seed: int, tmp_path: Path) -> None:
    """Guards against refusals that are not true, unfair service and memory beyond its limit."""
    fleet = Fleet(tmp_path, seed, DAEMONS, ENGINES, frozenset(LoadKind))
    try:
        observations = observe(fleet, seed)
    finally:
        fleet.stop()
    assert find_violations(observations) == []
    logs = "".join(path.read_text() for path in tmp_path.glob("daemon-*.log"))
    assert '"slot request queued"' in logs, "no request was queued at a coordinator"
    assert '"factor_source": "reported"' in logs, "no pace was used"
    for prefix in ("surge-", "steady-", "slow-"):
        sent = [e for e in observations.exchanges if e.request_id.startswith(prefix)]
        assert len(sent) >= MIN_REQUESTS, prefix
    assert any(sample.memory_mb > 0 for sample in observations.samples)
