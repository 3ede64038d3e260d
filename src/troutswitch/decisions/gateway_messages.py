"""The core's own events and instructions, and what it is made with.

The parts' messages stand with the parts; `gateway_interface.py` unites all.
"""

from dataclasses import dataclass, field
from typing import Protocol

from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import (
    EngineRecord,
    FleetConfiguration,
    RequestLimits,
)
from troutswitch.decisions.jobs.records import StoreLimits
from troutswitch.decisions.tenants.types import QuotaBounds


class Formats(Protocol):
    """Decodes what operators and engines write; each raises `ValueError` on bad data."""

    def configuration(self, key: str, data: bytes) -> FleetConfiguration | None:
        """Decodes a record of the configuration's topic; None if it is another one."""
        ...

    def engine(self, key: str, data: bytes) -> EngineRecord:
        """Decodes the record of an engine that stands under a key of the engine list."""
        ...


@dataclass(frozen=True, slots=True)
class GatewayIdentity:
    """Who this daemon is, and the bounds it keeps. Times are seconds.

    `peer_address` is where it takes peers' datagrams. `drain` bounds the time from an engine's
    first sign of draining until it gets no more requests, `apply_bound` that from the
    acceptance of a configuration until it is in force. `min_member_ttl` is the shortest time
    to live of a group's member that the store takes, `job_retention` how long an ended job stays
    readable. `store_reads_per_second` bounds the reads of all daemons together; 0 is no bound.
    """

    name: str
    zone: str
    peer_address: Address
    drain_bound: float
    apply_bound: float
    min_member_ttl: float
    job_retention: float
    store_limits: StoreLimits
    store_reads_per_second: float = 0.0
    quota_bounds: QuotaBounds = field(default_factory=QuotaBounds)


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Event: something may be due."""


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """Event: the process is asked to stop as planned."""


@dataclass(frozen=True, slots=True)
class BoundsChanged:
    """Event: the settings were reloaded, with these bounds. Times are seconds."""

    drain_bound: float
    apply_bound: float
    job_retention: float


@dataclass(frozen=True, slots=True)
class ClockCompared:
    """Event: the time of day is `offset` seconds ahead of this process's clock."""

    offset: float


@dataclass(frozen=True, slots=True)
class ProcessResumed:
    """Event: this process runs again, after some seconds frozen or on a suspended machine."""

    seconds: float


@dataclass(frozen=True, slots=True)
class LimitsChanged:
    """Instruction: limit callers' requests as the configuration in force says."""

    limits: RequestLimits


@dataclass(frozen=True, slots=True)
class EnginesRemoved:
    """Instruction: close the idle connections to engines that left."""

    engine_ids: tuple[str, ...]
