"""The core's own events and instructions, and the types that it is constructed with.

The parts define their messages in their own modules; `gateway_interface.py` combines all of them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import (
    EngineRecord,
    FleetConfiguration,
    PromptShape,
    RequestLimits,
)
from troutswitch.decisions.jobs.records import StoreLimits
from troutswitch.decisions.tenants.types import QuotaBounds


class Formats(Protocol):
    """Decodes the records of operators and engines; each method raises `ValueError` on bad data."""

    def configuration(self, key: str, data: bytes) -> FleetConfiguration | None:
        """Decodes a record of the configuration's topic; returns None for an unrelated record."""
        ...

    def engine(self, key: str, data: bytes) -> EngineRecord:
        """Decodes the record of an engine, stored under `key` in the engine list."""
        ...

    def prompt(self, headers: Mapping[str, str]) -> PromptShape:
        """Returns the prompt that the headers of a batch item describe."""
        ...


@dataclass(frozen=True, slots=True)
class GatewayIdentity:
    """This daemon's identity and bounds. Times are in seconds.

    `peer_address` is where it receives peers' datagrams. `drain_bound` is the maximum time from an
    engine's first sign of draining until it gets no more requests, and `apply_bound` that from the
    acceptance of a configuration until it is active. `min_member_ttl` is the shortest time to live
    that the store accepts for a member of a group. `job_retention` is how long a job stays readable
    at least, counted from when this daemon first read its manifest; a job that is not open is
    removed `RETENTION_MARGIN_SECONDS` later. `store_reads_per_second` bounds the reads of all
    daemons together; 0 means no bound. `has_memory_limit` is set if the settings name a limit of
    memory.
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
    has_memory_limit: bool = False


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Event: a timer may be due."""


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """Event: the process is to drain and stop, after `seconds` at the latest."""

    seconds: float = float("inf")


@dataclass(frozen=True, slots=True)
class BoundsChanged:
    """Event: the settings were reloaded with these bounds; see `GatewayIdentity`."""

    drain_bound: float
    apply_bound: float
    job_retention: float


@dataclass(frozen=True, slots=True)
class ClockCompared:
    """Event: the time of day is `offset` seconds ahead of this process's clock."""

    offset: float


@dataclass(frozen=True, slots=True)
class ProcessResumed:
    """Event: this process resumed after it, or its machine, was suspended for some seconds."""

    seconds: float


@dataclass(frozen=True, slots=True)
class LimitsChanged:
    """Instruction: apply the active configuration's limits to callers' requests."""

    limits: RequestLimits


@dataclass(frozen=True, slots=True)
class EnginesRemoved:
    """Instruction: close the idle connections to engines that were removed from the list."""

    engine_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class IdleConnectionsLimited:
    """Instruction: keep at most these numbers of idle connections, by engine id.

    Replaces all earlier limits; engines that are not named have the pool's own limit.
    """

    limits: tuple[tuple[str, int], ...]
