"""Distinguishes engines that left from entries that expired while the store was unreachable.

Question: an engine is missing from the newest list. Has it left, or was it unable to renew its
entry for a while and will be listed again soon?

Inputs: when whole lists were read, here or by peers; when a reading failed here; the interval of
readings. All times are this process's clock, in seconds.

Rule: a period without any whole list, with a failed reading in it, is an outage of the store if it
is at least `MIN_OUTAGE_SECONDS` and longer than one unanswered reading explains. For lists that are
read within `KEEP_MISSING_SECONDS` of the last failed reading, a missing engine stays in use until
it has been missing for `KEEP_MISSING_SECONDS`. At any other time a missing engine has left.

Why: an entry expires if its engine can't write for a while, and is renewed soon after the store is
back. A list that is read in between may lack healthy engines. A failed call of this daemon alone is
no evidence of an outage: the store may serve all others.

Measurements: docs/POLICY.md.
"""

from collections.abc import Iterable

MIN_OUTAGE_SECONDS = 2.0
"""Minimum time without any whole list that counts as an outage. Entries expire after three
heartbeats without a write, so hardly any entry expires in a shorter outage. One unanswered reading
must not count as an outage."""
UNANSWERED_READING_SECONDS = 1.05
"""Time that one unanswered reading adds between two lists: the reader's first timeout and its
longest pause before it reads again."""
MAX_INTERVAL_JITTER = 1.2
"""Longest time between two readings, as a multiple of the interval."""
KEEP_MISSING_SECONDS = 2.0
"""Time for which a missing engine stays in use after an outage. Entries that expired in an outage
are renewed within about this time after its end."""


class ExpiredEntries:
    """Decides which engines that are missing from a list stay in use for a while."""

    def __init__(self) -> None:
        self.interval = 0.6
        """Interval of this daemon's own readings, in seconds."""
        self.listed_at = float("-inf")
        """When the newest list was read, here or by a peer."""
        self.failed_at = float("-inf")
        """When a reading of this daemon last failed."""
        self._kept_until = float("-inf")
        self._missing_since: dict[str, float] = {}

    def on_failed(self, now: float) -> None:
        """Records that a reading of the list by this daemon failed."""
        self.failed_at = now

    def on_list(self, read_at: float, missing: Iterable[str]) -> set[str]:
        """Records a whole list; returns which of the missing engines have left."""
        if self._is_after_outage(read_at):
            self._kept_until = self.failed_at + KEEP_MISSING_SECONDS
        self.listed_at = read_at
        self._missing_since = {name: self._missing_since.get(name, read_at) for name in missing}
        if read_at > self._kept_until:
            return set(self._missing_since)
        return {
            name
            for name, since in self._missing_since.items()
            if read_at - since >= KEEP_MISSING_SECONDS
        }

    def _is_after_outage(self, read_at: float) -> bool:
        min_outage = max(
            MIN_OUTAGE_SECONDS, MAX_INTERVAL_JITTER * self.interval + UNANSWERED_READING_SECONDS
        )
        return self.failed_at > self.listed_at and read_at - self.listed_at >= min_outage
