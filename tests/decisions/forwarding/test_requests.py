"""Forwarded requests from arrival to the final answer: retries, silence, deadlines, crashes."""

import random
from collections.abc import Iterable
from dataclasses import replace

import pytest

from tests.decisions.forwarding.harness import ForwardingHarness, arrival, engine, route
from troutswitch.decisions.crashes.interface import NO_SUSPECTS, NoSuspects
from troutswitch.decisions.crashes.messages import Trial
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


def sent(instruction: object) -> SendRequest:
    assert isinstance(instruction, SendRequest)
    return instruction


def finished(instruction: object) -> FinishRequest:
    assert isinstance(instruction, FinishRequest)
    return instruction


def test_request_before_the_first_configuration_gets_503() -> None:
    harness = ForwardingHarness()
    harness.requests.arrivals = Arrivals(RouteTable(), NO_SUSPECTS)
    outcome = finished(harness.arrive(0.0, arrival(1))).outcome
    assert isinstance(outcome, NotRun)
    assert outcome.status == 503
    assert outcome.retry_after


def test_unknown_route_gets_404() -> None:
    outcome = finished(ForwardingHarness().arrive(0.0, arrival(1, "/b/x"))).outcome
    assert isinstance(outcome, NotRun)
    assert outcome.status == 404


def test_rejected_request_is_sent_to_another_engine() -> None:
    harness = ForwardingHarness(route(resumable=False, attempts=1))
    first = sent(harness.arrive(0.0, arrival(1)))
    second = sent(harness.end(0.1, first, AttemptOutcome.REFUSED))
    assert second.engine_id != first.engine_id


def test_request_that_may_have_run_is_not_repeated_unless_the_route_allows_it() -> None:
    harness = ForwardingHarness(route(resumable=False, attempts=2))
    first = sent(harness.arrive(0.0, arrival(1)))
    outcome = finished(harness.end(0.1, first, AttemptOutcome.CUT)).outcome
    assert isinstance(outcome, MayHaveRun)


def test_request_that_may_have_run_is_never_refused_as_not_run() -> None:
    harness = ForwardingHarness(route(attempts=2), engines=2)
    first = sent(harness.arrive(0.0, arrival(1)))
    second = sent(harness.end(0.1, first, AttemptOutcome.CUT))
    instruction = harness.end(0.2, second, AttemptOutcome.REFUSED)
    now = 0.2
    while not isinstance(instruction, FinishRequest):
        if instruction is not None:
            instruction = harness.end(now, instruction, AttemptOutcome.REFUSED)
            continue
        now = max(now + 0.001, harness.requests.next_due())
        found = harness.requests.on_timer(now)
        instruction = next((i for i in found if isinstance(i, SendRequest | FinishRequest)), None)
    assert isinstance(instruction.outcome, MayHaveRun)
    assert now >= arrival(1).time_left - MIN_TIME_LEFT_SECONDS


def test_cut_stream_resumes_after_its_last_event() -> None:
    harness = ForwardingHarness()
    first = sent(harness.arrive(0.0, arrival(1)))
    second = sent(harness.end(0.1, first, AttemptOutcome.CUT, position="7", delivered=7))
    assert second.resume_after == "7"
    assert second.engine_id != first.engine_id


def test_number_of_attempts_that_may_have_run_is_bounded() -> None:
    harness = ForwardingHarness(route(attempts=2), engines=4)
    first = sent(harness.arrive(0.0, arrival(1)))
    second = sent(harness.end(0.1, first, AttemptOutcome.CUT))
    assert finished(harness.end(0.2, second, AttemptOutcome.CUT))


def test_cut_stream_that_cannot_resume_ends_as_cut() -> None:
    harness = ForwardingHarness(route(resumable=False))
    first = sent(harness.arrive(0.0, arrival(1)))
    outcome = finished(
        harness.end(0.1, first, AttemptOutcome.CUT, position="3", delivered=3)
    ).outcome
    assert isinstance(outcome, Cut)


