"""A request that would be late waits for a free slot."""

import random

from tests.decisions.forwarding.test_admission import TIME_LEFT_SECONDS, fill
from tests.decisions.forwarding.worlds import World, arrival
from troutswitch.decisions.forwarding.admission import (
    ADMISSION_POLICIES,
    MAX_DELAY_SHARE,
    SEND_MARGIN_SECONDS,
    AdmissionRequest,
)
from troutswitch.decisions.forwarding.messages import (
    AnswerBegun,
    FinishRequest,
    LogLine,
    SendRequest,
)
from troutswitch.decisions.forwarding.requests import ForwardedRequests
from troutswitch.decisions.forwarding.retry import CAPACITY_RETRY_SECONDS
from troutswitch.decisions.forwarding.run_times import ServiceTimes
from troutswitch.outcomes import AttemptOutcome, NotRun

HELD_SECONDS = 0.64
"""Time for which the requests that `fill` sends have their slots."""


def full_world() -> tuple[World, list[SendRequest]]:
    """Returns a world of one engine whose queue is too long for a new request."""
    world = World(engines=1)
    world.requests = ForwardedRequests(
        "z", world.routes, world.engines, random.Random(1), "prefix_aware", "hold_late"
    )
    running = fill(world, 0)
    for token in range(10, 60):
        made = world.requests.on_arrived(1.0, arrival(token, time_left=TIME_LEFT_SECONDS))
        running += [given for given in made if isinstance(given, SendRequest)]
        if not any(isinstance(given, SendRequest) for given in made):
            break
    for sent in running:
        world.requests.on_answer_begun(1.05, AnswerBegun(sent.token, sent.attempt, None))
    return world, running


def held(world: World) -> list[int]:
    return [token for token, r in world.requests.requests.items() if r.retry_at < 1e9]


def test_a_late_request_waits_here_and_gets_the_slot_that_is_free_first() -> None:
    world, running = full_world()
    (late,) = held(world)
    assert len(running) >= 8
    assert world.requests.on_timer(1.0 + CAPACITY_RETRY_SECONDS) == []
    for sent in running:
        world.end(1.2, sent, AttemptOutcome.COMPLETED, delivered=31)
    (sent,) = [m for m in world.requests.on_timer(1.3) if isinstance(m, SendRequest)]
    assert sent.token == late


def test_a_new_request_that_can_be_in_time_goes_before_one_that_is_late() -> None:
    world, running = full_world()
    for sent in running[7:]:
        world.end(1.2, sent, AttemptOutcome.COMPLETED, delivered=31)
    new = world.arrive(1.25, arrival(900, time_left=TIME_LEFT_SECONDS))
    assert isinstance(new, SendRequest)
    made = world.requests.on_timer(1.3)
    assert not any(isinstance(given, SendRequest) for given in made)


def test_a_wait_is_logged_once_also_of_one_that_came_back_late() -> None:
    world, _ = full_world()
    made = world.requests.on_arrived(1.0, arrival(900, time_left=TIME_LEFT_SECONDS - 1.0))
    assert [given.event for given in made if isinstance(given, LogLine)] == [
        "request waits for capacity"
    ]
    again = world.requests.on_timer(1.0 + CAPACITY_RETRY_SECONDS)
    assert not [given for given in again if isinstance(given, LogLine)]


def sent_at(world: World, token: int) -> float:
    """Returns when a held request is sent although no slot gets free."""
    now = 1.0
    while now < 1.0 + TIME_LEFT_SECONDS:
        now += 0.05
        made = world.requests.on_timer(now)
        if any(isinstance(m, SendRequest) and m.token == token for m in made):
            return now
    return now


def test_a_held_request_is_sent_before_its_caller_leaves() -> None:
    world, _ = full_world()
    (late,) = held(world)
    held_most = TIME_LEFT_SECONDS * MAX_DELAY_SHARE
    assert held_most <= sent_at(world, late) - 1.0 <= held_most + 2 * CAPACITY_RETRY_SECONDS


def test_a_held_request_is_sent_while_it_can_still_end_before_its_deadline() -> None:
    world, _ = full_world()
    world.requests.on_arrived(1.0, arrival(900, time_left=1.9))
    assert 900 in held(world)
    assert (
        sent_at(world, 900)
        <= 1.0 + 1.9 - HELD_SECONDS - SEND_MARGIN_SECONDS + CAPACITY_RETRY_SECONDS
    )


def test_what_is_late_only_by_the_time_to_the_first_event_is_sent() -> None:
    policy = ADMISSION_POLICIES["hold_late"]()
    times = ServiceTimes(first_event=0.1, slot_time=HELD_SECONDS)
    assert policy.longest_wait(AdmissionRequest("r", 0.3, 5.0, False), times) == 0.3
    assert policy.longest_wait(AdmissionRequest("r", 0.3, 4.9, False), times) < 0.21
    assert policy.longest_wait(AdmissionRequest("r", 0.3, 4.7, False), times) == 0.0


def test_what_cannot_end_before_its_deadline_is_refused_at_once() -> None:
    world, _ = full_world()
    refused = world.arrive(1.0, arrival(900, time_left=0.6))
    assert isinstance(refused, FinishRequest)
    assert isinstance(refused.outcome, NotRun)
    assert refused.outcome.retry_after is not None


def test_a_caller_that_came_back_is_late_by_its_wait_so_far() -> None:
    world, running = full_world()
    for sent in running[7:]:
        world.end(1.2, sent, AttemptOutcome.COMPLETED, delivered=31)
    first = world.arrive(1.25, arrival(900, time_left=TIME_LEFT_SECONDS))
    assert isinstance(first, SendRequest)
    world.requests.on_arrived(1.26, arrival(901, time_left=TIME_LEFT_SECONDS - 1.0))
    assert 901 in held(world)
