"""The time factor of an engine that reports how long work takes there."""

import pytest

from tests.decisions.forwarding.harness import engine
from troutswitch.decisions.forwarding.engine_pace import (
    AVERAGE_SECONDS,
    FRESH_SECONDS,
    MAX_AGE_SECONDS,
    EnginePace,
)
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.types import EngineLoad


def test_unknown_pace_changes_nothing() -> None:
    assert EnginePace().time_factor(5.0) == 1.0


def test_fresh_reading_is_used_by_itself() -> None:
    pace = EnginePace()
    pace.on_reading(55, 1.0)
    pace.on_reading(137, 1.1)
    assert pace.time_factor(1.1 + FRESH_SECONDS) == 1.37


def test_old_reading_of_a_short_episode_does_not_outweigh_the_usual_pace() -> None:
    # An engine that was last seen in a slow episode stayed unused although the episode had ended.
    pace = EnginePace()
    for tenth in range(30):
        pace.on_reading(120, tenth / 10)
    pace.on_reading(300, 3.0)
    assert pace.time_factor(3.0 + 2 * FRESH_SECONDS) < 1.2 + (3.0 - 1.2) * 0.2 / AVERAGE_SECONDS


def test_average_is_forgotten_after_a_long_silence() -> None:
    pace = EnginePace()
    pace.on_reading(300, 1.0)
    assert pace.time_factor(1.0 + MAX_AGE_SECONDS + 0.1) == 1.0


def test_late_reading_does_not_replace_a_newer_one() -> None:
    pace = EnginePace()
    pace.on_reading(55, 2.0)
    pace.on_reading(300, 1.0)
    assert pace.time_factor(2.0) == pytest.approx(0.55)


def test_service_is_paced_once_an_engine_reports_a_pace() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    registry.on_load(1.0, "a", EngineLoad(1, 0, 8))
    assert not registry.is_paced("s")
    registry.on_load(2.0, "a", EngineLoad(1, 0, 8, 120))
    assert registry.is_paced("s")
    assert registry.engines["a"].time_factor(2.0) == pytest.approx(1.2)
    assert registry.engines["b"].time_factor(2.0) == 1.0
