"""Checks each manifest in the index of a store against the index before it."""

from troutswitch.decisions.jobs.index import JobIndex
from troutswitch.decisions.jobs.records import INDEX, MANIFEST, read_manifest, split_key
from troutswitch.standins.keyed_store import KeyedStoreModel


def unfounded_manifests(store: KeyedStoreModel, max_queued_tokens: int = 0) -> list[str]:
    """Returns the manifests whose job was known, or did not fit, by the index before them.

    `max_queued_tokens` is the limit of the jobs' route; 0 if there is none.
    """
    index = JobIndex()
    found: list[str] = []
    for record in store.log(INDEX).records:
        kind, job_id, _ = split_key(record.key)
        if kind == MANIFEST and record.value:
            manifest = read_manifest(job_id, record.value)
            if job_id in index.jobs:
                found.append(f"the job was known: {job_id} at {record.offset}")
            queued = index.queued_tokens(manifest.route, manifest.tenant)
            if max_queued_tokens and queued + manifest.tokens > max_queued_tokens:
                found.append(f"{queued} tokens were queued before {job_id} at {record.offset}")
        index.apply(0.0, record)
    return found
