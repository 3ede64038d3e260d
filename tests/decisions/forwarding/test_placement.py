import random

import pytest

from tests.decisions.forwarding.worlds import engine
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


def test_a_session_keeps_to_its_home_on_every_daemon() -> None:
    homes = {
        POLICIES["prefix_aware"]()
        .choose(0.0, engines(), SESSION, zone, random.Random(seed))
        .record.engine_id
        for seed, zone in enumerate(("z", "y", "x"))
    }
    assert len(homes) == 1


def test_a_loaded_home_is_not_chosen() -> None:
    held = engines()
    for home in homes_of(SESSION, held)[:2]:
        home.online_in_flight = home.slots
    chosen = POLICIES["prefix_aware"]().choose(0.0, held, SESSION, "z", random.Random(1))
    assert chosen.online_in_flight == 0


def test_the_shortest_queue_is_that_of_online_requests() -> None:
    busy, batch = engines(2)
    busy.online_in_flight = 5
    batch.batch_in_flight = 8
    for seed in range(20):
        rng = random.Random(seed)
        chosen = ShortestQueue().choose(0.0, [busy, batch], PromptShape(), "z", rng)
        assert chosen is batch


def test_the_shortest_queue_takes_nearly_equal_engines_in_turn() -> None:
    held = engines(6)
    held[0].online_in_flight = 4
    rng = random.Random(1)
    chosen = {
        ShortestQueue().choose(0.0, held, PromptShape(), "z", rng).record.engine_id
        for _ in range(100)
    }
    assert chosen == {"s1", "s2", "s3", "s4", "s5"}


def test_an_engine_with_prompts_to_read_is_worse_than_one_with_some_requests() -> None:
    reading, running = engines(2)
    reading.prefill_tokens = 8000
    running.online_in_flight = 4
    chosen = TwoChoices().choose(0.0, [reading, running], PromptShape(), "z", random.Random(1))
    assert chosen is running


def test_daemons_with_the_same_stale_view_do_not_all_take_the_same_engine() -> None:
    held = engines()
    for number, one in enumerate(held):
        one.peers_online = number
    chosen = [
        TwoChoices().choose(0.0, held, PromptShape(), "z", random.Random(seed)).record.engine_id
        for seed in range(100)
    ]
    assert max(chosen.count(name) for name in set(chosen)) < 70


def test_only_the_home_is_expected_to_have_read_a_session() -> None:
    held = engines()
    first, second = homes_of(SESSION, held)[:2]
    assert expected_prefill(SESSION, first, held) == 2700
    assert expected_prefill(SESSION, second, held) == 9000


def test_headroom_fills_engines_in_proportion_to_their_room() -> None:
    held = engines(4)
    held[0].online_in_flight = 7
    held[1].online_in_flight = 4
    rng = random.Random(1)
    counts = dict.fromkeys((s.record.engine_id for s in held), 0)
    for _ in range(2000):
        chosen = Headroom().choose(0.0, held, PromptShape(), "z", rng)
        counts[chosen.record.engine_id] += 1
    assert counts["s0"] < 40
    assert counts["s0"] < counts["s1"] < counts["s2"]
    assert 0.8 < counts["s2"] / counts["s3"] < 1.25


def test_headroom_still_chooses_where_no_engine_has_room() -> None:
    held = engines(2)
    for full in held:
        full.online_in_flight = 3 * full.slots
    assert Headroom().choose(0.0, held, PromptShape(), "z", random.Random(1)) in held


def test_all_daemons_agree_on_few_engines_for_long_prompts() -> None:
    held = engines(9)
    chosen = {s.record.engine_id for s in long_prompt_engines(held)}
    assert len(chosen) == 3
    assert chosen == {s.record.engine_id for s in long_prompt_engines(held[::-1])}
    # Of the others, at most one takes over when an engine goes.
    gone = [s for s in held if s.record.engine_id != min(chosen)]
    assert len(chosen - {s.record.engine_id for s in long_prompt_engines(gone)}) == 1


def test_long_prompts_stay_off_the_other_engines() -> None:
    held = engines(9)
    policy = POLICIES["prefix_aware"]()
    rng = random.Random(1)
    long_ones = {s.record.engine_id for s in long_prompt_engines(held)}
    for number in range(60):
        parts = (PromptPart("a", 2500), PromptPart(str(number), 3800), PromptPart("own", 2700))
        policy.choose(0.0, held, PromptShape(600, 50), "z", rng)
        policy.choose(0.0, held, PromptShape(600, 50), "z", rng)
        chosen = policy.choose(0.0, held, PromptShape(9000, 50, parts), "z", rng)
        assert chosen.record.engine_id in long_ones


def test_a_long_prompt_goes_elsewhere_once_its_engines_have_too_much_to_read() -> None:
    held = engines(9)
    for one in long_prompt_engines(held):
        one.prefill_tokens = 40_000
    chosen = POLICIES["prefix_aware"]().choose(0.0, held, SESSION, "z", random.Random(1))
    assert chosen not in long_prompt_engines(held)


def test_what_is_long_follows_the_service_s_prompts() -> None:
    sizes = PromptSizes()
    assert sizes.is_long("s", 5000)
    for _ in range(200):
        sizes.add("s", 2000)
    assert not sizes.is_long("s", 3900)
    assert sizes.is_long("s", 4100)
    for _ in range(400):
        sizes.add("s", 9000)
    assert not sizes.is_long("s", 9000)


def test_a_prompt_that_is_read_at_once_is_never_long_whatever_was_seen() -> None:
    sizes = PromptSizes()
    assert not sizes.is_long("s", 600)
    sizes.add("s", 100)
    assert not sizes.is_long("s", MIN_LONG_PROMPT_TOKENS - 1)
    assert sizes.is_long("s", MIN_LONG_PROMPT_TOKENS)


def test_an_engine_where_prompts_often_wait_is_avoided_by_others() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("usual"), engine("free")])
    registry.engines["usual"].prefill_tokens = 9000
    for look in range(60):
        registry.on_timer(look / 10)
    registry.engines["usual"].prefill_tokens = 0
    usual, free = registry.engines["usual"], registry.engines["free"]
    assert placement_cost(6.0, usual, "z") > 0.9 + placement_cost(6.0, free, "z")
    for look in range(60, 200):
        registry.on_timer(look / 10)
    assert placement_cost(20.0, usual, "z") < 0.1 + placement_cost(20.0, free, "z")
