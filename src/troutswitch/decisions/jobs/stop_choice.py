"""Rule: which item of a paced service is stopped for an online request?

Inputs: this daemon's runs at the engine, exact; their ranks of the last round (`ranking`, at most
0.05 s old); the events of each run and item; the mean number of events of an item
(`run_time_estimate`), 0 before the first completed run.

The rule: among the items that are about as urgent as the least urgent one, the first is stopped
by its stage in this order, and by least time lost, then by least urgency, within a stage:

1. `answering`: neither of the others; only the part since the last event is lost;
2. `just begun`: its run has had less than `STAGE_SHARE` of an item's events, and the next run would
   read the prompt again after so little work;
3. `reading`: its run has not begun to answer, and all time since its start is lost;
4. `near its end`: its events differ from the mean number of an item by less than `STAGE_SHARE` of
   it, so its slot is free soon anyway. The end of an item that is longer still is not known.

Two items are about equally urgent if both are late, or if both are in time and their jobs are due
within `EQUAL_URGENCY_SECONDS` of each other.

Why: more runs were stopped than there were items (2,924 for 1,335, docs/design/hard-load.md), and
each stop repeats the reading of a prompt.
Not measured on a day; `tests/decisions/jobs/test_stop_choice.py`.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from troutswitch.decisions.jobs.ranking import ItemRanking
from troutswitch.decisions.jobs.runs import ItemRun

EQUAL_URGENCY_SECONDS = 1.0
"""Difference of due times up to which items are about equally urgent: some 5 percent of the 18 s
that jobs have, and less than an item's run of 124 events takes."""
STAGE_SHARE = 0.1
"""Part of an item's events at the begin of a run, and at the end of the item, in which it is kept:
12 of some 124 events take less time than the 18 of an online request that would get the slot."""


class Stage(IntEnum):
    """Stage of a run; the lowest is stopped first."""

    ANSWERING = 1
    JUST_BEGUN = 2
    READING = 3
    NEAR_END = 4


@dataclass(frozen=True, slots=True)
class ChosenStop:
    """A run to stop, its stage, the time lost in seconds, and the number of runs to choose from."""

    run: ItemRun
    stage: Stage
    lost_seconds: float
    candidates: int


def choose_stops(
    now: float, runs: Iterable[ItemRun], count: int, ranking: ItemRanking
) -> list[ChosenStop]:
    """Returns at most `count` of the runs, in the order in which they are stopped."""
    by_key = {run.progress.key: run for run in runs}
    ordered = ranking.most_urgent_first(run.progress for run in by_key.values())
    chosen: list[ChosenStop] = []
    while ordered and len(chosen) < count:
        least_urgent = ordered[-1]
        candidates = [
            _stop_of(now, by_key[progress.key], ranking, len(ordered))
            for progress in reversed(ordered)
            if ranking.is_about_as_urgent(progress, least_urgent, EQUAL_URGENCY_SECONDS)
        ]
        stop = min(candidates, key=lambda stop: (stop.stage, stop.lost_seconds))
        chosen.append(stop)
        ordered = [progress for progress in ordered if progress is not stop.run.progress]
    return chosen


def _stop_of(now: float, run: ItemRun, ranking: ItemRanking, candidates: int) -> ChosenStop:
    stage = _stage(run, ranking.run_times.item_events)
    has_answered = run.has_first_token or run.progress.event_count > run.events_before
    return ChosenStop(run, stage, 0.0 if has_answered else now - run.started_at, candidates)


def _stage(run: ItemRun, item_events: float) -> Stage:
    events = run.progress.event_count
    few_events = STAGE_SHARE * item_events
    if events and abs(item_events - events) < few_events:
        return Stage.NEAR_END
    if not run.has_first_token and events <= run.events_before:
        return Stage.READING
    return Stage.JUST_BEGUN if events - run.events_before < few_events else Stage.ANSWERING
