"""Tells peers which versions the engines of mixed services run.

A daemon that learns of a further version tells `PEERS_NOTIFIED` peers at once; those to which it is
new do the same. While a service is mixed, `PEERS_REMINDED` random peers are told periodically,
which reaches daemons that started later or lost a message. Nothing is sent while no service is
mixed.

Owns the times of the messages. Relies on `EngineVersions` for what is known.
"""

import random
from collections.abc import Callable, Iterator

from troutswitch.common import Address
from troutswitch.daemons.messages import ListedVersion, VersionsNotice
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.streams.versions import MIXED_SECONDS, EngineVersions

PEERS_NOTIFIED = 8
"""Peers that a further version is told to. As each of them does the same, hardly any is missed."""
PEERS_REMINDED = 2
REMINDER_SECONDS = 0.5
"""Interval between reminders while a service is mixed."""
MAX_ROWS = 128
"""Maximum number of rows in a notice, at about 18 bytes each."""


class VersionNotices:
    """The notices of one daemon.

    Args:
        peers: returns the addresses of other daemons.
    """

    def __init__(
        self,
        name: str,
        versions: EngineVersions,
        peers: Callable[[], list[Address]],
        rng: random.Random,
    ) -> None:
        self._name = name
        self._versions = versions
        self._peers = peers
        self._rng = rng
        self._news_told = 0
        self._next_at = float("inf")

    def on_notice(self, now: float, notice: VersionsNotice) -> None:
        """Records the versions that a peer listed."""
        for row in notice.rows:
            age = max(0, row.age_ms) / 1000
            if age < MIXED_SECONDS:
                self._versions.on_seen(row.service, row.version, now, now - age)

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return self._next_at

    def on_timer(self, now: float) -> Iterator[SendToPeers]:
        """Yields the notice that is due, if any."""
        has_news = self._versions.news != self._news_told
        if not has_news and now < self._next_at:
            return
        self._news_told = self._versions.news
        rows = self._rows(now)
        self._next_at = now + REMINDER_SECONDS if rows else float("inf")
        peers = self._peers()
        count = PEERS_NOTIFIED if has_news else PEERS_REMINDED
        chosen = self._rng.sample(peers, min(count, len(peers)))
        if rows and chosen:
            yield SendToPeers(tuple(chosen), VersionsNotice(self._name, rows))

    def _rows(self, now: float) -> tuple[ListedVersion, ...]:
        rows = [
            ListedVersion(service, version, round(seen.age(now) * 1000))
            for service, versions in self._versions.mixed(now)
            for version, seen in versions.items()
        ]
        return tuple(rows[:MAX_ROWS])
