"""Which item of a refused path is tried again, and when."""

from dataclasses import replace
from unittest.mock import MagicMock

from tests.decisions.crashes.harness import SuspectsHarness
from tests.decisions.forwarding.harness import engine
from tests.decisions.jobs.fixtures import item, job_index
from troutswitch.decisions.crashes.messages import EngineChecked, EngineCheckResult
from troutswitch.decisions.jobs.item_refusals import (
    FEWEST_CRASHES_SECONDS,
    MAX_TRIALS,
    PAUSE_FACTOR,
    TRIAL_SECONDS,
    UNSUSPECTED_PAUSE_SECONDS,
    ItemRefusals,
)
from troutswitch.decisions.jobs.items import ItemProgress


def crash(
    harness: SuspectsHarness,
    refusals: ItemRefusals,
    now: float,
    progress: ItemProgress,
    engine_id: str,
) -> None:
    """Crashes an engine under an item."""
    listed = [*(e.record for e in harness.engines.engines.values()), engine(engine_id)]
    harness.engines.on_list(now, listed)
    refusals.on_lost(now, progress, engine_id)
    harness.suspects.on_checked(now, EngineChecked(engine_id, EngineCheckResult.ENDED))


def items_of_a_refused_path(
    harness: SuspectsHarness | None = None,
) -> tuple[ItemRefusals, ItemProgress, ItemProgress]:
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
    harness = harness or SuspectsHarness()
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


def first_start(refusals: ItemRefusals, progress: ItemProgress, after: float) -> float:
    """Returns the seconds from a time until an item may start."""
    pause = 0.0
    while refusals.forbids_start(after + pause, progress):
        pause += 1.0
    return pause


def test_pause_between_trials_grows_to_a_bound_and_is_shorter_for_items_without_crashes() -> None:
    """Guards against items that are never tried again, and sound ones that crashing ones hold."""
    harness = SuspectsHarness()
    refusals, first, second = items_of_a_refused_path(harness)
    sound = item("job", 2)
    sound.item = replace(sound.item, body=b"third")
    pauses: list[tuple[float, float]] = []
    crashed_at = 0.0
    for number in range(4):
        pause = first_start(refusals, second, crashed_at)
        pauses.append((pause, first_start(refusals, sound, crashed_at)))
        crashed_at += pause
        refusals.on_started(crashed_at, second)
        crash(harness, refusals, crashed_at, second, f"trial-{number}")
    longest = TRIAL_SECONDS * PAUSE_FACTOR**MAX_TRIALS
    assert pauses == [
        (TRIAL_SECONDS, TRIAL_SECONDS),
        (TRIAL_SECONDS * PAUSE_FACTOR, TRIAL_SECONDS * PAUSE_FACTOR),
        (longest, UNSUSPECTED_PAUSE_SECONDS),
        (longest + FEWEST_CRASHES_SECONDS, UNSUSPECTED_PAUSE_SECONDS),
    ]
    assert refusals.forbids_start(crashed_at, first)


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
