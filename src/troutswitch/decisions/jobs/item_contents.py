"""Content keys of items, under which engine crashes are counted over all owners.

Items of one job that share a path have a common key until one of them is done. Guards against a
job whose items all crash engines: the likely cause is then what they have in common, and if each
item were counted separately, each could crash as many engines as a single item may.
"""

from collections import Counter
from collections.abc import Callable, Mapping

from troutswitch.decisions.crashes.content import content_key, part_keys
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.records import DONE
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.jobs.shard import JobContent

SHARED_METHOD = "ITEMS"
"""Stands for the method in a common key, so that no request has the same key."""
MAX_CACHE_ENTRIES = 1024
"""Maximum number of entries in each cache; missing ones are computed again."""


def unknown_prompt(headers: Mapping[str, str]) -> PromptShape:
    """Returns a prompt without parts, where headers are not decoded."""
    return PromptShape()


class ItemContentKeys:
    """Content keys of the items that this daemon owns."""

    def __init__(
        self,
        replicas: JobReplicas,
        prompt_of: Callable[[Mapping[str, str]], PromptShape] = unknown_prompt,
    ) -> None:
        self._replicas = replicas
        self._prompt_of = prompt_of
        self._done: dict[tuple[str, str], None] = {}
        """Jobs and paths with an item that is known to be done; drops the oldest first."""
        self._paths: dict[str, Counter[str]] = {}
        """Items counted by job and path; cached once all items of the job are read."""

    def run_key(self, progress: ItemProgress) -> str:
        """Returns the key under which a run of an item counts; empty if its job is unknown."""
        return self.shared_key(progress) or self._own_key(progress)

    def refusal_keys(self, progress: ItemProgress) -> tuple[str, ...]:
        """Returns the keys under which an item may be refused: its own, shared ones, its parts'."""
        shared = self.shared_key(progress)
        parts = self.part_keys(progress)
        own = self._own_key(progress)
        return (own, shared, *parts) if shared else (own, *parts)

    def part_keys(self, progress: ItemProgress) -> tuple[str, ...]:
        """Returns the keys of the shared parts of an item's prompt."""
        return part_keys(self._prompt_of(dict(progress.item.headers)))

    def on_done(self, progress: ItemProgress) -> None:
        """Records that an item is done, after which items with its path have no common key."""
        if self.path_count(progress) > 1:
            self._record_done(progress)

    def _own_key(self, progress: ItemProgress) -> str:
        entry = self._replicas.index.jobs.get(progress.job_id)
        if not progress.content and entry is not None:
            item = progress.item
            progress.content = content_key(entry.manifest.host, "POST", item.path, item.body)
        return progress.content

    def shared_key(self, progress: ItemProgress) -> str:
        """Returns the common key of the job's items with this path; empty if there is none."""
        entry = self._replicas.index.jobs.get(progress.job_id)
        if entry is None or self.path_count(progress) < 2 or self._path_was_done(progress):
            return ""
        path = progress.item.path
        return content_key(entry.manifest.host, SHARED_METHOD, path, progress.job_id.encode())

    def path_count(self, progress: ItemProgress) -> int:
        """Returns how many items of the job have this item's path, including itself."""
        paths = self._paths.get(progress.job_id)
        if paths is None:
            paths = self._count_paths(progress)
        return paths[progress.item.path]

    def _count_paths(self, progress: ItemProgress) -> Counter[str]:
        items = self._content(progress).items()
        paths = Counter(item.path for item in items)
        entry = self._replicas.index.jobs.get(progress.job_id)
        if entry is not None and len(items) == entry.manifest.item_count:
            self._paths[progress.job_id] = paths
            if len(self._paths) > MAX_CACHE_ENTRIES:
                del self._paths[next(iter(self._paths))]
        return paths

    def _path_was_done(self, progress: ItemProgress) -> bool:
        """Returns whether an item of the job with this path is done, at any owner."""
        path = progress.item.path
        if (progress.job_id, path) in self._done:
            return True
        content = self._content(progress)
        done = {result.item_id for result in content.results.values() if result.state == DONE}
        if not any(item.item_id in done and item.path == path for item in content.items()):
            return False
        self._record_done(progress)
        return True

    def _record_done(self, progress: ItemProgress) -> None:
        self._done[progress.job_id, progress.item.path] = None
        if len(self._done) > MAX_CACHE_ENTRIES:
            del self._done[next(iter(self._done))]

    def _content(self, progress: ItemProgress) -> JobContent:
        return self._replicas.shard(progress.shard).fold.content(progress.job_id)
