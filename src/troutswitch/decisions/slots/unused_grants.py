"""Rule: at which engines does a daemon get no slots for batch items, as it left some unused?

Inputs: slots granted to the batch items of a daemon, and how many items it started in them: of this
daemon's own items at once, of a peer's by the report that includes the grant.

The rule: a daemon that left `MIN_UNUSED_GRANTS` grants in a row unused at an engine gets no slot
there for `UNUSED_PAUSE_SECONDS`, and for `UNUSED_GRANT_SECONDS` as long as another engine without
such grants has free slots for its items.

Why: waiting items are counted by service, but an item may also be unable to start at one engine of
its service, for example for lack of cache, for the engine's software version or beside an item
that it is kept apart from. The engine with the fewest requests would be granted to it in each
round, and its slots elsewhere never. Without the pause, an engine's slots would be granted all the
time to a daemon that can't use them, and count as items there for daemons that could.
"""

from dataclasses import dataclass, field

UNUSED_PAUSE_SECONDS = 0.25
"""Time without a grant after an unused one: several times that until the report that returns it."""
UNUSED_GRANT_SECONDS = 5.0
"""Time for which an unused grant counts. A round of assigning takes 20 ms and tries one engine at
least, so within this time all engines of several groups have been tried."""


MIN_UNUSED_GRANTS = 2
"""Number of grants in a row. A report may hide one start: of an item that replaces another."""


@dataclass(frozen=True, slots=True)
class _Unused:
    """Grants in a row that a daemon left unused at an engine, and when the last one was."""

    count: int
    at: float


@dataclass(slots=True)
class UnusedGrants:
    """Grants that daemons left unused, by daemon and engine.

    Times are in seconds of this process's clock.
    """

    _unused: dict[tuple[str, str], _Unused] = field(default_factory=dict)

    def record(self, now: float, daemon: str, engine_id: str, *, is_used: bool) -> None:
        """Records whether a daemon used the slots of its newest grant at an engine."""
        key = daemon, engine_id
        if is_used:
            self._unused.pop(key, None)
            return
        known = self._unused.get(key)
        self._unused[key] = _Unused(known.count + 1 if known is not None else 1, now)

    def is_unused(self, now: float, daemon: str, engine_id: str) -> bool:
        """Returns whether a daemon left a slot of an engine unused recently."""
        return now - self._last(daemon, engine_id) <= UNUSED_GRANT_SECONDS

    def is_paused(self, now: float, daemon: str, engine_id: str) -> bool:
        """Returns whether a daemon gets no slot of an engine now, whatever others have."""
        return now - self._last(daemon, engine_id) < UNUSED_PAUSE_SECONDS

    def _last(self, daemon: str, engine_id: str) -> float:
        unused = self._unused.get((daemon, engine_id))
        counts = unused is not None and unused.count >= MIN_UNUSED_GRANTS
        return unused.at if unused is not None and counts else float("-inf")

    def on_timer(self, now: float) -> None:
        """Forgets grants that no longer count."""
        self._unused = {
            key: unused
            for key, unused in self._unused.items()
            if now - unused.at <= UNUSED_GRANT_SECONDS
        }
