"""Checks of a part of prompts that crashes engines, and real daemons under such requests."""

import time
from pathlib import Path

import pytest

from tests.soak.builders import clean_observations, completed_exchange
from troutswitch.soak.checks import find_violations
from troutswitch.soak.crashing_parts import BESIDE_PREFIX, CRASHING_PREFIX, CrashingPartCallers
from troutswitch.soak.fault_injector import FaultInjector
from troutswitch.soak.fleet import Fleet
from troutswitch.soak.observations import JournalEntry, Observations, RequestKind, read_journal
from troutswitch.soak.part_checks import (
    CRASH_KNOWN_SECONDS,
    CRASHES_TO_REFUSE,
    MAX_LATE_STARTS,
    MIN_BESIDE_REQUESTS,
)
from troutswitch.soak.schedule import FaultSchedule

SEED = 31
SECONDS = 14.0
KILL_AFTER_SECONDS = 4.0
FIRST_CRASH_AT = 20.0


def promises(observations: Observations) -> list[str]:
    return [violation.promise for violation in find_violations(observations)]


def crashed_observations(crashes: int) -> Observations:
    observations = clean_observations()
    for number in range(crashes):
        request_id = f"{CRASHING_PREFIX}1-0-{number}"
        observations.journal_entries.append(
            JournalEntry(
                "ended under",
                request_id,
                FIRST_CRASH_AT + number,
                "engine",
                path=f"/read/{request_id}",
            )
        )
    return observations


def start_late(observations: Observations, count: int) -> None:
    """Adds runs of requests with the part after its fifth crash had to be known."""
    known_at = FIRST_CRASH_AT + CRASHES_TO_REFUSE - 1 + CRASH_KNOWN_SECONDS
    for number in range(count):
        exchange = completed_exchange(f"{CRASHING_PREFIX}1-1-{number}", RequestKind.READ)
        observations.exchanges.append(exchange)
        observations.journal_entries.append(
            JournalEntry("begun", exchange.request_id, known_at + 1.0 + number, "engine")
        )


@pytest.mark.parametrize(
    ("crashes", "late", "expected"),
    [
        (CRASHES_TO_REFUSE, MAX_LATE_STARTS, False),
        (CRASHES_TO_REFUSE, MAX_LATE_STARTS + 1, True),
        (CRASHES_TO_REFUSE - 1, MAX_LATE_STARTS + 1, False),
    ],
)
def test_more_late_requests_with_a_crashing_part_are_a_violation(
    crashes: int, late: int, expected: bool
) -> None:
    observations = crashed_observations(crashes)
    start_late(observations, late)
    assert ("BUDGET" in promises(observations)) is expected


@pytest.mark.parametrize(("served", "expected"), [(10, False), (9, True)])
def test_sound_requests_that_are_not_served_are_a_violation(served: int, expected: bool) -> None:
    observations = crashed_observations(1)
    for number in range(MIN_BESIDE_REQUESTS):
        exchange = completed_exchange(f"{BESIDE_PREFIX}1-0-{number}", RequestKind.READ)
        exchange.sent_at = FIRST_CRASH_AT + CRASH_KNOWN_SECONDS + 1.0
        exchange.ended_at = exchange.sent_at + 0.1
        exchange.status = 200 if number < served else 503
        observations.exchanges.append(exchange)
    found = [v for v in find_violations(observations) if v.subject == "beside a crashing part"]
    assert bool(found) is expected


def test_a_crashing_part_is_refused_when_a_daemon_is_killed(tmp_path: Path) -> None:
    """Guards against crashes of a part that are forgotten with the daemon that saw them."""
    fleet = Fleet(tmp_path, SEED, 3, 5)
    try:
        fleet.start()
        observations = fleet.observations
        injector = FaultInjector(fleet, FaultSchedule(SEED, SECONDS, ()))
        callers = CrashingPartCallers(SEED, fleet.direct_endpoints(), observations)
        for thread in callers.threads:
            thread.start()
        injector.run(time.monotonic() + KILL_AFTER_SECONDS, lambda: False)
        fleet.daemons[0].child.signal(9)
        injector.run(time.monotonic() + SECONDS - KILL_AFTER_SECONDS, lambda: False)
        callers.stop_requested.set()
        for thread in callers.threads:
            thread.join()
        for engine in fleet.engines:
            observations.journal_entries += read_journal(engine.journal)
    finally:
        fleet.stop()
    crashes = [entry for entry in observations.journal_entries if entry.kind == "ended under"]
    assert len(crashes) >= CRASHES_TO_REFUSE
    late_from = crashes[CRASHES_TO_REFUSE - 1].written_at + CRASH_KNOWN_SECONDS
    sent = [e for e in observations.exchanges if e.request_id.startswith(CRASHING_PREFIX)]
    assert any(exchange.sent_at > late_from for exchange in sent), "none was sent later"
    assert find_violations(observations) == []
