"""Ends items: with their complete output, or dead-lettered.

An item ends once. Its result is passed to the shard's writer if this daemon still has to run it.
"""

from collections.abc import Callable

from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.open_items import OpenItems
from troutswitch.decisions.jobs.records import DEAD, DONE, ItemResult
from troutswitch.decisions.jobs.writer import ShardWriter


class ItemEndings:
    """Ends this daemon's items with a result."""

    def __init__(self, items: OpenItems, writer: ShardWriter, log: Callable[..., None]) -> None:
        self._items = items
        self._writer = writer
        self._log = log

    def complete(self, progress: ItemProgress) -> None:
        """Ends an item whose output is complete."""
        self._end(progress, ItemResult(progress.item.item_id, DONE, progress.output))

    def dead_letter(self, progress: ItemProgress, reason: str) -> None:
        """Ends an item without an output."""
        item_id = progress.item.item_id
        self._log("item dead-lettered", job_id=progress.job_id, item_id=item_id, reason=reason)
        self._end(progress, ItemResult(item_id, DEAD, ""))

    def _end(self, progress: ItemProgress, result: ItemResult) -> None:
        ensure(not progress.is_finished, "an item is finished twice")
        progress.is_finished = True
        if self._items.is_wanted(progress):
            self._writer.finish(progress, result)
