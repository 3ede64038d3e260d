"""Decides whether a group's coordinator is suspected to have failed.

Inputs: whether the coordinator replied to this daemon's own requests, known when the reply arrives
or its timeout expires; any message from the coordinator.

Rule: a coordinator is suspected after `SUSPECT_MISSES` consecutive requests without a reply, or
after one reply in which the daemon denies that it coordinates the group. It is sent no requests for
`SUSPECT_SECONDS`, and daemons claim its group (`coordinator_claims.py`). Any message from it, or a
newer claim of the group, ends the suspicion.

A coordinator that replies, but says that the store has not confirmed it for some seconds, is not
suspected. It counts as unconfirmed until it replies without saying so, or says nothing for
`STATEMENT_SECONDS`.

Why: a single missing reply is more often a lost datagram than a failed daemon. A suspected
coordinator is tried again, because it may only have been suspended or disconnected.

docs/SLOTS.md, "When the other side is silent", lists the cases.
"""

from dataclasses import dataclass

SUSPECT_MISSES = 2
"""Consecutive requests without a reply after which a coordinator is suspected."""
SUSPECT_SECONDS = 2.0
"""Time after which requests are sent to a suspected coordinator again."""
STATEMENT_SECONDS = 1.0
"""Time for which a coordinator's statement that it is unconfirmed is used. It exceeds the delay of
a claim, 0.3 s at most, and is short because the coordinator may read the store again."""
NEVER = float("inf")


@dataclass(slots=True)
class _Health:
    """Health of one group's coordinator as this daemon sees it. Times are in seconds.

    `unconfirmed_since` and `unconfirmed_at` are the times of the first and the last of its
    consecutive statements that the store has not confirmed it.
    """

    misses: int = 0
    suspected_until: float = float("-inf")
    missing_since: float = NEVER
    unconfirmed_since: float = NEVER
    unconfirmed_at: float = NEVER


class CoordinatorHealth:
    """Health of the coordinators of all groups, by group name."""

    def __init__(self) -> None:
        self._groups: dict[str, _Health] = {}

    def _of(self, group: str) -> _Health:
        return self._groups.setdefault(group, _Health())

    def is_suspected(self, now: float, group: str) -> bool:
        """Returns whether requests must not be sent to the coordinator now."""
        return now < self._of(group).suspected_until

    def is_missing(self, group: str) -> bool:
        """Returns whether at least `SUSPECT_MISSES` consecutive requests got no reply."""
        return self._of(group).misses >= SUSPECT_MISSES

    def missing_since(self, group: str) -> float:
        """Returns when a missing coordinator was first needed; infinite if none is missing."""
        return self._of(group).missing_since

    def on_new_coordinator(self, group: str) -> None:
        """Handles a newer claim of the group."""
        self._groups[group] = _Health()

    def on_activity(self, group: str) -> None:
        """Handles a message from the coordinator."""
        self._groups[group] = _Health()

    def unconfirmed_since(self, group: str) -> float:
        """Returns since when the coordinator says that it is unconfirmed; infinite if not."""
        return self._of(group).unconfirmed_since

    def on_unconfirmed(self, now: float, group: str) -> None:
        """Handles a message in which the coordinator says that it is unconfirmed."""
        since = min(self._of(group).unconfirmed_since, now)
        self._groups[group] = _Health(unconfirmed_since=since, unconfirmed_at=now)

    def forget_old_statements(self, now: float) -> None:
        """Drops what coordinators said longer than `STATEMENT_SECONDS` ago."""
        for health in self._groups.values():
            if now >= health.unconfirmed_at + STATEMENT_SECONDS:
                health.unconfirmed_since = health.unconfirmed_at = NEVER

    def on_reply_timeout(self, now: float, group: str) -> bool:
        """Handles a request without a reply; returns whether the coordinator becomes suspected."""
        health = self._of(group)
        health.misses += 1
        health.missing_since = min(health.missing_since, now)
        if health.misses < SUSPECT_MISSES or now < health.suspected_until:
            return False
        health.suspected_until = now + SUSPECT_SECONDS
        return True

    def on_not_coordinator(self, now: float, group: str) -> bool:
        """Handles a daemon's denial that it is the coordinator; returns as `on_reply_timeout`."""
        self._of(group).misses = SUSPECT_MISSES
        return self.on_reply_timeout(now, group)

    def on_coordinator_needed(self, now: float, group: str) -> bool:
        """Handles the need for a coordinator in a group without one; returns whether it is new."""
        health = self._of(group)
        if health.missing_since != NEVER:
            return False
        health.missing_since = now
        return True
