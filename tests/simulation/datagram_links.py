"""Faults of the datagrams between simulated daemons.

Decides for each datagram whether it arrives, how often, and after how long. Links are directed, so
a daemon may be heard without hearing, and the reverse. Replies for a peer's state go over the same
links, in both directions.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

DATAGRAM_SECONDS = 0.002
"""Time until a datagram arrives on an undisturbed link."""


@dataclass
class DatagramLinks:
    """The current faults of all links; rates are shares from 0 to 1."""

    rng: random.Random
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    max_delay: float = 0.0
    """Longest additional delay, in seconds. Each copy has its own, so datagrams are reordered."""
    cut: set[tuple[str, str]] = field(default_factory=set)
    """Links that deliver nothing, by the names of sender and receiver."""

    def separate(self, side: Iterable[str], others: Iterable[str]) -> None:
        """Cuts all links between two sides, in both directions."""
        others = tuple(others)
        for name in side:
            self.cut_one_way((name,), others)
            self.cut_one_way(others, (name,))

    def cut_one_way(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Cuts the links from some daemons to others."""
        receivers = tuple(receivers)
        self.cut |= {(s, r) for s in senders for r in receivers if s != r}

    def disturb(self, loss_rate: float, duplicate_rate: float, max_delay: float) -> None:
        """Loses, doubles, delays and thereby reorders datagrams on all links."""
        self.loss_rate, self.duplicate_rate = loss_rate, duplicate_rate
        self.max_delay = max_delay

    def heal(self) -> None:
        """Ends all faults."""
        self.cut.clear()
        self.disturb(0.0, 0.0, 0.0)

    def connects(self, one: str, other: str) -> bool:
        """Returns whether neither direction between two daemons is cut."""
        return not {(one, other), (other, one)} & self.cut

    def delays(self, sender: str, receiver: str) -> list[float]:
        """Returns after how many seconds each copy of a datagram arrives; none if it is lost."""
        if (sender, receiver) in self.cut:
            return []
        if not (self.loss_rate or self.duplicate_rate or self.max_delay):
            return [DATAGRAM_SECONDS]
        copies = 1 + (self.rng.random() < self.duplicate_rate)
        return [
            DATAGRAM_SECONDS + self.rng.uniform(0.0, self.max_delay)
            for _ in range(copies)
            if self.rng.random() >= self.loss_rate
        ]
