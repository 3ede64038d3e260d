"""Decides what follows an attempt that failed, and when a request ends without an answer.

Question: an engine failed on a request. Does the request go to another engine, wait, or end?

Inputs: how its attempts ended, and what was delivered to the client; the attempts that its route
allows; whether engines crashed under it (`crashes`, as of now); the retry budget of its service,
a share of the recent successes on this daemon.

Rule, in this order:

1. A whole answer of the engine that can be passed on ends the request, unless the route allows
   another attempt.
2. If an attempt may have run, another follows only where the route allows to repeat it, up to
   the route's `max_attempts`; and not in the middle of a stream that can't be resumed.
3. If its last two engines were lost under it, it waits until a check shows whether they crashed.
4. After `MAX_REJECTIONS` rejections beyond the route's attempts, no other engine is tried now.
5. Otherwise another engine is tried. If an attempt may have run, that takes from the retry budget:
   the budget bounds work done twice.
6. Where no engine can be tried now, a request that may have run waits for one while it has time:
   it can't be refused any more. One that has run nowhere is refused, with a time to retry.

Measurements: docs/POLICY.md.
"""

import random
from enum import Enum

from troutswitch.decisions.forwarding.messages import RequestAttemptEnded
from troutswitch.decisions.forwarding.request import ForwardedRequest

MAX_REJECTIONS = 3
"""Engines that may reject a request unrun, beyond its route's attempts, before it ends or waits."""
MIN_TIME_LEFT_SECONDS = 0.05
"""Time left below which a request is not sent any more."""
CAPACITY_RETRY_SECONDS = 0.1
"""Time after which a waiting request asks again for an engine. Full engines free a slot about so
soon."""
MIN_RETRY_AFTER_SECONDS = 0.1
"""Least `Retry-After` of a request that ends unrun."""
RETRY_AFTER_JITTER_SECONDS = 0.2
"""Random part of that time, so that clients don't retry all at once."""


class FailureAction(Enum):
    """What follows an attempt that failed."""

    PASS_ANSWER_ON = "pass answer on"
    END = "end"
    AWAIT_CRASH_REPORT = "await crash report"
    AWAIT_CAPACITY = "await capacity"
    TRY_ANOTHER_ENGINE = "try another engine"


def action_after_failure(
    request: ForwardedRequest, event: RequestAttemptEnded, *, awaits_crash_report: bool
) -> FailureAction:
    """Returns what follows a failed attempt, which is the last of the request's ended ones."""
    route = request.route
    may_run_again = route.is_repeatable and request.possible_runs < route.max_attempts
    if event.has_answer and not may_run_again:
        return FailureAction.PASS_ANSWER_ON
    can_go_on = route.is_resumable or not request.delivered
    if request.possible_runs and not (route.is_repeatable and can_go_on):
        return FailureAction.END
    if request.possible_runs >= route.max_attempts:
        return FailureAction.END
    if awaits_crash_report:
        return FailureAction.AWAIT_CRASH_REPORT
    if len(request.ended_attempts) >= route.max_attempts + MAX_REJECTIONS:
        return FailureAction.AWAIT_CAPACITY
    return FailureAction.TRY_ANOTHER_ENGINE


def has_time_to_send(now: float, request: ForwardedRequest) -> bool:
    """Returns whether enough time is left to send a request."""
    return request.ends_at - now >= MIN_TIME_LEFT_SECONDS


def may_wait_for_capacity(now: float, request: ForwardedRequest) -> bool:
    """Returns whether a request that no engine can take now waits; otherwise it ends."""
    return request.possible_runs > 0 and has_time_to_send(now, request)


def retry_after(rng: random.Random) -> float:
    """Returns the seconds after which a client is to retry a request that ended unrun."""
    return MIN_RETRY_AFTER_SECONDS + rng.random() * RETRY_AFTER_JITTER_SECONDS
