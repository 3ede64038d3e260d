"""Which item is stopped for an online request in a paced service.

The load: items of 100 events at one engine of a daemon, one of which yields its slot.
"""

from types import SimpleNamespace
from typing import cast

import pytest

from tests.decisions.forwarding.harness import engine
from tests.decisions.jobs.fixtures import STORE_LIMITS, item, job_index, route_table
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.jobs.batch_capacity import SlotCapacity
from troutswitch.decisions.jobs.dependencies import JobDependencies
from troutswitch.decisions.jobs.item_parts import ItemParts
from troutswitch.decisions.jobs.messages import ItemBegun
from troutswitch.decisions.jobs.order import AvailableCapacity, MostInTime
from troutswitch.decisions.jobs.ranking import ItemRanking
from troutswitch.decisions.jobs.run_stops import RunStops
from troutswitch.decisions.jobs.runs import ItemRun, ItemRuns
from troutswitch.decisions.jobs.stop_choice import Stage, choose_stops

NOW = 12.0


class Runs:
    """Runs at the engine "s0" of jobs that are due 20 s after they were read."""

    def __init__(self, read_at: dict[str, float], *, paced: bool = True) -> None:
        self.registry = EngineRegistry()
        self.registry.on_list(0.0, [engine("s0", service="service", slots=8)])
        if paced:
            self.registry.on_pace(self.registry.engines["s0"], 100, NOW)
        self.index = job_index(read_at)
        self.ranking = ItemRanking(route_table(), self.index, MostInTime())
        self.ranking.run_times.on_completed(4.0, 100, 100)
        self.log: list[tuple[str, dict[str, object]]] = []
        self.runs = ItemRuns(
            route_table(), self.registry, lambda event, **fields: None, STORE_LIMITS
        )
        self.stops = RunStops(
            cast(
                ItemParts,
                SimpleNamespace(runs=self.runs, items=None, refusals=None, ranking=self.ranking),
            ),
            SlotCapacity(),
            cast(
                JobDependencies,
                SimpleNamespace(
                    engines=self.registry,
                    slots=None,
                    log=lambda event, **fields: self.log.append((event, fields)),
                ),
            ),
        )

    def run(
        self, job_id: str, number: int, events: int = 0, before: int = 0, seconds: float = 1.0
    ) -> ItemRun:
        """Starts a run `seconds` ago that has had `events - before` events."""
        progress = item(job_id, number, events=events)
        manifest = self.index.jobs[job_id].manifest
        started = self.runs.start(NOW - seconds, progress, manifest, self.registry.engines["s0"])
        run = self.runs.by_number[started.run]
        run.events_before = before
        if events > before:
            self.runs.on_first_token(ItemBegun(started.run))
        self.ranking.rank(
            NOW,
            [each.progress for each in self.runs.by_number.values()],
            AvailableCapacity(8.0, 1.0),
        )
        return run

    def stopped(self, count: int = 1) -> list[int]:
        """Stops items; returns their numbers in their job."""
        stops = self.stops.stop_least_urgent(NOW, "s0", count)
        return [self.runs.by_number[stop.run].progress.number for stop in stops]


def test_item_in_its_middle_is_stopped_before_one_just_started_or_nearly_finished() -> None:
    """Guards against the choice by rank alone, which stops the item with most time remaining."""
    runs = Runs({"job": 5.0})
    runs.run("job", 0, events=0, seconds=0.1)
    runs.run("job", 1, events=50)
    runs.run("job", 2, events=95)
    runs.run("job", 3, events=4, seconds=0.3)
    assert runs.stopped(4) == [1, 3, 0, 2]


def test_item_that_has_read_its_prompt_for_longest_is_stopped_last_of_those_that_read() -> None:
    runs = Runs({"job": 5.0})
    runs.run("job", 0, seconds=0.4)
    runs.run("job", 1, seconds=0.05)
    assert runs.stopped() == [1]
    assert runs.log[0][1]["lost_ms"] == 50


def test_resumed_item_counts_as_just_started() -> None:
    """Guards against stops in a row of an item that has output from earlier runs."""
    runs = Runs({"job": 5.0})
    runs.run("job", 0, events=50, before=50, seconds=0.1)
    runs.run("job", 1, events=60, before=20)
    assert runs.stopped() == [1]


@pytest.mark.parametrize(("read_at", "first"), [(5.9, 1), (6.1, 0)])
def test_item_that_is_clearly_less_urgent_is_stopped_whatever_it_loses(
    read_at: float, first: int
) -> None:
    """The jobs are due 0.9 s and 1.1 s after the other one; items within 1 s are about equal."""
    runs = Runs({"other": 5.0, "late": read_at})
    runs.run("late", 0, seconds=0.1)
    runs.run("other", 1, events=50)
    assert runs.stopped() == [first]


def test_late_item_is_stopped_before_one_in_time() -> None:
    runs = Runs({"late": -8.5, "other": 5.0})
    runs.run("late", 0, seconds=0.1)
    runs.run("other", 1, events=50)
    assert runs.stopped() == [0]


def test_item_with_far_more_events_than_the_mean_is_not_kept() -> None:
    """Guards against a long item that no online request can make yield."""
    runs = Runs({"job": 5.0})
    runs.run("job", 0, events=105)
    runs.run("job", 1, events=150)
    assert runs.stopped() == [1]


def test_unpaced_service_stops_by_rank() -> None:
    """The item with most time remaining is the least urgent one of its job."""
    runs = Runs({"job": 5.0}, paced=False)
    runs.run("job", 0, seconds=0.1)
    runs.run("job", 1, events=50)
    assert runs.stopped() == [0]
    assert runs.log == []


def test_before_the_first_completed_run_only_reading_items_are_kept() -> None:
    runs = Runs({"job": 5.0})
    runs.ranking.run_times.item_events = 0.0
    reading, answering = runs.run("job", 0), runs.run("job", 1, events=3)
    stops = choose_stops(NOW, [reading, answering], 2, runs.ranking)
    assert [stop.stage for stop in stops] == [Stage.ANSWERING, Stage.READING]
