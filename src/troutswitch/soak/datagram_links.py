"""Faults of the datagrams between the daemons of a soak.

Each daemon has a relay on loopback, whose address it advertises instead of its own
(`clocked_daemon`). The relay knows a datagram's sender by its source port, so each direction of a
link between two daemons may have its own fault. Faults are drawn from a generator of the soak's
seed; when datagrams arrive isn't seeded.
"""

import contextlib
import heapq
import itertools
import random
import socket
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.gateway.daemons.peer_socket import MAX_DATAGRAM_BYTES
from troutswitch.standins.ports import HOST

IDLE_SECONDS = 0.5
"""Longest wait of the delivering thread, after which it checks whether the links were closed."""


@dataclass(frozen=True, slots=True)
class DatagramFaults:
    """Faults of all links; rates are shares from 0 to 1.

    Each copy of a datagram is delayed by up to `max_delay` seconds, so the order changes.
    """

    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    max_delay: float = 0.0


NO_FAULTS = DatagramFaults()


class DatagramRelay:
    """Receives the datagrams to one daemon."""

    def __init__(self, links: "DatagramLinks", target: Address) -> None:
        self.target = target
        self._links = links
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((HOST, 0))
        self.address = Address(HOST, self._socket.getsockname()[1])
        threading.Thread(target=self._receive, daemon=True).start()

    def _receive(self) -> None:
        while True:
            try:
                datagram, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except ConnectionRefusedError:
                continue
            except OSError:
                return
            if sender is None:  # the socket was shut down
                return
            self._links.forward(self, sender[1], datagram)

    def send(self, datagram: bytes) -> None:
        """Sends a datagram to the daemon; it is lost if the daemon does not run."""
        with contextlib.suppress(OSError):
            self._socket.sendto(datagram, (self.target.host, self.target.port))

    def close(self) -> None:
        """Ends the relay."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)  # wakes the receiving thread
        self._socket.close()


class DatagramLinks:
    """All links between daemons, and their current faults."""

    def __init__(self, seed: int) -> None:
        self.faults = NO_FAULTS
        self.lost = 0
        """Copies of datagrams that were not delivered."""
        self._rng = random.Random(f"datagrams-{seed}")
        self._relays: dict[str, DatagramRelay] = {}
        self._cut: frozenset[tuple[int, int]] = frozenset()
        """Links that deliver nothing, by the ports of the sender and the receiver."""
        self._due: list[tuple[float, int, DatagramRelay, bytes]] = []
        self._order = itertools.count()
        self._changed = threading.Condition()
        self._is_closed = False
        threading.Thread(target=self._deliver, daemon=True).start()

    def add(self, name: str, target: Address) -> Address:
        """Adds a daemon that receives at `target`; returns the address to advertise."""
        relay = self._relays[name] = DatagramRelay(self, target)
        return relay.address

    # Faults.

    def separate(self, side: Iterable[str]) -> None:
        """Cuts all links between some daemons and the others, in both directions."""
        side = tuple(side)
        others = [name for name in self._relays if name not in side]
        self.cut_one_way(side, others)
        self.cut_one_way(others, side)

    def cut_one_way(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Cuts the links from some daemons to others."""
        ports = [self._relays[name].target.port for name in senders]
        others = [self._relays[name].target.port for name in receivers]
        self._cut |= {(sender, other) for sender in ports for other in others}

    def heal(self) -> None:
        """Ends all faults; datagrams that are delayed still arrive."""
        self._cut = frozenset()
        self.faults = NO_FAULTS

    # Delivery.

    def forward(self, relay: DatagramRelay, sender_port: int, datagram: bytes) -> None:
        """Delivers a datagram as the link's faults have it; called on the relay's thread."""
        if (sender_port, relay.target.port) in self._cut:
            with self._changed:
                self.lost += 1
            return
        faults = self.faults
        if faults == NO_FAULTS:
            relay.send(datagram)
            return
        with self._changed:
            copies = 1 + (self._rng.random() < faults.duplicate_rate)
            for _ in range(copies):
                if self._rng.random() < faults.loss_rate:
                    self.lost += 1
                    continue
                at = time.monotonic() + self._rng.uniform(0.0, faults.max_delay)
                heapq.heappush(self._due, (at, next(self._order), relay, datagram))
            self._changed.notify()

    def _deliver(self) -> None:
        while not self._is_closed:
            with self._changed:
                now = time.monotonic()
                wait = self._due[0][0] - now if self._due else IDLE_SECONDS
                if wait > 0:
                    self._changed.wait(min(wait, IDLE_SECONDS))
                    continue
                _, _, relay, datagram = heapq.heappop(self._due)
            relay.send(datagram)

    def close(self) -> None:
        """Ends all relays."""
        self._is_closed = True
        for relay in self._relays.values():
            relay.close()
