"""Keys of items, under which engine crashes are counted over all owners.

Every crash counts under the item's own key. It counts under the key of the item's path as well,
which is the same in all jobs of a tenant, until an item of the job with that path is done. Guards
against items that all crash engines: the likely cause is then what they have in common, and if each
were only counted separately, each could crash as many engines as a single item may.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from troutswitch.decisions.crashes.content import item_key, part_keys, path_key
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.records import DONE, JobItem
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.jobs.shard import JobContent

MAX_CACHED_JOBS = 1024
"""Maximum number of jobs in the cache; the oldest are dropped and computed again."""


@dataclass(slots=True)
class _JobPaths:
    """The items of a job by path, and the paths of which an item is done."""

    items: dict[str, list[JobItem]]
    done: set[str] = field(default_factory=set)
    results_read: int = 0
    """Number of results that are included in `done`."""


def unknown_prompt(headers: Mapping[str, str]) -> PromptShape:
    """Returns a prompt without parts, where headers are not decoded."""
    return PromptShape()


class ItemContentKeys:
    """Keys of the items that this daemon owns."""

    def __init__(
        self,
        replicas: JobReplicas,
        prompt_of: Callable[[Mapping[str, str]], PromptShape] = unknown_prompt,
    ) -> None:
        self._replicas = replicas
        self._prompt_of = prompt_of
        self._jobs: dict[str, _JobPaths] = {}
        """Jobs of which all items are read; drops the oldest first."""

    def own_key(self, progress: ItemProgress) -> str:
        """Returns the key of an item; empty if its job is unknown."""
        path = self.path_key(progress)
        if not progress.content and path:
            progress.content = item_key(path, progress.item.body)
        return progress.content

    def path_key(self, progress: ItemProgress) -> str:
        """Returns the key of an item's path; empty if its job is unknown."""
        entry = self._replicas.index.jobs.get(progress.job_id)
        if entry is None:
            return ""
        return path_key(entry.manifest.host, entry.manifest.tenant, progress.item.path)

    def refusal_keys(self, progress: ItemProgress) -> tuple[str, ...]:
        """Returns the keys under which an item may be refused: its own, its path's, its parts'."""
        path = self.unproven_path_key(progress)
        parts = self.part_keys(progress)
        own = self.own_key(progress)
        return (own, path, *parts) if path else (own, *parts)

    def part_keys(self, progress: ItemProgress) -> tuple[str, ...]:
        """Returns the keys of the shared parts of an item's prompt."""
        return part_keys(self._prompt_of(dict(progress.item.headers)))

    def unproven_path_key(self, progress: ItemProgress) -> str:
        """Returns the key of an item's path; empty once an item of the job with it is done."""
        job = self._paths_of(progress)
        self._add_results(job, self._content(progress))
        return "" if progress.item.path in job.done else self.path_key(progress)

    def on_done(self, progress: ItemProgress) -> None:
        """Records that an item is done, before its result is listed."""
        self._paths_of(progress).done.add(progress.item.path)

    def unlisted_siblings(self, progress: ItemProgress) -> list[str]:
        """Returns the keys of the unlisted items of a job that have an item's path."""
        path = self.path_key(progress)
        listed = self._content(progress).listed
        siblings = self._paths_of(progress).items[progress.item.path]
        return [item_key(path, item.body) for item in siblings if item.item_id not in listed]

    def _paths_of(self, progress: ItemProgress) -> _JobPaths:
        job = self._jobs.get(progress.job_id)
        if job is not None:
            return job
        entry = self._replicas.index.jobs.get(progress.job_id)
        first_chunk = entry.first_chunk if entry is not None else 0
        items = self._content(progress).items(first_chunk)
        by_path: defaultdict[str, list[JobItem]] = defaultdict(list)
        for item in items:
            by_path[item.path].append(item)
        job = _JobPaths(by_path)
        if entry is not None and len(items) == entry.manifest.item_count:
            self._jobs[progress.job_id] = job
            if len(self._jobs) > MAX_CACHED_JOBS:
                del self._jobs[next(iter(self._jobs))]
        return job

    @staticmethod
    def _add_results(job: _JobPaths, content: JobContent) -> None:
        """Adds the paths of the job's results, of any owner, since the last call."""
        if job.results_read == len(content.results):
            return
        job.results_read = len(content.results)
        done = {result.item_id for result in content.results.values() if result.state == DONE}
        for path, items in job.items.items():
            if any(item.item_id in done for item in items):
                job.done.add(path)

    def _content(self, progress: ItemProgress) -> JobContent:
        return self._replicas.shard(progress.shard).fold.content(progress.job_id)
