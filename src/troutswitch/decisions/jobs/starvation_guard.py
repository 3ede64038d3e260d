"""Sees to it that items which will be late are not starved by those that can be in time."""

LATE_TURN = 8
"""One start in so many goes to an item that will be late, however many could be in time."""
LATE_WAIT_SECONDS = 15.0
"""Time without the start of a late item after which one has its turn all the same: where
only other daemons have items in time, this one counts no starts."""


class StarvationGuard:
    """Counts the starts of one daemon."""

    def __init__(self, now: float) -> None:
        self._starts_since = 0
        self._started_at = now

    def has_turn(self, now: float) -> bool:
        """Returns whether one late item may start although others could be in time."""
        is_patient = now - self._started_at < LATE_WAIT_SECONDS
        return self._starts_since >= LATE_TURN or not is_patient

    def on_started_in_time(self) -> None:
        """An item started that can be in time."""
        self._starts_since += 1

    def on_started_late(self, now: float) -> None:
        """An item started that will be late."""
        self._starts_since = 0
        self._started_at = now
