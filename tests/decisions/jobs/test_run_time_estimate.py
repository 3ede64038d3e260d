"""Estimate of the remaining run time of items."""

from tests.decisions.jobs.fixtures import item
from troutswitch.decisions.jobs.run_time_estimate import MIN_DUTY, RunTimeEstimate


def test_remaining_time_follows_from_completed_runs() -> None:
    estimate = RunTimeEstimate()
    assert estimate.remaining_seconds(item("job")) == 0.0
    estimate.on_completed(4.0, 40, 40)
    assert estimate.remaining_seconds(item("job")) == 4.0
    assert estimate.remaining_seconds(item("job", events=30)) == 1.0
    assert estimate.remaining_seconds(item("job", events=99)) == 0.0


def test_a_run_that_resumed_an_item_counts_only_its_own_events() -> None:
    estimate = RunTimeEstimate()
    estimate.on_completed(1.0, 10, 40)
    assert estimate.event_seconds == 0.1
    assert estimate.item_events == 40


def test_estimates_of_another_daemon_apply_only_until_a_run_completes_here() -> None:
    other = RunTimeEstimate()
    assert other.snapshot() is None
    other.on_completed(4.0, 40, 40)
    other.on_item_done(4.0, 5.0)
    fresh = RunTimeEstimate()
    snapshot = other.snapshot()
    assert snapshot is not None
    fresh.adopt(snapshot)
    assert fresh.remaining_seconds(item("job", events=30)) == 1.0
    assert fresh.duty == other.duty
    fresh.on_completed(8.0, 40, 40)
    before = fresh.event_seconds
    fresh.adopt(snapshot)
    assert fresh.event_seconds == before


def test_the_duty_stays_within_its_bounds() -> None:
    estimate = RunTimeEstimate()
    for _ in range(200):
        estimate.on_item_done(0.1, 50.0)
    assert abs(estimate.duty - MIN_DUTY) < 0.01
    for _ in range(200):
        estimate.on_item_done(9.0, 5.0)
    assert 0.99 < estimate.duty <= 1.0


def test_time_per_event_is_that_of_an_engine_of_mean_speed() -> None:
    """Load: engines at 0.5 and 1.5 times the mean time run the same items."""
    estimate = RunTimeEstimate()
    estimate.on_completed(2.0, 40, 40, 0.5)
    estimate.on_completed(6.0, 40, 40, 1.5)
    assert abs(estimate.event_seconds - 0.1) < 1e-9
