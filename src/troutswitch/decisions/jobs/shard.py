"""Content of one shard's jobs: a fold over the shard's partition.

It owns the items, results, saved output and counts of failed runs of each job, as far as the
partition is read.
"""

import itertools
from dataclasses import dataclass, field

from troutswitch.decisions.jobs.records import (
    CHECKPOINT,
    CHUNK,
    CONTINUATION,
    FAILURES,
    RESULT,
    ItemResult,
    JobItem,
    OutputPart,
    RecordError,
    ResultHead,
    output_bytes,
    read_checkpoint,
    read_chunk,
    read_continuation,
    read_failures,
    read_result_head,
    split_key,
    split_part_key,
)
from troutswitch.decisions.storage.messages import KeyedRecord


@dataclass(slots=True)
class JobContent:
    """Content of one job.

    Attributes:
        chunks: items, by the number of their chunk.
        results: results whose complete text is read, by position.
        heads: head records of results, by position.
        continuations: continuations of results' texts, by position and part.
        listed: ids of the items that have a result.
        parts: saved output, by item index and part.
        failures: number of failed runs, by item index.
        chunks_stored: number of chunks that were read, also of those stored again.
    """

    chunks: dict[int, tuple[JobItem, ...]] = field(default_factory=dict)
    results: dict[int, ItemResult] = field(default_factory=dict)
    heads: dict[int, ResultHead] = field(default_factory=dict)
    continuations: dict[int, dict[int, bytes]] = field(default_factory=dict)
    listed: set[str] = field(default_factory=set)
    parts: dict[int, dict[int, OutputPart]] = field(default_factory=dict)
    failures: dict[int, int] = field(default_factory=dict)
    chunks_stored: int = 0

    def items(self, first_chunk: int) -> list[JobItem]:
        """Returns the items in order, up to the first chunk that is not read yet.

        `first_chunk` is the number of their first chunk (`JobEntry`). Chunks with other numbers are
        of submissions with other content, which were not accepted.

        Their indices in this list are the keys of `parts` and `failures`.
        """
        numbers = itertools.takewhile(
            lambda number: number in self.chunks, itertools.count(first_chunk)
        )
        return [item for number in numbers for item in self.chunks[number]]

    def item(self, first_chunk: int, item_id: str) -> JobItem | None:
        """Returns the item with an id; None if it is not read yet."""
        return next((item for item in self.items(first_chunk) if item.item_id == item_id), None)

    def saved_output(self, item: int) -> list[OutputPart]:
        """Returns the parts of an item's saved output, in order, up to the first gap.

        All are of the output that the first part states. Without a stated output there is none:
        what follows could be of another one.
        """
        parts = self.parts.get(item, {})
        chain: list[OutputPart] = []
        position = ""
        while (part := parts.get(len(chain))) is not None and part.after == position:
            if not part.output.is_stated or part.output != parts[0].output:
                break
            chain.append(part)
            position = part.position
        return chain

    def stored_parts(self, item: int) -> int:
        """Returns how many records may hold saved output of an item, of whatever output."""
        return 1 + max(self.parts.get(item, ()), default=-1)

    @property
    def next_position(self) -> int:
        """Position at which the next result is listed."""
        return len(self.heads)

    def add_head(self, position: int, head: ResultHead) -> None:
        """Adds the head record of a result."""
        self.heads[position] = head
        self.listed.add(head.item_id)
        self._complete(position)

    def add_continuation(self, position: int, part: int, piece: bytes) -> None:
        """Adds a continuation of a result's text."""
        self.continuations.setdefault(position, {})[part] = piece
        self._complete(position)

    def _complete(self, position: int) -> None:
        head = self.heads.get(position)
        result = head.assemble(self.continuations.get(position, {})) if head is not None else None
        if result is not None:
            self.results[position] = result

    def remove_result(self, position: int) -> None:
        """Drops a result whose head record was removed."""
        self.results.pop(position, None)
        self.heads.pop(position, None)

    @property
    def is_empty(self) -> bool:
        """Whether the job has no records."""
        return not (self.chunks or self.heads or self.parts or self.continuations or self.failures)

    def results_from(self, position: int, max_bytes: int) -> list[ItemResult]:
        """Returns the results from a position on: as many as fit `max_bytes`, but at least one.

        Texts count with their size as JSON strings.
        """
        rows: list[ItemResult] = []
        size = 0
        while (result := self.results.get(position + len(rows))) is not None:
            size += output_bytes(result.text) + len(result.item_id)
            if rows and size > max_bytes:
                break
            rows.append(result)
        return rows


