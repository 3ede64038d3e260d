"""Decides which requests are the cause of engine crashes, and are refused for it.

Question: engines crashed while requests were on them. Which request is a query of death, and
which was only beside it?

Inputs: for each request, by its content, the engine incarnations that crashed under it and when,
as known to this daemon from its own attempts, from peers and from the store (all daemons know
within some 50 ms, within seconds if the store or the network fails). Times are seconds since the
epoch.

Rule, on requests with at least `CRASHES_TO_REFUSE` crashes:

1. One is the cause if no other of these requests was on one of its crashed engines, or if it has
   `CONCLUSIVE_CRASHES` crashes. It is refused until `REFUSAL_SECONDS` after its last crash.
2. Any other is deferred: refused for `MAX_DEFERRAL_SECONDS` after its last crash at most.

Why: everything on an engine is lost with it, so each of its requests gets the crash on record,
the innocent ones too. These are retried and may meet the cause at their next engine. So three
crashes are no proof by themselves. Two requests that share all crashes are told apart by the next
one, which only the cause has; while both are deferred, the cause makes no new crashes.

The rule depends on nothing but the crashes, so daemons that know the same crashes refuse the same
requests.

Measurements: docs/design/crashes.md.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

CRASHES_TO_REFUSE = 3
"""Crashes from which a request may be refused: users allow three, and each costs all that ran
beside."""
CONCLUSIVE_CRASHES = 5
"""Crashes after which a request is refused whatever else explains them. Causes that always come
together would otherwise never be."""
REFUSAL_SECONDS = 600.0
"""Time after its last crash for which a cause is refused. Then one try shows whether engines can
run it by now; a crash in it refuses the request again at once."""
MAX_DEFERRAL_SECONDS = 10.0
"""Longest time after its last crash for which a request is deferred: with several causes at once,
none is found before its fifth crash otherwise."""


@dataclass(slots=True)
class RequestCrashes:
    """One request's crashes: when each engine incarnation crashed, in seconds since the epoch."""

    crashed_at: dict[str, float] = field(default_factory=dict)

    @property
    def last_crash_at(self) -> float:
        """When the last engine crashed."""
        return max(self.crashed_at.values())

    @property
    def may_be_refused(self) -> bool:
        """Whether there are enough crashes to refuse the request."""
        return len(self.crashed_at) >= CRASHES_TO_REFUSE


def refused_contents(now: float, by_content: Mapping[str, RequestCrashes]) -> frozenset[str]:
    """Returns the requests that are the cause of crashes, and are refused for it now."""
    engines = {
        content: frozenset(crashes.crashed_at)
        for content, crashes in by_content.items()
        if crashes.may_be_refused
    }
    request_counts = Counter(engine_id for ids in engines.values() for engine_id in ids)
    return frozenset(
        content
        for content, ids in engines.items()
        if _is_cause(ids, request_counts)
        and by_content[content].last_crash_at > now - REFUSAL_SECONDS
    )


def _is_cause(engine_ids: frozenset[str], request_counts: Counter[str]) -> bool:
    """Returns whether a request alone explains a crash, or has enough crashes."""
    is_needed = any(request_counts[engine_id] == 1 for engine_id in engine_ids)
    return is_needed or len(engine_ids) >= CONCLUSIVE_CRASHES


def deferred_contents(
    now: float,
    by_content: Mapping[str, RequestCrashes],
    refused: frozenset[str],
    deferral_seconds: float,
) -> frozenset[str]:
    """Returns the requests that have as many crashes as causes, which others may explain."""
    return frozenset(
        content
        for content, crashes in by_content.items()
        if crashes.may_be_refused
        and content not in refused
        and crashes.last_crash_at > now - deferral_seconds
    )
