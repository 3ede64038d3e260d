from tests.decisions.jobs.fixtures import item
from troutswitch.decisions.jobs.run_time_estimate import MIN_DUTY, RunTimeEstimate


def test_run_times_are_learned_from_whole_runs() -> None:
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


def test_what_was_learnt_elsewhere_counts_until_something_is_learnt_here() -> None:
    known = RunTimeEstimate()
    assert known.learnt() is None
    known.on_completed(4.0, 40, 40)
    known.on_item_done(4.0, 5.0)
    fresh = RunTimeEstimate()
    learnt = known.learnt()
    assert learnt is not None
    fresh.begin_with(learnt)
    assert fresh.remaining_seconds(item("job", events=30)) == 1.0
    assert fresh.duty == known.duty
    fresh.on_completed(8.0, 40, 40)
    held = fresh.event_seconds
    fresh.begin_with(learnt)
    assert fresh.event_seconds == held


def test_the_duty_is_bounded() -> None:
    estimate = RunTimeEstimate()
    for _ in range(200):
        estimate.on_item_done(0.1, 50.0)
    assert abs(estimate.duty - MIN_DUTY) < 0.01
    for _ in range(200):
        estimate.on_item_done(9.0, 5.0)
    assert 0.99 < estimate.duty <= 1.0
