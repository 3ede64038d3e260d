"""Typed messages between the decisions on slots and the rest of a daemon."""

from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.daemons.messages import PeerMessage


@dataclass(frozen=True, slots=True)
class SendToPeers:
    """Instruction: send a message to daemons."""

    addresses: tuple[Address, ...]
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Event: a message of a peer came."""

    message: PeerMessage


@dataclass(frozen=True, slots=True)
class WaitingItems:
    """Batch items that a daemon could start now: those that can be in time, and the others."""

    in_time: int = 0
    late: int = 0


@dataclass(frozen=True, slots=True)
class StartItems:
    """This daemon may start so many batch items at an engine, or is to stop some if negative."""

    engine_id: str
    count: int


@dataclass(frozen=True, slots=True)
class FleetShare:
    """What batch items of the whole fleet may count on.

    `free_slots` is the mean number of slots that online requests leave; `open_items` counts
    the items that other daemons have to finish.
    """

    free_slots: float
    open_items: int
