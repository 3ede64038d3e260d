"""Checks of the outputs of long items, by the engines' journals.

Each event of a long item names the run that wrote it, and the journals state after which event each
run was asked to begin.
"""

from collections.abc import Iterator

from troutswitch.soak.observations import JournalEntry, Observations
from troutswitch.soak.violations import Violation
from troutswitch.standins.content import LONG_ITEM_EVENTS, LONG_ITEM_PREFIX

Run = tuple[str, int]
"""The id of an engine and the number of a run there."""


def is_long_item(body: bytes) -> bool:
    """Returns whether an item's output names the runs that wrote it."""
    return body.startswith(LONG_ITEM_PREFIX)


def results_are_of_one_output(observations: Observations) -> list[Violation]:
    """ORDER: a result has each event once, and goes on only with a run that was asked to do so.

    All runs are at engines of one software version.
    """
    runs = {
        (entry.engine, entry.run): entry
        for entry in observations.journal_entries
        if entry.kind == "begun"
    }
    return [
        Violation("ORDER", row.item_id, what)
        for job in observations.jobs
        for row in job.results
        if row.state == "completed" and is_long_item(job.items.get(row.item_id, b""))
        for what in _faults(row.item_id, row.text, runs, observations.engine_versions)
    ]


def _faults(
    item_id: str, text: str, runs: dict[Run, JournalEntry], versions: dict[str, str]
) -> Iterator[str]:
    rows = [line.split(" ") for line in text.split("\n")]
    if any(len(row) != 4 or row[0] != item_id for row in rows):
        yield "its text has events of another request"
        return
    if [row[1] for row in rows] != [str(n) for n in range(1, LONG_ITEM_EVENTS + 1)]:
        yield "its text lacks an event, or has one twice"
        return
    written_by = [(engine, int(run)) for _, _, engine, run in rows]
    for before, (former, run) in enumerate(zip([None, *written_by], written_by, strict=False)):
        if run == former:
            continue
        entry = runs.get(run)
        if entry is None or entry.request_id != item_id:
            yield f"run {run} of event {before + 1} is in no journal"
        elif entry.after != before:
            yield f"event {before + 1} is of {run}, which was asked to begin after {entry.after}"
    used = {versions.get(engine, "") for engine, _ in written_by}
    if len(used) > 1:
        yield f"its text is of versions {sorted(used)}"
