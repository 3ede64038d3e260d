"""A request that can no longer be refused waits for capacity while it has time.

Guards against a stream that is cut although it has time left. In one case it was closed 0.7 s after
its arrival, with 4.3 s left: its engine failed after the first events, the next two engines
rejected it as full, and 31 ms after the second rejection the daemon closed the connection. A
request was ended as soon as no engine was left to try. That is right for a request that has not
run, as it is refused with a time after which to retry. A stream that was delivered in part could
only be cut, although full engines have a free slot a tenth of a second later. The tests cover each
cause: no untried engine, rejections, and a spent retry budget.
"""

import pytest

from tests.decisions.forwarding.harness import ForwardingHarness, arrival, route
from troutswitch.decisions.forwarding.messages import (
    CallerGone,
    FinishRequest,
    LogLine,
    SendRequest,
)
from troutswitch.outcomes import AttemptOutcome, Cut, MayHaveRun, NotRun

MAX_RETRY_DELAY_SECONDS = 0.5
"""Maximum time until a waiting stream is sent again: several retry intervals."""


def cut_after_events(
    harness: ForwardingHarness, rejections: int
) -> tuple[ForwardingHarness, float]:
    """Cuts a stream after three events, then rejects it as full; returns the time."""
    sent = harness.arrive(0.0, arrival(1))
    assert isinstance(sent, SendRequest)
    now = 0.1
    instruction = harness.end(now, sent, AttemptOutcome.CUT, position="3", delivered=3)
    for _ in range(rejections):
        assert isinstance(instruction, SendRequest), instruction
        now += 0.02
        instruction = harness.end(
            now, instruction, AttemptOutcome.REFUSED, position="3", delivered=3
        )
    assert not isinstance(instruction, FinishRequest), "cut with time left"
    return harness, now


def next_attempt(harness: ForwardingHarness, since: float) -> SendRequest | None:
    """Runs timers until the request is sent; returns None if it is not sent in time."""
    now = since
    while now < since + MAX_RETRY_DELAY_SECONDS:
        now = max(now + 0.001, harness.requests.next_due())
        for instruction in harness.requests.on_timer(now):
            assert not isinstance(instruction, FinishRequest)
            if isinstance(instruction, SendRequest):
                return instruction
    return None


def test_cut_stream_waits_while_all_engines_are_full() -> None:
    harness, now = cut_after_events(ForwardingHarness(route(attempts=3), engines=3), 2)
    next_sent = next_attempt(harness, now)
    assert next_sent is not None
    assert next_sent.resume_after == "3"


def test_rejections_beyond_the_maximum_do_not_cut_a_stream() -> None:
    harness, now = cut_after_events(ForwardingHarness(route(attempts=2), engines=8), 4)
    assert next_attempt(harness, now) is not None


def test_rejections_do_not_use_the_retry_budget() -> None:
    harness = ForwardingHarness(route(attempts=2), engines=3)
    harness.requests._budget._credit["s"] = 1.0
    cut_after_events(harness, 2)


def test_stream_waits_while_the_retry_budget_is_spent() -> None:
    harness = ForwardingHarness(route(attempts=3), engines=3)
    harness.requests._budget._credit["s"] = 0.0
    harness, now = cut_after_events(harness, 0)
    assert next_attempt(harness, now) is None
    harness.requests._budget._credit["s"] = 1.0
    assert next_attempt(harness, now + MAX_RETRY_DELAY_SECONDS) is not None


def test_stream_resumes_at_the_only_engine() -> None:
    harness, now = cut_after_events(ForwardingHarness(route(attempts=3), engines=1), 0)
    assert next_attempt(harness, now) is not None


def test_request_that_has_not_run_is_refused_immediately() -> None:
    harness = ForwardingHarness(route(attempts=3), engines=2)
    sent = harness.arrive(0.0, arrival(1))
    assert isinstance(sent, SendRequest)
    second = harness.end(0.02, sent, AttemptOutcome.REFUSED)
    assert isinstance(second, SendRequest)
    refused = harness.end(0.04, second, AttemptOutcome.REFUSED)
    assert isinstance(refused, FinishRequest)
    assert isinstance(refused.outcome, NotRun)
    assert refused.outcome.retry_after


@pytest.mark.parametrize(("delivered", "outcome"), [(3, Cut), (0, MayHaveRun)])
def test_request_without_capacity_ends_at_its_deadline(delivered: int, outcome: type) -> None:
    harness = ForwardingHarness(route(attempts=3), engines=1)
    sent = harness.arrive(0.0, arrival(1, time_left=1.0))
    assert isinstance(sent, SendRequest)
    instruction = harness.end(0.1, sent, AttemptOutcome.CUT, position="3", delivered=delivered)
    now = 0.1
    while not isinstance(instruction, FinishRequest):
        if instruction is not None:
            now += 0.02
            instruction = harness.end(now, instruction, AttemptOutcome.REFUSED, delivered=delivered)
            continue
        now = max(now + 0.001, harness.requests.next_due())
        found = harness.requests.on_timer(now)
        instruction = next((i for i in found if isinstance(i, SendRequest | FinishRequest)), None)
    assert isinstance(instruction.outcome, outcome)
    assert 0.9 <= now <= 1.0
    assert harness.requests.requests == {}


def test_waiting_request_is_not_sent_after_its_caller_disconnects() -> None:
    """The caller of a stream that can't be refused disconnects while it waits for capacity."""
    harness = ForwardingHarness(route(attempts=3), engines=3)
    harness.requests._budget._credit["s"] = 0.0
    harness, now = cut_after_events(harness, 0)
    instructions = harness.requests.on_caller_gone(now, CallerGone(1, now))
    (line,) = [i for i in instructions if isinstance(i, LogLine) and i.event == "caller gone"]
    assert line.fields["state"] == "waiting for capacity"
    harness.requests._budget._credit["s"] = 1.0
    assert next_attempt(harness, now + MAX_RETRY_DELAY_SECONDS) is None
    assert harness.requests.requests == {}
