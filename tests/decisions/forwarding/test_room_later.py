"""A request that can no longer be refused waits for room while it has time.

What users saw: a stream was closed in the middle, 0.7 s after it had come, with 4.3 s left.
Order of events: its engine broke off after the first events; the next two engines rejected it
unrun, as full; 31 ms after the second rejection the daemon closed the connection.
Cause: a request was ended at the first moment at which no engine was left to try. For one that
has not run that is right, as it is refused with a time to come back; one that was delivered in
part could only be cut, although engines that are full have room a tenth of a second later.
Evidence: below, each of the ways to that end (no untried engine, rejections, a spent retry
budget) cut the stream at once.
"""

import pytest

from tests.decisions.forwarding.worlds import World, arrival, route
from troutswitch.decisions.forwarding.messages import (
    CallerGone,
    FinishRequest,
    LogLine,
    SendRequest,
)
from troutswitch.outcomes import AttemptOutcome, Cut, MayHaveRun, NotRun

SOON_SECONDS = 0.5
"""Time within which a stream must be offered again; several rests of a full engine."""


def cut_after_events(world: World, engines_full: int) -> tuple[World, float]:
    """Has a stream cut after three events, and then rejected as full; returns the time."""
    sent = world.arrive(0.0, arrival(1))
    assert isinstance(sent, SendRequest)
    now = 0.1
    directive = world.end(now, sent, AttemptOutcome.CUT, position="3", delivered=3)
    for _ in range(engines_full):
        assert isinstance(directive, SendRequest), directive
        now += 0.02
        directive = world.end(now, directive, AttemptOutcome.REFUSED, position="3", delivered=3)
    assert not isinstance(directive, FinishRequest), "cut with time left"
    return world, now


def offered_again(world: World, since: float) -> SendRequest | None:
    """Lets time pass until the request is sent somewhere."""
    now = since
    while now < since + SOON_SECONDS:
        now = max(now + 0.001, world.requests.next_due())
        for instruction in world.requests.on_timer(now):
            assert not isinstance(instruction, FinishRequest)
            if isinstance(instruction, SendRequest):
                return instruction
    return None


def test_a_cut_stream_outlasts_engines_that_are_all_full() -> None:
    world, now = cut_after_events(World(route(attempts=3), engines=3), 2)
    again = offered_again(world, now)
    assert again is not None
    assert again.resume_after == "3"


def test_rejections_beyond_the_most_do_not_cut_a_stream() -> None:
    world, now = cut_after_events(World(route(attempts=2), engines=8), 4)
    assert offered_again(world, now) is not None


def test_rejections_take_nothing_from_the_retry_budget() -> None:
    world = World(route(attempts=2), engines=3)
    world.requests._budget._credit["s"] = 1.0
    cut_after_events(world, 2)


def test_a_spent_retry_budget_makes_a_stream_wait_and_not_end() -> None:
    world = World(route(attempts=3), engines=3)
    world.requests._budget._credit["s"] = 0.0
    world, now = cut_after_events(world, 0)
    assert offered_again(world, now) is None
    world.requests._budget._credit["s"] = 1.0
    assert offered_again(world, now + SOON_SECONDS) is not None


def test_a_stream_goes_on_at_the_only_engine_that_is_left() -> None:
    world, now = cut_after_events(World(route(attempts=3), engines=1), 0)
    assert offered_again(world, now) is not None


def test_a_request_that_ran_nowhere_is_refused_at_once() -> None:
    world = World(route(attempts=3), engines=2)
    sent = world.arrive(0.0, arrival(1))
    assert isinstance(sent, SendRequest)
    second = world.end(0.02, sent, AttemptOutcome.REFUSED)
    assert isinstance(second, SendRequest)
    refused = world.end(0.04, second, AttemptOutcome.REFUSED)
    assert isinstance(refused, FinishRequest)
    assert isinstance(refused.outcome, NotRun)
    assert refused.outcome.retry_after


@pytest.mark.parametrize(("delivered", "outcome"), [(3, Cut), (0, MayHaveRun)])
def test_without_room_it_ends_at_its_deadline(delivered: int, outcome: type) -> None:
    world = World(route(attempts=3), engines=1)
    sent = world.arrive(0.0, arrival(1, time_left=1.0))
    assert isinstance(sent, SendRequest)
    directive = world.end(0.1, sent, AttemptOutcome.CUT, position="3", delivered=delivered)
    now = 0.1
    while not isinstance(directive, FinishRequest):
        if directive is not None:
            now += 0.02
            directive = world.end(now, directive, AttemptOutcome.REFUSED, delivered=delivered)
            continue
        now = max(now + 0.001, world.requests.next_due())
        found = world.requests.on_timer(now)
        directive = next((i for i in found if isinstance(i, SendRequest | FinishRequest)), None)
    assert isinstance(directive.outcome, outcome)
    assert 0.9 <= now <= 1.0
    assert world.requests.requests == {}


def test_a_caller_that_leaves_while_it_waits_for_room_is_offered_no_more() -> None:
    """A stream that could not be refused waited for room, and its caller left meanwhile."""
    world = World(route(attempts=3), engines=3)
    world.requests._budget._credit["s"] = 0.0
    world, now = cut_after_events(world, 0)
    made = world.requests.on_caller_gone(now, CallerGone(1, now))
    (line,) = [i for i in made if isinstance(i, LogLine) and i.event == "caller gone"]
    assert line.fields["state"] == "waiting for capacity"
    world.requests._budget._credit["s"] = 1.0
    assert offered_again(world, now + SOON_SECONDS) is None
    assert world.requests.requests == {}
