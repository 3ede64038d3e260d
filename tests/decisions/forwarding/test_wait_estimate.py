"""The wait for a slot at an engine."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.decisions.forwarding.worlds import engine
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.run_times import ServiceTimes
from troutswitch.decisions.forwarding.wait_estimate import slot_wait

TIMES = ServiceTimes(first_event=0.1, slot_time=1.0)
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=150)


def loaded(sent_at: list[float], slots: int = 2) -> Engine:
    held = Engine(engine("a", slots=slots))
    for at in sent_at:
        held.change_own_online(at, 1)
    return held


def test_a_free_slot_means_no_wait() -> None:
    assert slot_wait(5.0, loaded([4.9]), TIMES).wait == 0.0


def test_the_wait_is_the_larger_of_what_times_and_counts_tell() -> None:
    together = slot_wait(1.0, loaded([0.9, 0.9]), TIMES)
    assert abs(together.wait - 0.9) < 1e-9  # both slots are taken until 1.9
    spread = slot_wait(1.0, loaded([0.2, 0.9]), TIMES)
    assert abs(spread.wait - 0.5) < 1e-9  # one request before, two slots


def test_those_that_wait_go_first() -> None:
    wait = slot_wait(1.0, loaded([0.2, 0.9, 0.95]), TIMES)
    assert (wait.queued, wait.slots) == (2, 2)
    assert abs(wait.wait - 1.0) < 1e-9


def test_one_that_runs_longer_than_usual_may_end_any_moment() -> None:
    assert abs(slot_wait(9.0, loaded([0.0, 0.0]), TIMES).wait - 0.5) < 1e-9


def test_the_end_of_a_request_frees_the_oldest() -> None:
    held = loaded([0.2, 0.9, 0.95])
    held.change_own_online(1.0, -1)
    assert list(held.online_sent_at) == [0.9, 0.95]
    held.change_peers_online(1.0, 2)
    held.change_peers_online(1.1, -5)
    assert held.peers_online == 0
    assert list(held.online_sent_at) == [1.0, 1.0]
    assert held.online_count() == 2


@DETERMINISTIC
@given(st.lists(st.floats(0.0, 3.0), max_size=30), st.integers(1, 9))
def test_the_wait_grows_with_what_stands_before(sent_at: list[float], slots: int) -> None:
    times = sorted(sent_at)
    held = loaded([], slots)
    before = 0.0
    for at in times:
        held.change_own_online(at, 1)
        wait = slot_wait(3.0, held, TIMES).wait
        assert before <= wait <= TIMES.slot_time * (1 + len(times) / slots)
        assert (wait == 0.0) or held.online_count() >= slots
        before = wait
