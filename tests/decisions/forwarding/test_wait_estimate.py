"""Estimates of the wait for a slot at an engine."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.decisions.forwarding.harness import engine
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.run_times import ServiceTimes
from troutswitch.decisions.forwarding.wait_estimate import least_wait, shortest_wait, slot_wait

TIMES = ServiceTimes(first_event=0.1, slot_time=1.0)
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=150)


def engine_with_requests(sent_at: list[float], slots: int = 2) -> Engine:
    loaded_engine = Engine(engine("a", slots=slots))
    for at in sent_at:
        loaded_engine.change_own_online(at, 1)
    return loaded_engine


def test_free_slot_means_no_wait() -> None:
    assert slot_wait(5.0, engine_with_requests([4.9]), TIMES).wait == 0.0


def test_wait_is_the_larger_of_the_estimates_by_time_and_by_count() -> None:
    sent_together = slot_wait(1.0, engine_with_requests([0.9, 0.9]), TIMES)
    assert abs(sent_together.wait - 0.9) < 1e-9  # both slots are occupied until 1.9
    sent_apart = slot_wait(1.0, engine_with_requests([0.2, 0.9]), TIMES)
    assert abs(sent_apart.wait - 0.5) < 1e-9  # one queued request, two slots


def test_queued_requests_are_served_first() -> None:
    wait = slot_wait(1.0, engine_with_requests([0.2, 0.9, 0.95]), TIMES)
    assert (wait.queued, wait.slots) == (2, 2)
    assert abs(wait.wait - 1.0) < 1e-9


def test_requests_running_longer_than_usual_count_as_about_to_end() -> None:
    assert abs(slot_wait(9.0, engine_with_requests([0.0, 0.0]), TIMES).wait - 0.5) < 1e-9


def test_end_of_a_request_removes_the_oldest_send_time() -> None:
    loaded_engine = engine_with_requests([0.2, 0.9, 0.95])
    loaded_engine.change_own_online(1.0, -1)
    assert list(loaded_engine.online_sent_at) == [0.9, 0.95]
    loaded_engine.change_peers_online(1.0, 2)
    loaded_engine.change_peers_online(1.1, -5)
    assert loaded_engine.peers_online == 0
    assert list(loaded_engine.online_sent_at) == [1.0, 1.0]
    assert loaded_engine.online_count() == 2


@DETERMINISTIC
@given(st.lists(st.floats(0.0, 3.0), max_size=30), st.integers(1, 9))
def test_wait_grows_with_each_request_on_the_engine(sent_at: list[float], slots: int) -> None:
    times = sorted(sent_at)
    loaded_engine = engine_with_requests([], slots)
    before = 0.0
    for at in times:
        loaded_engine.change_own_online(at, 1)
        wait = slot_wait(3.0, loaded_engine, TIMES).wait
        assert before <= wait <= TIMES.slot_time * (1 + len(times) / slots)
        assert (wait == 0.0) or loaded_engine.online_count() >= slots
        before = wait


def test_wait_is_that_of_the_engine_s_own_speed() -> None:
    """Load: engines at half and twice the mean time. The mean would tell the same wait for both."""
    loaded_engine = engine_with_requests([0.9, 0.9])
    assert abs(slot_wait(1.0, loaded_engine, TIMES, 0.5).wait - 0.4) < 1e-9
    slow = slot_wait(1.0, loaded_engine, TIMES, 2.0)
    assert abs(slow.wait - 1.9) < 1e-9
    assert slow.slot_time == 2.0
    assert least_wait(loaded_engine, TIMES, 2.0) <= slow.wait


def test_shortest_wait_counts_the_speed_of_each_engine() -> None:
    few, many = engine_with_requests([0.9, 0.9]), Engine(engine("b", slots=2))
    many.change_own_online(0.9, 3)
    best = shortest_wait(1.0, [few, many], TIMES, {"a": 2.0, "b": 0.25})
    assert best is not None
    assert best.queued == 2
