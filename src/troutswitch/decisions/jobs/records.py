"""Records of batch jobs in the store, their keys and their encoding.

The index partition lists all jobs:

    j:JOB                manifest, appended at the expected end of the partition
    d:JOB                digest of the content whose chunks are numbered from `first_chunk`;
                         appended with the manifest. Without it they are numbered from 0, as daemons
                         of an earlier version store and read them
    e:JOB                mark that the client ended the job
    p:JOB                tokens of the job's items that are not listed yet; not fenced, the lowest
                         count applies

A shard partition holds the content of its jobs:

    b:JOB:CHUNK          items of the job, in order. Submissions of one id with other content have
                         other numbers, so that none replaces what another has stored
    r:JOB:POSITION       one result
    x:JOB:POSITION:PART  continuation of a result's text that does not fit its record
    c:JOB:ITEM:PART      part of an item's incomplete output, with the identity of that output; a
                         successor resumes after it instead of restarting the item
    f:JOB:ITEM           number of failed runs of an item, which bounds them over all owners

Only the fenced owner of a shard writes results, continuations, parts and failed runs. Values are
CBOR arrays that start with the schema's version; an empty value removes its key. This module owns
no state.
"""

import re
from dataclasses import dataclass
from typing import Annotated, TypeVar, get_args

import cbor2
import msgspec

from troutswitch.cbor_values import MalformedCbor, decode_cbor
from troutswitch.common import stable_hash
from troutswitch.decisions.storage.messages import KeyedRecord, Partition
from troutswitch.decisions.tenants.types import NO_TENANT
from troutswitch.decoding import raises_only
from troutswitch.wire_values import is_event_id, parse_number

Form = TypeVar("Form")
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]

SCHEMA_VERSION = 4
INDEX_TOPIC = "jobs"
SHARD_TOPIC = "items"
INDEX = Partition(INDEX_TOPIC)
MANIFEST = "j"
END_MARK = "e"
PROGRESS = "p"
CONTENT = "d"
CHUNK = "b"
RESULT = "r"
CHECKPOINT = "c"
FAILURES = "f"
CONTINUATION = "x"
START_SEPARATOR = "@"
"""Separates the version from the start in the identity of an output."""
START = re.compile("[0-9a-f]{16}")
"""Form of the name of an output's start."""
MAX_CHUNKS = 10**5
"""Distance between the numbers of the first chunks of different contents; no job has that many."""
MAX_CONTENTS = 2**40
"""Number of different first chunks. Numbers in keys have 18 digits at most."""
RECORD_OVERHEAD_BYTES = 512
"""Bytes reserved in a record for its key and the arrays around the items."""

MAX_ID_BYTES = 200
"""Longest id of a job or an item in UTF-8. The store takes keys of 255 bytes, which hold a job's id
and two numbers, and `RECORD_OVERHEAD_BYTES` hold a key and an item's id."""
MAX_OUTPUT_BYTES = 900_000
"""Longest output of an item, as a JSON string. A page of results holds at least one result, and at
most 1 MB."""

DONE = "done"
"""State of a result with the item's complete output."""
DEAD = "dead"
"""State of a result of a dead-lettered item."""


