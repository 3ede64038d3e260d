"""Items that cannot start: when they wait, and when they are dead-lettered."""

import random
from dataclasses import replace
from unittest.mock import MagicMock

import pytest

from tests.decisions.jobs.fixtures import item, job_index, route_table
from troutswitch.decisions.jobs.item_retries import (
    MAX_RETRY_SECONDS,
    MAX_UNSENT_RETRY_SECONDS,
    RETRY_SECONDS,
    ROUTE_GONE_SECONDS,
    RUNS_BEFORE_BACKOFF,
    UNREACHABLE_RETRY_SECONDS,
    ItemRetries,
)
from troutswitch.decisions.jobs.messages import ItemRunEnded, OutputEvent
from troutswitch.outcomes import AttemptOutcome


@pytest.mark.parametrize("may_be_outdated", [False, True])
def test_an_item_without_a_route_is_dead_lettered_only_by_the_newest_configuration(
    may_be_outdated: bool,
) -> None:
    """Guards against dead-lettering an item whose route the owner has not read yet."""
    routes, endings, refusals = route_table(), MagicMock(), MagicMock()
    index = job_index({"job": 0.0})
    configuration = routes.configuration
    assert configuration is not None
    routes.replace(replace(configuration, version=2, routes=()))
    retries = ItemRetries(routes, index, refusals, endings, random.Random(1))
    progress = item("job")
    routes.may_be_outdated = may_be_outdated
    for second in range(int(ROUTE_GONE_SECONDS) + 2):
        assert retries.prepare_start(float(second), progress) is None
    assert endings.dead_letter.called is not may_be_outdated


def run_ended(kind: AttemptOutcome, status: int = 200) -> ItemRunEnded:
    return ItemRunEnded(1, kind, status, "", ())


class RetriedItem:
    """An item whose runs end early, and the pauses after them in seconds."""

    def __init__(self) -> None:
        index = job_index({"job": 0.0})
        self.retries = ItemRetries(route_table(), index, MagicMock(), MagicMock(), random.Random(1))
        self.progress = item("job")

    def pause(self, kind: AttemptOutcome, *, is_stopped: bool = False) -> float:
        self.retries.on_ended_early(0.0, self.progress, run_ended(kind), is_stopped=is_stopped)
        return self.progress.retry_at


def test_pause_after_runs_without_an_event_grows_to_its_bound() -> None:
    """Guards against an item that is cut in every run and occupies a slot all the time."""
    retried = RetriedItem()
    pauses = [retried.pause(AttemptOutcome.CUT) for _ in range(40)]
    assert pauses[0] <= 1.5 * RETRY_SECONDS
    assert max(pauses) <= 1.5 * MAX_RETRY_SECONDS
    assert min(pauses[RUNS_BEFORE_BACKOFF + 5 :]) >= 0.5 * MAX_RETRY_SECONDS
    assert max(pauses[:RUNS_BEFORE_BACKOFF]) <= 1.5 * RETRY_SECONDS
    assert len(set(pauses)) == len(pauses)


def test_pause_is_the_shortest_again_after_an_event() -> None:
    retried = RetriedItem()
    for _ in range(2 * RUNS_BEFORE_BACKOFF):
        retried.pause(AttemptOutcome.CUT)
    retried.progress.add_events((OutputEvent("1", "text"),))
    assert retried.pause(AttemptOutcome.CUT) <= 1.5 * RETRY_SECONDS


@pytest.mark.parametrize("kind", [AttemptOutcome.REFUSED, AttemptOutcome.UNREACHABLE])
def test_pause_after_runs_that_did_not_begin_stays_short(kind: AttemptOutcome) -> None:
    retried = RetriedItem()
    assert max(retried.pause(kind) for _ in range(20)) <= 1.5 * MAX_UNSENT_RETRY_SECONDS
    assert retried.pause(AttemptOutcome.CUT) <= 1.5 * MAX_UNSENT_RETRY_SECONDS


def test_runs_that_this_daemon_stops_do_not_lengthen_the_pause() -> None:
    retried = RetriedItem()
    pauses = [retried.pause(AttemptOutcome.CUT, is_stopped=True) for _ in range(20)]
    assert max(pauses) <= 1.5 * RETRY_SECONDS


def test_engines_that_cannot_be_connected_to_delay_an_item_little_however_many_there_are() -> None:
    """Guards against items that wait for seconds beside entries that no engine listens at."""
    retried = RetriedItem()
    pauses = [retried.pause(AttemptOutcome.UNREACHABLE) for _ in range(60)]
    assert max(pauses) <= 1.5 * UNREACHABLE_RETRY_SECONDS
    assert retried.pause(AttemptOutcome.CUT) <= 1.5 * RETRY_SECONDS
