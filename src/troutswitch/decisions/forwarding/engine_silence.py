"""Decides when an engine has been silent for too long on one request.

Question: the attempt in flight receives nothing. Is it abandoned, so that another engine is tried?

Inputs: when the attempt was sent and its answer began; when this daemon last received bytes from
the engine, for any request (`Engine.last_seen_at`, reported each 0.2 s at most); the latency
objective and the longest pause between events of the route. All times are seconds.

Rule:

1. An attempt is abandoned only if the route allows another one.
2. Before its answer begins, an attempt is abandoned after one latency objective without any byte
   from the engine, or after `HUNG_TIMEOUTS` of them if the engine answers other requests.
3. After the head of the answer, and between events, the thread that reads the answer abandons it
   after the timeouts that are sent with the attempt.

Why: a loaded engine still answers other requests. Abandoning it would only add to the load.

Measurements: docs/POLICY.md.
"""

from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.request import ForwardedRequest

MIN_SILENCE_SECONDS = 0.4
"""Minimum time without a first event, and without any byte from the engine, before another engine
is tried."""
SILENCE_OBJECTIVES = 1.0
"""The same time, as a multiple of the route's latency objective."""
HUNG_TIMEOUTS = 5.0
"""Time without a first event, as a multiple of the silence timeout, after which a request counts as
hung even if its engine answers others."""
MIN_EVENT_GAP_SECONDS = 0.3
"""Minimum pause between events before a resumable stream continues at another engine."""
EVENT_GAP_LIMITS = 2.0
"""The same pause, as a multiple of the pause that the route allows."""


def silence_timeout(request: ForwardedRequest) -> float:
    """Returns the seconds for which a request's engine may be completely silent."""
    return max(MIN_SILENCE_SECONDS, SILENCE_OBJECTIVES * request.route.objective)


def is_engine_silent(now: float, request: ForwardedRequest, engine: Engine | None) -> bool:
    """Returns whether the engine seems to have stopped answering a running request."""
    if request.answer_began_at <= now or not request.may_retry:
        return False
    timeout = silence_timeout(request)
    if now - request.sent_at > HUNG_TIMEOUTS * timeout:
        return True
    last_seen_at = engine.last_seen_at if engine is not None else float("-inf")
    return now - max(last_seen_at, request.sent_at) > timeout


def first_event_timeout(now: float, request: ForwardedRequest) -> float:
    """Returns the seconds that the first event may take after the head of an answer.

    Without this timeout, a connection that dies after the head of its answer would occupy its
    thread and slot until the deadline.
    """
    remaining = request.ends_at - now
    if not request.may_retry:
        return remaining
    return min(remaining, HUNG_TIMEOUTS * silence_timeout(request))


def event_gap_timeout(now: float, request: ForwardedRequest) -> float:
    """Returns the seconds that each following event may take."""
    remaining = request.ends_at - now
    if not request.may_retry:
        return remaining
    gap = max(MIN_EVENT_GAP_SECONDS, EVENT_GAP_LIMITS * request.route.gap_limit)
    return min(remaining, gap)