class RecordError(ValueError):
    """A record that is malformed, of another version, or larger than the store accepts."""


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limits of the store: bytes of a record and of a call, and the number of shards."""

    record_bytes: int
    call_bytes: int
    shards: int


_ItemFields = tuple[str, str, dict[str, str], bytes, Count]


@dataclass(frozen=True, slots=True)
class Manifest:
    """Description of a job; immutable once the job is accepted.

    `host` is the host to which the job was sent, and selects the route of its items. `digest` is
    the digest of its items. `tenant` names the tenant that submitted it, empty if unknown.
    `submitted_at` is the time of day, in seconds since the epoch, at the daemon that accepted the
    job; 0 if unknown. Since clocks differ, it may order work but must not end it.
    """

    job_id: str
    route: str
    host: str
    item_count: int
    tokens: int
    digest: str
    shard: int
    submitted_at: float = 0.0
    tenant: str = NO_TENANT


@dataclass(frozen=True, slots=True)
class JobItem:
    """One item of a job as it is sent to an engine; `tokens` is its estimated size."""

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


@dataclass(frozen=True, slots=True)
class ItemResult:
    """A listed result. `state` is `DONE` or `DEAD`; `text` is the complete output."""

    item_id: str
    state: str
    text: str


@dataclass(frozen=True, slots=True)
class OutputId:
    """Identity of one output of an item: what its runs gave from one start of the item on.

    Each of these runs continued after the last event of the one before, at an engine of the
    software `version`. `start` names that start, uniquely among all daemons. It is empty if a
    record of an earlier version of this program does not state it.
    """

    version: str = ""
    start: str = ""

    @property
    def is_stated(self) -> bool:
        """Whether it is known which output this is."""
        return bool(self.start)


@dataclass(frozen=True, slots=True)
class OutputPart:
    """A part of the output `output`: the data of the events after id `after` up to `position`."""

    after: str
    position: str
    text: str
    output: OutputId = OutputId()


def output_bytes(text: str) -> int:
    """Returns the size of a text as a JSON string."""
    return len(msgspec.json.encode(text))


def shard_of(job_id: str, shards: int) -> int:
    """Returns the shard that stores a job."""
    return stable_hash("job", job_id) % shards


def shard_partition(shard: int) -> Partition:
    """Returns the partition of a shard."""
    return Partition(SHARD_TOPIC, shard)


def split_key(key: str) -> tuple[str, str, int]:
    """Returns kind, job and number of a key; the number is -1 if the key has none."""
    kind, _, rest = key.partition(":")
    if kind not in (CHUNK, RESULT, FAILURES):
        return kind, rest, -1
    job_id, _, number = rest.rpartition(":")
    parsed = parse_number(number)
    return kind, job_id, -1 if parsed is None else parsed


def manifest_record(manifest: Manifest) -> KeyedRecord:
    """Encodes a manifest."""
    value = [
        SCHEMA_VERSION,
        manifest.route,
        manifest.host,
        manifest.item_count,
        manifest.tokens,
        manifest.digest,
        manifest.shard,
        manifest.submitted_at,
        manifest.tenant,
    ]
    return KeyedRecord(f"{MANIFEST}:{manifest.job_id}", cbor2.dumps(value))


@raises_only(RecordError)
def read_manifest(job_id: str, value: bytes) -> Manifest:
    """Decodes a manifest.

    Raises:
        RecordError: the record is malformed or of another version.
    """
    fields = _fields(value, tuple[str, str, Count, Count, str, Count, float, str])
    return Manifest(job_id, *fields)


def end_record(job_id: str) -> KeyedRecord:
    """Encodes the mark that a client ended a job."""
    return KeyedRecord(f"{END_MARK}:{job_id}", cbor2.dumps([SCHEMA_VERSION]))


def content_record(manifest: Manifest) -> KeyedRecord:
    """Encodes that the chunks of a job are numbered from `first_chunk`."""
    value = cbor2.dumps([SCHEMA_VERSION, manifest.digest])
    return KeyedRecord(f"{CONTENT}:{manifest.job_id}", value)


@raises_only(RecordError)
def read_content(value: bytes) -> str:
    """Decodes the digest of a job's content.

    Raises:
        RecordError: the record is malformed or of another version.
    """
    (digest,) = _fields(value, tuple[str])
    return digest


def first_chunk(digest: str) -> int:
    """Returns the number of the first chunk of content with a digest; never 0."""
    return (1 + stable_hash("content", digest) % MAX_CONTENTS) * MAX_CHUNKS


def progress_record(job_id: str, remaining_tokens: int) -> KeyedRecord:
    """Encodes the tokens of a job's items that are not listed yet."""
    return KeyedRecord(f"{PROGRESS}:{job_id}", cbor2.dumps([SCHEMA_VERSION, remaining_tokens]))


@raises_only(RecordError)
def read_progress(value: bytes) -> int:
    """Decodes the tokens of a job's items that are not listed yet.

    Raises:
        RecordError: the record is malformed or of another version.
    """
    (remaining_tokens,) = _fields(value, tuple[Count])
    return remaining_tokens


def chunk_records(
    job_id: str, items: tuple[JobItem, ...], record_bytes: int, first: int = 0
) -> tuple[KeyedRecord, ...]:
    """Packs items, in order, into records up to the store's limit, numbered from `first`.

    Raises:
        RecordError: an item is larger than a record.
    """
    max_bytes = record_bytes - RECORD_OVERHEAD_BYTES
    chunks: list[list[list[object]]] = [[]]
    used = 0
    for item in items:
        row = [item.item_id, item.path, dict(item.headers), item.body, item.tokens]
        size = len(cbor2.dumps(row))
        if size > max_bytes:
            raise RecordError(f"item {item.item_id} takes {size} bytes, a record holds {max_bytes}")
        if used + size > max_bytes:
            chunks.append([])
            used = 0
        chunks[-1].append(row)
        used += size
    return tuple(
        KeyedRecord(f"{CHUNK}:{job_id}:{number:05d}", cbor2.dumps([SCHEMA_VERSION, rows]))
        for number, rows in enumerate(chunks, first)
    )


@raises_only(RecordError)
def read_chunk(value: bytes) -> tuple[JobItem, ...]:
    """Decodes the items of a chunk.

    Raises:
        RecordError: the record is malformed or of another version.
    """
    (rows,) = _fields(value, tuple[tuple[_ItemFields, ...]])
    return tuple(
        JobItem(item_id, path, tuple(headers.items()), body, tokens)
        for item_id, path, headers, body, tokens in rows
    )


@dataclass(frozen=True, slots=True)
class ResultHead:
    """Head record of a result: the first piece of its text, and the number of continuations."""

    item_id: str
    state: str
    piece: bytes
    continuation_count: int

    def assemble(self, continuations: dict[int, bytes]) -> ItemResult | None:
        """Returns the result with its complete text; None if a continuation is missing."""
        if any(part not in continuations for part in range(self.continuation_count)):
            return None
        text = self.piece + b"".join(continuations[part] for part in range(self.continuation_count))
        # Earlier versions listed bytes that are not UTF-8. A position keeps its result.
        return ItemResult(self.item_id, self.state, text.decode(errors="replace"))


