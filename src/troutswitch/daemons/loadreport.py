"""The datagram with which daemons tell each other their requests in flight."""

from dataclasses import dataclass

import cbor2

from troutswitch.common import stable_hash

VERSION = 3
PREFILL_UNIT_TOKENS = 256
"""Unit in which prompt tokens are told, rounded up."""
SERVER_KEY_MASK = 0xFFFFFFFF


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
    `configuration_version` is the version that the sender acts on.
    """

    sender: str
    life: int
    sequence: int
    shares: tuple[ServerShare, ...]
    configuration_version: int = -1
    is_leaving: bool = False


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
            report.life,
            report.sequence,
            report.configuration_version,
            report.is_leaving,
            shares,
        ]
    )


def decode_report(data: bytes) -> LoadReport:
    """Decodes a report.

    Raises:
        DatagramError: the bytes are no report of this version.
    """
    try:
        version, sender, life, sequence, held, is_leaving, numbers = cbor2.loads(data)
        rows = zip(*(numbers[place::4] for place in range(4)), strict=True)
        shares = tuple(ServerShare(int(k), int(o), int(b), int(p)) for k, o, b, p in rows)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise DatagramError(f"malformed report: {error}") from error
    if version != VERSION:
        raise DatagramError(f"report of version {version}")
    return LoadReport(str(sender), int(life), int(sequence), shares, int(held), bool(is_leaving))
