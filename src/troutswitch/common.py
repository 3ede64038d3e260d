"""Types and hash functions shared by several packages."""

import ipaddress
from typing import Annotated, NamedTuple

import msgspec
import xxhash

from troutswitch.wire_values import parse_number

_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
Ipv4Host = Annotated[str, msgspec.Meta(pattern=rf"\A{_OCTET}(\.{_OCTET}){{3}}\Z", max_length=15)]
"""An IPv4 address as it is accepted from other processes: sending to a name would look it up."""
MAX_PORT = 65535
Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]


class Address(NamedTuple):
    """An IP address and port. The bounds hold where `msgspec` decodes one."""

    host: Ipv4Host
    port: Port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @staticmethod
    def parse(text: str) -> "Address":
        """Parses `host:port`.

        Raises:
            ValueError: the text has no port, or the port is not in 0..65535.
        """
        host, separator, port_text = text.rpartition(":")
        if not separator or not host:
            raise ValueError(f"expected host:port, got {text!r}")
        port = parse_number(port_text, MAX_PORT)
        if port is None:
            raise ValueError(f"port must be a number from 0 to {MAX_PORT}, got {port_text[:40]!r}")
        return Address(host, port)

    @staticmethod
    def parse_unicast(text: str) -> "Address":
        """Parses `host:port` of another process, which a connection can be made to.

        Raises:
            ValueError: the host is no IPv4 address of one host, or the port is not in 1..65535.
        """
        address = Address.parse(text)
        host = ipaddress.IPv4Address(address.host)
        if host.is_unspecified or host.is_multicast or host.is_reserved or not address.port:
            raise ValueError(f"no connection can be made to {address}")
        return address


def stable_hash(*parts: str) -> int:
    """Returns a 64-bit hash of the parts that is the same on every machine."""
    return xxhash.xxh3_64_intdigest("\x1f".join(parts).encode())


def rendezvous_order(key: str, candidates: list[str]) -> list[str]:
    """Returns the candidates ordered by their rendezvous hash with the key, highest first."""
    return sorted(candidates, key=lambda name: (stable_hash(key, name), name), reverse=True)


def rendezvous_choice(key: str, candidates: list[str]) -> str | None:
    """Returns the first of `rendezvous_order`, or None without candidates."""
    return max(candidates, key=lambda name: (stable_hash(key, name), name), default=None)
