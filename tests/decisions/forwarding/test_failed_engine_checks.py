"""Checks of failed engines: an address where no engine listens costs one attempt or two."""

from tests.decisions.forwarding.harness import engine
from troutswitch.decisions.crashes.messages import CheckEngine, EngineChecked, EngineCheckResult
from troutswitch.decisions.forwarding.engine import NO_SIZE
from troutswitch.decisions.forwarding.engine_ejection import (
    FAILURES_TO_EJECT,
    MAX_EJECTION_SECONDS,
    MIN_EJECTION_SECONDS,
)
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.failed_engine_checks import (
    CHECK_LEAD_SECONDS,
    MAX_CHECKS,
    RESULT_SECONDS,
    FailedEngineChecks,
)


def parts(*names: str) -> tuple[EngineRegistry, FailedEngineChecks]:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine(name) for name in ("sound", *names)])
    return registry, FailedEngineChecks(registry)


def end_attempt(registry: EngineRegistry, now: float, name: str, *, failed: bool = True) -> None:
    registry.on_sent(now, name, False, NO_SIZE)
    registry.on_ended(now, name, False, NO_SIZE, begun=False, failed=failed)


def usable(registry: EngineRegistry, now: float) -> set[str]:
    return {engine.record.engine_id for engine in registry.usable(now, "s")}


def checked_ids(checks: list[CheckEngine]) -> list[str]:
    return [check.engine_id for check in checks]


def eject(registry: EngineRegistry, now: float, name: str) -> None:
    for _ in range(FAILURES_TO_EJECT):
        end_attempt(registry, now, name)


def test_an_engine_that_never_listens_fails_once_in_a_minute() -> None:
    registry, checks = parts("other")
    end_attempt(registry, 0.0, "other")
    now = 0.0
    while now < 60.0:
        for check in checks.on_timer(now):
            assert checks.on_checked(now, EngineChecked(check.engine_id, EngineCheckResult.ENDED))
        assert usable(registry, now) == {"sound"}
        now += 0.1
    assert checks.next_due() <= now + MAX_EJECTION_SECONDS


def test_an_engine_that_listens_again_is_used_when_its_ejection_is_over() -> None:
    registry, checks = parts("other")
    eject(registry, 0.0, "other")
    assert checked_ids(checks.on_timer(0.0)) == ["other"]
    assert checks.on_checked(0.1, EngineChecked("other", EngineCheckResult.LISTENS))
    assert usable(registry, MIN_EJECTION_SECONDS) == {"sound", "other"}
    assert checks.next_due() == float("inf")


def test_an_engine_whose_check_has_no_result_is_used_and_checked_after_its_next_failure() -> None:
    """Guards against an engine that is left out for good when a check is lost."""
    registry, checks = parts("other")
    eject(registry, 0.0, "other")
    assert checked_ids(checks.on_timer(0.0)) == ["other"]
    assert usable(registry, MIN_EJECTION_SECONDS) == {"sound", "other"}
    later = RESULT_SECONDS + 1.0
    eject(registry, later, "other")
    assert checks.on_timer(later) == []
    assert checked_ids(checks.on_timer(later + MAX_EJECTION_SECONDS)) == ["other"]


def test_a_check_comes_shortly_before_the_end_of_a_long_ejection() -> None:
    registry, checks = parts("other")
    for _ in range(4):
        eject(registry, 0.0, "other")
    checks.on_timer(0.0)
    assert registry.engines["other"].ejected_until == MAX_EJECTION_SECONDS
    assert checks.next_due() == MAX_EJECTION_SECONDS - CHECK_LEAD_SECONDS


def test_an_engine_that_answered_or_left_meanwhile_is_not_checked() -> None:
    registry, checks = parts("answered", "gone")
    for name in ("answered", "gone"):
        for _ in range(FAILURES_TO_EJECT + 3):
            end_attempt(registry, 0.0, name)
    assert checks.on_timer(0.0) == []
    end_attempt(registry, 1.0, "answered", failed=False)
    registry.on_list(2.0, [engine("sound"), engine("answered")])
    assert checks.on_timer(MAX_EJECTION_SECONDS) == []
    assert checks.next_due() == float("inf")


def test_a_failed_check_after_an_answer_does_not_eject() -> None:
    registry, checks = parts("other")
    eject(registry, 0.0, "other")
    assert checked_ids(checks.on_timer(0.0)) == ["other"]
    end_attempt(registry, 0.1, "other", failed=False)
    assert checks.on_checked(0.2, EngineChecked("other", EngineCheckResult.ENDED))
    assert usable(registry, 0.2) == {"sound", "other"}


def test_checks_at_once_are_bounded_and_the_others_follow() -> None:
    names = [f"other-{number:02}" for number in range(3 * MAX_CHECKS)]
    registry, checks = parts(*names)
    for name in names:
        eject(registry, 0.0, name)
    first = checked_ids(checks.on_timer(0.0))
    assert len(first) == MAX_CHECKS
    assert checks.on_timer(0.1) == []
    assert checks.next_due() == RESULT_SECONDS
    for name in first:
        checks.on_checked(0.2, EngineChecked(name, EngineCheckResult.UNKNOWN))
    second = checked_ids(checks.on_timer(0.2))
    assert len(second) == MAX_CHECKS
    assert not set(first) & set(second)


def test_the_result_of_another_parts_check_is_left_to_it() -> None:
    _, checks = parts("other")
    assert not checks.on_checked(0.0, EngineChecked("other", EngineCheckResult.ENDED))


def test_a_new_engine_that_listens_stays_in_use_after_one_failure() -> None:
    registry, checks = parts("other")
    end_attempt(registry, 0.0, "other")
    assert checked_ids(checks.on_timer(0.0)) == ["other"]
    assert checks.on_checked(0.1, EngineChecked("other", EngineCheckResult.LISTENS))
    assert usable(registry, 0.1) == {"sound", "other"}


def test_an_engine_that_has_answered_is_not_checked_after_one_failure() -> None:
    registry, checks = parts("other")
    registry.on_answered("other")
    end_attempt(registry, 0.0, "other")
    assert checks.on_timer(0.0) == []
