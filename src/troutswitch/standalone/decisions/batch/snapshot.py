"""Snapshots of a shard fold: the same bytes for the same prefix of the stream."""

import zlib
from array import array
from collections import OrderedDict

import cbor2
import msgspec

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


class _JobImage(msgspec.Struct, frozen=True, array_like=True):
    """A job as kept in a snapshot; the arrays are raw bytes."""

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


class _ShardImage(msgspec.Struct, frozen=True, array_like=True):
    """A shard fold as kept in a snapshot."""

    schema_version: int
    next_offset: int
    epoch: int
    owner: str
    last_owner_offset: int
    void_records: int
    jobs: list[_JobImage]
    verdicts: list[tuple[str, str, str]]
    staged: list[tuple[str, list[tuple[int, int, int]]]]
    once: list[tuple[str, str, float]]
    sequences: list[tuple[str, int]]


def encode_snapshot(fold: ShardFold) -> bytes:
    """Encodes the fold's whole state."""
    image = _ShardImage(
        ENTRY_SCHEMA_VERSION,
        fold.next_offset,
        fold.epoch,
        fold.owner,
        fold.last_owner_offset,
        fold.void_records,
        [_image_of(job) for job in fold.jobs.values()],
        [_verdict_image(job_id, verdict) for job_id, verdict in fold.verdicts.items()],
        [
            (job_id, [(index, offset, count) for index, (offset, count) in chunks.items()])
            for job_id, chunks in fold.staged.items()
        ],
        [(key, claim.request_id, claim.expires_at) for key, claim in fold.once.items()],
        fold.sequences.export(),
    )
    return zlib.compress(cbor2.dumps(msgspec.to_builtins(image, builtin_types=(bytes,))), 1)


def decode_snapshot(payload: bytes) -> ShardFold:
    """Rebuilds a fold.

    Raises:
        UnreadableEntry: the payload is malformed or of a newer schema version.
    """
    try:
        image = msgspec.convert(cbor2.loads(zlib.decompress(payload)), _ShardImage)
    except (zlib.error, cbor2.CBORDecodeError, msgspec.ValidationError, ValueError) as error:
        raise UnreadableEntry(str(error)) from error
    if image.schema_version > ENTRY_SCHEMA_VERSION:
        raise UnreadableEntry(f"snapshot schema {image.schema_version} is newer than ours")
    return _fold_of(image)


def _fold_of(image: _ShardImage) -> ShardFold:
    fold = ShardFold()
    fold.next_offset = image.next_offset
    fold.epoch = image.epoch
    fold.owner = image.owner
    fold.last_owner_offset = image.last_owner_offset
    fold.void_records = image.void_records
    for job_image in image.jobs:
        job = _job_of(job_image)
        fold.jobs[job.job_id] = job
        fold.job_of_identity[job.identity] = job.job_id
        if job.is_running and not job.is_closed:
            fold.open_jobs[job.job_id] = job
    for job_id, kind, other in image.verdicts:
        fold.verdicts[job_id] = _verdict_of(kind, other)
    for job_id, chunks in image.staged:
        fold.staged[job_id] = {index: (offset, count) for index, offset, count in chunks}
    fold.once = OrderedDict(
        (key, OnceClaim(request_id, expires)) for key, request_id, expires in image.once
    )
    fold.sequences = WriterSequences(dict(image.sequences))
    return fold


def _image_of(job: Job) -> _JobImage:
    return _JobImage(
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


def _job_of(image: _JobImage) -> Job:
    return Job(
        image.job_id,
        image.identity,
        image.content_digest,
        image.tenant,
        image.service,
        image.item_count,
        image.repeatable,
        image.committed_at,
        image.deadline,
        image.identity_window,
        _offsets(image.chunk_offsets),
        JobStatus(image.status),
        image.completed,
        image.failed,
        image.close_offset,
        bytearray(image.item_states),
        _offsets(image.result_offsets),
    )


def _offsets(raw: bytes) -> "array[int]":
    offsets = array("Q")
    offsets.frombytes(raw)
    return offsets


def _verdict_image(job_id: str, verdict: SubmissionVerdict) -> tuple[str, str, str]:
    match verdict:
        case Accepted():
            return (job_id, "accepted", "")
        case Duplicate(other):
            return (job_id, "duplicate", other)
        case Conflict(other):
            return (job_id, "conflict", other)
        case Incomplete():
            return (job_id, "incomplete", "")


def _verdict_of(kind: str, other: str) -> SubmissionVerdict:
    match kind:
        case "accepted":
            return Accepted()
        case "duplicate":
            return Duplicate(other)
        case "conflict":
            return Conflict(other)
        case _:
            return Incomplete()
