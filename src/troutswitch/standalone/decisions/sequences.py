"""Duplicate detection for log entries: the last sequence number of each writer."""

from troutswitch.standalone.constants import WRITERS_KEPT


class WriterSequences:
    """Remembers the last sequence of the writers seen most recently on one stream.

    A writer keeps at most one append in flight to a stream, so an entry whose
    sequence is not above the last one is a repeat. The table is a function of the
    stream alone, also in what it forgets.
    """

    def __init__(self, last: dict[str, int] | None = None) -> None:
        self._last = dict(last or {})

    def accept(self, writer: str, sequence: int) -> bool:
        """Returns whether the entry is new, and remembers it."""
        if sequence <= self._last.get(writer, 0):
            return False
        self._last.pop(writer, None)
        self._last[writer] = sequence
        if len(self._last) > WRITERS_KEPT:
            del self._last[next(iter(self._last))]
        return True

    def export(self) -> list[tuple[str, int]]:
        """Returns the table in order of last use, for a snapshot."""
        return list(self._last.items())
