"""Requests that would be late are asked to come back, once."""

import itertools
import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.decisions.forwarding.worlds import World, arrival, engine
from troutswitch.decisions.forwarding.admission import (
    MAX_REMEMBERED_ROUTES,
    MAX_RETRY_AFTER_SHARE,
    MIN_RETRY_AFTER_SHARE,
    AdmissionPolicy,
    AdmissionRequest,
    AdmitAll,
    DeferLate,
    Deferral,
    HoldLate,
)
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.messages import (
    AnswerBegun,
    FinishRequest,
    LogLine,
    SendRequest,
)
from troutswitch.decisions.forwarding.requests import ForwardedRequests
from troutswitch.decisions.forwarding.run_times import RunTimes, ServiceTimes
from troutswitch.decisions.forwarding.wait_estimate import shortest_wait
from troutswitch.outcomes import AttemptOutcome, NotRun

TIMES = ServiceTimes(first_event=0.06, slot_time=0.64)
OBJECTIVE_SECONDS = 0.3
TIME_LEFT_SECONDS = 5.0
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=150)


def held_engines(*online: int) -> list[Engine]:
    """Returns engines of eight slots with some online requests each, sent just now."""
    engines = [Engine(engine(f"s{n}")) for n in range(len(online))]
    for held, count in zip(engines, online, strict=True):
        held.change_peers_online(0.0, count)
    return engines


def asked(time_left: float = TIME_LEFT_SECONDS, is_resumed: bool = False) -> AdmissionRequest:
    return AdmissionRequest("r", OBJECTIVE_SECONDS, time_left, is_resumed)


def decide(
    policy: AdmissionPolicy,
    request: AdmissionRequest,
    engines: list[Engine],
    times: ServiceTimes = TIMES,
) -> Deferral | None:
    longest_wait = policy.longest_wait(request, times)
    best = shortest_wait(0.0, engines, times)
    if best is None or best.wait <= longest_wait:
        return None
    retry_after = policy.retry_after(0.0, request.time_left, best, random.Random(1))
    return Deferral(retry_after, best)


def test_while_any_engine_has_a_slot_all_are_sent() -> None:
    assert decide(DeferLate(), asked(), held_engines(30, 7)) is None


def test_what_would_be_late_at_every_engine_is_deferred_with_its_figures() -> None:
    deferral = decide(DeferLate(), asked(), held_engines(16, 14))
    assert deferral is not None
    assert deferral.estimate.slots == 8
    assert deferral.estimate.queued == 7
    assert deferral.estimate.wait > OBJECTIVE_SECONDS
    longest = TIME_LEFT_SECONDS * MAX_RETRY_AFTER_SHARE
    assert longest * MIN_RETRY_AFTER_SHARE <= deferral.retry_after <= longest


def test_a_free_slot_is_used_however_slow_the_engines_are() -> None:
    slow = ServiceTimes(first_event=4.0, slot_time=9.0)
    policy = DeferLate()
    assert decide(policy, asked(), held_engines(7), slow) is None
    assert decide(policy, asked(), held_engines(8), slow) is not None


def test_batch_items_do_not_count_as_they_yield() -> None:
    engines = held_engines(0)
    engines[0].batch_in_flight = 20
    assert decide(DeferLate(), asked(), engines) is None


def test_one_that_came_back_or_goes_on_is_sent_whatever_the_wait() -> None:
    policy = DeferLate()
    full = held_engines(20, 20)
    assert decide(policy, asked(), full) is not None
    assert decide(policy, asked(time_left=3.6), full) is None
    assert decide(policy, asked(is_resumed=True), full) is None
    assert decide(policy, asked(), full) is not None


def test_those_refused_together_retry_after_in_order_as_room_is_expected() -> None:
    policy = HoldLate()
    unservable = asked(time_left=0.7)
    refused = [decide(policy, unservable, held_engines(16, 14)) for _ in range(5)]
    turns = [deferral.retry_after for deferral in refused if deferral is not None]
    assert len(turns) == 5
    assert refused[0] is not None
    assert turns[0] == refused[0].estimate.wait
    steps = [late - early for early, late in itertools.pairwise(turns)]
    assert all(abs(step - TIMES.slot_time / 8) < 1e-9 for step in steps)


def test_the_patience_of_few_routes_is_remembered() -> None:
    policy = DeferLate()
    for number in range(2 * MAX_REMEMBERED_ROUTES):
        decide(policy, replace(asked(), route=f"r{number}"), held_engines(0))
        decide(policy, asked(), held_engines(0))
    assert len(policy.client_timeouts) == MAX_REMEMBERED_ROUTES
    assert "r" in policy.client_timeouts


