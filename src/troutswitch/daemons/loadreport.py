"""The datagram with which daemons tell each other their requests in flight."""

from dataclasses import dataclass

import cbor2

from troutswitch.common import stable_hash

VERSION = 1
SERVER_KEY_MASK = 0xFFFFFFFF


class DatagramError(ValueError):
    """Bytes that are no load report of this version."""


@dataclass(frozen=True, slots=True)
class ServerShare:
    """One daemon's requests in flight on one server."""

    server_key: int
    online: int
    batch: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """All of one daemon's requests in flight; servers with none are left out.

    `sequence` rises with each report of one life of the sender; `life` names the life.
    """

    sender: str
    life: int
    sequence: int
    shares: tuple[ServerShare, ...]
    is_leaving: bool = False


def server_key(server_id: str) -> int:
    """Returns the short key that names a server in reports."""
    return stable_hash("server", server_id) & SERVER_KEY_MASK


def encode_report(report: LoadReport) -> bytes:
    """Encodes a report."""
    shares = [number for s in report.shares for number in (s.server_key, s.online, s.batch)]
    return cbor2.dumps(
        [VERSION, report.sender, report.life, report.sequence, report.is_leaving, shares]
    )


def decode_report(data: bytes) -> LoadReport:
    """Decodes a report.

    Raises:
        DatagramError: the bytes are no report of this version.
    """
    try:
        version, sender, life, sequence, is_leaving, numbers = cbor2.loads(data)
        triples = zip(numbers[0::3], numbers[1::3], numbers[2::3], strict=True)
        shares = tuple(ServerShare(int(k), int(o), int(b)) for k, o, b in triples)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise DatagramError(f"malformed report: {error}") from error
    if version != VERSION:
        raise DatagramError(f"report of version {version}")
    return LoadReport(str(sender), int(life), int(sequence), shares, bool(is_leaving))
