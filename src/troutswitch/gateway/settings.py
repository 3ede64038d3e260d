"""Settings of a gateway daemon, in the product's own terms.

`platform/settings.py` decodes the users' settings file into these types and validates it. Times are
in seconds, sizes in bytes.
"""

from dataclasses import dataclass, field

from troutswitch.common import Address
from troutswitch.decisions.tenants.types import QuotaBounds


class GatewaySettingsError(Exception):
    """The settings are unusable; the message names the field and the reason."""


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The store's address and limits.

    `partitions` is the number of partitions of each topic. `record_bytes` and `call_bytes` limit
    the sizes of a record and of a call. `min_member_ttl` is the shortest time to live that the
    store accepts for a member of a group. `reads_per_second` limits the reads of all daemons
    together; 0 means no limit.
    """

    address: Address
    partitions: int = 8
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152
    min_member_ttl: float = 1.0
    reads_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the system guarantees; times are in seconds.

    `configuration_apply` runs from the acceptance of a configuration until it is in force
    everywhere. `drain` runs from an engine's first sign of draining until it receives no more
    requests. `grace` runs from SIGTERM to the end of the process. `job_kept` runs from when the
    daemon that owns a job first read its manifest until the client may last read the job; a job
    that is not open is removed `RETENTION_MARGIN_SECONDS` later. `quota` bounds what a tenant may
    use beyond its quota.
    """

    configuration_apply: float = 2.0
    drain: float = 2.0
    grace: float = 8.0
    job_kept: float = 120.0
    quota: QuotaBounds = field(default_factory=QuotaBounds)


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of one daemon.

    `callers` and `readiness` are the addresses of its listeners; None disables a listener. The
    first of `peer_ports` receives peers' datagrams (UDP), the last is the internal HTTP port. There
    is no internal port unless the last is greater than the first. `memory_bytes` is the memory that
    the process may use; 0 means no limit.
    """

    name: str
    zone: str
    callers: Address | None
    readiness: Address | None
    peer_host: str
    peer_ports: tuple[int, int]
    store: StoreSettings
    bounds: Bounds = field(default_factory=Bounds)
    memory_bytes: int = 0
