"""The state that a daemon sends a peer that can't read the store: configuration and engine list.

The records are sent as they are stored, so the receiver decodes and validates them as if it had
read them itself. The state is encoded as a CBOR array of a version and the fields in order. A
daemon requests the version that it supports. Daemons that run an older program request none and get
the first version.
"""

from dataclasses import dataclass
from typing import Annotated

import cbor2
import msgspec

from troutswitch.cbor_values import MalformedCbor, decode_cbor
from troutswitch.decoding import raises_only

FIRST_VERSION = 1
"""Version of the encoding without the configuration's age."""
VERSION = 2
"""Newest version of the encoding."""


class PeerStateError(ValueError):
    """The bytes are not a valid peer state of a supported version."""


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record as it is stored."""

    key: str
    value: bytes


_Age = Annotated[float, msgspec.Meta(ge=0)]
_RecordFields = tuple[str, bytes]
_StateFields = tuple[_RecordFields | None, tuple[_RecordFields, ...], _Age | None, _Age]


@dataclass(frozen=True, slots=True)
class PeerState:
    """The configuration in force at a daemon, and the engine list that it read last.

    `configuration` is None if the receiver already has one that is as new. `configuration_age` is
    the time in seconds since the sender last knew that no newer configuration existed.
    `engines_age` is the time in seconds since the sender read the engine list, or None if it has
    not read one.
    """

    configuration: StoredRecord | None
    engines: tuple[StoredRecord, ...]
    engines_age: float | None
    configuration_age: float = float("inf")


def encode_state(state: PeerState, version: int = FIRST_VERSION) -> bytes:
    """Returns a daemon's state, encoded in the given version."""
    record = state.configuration
    configuration = [record.key, record.value] if record is not None else None
    engines = [[row.key, row.value] for row in state.engines]
    fields = [configuration, engines, state.engines_age]
    if version >= VERSION:
        return cbor2.dumps([VERSION, *fields, state.configuration_age])
    return cbor2.dumps([FIRST_VERSION, *fields])


@raises_only(PeerStateError)
def decode_state(data: bytes) -> PeerState:
    """Returns the daemon's state that the bytes encode.

    Raises:
        PeerStateError: The bytes are not a valid state of a supported version.
    """
    try:
        version, *fields = decode_cbor(data, list, allows_infinity=True)
        if version not in (FIRST_VERSION, VERSION):
            raise PeerStateError(f"unsupported version {version}")
        if version == FIRST_VERSION:
            fields.append(float("inf"))
        configuration, engines, age, configuration_age = msgspec.convert(
            fields, _StateFields, builtin_types=(bytes,)
        )
    except (MalformedCbor, ValueError) as error:
        raise PeerStateError(f"malformed state: {error}") from error
    return PeerState(
        None if configuration is None else StoredRecord(*configuration),
        tuple(StoredRecord(*row) for row in engines),
        age,
        configuration_age,
    )
