"""Most new connections go to one daemon: the check, and real daemons under it."""

import time
from pathlib import Path

import pytest

from tests.soak.builders import clean_observations, completed_exchange
from troutswitch.soak.checks import find_violations
from troutswitch.soak.fleet import Fleet
from troutswitch.soak.observations import RequestKind, read_journal
from troutswitch.soak.skew_checks import MIN_REQUESTS
from troutswitch.soak.skewed_callers import (
    EVEN_PREFIX,
    EVEN_SECONDS,
    SKEWED_PREFIX,
    SKEWED_SECONDS,
    SkewedCallers,
)

SEED = 41


@pytest.mark.parametrize(("served", "expected"), [(30, False), (29, True)])
def test_fewer_served_requests_during_a_skew_are_a_violation(served: int, expected: bool) -> None:
    observations = clean_observations()
    for prefix in (EVEN_PREFIX, SKEWED_PREFIX):
        for number in range(MIN_REQUESTS):
            exchange = completed_exchange(f"{prefix}1-{number}", RequestKind.READ)
            if prefix == SKEWED_PREFIX and number >= served:
                exchange.status = 503
            observations.exchanges.append(exchange)
    found = [v for v in find_violations(observations) if v.subject == "skewed connections"]
    assert bool(found) is expected


def test_requests_are_served_while_most_new_connections_go_to_one_daemon(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, SEED, 4, 6)
    try:
        fleet.start()
        observations = fleet.observations
        callers = SkewedCallers(SEED, fleet.direct_endpoints(), observations)
        for thread in callers.threads:
            thread.start()
        time.sleep(EVEN_SECONDS + SKEWED_SECONDS)
        callers.stop_requested.set()
        for thread in callers.threads:
            thread.join()
        for engine in fleet.engines:
            observations.journal_entries += read_journal(engine.journal)
    finally:
        fleet.stop()
    skewed = [e for e in observations.exchanges if e.request_id.startswith(SKEWED_PREFIX)]
    assert len(skewed) >= MIN_REQUESTS
    to_one = sum(exchange.daemon == "daemon-0" for exchange in skewed)
    assert to_one > len(skewed) / 2
    assert find_violations(observations) == []
