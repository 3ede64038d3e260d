"""Events, instructions and interfaces between the decisions on slots and the rest of a daemon."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from troutswitch.common import Address
from troutswitch.daemons.messages import PeerMessage, ServiceItems, TenantItems
from troutswitch.decisions.forwarding.messages import LogLine


@dataclass(frozen=True, slots=True)
class SendToPeers:
    """Instruction: send a message to daemons, one datagram per address."""

    addresses: tuple[Address, ...]
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Event: a datagram from another daemon was received and decoded."""

    message: PeerMessage


@dataclass(frozen=True, slots=True)
class WaitingItems:
    """Batch items that a daemon could start now.

    `in_time` counts those that can still meet their job's objective, `late` those that will miss
    it.
    """

    in_time: int = 0
    late: int = 0

    def without(self, count: int) -> "WaitingItems":
        """Returns what is left after some items started, those in time first."""
        late = self.late - max(0, count - self.in_time)
        return WaitingItems(max(0, self.in_time - count), max(0, late))

    def limited_to(self, other: "WaitingItems") -> "WaitingItems":
        """Returns the lower count of each kind."""
        return WaitingItems(min(self.in_time, other.in_time), min(self.late, other.late))


@dataclass(frozen=True, slots=True)
class StartItems:
    """Instruction: start up to `count` of this daemon's batch items at an engine.

    A negative `count` means that number of running items is stopped there. `tenant` names the
    tenant whose items start, as reported; None leaves the choice to this daemon.
    """

    engine_id: str
    count: int
    tenant: str | None = None


class HealthResult(StrEnum):
    """Result of a health request."""

    PACE = "pace"
    NO_PACE = "no pace"
    """The engine replied without a readable pace."""
    OTHER_ENGINE = "other engine"
    """The reply has no engine's id, or that of another engine, and is not used."""
    FAILED = "failed"
    """No reply."""


@dataclass(frozen=True, slots=True)
class RequestHealth:
    """Instruction: ask an engine for its pace, at its health path."""

    engine_id: str
    address: Address
    path: str


@dataclass(frozen=True, slots=True)
class HealthAnswered:
    """Event: a health request ended. `percent` is the pace, None without one."""

    engine_id: str
    result: HealthResult
    percent: int | None = None


SlotInstruction = SendToPeers | StartItems | RequestHealth | LogLine


@dataclass(frozen=True, slots=True)
class FleetShare:
    """The capacity and demand that the batch items of all daemons share.

    `free_slots` is the mean number of slots that online requests leave free. `open_items` counts
    the unfinished items of the other daemons.
    """

    free_slots: float
    open_items: int


class OwnItems(Protocol):
    """The batch items that this daemon owns."""

    @property
    def waiting(self) -> WaitingItems:
        """Items that could start now."""
        ...

    @property
    def waiting_by_tenant(self) -> tuple[TenantItems, ...]:
        """The waiting items by tenant, if a named tenant has some and a service is paced."""
        ...

    @property
    def waiting_by_service(self) -> tuple[ServiceItems, ...]:
        """The waiting items by service; empty if each can start at every listed service."""
        ...

    @property
    def reserved_engine(self) -> str:
        """The engine that is reserved for a large item, empty if there is none."""
        ...

    @property
    def open_items(self) -> int:
        """Number of unfinished items."""
        ...
