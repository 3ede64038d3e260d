"""Which item of a refused path is tried again, and when."""

from dataclasses import replace
from unittest.mock import MagicMock

from tests.decisions.crashes.harness import SuspectsHarness
from tests.decisions.jobs.fixtures import item, job_index
from troutswitch.decisions.crashes.messages import EngineChecked, EngineCheckResult
from troutswitch.decisions.jobs.item_refusals import (
    FEWEST_CRASHES_SECONDS,
    TRIAL_SECONDS,
    ItemRefusals,
)
from troutswitch.decisions.jobs.items import ItemProgress


def items_of_a_refused_path() -> tuple[ItemRefusals, ItemProgress, ItemProgress]:
    """Returns two items of one path: engines crashed thrice under the first, once under the second.

    The last crash was at the time 0.
    """
    first, second = item("job", 0), item("job", 1)
    second.item = replace(second.item, body=b"other")
    replicas = MagicMock()
    replicas.index = job_index({"job": 0.0})
    content = replicas.shard.return_value.fold.content.return_value
    content.items.return_value = [first.item, second.item]
    content.results = {}
    content.listed = set()
    harness = SuspectsHarness()
    refusals = ItemRefusals(harness.suspects, replicas)
    for number, lost in enumerate((first, first, second, first)):
        refusals.on_lost(0.0, lost, f"s{number}")
        checked = EngineChecked(f"s{number}", EngineCheckResult.ENDED)
        harness.suspects.on_checked(0.0, checked)
    return refusals, first, second


def test_a_trial_of_a_path_is_a_run_of_the_item_that_lost_the_fewest() -> None:
    """Guards against trials of the item that causes the crashes, which keep all others refused."""
    refusals, first, second = items_of_a_refused_path()
    assert refusals.forbids_start(TRIAL_SECONDS - 0.1, second)
    assert refusals.forbids_start(TRIAL_SECONDS, first)
    assert not refusals.forbids_start(TRIAL_SECONDS, second)


def test_any_item_of_a_path_is_tried_if_the_one_that_lost_the_fewest_does_not_start() -> None:
    """Guards against a path that is never tried because that item has no slot or no route."""
    refusals, first, _ = items_of_a_refused_path()
    assert refusals.forbids_start(TRIAL_SECONDS + FEWEST_CRASHES_SECONDS - 0.1, first)
    assert not refusals.forbids_start(TRIAL_SECONDS + FEWEST_CRASHES_SECONDS, first)


def test_a_path_has_one_trial_at_a_time() -> None:
    refusals, first, second = items_of_a_refused_path()
    refusals.on_started(TRIAL_SECONDS, second)
    after = TRIAL_SECONDS + FEWEST_CRASHES_SECONDS
    assert refusals.forbids_start(after, first)
    assert refusals.forbids_start(after, second)


def test_a_trial_and_other_items_of_its_path_run_on_different_engines() -> None:
    """Guards against a trial that crashes the engine of items that only share its path."""
    refusals, first, second = items_of_a_refused_path()
    assert refusals.keeps_apart(first, [second])
    assert not refusals.keeps_apart(first, [])
    refusals.on_started(TRIAL_SECONDS, first)
    assert refusals.keeps_apart(second, [first])


def test_an_item_without_crashes_is_tried_after_the_trials_of_its_path() -> None:
    """Guards against sound items that crashing ones of other jobs keep from ever running."""
    refusals, first, second = items_of_a_refused_path()
    third = item("job", 2)
    third.item = replace(third.item, body=b"third")
    refusals.on_started(TRIAL_SECONDS, second)
    assert refusals.forbids_start(3 * TRIAL_SECONDS - 0.1, third)
    assert refusals.forbids_start(3 * TRIAL_SECONDS, first)
    assert refusals.forbids_start(3 * TRIAL_SECONDS, second)
    assert not refusals.forbids_start(3 * TRIAL_SECONDS, third)
    pauses: list[float] = []
    started_at = 3 * TRIAL_SECONDS
    for _ in range(5):
        refusals.on_started(started_at, third)
        pause = TRIAL_SECONDS
        while refusals.forbids_start(started_at + pause, third):
            pause += TRIAL_SECONDS
        pauses.append(pause / TRIAL_SECONDS)
        started_at += pause
    assert pauses == [2, 2, 2, 4, 8]


def test_log_names_the_key_that_holds_an_item_and_for_how_long() -> None:
    """Guards against items that wait without a line that says which record holds them."""
    refusals, _, second = items_of_a_refused_path()
    lines: list[tuple[str, dict[str, object]]] = []
    refusals._log = lambda event, **fields: lines.append((event, fields))
    for now in (1.0, 2.0, TRIAL_SECONDS):
        refusals.forbids_start(now, second)
    held, freed = lines
    assert (held[0], held[1]["crashes"], held[1]["own_crashes"]) == ("item held", 4, 1)
    assert (freed[0], freed[1]["held_by"]) == ("item no longer held", held[1]["key"])
    assert freed[1]["held_ms"] == round(1000 * (TRIAL_SECONDS - 1.0))
