"""Streams and engines of several software versions: the checks, and a short seeded soak."""

import time
from pathlib import Path

import pytest

from tests.soak.builders import clean_observations, completed_exchange, started_entry
from troutswitch.soak.checks import find_violations
from troutswitch.soak.fleet import Fleet
from troutswitch.soak.load_kinds import LoadKind
from troutswitch.soak.observations import (
    Exchange,
    JournalEntry,
    Observations,
    Outcome,
    RequestKind,
    read_journal,
)
from troutswitch.soak.resuming_callers import ResumingCallers
from troutswitch.soak.version_checks import MIN_RESUMED_STREAMS, count_streams
from troutswitch.standins.content import event_bytes

SECONDS = 8.0
KILL_AFTER_SECONDS = 3.0


def left_stream(number: int, engine: str) -> tuple[Exchange, JournalEntry]:
    """Returns a stream whose caller left after its first event, and its run."""
    exchange = completed_exchange(f"left-{number}", RequestKind.STREAM)
    exchange.answer = event_bytes(exchange.request_id)[0]
    exchange.outcome = Outcome.CALLER_LEFT
    exchange.stamp = f"{engine}.{exchange.request_id}"
    return exchange, run_at(exchange, engine, 0)


def run_at(exchange: Exchange, engine: str, after: int, at: float = 10.05) -> JournalEntry:
    entry = started_entry(exchange, at)
    return JournalEntry(
        entry.kind,
        entry.request_id,
        at,
        engine,
        entry.path,
        entry.body,
        entry.model,
        after,
        tenant=entry.tenant,
    )


def observations_of_two_versions() -> Observations:
    observations = clean_observations()
    observations.engine_versions = {"one": "v1", "two": "v2", "also-one": "v1"}
    return observations


def resume(observations: Observations, number: int, engine: str | None) -> None:
    """Adds a stream that began at `one` and was resumed at an engine, or refused without one."""
    first, run = left_stream(number, "one")
    again = completed_exchange(f"again-{number}", RequestKind.STREAM, 11.0)
    again.resumed_id, again.resumed_after = first.request_id, 1
    again.answer = b"".join(event_bytes(again.request_id, 1))
    if engine is None:
        again.status, again.answer, again.stamp = 503, b"", ""
    else:
        observations.journal_entries.append(run_at(again, engine, 1, 11.05))
    observations.exchanges += [first, again]
    observations.journal_entries.append(run)


def promises(observations: Observations) -> list[str]:
    return [violation.promise for violation in find_violations(observations)]


def test_stream_resumed_at_its_version_breaks_no_promise() -> None:
    observations = observations_of_two_versions()
    resume(observations, 1, "also-one")
    assert promises(observations) == []


def test_stream_resumed_at_another_version_is_a_violation() -> None:
    observations = observations_of_two_versions()
    resume(observations, 1, "two")
    assert promises(observations) == ["ORDER"]


@pytest.mark.parametrize(("engine", "expected"), [("also-one", []), ("two", ["ORDER"])])
def test_stream_continued_in_one_answer_is_checked_too(engine: str, expected: list[str]) -> None:
    observations = observations_of_two_versions()
    exchange = completed_exchange("whole", RequestKind.STREAM)
    exchange.stamp = f"one.{exchange.request_id}"
    observations.exchanges.append(exchange)
    observations.journal_entries += [
        run_at(exchange, "two", 0, 10.01),  # brought no event
        run_at(exchange, "one", 0, 10.02),
        run_at(exchange, engine, 2, 10.05),
        run_at(exchange, "two", 0, 10.06),  # abandoned before it reached the engine
    ]
    assert promises(observations) == expected


@pytest.mark.parametrize(("continued", "expected"), [(6, []), (5, ["LOST"])])
def test_too_few_resumed_streams_that_go_on_are_a_violation(
    continued: int, expected: list[str]
) -> None:
    observations = observations_of_two_versions()
    for number in range(MIN_RESUMED_STREAMS):
        resume(observations, number, "one" if number < continued else None)
    assert promises(observations) == expected


def test_resumed_streams_continue_at_their_version_when_a_daemon_is_killed(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, 21, 3, 4, frozenset({LoadKind.VERSIONS}))
    try:
        fleet.start()
        observations = fleet.observations
        callers = ResumingCallers(21, fleet.direct_endpoints(), observations)
        for thread in callers.threads:
            thread.start()
        time.sleep(KILL_AFTER_SECONDS)
        fleet.daemons[0].child.signal(9)
        time.sleep(SECONDS - KILL_AFTER_SECONDS)
        callers.stop_requested.set()
        for thread in callers.threads:
            thread.join()
        for engine in fleet.engines:
            observations.journal_entries += read_journal(engine.journal)
    finally:
        fleet.stop()
    assert len(set(observations.engine_versions.values())) == 2
    assert count_streams(observations.exchanges).resumed >= MIN_RESUMED_STREAMS
    assert find_violations(observations) == []
