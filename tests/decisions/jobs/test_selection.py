import random

from tests.decisions.forwarding.worlds import engine
from troutswitch.decisions.forwarding.engines import NO_SIZE, Engine, EngineRegistry
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.types import (
    Backend,
    FleetConfiguration,
    RequestLimits,
    Route,
    RouteKind,
)
from troutswitch.decisions.jobs.batch_capacity import BatchCapacityPolicy, ShareCapacity
from troutswitch.decisions.jobs.index import JobIndex
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.messages import OutputEvent
from troutswitch.decisions.jobs.order import BatchCapacity, ItemOrder, LeastSlack
from troutswitch.decisions.jobs.records import JobItem, Manifest, manifest_record
from troutswitch.decisions.jobs.run_time_estimate import DUTY_LEAST, RunTimeEstimate
from troutswitch.decisions.jobs.selection import ItemSelection

OBJECTIVE_SECONDS = 20.0
ROUTE = Route(
    "route",
    "host",
    "/p/",
    RouteKind.JOBS,
    (Backend("service", 1.0),),
    30.0,
    0.5,
    3,
    completion_target=OBJECTIVE_SECONDS,
)


def item(job_id: str, number: int = 0, events: int = 0) -> ItemProgress:
    held = JobItem(f"{job_id}-{number}", "/p/", (), b"", 100)
    progress = ItemProgress(0, job_id, held, number)
    if events:
        progress.add((OutputEvent(str(events), "text"),))
    return progress


def selection(
    seen: dict[str, float],
    room: BatchCapacityPolicy | None = None,
    order: ItemOrder | None = None,
) -> ItemSelection:
    routes = RouteTable()
    routes.replace(FleetConfiguration(1, (ROUTE,), {}, RequestLimits()))
    index = JobIndex()
    for job_id, at in seen.items():
        index.take(at, manifest_record(Manifest(job_id, "route", "host", 2, 200, "d", 0)))
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a", service="service", slots=12)])
    return ItemSelection(
        routes,
        registry,
        index,
        random.Random(1),
        "z",
        room or ShareCapacity(),
        order or LeastSlack(),
    )


def most_urgent_first(
    chosen: ItemSelection, now: float, items: list[ItemProgress]
) -> list[ItemProgress]:
    chosen.begin_look(now, items, BatchCapacity(1.0, 1.0))
    return chosen.most_urgent_first(items)


def least_urgent(
    chosen: ItemSelection, now: float, items: list[ItemProgress], count: int
) -> list[ItemProgress]:
    chosen.begin_look(now, items, BatchCapacity(1.0, 1.0))
    return chosen.least_urgent(items, count)


def test_the_pace_is_learned_from_whole_runs() -> None:
    pace = RunTimeEstimate()
    assert pace.seconds_left(item("job")) == 0.0
    pace.on_completed(4.0, 40, 40)
    assert pace.seconds_left(item("job")) == 4.0
    assert pace.seconds_left(item("job", events=30)) == 1.0
    assert pace.seconds_left(item("job", events=99)) == 0.0


def test_a_run_that_went_on_elsewhere_tells_its_own_pace() -> None:
    pace = RunTimeEstimate()
    pace.on_completed(1.0, 10, 40)
    assert pace.event_seconds == 0.1
    assert pace.item_events == 40


def test_what_was_learnt_elsewhere_counts_until_something_is_learnt_here() -> None:
    known = RunTimeEstimate()
    assert known.learnt() is None
    known.on_completed(4.0, 40, 40)
    known.on_item_done(4.0, 5.0)
    fresh = RunTimeEstimate()
    learnt = known.learnt()
    assert learnt is not None
    fresh.begin_with(learnt)
    assert fresh.seconds_left(item("job", events=30)) == 1.0
    assert fresh.duty == known.duty
    fresh.on_completed(8.0, 40, 40)
    held = fresh.event_seconds
    fresh.begin_with(learnt)
    assert fresh.event_seconds == held


def test_the_duty_is_bounded() -> None:
    pace = RunTimeEstimate()
    for _ in range(200):
        pace.on_item_done(0.1, 50.0)
    assert abs(pace.duty - DUTY_LEAST) < 0.01
    for _ in range(200):
        pace.on_item_done(9.0, 5.0)
    assert 0.99 < pace.duty <= 1.0


def test_the_job_that_is_due_first_goes_first() -> None:
    chosen = selection({"old": 0.0, "new": 5.0})
    ordered = most_urgent_first(chosen, 6.0, [item("new"), item("old")])
    assert [progress.job_id for progress in ordered] == ["old", "new"]


def test_an_item_that_cannot_be_in_time_waits_for_one_that_can() -> None:
    chosen = selection({"old": 0.0, "new": 5.0})
    chosen.pace.on_completed(6.0, 60, 60)
    ordered = most_urgent_first(chosen, 15.0, [item("old"), item("new")])
    assert [progress.job_id for progress in ordered] == ["new", "old"]
    nearly_done = item("old", 1, events=52)
    hopeless = item("old")
    ordered = most_urgent_first(chosen, 16.0, [hopeless, item("new"), nearly_done])
    assert [progress.job_id for progress in ordered] == ["new", "old", "old"]
    assert ordered[1] is nearly_done
    assert least_urgent(chosen, 16.0, [hopeless, nearly_done], 1) == [hopeless]


def test_of_one_job_the_item_with_most_left_goes_first_and_yields_last() -> None:
    chosen = selection({"job": 0.0})
    chosen.pace.on_completed(6.0, 60, 60)
    items = [item("job", 0, events=50), item("job", 1), item("job", 2, events=20)]
    assert [p.number for p in most_urgent_first(chosen, 1.0, items)] == [1, 2, 0]
    assert [p.number for p in least_urgent(chosen, 1.0, items, 1)] == [0]
    assert len(least_urgent(chosen, 1.0, items, 9)) == 3


def any_engine(now: float, held: Engine) -> bool:
    return True


def test_an_item_goes_only_to_an_engine_that_is_open() -> None:
    chosen = selection({"job": 0.0})
    chosen.begin_look(1.0, [], BatchCapacity(1.0, 1.0))
    entry = chosen._index.jobs["job"]
    assert chosen.choose(1.0, ROUTE, item("job"), entry, any_engine) is not None
    assert chosen.choose(1.0, ROUTE, item("job"), entry, lambda now, held: False) is None


def test_a_place_is_used_only_at_an_engine_of_the_item_s_route() -> None:
    chosen = selection({"job": 0.0})
    assert chosen.may_run_at(ROUTE, item("job"), Engine(engine("b", service="service")))
    assert not chosen.may_run_at(ROUTE, item("job"), Engine(engine("b", service="other")))


def test_a_look_starts_only_this_daemon_s_part_of_the_room() -> None:
    chosen = selection({"job": 0.0})
    entry = chosen._index.jobs["job"]
    started = 0
    for _ in range(400):
        chosen.begin_look(1.0, [], BatchCapacity(1.0, 1.0))
        chosen.share_room(1 / 4)
        sent = 0
        while chosen.choose(1.0, ROUTE, item("job"), entry, any_engine) is not None:
            chosen.on_started("a")
            chosen._engines.on_sent(1.0, "a", True, NO_SIZE)
            sent += 1
        for _ in range(sent):
            chosen._engines.on_stopped(1.0, "a", NO_SIZE, begun=True)
        started += sent
    assert 2.3 < started / 400 < 2.7  # 10 free slots, shared by 4 daemons
