"""The datagram with which a daemon asks another one to stop a batch item at a server."""

from dataclasses import dataclass

import cbor2

from troutswitch.daemons.loadreport import DatagramError

SLOT_ASK = "slot"
"""First field of the datagram; that of a load report is a number."""


@dataclass(frozen=True, slots=True)
class SlotAsk:
    """An online request of the sender was sent to a server whose slots are all taken."""

    sender: str
    server_key: int


def encode_slot_ask(ask: SlotAsk) -> bytes:
    """Encodes a request for a slot."""
    return cbor2.dumps([SLOT_ASK, ask.sender, ask.server_key])


def decode_slot_ask(fields: list[object]) -> SlotAsk:
    """Decodes the fields of a datagram.

    Raises:
        DatagramError: they are not those of a request for a slot.
    """
    match fields:
        case [str(name), str(sender), int(server_key)] if name == SLOT_ASK:
            return SlotAsk(sender, server_key)
        case _:
            raise DatagramError("malformed request for a slot")
