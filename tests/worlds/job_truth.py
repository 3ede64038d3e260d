"""What a client knows of its jobs, and the violations that it finds in results."""

from collections import Counter
from dataclasses import dataclass, field

from troutswitch.decisions.jobs.messages import JobResults
from troutswitch.decisions.jobs.records import DONE, JobItem

EVENTS_AN_ITEM = 20
"""Events of each item's whole output."""


@dataclass
class JobTruth:
    """One job as its client knows it; `ran` counts the runs of each item."""

    job_id: str
    items: tuple[JobItem, ...]
    handed_in_at: float
    accepted_at: float = float("inf")
    refusals: list[int] = field(default_factory=list)
    ended_at: float = float("inf")
    results: dict[int, tuple[str, str, str]] = field(default_factory=dict)
    ran: Counter[str] = field(default_factory=Counter)

    @property
    def is_open(self) -> bool:
        """Whether the job was accepted and not ended."""
        return self.accepted_at < float("inf") and self.ended_at == float("inf")

    def waiting_tokens(self) -> int:
        """Returns the tokens of items that the client has not read as listed."""
        listed = {row[0] for row in self.results.values()}
        return sum(item.tokens for item in self.items if item.item_id not in listed)

    def take_results(self, answer: JobResults) -> list[str]:
        """Takes a page of results; returns the violations in it."""
        violations: list[str] = []
        if answer.total != len(self.items):
            violations.append(f"wrong total of {self.job_id}")
        for position, row in enumerate(answer.results, answer.position):
            violations += self._take_row(position, (row.item_id, row.state, row.text))
        return violations

    def _take_row(self, position: int, row: tuple[str, str, str]) -> list[str]:
        violations: list[str] = []
        if self.results.setdefault(position, row) != row:
            violations.append(f"position {position} of {self.job_id} changed")
        names = [result[0] for result in self.results.values()]
        if len(set(names)) != len(names):
            violations.append(f"an item of {self.job_id} is listed twice")
        if row[1] == DONE and row[2] != whole_text(row[0]):
            violations.append(f"the output of {row[0]} is not whole")
        return violations


def event_text(item_id: str, number: int) -> str:
    """Returns the data of an event of an item's output."""
    return f"{item_id}:{number}"


def whole_text(item_id: str) -> str:
    """Returns the whole output of an item."""
    return "\n".join(event_text(item_id, number) for number in range(1, EVENTS_AN_ITEM + 1))
