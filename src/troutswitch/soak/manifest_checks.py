"""Checks each manifest in the index of jobs against the index before it.

A job is accepted by its manifest. When that is appended, the job must be unknown, and fit the limit
of queued tokens, by the records before it.
"""

from collections.abc import Iterable

from troutswitch.common import Address
from troutswitch.decisions.jobs.index import JobIndex
from troutswitch.decisions.jobs.records import INDEX, MANIFEST, read_manifest, split_key
from troutswitch.decisions.storage.messages import KeyedRecord, ReadRecords, RecordsRead
from troutswitch.platform.store import StoreClient

READ_ATTEMPTS = 20
"""Reads that may fail, as the store of a soak is busy."""


def unfounded_manifests(records: Iterable[KeyedRecord], max_queued_tokens: int = 0) -> list[str]:
    """Returns the manifests whose job was known, or did not fit, by the index before them.

    Args:
        records: all records of the index, in order.
        max_queued_tokens: the limit of the jobs' route; 0 if there is none.
    """
    index = JobIndex()
    found: list[str] = []
    for record in records:
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


def read_index(store: Address) -> list[KeyedRecord] | None:
    """Returns all records of the index; None if its history was dropped or it can't be read."""
    client = StoreClient(store)
    records: list[KeyedRecord] = []
    for _ in range(READ_ATTEMPTS):
        outcome = client.call(ReadRecords(0, INDEX, len(records)))
        while isinstance(outcome, RecordsRead):
            records += outcome.records
            if outcome.next_offset >= outcome.end:
                return records
            outcome = client.call(ReadRecords(0, INDEX, len(records)))
    return None
