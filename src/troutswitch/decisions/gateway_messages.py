"""What the gateway's core is told and tells beside its parts' own messages."""

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

    def engine(self, engine_id: str, data: bytes) -> EngineRecord:
        """Decodes an engine's record."""
        ...


@dataclass(frozen=True, slots=True)
class GatewayIdentity:
    """Who this daemon is, and the bounds it keeps. Times are seconds.

    `store_reads_per_second` bounds the reads of all daemons together; 0 is no bound.
    """

    name: str
    zone: str
    peer_address: Address
    drain: float
    configuration_apply: float
    member_ttl_least: float
    job_kept: float
    store_limits: StoreLimits
    store_reads_per_second: float = 0.0
    quota_bounds: QuotaBounds = field(default_factory=QuotaBounds)


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Event: something may be due."""


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """Event: a planned stop begins."""


@dataclass(frozen=True, slots=True)
class BoundsChanged:
    """Event: the settings tell other bounds. Times are seconds."""

    drain: float
    configuration_apply: float
    job_kept: float


@dataclass(frozen=True, slots=True)
class ClockCompared:
    """Event: how far the time of day is ahead of this process's clock, in seconds."""

    offset: float


@dataclass(frozen=True, slots=True)
class ProcessResumed:
    """Event: this process did not run for some seconds: frozen, or on a suspended machine."""

    seconds: float


@dataclass(frozen=True, slots=True)
class LimitsChanged:
    """Instruction: put the configuration's limits on requests in force."""

    limits: RequestLimits


@dataclass(frozen=True, slots=True)
class EnginesLeft:
    """Instruction: drop what is kept for engines that left."""

    engine_ids: tuple[str, ...]