@pytest.mark.parametrize(("deadline", "limit"), [(1.0, 5.0), (5.0, 1.0)])
def test_final_answer_is_given_at_the_deadline_or_the_time_limit(
    deadline: float, limit: float
) -> None:
    harness = ForwardingHarness(route(time_limit=limit, resumable=False))
    sent(harness.arrive(0.0, arrival(1, time_left=deadline)))
    assert harness.requests.on_timer(0.99) == []
    assert harness.requests.next_due() <= 1.0
    instructions = harness.requests.on_timer(1.0)
    assert any(isinstance(i, AbortAttempt) for i in instructions)
    assert any(isinstance(i, FinishRequest) for i in instructions)
    assert harness.requests.requests == {}


def test_disconnected_caller_aborts_the_attempt() -> None:
    harness = ForwardingHarness()
    first = sent(harness.arrive(0.0, arrival(1)))
    instructions = harness.requests.on_caller_gone(0.1, CallerGone(1, 0.1))
    assert AbortAttempt(1, first.attempt) in instructions
    assert harness.engines.engines[first.engine_id].online_in_flight == 0


def test_silent_engine_is_abandoned_for_another() -> None:
    harness = ForwardingHarness()
    first = sent(harness.arrive(0.0, arrival(1)))
    instructions = harness.requests.on_timer(0.5)
    again = sent(ForwardingHarness.only_instruction(instructions))
    assert again.engine_id != first.engine_id
    assert AbortAttempt(1, first.attempt, is_silent=True) in instructions


def test_reason_given_to_the_caller_after_a_silent_engine_is_stable() -> None:
    """Callers act on this text; a renaming in the code once changed it."""
    harness = ForwardingHarness(engines=1)
    harness.arrive(0.0, arrival(1, time_left=0.42))
    while harness.requests._budget.take("s"):
        pass
    finish = ForwardingHarness.only_instruction(harness.requests.on_timer(0.41))
    assert isinstance(finish, FinishRequest)
    assert isinstance(finish.outcome, MayHaveRun)
    assert finish.outcome.reason == "server fell silent; retry budget spent"


def test_engine_that_answers_other_requests_is_not_abandoned() -> None:
    """Guards against abandoning one loaded engine for the next.

    A trial lost half of a day's requests in this way.
    """
    harness = ForwardingHarness()
    first = sent(harness.arrive(0.0, arrival(1)))
    harness.engines.on_activity(0.45, EngineActivity(first.engine_id).engine_id)
    assert harness.requests.on_timer(0.5) == []


def test_hung_request_is_abandoned_even_if_the_engine_answers_others() -> None:
    harness = ForwardingHarness()
    first = sent(harness.arrive(0.0, arrival(1)))
    harness.engines.on_activity(2.4, first.engine_id)
    assert (
        sent(ForwardingHarness.only_instruction(harness.requests.on_timer(2.5))).engine_id
        != first.engine_id
    )


def test_stream_that_has_begun_is_not_abandoned_by_the_silence_timer() -> None:
    harness = ForwardingHarness()
    first = sent(harness.arrive(0.0, arrival(1)))
    harness.requests.on_answer_begun(0.1, AnswerBegun(1, first.attempt, None))
    assert harness.requests.on_timer(3.0) == []


def test_late_end_of_an_abandoned_attempt_is_ignored() -> None:
    harness = ForwardingHarness()
    first = sent(harness.arrive(0.0, arrival(1)))
    harness.requests.on_timer(0.5)
    assert harness.end(0.6, first, AttemptOutcome.COMPLETED) is None
    assert len(harness.requests.requests) == 1


def test_engine_whose_address_has_another_incarnation_is_not_used_again() -> None:
    harness = ForwardingHarness(engines=1)
    first = sent(harness.arrive(0.0, arrival(1)))
    harness.end(0.1, first, AttemptOutcome.REFUSED, wrong_instance=True)
    harness.engines.on_list(0.2, [engine("s0")])
    assert harness.engines.of_service("s") == []


def test_failed_answer_is_relayed_if_the_request_may_not_be_repeated() -> None:
    harness = ForwardingHarness(route(resumable=False))
    first = sent(harness.arrive(0.0, arrival(1)))
    end = finished(harness.end(0.1, first, AttemptOutcome.CUT, status=500, has_answer=True))
    assert end.relays_answer


def test_jobs_route_refuses_online_requests() -> None:
    harness = ForwardingHarness(route(kind=RouteKind.JOBS))
    outcome = finished(harness.arrive(0.0, arrival(1))).outcome
    assert isinstance(outcome, NotRun)


