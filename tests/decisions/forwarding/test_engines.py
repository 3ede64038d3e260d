"""The engine registry: lists, draining, ejection and counts."""

from tests.decisions.forwarding.harness import engine
from troutswitch.decisions.forwarding.engine import NO_SIZE, RequestSize
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.types import EngineLoad


def engine_ids(registry: EngineRegistry) -> set[str]:
    return {loaded_engine.record.engine_id for loaded_engine in registry.of_service("s")}


def test_draining_engine_takes_no_new_work() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    added, removed = registry.on_list(1.0, [engine("a", draining=True), engine("b")])
    assert (added, removed) == ([], ["a"])
    assert engine_ids(registry) == {"b"}


def test_draining_is_final_even_if_an_older_list_is_read_later() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a", draining=True)])
    registry.on_list(1.0, [engine("a")])
    assert engine_ids(registry) == set()


def test_unlisted_engine_takes_no_work_until_it_is_listed_again() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    registry.engines["a"].online_in_flight = 1
    registry.on_list(1.0, [engine("b")])
    assert engine_ids(registry) == {"b"}
    registry.on_list(2.0, [engine("a"), engine("b")])
    assert engine_ids(registry) == {"a", "b"}


def test_entries_that_expire_in_a_store_outage_stay_in_use_for_a_while() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    registry.on_list_failed(1.0)
    registry.on_list(2.0, [])
    assert engine_ids(registry) == {"a", "b"}
    registry.on_list(2.9, [engine("b")])
    assert engine_ids(registry) == {"a", "b"}
    registry.on_list(3.1, [engine("b")])
    assert engine_ids(registry) == {"b"}


def test_failing_engine_is_ejected_for_a_while() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    for _ in range(2):
        registry.on_sent(0.0, "a", False, NO_SIZE)
        registry.on_ended(1.0, "a", False, NO_SIZE, begun=False, failed=True)
    assert [e.record.engine_id for e in registry.usable(1.1, "s")] == ["b"]
    assert len(registry.usable(5.0, "s")) == 2


def test_all_engines_are_usable_if_all_are_ejected() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a")])
    for _ in range(3):
        registry.on_sent(0.0, "a", False, NO_SIZE)
        registry.on_ended(1.0, "a", False, NO_SIZE, begun=False, failed=True)
    assert len(registry.usable(1.1, "s")) == 1


def test_counts_are_zero_after_all_attempts_end() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a")])
    size = RequestSize(100, 60)
    registry.on_sent(0.0, "a", False, size)
    registry.on_sent(0.0, "a", True, size)
    registry.on_first_token("a", size)
    registry.on_ended(1.0, "a", False, size, begun=True, failed=False)
    registry.on_ended(1.0, "a", True, size, begun=False, failed=False)
    loaded_engine = registry.engines["a"]
    assert loaded_engine.in_flight(1.0) == 0
    assert (loaded_engine.tokens_in_flight, loaded_engine.prefill_tokens) == (0, 0)


def test_reported_load_counts_only_while_it_is_fresh() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a")])
    registry.on_load(1.0, "a", EngineLoad(5, 2, 8))
    assert registry.engines["a"].in_flight(1.1) == 7
    assert registry.engines["a"].in_flight(3.0) == 0


def test_old_load_with_a_pace_does_not_hide_free_slots() -> None:
    # A load from a peak, 0.4 s old, counted requests that had ended, so items left slots unused.
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    registry.on_load(1.0, "a", EngineLoad(5, 0, 8, 120))
    registry.on_load(1.0, "b", EngineLoad(5, 0, 8))
    assert [registry.engines[name].in_flight(1.05) for name in "ab"] == [5, 5]
    assert [registry.engines[name].in_flight(1.2) for name in "ab"] == [0, 5]
