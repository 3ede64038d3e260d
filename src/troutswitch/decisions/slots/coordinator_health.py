"""Decides whether a group's coordinator is suspected to have failed.

Inputs: whether the coordinator replied to this daemon's own requests, known at once or when the
time for a reply is over; any message that it sent.

Rule: after `SUSPECT_MISSES` requests in a row without a reply, or one reply that says that the
daemon does not coordinate the group, a coordinator is suspected. It is sent no requests for
`SUSPECT_SECONDS`, and daemons claim its group (`coordinator_claims.py`). Any message from it, or a
newer claim of the group, ends the suspicion.

Why: one missing reply is a lost datagram more often than a failed daemon. A suspected coordinator
is tried again, as it may only have been suspended or cut off.

docs/SLOTS.md, "When the other side is silent", has the cases.
"""

from dataclasses import dataclass

SUSPECT_MISSES = 2
"""Requests in a row without a reply after which a coordinator is suspected."""
SUSPECT_SECONDS = 2.0
"""Time after which a suspected coordinator is sent requests again."""
NEVER = float("inf")


@dataclass(slots=True)
class _Health:
    """One group's coordinator as this daemon sees it. Times are in seconds of its clock."""

    misses: int = 0
    suspected_until: float = float("-inf")
    missing_since: float = NEVER


class CoordinatorHealth:
    """Health of the coordinators of all groups, by the group's name."""

    def __init__(self) -> None:
        self._groups: dict[str, _Health] = {}

    def _of(self, group: str) -> _Health:
        return self._groups.setdefault(group, _Health())

    def is_suspected(self, now: float, group: str) -> bool:
        """Returns whether the coordinator must not be sent requests now."""
        return now < self._of(group).suspected_until

    def is_missing(self, group: str) -> bool:
        """Returns whether as many requests went without a reply as make a coordinator suspected."""
        return self._of(group).misses >= SUSPECT_MISSES

    def missing_since(self, group: str) -> float:
        """Returns when a coordinator was first needed and missing; infinite if it is not."""
        return self._of(group).missing_since

    def on_new_coordinator(self, group: str) -> None:
        """A newer claim of the group is known."""
        self._groups[group] = _Health()

    def on_activity(self, group: str) -> None:
        """The coordinator sent a message."""
        self._groups[group] = _Health()

    def on_reply_timeout(self, now: float, group: str) -> bool:
        """A request got no reply in time; returns whether the coordinator is suspected from now."""
        health = self._of(group)
        health.misses += 1
        health.missing_since = min(health.missing_since, now)
        if health.misses < SUSPECT_MISSES or now < health.suspected_until:
            return False
        health.suspected_until = now + SUSPECT_SECONDS
        return True

    def on_not_coordinator(self, now: float, group: str) -> bool:
        """The daemon replied that it is no coordinator; returns as `on_reply_timeout` does."""
        self._of(group).misses = SUSPECT_MISSES
        return self.on_reply_timeout(now, group)

    def on_coordinator_needed(self, now: float, group: str) -> bool:
        """A group without a known coordinator needs one; returns whether that is new."""
        health = self._of(group)
        if health.missing_since != NEVER:
            return False
        health.missing_since = now
        return True
