"""Rejections neither use up a request's attempts nor send it back to an engine that failed it.

What users would see: a stream that stands still until its deadline, and is then cut.
Order of events: its engine falls silent or breaks off; the next ones reject it as full; it waits
and is offered again.
Cause: attempts were counted with rejections, so that the next silent engine was never left; and
after the wait all engines counted as untried, the silent one first, as the others were full.
Evidence: below, the request stayed at a silent engine for the rest of its time.
"""

from tests.decisions.forwarding.worlds import World, arrival, route
from troutswitch.decisions.forwarding.candidates import FULL_EXCLUSION_SECONDS
from troutswitch.decisions.forwarding.messages import FinishRequest, SendRequest
from troutswitch.outcomes import AttemptOutcome


def next_directive(world: World, now: float, until: float) -> tuple[object | None, float]:
    while now < until:
        now = max(now + 0.001, world.requests.next_due())
        made = world.requests.on_timer(now)
        world.requests.validate()
        for instruction in made:
            if isinstance(instruction, SendRequest | FinishRequest):
                return instruction, now
    return None, now


def left_for_silence(world: World) -> tuple[SendRequest, SendRequest, float]:
    """Returns the attempt that was left as its engine fell silent, the next one, and when."""
    first = world.arrive(0.0, arrival(1))
    assert isinstance(first, SendRequest)
    second, now = next_directive(world, 0.0, 3.0)
    assert isinstance(second, SendRequest)
    assert second.engine_id != first.engine_id
    return first, second, now


def test_a_request_does_not_go_back_to_the_engine_that_fell_silent_while_others_are_full() -> None:
    world = World(route(attempts=3), engines=3)
    first, second, now = left_for_silence(world)
    third = world.end(now + 0.01, second, AttemptOutcome.REFUSED)
    assert isinstance(third, SendRequest)
    assert world.end(now + 0.02, third, AttemptOutcome.REFUSED) is None
    again, _ = next_directive(world, now + 0.02, now + 0.02 + 2 * FULL_EXCLUSION_SECONDS)
    assert isinstance(again, SendRequest)
    assert again.engine_id != first.engine_id


def test_a_silent_engine_is_left_also_after_rejections() -> None:
    world = World(route(attempts=3), engines=4)
    _, second, now = left_for_silence(world)
    third = world.end(now + 0.01, second, AttemptOutcome.REFUSED)
    assert isinstance(third, SendRequest)
    fourth = world.end(now + 0.02, third, AttemptOutcome.REFUSED)
    assert isinstance(fourth, SendRequest)
    held = world.requests.requests[1]
    assert held.possible_runs == 1  # two more may run
    again, at = next_directive(world, now + 0.02, 3.9)
    assert isinstance(again, SendRequest), f"it stays at a silent server until {at:.2f} s"


def test_without_rejections_the_silent_engine_is_left() -> None:
    world = World(route(attempts=3), engines=4)
    _, _, now = left_for_silence(world)
    again, at = next_directive(world, now, 3.9)
    assert isinstance(again, SendRequest)
    assert at < 2.0


def test_the_gap_between_events_is_bounded_also_after_rejections() -> None:
    world = World(route(attempts=3), engines=4)
    first = world.arrive(0.0, arrival(1))
    assert isinstance(first, SendRequest)
    second = world.end(0.1, first, AttemptOutcome.CUT, position="3", delivered=3)
    assert isinstance(second, SendRequest)
    third = world.end(0.12, second, AttemptOutcome.REFUSED, delivered=3)
    assert isinstance(third, SendRequest)
    fourth = world.end(0.14, third, AttemptOutcome.REFUSED, delivered=3)
    assert isinstance(fourth, SendRequest)
    assert fourth.gap_wait <= second.gap_wait