@dataclass
class ShardFold:
    """All jobs of a shard. Records may be applied repeatedly."""

    jobs: dict[str, JobContent] = field(default_factory=dict)
    malformed: int = 0
    held_bytes: int = 0
    """Bytes of the records that are applied and not removed."""
    _record_bytes: dict[str, int] = field(default_factory=dict)
    """Bytes of each such record, by its key."""

    def apply(self, record: KeyedRecord) -> None:
        """Applies a record; counts it as malformed if this version cannot decode it."""
        self._count_bytes(record)
        if record.key.startswith((f"{CHECKPOINT}:", f"{CONTINUATION}:")):
            self._apply_part(record)
            return
        kind, job_id, number = split_key(record.key)
        if not record.value:
            self._remove(kind, job_id, number)
            return
        content = self.jobs.setdefault(job_id, JobContent())
        try:
            if kind == CHUNK:
                content.chunks[number] = read_chunk(record.value)
                content.chunks_stored += 1
            elif kind == RESULT:
                content.add_head(number, read_result_head(record.value))
            elif kind == FAILURES:
                content.failures[number] = read_failures(record.value)
        except RecordError:
            self.malformed += 1

    def _count_bytes(self, record: KeyedRecord) -> None:
        size = len(record.value)
        self.held_bytes += size - self._record_bytes.pop(record.key, 0)
        if size:
            self._record_bytes[record.key] = size

    def _remove(self, kind: str, job_id: str, number: int) -> None:
        """Drops a removed record, and the job with its last record."""
        content = self.jobs.get(job_id)
        if content is None:
            return
        if kind == RESULT:
            content.remove_result(number)
        elif kind == CHUNK:
            content.chunks.pop(number, None)
        elif kind == FAILURES:
            content.failures.pop(number, None)
        if content.is_empty:
            del self.jobs[job_id]

    def _apply_part(self, record: KeyedRecord) -> None:
        """Applies a part of an item's saved output, or a continuation of a result."""
        try:
            job_id, number, part = split_part_key(record.key)
            if not record.value:
                self._remove_part(record.key, job_id, number, part)
            elif record.key.startswith(f"{CONTINUATION}:"):
                piece = read_continuation(record.value)
                self.jobs.setdefault(job_id, JobContent()).add_continuation(number, part, piece)
            else:
                self._remove_part(record.key, job_id, number, part)
                output = read_checkpoint(record.value)
                content = self.jobs.setdefault(job_id, JobContent())
                content.parts.setdefault(number, {})[part] = output
        except RecordError:
            self.malformed += 1

    def _remove_part(self, key: str, job_id: str, number: int, part: int) -> None:
        content = self.jobs.get(job_id)
        if content is None:
            return
        parts: dict[int, dict[int, bytes]] | dict[int, dict[int, OutputPart]]
        parts = content.continuations if key.startswith(f"{CONTINUATION}:") else content.parts
        parts.get(number, {}).pop(part, None)
        if not parts.get(number, True):
            del parts[number]
        if content.is_empty:
            del self.jobs[job_id]

    def content(self, job_id: str) -> JobContent:
        """Returns a job's content; empty if no record of it is read."""
        return self.jobs.get(job_id) or JobContent()