def test_before_anything_is_learnt_all_are_sent() -> None:
    policy = DeferLate()
    unknown = ServiceTimes()
    assert decide(policy, asked(), held_engines(30), unknown) is None
    assert decide(AdmitAll(), asked(), held_engines(30)) is None


def test_the_times_of_those_that_waited_do_not_count_as_first_times() -> None:
    times = RunTimes()
    times.on_completed("s", 0.06, 0.7, was_queued=False)
    times.on_completed("s", 0.5, 1.14, was_queued=True)
    assert times.of("s").first_event == 0.06
    assert abs(times.of("s").slot_time - 0.7) < 1e-9


# In the forwarding decisions.


def fill(world: World, requests: int) -> list[SendRequest]:
    """Sends requests until all slots and some more are taken; the first ones teach times."""
    for token in range(3):
        sent = world.arrive(0.0, arrival(token, time_left=TIME_LEFT_SECONDS))
        assert isinstance(sent, SendRequest)
        world.requests.on_answer_begun(0.06, AnswerBegun(token, sent.attempt, None))
        world.end(0.64, sent, AttemptOutcome.COMPLETED, delivered=31)
    given_out = [
        world.arrive(1.0, arrival(token, time_left=TIME_LEFT_SECONDS))
        for token in range(10, 10 + requests)
    ]
    return [made for made in given_out if isinstance(made, SendRequest)]


def test_a_deferred_request_is_told_that_it_was_not_run_and_when_to_retry_after() -> None:
    world = World(engines=1)
    sent = fill(world, 40)
    assert 8 <= len(sent) < 40
    refused = world.arrive(1.0, arrival(900, time_left=TIME_LEFT_SECONDS))
    assert isinstance(refused, FinishRequest)
    assert isinstance(refused.outcome, NotRun)
    assert refused.outcome.status == 503
    assert refused.outcome.retry_after is not None
    assert refused.outcome.retry_after <= TIME_LEFT_SECONDS * MAX_RETRY_AFTER_SHARE
    assert 900 not in world.requests.requests
    back = world.arrive(2.0, arrival(901, time_left=TIME_LEFT_SECONDS - 1.0))
    assert isinstance(back, SendRequest)


def test_a_deferred_request_s_line_has_the_version_that_it_was_admitted_by() -> None:
    world = World(engines=1)
    fill(world, 40)
    made = world.requests.on_arrived(1.0, arrival(900, time_left=TIME_LEFT_SECONDS))
    (line,) = [row for row in made if isinstance(row, LogLine) and row.event == "request deferred"]
    assert line.fields["admitted_version"] == line.fields["configuration_version"] == 1


def test_nothing_is_learnt_of_answers_without_events() -> None:
    world = World(engines=1)
    sent = world.arrive(0.0, arrival(1))
    assert isinstance(sent, SendRequest)
    world.requests.on_answer_begun(0.003, AnswerBegun(1, sent.attempt, None))
    world.end(0.003, sent, AttemptOutcome.COMPLETED)
    assert world.requests.learned_times().times == {}


def test_without_the_policy_all_join_the_queue() -> None:
    world = World(engines=1)
    world.requests = ForwardedRequests(
        "z", world.routes, world.engines, random.Random(1), "prefix_aware", "admit_all"
    )
    assert len(fill(world, 40)) == 40


@DETERMINISTIC
@given(st.lists(st.tuples(st.integers(0, 3), st.floats(0.2, 5.0)), max_size=60))
def test_every_request_is_sent_or_answered_and_ends(steps: list[tuple[int, float]]) -> None:
    world = World(engines=2)
    running = fill(world, 0)
    now = 1.0
    for token, (kind, time_left) in enumerate(steps, start=100):
        now += 0.01
        if kind == 0 and running:
            world.end(now, running.pop(0), AttemptOutcome.COMPLETED, delivered=31)
            continue
        given_out = world.arrive(now, arrival(token, time_left=time_left))
        if isinstance(given_out, SendRequest):
            running.append(given_out)
        else:
            assert isinstance(given_out.outcome, NotRun)
    for sent in running:
        world.end(now + 0.1, sent, AttemptOutcome.COMPLETED, delivered=31)
    assert not world.requests.requests
    assert all(s.online_in_flight == 0 for s in world.engines.engines.values())
