"""Rule: who is notified of an engine that drains or left, where each daemon reads the list seldom?

Inputs: what this daemon's own readings of the engine list show, and peers' notices; whether the
size of the fleet makes the readings too rare to do without notices.

The rule: a daemon that learns first that an engine drains or left sends a notice to
`PEERS_NOTIFIED` peers, drawn at random, and each that learns it by a notice does so once (gossip).

Why: in a large fleet the store's limit on reads allows each daemon a reading in some seconds only,
in which it would go on sending requests to engines that leave. All readings together come every few
milliseconds.

It owns what was notified, and what waits to be. tests/decisions/peers/test_drain_notices.py plays a
fleet.
"""

import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

from troutswitch.common import Address
from troutswitch.daemons.messages import EngineDrainNotice
from troutswitch.decisions.slots.messages import SendToPeers

PEERS_NOTIFIED = 8
"""Daemons that a notice is sent to: enough for nearly all to learn of it; the others read it in the
list some seconds later."""
NOTICE_DELAY_SECONDS = 0.02
"""Time in which engines are gathered for one notice: those of one release leave together."""
MAX_ENGINES_PER_NOTICE = 40
"""Most engines in one notice, which then fits into one packet."""
MAX_PENDING_ENGINES = 2048
"""Most engines that wait for a notice; beyond that the oldest are left out."""
MAX_REMEMBERED_ENGINES = 8192
"""Engines that count as notified: more than leave in an hour."""


class DrainNotices:
    """Sends notices of engines that drain, or left the list.

    Args:
        name: this daemon's name.
        peers: returns the addresses of other daemons.
        is_needed: returns whether the list is read too seldom to do without notices.
        rng: source of the draws.
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
        self._notify_at = float("inf")

    def on_list_read(self, now: float, draining: Iterable[str], left: Iterable[str]) -> None:
        """Takes what this daemon's own reading of the list shows."""
        for engine_id in draining:
            self._remember(now, engine_id, is_draining=True)
        for engine_id in left:
            self._remember(now, engine_id, is_draining=False)

    def on_notice(self, now: float, notice: EngineDrainNotice) -> tuple[list[str], list[str]]:
        """Takes a peer's notice; returns the engines that are new: that drain, and that left."""
        draining = [name for name in notice.draining if self._remember(now, name, is_draining=True)]
        left = [name for name in notice.removed if self._remember(now, name, is_draining=False)]
        return draining, left

    def _remember(self, now: float, engine_id: str, *, is_draining: bool) -> bool:
        """Notes what is known of an engine; returns whether it is new."""
        key = (engine_id, is_draining)
        if key in self._notified:
            return False
        self._notified[key] = None
        if len(self._notified) > MAX_REMEMBERED_ENGINES:
            self._notified.popitem(last=False)
        if self._is_needed():
            self._pending.append(key)
            self._notify_at = min(self._notify_at, now + NOTICE_DELAY_SECONDS)
            if len(self._pending) > MAX_PENDING_ENGINES:
                self._pending.popleft()
        return True

    def on_listed_again(self, engine_ids: Iterable[str]) -> None:
        """Engines are listed again: if they leave once more, that is new."""
        for engine_id in engine_ids:
            self._notified.pop((engine_id, False), None)

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return self._notify_at

    def on_timer(self, now: float) -> list[SendToPeers]:
        """Sends a notice of the engines that wait, if it is due."""
        if now < self._notify_at:
            return []
        count = min(MAX_ENGINES_PER_NOTICE, len(self._pending))
        noted = [self._pending.popleft() for _ in range(count)]
        self._notify_at = now + NOTICE_DELAY_SECONDS if self._pending else float("inf")
        peers = self._peers()
        chosen = self._rng.sample(peers, min(PEERS_NOTIFIED, len(peers)))
        if not noted or not chosen:
            return []
        draining = tuple(name for name, is_draining in noted if is_draining)
        left = tuple(name for name, is_draining in noted if not is_draining)
        return [SendToPeers(tuple(chosen), EngineDrainNotice(self._name, draining, left))]
