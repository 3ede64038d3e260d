"""Tells engines that left from entries that expired while the store was unreachable.

Question: the newest list lacks an engine that was there. Has it left, or could it not renew its
entry for a while and will soon be back?

Inputs: when whole lists were read, here or by peers; when a reading failed here; the interval of
readings. All times are this process's clock, in seconds.

Rule: a time without any whole list, with a failed reading in it, is an outage of the store if it
is longer than `MIN_OUTAGE_SECONDS` and than one unanswered reading explains. After an outage, a
missing engine stays in use until it has been missing for `KEEP_MISSING_SECONDS`, in lists that are
read up to that time after the last failed reading. At any other time a missing engine has left.

Why: an entry expires when its engine can't write for a while, and is back soon after the store
is; so a list read just then may lack engines that are well. A failed call of this daemon alone is
no sign of it: the store may serve all others.

Measurements: docs/POLICY.md.
"""

from collections.abc import Iterable

MIN_OUTAGE_SECONDS = 2.0
"""Least time without any whole list that is taken for an outage: entries expire after three
heartbeats without a write, so a shorter outage hardly expires one, and one unanswered reading
must not look like an outage."""
UNANSWERED_READING_SECONDS = 1.05
"""What one unanswered reading adds to the time between lists: the reader's first timeout and its
longest pause before it reads again."""
MAX_INTERVAL_JITTER = 1.2
"""Longest time between two readings, in intervals."""
KEEP_MISSING_SECONDS = 2.0
"""Time for which a missing engine stays in use after an outage: entries that expired in it are
back about so soon after its end."""


class ExpiredEntries:
    """Decides which engines that a list lacks stay in use for a while."""

    def __init__(self) -> None:
        self.interval = 0.6
        """Interval of this daemon's own readings, in seconds."""
        self.listed_at = float("-inf")
        """When the newest list was read, here or by a peer."""
        self.failed_at = float("-inf")
        """When this daemon's own reading failed last."""
        self._kept_until = float("-inf")
        self._missing_since: dict[str, float] = {}

    def on_failed(self, now: float) -> None:
        """A reading of the list failed here."""
        self.failed_at = now

    def on_list(self, read_at: float, missing: Iterable[str]) -> set[str]:
        """Takes note of a whole list; returns which of the missing engines have left."""
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
        least = max(
            MIN_OUTAGE_SECONDS, MAX_INTERVAL_JITTER * self.interval + UNANSWERED_READING_SECONDS
        )
        return self.failed_at > self.listed_at and read_at - self.listed_at >= least
