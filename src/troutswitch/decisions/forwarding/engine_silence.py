"""Decides when an engine has been silent for too long on one request.

Question: the attempt in flight sends nothing. Is it abandoned, so that another engine is tried?

Inputs: when the attempt was sent and its answer began; when any bytes of this engine last came
here, for any request (`Engine.last_seen_at`, reported each 0.2 s at most); the latency
objective and the longest pause between events of the route. All times are seconds.

Rule:

1. An attempt is abandoned only where the route allows another one.
2. Before its answer begins: after one latency objective without any byte of the engine, or after
   `HUNG_TIMEOUTS` of them although the engine answers other requests.
3. After the head of the answer, and between events: the thread that reads the answer abandons
   it, after the times that are sent with the attempt.

Why: a loaded engine answers others meanwhile; leaving it would only add to the load.

Measurements: docs/POLICY.md.
"""

from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.request import ForwardedRequest

MIN_SILENCE_SECONDS = 0.4
"""Least time without a first event, and without any byte of the engine, before another engine is
tried."""
SILENCE_OBJECTIVES = 1.0
"""The same time in latency objectives of the route."""
HUNG_TIMEOUTS = 5.0
"""Time for the first event, in silence timeouts, after which a request is taken for hung although
its engine answers others."""
MIN_EVENT_GAP_SECONDS = 0.3
"""Least time between events before a resumable stream goes on elsewhere."""
EVENT_GAP_LIMITS = 2.0
"""The same time in pauses that the route allows."""


def silence_timeout(request: ForwardedRequest) -> float:
    """Returns the seconds for which a request's engine may send nothing at all."""
    return max(MIN_SILENCE_SECONDS, SILENCE_OBJECTIVES * request.route.objective)


def is_engine_silent(now: float, request: ForwardedRequest, engine: Engine | None) -> bool:
    """Returns whether the engine seems not to answer a running request any more."""
    if request.answer_began_at <= now or not request.may_retry:
        return False
    timeout = silence_timeout(request)
    if now - request.sent_at > HUNG_TIMEOUTS * timeout:
        return True
    last_seen_at = engine.last_seen_at if engine is not None else float("-inf")
    return now - max(last_seen_at, request.sent_at) > timeout


def first_event_timeout(now: float, request: ForwardedRequest) -> float:
    """Returns the seconds that the first event may take after the head of an answer.

    Guards against a stream that is silent from its head on, as a head doesn't show that the
    connection lives on: it would hold its thread and slot until the deadline.
    """
    left = request.ends_at - now
    if not request.may_retry:
        return left
    return min(left, HUNG_TIMEOUTS * silence_timeout(request))


def event_gap_timeout(now: float, request: ForwardedRequest) -> float:
    """Returns the seconds that each next event may take."""
    left = request.ends_at - now
    if not request.may_retry:
        return left
    gap = max(MIN_EVENT_GAP_SECONDS, EVENT_GAP_LIMITS * request.route.gap_limit)
    return min(left, gap)
