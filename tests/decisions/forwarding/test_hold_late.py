"""Policy `hold_late`: a request that would be late waits for a free slot."""

import random

from tests.decisions.forwarding.harness import ForwardingHarness, arrival
from tests.decisions.forwarding.test_admission import TIME_LEFT_SECONDS, fill
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

SLOT_SECONDS = 0.64
"""Time for which the requests that `fill` sends occupy their slots."""


def saturated_harness() -> tuple[ForwardingHarness, list[SendRequest]]:
    """Returns a harness with one engine, whose queue is too long for a new request."""
    harness = ForwardingHarness(engines=1)
    harness.requests = ForwardedRequests(
        "z", harness.routes, harness.engines, random.Random(1), "prefix_aware", "hold_late"
    )
    running = fill(harness, 0)
    for token in range(10, 60):
        instructions = harness.requests.on_arrived(1.0, arrival(token, time_left=TIME_LEFT_SECONDS))
        running += [i for i in instructions if isinstance(i, SendRequest)]
        if not any(isinstance(i, SendRequest) for i in instructions):
            break
    for sent in running:
        harness.requests.on_answer_begun(1.05, AnswerBegun(sent.token, sent.attempt, None))
    return harness, running


def waiting_tokens(harness: ForwardingHarness) -> list[int]:
    return [token for token, request in harness.requests.requests.items() if request.retry_at < 1e9]


def test_late_request_waits_and_gets_the_first_free_slot() -> None:
    harness, running = saturated_harness()
    (late_token,) = waiting_tokens(harness)
    assert len(running) >= 8
    assert harness.requests.on_timer(1.0 + CAPACITY_RETRY_SECONDS) == []
    for sent in running:
        harness.end(1.2, sent, AttemptOutcome.COMPLETED, delivered=31)
    (sent,) = [i for i in harness.requests.on_timer(1.3) if isinstance(i, SendRequest)]
    assert sent.token == late_token


def test_new_request_that_can_meet_its_objective_precedes_a_late_one() -> None:
    harness, running = saturated_harness()
    for sent in running[7:]:
        harness.end(1.2, sent, AttemptOutcome.COMPLETED, delivered=31)
    new = harness.arrive(1.25, arrival(900, time_left=TIME_LEFT_SECONDS))
    assert isinstance(new, SendRequest)
    instructions = harness.requests.on_timer(1.3)
    assert not any(isinstance(i, SendRequest) for i in instructions)


def test_wait_of_a_late_retry_is_logged_once() -> None:
    harness, _ = saturated_harness()
    instructions = harness.requests.on_arrived(1.0, arrival(900, time_left=TIME_LEFT_SECONDS - 1.0))
    assert [i.event for i in instructions if isinstance(i, LogLine)] == [
        "request waits for capacity"
    ]
    again = harness.requests.on_timer(1.0 + CAPACITY_RETRY_SECONDS)
    assert not [i for i in again if isinstance(i, LogLine)]


def sent_at(harness: ForwardingHarness, token: int) -> float:
    """Returns when a waiting request is sent although no slot becomes free."""
    now = 1.0
    while now < 1.0 + TIME_LEFT_SECONDS:
        now += 0.05
        instructions = harness.requests.on_timer(now)
        if any(isinstance(i, SendRequest) and i.token == token for i in instructions):
            return now
    return now


def test_waiting_request_is_sent_before_its_client_gives_up() -> None:
    harness, _ = saturated_harness()
    (late_token,) = waiting_tokens(harness)
    max_wait = TIME_LEFT_SECONDS * MAX_DELAY_SHARE
    assert max_wait <= sent_at(harness, late_token) - 1.0 <= max_wait + 2 * CAPACITY_RETRY_SECONDS


def test_waiting_request_is_sent_while_it_can_still_end_before_its_deadline() -> None:
    harness, _ = saturated_harness()
    harness.requests.on_arrived(1.0, arrival(900, time_left=1.9))
    assert 900 in waiting_tokens(harness)
    assert (
        sent_at(harness, 900)
        <= 1.0 + 1.9 - SLOT_SECONDS - SEND_MARGIN_SECONDS + CAPACITY_RETRY_SECONDS
    )


def test_request_late_only_by_the_time_to_first_event_is_sent() -> None:
    policy = ADMISSION_POLICIES["hold_late"]()
    times = ServiceTimes(first_event=0.1, slot_time=SLOT_SECONDS)
    assert policy.longest_wait(AdmissionRequest("r", 0.3, 5.0, False), times) == 0.3
    assert policy.longest_wait(AdmissionRequest("r", 0.3, 4.9, False), times) < 0.21
    assert policy.longest_wait(AdmissionRequest("r", 0.3, 4.7, False), times) == 0.0


def test_request_that_cannot_end_before_its_deadline_is_refused_immediately() -> None:
    harness, _ = saturated_harness()
    refused = harness.arrive(1.0, arrival(900, time_left=0.6))
    assert isinstance(refused, FinishRequest)
    assert isinstance(refused.outcome, NotRun)
    assert refused.outcome.retry_after is not None


def test_retry_counts_the_time_since_its_first_try() -> None:
    harness, running = saturated_harness()
    for sent in running[7:]:
        harness.end(1.2, sent, AttemptOutcome.COMPLETED, delivered=31)
    first = harness.arrive(1.25, arrival(900, time_left=TIME_LEFT_SECONDS))
    assert isinstance(first, SendRequest)
    harness.requests.on_arrived(1.26, arrival(901, time_left=TIME_LEFT_SECONDS - 1.0))
    assert 901 in waiting_tokens(harness)
