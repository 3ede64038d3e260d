"""Relative factors and costs of engines that differ in speed."""

import random

import pytest

from tests.decisions.forwarding.harness import engine
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engine_cost import (
    MAX_RELATIVE_FACTOR,
    MIN_RELATIVE_FACTOR,
    PREFILL_TOKEN_SECONDS,
    SPEED_POLICIES,
    ZONE_PENALTY,
    average_relative_factor,
    queue_cost,
    relative_factors,
)
from troutswitch.decisions.forwarding.placement import POLICIES
from troutswitch.decisions.forwarding.placer import (
    Assignment,
    LocalPlacer,
    NoSlotInTime,
    PlacementRequest,
)
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.forwarding.types import PromptShape

NOW = 10.0
RULES = ("weighted_share", "expected_time")
every_rule = pytest.mark.parametrize("rule", RULES)


def fleet(*percents: int | None, slots: int = 8) -> list[Engine]:
    engines = [Engine(engine(f"e{n}", slots=slots)) for n in range(len(percents))]
    for paced, percent in zip(engines, percents, strict=True):
        if percent is not None:
            paced.pace.on_reading(percent, NOW)
    return engines


def learned() -> RunTimes:
    times = RunTimes()
    times.on_completed("s", 0.06, 0.5, was_queued=False)
    return times


def test_factors_are_relative_to_the_mean_of_the_known_ones() -> None:
    factors = relative_factors(NOW, fleet(50, 150, None))
    assert factors == {"e0": 0.5, "e1": 1.5}


@pytest.mark.parametrize("percents", [(None, None), (250, 250), (100, None), (100,)])
def test_without_a_difference_there_are_no_factors(percents: tuple[int | None, ...]) -> None:
    assert relative_factors(NOW, fleet(*percents)) == {}


def test_false_paces_are_bounded() -> None:
    factors = relative_factors(NOW, fleet(1, 100, 100, 100, 100, 100, 10_000))
    assert factors["e0"] == MIN_RELATIVE_FACTOR
    assert factors["e6"] == MAX_RELATIVE_FACTOR


def test_average_factor_includes_earlier_readings() -> None:
    """Guards against a run of seconds that is judged by the last reading of an episode."""
    engines = fleet(100, 100)
    engines[0].pace.on_reading(300, NOW + 0.2)
    assert relative_factors(NOW + 0.2, engines)["e0"] == 1.5
    assert 1.0 < average_relative_factor(NOW + 0.2, engines[0], engines) < 1.15
    assert average_relative_factor(NOW + 40.0, engines[0], engines) == 1.0


@every_rule
def test_zone_and_waiting_prompt_tokens_stay_part_of_the_cost(rule: str) -> None:
    times = learned()
    speed = SPEED_POLICIES[rule](times, RouteTable())
    engines = fleet(50, 150)
    factors = speed.factors(NOW, engines)
    near = speed.cost(NOW, engines[1], "z", factors)
    assert speed.cost(NOW, engines[1], "y", factors) >= near + ZONE_PENALTY
    engines[1].prefill_tokens = 4096
    waiting = speed.cost(NOW, engines[1], "z", factors)
    assert waiting - near > 1.5 * 4096 * PREFILL_TOKEN_SECONDS / 0.5


@pytest.mark.parametrize("rule", sorted(SPEED_POLICIES))
def test_without_a_difference_the_cost_is_that_of_the_present_rule(rule: str) -> None:
    speed = SPEED_POLICIES[rule](learned(), RouteTable())
    engines = fleet(None, None)
    engines[0].change_own_online(NOW, 3)
    factors = speed.factors(NOW, engines)
    for candidate in engines:
        assert speed.cost(NOW, candidate, "y", factors) == queue_cost(NOW, candidate, "y")


@every_rule
@pytest.mark.parametrize("placement", ["two_choices", "prefix_shortest"])
def test_without_a_coordinator_the_own_readings_count(rule: str, placement: str) -> None:
    """Load: one engine of two takes 2.5 times as long. Two choices of two engines see both."""
    policy = POLICIES[placement](SPEED_POLICIES[rule](learned(), RouteTable()))
    engines = fleet(100, 250)
    engines[0].change_own_online(NOW, 1)
    chosen = policy.choose(NOW, engines, PromptShape(), "z", random.Random(1))
    assert chosen is engines[0]


@every_rule
@pytest.mark.parametrize("placement", sorted(POLICIES))
def test_without_a_pace_local_policies_choose_and_draw_as_before(rule: str, placement: str) -> None:
    speed = SPEED_POLICIES[rule](learned(), RouteTable())
    before, after = random.Random(3), random.Random(3)
    engines = fleet(None, None, None, None)
    old, new = POLICIES[placement](), POLICIES[placement](speed)
    for _ in range(20):
        expected = old.choose(NOW, engines, PromptShape(), "z", before)
        assert new.choose(NOW, engines, PromptShape(), "z", after) is expected
        expected.change_own_online(NOW, 1)
    assert before.getstate() == after.getstate()


def test_local_wait_is_that_of_each_engine_s_own_speed() -> None:
    """Load: all slots are taken. The wait of the fast engine decides, not that of the service."""
    times = learned()
    speed = SPEED_POLICIES["weighted_share"](times, RouteTable())
    engines = fleet(50, 150, slots=1)
    for full in engines:
        full.change_own_online(NOW, 1)
    placer = LocalPlacer("z", POLICIES["two_choices"](speed), times, random.Random(1), speed)
    placed = placer.place(NOW, PlacementRequest(1, "s", PromptShape(), 0.3), engines)
    assert isinstance(placed, Assignment)
    refused = placer.place(NOW, PlacementRequest(1, "s", PromptShape(), 0.2), engines)
    assert isinstance(refused, NoSlotInTime)
    assert abs(refused.estimate.wait - 0.25) < 1e-9
