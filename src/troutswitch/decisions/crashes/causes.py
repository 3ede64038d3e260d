"""Decides which requests cause engine crashes and are therefore refused.

Question: engines crashed while they ran requests. Which request is a query of death, and which
requests only ran on the same engine?

Inputs: for each request, by its content, the engine incarnations that crashed under it and when,
as known to this daemon from its own attempts, from peers and from the store. All daemons learn of
a crash within about 50 ms, or within seconds if the store or the network fails. Times are seconds
since the epoch.

Rule, applied to the requests with at least `CRASHES_TO_REFUSE` crashes:

1. A request is a cause if one of its crashed engines ran no other of these requests, or if it has
   `CONCLUSIVE_CRASHES` crashes. It is refused until `REFUSAL_SECONDS` after its last crash. An item
   counts by itself and by its path, and neither of these two explains a crash of the other.
2. Any other is deferred: refused for at most `MAX_DEFERRAL_SECONDS` after its last crash.

Why: a crash is recorded for every request on the engine, including the innocent ones. Those are
retried and may meet the cause again on their next engine, so three crashes alone are no proof.
Two requests that share all crashes are told apart by the next crash, which only the cause has.
While both are deferred, the cause makes no new crashes.

The rule depends on the crashes alone, so daemons that know the same crashes refuse the same
requests.

Measurements: docs/design/crashes.md.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

from troutswitch.decisions.crashes.content import path_of_item
from troutswitch.decisions.crashes.rules import RequestCrashes

CRASHES_TO_REFUSE = 3
"""Crashes after which a request may be refused: users accept three, and each one also ends every
other request on the engine."""
CONCLUSIVE_CRASHES = 5
"""Crashes after which a request is refused even if other requests explain them. Causes that are
always sent together would otherwise never be refused."""
REFUSAL_SECONDS = 600.0
"""Time after its last crash for which a cause is refused. One attempt afterwards shows whether
engines can run it by then; another crash refuses the request again immediately."""
MAX_DEFERRAL_SECONDS = 10.0
"""Maximum time after its last crash for which a request is deferred. Without deferral, none of
several simultaneous causes is found before its fifth crash."""


class RequestCauses:
    """The rule for whole requests.

    `deferral_seconds` is the time after its last crash for which this daemon defers a request.
    """

    min_crashes = CRASHES_TO_REFUSE

    def __init__(self, deferral_seconds: float) -> None:
        self.deferral_seconds = deferral_seconds

    def refused(self, now: float, by_content: Mapping[str, RequestCrashes]) -> frozenset[str]:
        """Returns the contents of the requests that cause crashes and are refused at `now`."""
        return refused_contents(now, by_content)

    def deferred(
        self, now: float, by_content: Mapping[str, RequestCrashes], refused: frozenset[str]
    ) -> frozenset[str]:
        """Returns the contents of the requests whose crashes others may explain."""
        return deferred_contents(now, by_content, refused, self.deferral_seconds)


def _may_be_refused(crashes: RequestCrashes) -> bool:
    """Returns whether there are enough crashes to refuse the request."""
    return len(crashes.crashed_at) >= CRASHES_TO_REFUSE


def refused_contents(now: float, by_content: Mapping[str, RequestCrashes]) -> frozenset[str]:
    """Returns the contents of the requests that cause crashes and are refused at `now`."""
    engines = {
        content: frozenset(crashes.crashed_at)
        for content, crashes in by_content.items()
        if _may_be_refused(crashes)
    }
    request_counts = Counter(engine_id for ids in engines.values() for engine_id in ids)
    relatives = _relatives(engines)
    return frozenset(
        content
        for content, ids in engines.items()
        if _is_cause(ids, request_counts, [engines[relative] for relative in relatives[content]])
        and by_content[content].last_crash_at > now - REFUSAL_SECONDS
    )


def _relatives(contents: Iterable[str]) -> defaultdict[str, list[str]]:
    """Returns, for each of the keys, those of its path and of the items with its path."""
    keys = set(contents)
    relatives: defaultdict[str, list[str]] = defaultdict(list)
    for key in keys:
        path = path_of_item(key)
        if path in keys:
            relatives[key].append(path)
            relatives[path].append(key)
    return relatives


def _is_cause(
    engine_ids: frozenset[str],
    request_counts: Counter[str],
    relatives: list[frozenset[str]],
) -> bool:
    """Returns whether a request is the only explanation of a crash, or has conclusive crashes.

    Args:
        engine_ids: the engines that crashed under it.
        request_counts: number of requests by engine that crashed under them.
        relatives: the engines that crashed under its path, or under the items with this path.
    """
    is_needed = any(
        request_counts[engine_id] - sum(engine_id in ids for ids in relatives) == 1
        for engine_id in engine_ids
    )
    return is_needed or len(engine_ids) >= CONCLUSIVE_CRASHES


def deferred_contents(
    now: float,
    by_content: Mapping[str, RequestCrashes],
    refused: frozenset[str],
    deferral_seconds: float,
) -> frozenset[str]:
    """Returns the contents of the requests whose crashes others may explain; they are deferred."""
    return frozenset(
        content
        for content, crashes in by_content.items()
        if _may_be_refused(crashes)
        and content not in refused
        and crashes.last_crash_at > now - deferral_seconds
    )
