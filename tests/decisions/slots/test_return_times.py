"""Return times of refused callers do not collide, and a flow that is refused often leaves some."""

import itertools

import pytest

from troutswitch.decisions.slots.return_times import (
    MAX_RETURN_SECONDS,
    MIN_RETURN_SECONDS,
    ReturnTimes,
)

INTERVAL = 0.02


def reserve(times: ReturnTimes, now: float, flow: str = "a", flows: int = 1) -> float:
    return now + times.next(now, flow, queue_wait=0.0, interval=INTERVAL, flows=flows)


def test_each_time_is_given_once_and_spaced_by_the_rate_of_free_slots() -> None:
    times = ReturnTimes()
    given = sorted(reserve(times, 1.0 + n / 1000) for n in range(40))
    gaps = [after - before for before, after in itertools.pairwise(given)]
    assert min(gaps) == pytest.approx(INTERVAL)


def test_no_caller_returns_before_the_present_queue_is_served() -> None:
    times = ReturnTimes()
    assert times.next(1.0, "a", queue_wait=0.7, interval=INTERVAL, flows=1) == pytest.approx(0.7)
    assert reserve(ReturnTimes(), 1.0) == pytest.approx(1.0 + MIN_RETURN_SECONDS)


def test_a_flow_that_is_refused_often_leaves_times_for_others() -> None:
    """Load: a tenant at 7 times its share, whose refusals fill the next seconds."""
    times = ReturnTimes()
    for _ in range(50):
        reserve(times, 1.0, "large", flows=2)
    assert reserve(times, 1.0, "small", flows=2) <= 1.0 + MIN_RETURN_SECONDS + INTERVAL + 1e-9


def test_times_that_passed_are_forgotten_and_late_ones_are_not_reserved() -> None:
    times = ReturnTimes()
    for _ in range(10_000):
        assert reserve(times, 1.0) <= 1.0 + MAX_RETURN_SECONDS
    assert len(times._given) <= MAX_RETURN_SECONDS / INTERVAL
    assert reserve(times, 20.0) == pytest.approx(20.0 + MIN_RETURN_SECONDS)
    assert len(times._given) == 1
