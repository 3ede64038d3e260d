"""Outputs of long items: the check by the engines' journals, and a short seeded soak."""

import threading
from dataclasses import replace
from pathlib import Path

import pytest

from tests.soak.builders import clean_observations, item_entry
from troutswitch.soak.checks import find_violations
from troutswitch.soak.load_kinds import LoadKind
from troutswitch.soak.observations import Observations, ObservedJob, ObservedResult
from troutswitch.soak.output_checks import results_are_of_one_output
from troutswitch.soak.run import SoakSize, run_soak
from troutswitch.standins.content import LONG_ITEM_EVENTS, LONG_ITEM_PREFIX, long_item_events

SECONDS = 12.0
ITEM = "long-0"
VERSIONS = {"one": "v1", "also-one": "v1", "two": "v2"}
Span = tuple[str, int, int, int]
"""Engine and run, the event after which it was asked to begin, and the last one that is used."""


def text_of(*spans: Span) -> str:
    events = [
        event
        for engine, run, after, last in spans
        for event in long_item_events(ITEM, engine, run, after)[: last - after]
    ]
    return "\n".join(event.decode().split("data: ")[1].strip() for event in events)


def observations_of(text: str, *runs: Span) -> Observations:
    observations = clean_observations()
    observations.engine_versions = VERSIONS
    job = ObservedJob("long", {ITEM: LONG_ITEM_PREFIX}, 5.0, [202], 5.5, totals={1})
    job.results = [ObservedResult("daemon-0", 0, ITEM, "completed", text)]
    observations.jobs.append(job)
    observations.journal_entries += [
        replace(item_entry(job, 0), engine=engine, run=run, after=after)
        for engine, run, after, _ in runs
    ]
    return observations


ONE_RUN: tuple[Span, ...] = (("one", 1, 0, LONG_ITEM_EVENTS),)
CONTINUED: tuple[Span, ...] = (("one", 1, 0, 9), ("also-one", 4, 9, LONG_ITEM_EVENTS))


@pytest.mark.parametrize("spans", [ONE_RUN, CONTINUED])
def test_output_of_one_start_is_accepted(spans: tuple[Span, ...]) -> None:
    assert find_violations(observations_of(text_of(*spans), *spans)) == []


@pytest.mark.parametrize(
    ("spans", "runs"),
    [
        (CONTINUED, (("one", 1, 0, 0), ("also-one", 4, 0, 0))),
        (CONTINUED, ONE_RUN),
        ((("one", 1, 0, 9), ("two", 2, 9, LONG_ITEM_EVENTS)),) * 2,
        ((("one", 1, 0, 9), ("also-one", 4, 10, LONG_ITEM_EVENTS)),) * 2,
        ((("one", 1, 0, 9), ("also-one", 4, 8, LONG_ITEM_EVENTS)),) * 2,
        ((("one", 1, 0, 9),),) * 2,
        ((("one", 1, 3, LONG_ITEM_EVENTS),),) * 2,
    ],
)
def test_output_of_two_starts_breaks_the_order(
    spans: tuple[Span, ...], runs: tuple[Span, ...]
) -> None:
    violations = results_are_of_one_output(observations_of(text_of(*spans), *runs))
    assert {violation.promise for violation in violations} == {"ORDER"}


@pytest.mark.parametrize("seed", [31])
def test_releases_and_changes_of_owners_join_no_outputs(seed: int, tmp_path: Path) -> None:
    load = frozenset({LoadKind.LONG_ITEMS})
    size = SoakSize(load=load)
    result = run_soak(seed, SECONDS, tmp_path, size, lambda line: None, threading.Event())
    assert not result.violations
