"""Types and hash functions shared by several packages."""

from typing import Annotated, NamedTuple

import msgspec
import xxhash

_OCTET = r"(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
Ipv4Host = Annotated[str, msgspec.Meta(pattern=rf"^{_OCTET}(\.{_OCTET}){{3}}$", max_length=15)]
"""An IPv4 address as it is accepted from other processes: sending to a name would look it up."""
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


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
        if not port_text.isdigit() or int(port_text) > 65535:
            raise ValueError(f"port must be a number from 0 to 65535, got {port_text!r}")
        return Address(host, int(port_text))


def stable_hash(*parts: str) -> int:
    """Returns a 64-bit hash of the parts that is the same on every machine."""
    return xxhash.xxh3_64_intdigest("\x1f".join(parts).encode())


def rendezvous_order(key: str, candidates: list[str]) -> list[str]:
    """Returns the candidates ordered by their rendezvous hash with the key, highest first."""
    return sorted(candidates, key=lambda name: (stable_hash(key, name), name), reverse=True)


def rendezvous_choice(key: str, candidates: list[str]) -> str | None:
    """Returns the first of `rendezvous_order`, or None without candidates."""
    return max(candidates, key=lambda name: (stable_hash(key, name), name), default=None)
