"""How many trials of a refused key failed."""

from tests.decisions.crashes.harness import SuspectsHarness
from troutswitch.decisions.crashes.content import part_key
from troutswitch.decisions.crashes.messages import EngineChecked, EngineCheckResult


def crash_trial(harness: SuspectsHarness, now: float, content: str, engine_id: str) -> None:
    harness.suspects.begin_trial(now - 0.1, [content])
    harness.report(now, content, engine_id)


def refused_harness(*contents: str) -> SuspectsHarness:
    """Returns suspects among which each of the contents crashed three engines at the time 1."""
    harness = SuspectsHarness()
    for content in contents:
        harness.report(1.0, content, *(f"{content}-{number}" for number in range(3)))
    return harness


def test_crashes_of_one_burst_are_no_failed_trials() -> None:
    """Guards against an item that is held ever longer as many engines crashed at once."""
    harness = refused_harness("x")
    harness.report(2.0, "x", "a", "b")
    harness.report(4.0, "x", "c", "d")
    assert harness.suspects.failed_trials("x") == 0


def test_crash_after_a_pause_is_a_failed_trial() -> None:
    harness = refused_harness("x")
    crash_trial(harness, 5.0, "x", "a")
    crash_trial(harness, 25.0, "x", "b")
    assert harness.suspects.failed_trials("x") == 2


def test_crash_is_no_failed_trial_if_an_engine_without_suspects_crashed_at_the_same_time() -> None:
    """Guards against sound items whose trials run into the next burst of crashes."""
    harness = refused_harness("x")
    harness.report(5.0, "other", "b")
    crash_trial(harness, 5.0, "x", "a")
    assert harness.suspects.failed_trials("x") == 0
    harness.suspects.on_served(6.0, "other")
    assert harness.suspects.failed_trials("x") == 0


def test_trials_of_several_causes_do_not_excuse_each_other() -> None:
    """Guards against crashing items that are tried together again and again."""
    harness = refused_harness("x", "y")
    crash_trial(harness, 5.0, "x", "a")
    crash_trial(harness, 5.0, "y", "b")
    assert harness.suspects.failed_trials("x") == 1
    assert harness.suspects.failed_trials("y") == 1


def test_failed_trial_of_a_part_counts_before_its_suspects_are_announced() -> None:
    """Guards against owners that each begin a trial of a part until the first is announced."""
    harness = SuspectsHarness()
    part = part_key("shared")
    harness.report(1.0, part, *(f"{part}-{number}" for number in range(5)))
    trial = harness.suspects.begin_trial(6.0, [part])
    harness.suspects.on_lost(6.1, "x", "s1", parts=[part], trial=trial)
    harness.suspects.on_checked(6.1, EngineChecked("s1", EngineCheckResult.ENDED))
    assert harness.suspects.crash_count(part) == 6
    assert harness.suspects.failed_trials(part) == 1
    assert not harness.suspects.may_retry(7.0, part, 4.0)
