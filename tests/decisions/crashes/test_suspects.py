"""How a daemon refuses requests under which engines crashed, and what clears them."""

from tests.decisions.crashes.harness import SuspectsHarness
from troutswitch.decisions.crashes.causes import MAX_DEFERRAL_SECONDS
from troutswitch.decisions.crashes.content import item_key, path_key
from troutswitch.decisions.crashes.messages import EngineChecked, EngineCheckResult
from troutswitch.decisions.crashes.part_suspects import ANNOUNCEMENT_DELAY_SECONDS
from troutswitch.decisions.crashes.suspects import (
    MIN_DEFERRAL_SHARE,
    NON_RETRYABLE_STATUS,
    PART_RETRY_SECONDS,
    RETRACTION_WINDOW_SECONDS,
)


def test_detected_and_reported_crashes_count_together() -> None:
    harness = SuspectsHarness()
    harness.crash(1.0, "x", "s0")
    harness.report(1.1, "x", "s0", "s1")
    assert not harness.suspects.refused
    harness.report(1.2, "x", "elsewhere")
    assert harness.suspects.refused == {"x"}
    assert "request refused from now on" in harness.logged


def test_refused_caller_may_retry_at_first_and_not_after_the_retraction_window() -> None:
    harness = SuspectsHarness()
    harness.crash(1.0, "x", "s0", "s1", "s2")
    first = harness.suspects.refusal(1.1, "x")
    assert (first.status, first.retry_after) == (503, RETRACTION_WINDOW_SECONDS)
    later = harness.suspects.refusal(1.1 + RETRACTION_WINDOW_SECONDS, "x")
    assert (later.status, later.retry_after) == (NON_RETRYABLE_STATUS, None)


def test_request_that_was_served_is_cleared() -> None:
    harness = SuspectsHarness()
    harness.crash(1.0, "x", "s0", "s1", "s2")
    harness.suspects.on_served(2.0, "x")
    assert not harness.suspects.refused
    assert harness.suspects.count == 0


def test_engine_that_answers_a_later_attempt_has_not_crashed() -> None:
    """Guards against a daemon whose connections are reset: it considers all its engines crashed."""
    harness = SuspectsHarness()
    harness.report(1.0, "x", "s0", "s1", "s2")
    harness.report(1.0, "y", "s0", "s1", "s2")
    harness.suspects.on_answered(2.0, "s0", sent_at=1.5)
    assert harness.suspects.count == 2
    assert not harness.suspects.awaits_crash_report("z")
    harness.suspects.on_answered(2.0, "s1", sent_at=1.5)
    harness.suspects.on_answered(2.0, "s2", sent_at=1.5)
    assert harness.suspects.count == 0


def test_answer_to_an_attempt_sent_before_the_crash_proves_nothing() -> None:
    harness = SuspectsHarness()
    harness.report(1.0, "x", "s0", "s1", "s2")
    harness.suspects.on_answered(1.1, "s0", sent_at=0.9)
    assert harness.suspects.refused == {"x"}


def test_next_attempt_waits_for_the_crash_report_after_two_crashes() -> None:
    harness = SuspectsHarness()
    harness.crash(1.0, "x", "s0")
    assert not harness.suspects.awaits_crash_report("x")
    harness.report(1.1, "x", "s1")
    assert harness.suspects.awaits_crash_report("x")


def test_daemons_end_deferrals_at_different_times() -> None:
    """Guards against all daemons admitting a deferred cause at the same moment.

    When all daemons counted ten seconds from the same crash, eleven daemons of one simulation ended
    a deferral between 23.7519 and 23.7535 s. Callers that kept retrying then sent the cause to two
    engines 80 ms later, before the first of these crashed.
    """
    fleet = [SuspectsHarness(f"daemon-{number}") for number in range(20)]
    for harness in fleet:
        for content in ("cause", "other"):
            harness.report(0.0, content, "s0", "s1", "s2")
        assert harness.suspects.refused == {"cause", "other"}
    ended_at: list[float] = []
    for harness in fleet:
        now = 0.0
        while harness.suspects.refused:
            now = max(now + 0.01, harness.suspects.next_due())
            harness.suspects.on_timer(now)
        ended_at.append(now)
    ended_at.sort()
    assert ended_at[0] >= MIN_DEFERRAL_SHARE * MAX_DEFERRAL_SECONDS
    assert ended_at[-1] <= MAX_DEFERRAL_SECONDS + 0.1
    assert sum(at < ended_at[0] + 0.15 for at in ended_at) <= 3


def crash_under_part(harness: SuspectsHarness, now: float, part: str, *engine_ids: str) -> None:
    """Crashes engines, each under another request with the same part."""
    for engine_id in engine_ids:
        content = f"{now}-{engine_id}"
        harness.suspects.on_lost(now, content, engine_id, parts=[part])
        harness.suspects.on_checked(now, EngineChecked(engine_id, EngineCheckResult.ENDED))
    harness.suspects.on_timer(now + ANNOUNCEMENT_DELAY_SECONDS)


