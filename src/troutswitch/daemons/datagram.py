"""Encodes and decodes the datagrams that daemons send each other.

A datagram is a CBOR array of the protocol version and the message. The message itself is an array
whose fields are type-checked on decoding.
"""

from typing import Any

import cbor2
import msgspec

from troutswitch.cbor_values import MalformedCbor, decode_cbor
from troutswitch.daemons.messages import (
    NO_ENGINE,
    BatchSlotGrant,
    Heartbeat,
    HoldingsReport,
    PacedReport,
    PeerMessage,
    QueuedSlotRequest,
    QuotaDecision,
    SlotReply,
)
from troutswitch.decoding import raises_only

VERSION = 8
"""Version of the protocol. Daemons ignore datagrams of other versions."""
OMITTED_DEFAULTS: dict[type, object] = {
    QuotaDecision: True,
    SlotReply: False,
    BatchSlotGrant: None,
    Heartbeat: False,
    PacedReport: (),
    QueuedSlotRequest: (),
}
"""Default of the last field of messages that are encoded without it while it has its default. Such
a field was added later, and the messages that do not use it keep their bytes."""
REPORT_FIELD = 1
"""Position of the report in the messages that have one: the first field after the tag."""
_NOT_OMITTED = object()


class DatagramError(ValueError):
    """The bytes are not a valid message of this protocol version."""


def encode(message: PeerMessage) -> bytes:
    """Returns the datagram for a message."""
    fields = msgspec.to_builtins(message)
    if isinstance(message, HoldingsReport):
        fields = _report_fields(message, fields)
    report = getattr(message, "report", None)
    if isinstance(report, HoldingsReport):
        fields[REPORT_FIELD] = _report_fields(report, fields[REPORT_FIELD])
    if fields[-1] == OMITTED_DEFAULTS.get(type(message), _NOT_OMITTED):
        fields = fields[:-1]
    return cbor2.dumps([VERSION, fields])


def _report_fields(report: HoldingsReport, fields: list[Any]) -> list[Any]:
    """Returns the fields of a report without its last ones that have their defaults."""
    if report.reserved != NO_ENGINE:
        return fields
    return fields[:-1] if report.services else fields[:-2]


@raises_only(DatagramError)
def decode(data: bytes) -> PeerMessage:
    """Returns the message in a datagram.

    Raises:
        DatagramError: The bytes are not a valid message of this protocol version.
    """
    try:
        version, fields = decode_cbor(data, tuple[int, list[Any]])
        if version != VERSION:
            raise DatagramError(f"unsupported version {version}")
        message: PeerMessage = msgspec.convert(fields, PeerMessage)
        return message
    except (MalformedCbor, msgspec.ValidationError) as error:
        raise DatagramError(f"malformed datagram: {error}") from error
