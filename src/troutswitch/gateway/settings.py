"""Settings of a gateway daemon, in the product's own terms.

`platform/settings.py` decodes and checks the users' file into these types. Times are seconds,
sizes bytes.
"""

from dataclasses import dataclass, field

from troutswitch.common import Address
from troutswitch.decisions.tenants.types import QuotaBounds


class GatewaySettingsError(Exception):
    """Settings that cannot be used; the text names the field and the reason."""


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The store's address and limits.

    `partitions` counts those of each topic; `record_bytes` and `call_bytes` bound a record and a
    call. `min_member_ttl` is the shortest time to live that the store takes for a member of a
    group. `reads_per_second` bounds the reads of all daemons together, 0 is no bound.
    """

    address: Address
    partitions: int = 8
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152
    min_member_ttl: float = 1.0
    reads_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the system keeps, in seconds.

    `configuration_apply` is from the acceptance of a configuration until it is in force
    everywhere, `drain` from an engine's first sign of draining until it gets no more requests,
    `grace` from SIGTERM to the end of the process, `job_kept` from a job's end until it is removed.
    """

    configuration_apply: float = 2.0
    drain: float = 2.0
    grace: float = 8.0
    job_kept: float = 120.0
    quota: QuotaBounds = field(default_factory=QuotaBounds)


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of one daemon.

    `callers` and `readiness` are where it listens, None for no such listener. Of `peer_ports`, the
    first takes peers' datagrams (UDP), the last is the internal HTTP port; equal ones mean that
    there is no internal port.
    """

    name: str
    zone: str
    callers: Address | None
    readiness: Address | None
    peer_host: str
    peer_ports: tuple[int, int]
    store: StoreSettings
    bounds: Bounds = field(default_factory=Bounds)