ENGINE_IDS = ("s0", "s1", "s2", "s3", "s4")


def test_part_is_refused_after_five_crashes_under_different_requests() -> None:
    harness = SuspectsHarness()
    crash_under_part(harness, 1.0, "part:x", *ENGINE_IDS[:4])
    assert not harness.suspects.refused
    crash_under_part(harness, 3.0, "part:x", ENGINE_IDS[4])
    assert harness.suspects.refused == {"part:x"}
    refusal = harness.suspects.refusal(5.0, "part:x")
    assert (refusal.status, refusal.retry_after) == (503, PART_RETRY_SECONDS)


def test_part_is_cleared_when_a_request_with_it_completes() -> None:
    harness = SuspectsHarness()
    crash_under_part(harness, 1.0, "part:x", *ENGINE_IDS)
    harness.suspects.on_served(3.0, "y", ["part:x"])
    assert not harness.suspects.refused
    harness.report(3.1, "part:x", *ENGINE_IDS)
    assert not harness.suspects.refused


def test_part_of_engines_that_live_is_not_refused() -> None:
    harness = SuspectsHarness()
    crash_under_part(harness, 1.0, "part:x", *ENGINE_IDS)
    for engine_id in ENGINE_IDS:
        harness.suspects.on_answered(4.0, engine_id, 3.0)
    assert not harness.suspects.refused


def test_peers_reports_of_a_part_are_applied() -> None:
    harness = SuspectsHarness()
    harness.report(1.0, "part:x", *ENGINE_IDS)
    assert harness.suspects.refused == {"part:x"}


def test_next_attempt_waits_for_the_check_once_two_engines_crashed_under_a_part() -> None:
    harness = SuspectsHarness()
    harness.report(1.0, "part:x", "s0")
    assert not harness.suspects.awaits_crash_report(["y", "part:x"])
    harness.report(1.0, "part:x", "s1")
    assert harness.suspects.awaits_crash_report(["y", "part:x"])


def test_item_and_its_path_do_not_explain_each_others_crashes() -> None:
    """Guards against an item that is deferred, not refused, as its path has the same crashes."""
    harness = SuspectsHarness()
    path = path_key("host", "job", "/p")
    item, other = item_key(path, b"crashing"), item_key(path, b"other")
    harness.report(1.0, path, "s0", "s1", "s2")
    harness.report(1.0, item, "s0", "s1", "s2")
    harness.report(1.0, other, "s0")
    harness.report(1.0, "bystander", "s0", "s1", "s2")
    harness.suspects.on_served(1.5, "bystander")
    assert harness.suspects.refused == {path, item}
    harness.suspects.on_timer(2.0 + MAX_DEFERRAL_SECONDS)
    assert harness.suspects.refused == {path, item}


def test_request_beside_crashing_items_of_a_path_is_not_refused_for_them() -> None:
    """Guards against a bystander that is refused as no single item explains its crashes."""
    harness = SuspectsHarness()
    path = path_key("host", "job", "/p")
    for number in range(4):
        harness.report(1.0, path, f"s{number}")
        harness.report(1.0, item_key(path, str(number).encode()), f"s{number}")
    harness.report(1.0, "bystander", "s0", "s1", "s2")
    harness.suspects.on_timer(1.0 + MAX_DEFERRAL_SECONDS)
    assert harness.suspects.refused == {path}


def test_trial_counts_as_a_crash_until_it_ends_otherwise() -> None:
    """Guards against several owners that start a trial of one path at about the same time."""
    harness = SuspectsHarness()
    harness.report(1.0, "path", "s0", "s1", "s2")
    assert harness.suspects.may_retry(20.0, "path", 16.0)
    trial = harness.suspects.begin_trial(20.0, ["path"])
    assert harness.suspects.crash_count("path") == 4
    assert not harness.suspects.may_retry(35.0, "path", 16.0)
    harness.suspects.end_trial(21.0, trial)
    assert harness.suspects.crash_count("path") == 3
    assert harness.suspects.may_retry(21.0, "path", 16.0)


def test_trial_of_which_the_answer_is_lost_counts_as_one_crash() -> None:
    harness = SuspectsHarness()
    harness.report(1.0, "x", "s0", "s1", "s2")
    trial = harness.suspects.begin_trial(20.0, ["x"])
    harness.suspects.on_lost(20.2, "x", "s3", trial=trial)
    assert harness.suspects.crash_count("x") == 4
    harness.suspects.on_checked(20.3, EngineChecked("s3", EngineCheckResult.ENDED))
    assert harness.suspects.crash_count("x") == 4
    assert not harness.suspects.may_retry(36.2, "x", 16.0)


def test_trial_that_was_lost_by_a_living_engine_is_no_crash() -> None:
    harness = SuspectsHarness()
    harness.report(1.0, "x", "s0", "s1", "s2")
    trial = harness.suspects.begin_trial(20.0, ["x"])
    harness.suspects.on_lost(20.2, "x", "s3", trial=trial)
    harness.suspects.on_answered(21.0, "s3", 20.9)
    assert harness.suspects.crash_count("x") == 3
