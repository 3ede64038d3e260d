import random
from dataclasses import replace

import pytest

from tests.decisions.forwarding.worlds import World, arrival, engine, route
from troutswitch.decisions.crashes.interface import NO_SUSPECTS, NoSuspects
from troutswitch.decisions.forwarding.arrivals import Arrivals
from troutswitch.decisions.forwarding.messages import (
    AbortAttempt,
    AnswerBegun,
    CallerGone,
    EngineActivity,
    FinishRequest,
    SendRequest,
)
from troutswitch.decisions.forwarding.requests import ForwardedRequests
from troutswitch.decisions.forwarding.retry import CAPACITY_RETRY_SECONDS, MIN_TIME_LEFT_SECONDS
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.types import RouteKind
from troutswitch.outcomes import AttemptOutcome, Cut, MayHaveRun, NotRun


def sent(directive: object) -> SendRequest:
    assert isinstance(directive, SendRequest)
    return directive


def finished(directive: object) -> FinishRequest:
    assert isinstance(directive, FinishRequest)
    return directive


def test_before_any_configuration_the_answer_is_not_404() -> None:
    world = World()
    world.requests.arrivals = Arrivals(RouteTable(), NO_SUSPECTS)
    outcome = finished(world.arrive(0.0, arrival(1))).outcome
    assert isinstance(outcome, NotRun)
    assert outcome.status == 503
    assert outcome.retry_after


def test_an_unknown_route_is_404() -> None:
    outcome = finished(World().arrive(0.0, arrival(1, "/b/x"))).outcome
    assert isinstance(outcome, NotRun)
    assert outcome.status == 404


def test_what_an_engine_did_not_run_is_offered_to_another() -> None:
    world = World(route(resumable=False, attempts=1))
    first = sent(world.arrive(0.0, arrival(1)))
    second = sent(world.end(0.1, first, AttemptOutcome.REFUSED))
    assert second.engine_id != first.engine_id


def test_a_request_that_may_have_run_is_not_repeated_unless_allowed() -> None:
    world = World(route(resumable=False, attempts=2))
    first = sent(world.arrive(0.0, arrival(1)))
    outcome = finished(world.end(0.1, first, AttemptOutcome.CUT)).outcome
    assert isinstance(outcome, MayHaveRun)


def test_a_refusal_is_only_given_if_nothing_ran() -> None:
    world = World(route(attempts=2), engines=2)
    first = sent(world.arrive(0.0, arrival(1)))
    second = sent(world.end(0.1, first, AttemptOutcome.CUT))
    directive = world.end(0.2, second, AttemptOutcome.REFUSED)
    now = 0.2
    while not isinstance(directive, FinishRequest):
        if directive is not None:
            directive = world.end(now, directive, AttemptOutcome.REFUSED)
            continue
        now = max(now + 0.001, world.requests.next_due())
        found = world.requests.on_timer(now)
        directive = next((i for i in found if isinstance(i, SendRequest | FinishRequest)), None)
    assert isinstance(directive.outcome, MayHaveRun)
    assert now >= arrival(1).time_left - MIN_TIME_LEFT_SECONDS


def test_a_cut_stream_goes_on_after_its_last_event() -> None:
    world = World()
    first = sent(world.arrive(0.0, arrival(1)))
    second = sent(world.end(0.1, first, AttemptOutcome.CUT, position="7", delivered=7))
    assert second.resume_after == "7"
    assert second.engine_id != first.engine_id


def test_attempts_that_may_have_run_are_bounded() -> None:
    world = World(route(attempts=2), engines=4)
    first = sent(world.arrive(0.0, arrival(1)))
    second = sent(world.end(0.1, first, AttemptOutcome.CUT))
    assert finished(world.end(0.2, second, AttemptOutcome.CUT))


def test_a_cut_stream_that_cannot_go_on_is_never_an_end() -> None:
    world = World(route(resumable=False))
    first = sent(world.arrive(0.0, arrival(1)))
    outcome = finished(world.end(0.1, first, AttemptOutcome.CUT, position="3", delivered=3)).outcome
    assert isinstance(outcome, Cut)


