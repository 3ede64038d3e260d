"""Bounds on gossip: retransmissions of each update and the rate of table transfers."""

import heapq
import math

from troutswitch.standalone.constants import (
    GOSSIP_RETRANSMIT_FACTOR,
    MAX_GOSSIP_UPDATES,
    SYNC_BURST_DATAGRAMS,
    SYNC_DATAGRAMS_PER_SECOND,
)


class GossipQueue:
    """Member updates to send; each is sent a number of times logarithmic in the fleet size."""

    def __init__(self) -> None:
        self._remaining: dict[str, int] = {}

    def put(self, name: str, members: int) -> None:
        """Queues a member's update in a fleet of `members` members."""
        count = GOSSIP_RETRANSMIT_FACTOR * math.ceil(math.log2(members + 1))
        self._remaining[name] = max(count, GOSSIP_RETRANSMIT_FACTOR)

    def drop(self, name: str) -> None:
        """Stops sending updates of a member."""
        self._remaining.pop(name, None)

    def take(self) -> list[str]:
        """Returns the members whose updates to send next, most remaining sends first."""
        names = heapq.nlargest(MAX_GOSSIP_UPDATES, self._remaining, key=self._remaining.__getitem__)
        for name in names:
            self._remaining[name] -= 1
            if self._remaining[name] <= 0:
                del self._remaining[name]
        return names


class SyncRateLimiter:
    """Limits the table datagrams per second, so that a simultaneous fleet start succeeds."""

    def __init__(self) -> None:
        self._credit = float(SYNC_BURST_DATAGRAMS)
        self._credited_at = 0.0

    def take(self, now: float) -> bool:
        """Consumes the credit for one datagram; returns False if there is none."""
        credit = self._credit + (now - self._credited_at) * SYNC_DATAGRAMS_PER_SECOND
        self._credited_at = now
        self._credit = min(credit, float(SYNC_BURST_DATAGRAMS))
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
