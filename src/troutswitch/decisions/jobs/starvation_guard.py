"""Rule: when does an item that will miss its latency target start before others that can meet it?

Inputs: the number of batch items that this daemon has started since its last start of a late item,
and the seconds since that start, on this process's clock. Both are current.

The rule: a late item may start after `LATE_START_INTERVAL` starts of other items, or when none has
started for `LATE_WAIT_SECONDS`.

Why: under lasting overload some item can always meet its target, so without the rule late items
would never run. tests/proofs/test_starvation.py shows this; docs/POLICY.md, "Rules", lists the
constants.
"""

LATE_START_INTERVAL = 8
"""Number of starts of other items after which a late item may start."""
LATE_WAIT_SECONDS = 15.0
"""Maximum time without the start of a late item. Needed if only other daemons have items that can
meet their targets, since this daemon then counts no starts."""


class StarvationGuard:
    """Counts the starts of one daemon; late items have no turn before `begin`."""

    def __init__(self) -> None:
        self._starts_since = 0
        self._late_started_at = float("inf")

    def begin(self, now: float) -> None:
        """Starts counting."""
        self._starts_since = 0
        self._late_started_at = now

    def is_late_turn(self, now: float) -> bool:
        """Returns whether a late item may start before items that can meet their targets."""
        is_overdue = now - self._late_started_at >= LATE_WAIT_SECONDS
        return self._starts_since >= LATE_START_INTERVAL or is_overdue

    def on_started_in_time(self) -> None:
        """Counts the start of an item that can meet its target."""
        self._starts_since += 1

    def on_started_late(self, now: float) -> None:
        """Records the start of a late item."""
        self._starts_since = 0
        self._late_started_at = now
