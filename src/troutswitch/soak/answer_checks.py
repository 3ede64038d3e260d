"""Checks of successes by the engines' journals.

A journal states which status an engine gave to each run, and whether that answer went out complete,
signed and framed. `checks` examines the content of answers.
"""

from collections import defaultdict
from collections.abc import Iterator

from troutswitch.soak.observations import Observations, Outcome
from troutswitch.soak.violations import Violation

Statuses = dict[str, set[int]]
"""Statuses of the whole answers to each request that engines have answered, by request id."""
SUCCESS = 200


def successes_were_answered_whole(observations: Observations) -> list[Violation]:
    """MIXED: a success or completed result has the status of a whole answer of an engine to it."""
    whole_answers = _whole_answers(observations)
    return [
        Violation("MIXED", request_id, f"a success with {status}, engines answered {sorted(known)}")
        for request_id, status in _successes(observations)
        if (known := whole_answers.get(request_id)) is not None and status not in known
    ]


def _whole_answers(observations: Observations) -> Statuses:
    statuses: Statuses = defaultdict(set)
    for entry in observations.journal_entries:
        if entry.kind == "answered":
            statuses[entry.request_id] |= {entry.status} if entry.is_whole else set()
    return dict(statuses)


def _successes(observations: Observations) -> Iterator[tuple[str, int]]:
    """Yields the id and status of each success; a completed result stands for a status of 200."""
    for exchange in observations.exchanges:
        if exchange.outcome is Outcome.COMPLETE and 200 <= exchange.status < 300:
            yield exchange.request_id, exchange.status
    for job in observations.jobs:
        for item_id in sorted({row.item_id for row in job.results if row.state == "completed"}):
            yield item_id, SUCCESS
