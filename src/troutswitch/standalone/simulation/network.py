"""The simulated network: latency, partitions between zones, and datagram faults."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.standalone.daemons.messages import Message
from troutswitch.standalone.simulation.clock import VirtualClock

PLATFORM = "platform"
"""Name of the place of the log service and the machine list."""

SAME_ZONE_LATENCY_SECONDS = (0.0002, 0.0008)
CROSS_ZONE_LATENCY_SECONDS = (0.0008, 0.003)

Receiver = Callable[[Address, Message], None]


@dataclass
class DatagramFaults:
    """Shares of datagrams that are lost, duplicated or delayed."""

    lost: float = 0.0
    duplicated: float = 0.0
    delayed: float = 0.0
    delay_seconds: float = 1.0


class Network:
    """Connections between places; a place is a zone or the platform."""

    def __init__(self, clock: VirtualClock, rng: random.Random) -> None:
        self.datagram_faults = DatagramFaults()
        self._clock = clock
        self._rng = rng
        self._changed_at = float("-inf")
        self._cuts: dict[frozenset[str], int] = {}
        self._receivers: dict[Address, tuple[str, Receiver]] = {}

    # Cuts.

    def cut(self, first: str, second: str) -> None:
        """Disconnects two places. Cuts nest: each needs its own `heal`."""
        pair = frozenset((first, second))
        self._cuts[pair] = self._cuts.get(pair, 0) + 1
        self._changed_at = self._clock.now()

    def heal(self, first: str, second: str) -> None:
        """Removes one cut between two places."""
        self._changed_at = self._clock.now()
        pair = frozenset((first, second))
        remaining = self._cuts[pair] - 1
        if remaining:
            self._cuts[pair] = remaining
        else:
            del self._cuts[pair]

    def has_cuts(self) -> bool:
        """Returns whether any two places are disconnected."""
        return bool(self._cuts)

    def is_unchanged_since(self, at: float) -> bool:
        """Returns whether no cut has begun or ended since a time."""
        return self._changed_at < at

    def is_connected(self, first: str, second: str) -> bool:
        """Returns whether two places can reach each other."""
        return first == second or frozenset((first, second)) not in self._cuts

    def latency(self, first: str, second: str) -> float:
        """Returns a one-way latency in seconds."""
        low, high = SAME_ZONE_LATENCY_SECONDS if first == second else CROSS_ZONE_LATENCY_SECONDS
        return self._rng.uniform(low, high)

    # Datagrams.

    def attach(self, address: Address, zone: str, receiver: Receiver) -> None:
        """Registers the receiver of an address in a zone."""
        self._receivers[address] = (zone, receiver)

    def detach(self, address: Address) -> None:
        """Removes the receiver of an address."""
        self._receivers.pop(address, None)

    def send(self, zone: str, sender: Address, to: Address, message: Message) -> None:
        """Sends a datagram; it may be lost, duplicated or delayed."""
        attached = self._receivers.get(to)
        if attached is None or not self.is_connected(zone, attached[0]):
            return
        faults = self.datagram_faults
        if self._rng.random() < faults.lost:
            return
        copies = 2 if self._rng.random() < faults.duplicated else 1
        for _ in range(copies):
            delay = self.latency(zone, attached[0])
            if self._rng.random() < faults.delayed:
                delay += self._rng.uniform(0.0, faults.delay_seconds)
            self._clock.call_later(delay, lambda: self._deliver(sender, to, message))

    def _deliver(self, sender: Address, to: Address, message: Message) -> None:
        attached = self._receivers.get(to)
        if attached is not None:
            attached[1](sender, message)
