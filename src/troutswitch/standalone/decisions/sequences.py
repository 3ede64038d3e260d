"""Duplicate detection for log entries by the last sequence number of each writer."""

from troutswitch.standalone.constants import MAX_TRACKED_WRITERS


class WriterSequences:
    """Last sequence numbers of the most recent writers of one stream.

    A writer has at most one append in flight per stream, so an entry whose sequence
    number does not exceed the last one is a duplicate. The table, including its
    evictions, depends on the stream alone, so all readers agree on it.
    """

    def __init__(self, last: dict[str, int] | None = None) -> None:
        self._last = dict(last or {})

    def accept(self, writer: str, sequence: int) -> bool:
        """Records the entry and returns whether it is new."""
        if sequence <= self._last.get(writer, 0):
            return False
        self._last.pop(writer, None)
        self._last[writer] = sequence
        if len(self._last) > MAX_TRACKED_WRITERS:
            del self._last[next(iter(self._last))]
        return True

    def export(self) -> list[tuple[str, int]]:
        """Returns the table in order of last use, for a snapshot."""
        return list(self._last.items())
