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


class World:
    """The engines `a` and `b`, and the checks that were requested of them."""

    def __init__(self) -> None:
        self.engines = EngineRegistry()
        self.engines.on_list(0.0, [engine("a"), engine("b")])
        self.checks: list[CheckEngine] = []
        self.engine_crashes = EngineCrashes(self.engines, self.checks.append)

    def check(self, result: EngineCheckResult) -> list[Crash]:
        return self.engine_crashes.on_checked(EngineChecked("a", result))


def test_refused_connection_is_a_crash_under_all_requests_on_the_engine() -> None:
    world = World()
    world.engine_crashes.on_lost(1.0, "x", "a", False)
    world.engine_crashes.on_lost(1.0, "y", "a", False)
    assert [check.engine_id for check in world.checks] == ["a"]
    assert world.check(EngineCheckResult.ENDED) == [Crash("x", "a"), Crash("y", "a")]


def test_answer_to_a_later_attempt_proves_that_the_engine_did_not_crash() -> None:
    world = World()
    world.engine_crashes.on_lost(1.0, "x", "a", False)
    assert world.check(EngineCheckResult.LISTENS) == []
    world.engine_crashes.on_answered("a", sent_at=1.1)
    world.engines.on_list(5.0, [engine("b")])
    assert world.engine_crashes.on_list() == []


def test_answer_to_an_earlier_attempt_proves_nothing() -> None:
    world = World()
    world.engine_crashes.on_lost(1.0, "x", "a", False)
    world.engine_crashes.on_answered("a", sent_at=0.9)
    assert world.check(EngineCheckResult.ENDED) == [Crash("x", "a")]


def test_proxy_in_front_of_a_crashed_engine_does_not_hide_the_crash() -> None:
    """Guards against taking an open port as proof that the engine is alive. Behind proxies, one
    request then crashed engines eight times past the bound in a soak, as each check reached the
    proxy."""
    world = World()
    world.engine_crashes.on_lost(1.0, "x", "a", False)
    assert world.check(EngineCheckResult.LISTENS) == []
    world.engines.on_list(3.0, [engine("b")])
    assert world.engine_crashes.on_list() == [Crash("x", "a")]


def test_checks_of_an_engine_that_loses_many_answers_are_rate_limited() -> None:
    world = World()
    for number in range(100):
        world.engine_crashes.on_lost(1.0 + number / 100, f"x{number}", "a", False)
        world.engine_crashes.on_timer(1.0 + number / 100)
    assert len(world.checks) == 1 + int(0.99 / MIN_CHECK_INTERVAL_SECONDS)


def test_loss_right_after_a_check_is_checked_after_the_minimum_interval() -> None:
    world = World()
    world.engine_crashes.on_lost(1.0, "x", "a", False)
    world.engine_crashes.on_lost(1.1, "y", "a", False)
    assert len(world.checks) == 1
    assert world.engine_crashes.next_due() == 1.0 + MIN_CHECK_INTERVAL_SECONDS
    world.engine_crashes.on_timer(1.0 + MIN_CHECK_INTERVAL_SECONDS)
    assert len(world.checks) == 2


def test_silent_engine_is_not_checked_and_has_crashed_once_its_entry_is_removed() -> None:
    world = World()
    world.engine_crashes.on_lost(1.0, "x", "a", True)
    assert not world.checks
    assert world.engine_crashes.on_list() == []
    world.engines.on_list(5.0, [engine("b")])
    assert world.engine_crashes.on_list() == [Crash("x", "a")]


def test_silent_engine_that_stays_listed_is_forgotten() -> None:
    world = World()
    world.engine_crashes.on_lost(1.0, "x", "a", True)
    world.engine_crashes.on_timer(1.0 + PENDING_SECONDS)
    world.engines.on_list(20.0, [engine("b")])
    assert world.engine_crashes.on_list() == []


def test_check_without_a_response_leaves_the_decision_to_the_list() -> None:
    world = World()
    world.engine_crashes.on_lost(1.0, "x", "a", False)
    assert world.check(EngineCheckResult.UNKNOWN) == []
    world.engines.on_list(5.0, [engine("b")])
    assert world.engine_crashes.on_list() == [Crash("x", "a")]


def test_lost_answer_of_a_draining_engine_is_not_checked() -> None:
    world = World()
    world.engines.on_list(0.5, [engine("a", draining=True), engine("b")])
    world.engine_crashes.on_lost(1.0, "x", "a", False)
    assert not world.checks


def test_silent_engine_that_then_drains_has_not_crashed() -> None:
    world = World()
    world.engine_crashes.on_lost(1.0, "x", "a", True)
    world.engines.on_list(2.0, [engine("a", draining=True), engine("b")])
    assert world.engine_crashes.on_list() == []
