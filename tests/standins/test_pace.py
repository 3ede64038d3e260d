"""The pace of a stand-in engine: own speed, and episodes of slower work."""

import itertools

from troutswitch.standins.pace import EPISODE_FACTOR, Pace, own_percent

STEPS = 1000


def paces(own: int, seed: int) -> list[int]:
    pace = Pace(own, seed)
    return [pace.percent(step / 10) for step in range(STEPS)]


def test_half_of_the_engines_are_twice_as_fast_as_the_others() -> None:
    assert [own_percent(number) for number in range(4)] == [60, 120, 60, 120]


def test_a_seed_determines_the_episodes_of_slower_work() -> None:
    assert paces(60, 1) == paces(60, 1)
    assert paces(60, 1) != paces(60, 2)


def test_an_engine_has_its_own_speed_and_the_slower_one_in_turn() -> None:
    drawn = paces(120, 1)
    assert set(drawn) == {120, round(120 * EPISODE_FACTOR)}
    changes = sum(a != b for a, b in itertools.pairwise(drawn))
    assert changes > 20
