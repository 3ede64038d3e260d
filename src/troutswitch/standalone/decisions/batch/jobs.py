"""State of one batch job, derived from its shard's stream."""

from array import array
from dataclasses import dataclass, field
from enum import IntEnum

from troutswitch.decisions.invariants import ensure
from troutswitch.standalone.constants import CHUNK_ITEMS


class ItemState(IntEnum):
    """State of one item; the lower-case name of a final state is its outcome on the log."""

    OPEN = 0
    ATTEMPTED = 1  # non-repeatable job: an attempt is on record
    COMPLETED = 2
    FAILED = 3
    MAY_HAVE_RUN = 4

    @property
    def is_final(self) -> bool:
        """Whether the item has a result."""
        return self >= ItemState.COMPLETED


FINAL_OUTCOMES = {state.name.lower(): state for state in ItemState if state.is_final}


class JobStatus(IntEnum):
    """State of a job; its lower-case name is reported to callers."""

    RUNNING = 0
    CANCELLED = 1
    COMPLETED = 2


@dataclass(slots=True)
class Job:
    """One committed job; an open item takes 9 bytes, one for state and eight for offset.

    `chunk_offsets[i]` is the log offset of the entry with chunk `i`, and
    `result_offsets[i]` that of the entry with the result of item `i`; the bodies are
    only on the log. When the job is closed, both item arrays are released and
    `close_offset` is the offset of the entry that lists the result offsets.
    """

    job_id: str
    identity: str
    content_digest: str
    tenant: str
    service: str
    item_count: int
    repeatable: bool
    committed_at: float
    deadline: float
    identity_window: float
    chunk_offsets: "array[int]"
    status: JobStatus = JobStatus.RUNNING
    completed: int = 0
    failed: int = 0
    close_offset: int = -1
    item_states: bytearray = field(default_factory=bytearray)
    result_offsets: "array[int]" = field(default_factory=lambda: array("Q"))

    def open_items(self) -> None:
        """Allocates the item arrays of a newly committed job."""
        self.item_states = bytearray(self.item_count)
        self.result_offsets = array("Q", bytes(8 * self.item_count))

    @property
    def finished(self) -> int:
        """Number of items with a result."""
        return self.completed + self.failed

    @property
    def is_running(self) -> bool:
        """Whether items may still be dispatched."""
        return self.status is JobStatus.RUNNING

    @property
    def is_closed(self) -> bool:
        """Whether the result offsets are on the log."""
        return self.close_offset >= 0

    def state_of(self, index: int) -> ItemState:
        """Returns the state of an item of a job that is not closed."""
        return ItemState(self.item_states[index])

    def finish(self, index: int, state: ItemState, offset: int) -> None:
        """Sets the state and result offset of an item by its first valid result."""
        ensure(not self.state_of(index).is_final, "an item is finished twice")
        self.item_states[index] = state
        self.result_offsets[index] = offset
        if state is ItemState.COMPLETED:
            self.completed += 1
        else:
            self.failed += 1
        ensure(self.finished <= self.item_count, "more results than items")

    def close(self, offset: int) -> None:
        """Releases the item arrays after the result offsets were written to the log."""
        ensure(self.finished == self.item_count, "a job is closed with items open")
        self.close_offset = offset
        self.status = JobStatus.COMPLETED
        self.item_states = bytearray()
        self.result_offsets = array("Q")


def chunk_count(item_count: int) -> int:
    """Returns the number of chunks that hold `item_count` items."""
    return -(-item_count // CHUNK_ITEMS)
