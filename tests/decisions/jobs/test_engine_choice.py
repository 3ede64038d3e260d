"""Choice of an engine for an item that starts without a granted slot."""

import random
from dataclasses import replace

from tests.decisions.forwarding.harness import engine
from tests.decisions.jobs.fixtures import ROUTE, item, job_index, route_table
from troutswitch.decisions.forwarding.engine import NO_SIZE, Engine
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.types import Service
from troutswitch.decisions.jobs.batch_capacity import ShareCapacity
from troutswitch.decisions.jobs.engine_choice import EngineChoice
from troutswitch.decisions.jobs.item_retries import StartableItem


def engine_choice(
    cache_tokens: int = 0, counts_peer_tokens: bool = False
) -> tuple[EngineChoice, EngineRegistry]:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a", service="service", slots=12)])
    routes = route_table()
    assert routes.configuration is not None
    service = Service("service", 100, 12, cache_tokens)
    routes.replace(replace(routes.configuration, version=2, services={"service": service}))
    choice = EngineChoice(
        routes, registry, ShareCapacity(), "z", random.Random(1), counts_peer_tokens
    )
    return choice, registry


def startable(job_id: str) -> StartableItem:
    return StartableItem(item(job_id), job_index({job_id: 0.0}).jobs[job_id], ROUTE)


def any_engine(now: float, candidate: Engine) -> bool:
    return True


def test_no_engine_is_chosen_where_items_may_not_start_without_a_grant() -> None:
    choice, _ = engine_choice()
    choice.begin_round()
    assert choice.choose(1.0, startable("job"), any_engine) is not None
    assert choice.choose(1.0, startable("job"), lambda now, candidate: False) is None


def test_an_item_may_run_only_at_engines_of_its_route() -> None:
    choice, _ = engine_choice()
    assert choice.may_run_at(startable("job"), Engine(engine("b", service="service")))
    assert not choice.may_run_at(startable("job"), Engine(engine("b", service="other")))


def test_no_item_starts_beyond_the_cache_that_peers_leave() -> None:
    """Guards against an engine that ends for lack of memory, as each daemon fills its cache."""
    for counts_peer_tokens in (False, True):
        choice, registry = engine_choice(10_000, counts_peer_tokens)
        registry.engines["a"].peers_online = 3
        registry.mean_tokens.add(2_800, is_batch=False)
        choice.begin_round()
        item_fits = not counts_peer_tokens  # 3 x 2,800 + 100 is as much as 0.85 of the cache
        assert choice.may_run_at(startable("job"), registry.engines["a"])
        registry.mean_tokens.add(2_900, is_batch=False)
        assert choice.may_run_at(startable("job"), registry.engines["a"]) == item_fits
        assert (choice.choose(1.0, startable("job"), any_engine) is not None) == item_fits


def test_a_round_starts_only_this_daemon_s_share_of_the_free_slots() -> None:
    choice, registry = engine_choice()
    started = 0
    for _ in range(400):
        choice.begin_round()
        choice.set_own_share(1 / 4)
        round_starts = 0
        while choice.choose(1.0, startable("job"), any_engine) is not None:
            choice.on_started("a")
            registry.on_sent(1.0, "a", True, NO_SIZE)
            round_starts += 1
        for _ in range(round_starts):
            registry.on_preempted(1.0, "a", NO_SIZE, begun=True)
        started += round_starts
    assert 2.3 < started / 400 < 2.7  # 10 free slots, shared by 4 daemons


def test_item_prefers_an_engine_with_an_idle_connection_in_a_paced_service() -> None:
    """Guards against a new connection for an item where an equal engine needs none."""
    for is_paced in (False, True):
        choice, registry = engine_choice()
        registry.on_list(0.0, [engine(name, service="service", slots=12) for name in "ab"])
        registry.idle_connections.on_kept(1.0, "b", 4.0)
        if is_paced:
            registry.on_pace(registry.engines["a"], 100, 1.0)
        choice.begin_round()
        chosen = [choice.choose(1.0, startable("job"), any_engine) for _ in range(30)]
        names = {e.record.engine_id for e in chosen if e is not None}
        assert names == ({"b"} if is_paced else {"a", "b"})


def test_the_requests_of_peers_count_for_an_item_that_fills_most_of_a_cache() -> None:
    """Guards against a rejection as full, which keeps the engine from other items for a while."""
    choice, registry = engine_choice(110, counts_peer_tokens=False)
    assert choice.may_run_at(startable("job"), registry.engines["a"])
    registry.engines["a"].peers_online = 1
    registry.mean_tokens.add(11, is_batch=False)
    assert not choice.may_run_at(startable("job"), registry.engines["a"])


def test_an_item_runs_at_the_services_of_its_route_that_can_hold_it() -> None:
    choice, _ = engine_choice(cache_tokens=99)
    assert choice.services_of(startable("job")) == frozenset()
    choice, _ = engine_choice(cache_tokens=100)
    assert choice.services_of(startable("job")) == {"service"}
