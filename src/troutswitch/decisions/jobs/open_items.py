"""Unlisted items of this daemon's shards, with the progress of each.

It owns `ItemProgress` by job and item. Progress starts from the output that earlier owners saved in
the shard. It is dropped when the item's result is listed, its job is ended or its shard has another
owner.
"""

from collections.abc import Callable, Iterator

from troutswitch.decisions.jobs.index import JobEntry
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.order import ItemKey
from troutswitch.decisions.jobs.ownership import ShardOwnership
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.jobs.shard import JobContent


class OpenItems:
    """Progress of the items that this daemon has to finish."""

    def __init__(
        self, replicas: JobReplicas, ownership: ShardOwnership, log: Callable[..., None]
    ) -> None:
        self._log = log
        self._replicas = replicas
        self._ownership = ownership
        self._items: dict[ItemKey, ItemProgress] = {}
        self._shards_refreshing: set[int] = set()

    def __iter__(self) -> Iterator[ItemProgress]:
        return iter(list(self._items.values()))

    def is_wanted(self, progress: ItemProgress) -> bool:
        """Returns whether this daemon must still run an item, from this progress.

        False if the job was ended, its shard has another owner, or the item was restarted with new
        progress.
        """
        if self._items.get(progress.key) is not progress:
            return False
        entry = self._replicas.index.jobs.get(progress.job_id)
        is_open = entry is not None and not entry.is_ended
        return is_open and progress.shard in self._ownership.leases

    def drop(self, progress: ItemProgress) -> None:
        """Drops an item's progress."""
        self._items.pop(progress.key, None)

    def unfinished(self) -> list[ItemProgress]:
        """Returns the items that have no result yet."""
        return [progress for progress in self._items.values() if not progress.is_finished]

    def in_shard(self, shard: int) -> list[ItemProgress]:
        """Returns the items of a shard."""
        return [progress for progress in self._items.values() if progress.shard == shard]

    def startable(self, now: float, store_served_at: float) -> list[ItemProgress]:
        """Returns the items of startable shards that have no run in flight and may be retried now.

        Args:
            now: this process's clock, in seconds.
            store_served_at: see `ShardOwnership.startable`.
        """
        leases = self._ownership.startable(store_served_at)
        entries = [e for lease in leases for e in self._replicas.index.open_in_shard(lease.shard)]
        return [item for entry in entries for item in self._of_job(entry) if item.may_start(now)]

    def _of_job(self, entry: JobEntry) -> list[ItemProgress]:
        """Returns a job's unlisted items, and creates the progress of new ones."""
        manifest = entry.manifest
        content = self._replicas.shard(manifest.shard).fold.content(manifest.job_id)
        items = content.items(entry.first_chunk)
        if len(items) < manifest.item_count:
            self._refresh_shard(manifest.shard)
        unlisted: list[ItemProgress] = []
        for number, item in enumerate(items):
            if item.item_id in content.listed:
                continue
            progress = self._items.get((manifest.job_id, item.item_id))
            if progress is None:
                progress = ItemProgress(manifest.shard, manifest.job_id, item, number)
                self._restore(progress, content)
                progress.failures = progress.saved_failures = content.failures.get(number, 0)
                self._items[progress.key] = progress
            unlisted.append(progress)
        return unlisted

    def _restore(self, progress: ItemProgress, content: JobContent) -> None:
        """Restores the output that an earlier owner of the shard saved."""
        parts = content.saved_output(progress.number)
        stored_parts = content.stored_parts(progress.number)
        progress.restore(parts, stored_parts)
        if stored_parts:
            self._log(
                "saved output restored",
                job_id=progress.job_id,
                item_id=progress.item.item_id,
                parts=len(parts),
                stored_parts=stored_parts,
                position=progress.position,
                output=progress.output_id.start,
                written_by=progress.version,
            )

    def _refresh_shard(self, shard: int) -> None:
        """Requests a read of the shard, which has all items of an accepted job."""
        if shard in self._shards_refreshing:
            return
        self._shards_refreshing.add(shard)
        self._replicas.shard(shard).refresher.refresh(
            lambda now, succeeded: self._shards_refreshing.discard(shard)
        )

    def reconcile_saved(self, shard: int) -> None:
        """Compares the items of a shard with their saved output after the shard was read again.

        Drops items whose saved output is not from their own runs; they restart from that output.
        """
        fold = self._replicas.shard(shard).fold
        for progress in self.in_shard(shard):
            content = fold.content(progress.job_id)
            saved = content.saved_output(progress.number)
            stored = content.stored_parts(progress.number)
            if not progress.is_finished and not progress.reconcile(saved, stored):
                self._log(
                    "output of another owner found",
                    job_id=progress.job_id,
                    item_id=progress.item.item_id,
                    output=progress.output_id.start,
                    saved_output=saved[0].output.start if saved else "",
                )
                self.drop(progress)
