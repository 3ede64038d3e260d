"""Admission policies: requests that would be late are deferred once, and their retry is sent."""

import itertools
import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.decisions.forwarding.harness import ForwardingHarness, arrival, engine
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


def engines_with_online(*online: int) -> list[Engine]:
    """Returns engines with eight slots, each with a number of online requests sent just now."""
    engines = [Engine(engine(f"s{n}")) for n in range(len(online))]
    for loaded_engine, count in zip(engines, online, strict=True):
        loaded_engine.change_peers_online(0.0, count)
    return engines


def admission_request(
    time_left: float = TIME_LEFT_SECONDS, is_resumed: bool = False
) -> AdmissionRequest:
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


def test_requests_are_sent_while_any_engine_has_a_free_slot() -> None:
    assert decide(DeferLate(), admission_request(), engines_with_online(30, 7)) is None


def test_request_late_at_every_engine_is_deferred_with_the_shortest_wait() -> None:
    deferral = decide(DeferLate(), admission_request(), engines_with_online(16, 14))
    assert deferral is not None
    assert deferral.estimate.slots == 8
    assert deferral.estimate.queued == 7
    assert deferral.estimate.wait > OBJECTIVE_SECONDS
    longest = TIME_LEFT_SECONDS * MAX_RETRY_AFTER_SHARE
    assert longest * MIN_RETRY_AFTER_SHARE <= deferral.retry_after <= longest


def test_request_is_sent_to_a_free_slot_even_if_engines_are_slow() -> None:
    slow = ServiceTimes(first_event=4.0, slot_time=9.0)
    policy = DeferLate()
    assert decide(policy, admission_request(), engines_with_online(7), slow) is None
    assert decide(policy, admission_request(), engines_with_online(8), slow) is not None


def test_batch_items_do_not_count_as_they_are_preempted() -> None:
    engines = engines_with_online(0)
    engines[0].batch_in_flight = 20
    assert decide(DeferLate(), admission_request(), engines) is None


def test_retried_or_resumed_request_is_sent_whatever_the_wait() -> None:
    policy = DeferLate()
    full = engines_with_online(20, 20)
    assert decide(policy, admission_request(), full) is not None
    assert decide(policy, admission_request(time_left=3.6), full) is None
    assert decide(policy, admission_request(is_resumed=True), full) is None
    assert decide(policy, admission_request(), full) is not None


def test_requests_refused_together_get_retry_times_spaced_by_expected_free_slots() -> None:
    policy = HoldLate()
    unservable = admission_request(time_left=0.7)
    refused = [decide(policy, unservable, engines_with_online(16, 14)) for _ in range(5)]
    retry_times = [deferral.retry_after for deferral in refused if deferral is not None]
    assert len(retry_times) == 5
    assert refused[0] is not None
    assert retry_times[0] == refused[0].estimate.wait
    steps = [later - earlier for earlier, later in itertools.pairwise(retry_times)]
    assert all(abs(step - TIMES.slot_time / 8) < 1e-9 for step in steps)


def test_number_of_remembered_client_timeouts_is_bounded() -> None:
    policy = DeferLate()
    for number in range(2 * MAX_REMEMBERED_ROUTES):
        decide(policy, replace(admission_request(), route=f"r{number}"), engines_with_online(0))
        decide(policy, admission_request(), engines_with_online(0))
    assert len(policy.client_timeouts) == MAX_REMEMBERED_ROUTES
    assert "r" in policy.client_timeouts


def test_requests_are_sent_before_run_times_are_known() -> None:
    policy = DeferLate()
    unknown = ServiceTimes()
    assert decide(policy, admission_request(), engines_with_online(30), unknown) is None
    assert decide(AdmitAll(), admission_request(), engines_with_online(30)) is None


def test_queued_request_does_not_change_the_mean_time_to_first_event() -> None:
    times = RunTimes()
    times.on_completed("s", 0.06, 0.7, was_queued=False)
    times.on_completed("s", 0.5, 1.14, was_queued=True)
    assert times.of("s").first_event == 0.06
    assert abs(times.of("s").slot_time - 0.7) < 1e-9


