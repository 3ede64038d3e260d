"""Rule: when does an item that will miss its latency target start before others that can meet it?

Inputs: the starts of batch items on this daemon since its last start of a late item (a count), and
the seconds since that start, on this process's clock. Both are current.

The rule: one start in `LATE_TURN` goes to a late item. One also starts when none has for
`LATE_WAIT_SECONDS`.

Why: under lasting overload there is always an item that can still meet its target, so without the
rule a late item would never run. tests/proofs/test_starvation.py shows it; docs/POLICY.md, "Rules",
has the constants.
"""

LATE_TURN = 8
"""One start in so many goes to a late item."""
LATE_WAIT_SECONDS = 15.0
"""Longest time without the start of a late item. Needed where only other daemons have items that
can meet their targets: this daemon then counts no starts."""


class StarvationGuard:
    """Counts the starts of one daemon; nothing is due before `begin`."""

    def __init__(self) -> None:
        self._starts_since = 0
        self._late_started_at = float("inf")

    def begin(self, now: float) -> None:
        """Counts from now on."""
        self._starts_since = 0
        self._late_started_at = now

    def is_late_turn(self, now: float) -> bool:
        """Returns whether one late item may start although others can meet their targets."""
        is_overdue = now - self._late_started_at >= LATE_WAIT_SECONDS
        return self._starts_since >= LATE_TURN or is_overdue

    def on_started_in_time(self) -> None:
        """An item started that can meet its target."""
        self._starts_since += 1

    def on_started_late(self, now: float) -> None:
        """A late item started."""
        self._starts_since = 0
        self._late_started_at = now
