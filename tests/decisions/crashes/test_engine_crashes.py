"""Crashes of engines are distinguished from lost answers, silence and planned ends."""

from tests.decisions.forwarding.harness import engine
from troutswitch.decisions.crashes.engine_crashes import (
    MIN_CHECK_INTERVAL_SECONDS,
    PENDING_SECONDS,
    EngineCrashes,
)
from troutswitch.decisions.crashes.messages import (
    CheckEngine,
    Crash,
    EngineChecked,
    EngineCheckResult,
)
from troutswitch.decisions.forwarding.engines import EngineRegistry


class EngineCrashesHarness:
    """The engines `a` and `b`, and the checks that were requested of them."""

    def __init__(self) -> None:
        self.engines = EngineRegistry()
        self.engines.on_list(0.0, [engine("a"), engine("b")])
        self.checks: list[CheckEngine] = []
        self.engine_crashes = EngineCrashes(self.engines, self.checks.append)

    def check(self, result: EngineCheckResult) -> list[Crash]:
        return self.engine_crashes.on_checked(EngineChecked("a", result))


def test_refused_connection_is_a_crash_under_all_requests_on_the_engine() -> None:
    harness = EngineCrashesHarness()
    harness.engine_crashes.on_lost(1.0, "x", "a", False)
    harness.engine_crashes.on_lost(1.0, "y", "a", False)
    assert [check.engine_id for check in harness.checks] == ["a"]
    assert harness.check(EngineCheckResult.ENDED) == [Crash("x", "a"), Crash("y", "a")]


def test_answer_to_a_later_attempt_proves_that_the_engine_did_not_crash() -> None:
    harness = EngineCrashesHarness()
    harness.engine_crashes.on_lost(1.0, "x", "a", False)
    assert harness.check(EngineCheckResult.LISTENS) == []
    harness.engine_crashes.on_answered("a", sent_at=1.1)
    harness.engines.on_list(5.0, [engine("b")])
    assert harness.engine_crashes.on_list() == []


def test_answer_to_an_earlier_attempt_proves_nothing() -> None:
    harness = EngineCrashesHarness()
    harness.engine_crashes.on_lost(1.0, "x", "a", False)
    harness.engine_crashes.on_answered("a", sent_at=0.9)
    assert harness.check(EngineCheckResult.ENDED) == [Crash("x", "a")]


def test_proxy_in_front_of_a_crashed_engine_does_not_hide_the_crash() -> None:
    """Guards against taking an open port as proof that the engine is alive. Behind proxies, one
    request then crashed engines eight times past the bound in a soak, as each check reached the
    proxy."""
    harness = EngineCrashesHarness()
    harness.engine_crashes.on_lost(1.0, "x", "a", False)
    assert harness.check(EngineCheckResult.LISTENS) == []
    harness.engines.on_list(3.0, [engine("b")])
    assert harness.engine_crashes.on_list() == [Crash("x", "a")]


def test_checks_of_an_engine_that_loses_many_answers_are_rate_limited() -> None:
    harness = EngineCrashesHarness()
    for number in range(100):
        harness.engine_crashes.on_lost(1.0 + number / 100, f"x{number}", "a", False)
        harness.engine_crashes.on_timer(1.0 + number / 100)
    assert len(harness.checks) == 1 + int(0.99 / MIN_CHECK_INTERVAL_SECONDS)


def test_loss_right_after_a_check_is_checked_after_the_minimum_interval() -> None:
    harness = EngineCrashesHarness()
    harness.engine_crashes.on_lost(1.0, "x", "a", False)
    harness.engine_crashes.on_lost(1.1, "y", "a", False)
    assert len(harness.checks) == 1
    assert harness.engine_crashes.next_due() == 1.0 + MIN_CHECK_INTERVAL_SECONDS
    harness.engine_crashes.on_timer(1.0 + MIN_CHECK_INTERVAL_SECONDS)
    assert len(harness.checks) == 2


def test_silent_engine_is_not_checked_and_has_crashed_once_its_entry_is_removed() -> None:
    harness = EngineCrashesHarness()
    harness.engine_crashes.on_lost(1.0, "x", "a", True)
    assert not harness.checks
    assert harness.engine_crashes.on_list() == []
    harness.engines.on_list(5.0, [engine("b")])
    assert harness.engine_crashes.on_list() == [Crash("x", "a")]


def test_silent_engine_that_stays_listed_is_forgotten() -> None:
    harness = EngineCrashesHarness()
    harness.engine_crashes.on_lost(1.0, "x", "a", True)
    harness.engine_crashes.on_timer(1.0 + PENDING_SECONDS)
    harness.engines.on_list(20.0, [engine("b")])
    assert harness.engine_crashes.on_list() == []


def test_check_without_a_response_leaves_the_decision_to_the_list() -> None:
    harness = EngineCrashesHarness()
    harness.engine_crashes.on_lost(1.0, "x", "a", False)
    assert harness.check(EngineCheckResult.UNKNOWN) == []
    harness.engines.on_list(5.0, [engine("b")])
    assert harness.engine_crashes.on_list() == [Crash("x", "a")]


def test_lost_answer_of_a_draining_engine_is_not_checked() -> None:
    harness = EngineCrashesHarness()
    harness.engines.on_list(0.5, [engine("a", draining=True), engine("b")])
    harness.engine_crashes.on_lost(1.0, "x", "a", False)
    assert not harness.checks


def test_silent_engine_that_then_drains_has_not_crashed() -> None:
    harness = EngineCrashesHarness()
    harness.engine_crashes.on_lost(1.0, "x", "a", True)
    harness.engines.on_list(2.0, [engine("a", draining=True), engine("b")])
    assert harness.engine_crashes.on_list() == []
