import random

from tests.decisions.forwarding.harness import engine
from tests.decisions.jobs.fixtures import ROUTE, item, job_index, route_table
from troutswitch.decisions.forwarding.engine import NO_SIZE, Engine
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.jobs.batch_capacity import ShareCapacity
from troutswitch.decisions.jobs.engine_choice import EngineChoice
from troutswitch.decisions.jobs.item_retries import StartableItem


def engine_choice() -> tuple[EngineChoice, EngineRegistry]:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a", service="service", slots=12)])
    choice = EngineChoice(route_table(), registry, ShareCapacity(), "z", random.Random(1))
    return choice, registry


def startable(job_id: str) -> StartableItem:
    return StartableItem(item(job_id), job_index({job_id: 0.0}).jobs[job_id], ROUTE)


def any_engine(now: float, held: Engine) -> bool:
    return True


def test_an_item_goes_only_to_an_engine_that_is_open() -> None:
    chosen, _ = engine_choice()
    chosen.begin_round()
    assert chosen.choose(1.0, startable("job"), any_engine) is not None
    assert chosen.choose(1.0, startable("job"), lambda now, held: False) is None


def test_a_granted_slot_is_used_only_at_an_engine_of_the_item_s_route() -> None:
    chosen, _ = engine_choice()
    assert chosen.may_run_at(startable("job"), Engine(engine("b", service="service")))
    assert not chosen.may_run_at(startable("job"), Engine(engine("b", service="other")))


def test_a_round_starts_only_this_daemon_s_part_of_the_free_slots() -> None:
    chosen, registry = engine_choice()
    started = 0
    for _ in range(400):
        chosen.begin_round()
        chosen.set_own_share(1 / 4)
        sent = 0
        while chosen.choose(1.0, startable("job"), any_engine) is not None:
            chosen.on_started("a")
            registry.on_sent(1.0, "a", True, NO_SIZE)
            sent += 1
        for _ in range(sent):
            registry.on_preempted(1.0, "a", NO_SIZE, begun=True)
        started += sent
    assert 2.3 < started / 400 < 2.7  # 10 free slots, shared by 4 daemons
