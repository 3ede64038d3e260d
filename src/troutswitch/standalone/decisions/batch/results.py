"""Reads a job's results from the log, from any daemon."""

from array import array

from troutswitch.outcomes import Step
from troutswitch.standalone.constants import CHUNK_ITEMS
from troutswitch.standalone.decisions.batch.calls import (
    STILL_WAITING,
    CallContext,
    JobCall,
    Progress,
    log_unavailable_refusal,
)
from troutswitch.standalone.decisions.batch.jobs import Job
from troutswitch.standalone.decisions.batch.owner import find_chunk_items
from troutswitch.standalone.decisions.batch.replica import ShardReplica
from troutswitch.standalone.decisions.effects import (
    AnswerCall,
    CallRefused,
    Effect,
    ItemResult,
    JobResults,
)
from troutswitch.standalone.decisions.events import LogRead, LogReadFailed
from troutswitch.standalone.log_service.records import (
    BatchItem,
    Entry,
    ItemFinished,
    JobClosed,
    UnreadableEntry,
    decode_entry,
    unpack_offsets,
)

MAX_RESULTS_PER_ANSWER = 256
"""Maximum results in one answer."""
MAX_ENTRIES_PER_READ = 64
"""Maximum entries requested in one read."""


class ResultsRead(JobCall):
    """Reads results starting at item `first`; items without a result are omitted."""

    def __init__(
        self,
        context: CallContext,
        token: str,
        tenant: str,
        job_id: str,
        shard: int,
        deadline: float,
        first: int,
        limit: int,
    ) -> None:
        super().__init__(token, tenant, job_id, shard, deadline)
        self._context = context
        self._first = first
        self._limit = max(1, min(limit, MAX_RESULTS_PER_ANSWER))
        self._is_started = False
        self._is_answered = False
        self._stream = ""
        self._job: Job | None = None
        self._offsets: array[int] = array("Q")
        self._entries: dict[int, bytes] = {}
        self._pending_reads = 0

    def on_found(self, now: float, replica: ShardReplica, job: Job) -> Progress:
        """Starts the reads on the first call, then waits for their answers."""
        if self._is_started:
            return Progress(True) if self._is_answered else STILL_WAITING
        self._is_started = True
        self._stream = replica.stream
        self._job = job
        end = min(self._first + self._limit, job.item_count)
        if self._first >= job.item_count:
            return Progress(True, [self._results_answer([])])
        if job.is_closed:
            read = self._context.reader.read(
                replica.stream, job.close_offset, self._on_close_entry, limit=1
            )
            return Progress(False, read)
        self._offsets = job.result_offsets[self._first : end]
        states = job.item_states[self._first : end]
        wanted = [
            offset
            for offset, state in zip(self._offsets, states, strict=True)
            if state >= 2  # final; see ItemState
        ]
        return Progress(False, self._read_entries(job, wanted))

    def _on_close_entry(self, now: float, answer: LogRead | LogReadFailed) -> list[Effect]:
        if isinstance(answer, LogReadFailed) or self._job is None:
            return self._fail()
        packed = _find_close(answer, self.job_id)
        if packed is None:
            return self._fail()
        self._offsets = unpack_offsets(packed)[self._first : self._first + self._limit]
        return self._read_entries(self._job, list(self._offsets))

    def _read_entries(self, job: Job, results: list[int]) -> list[Effect]:
        first_chunk = self._first // CHUNK_ITEMS
        last_chunk = (self._first + len(self._offsets) - 1) // CHUNK_ITEMS
        chunks = job.chunk_offsets[first_chunk : last_chunk + 1]
        effects: list[Effect] = []
        for start, count in _contiguous_ranges(sorted({*results, *chunks})):
            self._pending_reads += 1
            effects.extend(
                self._context.reader.read(self._stream, start, self._on_entries, limit=count)
            )
        return effects

    def _on_entries(self, now: float, answer: LogRead | LogReadFailed) -> list[Effect]:
        self._pending_reads -= 1
        if self._is_answered:
            return []
        if isinstance(answer, LogReadFailed):
            return self._fail()
        for position, payload in enumerate(answer.entries):
            self._entries[answer.offset + position] = payload
        if self._pending_reads > 0:
            return []
        return self._answer_with_results()

    def _answer_with_results(self) -> list[Effect]:
        self._is_answered = True
        assert self._job is not None
        results = []
        for position, offset in enumerate(self._offsets):
            index = self._first + position
            record = find_result(self._entries.get(offset), self.job_id, index)
            if record is not None:
                name = self._custom_id(index)
                results.append(ItemResult(index, name, record.outcome, record.body))
        return [self._results_answer(results)]

    def _custom_id(self, index: int) -> str:
        assert self._job is not None
        chunk_index = index // CHUNK_ITEMS
        offset = self._job.chunk_offsets[chunk_index]
        payload = self._entries.get(offset)
        if payload is None:
            return ""
        answer = LogRead(0, self._stream, offset, (payload,), offset + 1)
        items: list[BatchItem] = find_chunk_items(answer, self.job_id, chunk_index) or []
        return items[index % CHUNK_ITEMS].custom_id if items else ""

    def _results_answer(self, results: list[ItemResult]) -> AnswerCall:
        assert self._job is not None
        end = self._first + self._limit
        next_index = end if end < self._job.item_count else None
        return AnswerCall(self.token, JobResults(self.job_id, tuple(results), next_index))

    def _fail(self) -> list[Effect]:
        if self._is_answered:
            return []
        self._is_answered = True
        refusal: CallRefused = log_unavailable_refusal(Step.READ)
        return [AnswerCall(self.token, refusal)]

    def expire(self) -> list[Effect]:
        """Refuses the call unless it has been answered."""
        return self._fail()


def find_result(payload: bytes | None, job_id: str, index: int) -> ItemFinished | None:
    """Returns the valid result of an item in the entry at its result offset, or None.

    If one writer recorded the item under two epochs in one entry, the later epoch had
    begun before the entry was written, so only the record of the later epoch is valid.
    """
    entry = _decode_or_none(payload)
    if entry is None:
        return None
    found: ItemFinished | None = None
    for record in entry.records:
        if not isinstance(record, ItemFinished):
            continue
        if (record.job_id, record.item_index) != (job_id, index):
            continue
        if found is None or record.epoch > found.epoch:
            found = record
    return found


def _find_close(answer: LogRead, job_id: str) -> bytes | None:
    entry = _decode_or_none(answer.entries[0] if answer.entries else None)
    if entry is None:
        return None
    for record in entry.records:
        if isinstance(record, JobClosed) and record.job_id == job_id:
            return record.result_offsets
    return None


def _decode_or_none(payload: bytes | None) -> Entry | None:
    if payload is None:
        return None
    try:
        return decode_entry(payload)
    except UnreadableEntry:
        return None


def _contiguous_ranges(offsets: list[int]) -> list[tuple[int, int]]:
    """Groups sorted offsets into contiguous ranges of (start, count)."""
    ranges: list[tuple[int, int]] = []
    for offset in offsets:
        if (
            ranges
            and offset == ranges[-1][0] + ranges[-1][1]
            and ranges[-1][1] < MAX_ENTRIES_PER_READ
        ):
            ranges[-1] = (ranges[-1][0], ranges[-1][1] + 1)
        else:
            ranges.append((offset, 1))
    return ranges
