"""Encodes and decodes the datagrams that daemons send each other.

A datagram is a CBOR array of the protocol version and the message. The message itself is an array
whose fields are type-checked on decoding.
"""

import cbor2
import msgspec

from troutswitch.daemons.messages import PeerMessage, QueuedSlotRequest, QuotaDecision, SlotReply

VERSION = 8
"""Version of the protocol. Daemons ignore datagrams of other versions."""
OMITTED_DEFAULTS: dict[type, object] = {
    QuotaDecision: True,
    SlotReply: False,
    QueuedSlotRequest: (),
}
"""Default of the last field of messages that are encoded without it while it has its default. Such
a field was added later, and the messages that do not use it keep their bytes."""
_NOT_OMITTED = object()


class DatagramError(ValueError):
    """The bytes are not a valid message of this protocol version."""


def encode(message: PeerMessage) -> bytes:
    """Returns the datagram for a message."""
    fields = msgspec.to_builtins(message)
    if fields[-1] == OMITTED_DEFAULTS.get(type(message), _NOT_OMITTED):
        fields = fields[:-1]
    return cbor2.dumps([VERSION, fields])


def decode(data: bytes) -> PeerMessage:
    """Returns the message in a datagram.

    Raises:
        DatagramError: The bytes are not a valid message of this protocol version.
    """
    try:
        version, fields = cbor2.loads(data)
        if version != VERSION:
            raise DatagramError(f"unsupported version {version}")
        message: PeerMessage = msgspec.convert(fields, PeerMessage)
        return message
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError) as error:
        raise DatagramError(f"malformed datagram: {error}") from error
