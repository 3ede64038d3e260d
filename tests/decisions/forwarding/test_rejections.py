"""Rejections don't use up a request's attempts, nor return it to an engine that failed on it.

Guards against a stream that stalls until its deadline and is then cut. Its engine falls silent or
cuts it, the next engines reject it as full, and it waits for capacity. Rejections once counted as
attempts, so that the next silent engine was never abandoned. And after the wait all engines counted
as untried; as the others were full, the silent one was chosen first.
"""

from tests.decisions.forwarding.harness import ForwardingHarness, arrival, route
from troutswitch.decisions.forwarding.candidates import FULL_EXCLUSION_SECONDS
from troutswitch.decisions.forwarding.messages import FinishRequest, SendRequest
from troutswitch.outcomes import AttemptOutcome


def next_instruction(
    harness: ForwardingHarness, now: float, until: float
) -> tuple[object | None, float]:
    while now < until:
        now = max(now + 0.001, harness.requests.next_due())
        instructions = harness.requests.on_timer(now)
        harness.requests.validate()
        for instruction in instructions:
            if isinstance(instruction, SendRequest | FinishRequest):
                return instruction, now
    return None, now


def abandon_for_silence(harness: ForwardingHarness) -> tuple[SendRequest, SendRequest, float]:
    """Returns an attempt abandoned for silence, the attempt after it, and the time."""
    first = harness.arrive(0.0, arrival(1))
    assert isinstance(first, SendRequest)
    second, now = next_instruction(harness, 0.0, 3.0)
    assert isinstance(second, SendRequest)
    assert second.engine_id != first.engine_id
    return first, second, now


def test_request_does_not_return_to_the_silent_engine_while_others_are_full() -> None:
    harness = ForwardingHarness(route(attempts=3), engines=3)
    first, second, now = abandon_for_silence(harness)
    third = harness.end(now + 0.01, second, AttemptOutcome.REFUSED)
    assert isinstance(third, SendRequest)
    assert harness.end(now + 0.02, third, AttemptOutcome.REFUSED) is None
    again, _ = next_instruction(harness, now + 0.02, now + 0.02 + 2 * FULL_EXCLUSION_SECONDS)
    assert isinstance(again, SendRequest)
    assert again.engine_id != first.engine_id


def test_silent_engine_is_abandoned_after_rejections() -> None:
    harness = ForwardingHarness(route(attempts=3), engines=4)
    _, second, now = abandon_for_silence(harness)
    third = harness.end(now + 0.01, second, AttemptOutcome.REFUSED)
    assert isinstance(third, SendRequest)
    fourth = harness.end(now + 0.02, third, AttemptOutcome.REFUSED)
    assert isinstance(fourth, SendRequest)
    request = harness.requests.requests[1]
    assert request.possible_runs == 1  # two more may run
    again, sent_at = next_instruction(harness, now + 0.02, 3.9)
    assert isinstance(again, SendRequest), f"it stays at a silent engine until {sent_at:.2f} s"


def test_silent_engine_is_abandoned_without_rejections() -> None:
    harness = ForwardingHarness(route(attempts=3), engines=4)
    _, _, now = abandon_for_silence(harness)
    again, sent_at = next_instruction(harness, now, 3.9)
    assert isinstance(again, SendRequest)
    assert sent_at < 2.0


def test_gap_between_events_is_bounded_after_rejections() -> None:
    harness = ForwardingHarness(route(attempts=3), engines=4)
    first = harness.arrive(0.0, arrival(1))
    assert isinstance(first, SendRequest)
    second = harness.end(0.1, first, AttemptOutcome.CUT, position="3", delivered=3)
    assert isinstance(second, SendRequest)
    third = harness.end(0.12, second, AttemptOutcome.REFUSED, delivered=3)
    assert isinstance(third, SendRequest)
    fourth = harness.end(0.14, third, AttemptOutcome.REFUSED, delivered=3)
    assert isinstance(fourth, SendRequest)
    assert fourth.gap_wait <= second.gap_wait
