"""Checked settings of a gateway daemon, in the product's own terms."""

from dataclasses import dataclass, field

from troutswitch.common import Address
from troutswitch.decisions.tenants.types import QuotaBounds


class GatewaySettingsError(Exception):
    """Settings that cannot be used; the text names the field and the reason."""


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The store's address and limits; `reads_per_second` of all daemons, 0 if unlimited."""

    address: Address
    partitions: int = 8
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152
    member_ttl_least: float = 1.0
    reads_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the system keeps, in seconds unless named otherwise."""

    configuration_apply: float = 2.0
    drain: float = 2.0
    grace: float = 8.0
    job_kept: float = 120.0
    quota: QuotaBounds = field(default_factory=QuotaBounds)


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Everything that a gateway daemon is told at its start."""

    name: str
    zone: str
    callers: Address | None
    readiness: Address | None
    peer_host: str
    peer_ports: tuple[int, int]
    store: StoreSettings
    bounds: Bounds = field(default_factory=Bounds)
