"""What one daemon sends a peer that can't read the store: configuration and engine list.

The records go as the store has them, so the receiver decodes and checks them as if it had read
them itself. The state is encoded as a CBOR array of a version and the fields in order. A daemon
is sent the version that it asks for: one that runs an older program asks for none, and gets the
first.
"""

from dataclasses import dataclass
from typing import Any

import cbor2

FIRST_VERSION = 1
"""Version of the encoding without the configuration's age."""
VERSION = 2
"""Newest version of the encoding."""


class PeerStateError(ValueError):
    """Bytes that are no peer's state of this version."""


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record as the store has it."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class PeerState:
    """The configuration in force at a daemon, and the engine list that it read last.

    `configuration` is None if the receiver has one as new. `configuration_age` is the time since
    the sender knew that no newer one exists, in seconds. `engines_age` is the time since the list
    was read, in seconds; None if the daemon has read none.
    """

    configuration: StoredRecord | None
    engines: tuple[StoredRecord, ...]
    engines_age: float | None
    configuration_age: float = float("inf")


def encode_state(state: PeerState, version: int = FIRST_VERSION) -> bytes:
    """Encodes a daemon's state in a version of the encoding."""
    record = state.configuration
    configuration = [record.key, record.value] if record is not None else None
    engines = [[row.key, row.value] for row in state.engines]
    fields = [configuration, engines, state.engines_age]
    if version >= VERSION:
        return cbor2.dumps([VERSION, *fields, state.configuration_age])
    return cbor2.dumps([FIRST_VERSION, *fields])


def decode_state(data: bytes) -> PeerState:
    """Decodes a daemon's state.

    Raises:
        PeerStateError: the bytes are no state of this version.
    """
    try:
        version, *fields = cbor2.loads(data)
        if version not in (FIRST_VERSION, VERSION):
            raise PeerStateError(f"state of version {version}")
        configuration, engines, age, *ages = fields
        return PeerState(
            None if configuration is None else _record(configuration),
            tuple(_record(row) for row in engines),
            None if age is None else float(age),
            float(ages[0]) if ages else float("inf"),
        )
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise PeerStateError(f"malformed state: {error}") from error


def _record(fields: list[Any]) -> StoredRecord:
    key, value = fields
    if not isinstance(key, str) or not isinstance(value, bytes):
        raise PeerStateError("a record is a key and bytes")
    return StoredRecord(key, value)
