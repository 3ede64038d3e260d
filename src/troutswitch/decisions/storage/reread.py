"""Reads a whole partition: pages of the newest record of each key, then the tail.

    PAGES -> PAGES  another page follows
    PAGES -> TAIL   the last page was read; records were appended meanwhile
    any   -> done   the pages, and the tail up to the last page's end, were read

Pages are not of one moment, and a page may be older than the end that it states. So a reread has a
`floor`, an offset up to which the partition was known to reach before the first page was requested:
each page reflects every record before it. The tail is read from there to the end that the pages
stated. Of each key, only the newest record is kept, whichever way it came. The result is a state of
the partition, and nothing of it is used before.

Without a floor, the first page has one: it has its own last record, so it has every record before
it. If that lies far back, the first page is read once more with its end as the floor, since the
tail would otherwise be most of the history.

Owns what was read; the follower makes the calls.
"""

from troutswitch.decisions.storage.messages import KeyedRecord, NewestPage, RecordsRead
from troutswitch.decisions.storage.view import PartitionView

MAX_TAIL_RECORDS = 500
"""Longest tail for which the first page isn't read once more: a page holds as many records."""


class PartitionReread:
    """One reading of a whole partition.

    Args:
        view: what is known of the partition; records that it reflects are not kept.
        floor: the partition is known to reach up to this offset.

    Attributes:
        held_bytes: bytes of the records that are kept until the reread is done.
    """

    def __init__(self, view: PartitionView, floor: int) -> None:
        self.held_bytes = 0
        self._after_keys = [""]
        """Keys behind which the pages begin, up to the next one."""
        self._view = view
        self._floor = floor
        self._has_all_pages = False
        self._was_begun_again = False
        self._end = 0
        self._tail_offset = 0
        self._keys: set[str] = set()
        self._records: dict[str, KeyedRecord] = {}

    @property
    def after_key(self) -> str:
        """The key behind which the next page begins."""
        return self._after_keys[-1]

    @property
    def tail_offset(self) -> int | None:
        """Where the next read of the tail begins; None while pages are to be read."""
        return self._tail_offset if self._has_all_pages else None

    @property
    def is_done(self) -> bool:
        """Whether the pages and the tail up to their end were read."""
        return self._has_all_pages and self._tail_offset >= self._end

    def fits(self, page: NewestPage) -> bool:
        """Returns whether a page is the last one or leads to a further one."""
        return page.leads_on(self._after_keys)

    def add_page(self, page: NewestPage) -> None:
        """Adds the next page, which fits."""
        if not self.after_key and not self._begin(page):
            return
        self._end = max(self._end, page.end)
        self._keys.update(record.key for record in page.records)
        for record in page.records:
            self._keep(record)
        if page.has_more:
            self._after_keys.append(page.next_key)
            return
        self._has_all_pages = True
        self._tail_offset = self._floor

    def _begin(self, page: NewestPage) -> bool:
        """Sets the floor by the first page; returns False if that page is to be read once more."""
        last = max((record.offset for record in page.records), default=-1)
        self._floor = max(self._floor, last + 1)
        is_far_back = page.end - self._floor > MAX_TAIL_RECORDS
        if page.has_more and is_far_back and not self._was_begun_again:
            self._was_begun_again = True
            self._floor = page.end
            return False
        return True

    def add_tail(self, read: RecordsRead) -> None:
        """Adds the next records of the tail."""
        for record in read.records:
            self._keep(record)
        self._tail_offset = max(self._tail_offset, read.next_offset)

    def _keep(self, record: KeyedRecord) -> None:
        former = self._records.get(record.key)
        if self._view.reflects(record) or (former and former.offset >= record.offset):
            return
        self._records[record.key] = record
        self.held_bytes += len(record.value) - (len(former.value) if former else 0)

    def finish(self) -> None:
        """Moves the view to the state that was read."""
        self._view.replace_with(self._records, self._keys, self._floor, self._tail_offset)
