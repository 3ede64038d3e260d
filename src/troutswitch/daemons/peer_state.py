"""What a daemon knows of the store's state, told to a peer that cannot read the store.

The records are told as the store holds them: the receiver decodes and judges them itself.
"""

from dataclasses import dataclass
from typing import Any

import cbor2

VERSION = 1


class PeerStateError(ValueError):
    """Bytes that are no peer's state of this version."""


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record as the store holds it."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class PeerState:
    """The newest configuration that a daemon acts on, and its list of engines.

    `engines_age` is the time since the list was read, in seconds; None where it has none.
    """

    configuration: StoredRecord | None
    engines: tuple[StoredRecord, ...]
    engines_age: float | None


def encode_state(state: PeerState) -> bytes:
    """Encodes a daemon's state."""
    held = state.configuration
    configuration = [held.key, held.value] if held is not None else None
    engines = [[row.key, row.value] for row in state.engines]
    return cbor2.dumps([VERSION, configuration, engines, state.engines_age])


def decode_state(data: bytes) -> PeerState:
    """Decodes a daemon's state.

    Raises:
        PeerStateError: the bytes are no state of this version.
    """
    try:
        version, configuration, engines, age = cbor2.loads(data)
        if version != VERSION:
            raise PeerStateError(f"state of version {version}")
        return PeerState(
            None if configuration is None else _record(configuration),
            tuple(_record(row) for row in engines),
            None if age is None else float(age),
        )
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise PeerStateError(f"malformed state: {error}") from error


def _record(fields: list[Any]) -> StoredRecord:
    key, value = fields
    if not isinstance(key, str) or not isinstance(value, bytes):
        raise PeerStateError("a record is a key and bytes")
    return StoredRecord(key, value)
