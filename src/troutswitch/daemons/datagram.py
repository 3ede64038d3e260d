"""Encodes the datagrams that daemons send each other: CBOR arrays, checked by type."""

import cbor2
import msgspec

from troutswitch.daemons.messages import PeerMessage

VERSION = 8


class DatagramError(ValueError):
    """Bytes that are no message of this version."""


def encode(message: PeerMessage) -> bytes:
    """Encodes a message."""
    return cbor2.dumps([VERSION, msgspec.to_builtins(message)])


def decode(data: bytes) -> PeerMessage:
    """Decodes a datagram.

    Raises:
        DatagramError: the bytes are no message of this version.
    """
    try:
        version, fields = cbor2.loads(data)
        if version != VERSION:
            raise DatagramError(f"message of version {version}")
        message: PeerMessage = msgspec.convert(fields, PeerMessage)
        return message
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError) as error:
        raise DatagramError(f"malformed datagram: {error}") from error
