"""An engine that ended is told from an answer that broke off, from silence and from a leave."""

from tests.decisions.forwarding.worlds import engine
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
    def __init__(self) -> None:
        self.engines = EngineRegistry()
        self.engines.on_list(0.0, [engine("a"), engine("b")])
        self.checks: list[CheckEngine] = []
        self.endings = EngineCrashes(self.engines, self.checks.append)

    def check(self, result: EngineCheckResult) -> list[Crash]:
        return self.endings.on_checked(EngineChecked("a", result))


def test_an_engine_whose_port_refuses_has_ended_under_all_that_were_on_it() -> None:
    world = World()
    world.endings.on_lost(1.0, "x", "a", False)
    world.endings.on_lost(1.0, "y", "a", False)
    assert [check.engine_id for check in world.checks] == ["a"]
    assert world.check(EngineCheckResult.ENDED) == [Crash("x", "a"), Crash("y", "a")]


def test_an_engine_that_answers_a_later_attempt_only_broke_an_answer_off() -> None:
    world = World()
    world.endings.on_lost(1.0, "x", "a", False)
    assert world.check(EngineCheckResult.LISTENS) == []
    world.endings.on_answered("a", sent_at=1.1)
    world.engines.on_list(5.0, [engine("b")])
    assert world.endings.on_list() == []


def test_an_answer_to_an_earlier_attempt_tells_nothing() -> None:
    world = World()
    world.endings.on_lost(1.0, "x", "a", False)
    world.endings.on_answered("a", sent_at=0.9)
    assert world.check(EngineCheckResult.ENDED) == [Crash("x", "a")]


def test_a_proxy_that_takes_connections_for_an_ended_engine_hides_nothing() -> None:
    """A check was believed that found a listening port: behind proxies a request went on ending
    engines, eight times past the bound in a soak, as each check found the proxy."""
    world = World()
    world.endings.on_lost(1.0, "x", "a", False)
    assert world.check(EngineCheckResult.LISTENS) == []
    world.engines.on_list(3.0, [engine("b")])
    assert world.endings.on_list() == [Crash("x", "a")]


def test_an_engine_that_breaks_many_answers_off_is_checked_now_and_then() -> None:
    world = World()
    for number in range(100):
        world.endings.on_lost(1.0 + number / 100, f"x{number}", "a", False)
        world.endings.on_timer(1.0 + number / 100)
    assert len(world.checks) == 1 + int(0.99 / MIN_CHECK_INTERVAL_SECONDS)


def test_a_loss_right_after_a_check_is_checked_a_little_later() -> None:
    world = World()
    world.endings.on_lost(1.0, "x", "a", False)
    world.endings.on_lost(1.1, "y", "a", False)
    assert len(world.checks) == 1
    assert world.endings.next_due() == 1.0 + MIN_CHECK_INTERVAL_SECONDS
    world.endings.on_timer(1.0 + MIN_CHECK_INTERVAL_SECONDS)
    assert len(world.checks) == 2


def test_a_silent_engine_is_not_asked_and_counts_once_its_entry_went() -> None:
    world = World()
    world.endings.on_lost(1.0, "x", "a", True)
    assert not world.checks
    assert world.endings.on_list() == []
    world.engines.on_list(5.0, [engine("b")])
    assert world.endings.on_list() == [Crash("x", "a")]


def test_a_silent_engine_that_stays_listed_is_forgotten() -> None:
    world = World()
    world.endings.on_lost(1.0, "x", "a", True)
    world.endings.on_timer(1.0 + PENDING_SECONDS)
    world.engines.on_list(20.0, [engine("b")])
    assert world.endings.on_list() == []


def test_a_cut_machine_that_gets_no_word_waits_for_the_list() -> None:
    world = World()
    world.endings.on_lost(1.0, "x", "a", False)
    assert world.check(EngineCheckResult.UNKNOWN) == []
    world.engines.on_list(5.0, [engine("b")])
    assert world.endings.on_list() == [Crash("x", "a")]


def test_a_planned_end_has_no_cause_among_the_requests() -> None:
    world = World()
    world.engines.on_list(0.5, [engine("a", draining=True), engine("b")])
    world.endings.on_lost(1.0, "x", "a", False)
    assert not world.checks


def test_a_silent_engine_that_then_drains_left_as_planned() -> None:
    world = World()
    world.endings.on_lost(1.0, "x", "a", True)
    world.engines.on_list(2.0, [engine("a", draining=True), engine("b")])
    assert world.endings.on_list() == []
