"""Another writer beside real daemons: its checks, and a short, seeded soak."""

import threading
from pathlib import Path

import pytest

from tests.soak.builders import (
    clean_observations,
    completed_exchange,
    injected_action,
    started_entry,
)
from troutswitch.soak.checks import find_violations
from troutswitch.soak.load_kinds import LoadKind
from troutswitch.soak.observations import (
    ConfigurationWrite,
    EngineDeparture,
    EngineListing,
    Exchange,
    JournalEntry,
    Observations,
    OddRecordWrite,
    Outcome,
    RequestKind,
)
from troutswitch.soak.run import SoakSize, run_soak
from troutswitch.soak.schedule import ActionKind
from troutswitch.soak.writer_checks import IN_FORCE_SECONDS, MIN_REQUESTS, USED_SECONDS

SECONDS = 10.0
MIN_SOAK_REQUESTS = 200
"""Requests below which the soak has shown nothing."""


def observations_beside_odd_records(unserved: int = 0, status: int = 503) -> Observations:
    """Returns the requests of callers while odd records stand, of which some are not served."""
    observations = clean_observations()
    observations.is_lightly_loaded = True
    observations.odd_records.append(OddRecordWrite("no-host", "another-1", 5.0))
    for number in range(MIN_REQUESTS):
        exchange = completed_exchange(f"caller-1-{number}", RequestKind.READ)
        if number < unserved:
            exchange.status, exchange.stamp, exchange.answer = status, "", b""
        else:
            observations.journal_entries.append(started_entry(exchange))
            observations.journal_entries.append(
                JournalEntry("answered", exchange.request_id, 10.06, "x", status=200, is_whole=True)
            )
        observations.exchanges.append(exchange)
    return observations


def promises(observations: Observations) -> list[str]:
    return [violation.promise for violation in find_violations(observations)]


def test_served_requests_beside_odd_records_break_no_promise() -> None:
    assert promises(observations_beside_odd_records()) == []


@pytest.mark.parametrize("status", [502, 503, 504])
def test_unserved_requests_beside_odd_records_are_a_violation(status: int) -> None:
    assert promises(observations_beside_odd_records(2, status)) == ["LOST"]


def test_unserved_requests_are_allowed_near_a_fault_under_load_and_without_odd_records() -> None:
    near_fault = observations_beside_odd_records(2)
    near_fault.actions.append(injected_action(ActionKind.KILL_ENGINE, 9.0, 9.5))
    loaded = observations_beside_odd_records(2)
    loaded.is_lightly_loaded = False
    alone = observations_beside_odd_records(2)
    alone.odd_records.clear()
    assert [promises(each) for each in (near_fault, loaded, alone)] == [[], [], []]


def test_an_internal_error_is_a_violation_even_during_a_fault() -> None:
    observations = clean_observations()
    observations.actions.append(injected_action(ActionKind.KILL_ENGINE, 9.0, 11.0))
    exchange = completed_exchange("request", RequestKind.READ)
    exchange.status, exchange.stamp, exchange.answer = 500, "", b"Internal Server Error"
    observations.exchanges.append(exchange)
    assert promises(observations) == ["LOST"]


def listed_engine(engine: str = "server-9-1", at: float = 2.0) -> Observations:
    observations = clean_observations()
    observations.listings.append(EngineListing(engine, at))
    assert max(e.ended_at for e in observations.exchanges) > at + USED_SECONDS
    return observations


def test_a_listed_engine_without_requests_is_a_violation() -> None:
    assert promises(listed_engine()) == ["RECOVER"]


def test_a_listed_engine_that_is_used_or_left_or_beside_a_fault_is_allowed() -> None:
    used = listed_engine("server-0-1")
    left = listed_engine()
    left.departures.append(EngineDeparture("server-9-1", 3.0))
    near_fault = listed_engine()
    near_fault.actions.append(injected_action(ActionKind.STORE_DOWN, 3.0, 4.0))
    too_short = listed_engine(at=2.0)
    too_short.listings[0] = EngineListing("server-9-1", 100.0)
    assert [promises(each) for each in (used, left, near_fault, too_short)] == [[], [], [], []]


def probe(version: int, status: int, at: float) -> Exchange:
    exchange = completed_exchange(f"probe-{version}", RequestKind.VERSION, at)
    exchange.version, exchange.status = version, status
    if status != 200:
        exchange.stamp = ""
    return exchange


def observations_of_configurations(asked_at: float, status: int = 404) -> Observations:
    """Returns a good configuration after an odd one, and a probe of it."""
    observations = clean_observations()
    observations.configurations += [
        ConfigurationWrite(1, 1.0, 1.1),
        ConfigurationWrite(2, 20.0, 20.1, is_odd=True),
        ConfigurationWrite(3, 21.0, 21.1),
        ConfigurationWrite(4, 40.0, 40.1),
    ]
    observations.exchanges.append(probe(3, status, asked_at))
    return observations


def test_a_configuration_after_an_odd_one_that_is_not_in_force_is_a_violation() -> None:
    late = observations_of_configurations(21.2 + IN_FORCE_SECONDS)
    assert promises(late) == ["CONFIG"]


def test_a_configuration_may_be_missing_before_its_bound_near_a_fault_and_when_replaced() -> None:
    early = observations_of_configurations(22.0)
    near_fault = observations_of_configurations(30.0)
    near_fault.actions.append(injected_action(ActionKind.STORE_DOWN, 28.0, 29.0))
    replaced = observations_of_configurations(41.0)
    assert [promises(each) for each in (early, near_fault, replaced)] == [[], [], []]


def test_an_odd_configuration_need_not_come_into_force() -> None:
    observations = observations_of_configurations(30.0, status=404)
    observations.configurations[2] = ConfigurationWrite(3, 21.0, 21.1, is_odd=True)
    assert promises(observations) == []


@pytest.mark.parametrize("seed", [5])
def test_records_of_another_writer_end_no_daemon_and_cost_no_request(
    seed: int, tmp_path: Path
) -> None:
    """Guards against a daemon that ends or stops following the store at a malformed record."""
    size = SoakSize(
        daemons=2,
        engines=3,
        callers=6,
        has_faults=False,
        load=frozenset({LoadKind.ANOTHER_WRITER}),
    )
    result = run_soak(seed, SECONDS, tmp_path, size, lambda line: None, threading.Event())
    observations = result.observations
    assert list(result.violations) == []
    complete = [e for e in observations.exchanges if e.outcome is Outcome.COMPLETE]
    assert len(complete) >= MIN_SOAK_REQUESTS
    assert len({write.kind for write in observations.odd_records}) > 10
