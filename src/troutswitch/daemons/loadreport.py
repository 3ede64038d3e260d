"""The datagram with which daemons tell each other their requests in flight."""

from dataclasses import dataclass
from functools import lru_cache
from typing import Any

import cbor2

from troutswitch.common import Address, stable_hash

VERSION = 5
PREFILL_UNIT_TOKENS = 256
"""Unit in which prompt tokens are told, rounded up."""
SERVER_KEY_MASK = 0xFFFFFFFF
SERVER_KEYS_REMEMBERED = 8192


class DatagramError(ValueError):
    """Bytes that are no load report of this version."""


@dataclass(frozen=True, slots=True)
class ServerShare:
    """One daemon's requests in flight on one server.

    `prefill_units` counts the prompt tokens that the server has still to read for them.
    """

    server_key: int
    online: int
    batch: int
    prefill_units: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """All of one daemon's requests in flight; servers with none are left out.

    `sequence` rises with each report of one life of the sender; `life` names the life.
    `address` is where the sender takes reports: a report may come through another daemon.
    `configuration_version` is the version that the sender acts on, `waiting_items` the
    batch items that it could start now to have them in time, `late_items` those that it
    could start although they will be late, `open_items` all that it has to finish.
    `spreads` asks the receiver to pass the report on to the other daemons of its zone.
    """

    sender: str
    zone: str
    address: Address
    life: int
    sequence: int
    shares: tuple[ServerShare, ...]
    configuration_version: int = -1
    is_leaving: bool = False
    waiting_items: int = 0
    late_items: int = 0
    open_items: int = 0
    spreads: bool = False


@lru_cache(maxsize=SERVER_KEYS_REMEMBERED)
def server_key(server_id: str) -> int:
    """Returns the short key that names a server in reports."""
    return stable_hash("server", server_id) & SERVER_KEY_MASK


def encode_report(report: LoadReport) -> bytes:
    """Encodes a report."""
    shares = [
        number
        for s in report.shares
        for number in (s.server_key, s.online, s.batch, s.prefill_units)
    ]
    return cbor2.dumps(
        [
            VERSION,
            report.sender,
            report.zone,
            report.address.host,
            report.address.port,
            report.life,
            report.sequence,
            report.configuration_version,
            report.is_leaving,
            report.waiting_items,
            report.late_items,
            report.open_items,
            report.spreads,
            shares,
        ]
    )


def decode_report(fields: list[Any]) -> LoadReport:
    """Makes a report of a datagram's fields.

    Raises:
        DatagramError: the fields are not those of a report of this version.
    """
    try:
        version, *rest = fields
        if version != VERSION:
            raise DatagramError(f"report of version {version}")
        return _report(rest)
    except (ValueError, TypeError) as error:
        raise DatagramError(f"malformed report: {error}") from error


def _report(fields: list[Any]) -> LoadReport:
    sender, zone, host, port, life, sequence, held, leaving, *rest = fields
    waiting, late, open_items, spreads, numbers = rest
    rows = zip(*(numbers[place::4] for place in range(4)), strict=True)
    return LoadReport(
        str(sender),
        str(zone),
        Address(str(host), int(port)),
        int(life),
        int(sequence),
        tuple(ServerShare(int(k), int(o), int(b), int(p)) for k, o, b, p in rows),
        int(held),
        bool(leaving),
        int(waiting),
        int(late),
        int(open_items),
        bool(spreads),
    )
