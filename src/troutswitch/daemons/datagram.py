"""Encodes and decodes the datagrams that daemons send each other.

A datagram is a CBOR array of the protocol's version and the message, which is an array itself;
each field's type is checked.
"""

import cbor2
import msgspec

from troutswitch.daemons.messages import PeerMessage

VERSION = 8
"""Version of the protocol; daemons ignore datagrams of other versions."""


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
