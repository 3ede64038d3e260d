"""The checks of demanding load report observations that break their promise, and no others."""

from dataclasses import replace

import pytest

from tests.soak.builders import (
    clean_observations,
    completed_exchange,
    injected_action,
    started_entry,
)
from troutswitch.soak import checks
from troutswitch.soak.observations import Exchange, Observations, RequestKind, ResourceSample
from troutswitch.soak.schedule import ActionKind

SLOTS = 4
REQUESTS = 40


def violated_promises(observations: Observations) -> set[str]:
    return {violation.promise for violation in checks.find_violations(observations)}


def refused(request_id: str, at: float = 10.0, status: int = 503) -> Exchange:
    exchange = completed_exchange(request_id, RequestKind.ONCE, at)
    exchange.status, exchange.stamp, exchange.answer = status, "", b""
    return exchange


def observations_of_steady_caller(unserved: int) -> Observations:
    observations = clean_observations()
    for number in range(REQUESTS):
        request_id = f"steady-1-{number}"
        exchange = completed_exchange(request_id, RequestKind.READ)
        observations.exchanges.append(refused(request_id) if number < unserved else exchange)
        if number >= unserved:
            observations.journal_entries.append(started_entry(exchange))
    return observations


@pytest.mark.parametrize(("unserved", "expected"), [(2, set()), (3, {"SHARE"})])
def test_a_tenant_inside_its_share_must_be_served(unserved: int, expected: set[str]) -> None:
    assert violated_promises(observations_of_steady_caller(unserved)) == expected


def test_requests_during_a_fault_do_not_count_for_the_share() -> None:
    observations = observations_of_steady_caller(REQUESTS)
    observations.actions.append(injected_action(ActionKind.KILL_DAEMON, 9.0, 11.0))
    assert violated_promises(observations) == set()


def observations_of_refusal(running: int, status: int = 503) -> Observations:
    """Returns the refusal of a competing request while a number of runs is in progress."""
    observations = clean_observations()
    observations.journal_entries = [
        entry for entry in observations.journal_entries if entry.written_at < 7.0
    ]
    observations.exchanges = []
    observations.slots = SLOTS
    for number in range(running):
        exchange = completed_exchange(f"surge-1-{number}", RequestKind.STREAM, 9.0)
        begun = started_entry(exchange, 9.1)
        observations.exchanges.append(exchange)
        ended = replace(begun, kind="ended", written_at=11.0)
        observations.journal_entries += [begun, ended]
    observations.exchanges.append(refused("surge-1-refused", status=status))
    # Items of the job have ended long before.
    items = [e for e in observations.journal_entries if e.written_at < 7.0]
    observations.journal_entries += [
        replace(entry, kind="ended", written_at=6.5) for entry in items
    ]
    return observations


@pytest.mark.parametrize("status", [429, 503])
@pytest.mark.parametrize(("running", "expected"), [(1, {"IDLE"}), (2, set())])
def test_a_refusal_while_engines_are_idle_is_a_violation(
    running: int, status: int, expected: set[str]
) -> None:
    assert violated_promises(observations_of_refusal(running, status)) == expected


def test_runs_one_after_another_do_not_count_as_running_at_once() -> None:
    """Guards against a count of all runs near a refusal, which short runs would fill."""
    observations = observations_of_refusal(0)
    for number in range(SLOTS):
        exchange = completed_exchange(f"surge-1-{number}", RequestKind.STREAM, 9.0)
        begun = started_entry(exchange, 9.8 + number * 0.05)
        observations.exchanges.append(exchange)
        ended = replace(begun, kind="ended", written_at=begun.written_at + 0.04)
        observations.journal_entries += [begun, ended]
    assert violated_promises(observations) == {"IDLE"}


@pytest.mark.parametrize("kind", [ActionKind.KILL_ENGINE, ActionKind.STOP_DAEMON])
def test_a_refusal_beside_a_fault_or_a_planned_stop_of_its_daemon_is_allowed(
    kind: ActionKind,
) -> None:
    observations = observations_of_refusal(0)
    observations.actions.append(injected_action(kind, 9.0, 11.0))
    assert violated_promises(observations) == set()


@pytest.mark.parametrize(
    ("limit", "resident", "peak", "expected"),
    [
        (0, 200, 200, set()),
        (160, 150, 152, set()),
        (160, 156, 0, {"BOUND"}),
        (160, 90, 156, {"BOUND"}),
    ],
)
def test_resident_memory_must_stay_under_the_limit_of_the_settings(
    limit: int, resident: float, peak: float, expected: set[str]
) -> None:
    """The limit is in units of 1,000,000 bytes: 156 MiB are 163.6 of them."""
    observations = clean_observations()
    observations.memory_limit_mb = limit
    observations.samples.append(ResourceSample("daemon-0", 10.0, resident, 100, 1000, peak))
    assert violated_promises(observations) == expected


@pytest.mark.parametrize(("sent", "expected"), [(1, {"IDLE"}), (2, set())])
def test_requests_on_their_way_to_engines_occupy_slots(sent: int, expected: set[str]) -> None:
    """Guards against a violation on a busy machine, where slots are taken before runs begin."""
    observations = observations_of_refusal(0)
    refusal = observations.exchanges[-1]
    observations.attempts = [(refusal.sent_at - 0.1, refusal.ended_at + 0.1)] * sent
    assert violated_promises(observations) == expected
