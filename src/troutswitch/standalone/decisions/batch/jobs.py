"""State of one batch job as folded from its shard's stream."""

from array import array
from dataclasses import dataclass, field
from enum import IntEnum

from troutswitch.decisions.invariants import ensure
from troutswitch.standalone.constants import CHUNK_ITEMS


class ItemState(IntEnum):
    """State of one item; its lower-case name is the outcome kept on the log."""

    OPEN = 0
    ATTEMPTED = 1  # of a job not to be repeated: an attempt is on record
    COMPLETED = 2
    FAILED = 3
    MAY_HAVE_RUN = 4

    @property
    def is_final(self) -> bool:
        """Whether a result stands for the item."""
        return self >= ItemState.COMPLETED


FINAL_OUTCOMES = {state.name.lower(): state for state in ItemState if state.is_final}


class JobStatus(IntEnum):
    """State of a job; its lower-case name is told to callers."""

    RUNNING = 0
    CANCELLED = 1
    COMPLETED = 2


@dataclass(slots=True)
class Job:
    """One committed job. An open item takes 9 bytes: one of state, eight of offset.

    `chunk_offsets[i]` is the log offset of the entry that holds chunk `i`, and
    `result_offsets[i]` that of the entry with item `i`'s result; bodies stay on
    the log. When the job is closed both item arrays are dropped and
    `close_offset` names the entry that lists the result offsets.
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
        """Allocates the item arrays of a job just committed."""
        self.item_states = bytearray(self.item_count)
        self.result_offsets = array("Q", bytes(8 * self.item_count))

    @property
    def finished(self) -> int:
        """Items with a result."""
        return self.completed + self.failed

    @property
    def is_running(self) -> bool:
        """Whether items may still be dispatched."""
        return self.status is JobStatus.RUNNING

    @property
    def is_closed(self) -> bool:
        """Whether the result offsets have moved to the log."""
        return self.close_offset >= 0

    def state_of(self, index: int) -> ItemState:
        """Returns the state of an item of a job that is not closed."""
        return ItemState(self.item_states[index])

    def finish(self, index: int, state: ItemState, offset: int) -> None:
        """Records the first valid result of an item."""
        ensure(not self.state_of(index).is_final, "an item is finished twice")
        self.item_states[index] = state
        self.result_offsets[index] = offset
        if state is ItemState.COMPLETED:
            self.completed += 1
        else:
            self.failed += 1
        ensure(self.finished <= self.item_count, "more results than items")

    def close(self, offset: int) -> None:
        """Drops the item arrays once the result offsets stand on the log."""
        ensure(self.finished == self.item_count, "a job is closed with items open")
        self.close_offset = offset
        self.status = JobStatus.COMPLETED
        self.item_states = bytearray()
        self.result_offsets = array("Q")


def chunk_count(item_count: int) -> int:
    """Returns the number of chunks that hold `item_count` items."""
    return -(-item_count // CHUNK_ITEMS)
