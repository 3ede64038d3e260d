"""Snapshots of a shard fold; equal prefixes of a stream give equal bytes."""

import zlib
from array import array
from collections import OrderedDict

import cbor2
import msgspec

from troutswitch.cbor_values import decode_cbor
from troutswitch.decoding import raises_only
from troutswitch.standalone.constants import ENTRY_SCHEMA_VERSION
from troutswitch.standalone.decisions.batch.fold import (
    Accepted,
    Conflict,
    Duplicate,
    Incomplete,
    OnceClaim,
    ShardFold,
    SubmissionVerdict,
)
from troutswitch.standalone.decisions.batch.jobs import Job, JobStatus
from troutswitch.standalone.decisions.sequences import WriterSequences
from troutswitch.standalone.log_service.records import UnreadableEntry


class _JobSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Encoded form of a job; the arrays are raw bytes."""

    job_id: str
    identity: str
    content_digest: str
    tenant: str
    service: str
    item_count: int
    repeatable: bool
    committed_at: float
    deadline: float
    identity_window: float
    status: int
    completed: int
    failed: int
    close_offset: int
    chunk_offsets: bytes
    item_states: bytes
    result_offsets: bytes


class _ShardSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Encoded form of a shard fold."""

    schema_version: int
    next_offset: int
    epoch: int
    owner: str
    last_owner_offset: int
    void_records: int
    jobs: list[_JobSnapshot]
    verdicts: list[tuple[str, str, str]]
    staged_chunks: list[tuple[str, list[tuple[int, int, int]]]]
    once_claims: list[tuple[str, str, float]]
    sequences: list[tuple[str, int]]


def encode_snapshot(fold: ShardFold) -> bytes:
    """Encodes the complete state of a fold."""
    snapshot = _ShardSnapshot(
        ENTRY_SCHEMA_VERSION,
        fold.next_offset,
        fold.epoch,
        fold.owner,
        fold.last_owner_offset,
        fold.void_records,
        [_job_to_snapshot(job) for job in fold.jobs.values()],
        [_verdict_to_tuple(job_id, verdict) for job_id, verdict in fold.verdicts.items()],
        [
            (job_id, [(index, offset, count) for index, (offset, count) in chunks.items()])
            for job_id, chunks in fold.staged_chunks.items()
        ],
        [(key, claim.request_id, claim.expires_at) for key, claim in fold.once_claims.items()],
        fold.sequences.export(),
    )
    return zlib.compress(cbor2.dumps(msgspec.to_builtins(snapshot, builtin_types=(bytes,))), 1)


@raises_only(UnreadableEntry)
def decode_snapshot(payload: bytes) -> ShardFold:
    """Decodes a fold.

    Raises:
        UnreadableEntry: The payload is malformed or has a newer schema version.
    """
    snapshot = decode_cbor(zlib.decompress(payload), _ShardSnapshot, allows_infinity=True)
    if snapshot.schema_version > ENTRY_SCHEMA_VERSION:
        raise UnreadableEntry(f"snapshot schema {snapshot.schema_version} is newer than ours")
    return _fold_from_snapshot(snapshot)


def _fold_from_snapshot(snapshot: _ShardSnapshot) -> ShardFold:
    fold = ShardFold()
    fold.next_offset = snapshot.next_offset
    fold.epoch = snapshot.epoch
    fold.owner = snapshot.owner
    fold.last_owner_offset = snapshot.last_owner_offset
    fold.void_records = snapshot.void_records
    for job_snapshot in snapshot.jobs:
        job = _job_from_snapshot(job_snapshot)
        fold.jobs[job.job_id] = job
        fold.job_of_identity[job.identity] = job.job_id
        if job.is_running and not job.is_closed:
            fold.open_jobs[job.job_id] = job
    for job_id, name, original_id in snapshot.verdicts:
        fold.verdicts[job_id] = _verdict_from_tuple(name, original_id)
    for job_id, chunks in snapshot.staged_chunks:
        fold.staged_chunks[job_id] = {index: (offset, count) for index, offset, count in chunks}
    fold.once_claims = OrderedDict(
        (key, OnceClaim(request_id, expires)) for key, request_id, expires in snapshot.once_claims
    )
    fold.sequences = WriterSequences(dict(snapshot.sequences))
    return fold


def _job_to_snapshot(job: Job) -> _JobSnapshot:
    return _JobSnapshot(
        job.job_id,
        job.identity,
        job.content_digest,
        job.tenant,
        job.service,
        job.item_count,
        job.repeatable,
        job.committed_at,
        job.deadline,
        job.identity_window,
        int(job.status),
        job.completed,
        job.failed,
        job.close_offset,
        job.chunk_offsets.tobytes(),
        bytes(job.item_states),
        job.result_offsets.tobytes(),
    )


def _job_from_snapshot(snapshot: _JobSnapshot) -> Job:
    return Job(
        snapshot.job_id,
        snapshot.identity,
        snapshot.content_digest,
        snapshot.tenant,
        snapshot.service,
        snapshot.item_count,
        snapshot.repeatable,
        snapshot.committed_at,
        snapshot.deadline,
        snapshot.identity_window,
        _offsets(snapshot.chunk_offsets),
        JobStatus(snapshot.status),
        snapshot.completed,
        snapshot.failed,
        snapshot.close_offset,
        bytearray(snapshot.item_states),
        _offsets(snapshot.result_offsets),
    )


def _offsets(raw: bytes) -> "array[int]":
    offsets = array("Q")
    offsets.frombytes(raw)
    return offsets


def _verdict_to_tuple(job_id: str, verdict: SubmissionVerdict) -> tuple[str, str, str]:
    match verdict:
        case Accepted():
            return (job_id, "accepted", "")
        case Duplicate(original_id):
            return (job_id, "duplicate", original_id)
        case Conflict(original_id):
            return (job_id, "conflict", original_id)
        case Incomplete():
            return (job_id, "incomplete", "")


def _verdict_from_tuple(name: str, original_id: str) -> SubmissionVerdict:
    match name:
        case "accepted":
            return Accepted()
        case "duplicate":
            return Duplicate(original_id)
        case "conflict":
            return Conflict(original_id)
        case _:
            return Incomplete()
