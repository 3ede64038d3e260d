"""Engines that can't be connected to: a request that a sound engine could serve is served."""

import pytest

from tests.decisions.forwarding.harness import ForwardingHarness, arrival, engine, route
from troutswitch.decisions.forwarding.messages import (
    AnswerBegun,
    FinishRequest,
    SendRequest,
)
from troutswitch.decisions.forwarding.retry import MAX_REJECTIONS, MAX_SEARCH_SECONDS
from troutswitch.decisions.forwarding.types import RouteKind
from troutswitch.outcomes import AttemptOutcome, NotRun

SOUND = frozenset({"s0", "s1", "s2", "s3"})
REFUSAL_SECONDS = 0.003
"""Time of an attempt whose connection is refused."""
TIMEOUT_SECONDS = 0.5
"""Time of an attempt whose connection times out."""
MAX_ATTEMPTS = 3


def harness_beside(unusable: int) -> ForwardingHarness:
    """Returns a daemon that has just started beside sound engines and unusable entries."""
    harness = ForwardingHarness(route(kind=RouteKind.AT_MOST_ONCE, attempts=MAX_ATTEMPTS))
    names = [*sorted(SOUND), *(f"other-{number}" for number in range(unusable))]
    harness.engines.on_list(0.0, [engine(name) for name in names])
    return harness


def serve(
    harness: ForwardingHarness,
    now: float,
    token: int,
    sound: frozenset[str] = SOUND,
    connect_seconds: float = REFUSAL_SECONDS,
) -> tuple[FinishRequest | None, int, float]:
    """Plays a request to its end: its failure, None if it was served; its attempts; the time."""
    sent: SendRequest | FinishRequest | None = harness.arrive(now, arrival(token))
    attempts = 0
    while isinstance(sent, SendRequest):
        attempts += 1
        if sent.engine_id in sound:
            harness.requests.on_answer_begun(now, AnswerBegun(token, sent.attempt, None, False))
            now += REFUSAL_SECONDS
            sent = harness.end(now, sent, AttemptOutcome.COMPLETED, status=200)
        else:
            now += connect_seconds
            sent = harness.end(now, sent, AttemptOutcome.UNREACHABLE)
    return sent, attempts, now


@pytest.mark.parametrize("unusable", [6, 30, 60, 200])
def test_a_daemon_that_starts_beside_unusable_entries_serves_each_request(unusable: int) -> None:
    """Guards against a rejection while sound engines are idle."""
    harness = harness_beside(unusable)
    now = 0.0
    for token in range(300):
        failure, _, now = serve(harness, now, token)
        assert failure is None


def test_a_request_meets_few_unusable_entries_once_engines_have_answered() -> None:
    harness = harness_beside(0)
    now = 0.0
    for token in range(40):
        _, _, now = serve(harness, now, token)
    names = [*sorted(SOUND), *(f"other-{number}" for number in range(200))]
    harness.engines.on_list(now, [engine(name) for name in names])
    for token in range(100, 700):
        failure, attempts, now = serve(harness, now, token)
        assert failure is None
        assert attempts <= 2


def test_an_engine_that_joins_beside_unusable_entries_is_used() -> None:
    harness = harness_beside(60)
    now = 0.0
    for token in range(200):
        _, _, now = serve(harness, now, token)
    names = [*sorted(SOUND), "s4", *(f"other-{number}" for number in range(60))]
    harness.engines.on_list(now, [engine(name) for name in names])
    for token in range(200, 600):
        _, _, now = serve(harness, now, token, SOUND | {"s4"})
    assert harness.engines.engines["s4"].has_answered


def test_a_daemon_that_is_cut_off_from_all_engines_rejects_after_few_attempts() -> None:
    harness = harness_beside(20)
    now = 0.0
    for token in range(100):
        _, _, now = serve(harness, now, token)
    for token in range(100, 130):
        _, _, now = serve(harness, now, token, frozenset())  # its engines are ejected
    for token in range(200, 240):
        failure, attempts, now = serve(harness, now, token, frozenset())
        assert isinstance(failure, FinishRequest)
        assert isinstance(failure.outcome, NotRun)
        assert failure.outcome.retry_after
        assert attempts <= MAX_ATTEMPTS + MAX_REJECTIONS


def test_a_request_is_rejected_soon_if_connections_time_out() -> None:
    harness = harness_beside(200)
    failure, attempts, ended_at = serve(harness, 0.0, 1, frozenset(), TIMEOUT_SECONDS)
    assert isinstance(failure, FinishRequest)
    assert attempts == MAX_ATTEMPTS + MAX_REJECTIONS
    assert ended_at > MAX_SEARCH_SECONDS


def test_rejections_by_full_engines_are_bounded_as_before() -> None:
    harness = harness_beside(200)
    sent: SendRequest | FinishRequest | None = harness.arrive(0.0, arrival(1))
    attempts = 0
    while isinstance(sent, SendRequest):
        attempts += 1
        sent = harness.end(0.001 * attempts, sent, AttemptOutcome.REFUSED)
    assert attempts == MAX_ATTEMPTS + MAX_REJECTIONS