@pytest.mark.parametrize(("deadline", "limit"), [(1.0, 5.0), (5.0, 1.0)])
def test_the_final_answer_comes_at_the_deadline_or_the_limit(deadline: float, limit: float) -> None:
    world = World(route(time_limit=limit, resumable=False))
    sent(world.arrive(0.0, arrival(1, time_left=deadline)))
    assert world.requests.on_timer(0.99) == []
    assert world.requests.next_due() <= 1.0
    instructions = world.requests.on_timer(1.0)
    assert any(isinstance(i, AbortAttempt) for i in instructions)
    assert any(isinstance(i, FinishRequest) for i in instructions)
    assert world.requests.requests == {}


def test_a_caller_that_left_stops_the_engine() -> None:
    world = World()
    first = sent(world.arrive(0.0, arrival(1)))
    instructions = world.requests.on_caller_gone(0.1, CallerGone(1, 0.1))
    assert AbortAttempt(1, first.attempt) in instructions
    assert world.engines.engines[first.engine_id].online_in_flight == 0


def test_a_silent_engine_is_left_for_another() -> None:
    world = World()
    first = sent(world.arrive(0.0, arrival(1)))
    instructions = world.requests.on_timer(0.5)
    again = sent(World.directive(instructions))
    assert again.engine_id != first.engine_id
    assert AbortAttempt(1, first.attempt, is_silent=True) in instructions


def test_a_caller_reads_the_same_reason_when_a_silent_engine_was_the_last() -> None:
    """A renaming of engines once changed this text, which callers and their logs act on."""
    world = World(engines=1)
    world.arrive(0.0, arrival(1, time_left=0.42))
    while world.requests._budget.take("s"):
        pass
    finish = World.directive(world.requests.on_timer(0.41))
    assert isinstance(finish, FinishRequest)
    assert isinstance(finish.outcome, MayHaveRun)
    assert finish.outcome.reason == "server fell silent; retry budget spent"


def test_a_loaded_engine_that_answers_others_is_not_left() -> None:
    """A trial lost half of a day's requests: each loaded engine was left for the next."""
    world = World()
    first = sent(world.arrive(0.0, arrival(1)))
    world.engines.on_activity(0.45, EngineActivity(first.engine_id).engine_id)
    assert world.requests.on_timer(0.5) == []


def test_a_hung_request_is_left_although_the_engine_answers_others() -> None:
    world = World()
    first = sent(world.arrive(0.0, arrival(1)))
    world.engines.on_activity(2.4, first.engine_id)
    assert sent(World.directive(world.requests.on_timer(2.5))).engine_id != first.engine_id


def test_a_begun_stream_is_not_left_for_silence_by_the_loop() -> None:
    world = World()
    first = sent(world.arrive(0.0, arrival(1)))
    world.requests.on_answer_begun(0.1, AnswerBegun(1, first.attempt, None))
    assert world.requests.on_timer(3.0) == []


def test_a_late_end_of_an_attempt_that_was_given_up_changes_nothing() -> None:
    world = World()
    first = sent(world.arrive(0.0, arrival(1)))
    world.requests.on_timer(0.5)
    assert world.end(0.6, first, AttemptOutcome.COMPLETED) is None
    assert len(world.requests.requests) == 1


def test_another_instance_at_the_address_is_never_asked_again() -> None:
    world = World(engines=1)
    first = sent(world.arrive(0.0, arrival(1)))
    world.end(0.1, first, AttemptOutcome.REFUSED, wrong_instance=True)
    world.engines.on_list(0.2, [engine("s0")])
    assert world.engines.of_service("s") == []


def test_a_failure_is_passed_on_where_it_may_not_be_repeated() -> None:
    world = World(route(resumable=False))
    first = sent(world.arrive(0.0, arrival(1)))
    end = finished(world.end(0.1, first, AttemptOutcome.CUT, status=500, has_answer=True))
    assert end.relays_answer


