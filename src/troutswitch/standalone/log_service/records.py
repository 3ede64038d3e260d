"""Records stored on the log and the entries that contain them.

An entry is one append: CBOR of `[schema version, writer, sequence, records]`.
`writer` is a daemon incarnation. `sequence` increases by one for each entry that the writer
appends to a stream, one at a time. A fold drops an entry whose sequence is not greater than the
last one of its writer, so an append may be repeated until it is answered.
"""

import hashlib
import zlib
from array import array

import cbor2
import msgspec

from troutswitch.cbor_values import decode_cbor
from troutswitch.decoding import raises_only
from troutswitch.standalone.constants import ENTRY_SCHEMA_VERSION


class BatchItem(msgspec.Struct, frozen=True, array_like=True):
    """One item of a batch job. Sizes are in tokens."""

    custom_id: str
    prompt: str
    max_tokens: int


class ChunkSubmitted(msgspec.Struct, frozen=True, array_like=True, tag="chunk"):
    """Part of a job's items; none of them runs before the job is committed."""

    job_id: str
    chunk_index: int
    items: list[BatchItem]


class JobCommitted(msgspec.Struct, frozen=True, array_like=True, tag="commit"):
    """Commits a job if all its chunks precede the record and its identity is new.

    `committed_at`, `deadline` and `identity_window` are in seconds; the first two
    since the epoch.
    """

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


class JobCancelled(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Cancels a job: later results of its incomplete items are ignored."""

    job_id: str


class EpochClaimed(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Claims the shard; valid if the shard's epoch is still `previous_epoch`."""

    owner: str
    previous_epoch: int


class EpochReleased(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """The owner of `epoch` releases the shard."""

    epoch: int


class EpochRenewed(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """The owner of `epoch` is alive; written if its shard has work but no other records."""

    epoch: int


class AttemptStarted(msgspec.Struct, frozen=True, array_like=True, tag="attempt"):
    """Written and read back before an item that must run at most once is dispatched."""

    epoch: int
    job_id: str
    item_index: int


class ItemFinished(msgspec.Struct, frozen=True, array_like=True, tag="finish"):
    """The result of an item; the first valid one counts."""

    epoch: int
    job_id: str
    item_index: int
    outcome: str  # one of the names in `troutswitch.standalone.decisions.batch.jobs.ItemState`
    body: str


class JobClosed(msgspec.Struct, frozen=True, array_like=True, tag="close"):
    """All items of a job are finished; `result_offsets` has one log offset per item."""

    epoch: int
    job_id: str
    result_offsets: bytes  # packed by `pack_offsets`


class OnceClaimed(msgspec.Struct, frozen=True, array_like=True, tag="once"):
    """Claims an online request that must run at most once; the first claim of a key wins."""

    key: str
    request_id: str
    claimed_at: float
    window: float


class ConfigurationChange(msgspec.Struct, frozen=True, array_like=True):
    """One change of a key at a path; `value` None removes an override."""

    path: str
    key: str
    value: bool | int | float | str | None


class ConfigurationPublished(msgspec.Struct, frozen=True, array_like=True, tag="publish"):
    """An operator's change set made against `base_version`."""

    publication_id: str
    author: str
    message: str
    base_version: int
    published_at: float
    changes: list[ConfigurationChange]


Record = (
    ChunkSubmitted
    | JobCommitted
    | JobCancelled
    | EpochClaimed
    | EpochReleased
    | EpochRenewed
    | AttemptStarted
    | ItemFinished
    | JobClosed
    | OnceClaimed
    | ConfigurationPublished
)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One append to a stream."""

    schema_version: int
    writer: str
    sequence: int
    records: list[Record]


class UnreadableEntry(Exception):
    """An entry that this version cannot read: malformed, or of a newer schema."""


def content_digest(service: str, repeatable: bool, items: tuple[BatchItem, ...]) -> str:
    """Returns a digest of the whole content of a submission."""
    digest = hashlib.sha256(cbor2.dumps([service, repeatable]))
    for item in items:
        digest.update(cbor2.dumps([item.custom_id, item.prompt, item.max_tokens]))
    return digest.hexdigest()


def pack_offsets(offsets: "array[int]") -> bytes:
    """Packs log offsets (unsigned 64-bit) into compressed bytes."""
    return zlib.compress(offsets.tobytes(), 6)


def unpack_offsets(packed: bytes) -> "array[int]":
    """Unpacks the result of `pack_offsets`.

    Raises:
        UnreadableEntry: the bytes are not a packed array.
    """
    try:
        offsets = array("Q")
        offsets.frombytes(zlib.decompress(packed))
    except (zlib.error, ValueError) as error:
        raise UnreadableEntry(str(error)) from error
    return offsets


def encode_entry(writer: str, sequence: int, records: list[Record]) -> bytes:
    """Encodes one entry."""
    return cbor2.dumps(
        msgspec.to_builtins(
            Entry(ENTRY_SCHEMA_VERSION, writer, sequence, records), builtin_types=(bytes,)
        )
    )


@raises_only(UnreadableEntry)
def decode_entry(payload: bytes) -> Entry:
    """Decodes one entry.

    Raises:
        UnreadableEntry: the payload is malformed or of a newer schema version.
    """
    try:
        plain = decode_cbor(payload, list, allows_infinity=True)
        if plain and isinstance(plain[0], int):
            _check_schema(plain[0])
        return msgspec.convert(plain, Entry)
    except ValueError as error:
        raise UnreadableEntry(str(error)) from error


def _check_schema(version: int) -> None:
    if version > ENTRY_SCHEMA_VERSION:
        raise UnreadableEntry(f"entry schema {version} is newer than {ENTRY_SCHEMA_VERSION}")
