"""Placement policies, long prompts and the costs of engines."""

import random

import pytest

from tests.decisions.forwarding.harness import engine
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.long_prompts import (
    MIN_LONG_PROMPT_TOKENS,
    PromptSizes,
    expected_prefill,
    homes_of,
    long_prompt_engines,
)
from troutswitch.decisions.forwarding.placement import (
    POLICIES,
    Headroom,
    ShortestQueue,
    TwoChoices,
    placement_cost,
)
from troutswitch.decisions.forwarding.types import PromptPart, PromptShape

SESSION = PromptShape(
    9000, 50, (PromptPart("a", 2500), PromptPart("b", 3800), PromptPart("own", 2700))
)


def engines(count: int = 6) -> list[Engine]:
    return [Engine(engine(f"s{number}")) for number in range(count)]


@pytest.mark.parametrize("name", sorted(POLICIES))
def test_each_policy_uses_all_engines(name: str) -> None:
    policy = POLICIES[name]()
    rng = random.Random(1)
    chosen = {
        policy.choose(0.0, engines(), PromptShape(), "z", rng).record.engine_id for _ in range(200)
    }
    assert len(chosen) == 6


def test_session_has_the_same_home_on_every_daemon() -> None:
    homes = {
        POLICIES["prefix_aware"]()
        .choose(0.0, engines(), SESSION, zone, random.Random(seed))
        .record.engine_id
        for seed, zone in enumerate(("z", "y", "x"))
    }
    assert len(homes) == 1


def test_homes_without_free_slots_are_not_chosen() -> None:
    fleet = engines()
    for home in homes_of(SESSION, fleet)[:2]:
        home.online_in_flight = home.slots
    chosen = POLICIES["prefix_aware"]().choose(0.0, fleet, SESSION, "z", random.Random(1))
    assert chosen.online_in_flight == 0


def test_shortest_queue_compares_online_requests_not_batch_items() -> None:
    busy, batch = engines(2)
    busy.online_in_flight = 5
    batch.batch_in_flight = 8
    for seed in range(20):
        rng = random.Random(seed)
        chosen = ShortestQueue().choose(0.0, [busy, batch], PromptShape(), "z", rng)
        assert chosen is batch


def test_shortest_queue_spreads_requests_over_equally_loaded_engines() -> None:
    fleet = engines(6)
    fleet[0].online_in_flight = 4
    rng = random.Random(1)
    chosen = {
        ShortestQueue().choose(0.0, fleet, PromptShape(), "z", rng).record.engine_id
        for _ in range(100)
    }
    assert chosen == {"s1", "s2", "s3", "s4", "s5"}


def test_waiting_prompt_tokens_cost_more_than_some_running_requests() -> None:
    reading, running = engines(2)
    reading.prefill_tokens = 8000
    running.online_in_flight = 4
    chosen = TwoChoices().choose(0.0, [reading, running], PromptShape(), "z", random.Random(1))
    assert chosen is running


def test_daemons_with_the_same_stale_counts_choose_different_engines() -> None:
    fleet = engines()
    for number, loaded_engine in enumerate(fleet):
        loaded_engine.peers_online = number
    chosen = [
        TwoChoices().choose(0.0, fleet, PromptShape(), "z", random.Random(seed)).record.engine_id
        for seed in range(100)
    ]
    assert max(chosen.count(name) for name in set(chosen)) < 70


def test_only_the_first_home_is_expected_to_have_the_session_cached() -> None:
    fleet = engines()
    first, second = homes_of(SESSION, fleet)[:2]
    assert expected_prefill(SESSION, first, fleet) == 2700
    assert expected_prefill(SESSION, second, fleet) == 9000


