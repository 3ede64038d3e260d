"""The kinds of demanding load of a soak: drawn from the seed, or given."""

import pytest

from troutswitch.soak.load_kinds import LoadKind, draw_load, format_load, parse_load

SEEDS = range(24_000)


def test_a_seed_determines_the_load_and_seeds_cover_all_combinations() -> None:
    """Guards against a kind that no seed has, or that all seeds have."""
    drawn = [draw_load(seed) for seed in SEEDS]
    assert drawn == [draw_load(seed) for seed in SEEDS]
    assert len(set(drawn)) == 2 ** len(LoadKind)


@pytest.mark.parametrize("seed", range(20))
def test_a_formatted_load_is_parsed_to_the_same(seed: int) -> None:
    assert parse_load(format_load(draw_load(seed))) == draw_load(seed)


def test_an_unknown_kind_is_rejected() -> None:
    with pytest.raises(ValueError, match="unknown"):
        parse_load("paces,unknown")