def result_records(
    job_id: str, position: int, result: ItemResult, record_bytes: int
) -> tuple[KeyedRecord, ...]:
    """Encodes a result at its position; the continuations come before the head record."""
    max_bytes = record_bytes - RECORD_OVERHEAD_BYTES
    text = result.text.encode()
    pieces = [text[start : start + max_bytes] for start in range(0, len(text), max_bytes)] or [b""]
    head = [SCHEMA_VERSION, result.item_id, result.state, pieces[0], len(pieces) - 1]
    continuations = [
        KeyedRecord(
            f"{CONTINUATION}:{job_id}:{position:05d}:{part:05d}",
            cbor2.dumps([SCHEMA_VERSION, piece]),
        )
        for part, piece in enumerate(pieces[1:])
    ]
    return (*continuations, KeyedRecord(f"{RESULT}:{job_id}:{position:05d}", cbor2.dumps(head)))


@raises_only(RecordError)
def read_result_head(value: bytes) -> ResultHead:
    """Decodes the head record of a result.

    Raises:
        RecordError: the record is malformed or of another version.
    """
    return ResultHead(*_fields(value, tuple[str, str, bytes, Count]))


@raises_only(RecordError)
def read_continuation(value: bytes) -> bytes:
    """Decodes a continuation of a result's text.

    Raises:
        RecordError: the record is malformed or of another version.
    """
    (piece,) = _fields(value, tuple[bytes])
    return piece


def checkpoint_record(job_id: str, item: int, part: int, output: OutputPart) -> KeyedRecord:
    """Encodes a part of an item's output; `item` is the item's index in its job."""
    value = [SCHEMA_VERSION, output.after, output.position, output.text]
    if output.output != OutputId():
        value.append(_encode_output_id(output.output))
    return KeyedRecord(f"{CHECKPOINT}:{job_id}:{item:05d}:{part:05d}", cbor2.dumps(value))


def _encode_output_id(output: OutputId) -> str:
    """Encodes an output's identity in the field that had only the version earlier.

    A daemon of such a version finds no engine of this version, and starts the item again.
    """
    return f"{output.version}{START_SEPARATOR}{output.start}" if output.start else output.version


def _decode_output_id(text: str) -> OutputId:
    version, separator, start = text.rpartition(START_SEPARATOR)
    return OutputId(version, start) if separator and START.fullmatch(start) else OutputId(text)


def failures_record(job_id: str, item: int, count: int) -> KeyedRecord:
    """Encodes the number of failed runs of an item; `item` is the item's index in its job."""
    return KeyedRecord(f"{FAILURES}:{job_id}:{item:05d}", cbor2.dumps([SCHEMA_VERSION, count]))


@raises_only(RecordError)
def read_failures(value: bytes) -> int:
    """Decodes the number of failed runs of an item.

    Raises:
        RecordError: the record is malformed or of another version.
    """
    (count,) = _fields(value, tuple[Count])
    return count


@raises_only(RecordError)
def split_part_key(key: str) -> tuple[str, int, int]:
    """Returns job, number and part of the key of a checkpoint or of a result's continuation.

    Raises:
        RecordError: the key is malformed.
    """
    fields = key.partition(":")[2].rsplit(":", 2)
    numbers = [parse_number(field) for field in fields[1:]]
    if len(numbers) != 2 or numbers[0] is None or numbers[1] is None:
        raise RecordError(f"malformed key {key!r}")
    return fields[0], numbers[0], numbers[1]


@raises_only(RecordError)
def read_checkpoint(value: bytes) -> OutputPart:
    """Decodes a part of an item's output.

    Raises:
        RecordError: the record is malformed or of another version.
    """
    after, position, text, output = _fields(value, tuple[str, str, str, str], "")
    if not (is_event_id(position) and (is_event_id(after) or not after)):
        raise RecordError("malformed id of an event")
    return OutputPart(after, position, text, _decode_output_id(output))


def checkpoint_removal(job_id: str, item: int, part: int) -> KeyedRecord:
    """Encodes the removal of a part of an item's output."""
    return KeyedRecord(f"{CHECKPOINT}:{job_id}:{item:05d}:{part:05d}", b"")


def _fields(value: bytes, form: type[Form], last: str | None = None) -> Form:
    """Returns the fields of a record after its schema's version, as a tuple of the given form.

    `last` is the value of the last field if the record may lack it.

    Raises:
        RecordError: the record is malformed or of another version.
    """
    try:
        version, *fields = decode_cbor(value, list)
    except (MalformedCbor, ValueError) as error:
        raise RecordError(f"malformed record: {error}") from error
    if version != SCHEMA_VERSION:
        raise RecordError("record of another version")
    if last is not None and len(fields) == len(get_args(form)) - 1:
        fields.append(last)
    try:
        return msgspec.convert(fields, form, builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        raise RecordError(f"malformed record: {error}") from error
