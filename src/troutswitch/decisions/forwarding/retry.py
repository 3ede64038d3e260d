"""Decides what follows a failed attempt, and when a request ends without an answer.

Question: an attempt failed. Is the request sent to another engine, does it wait, or does it end?

Inputs: how its attempts ended, and what was delivered to the client; the attempts that its route
allows; whether engines are left that it was not sent to and that are not ejected; whether engines
are currently known to have crashed while they ran it (`crashes`); the retry budget of its service,
a share of the recent successes on this daemon.

Rule, in this order:

1. A complete answer of the engine that can be relayed ends the request, unless the route allows
   another attempt.
2. If an attempt may have run, another follows only if the route allows repetition, up to the
   route's `max_attempts`, and not in the middle of a stream that can't be resumed.
3. If its last two engines were lost while they ran it, the request waits until a check shows
   whether they crashed.
4. After `MAX_REJECTIONS` rejections beyond the route's attempts, no other engine is tried now. An
   engine that can't be connected to counts as a rejection once the request has been sent for
   `MAX_SEARCH_SECONDS`, or once the engines left are all ejected: then this daemon is more often
   cut off from its engines than their list is wrong, and the client should retry elsewhere.
5. Otherwise another engine is tried. If an attempt may have run, this counts against the tenant's
   quota like a new request, as an engine runs it again; above the quota, the request waits. It also
   takes from the retry budget, which bounds the work that is done twice.
6. If no engine can be tried now, a request that may have run waits while it has time, as it can't
   be refused any more. A request that has not run is refused, with a time after which to retry.

Measurements: docs/POLICY.md.
"""

import random
from enum import Enum

from troutswitch.decisions.forwarding.messages import RequestAttemptEnded
from troutswitch.decisions.forwarding.request import ForwardedRequest
from troutswitch.outcomes import AttemptOutcome

MAX_REJECTIONS = 3
"""Rejections beyond the route's attempts after which a request ends or waits."""
MAX_SEARCH_SECONDS = 1.0
"""Time from its first attempt for which a request tries further engines that can't be connected to:
enough for hundreds whose ports refuse, and for two that don't answer."""
MIN_TIME_LEFT_SECONDS = 0.05
"""Minimum time left with which a request is still sent."""
CAPACITY_RETRY_SECONDS = 0.1
"""Time after which the placement of a waiting request is retried. A full engine frees a slot in
about this time."""
MAX_QUOTA_RETRY_SECONDS = 0.5
"""Maximum time after which a further attempt that was above the quota is counted again: a part of
the time that a caller waits."""
MIN_RETRY_AFTER_SECONDS = 0.1
"""Minimum `Retry-After` of a request that ends without having run."""
RETRY_AFTER_JITTER_SECONDS = 0.2
"""Maximum random addition to that time, so that clients don't all retry simultaneously."""


class FailureAction(Enum):
    """What is done with a request after a failed attempt."""

    RELAY_ANSWER = "pass answer on"
    END = "end"
    AWAIT_CRASH_REPORT = "await crash report"
    AWAIT_CAPACITY = "await capacity"
    TRY_ANOTHER_ENGINE = "try another engine"


def action_after_failure(
    now: float,
    request: ForwardedRequest,
    event: RequestAttemptEnded,
    *,
    awaits_crash_report: bool,
    has_untried: bool,
) -> FailureAction:
    """Returns the action after a failed attempt, the last of `request.ended_attempts`.

    Args:
        now: this process's clock, in seconds.
        request: the request.
        event: the end of the attempt.
        awaits_crash_report: whether it is unknown if engines crashed while they ran the request.
        has_untried: whether an engine is left that it was not sent to and that is not ejected.
    """
    route = request.route
    may_run_again = route.is_repeatable and request.possible_runs < route.max_attempts
    if event.has_answer and not may_run_again:
        return FailureAction.RELAY_ANSWER
    can_resume = route.is_resumable or not request.delivered
    if request.possible_runs and not (route.is_repeatable and can_resume):
        return FailureAction.END
    if request.possible_runs >= route.max_attempts:
        return FailureAction.END
    if awaits_crash_report:
        return FailureAction.AWAIT_CRASH_REPORT
    is_searching = has_untried and now < request.first_sent_at + MAX_SEARCH_SECONDS
    if _counted_attempts(request, is_searching) >= route.max_attempts + MAX_REJECTIONS:
        return FailureAction.AWAIT_CAPACITY
    return FailureAction.TRY_ANOTHER_ENGINE


def _counted_attempts(request: ForwardedRequest, is_searching: bool) -> int:
    """Returns how many of its ended attempts count towards the bound on rejections."""
    if not is_searching:
        return len(request.ended_attempts)
    return sum(kind is not AttemptOutcome.UNREACHABLE for kind in request.ended_attempts)


def has_time_to_send(now: float, request: ForwardedRequest) -> bool:
    """Returns whether a request has enough time left to be sent."""
    return request.ends_at - now >= MIN_TIME_LEFT_SECONDS


def may_wait_for_capacity(now: float, request: ForwardedRequest) -> bool:
    """Returns whether a request that no engine can take now waits instead of ending."""
    return request.possible_runs > 0 and has_time_to_send(now, request)


def retry_after(rng: random.Random) -> float:
    """Returns the seconds after which a client should retry a request that has not run."""
    return MIN_RETRY_AFTER_SECONDS + rng.random() * RETRY_AFTER_JITTER_SECONDS
