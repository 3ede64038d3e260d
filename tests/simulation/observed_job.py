"""A batch job as its client observes it, and the checks of the results that the client reads."""

from collections import Counter
from dataclasses import dataclass, field

from troutswitch.decisions.jobs.messages import JobResults
from troutswitch.decisions.jobs.records import DONE, JobItem

EVENTS_PER_ITEM = 20
"""Number of events in the complete output of an item."""


@dataclass
class ObservedJob:
    """One job as its client observes it, and the number of runs of each item at engines."""

    job_id: str
    items: tuple[JobItem, ...]
    submitted_at: float
    accepted_at: float = float("inf")
    refusals: list[int] = field(default_factory=list)
    ended_at: float = float("inf")
    results: dict[int, tuple[str, str, str]] = field(default_factory=dict)
    run_counts: Counter[str] = field(default_factory=Counter)

    @property
    def is_open(self) -> bool:
        """Whether the job was accepted and has not been ended."""
        return self.accepted_at < float("inf") and self.ended_at == float("inf")

    def waiting_tokens(self) -> int:
        """Returns the total tokens of items whose results the client has not read."""
        listed = {row[0] for row in self.results.values()}
        return sum(item.tokens for item in self.items if item.item_id not in listed)

    def add_results(self, answer: JobResults) -> list[str]:
        """Adds a page of results; returns the violations found in it."""
        violations: list[str] = []
        if answer.total != len(self.items):
            violations.append(f"wrong total of {self.job_id}")
        for position, row in enumerate(answer.results, answer.position):
            violations += self._add_row(position, (row.item_id, row.state, row.text))
        return violations

    def _add_row(self, position: int, row: tuple[str, str, str]) -> list[str]:
        violations: list[str] = []
        if self.results.setdefault(position, row) != row:
            violations.append(f"position {position} of {self.job_id} changed")
        item_ids = [result[0] for result in self.results.values()]
        if len(set(item_ids)) != len(item_ids):
            violations.append(f"an item of {self.job_id} is listed twice")
        if row[1] == DONE and row[2] != full_output(row[0], _version_of(row[2])):
            violations.append(f"the output of {row[0]} is not that of one whole run")
        return violations


def event_text(item_id: str, number: int, version: str) -> str:
    """Returns the data of one event of an item's output, by an engine of a version."""
    return f"{item_id}:{number}:{version}"


def full_output(item_id: str, version: str) -> str:
    """Returns the complete output of an item that engines of one version ran."""
    numbers = range(1, EVENTS_PER_ITEM + 1)
    return "\n".join(event_text(item_id, number, version) for number in numbers)


def _version_of(output: str) -> str:
    """Returns the version of the engine that wrote the first event of an output."""
    return output.partition("\n")[0].rpartition(":")[2]
