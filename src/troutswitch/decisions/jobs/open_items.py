"""The items of this daemon's shards that are not listed: what is known of each."""

from collections.abc import Iterable, Iterator

from troutswitch.decisions.jobs.index import JobEntry
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.order import ItemKey
from troutswitch.decisions.jobs.replicas import JobReplicas


class OpenItems:
    """Progress of items by job and item, taken over from what earlier owners saved."""

    def __init__(self, replicas: JobReplicas) -> None:
        self._replicas = replicas
        self._items: dict[ItemKey, ItemProgress] = {}
        self._asked_shards: set[int] = set()

    def __iter__(self) -> Iterator[ItemProgress]:
        return iter(list(self._items.values()))

    def holds(self, progress: ItemProgress) -> bool:
        """Returns whether the item is known with this progress, and did not begin anew."""
        return self._items.get(progress.key) is progress

    def drop(self, progress: ItemProgress) -> None:
        """Forgets an item."""
        self._items.pop(progress.key, None)

    def unfinished(self) -> list[ItemProgress]:
        """Returns the items that are still to be done."""
        return [progress for progress in self._items.values() if not progress.is_finished]

    def of_shard(self, shard: int) -> list[ItemProgress]:
        """Returns the items of a shard."""
        return [progress for progress in self._items.values() if progress.shard == shard]

    def startable(self, now: float, entries: Iterable[JobEntry]) -> list[ItemProgress]:
        """Returns the items of some jobs that may start; those not known yet become known."""
        return [p for entry in entries for p in self._of_job(entry) if _may_start(now, p)]

    def _of_job(self, entry: JobEntry) -> list[ItemProgress]:
        manifest = entry.manifest
        content = self._replicas.shard(manifest.shard).fold.content(manifest.job_id)
        items = content.items()
        if len(items) < manifest.item_count:
            self._ask_shard(manifest.shard)
        held: list[ItemProgress] = []
        for number, item in enumerate(items):
            if item.item_id in content.listed:
                continue
            progress = self._items.get((manifest.job_id, item.item_id))
            if progress is None:
                progress = ItemProgress(manifest.shard, manifest.job_id, item, number)
                progress.restore(content.saved_output(number))
                progress.failures = progress.failures_saved = content.failures.get(number, 0)
                self._items[progress.key] = progress
            held.append(progress)
        return held

    def _ask_shard(self, shard: int) -> None:
        """Has the shard read on: a job's items are stored before the job is placed."""
        if shard in self._asked_shards:
            return
        self._asked_shards.add(shard)
        self._replicas.shard(shard).refresher.ask(
            lambda now, succeeded: self._asked_shards.discard(shard)
        )

    def compare_saved(self, shard: int) -> None:
        """Compares items with what the shard's new reading tells; strange ones begin anew."""
        fold = self._replicas.shard(shard).fold
        for progress in self.of_shard(shard):
            saved = fold.content(progress.job_id).saved_output(progress.number)
            if not progress.is_finished and not progress.agrees_with(saved):
                self.drop(progress)


def _may_start(now: float, progress: ItemProgress) -> bool:
    return not progress.run and not progress.is_finished and now >= progress.retry_at
