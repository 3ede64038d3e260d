"""The datagrams that daemons send each other, of whatever kind."""

import cbor2

from troutswitch.daemons.loadreport import (
    DatagramError,
    LoadReport,
    decode_report,
    encode_report,
)
from troutswitch.daemons.slotask import SLOT_ASK, SlotAsk, decode_slot_ask, encode_slot_ask

PeerMessage = LoadReport | SlotAsk


def encode(message: PeerMessage) -> bytes:
    """Encodes a message."""
    match message:
        case LoadReport():
            return encode_report(message)
        case SlotAsk():
            return encode_slot_ask(message)


def decode(data: bytes) -> PeerMessage:
    """Decodes a datagram.

    Raises:
        DatagramError: the bytes are no message of this version.
    """
    try:
        fields = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise DatagramError(f"malformed datagram: {error}") from error
    if not isinstance(fields, list) or not fields:
        raise DatagramError("a datagram without fields")
    if fields[0] == SLOT_ASK:
        return decode_slot_ask(fields)
    return decode_report(fields)