# Admission as part of the forwarding decisions.


def fill(harness: ForwardingHarness, requests: int) -> list[SendRequest]:
    """Sends some requests, after three that complete and set the run times."""
    for token in range(3):
        sent = harness.arrive(0.0, arrival(token, time_left=TIME_LEFT_SECONDS))
        assert isinstance(sent, SendRequest)
        harness.requests.on_answer_begun(0.06, AnswerBegun(token, sent.attempt, None))
        harness.end(0.64, sent, AttemptOutcome.COMPLETED, delivered=31)
    instructions = [
        harness.arrive(1.0, arrival(token, time_left=TIME_LEFT_SECONDS))
        for token in range(10, 10 + requests)
    ]
    return [i for i in instructions if isinstance(i, SendRequest)]


def test_deferred_request_gets_not_run_with_retry_after() -> None:
    harness = ForwardingHarness(engines=1)
    sent = fill(harness, 40)
    assert 8 <= len(sent) < 40
    refused = harness.arrive(1.0, arrival(900, time_left=TIME_LEFT_SECONDS))
    assert isinstance(refused, FinishRequest)
    assert isinstance(refused.outcome, NotRun)
    assert refused.outcome.status == 503
    assert refused.outcome.retry_after is not None
    assert refused.outcome.retry_after <= TIME_LEFT_SECONDS * MAX_RETRY_AFTER_SHARE
    assert 900 not in harness.requests.requests
    back = harness.arrive(2.0, arrival(901, time_left=TIME_LEFT_SECONDS - 1.0))
    assert isinstance(back, SendRequest)


def test_log_line_of_deferred_request_names_the_admitted_version() -> None:
    harness = ForwardingHarness(engines=1)
    fill(harness, 40)
    instructions = harness.requests.on_arrived(1.0, arrival(900, time_left=TIME_LEFT_SECONDS))
    (line,) = [
        row for row in instructions if isinstance(row, LogLine) and row.event == "request deferred"
    ]
    assert line.fields["admitted_version"] == line.fields["configuration_version"] == 1


def test_answer_without_events_does_not_change_run_times() -> None:
    harness = ForwardingHarness(engines=1)
    sent = harness.arrive(0.0, arrival(1))
    assert isinstance(sent, SendRequest)
    harness.requests.on_answer_begun(0.003, AnswerBegun(1, sent.attempt, None))
    harness.end(0.003, sent, AttemptOutcome.COMPLETED)
    assert harness.requests.learned_times().times == {}


def test_without_the_policy_all_join_the_queue() -> None:
    harness = ForwardingHarness(engines=1)
    harness.requests = ForwardedRequests(
        "z", harness.routes, harness.engines, random.Random(1), "prefix_aware", "admit_all"
    )
    assert len(fill(harness, 40)) == 40


@DETERMINISTIC
@given(st.lists(st.tuples(st.integers(0, 3), st.floats(0.2, 5.0)), max_size=60))
def test_every_request_is_sent_or_refused_and_leaves_no_counts(
    steps: list[tuple[int, float]],
) -> None:
    harness = ForwardingHarness(engines=2)
    running = fill(harness, 0)
    now = 1.0
    for token, (kind, time_left) in enumerate(steps, start=100):
        now += 0.01
        if kind == 0 and running:
            harness.end(now, running.pop(0), AttemptOutcome.COMPLETED, delivered=31)
            continue
        instruction = harness.arrive(now, arrival(token, time_left=time_left))
        if isinstance(instruction, SendRequest):
            running.append(instruction)
        else:
            assert isinstance(instruction.outcome, NotRun)
    for sent in running:
        harness.end(now + 0.1, sent, AttemptOutcome.COMPLETED, delivered=31)
    assert not harness.requests.requests
    assert all(e.online_in_flight == 0 for e in harness.engines.engines.values())