def test_a_route_of_jobs_takes_no_requests() -> None:
    world = World(route(kind=RouteKind.JOBS))
    outcome = finished(world.arrive(0.0, arrival(1))).outcome
    assert isinstance(outcome, NotRun)


def test_a_repeatable_answer_of_which_a_part_was_delivered_is_not_begun_anew() -> None:
    world = World(route(kind=RouteKind.REPEATABLE, resumable=False))
    first = sent(world.arrive(0.0, arrival(1)))
    outcome = finished(world.end(0.1, first, AttemptOutcome.CUT, position="3", delivered=3)).outcome
    assert isinstance(outcome, Cut)


def test_time_between_reading_and_deciding_is_the_caller_s() -> None:
    """A machine that was suspended in between gave the engine time that its caller had lost."""
    world = World(route())
    sent = world.arrive(103.0, replace(arrival(1, time_left=4.0), read_at=100.0))
    assert isinstance(sent, SendRequest)
    assert sent.time_left == pytest.approx(1.0)


class Refusing(NoSuspects):
    """Suspects that refuse what a test names."""

    def __init__(self) -> None:
        self.refused = frozenset()
        self.waits = False
        self.lost: list[tuple[str, bool]] = []

    def awaits_crash_report(self, content: str) -> bool:
        return self.waits

    def on_lost(self, now: float, content: str, engine_id: str, *, is_silent: bool = False) -> None:
        self.lost.append((engine_id, is_silent))


def crash_world() -> tuple[World, Refusing]:
    world = World(route(attempts=3))
    suspects = Refusing()
    world.requests = ForwardedRequests(
        "z", world.routes, world.engines, random.Random(1), "prefix_aware", "defer_late", suspects
    )
    return world, suspects


def test_a_refused_request_is_sent_nowhere() -> None:
    world, suspects = crash_world()
    suspects.refused = frozenset({"x"})
    finish = world.arrive(0.0, replace(arrival(1), content="x"))
    assert isinstance(finish, FinishRequest)
    assert isinstance(finish.outcome, NotRun)
    assert isinstance(world.arrive(0.0, replace(arrival(2), content="y")), SendRequest)


def test_a_request_in_flight_is_ended_when_it_is_refused() -> None:
    """It is at an engine, queued there perhaps, and would end this one too."""
    world, suspects = crash_world()
    world.arrive(0.0, replace(arrival(1), content="x"))
    world.arrive(0.0, replace(arrival(2), content="y"))
    suspects.refused = frozenset({"x"})
    made = world.requests.end_refused_for_crashes(0.1)
    assert [i.token for i in made if isinstance(i, AbortAttempt)] == [1]
    (finish,) = (i for i in made if isinstance(i, FinishRequest))
    assert isinstance(finish.outcome, MayHaveRun)
    assert list(world.requests.requests) == [2]
    world.requests.validate()


def test_a_suspect_waits_before_its_next_attempt_and_goes_on_unless_it_is_refused() -> None:
    world, suspects = crash_world()
    suspects.waits = True
    sent = world.arrive(0.0, replace(arrival(1), content="x"))
    assert isinstance(sent, SendRequest)
    assert world.end(0.1, sent, AttemptOutcome.CUT) is None
    assert suspects.lost == [(sent.engine_id, False)]
    again = world.directive(world.requests.on_timer(0.1 + CAPACITY_RETRY_SECONDS))
    assert isinstance(again, SendRequest)
    assert again.engine_id != sent.engine_id


def test_a_suspect_goes_on_at_once_after_an_engine_that_ran_nothing() -> None:
    world, suspects = crash_world()
    suspects.waits = True
    sent = world.arrive(0.0, replace(arrival(1), content="x"))
    assert isinstance(sent, SendRequest)
    assert isinstance(world.end(0.1, sent, AttemptOutcome.UNREACHABLE), SendRequest)
    assert not suspects.lost
