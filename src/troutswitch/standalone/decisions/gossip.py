"""What bounds gossip: how often each piece of news is told, and how many tables are sent."""

import heapq
import math

from troutswitch.standalone.constants import (
    GOSSIP_RETRANSMIT_FACTOR,
    GOSSIP_UPDATES_MOST,
    SYNC_BURST_DATAGRAMS,
    SYNC_DATAGRAMS_PER_SECOND,
)


class GossipQueue:
    """News about members; each piece is told a number of times that grows with the fleet."""

    def __init__(self) -> None:
        self._remaining: dict[str, int] = {}

    def put(self, name: str, members: int) -> None:
        """Has the news about a member told, in a fleet of some members."""
        count = GOSSIP_RETRANSMIT_FACTOR * math.ceil(math.log2(members + 1))
        self._remaining[name] = max(count, GOSSIP_RETRANSMIT_FACTOR)

    def drop(self, name: str) -> None:
        """Tells nothing more about a member."""
        self._remaining.pop(name, None)

    def take(self) -> list[str]:
        """Returns the names to be told next, those told least first."""
        names = heapq.nlargest(
            GOSSIP_UPDATES_MOST, self._remaining, key=self._remaining.__getitem__
        )
        for name in names:
            self._remaining[name] -= 1
            if self._remaining[name] <= 0:
                del self._remaining[name]
        return names


class SyncRateLimiter:
    """Bounds the tables sent a second, so that a fleet that starts at once gets through."""

    def __init__(self) -> None:
        self._credit = float(SYNC_BURST_DATAGRAMS)
        self._credited_at = 0.0

    def take(self, now: float) -> bool:
        """Takes one datagram's credit; returns False if none is left."""
        credit = self._credit + (now - self._credited_at) * SYNC_DATAGRAMS_PER_SECOND
        self._credited_at = now
        self._credit = min(credit, float(SYNC_BURST_DATAGRAMS))
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
