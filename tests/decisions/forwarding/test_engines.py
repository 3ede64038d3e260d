from tests.decisions.forwarding.worlds import engine
from troutswitch.decisions.forwarding.engine import NO_SIZE, RequestSize
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.types import EngineLoad


def names(registry: EngineRegistry) -> set[str]:
    return {held.record.engine_id for held in registry.of_service("s")}


def test_a_draining_engine_takes_no_new_work() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    came, left = registry.on_list(1.0, [engine("a", draining=True), engine("b")])
    assert (came, left) == ([], ["a"])
    assert names(registry) == {"b"}


def test_draining_is_for_good_although_an_older_list_is_read_later() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a", draining=True)])
    registry.on_list(1.0, [engine("a")])
    assert names(registry) == set()


def test_an_engine_that_is_not_listed_takes_no_work_until_it_is_again() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    registry.engines["a"].online_in_flight = 1
    registry.on_list(1.0, [engine("b")])
    assert names(registry) == {"b"}
    registry.on_list(2.0, [engine("a"), engine("b")])
    assert names(registry) == {"a", "b"}


def test_entries_that_lapse_around_an_outage_of_the_store_are_not_taken_for_leaving() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    registry.on_list_failed(1.0)
    registry.on_list(2.0, [])
    assert names(registry) == {"a", "b"}
    registry.on_list(2.9, [engine("b")])
    assert names(registry) == {"a", "b"}
    registry.on_list(3.1, [engine("b")])
    assert names(registry) == {"b"}


def test_an_engine_that_fails_is_left_out_for_a_while() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    for _ in range(2):
        registry.on_sent(0.0, "a", False, NO_SIZE)
        registry.on_ended(1.0, "a", False, NO_SIZE, begun=False, failed=True)
    assert [s.record.engine_id for s in registry.usable(1.1, "s")] == ["b"]
    assert len(registry.usable(5.0, "s")) == 2


def test_when_all_engines_failed_all_are_tried() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a")])
    for _ in range(3):
        registry.on_sent(0.0, "a", False, NO_SIZE)
        registry.on_ended(1.0, "a", False, NO_SIZE, begun=False, failed=True)
    assert len(registry.usable(1.1, "s")) == 1


def test_counts_return_to_nothing() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a")])
    size = RequestSize(100, 60)
    registry.on_sent(0.0, "a", False, size)
    registry.on_sent(0.0, "a", True, size)
    registry.on_first_token("a", size)
    registry.on_ended(1.0, "a", False, size, begun=True, failed=False)
    registry.on_ended(1.0, "a", True, size, begun=False, failed=False)
    held = registry.engines["a"]
    assert held.in_flight(1.0) == 0
    assert (held.tokens_in_flight, held.prefill_tokens) == (0, 0)


def test_a_told_load_counts_while_it_is_fresh() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a")])
    registry.on_load(1.0, "a", EngineLoad(5, 2, 8))
    assert registry.engines["a"].in_flight(1.1) == 7
    assert registry.engines["a"].in_flight(3.0) == 0
