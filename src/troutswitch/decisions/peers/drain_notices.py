"""Tells peers which engines leave, where each daemon reads the list of engines seldom.

In a large fleet the store's reads allow each daemon a whole reading in some seconds only; but
all readings together come every few milliseconds. So whoever reads first that an engine leaves
tells some peers, and each that hears it for the first time tells as many once.
"""

import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

from troutswitch.common import Address
from troutswitch.daemons.messages import EngineDrainNotice
from troutswitch.decisions.slots.messages import SendToPeers

PEERS_NOTIFIED = 8
"""Daemons that are told at once. Where each that hears of news tells eight others once, 3 in 10,000
miss it; they read it in the list some seconds later."""
TELL_SECONDS = 0.02
"""Time in which news is gathered for one message: engines of one release leave together."""
TOLD_A_MESSAGE = 40
"""Engines in one message, which then fits into one packet (some 20 bytes each)."""
WAITING_MOST = 2048
REMEMBERED_MOST = 8192
"""Engines of which it is remembered that they were told: more than leave in an hour."""


class DrainNotices:
    """Passes on that engines drain, or left the list.

    Args:
        peers: returns the addresses of other daemons.
        is_needed: returns whether the list is read too seldom to do without.
    """

    def __init__(
        self,
        name: str,
        peers: Callable[[], list[Address]],
        is_needed: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._name = name
        self._peers = peers
        self._is_needed = is_needed
        self._rng = rng
        self._told: OrderedDict[tuple[str, bool], None] = OrderedDict()
        self._waiting: deque[tuple[str, bool]] = deque()
        self._tell_at = float("inf")

    def on_read(self, now: float, draining: Iterable[str], left: Iterable[str]) -> None:
        """Takes what this daemon's own list has shown."""
        for engine_id in draining:
            self._note(now, engine_id, is_draining=True)
        for engine_id in left:
            self._note(now, engine_id, is_draining=False)

    def on_news(self, now: float, news: EngineDrainNotice) -> tuple[list[str], list[str]]:
        """Takes what a peer tells; returns what is new: engines that drain, and that left."""
        draining = [name for name in news.draining if self._note(now, name, is_draining=True)]
        left = [name for name in news.left if self._note(now, name, is_draining=False)]
        return draining, left

    def _note(self, now: float, engine_id: str, *, is_draining: bool) -> bool:
        key = (engine_id, is_draining)
        if key in self._told:
            return False
        self._told[key] = None
        if len(self._told) > REMEMBERED_MOST:
            self._told.popitem(last=False)
        if self._is_needed():
            self._waiting.append(key)
            self._tell_at = min(self._tell_at, now + TELL_SECONDS)
            if len(self._waiting) > WAITING_MOST:
                self._waiting.popleft()
        return True

    def on_back(self, engine_ids: Iterable[str]) -> None:
        """Engines are listed again: that they leave would be news."""
        for engine_id in engine_ids:
            self._told.pop((engine_id, False), None)

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return self._tell_at

    def on_timer(self, now: float) -> list[SendToPeers]:
        """Tells some peers what waits to be told."""
        if now < self._tell_at:
            return []
        count = min(TOLD_A_MESSAGE, len(self._waiting))
        told = [self._waiting.popleft() for _ in range(count)]
        self._tell_at = now + TELL_SECONDS if self._waiting else float("inf")
        peers = self._peers()
        chosen = self._rng.sample(peers, min(PEERS_NOTIFIED, len(peers)))
        if not told or not chosen:
            return []
        draining = tuple(name for name, is_draining in told if is_draining)
        left = tuple(name for name, is_draining in told if not is_draining)
        return [SendToPeers(tuple(chosen), EngineDrainNotice(self._name, draining, left))]
