"""The content of one shard's jobs: a fold over the shard's partition."""

import itertools
from dataclasses import dataclass, field

from troutswitch.decisions.jobs.records import (
    CHECKPOINT,
    CHUNK,
    RESULT,
    ItemResult,
    JobItem,
    OutputPart,
    RecordError,
    read_checkpoint,
    read_chunk,
    read_result,
    split_checkpoint_key,
    split_key,
)
from troutswitch.decisions.storage.messages import KeyedRecord


@dataclass(slots=True)
class JobContent:
    """Items and results of one job."""

    chunks: dict[int, tuple[JobItem, ...]] = field(default_factory=dict)
    results: dict[int, ItemResult] = field(default_factory=dict)
    listed: set[str] = field(default_factory=set)
    parts: dict[int, dict[int, OutputPart]] = field(default_factory=dict)

    def items(self) -> list[JobItem]:
        """Returns the items in order, up to the first chunk that was not read yet.

        An item's place among them is its number, by which its saved output is found.
        """
        numbers = itertools.takewhile(lambda number: number in self.chunks, itertools.count())
        return [item for number in numbers for item in self.chunks[number]]

    def item(self, item_id: str) -> JobItem | None:
        """Returns the item of an id."""
        return next((item for item in self.items() if item.item_id == item_id), None)

    def saved_output(self, item: int) -> list[OutputPart]:
        """Returns the parts of an item's output that follow one another from the start."""
        held = self.parts.get(item, {})
        chain: list[OutputPart] = []
        position = ""
        while (part := held.get(len(chain))) is not None and part.after == position:
            chain.append(part)
            position = part.position
        return chain

    @property
    def next_position(self) -> int:
        """Position of the next result."""
        return len(self.results)

    def results_from(self, position: int, bytes_most: int) -> list[ItemResult]:
        """Returns results at a position and after, as many as fit but at least one."""
        rows: list[ItemResult] = []
        size = 0
        while (result := self.results.get(position + len(rows))) is not None:
            size += len(result.text) + len(result.item_id)
            if rows and size > bytes_most:
                break
            rows.append(result)
        return rows


@dataclass
class ShardFold:
    """All jobs of a shard. Records may be taken any number of times."""

    jobs: dict[str, JobContent] = field(default_factory=dict)
    malformed: int = 0

    def take(self, record: KeyedRecord) -> None:
        """Folds a record in; one that this version cannot read is counted."""
        if record.key.startswith(f"{CHECKPOINT}:"):
            self._take_checkpoint(record)
            return
        kind, job_id, number = split_key(record.key)
        if not record.value:
            self._remove(kind, job_id, number)
            return
        content = self.jobs.setdefault(job_id, JobContent())
        try:
            if kind == CHUNK:
                content.chunks[number] = read_chunk(record.value)
            elif kind == RESULT:
                self._take_result(content, number, read_result(record.value))
        except RecordError:
            self.malformed += 1

    def _remove(self, kind: str, job_id: str, number: int) -> None:
        """Forgets a record; a job is forgotten with the last one."""
        content = self.jobs.get(job_id)
        if content is None:
            return
        if kind == RESULT:
            content.results.pop(number, None)
        elif kind == CHUNK:
            content.chunks.pop(number, None)
        if not (content.chunks or content.results or content.parts):
            del self.jobs[job_id]

    @staticmethod
    def _take_result(content: JobContent, position: int, result: ItemResult) -> None:
        content.results[position] = result
        content.listed.add(result.item_id)

    def _take_checkpoint(self, record: KeyedRecord) -> None:
        try:
            job_id, item, part = split_checkpoint_key(record.key)
            output = read_checkpoint(record.value) if record.value else None
        except RecordError:
            self.malformed += 1
            return
        if output is not None:
            content = self.jobs.setdefault(job_id, JobContent())
            content.parts.setdefault(item, {})[part] = output
        elif (held := self.jobs.get(job_id)) is not None:
            held.parts.get(item, {}).pop(part, None)
            if not held.parts.get(item, True):
                del held.parts[item]

    def content(self, job_id: str) -> JobContent:
        """Returns a job's content, empty if nothing of it was read."""
        return self.jobs.get(job_id) or JobContent()