def test_partly_delivered_answer_that_cannot_resume_is_not_repeated() -> None:
    harness = ForwardingHarness(route(kind=RouteKind.REPEATABLE, resumable=False))
    first = sent(harness.arrive(0.0, arrival(1)))
    outcome = finished(
        harness.end(0.1, first, AttemptOutcome.CUT, position="3", delivered=3)
    ).outcome
    assert isinstance(outcome, Cut)


def test_time_since_the_request_was_read_counts_against_its_deadline() -> None:
    """Guards against a machine that is suspended between reading a request and handling it.

    The engine then got time that the caller had already spent waiting.
    """
    harness = ForwardingHarness(route())
    sent = harness.arrive(103.0, replace(arrival(1, time_left=4.0), read_at=100.0))
    assert isinstance(sent, SendRequest)
    assert sent.time_left == pytest.approx(1.0)


class FakeSuspects(NoSuspects):
    """Suspects that refuse the contents that a test sets."""

    def __init__(self) -> None:
        self.refused = frozenset()
        self.awaits_report = False
        self.lost: list[tuple[str, bool]] = []

    def awaits_crash_report(self, keys: Iterable[str]) -> bool:
        return self.awaits_report

    def on_lost(
        self,
        now: float,
        content: str,
        engine_id: str,
        *,
        path: str = "",
        parts: Iterable[str] = (),
        trial: Trial = (),
        is_silent: bool = False,
    ) -> None:
        self.lost.append((engine_id, is_silent))


def harness_with_suspects() -> tuple[ForwardingHarness, FakeSuspects]:
    harness = ForwardingHarness(route(attempts=3))
    suspects = FakeSuspects()
    harness.requests = ForwardedRequests(
        "z",
        harness.routes,
        harness.engines,
        random.Random(1),
        "prefix_aware",
        "defer_late",
        suspects,
    )
    return harness, suspects


def test_request_refused_for_crashes_is_not_sent() -> None:
    harness, suspects = harness_with_suspects()
    suspects.refused = frozenset({"x"})
    finish = harness.arrive(0.0, replace(arrival(1), content="x"))
    assert isinstance(finish, FinishRequest)
    assert isinstance(finish.outcome, NotRun)
    assert isinstance(harness.arrive(0.0, replace(arrival(2), content="y")), SendRequest)


def test_request_in_flight_ends_when_it_is_refused_for_crashes() -> None:
    """The request is at an engine, possibly queued, and would crash that one too."""
    harness, suspects = harness_with_suspects()
    harness.arrive(0.0, replace(arrival(1), content="x"))
    harness.arrive(0.0, replace(arrival(2), content="y"))
    suspects.refused = frozenset({"x"})
    instructions = harness.requests.end_refused_for_crashes(0.1)
    assert [i.token for i in instructions if isinstance(i, AbortAttempt)] == [1]
    (finish,) = (i for i in instructions if isinstance(i, FinishRequest))
    assert isinstance(finish.outcome, MayHaveRun)
    assert list(harness.requests.requests) == [2]
    harness.requests.validate()


def test_suspect_request_waits_before_its_next_attempt() -> None:
    harness, suspects = harness_with_suspects()
    suspects.awaits_report = True
    sent = harness.arrive(0.0, replace(arrival(1), content="x"))
    assert isinstance(sent, SendRequest)
    assert harness.end(0.1, sent, AttemptOutcome.CUT) is None
    assert suspects.lost == [(sent.engine_id, False)]
    again = harness.only_instruction(harness.requests.on_timer(0.1 + CAPACITY_RETRY_SECONDS))
    assert isinstance(again, SendRequest)
    assert again.engine_id != sent.engine_id


def test_suspect_request_is_sent_immediately_after_an_unreachable_engine() -> None:
    harness, suspects = harness_with_suspects()
    suspects.awaits_report = True
    sent = harness.arrive(0.0, replace(arrival(1), content="x"))
    assert isinstance(sent, SendRequest)
    assert isinstance(harness.end(0.1, sent, AttemptOutcome.UNREACHABLE), SendRequest)
    assert not suspects.lost
