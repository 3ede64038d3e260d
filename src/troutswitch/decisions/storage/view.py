"""The newest records of a partition's keys, as far as this process has read them.

The view is always a state that the partition had: the one before offset `complete_to`, and newer
records only of keys that this process wrote itself. It changes in three ways, each in one step:

- records that were read from `complete_to` on are added;
- records that this process appended are added as soon as the store has acknowledged them;
- the result of reading the whole partition again replaces it (`reread`).

No key goes back to an older record, and a key disappears only once its removal was read.

What a reader needs before it acts, all checked by `includes` or by the store:

| reader | the view must include |
| --- | --- |
| owner of a shard | the append that fenced the former owners off |
| call of a client, submission of a job | the end that the store stated after the call had come |
| append of a manifest or of a claim | all records: the store compares its end with `complete_to` |
| tailing reader (index, claims, crashes, configuration) | the end that the store stated once |

Owns the offset of the newest record of each key. The values are kept by the reader, which gets each
change through `apply`.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.storage.messages import Appended, KeyedRecord, RecordsRead


class PartitionView:
    """What is known of one partition.

    Args:
        apply: called with each record that changes the view; an empty value removes its key, which
            the reader may know from elsewhere.

    Attributes:
        complete_to: every record before this offset is reflected.
        is_read: whether the whole partition was read at least once.
    """

    def __init__(self, apply: Callable[[KeyedRecord], None]) -> None:
        self.complete_to = 0
        self.is_read = False
        self._apply = apply
        self._offsets: dict[str, int] = {}
        """Offset of the newest record of each key that has one."""
        self._removals: dict[str, int] = {}
        """Offset of the removal of each key, for removals from `complete_to` on."""

    def includes(self, end: int) -> bool:
        """Returns whether every record before the offset `end` is reflected."""
        return self.is_read and self.complete_to >= end

    def reflects(self, record: KeyedRecord) -> bool:
        """Returns whether a record, or a newer one of its key, is reflected."""
        if record.offset < self.complete_to:
            return True
        known = max(self._offsets.get(record.key, -1), self._removals.get(record.key, -1))
        return record.offset <= known

    def add_read(self, read: RecordsRead) -> None:
        """Adds records that the store returned from an offset that the view includes."""
        start = read.next_offset - len(read.records)
        ensure(self.includes(start), "a read begins after the records that are known")
        for record in read.records:
            self._add(record)
        self._complete(read.next_offset)

    def add_appended(self, records: Iterable[KeyedRecord], appended: Appended) -> None:
        """Adds records that this process appended, which other records may precede."""
        end = appended.offset
        for record in records:
            self._add(replace(record, offset=end))
            end += 1
        if self.includes(appended.offset):
            self._complete(end)

    def replace_with(
        self, records: Mapping[str, KeyedRecord], keys: set[str], floor: int, complete_to: int
    ) -> None:
        """Moves the view to the state that was read again.

        Args:
            records: the newest record that was read of each key; an empty value removes its key.
            keys: the keys that the partition had.
            floor: `keys` reflect every record before this offset. A key of an older record that is
                not among them was removed.
            complete_to: every record before this offset was read.
        """
        for record in sorted(records.values(), key=lambda record: record.offset):
            self._add(record)
        missing = [key for key, at in self._offsets.items() if at < floor and key not in keys]
        for key in missing:
            del self._offsets[key]
            self._apply(KeyedRecord(key, b""))
        self.is_read = True
        self._complete(complete_to)

    def _add(self, record: KeyedRecord) -> None:
        if self.reflects(record):
            return
        if record.value:
            self._offsets[record.key] = record.offset
            self._removals.pop(record.key, None)
        else:
            self._offsets.pop(record.key, None)
            self._removals[record.key] = record.offset
        self._apply(record)

    def _complete(self, offset: int) -> None:
        self.complete_to = max(self.complete_to, offset)
        if self._removals:
            kept = {key: at for key, at in self._removals.items() if at >= self.complete_to}
            self._removals = kept
