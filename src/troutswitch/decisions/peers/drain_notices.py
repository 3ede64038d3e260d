"""Gossips which engines drain or were removed, in fleets that read the engine list rarely.

Inputs: this daemon's own reads of the engine list, peers' notices, and whether the size of the
fleet makes its reads too rare to rely on them alone.

Rule: a daemon that learns that an engine drains or was removed, from the list or from a notice,
sends one notice of it to `PEERS_NOTIFIED` peers drawn at random.

Why: in a large fleet the store's limit on reads allows each daemon only one read every few seconds.
Until its next read, a daemon would keep sending requests to engines that leave. The reads of all
daemons together are only milliseconds apart.

Owns the known changes and the pending notices. tests/decisions/peers/test_drain_notices.py
simulates a fleet.
"""

import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

from troutswitch.common import Address
from troutswitch.daemons.messages import EngineDrainNotice
from troutswitch.decisions.slots.messages import SendToPeers

PEERS_NOTIFIED = 8
"""Daemons that a notice is sent to: enough for nearly all to learn of it. The others read it from
the list some seconds later."""
NOTICE_DELAY_SECONDS = 0.02
"""Time for which engines are collected into one notice: those of one release leave together."""
MAX_ENGINES_PER_NOTICE = 32
"""Maximum number of engines in one notice. With usual ids it fits into one packet, and with the
longest ids (217 bytes) into a datagram."""
MAX_PENDING_ENGINES = 2048
"""Maximum number of engines pending for a notice; the oldest beyond it are dropped."""
MAX_REMEMBERED_ENGINES = 8192
"""Maximum number of known changes: more than there are engines that leave in an hour."""


class DrainNotices:
    """Sends notices of engines that drain or were removed from the list.

    Args:
        name: this daemon's name.
        peers: returns the addresses of other daemons.
        is_needed: returns whether the list is read too rarely to do without notices.
        rng: source of randomness.
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
        self._notified: OrderedDict[tuple[str, bool], None] = OrderedDict()
        self._pending: deque[tuple[str, bool]] = deque()
        self._next_notice_at = float("inf")

    def on_list_read(self, now: float, draining: Iterable[str], left: Iterable[str]) -> None:
        """Records which engines drain by a new list, and which were removed from it."""
        for engine_id in draining:
            self._remember(now, engine_id, is_draining=True)
        for engine_id in left:
            self._remember(now, engine_id, is_draining=False)

    def on_notice(self, now: float, notice: EngineDrainNotice) -> tuple[list[str], list[str]]:
        """Records a peer's notice; returns the draining and the removed engines that are new."""
        draining = [name for name in notice.draining if self._remember(now, name, is_draining=True)]
        left = [name for name in notice.removed if self._remember(now, name, is_draining=False)]
        return draining, left

    def _remember(self, now: float, engine_id: str, *, is_draining: bool) -> bool:
        """Records that an engine drains or was removed; returns whether that was unknown."""
        key = (engine_id, is_draining)
        if key in self._notified:
            return False
        self._notified[key] = None
        if len(self._notified) > MAX_REMEMBERED_ENGINES:
            self._notified.popitem(last=False)
        if self._is_needed():
            self._pending.append(key)
            self._next_notice_at = min(self._next_notice_at, now + NOTICE_DELAY_SECONDS)
            if len(self._pending) > MAX_PENDING_ENGINES:
                self._pending.popleft()
        return True

    def on_listed_again(self, engine_ids: Iterable[str]) -> None:
        """Forgets the removal of engines that are listed again, so that a later one is new."""
        for engine_id in engine_ids:
            self._notified.pop((engine_id, False), None)

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return self._next_notice_at

    def on_timer(self, now: float) -> list[SendToPeers]:
        """Sends a notice of the pending engines if it is due."""
        if now < self._next_notice_at:
            return []
        count = min(MAX_ENGINES_PER_NOTICE, len(self._pending))
        noted = [self._pending.popleft() for _ in range(count)]
        self._next_notice_at = now + NOTICE_DELAY_SECONDS if self._pending else float("inf")
        peers = self._peers()
        chosen = self._rng.sample(peers, min(PEERS_NOTIFIED, len(peers)))
        if not noted or not chosen:
            return []
        draining = tuple(name for name, is_draining in noted if is_draining)
        left = tuple(name for name, is_draining in noted if not is_draining)
        return [SendToPeers(tuple(chosen), EngineDrainNotice(self._name, draining, left))]
