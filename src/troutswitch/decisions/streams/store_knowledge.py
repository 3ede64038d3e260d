"""Up to which moment this daemon knows the versions that the store had.

Question: what proves that a daemon knows every version that may have begun a stream?

Inputs: when each reading of the engine list and of the records of versions (`version_history`) was
requested, by this process's clock in seconds. A reading shows at least what the store had when its
first page was requested; when its answer was handled says nothing, as the answer may have lain in a
queue while the process was suspended. Messages of peers prove nothing: their senders may know less
than this daemon, and they may be old, doubled or late.

Rule:

    COMPLETE    the versions are complete up to the request of the newest list, as lists were read
                without a gap of more than `MAX_GAP_SECONDS`
    GAP         the newest list follows a gap, in which a version may have come, begun streams and
                gone; the records of versions, which keep it, are to be read
    any         -> COMPLETE   a list was read within `MAX_GAP_SECONDS` of the knowledge before it
    COMPLETE    -> GAP        a list was read after a longer time: the process was suspended, or
                              could not reach the store
    GAP         -> COMPLETE   the records were read since

There are two proofs, both by the store alone:

1. The knowledge is no older than `CONFIRMED_SECONDS`. A version begins streams
   `ACTIVATION_SECONDS` after it was first listed, which is more, so each version that has begun
   streams was listed before.
2. The records were requested after the resumption had arrived. A version begins streams after it is
   recorded, so each version that began a stream which is resumed now is in these records.

The first costs nothing while the store is healthy. The second takes one small read, which all
resumptions that wait share, and needs no bound on time.
"""

from dataclasses import dataclass
from enum import Enum

CONFIRMED_SECONDS = 1.0
"""Age up to which this daemon's knowledge of the store shows that its versions are complete. The
difference to `ACTIVATION_SECONDS` covers clocks that run at different rates."""
MAX_GAP_SECONDS = 1.5
"""Longest time between two lists in which no version begins streams and goes unnoticed: the time
for which a further version is listed before streams begin there."""

OUT_OF_TOUCH_SECONDS = 0.4
"""Time for which readings of the list must have failed until this daemon tells peers where its
streams began: a single failure is common."""


class KnowledgeState(Enum):
    """State of a daemon's knowledge of the versions; the values are logged."""

    COMPLETE = "complete"
    OUT_OF_DATE = "list not read lately"
    GAP = "records not read since a gap"


@dataclass(slots=True)
class StoreKnowledge:
    """What this daemon has read of the store. Times are those of requests.

    Attributes:
        complete_to: every version that was listed before this is known.
        records_read_at: request of the newest reading of the records of versions.
        needs_records: whether there are records, so that a gap is closed by reading them.
        failing_since: first failure of a reading of the list since the last success, or infinite.
        wanted_at: the records are to be read by a request that is no earlier.
    """

    complete_to: float = float("-inf")
    records_read_at: float = float("-inf")
    needs_records: bool = False
    failing_since: float = float("inf")
    wanted_at: float = float("-inf")
    _listed_to: float = float("-inf")

    def on_list(self, requested_at: float) -> None:
        """Records a whole reading of the list whose first page was requested at a time."""
        self._listed_to = max(self._listed_to, requested_at)
        self._advance()

    def on_records(self, requested_at: float) -> None:
        """Records a reading of the records of versions up to their end."""
        self.records_read_at = max(self.records_read_at, requested_at)
        self._advance()

    def _advance(self) -> None:
        if not self.has_gap:
            self.complete_to = max(self.complete_to, self._listed_to)

    @property
    def has_gap(self) -> bool:
        """Whether the newest list follows a time of which nothing is known."""
        known_to = max(self.complete_to, self.records_read_at)
        return self.needs_records and self._listed_to > known_to + MAX_GAP_SECONDS

    def want_records(self, now: float) -> None:
        """Asks for a reading of the records that is requested from now on."""
        self.wanted_at = max(self.wanted_at, now)

    def is_out_of_touch(self, now: float) -> bool:
        """Returns whether the store was not read for a while, as readings failed."""
        return now >= self.failing_since + OUT_OF_TOUCH_SECONDS

    def age_ms(self, now: float) -> int | None:
        """Returns the age of the complete knowledge in milliseconds; None without any."""
        age = now - self.complete_to
        return round(age * 1000) if age < float("inf") else None

    def state(self, now: float) -> KnowledgeState:
        """Returns whether all versions that have begun streams until now are known, or why not."""
        if now - self.complete_to <= CONFIRMED_SECONDS:
            return KnowledgeState.COMPLETE
        return KnowledgeState.GAP if self.has_gap else KnowledgeState.OUT_OF_DATE
