import random

import pytest

from tests.decisions.forwarding.worlds import server
from troutswitch.decisions.forwarding.placement import (
    POLICIES,
    LeastLoaded,
    PrefixAware,
    expected_prefill,
    home_of,
)
from troutswitch.decisions.forwarding.servers import Server
from troutswitch.decisions.forwarding.types import PromptPart, PromptShape

SESSION = PromptShape(
    9000, 50, (PromptPart("a", 2500), PromptPart("b", 3800), PromptPart("own", 2700))
)


def servers(count: int = 6) -> list[Server]:
    return [Server(server(f"s{number}")) for number in range(count)]


@pytest.mark.parametrize("name", sorted(POLICIES))
def test_each_policy_uses_all_servers(name: str) -> None:
    policy = POLICIES[name]()
    rng = random.Random(1)
    chosen = {
        policy.choose(0.0, servers(), PromptShape(), "z", rng).record.server_id for _ in range(200)
    }
    assert len(chosen) == 6


def test_a_session_keeps_to_its_home_on_every_daemon() -> None:
    homes = {
        PrefixAware().choose(0.0, servers(), SESSION, zone, random.Random(seed)).record.server_id
        for seed, zone in enumerate(("z", "y", "x"))
    }
    assert len(homes) == 1


def test_a_loaded_home_is_not_chosen() -> None:
    held = servers()
    for home in home_of(SESSION, held)[:2]:
        home.online_in_flight = home.slots
    chosen = PrefixAware().choose(0.0, held, SESSION, "z", random.Random(1))
    assert chosen.online_in_flight == 0


def test_a_server_with_prompts_to_read_is_worse_than_one_with_some_requests() -> None:
    reading, running = servers(2)
    reading.prefill_tokens = 8000
    running.online_in_flight = 4
    chosen = LeastLoaded().choose(0.0, [reading, running], PromptShape(), "z", random.Random(1))
    assert chosen is running


def test_daemons_with_the_same_stale_view_do_not_all_take_the_same_server() -> None:
    held = servers()
    for number, one in enumerate(held):
        one.peers_online = number
    chosen = [
        LeastLoaded().choose(0.0, held, PromptShape(), "z", random.Random(seed)).record.server_id
        for seed in range(100)
    ]
    assert max(chosen.count(name) for name in set(chosen)) < 70


def test_only_the_home_is_expected_to_have_read_a_session() -> None:
    held = servers()
    first, second = home_of(SESSION, held)[:2]
    assert expected_prefill(SESSION, first, held) == 2700
    assert expected_prefill(SESSION, second, held) == 9000