def test_headroom_favours_engines_with_more_free_capacity() -> None:
    fleet = engines(4)
    fleet[0].online_in_flight = 7
    fleet[1].online_in_flight = 4
    rng = random.Random(1)
    counts = dict.fromkeys((e.record.engine_id for e in fleet), 0)
    for _ in range(2000):
        chosen = Headroom().choose(0.0, fleet, PromptShape(), "z", rng)
        counts[chosen.record.engine_id] += 1
    assert counts["s0"] < 40
    assert counts["s0"] < counts["s1"] < counts["s2"]
    assert 0.8 < counts["s2"] / counts["s3"] < 1.25


def test_headroom_chooses_an_engine_even_if_all_are_full() -> None:
    fleet = engines(2)
    for full in fleet:
        full.online_in_flight = 3 * full.slots
    assert Headroom().choose(0.0, fleet, PromptShape(), "z", random.Random(1)) in fleet


def test_all_daemons_choose_the_same_third_of_engines_for_long_prompts() -> None:
    fleet = engines(9)
    chosen = {e.record.engine_id for e in long_prompt_engines(fleet)}
    assert len(chosen) == 3
    assert chosen == {e.record.engine_id for e in long_prompt_engines(fleet[::-1])}
    # When one of them leaves, the others keep getting long prompts.
    remaining = [e for e in fleet if e.record.engine_id != min(chosen)]
    assert len(chosen - {e.record.engine_id for e in long_prompt_engines(remaining)}) == 1


def test_long_prompts_go_only_to_the_engines_for_long_prompts() -> None:
    fleet = engines(9)
    policy = POLICIES["prefix_aware"]()
    rng = random.Random(1)
    long_prompt_ids = {e.record.engine_id for e in long_prompt_engines(fleet)}
    for number in range(60):
        parts = (PromptPart("a", 2500), PromptPart(str(number), 3800), PromptPart("own", 2700))
        policy.choose(0.0, fleet, PromptShape(600, 50), "z", rng)
        policy.choose(0.0, fleet, PromptShape(600, 50), "z", rng)
        chosen = policy.choose(0.0, fleet, PromptShape(9000, 50, parts), "z", rng)
        assert chosen.record.engine_id in long_prompt_ids


def test_long_prompt_goes_elsewhere_if_its_engines_have_too_many_waiting_tokens() -> None:
    fleet = engines(9)
    for loaded_engine in long_prompt_engines(fleet):
        loaded_engine.prefill_tokens = 40_000
    chosen = POLICIES["prefix_aware"]().choose(0.0, fleet, SESSION, "z", random.Random(1))
    assert chosen not in long_prompt_engines(fleet)


def test_long_prompt_threshold_follows_the_mean_of_the_service() -> None:
    sizes = PromptSizes()
    assert sizes.is_long("s", 5000)
    for _ in range(200):
        sizes.add("s", 2000)
    assert not sizes.is_long("s", 3900)
    assert sizes.is_long("s", 4100)
    for _ in range(400):
        sizes.add("s", 9000)
    assert not sizes.is_long("s", 9000)


def test_prompt_below_the_minimum_size_is_never_long() -> None:
    sizes = PromptSizes()
    assert not sizes.is_long("s", 600)
    sizes.add("s", 100)
    assert not sizes.is_long("s", MIN_LONG_PROMPT_TOKENS - 1)
    assert sizes.is_long("s", MIN_LONG_PROMPT_TOKENS)


def test_engine_with_often_waiting_prompts_stays_costly_for_a_while() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("usual"), engine("free")])
    registry.engines["usual"].prefill_tokens = 9000
    for sample in range(60):
        registry.on_timer(sample / 10)
    registry.engines["usual"].prefill_tokens = 0
    often_waiting, free = registry.engines["usual"], registry.engines["free"]
    assert placement_cost(6.0, often_waiting, "z") > 0.9 + placement_cost(6.0, free, "z")
    for sample in range(60, 200):
        registry.on_timer(sample / 10)
    assert placement_cost(20.0, often_waiting, "z") < 0.1 + placement_cost(20.0, free, "z")
