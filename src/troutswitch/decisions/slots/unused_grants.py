"""Rule: at which engines does a daemon get no slots for batch items, as it left some unused?

Inputs: slots granted to the batch items of a daemon, and how many items it started in them: of this
daemon's own items at once, of a peer's by the report that includes the grant.

The rule: a daemon that left `MIN_UNUSED_GRANTS` grants in a row unused at an engine gets no slot
there for `UNUSED_PAUSE_SECONDS` on average, and for `UNUSED_GRANT_SECONDS` as long as another
engine without such grants has free slots for its items.

Why: waiting items are counted by service, but an item may also be unable to start at one engine of
its service, for example for lack of cache, for the engine's software version or beside an item
that it is kept apart from. The engine with the fewest requests would be granted to it in each
round, and its slots elsewhere never. Without the pause, an engine's slots would be granted all the
time to a daemon that can't use them, and count as items there for daemons that could. Pauses
differ, so that daemons don't get their slots at the same moments.

A peer returns unused slots with its next report, not at once: daemons that may try an item after a
crash would be granted slots in one round, and try it at two engines before they hear of each other.
"""

import random
from dataclasses import dataclass, field

UNUSED_PAUSE_SECONDS = 0.5
"""Mean time without a grant after an unused one: more than twice that until the report that returns
it."""
PAUSE_JITTER = 0.5
"""Share by which a pause is shorter or longer, at most."""
UNUSED_GRANT_SECONDS = 5.0
"""Time for which an unused grant counts. A round of assigning takes 20 ms and tries one engine at
least, so within this time all engines of several groups have been tried."""


MIN_UNUSED_GRANTS = 2
"""Number of grants in a row. A report may hide one start: of an item that replaces another."""


@dataclass(frozen=True, slots=True)
class _Unused:
    """Grants in a row that a daemon left unused at an engine, and when the last one was.

    It gets none there before `paused_until`.
    """

    count: int
    at: float
    paused_until: float


@dataclass(slots=True)
class UnusedGrants:
    """Grants that daemons left unused, by daemon and engine.

    Times are in seconds of this process's clock.
    """

    rng: random.Random
    _unused: dict[tuple[str, str], _Unused] = field(default_factory=dict)

    def record(self, now: float, daemon: str, engine_id: str, *, is_used: bool) -> None:
        """Records whether a daemon used the slots of its newest grant at an engine."""
        key = daemon, engine_id
        if is_used:
            self._unused.pop(key, None)
            return
        known = self._unused.get(key)
        count = known.count + 1 if known is not None else 1
        pause = UNUSED_PAUSE_SECONDS * self.rng.uniform(1 - PAUSE_JITTER, 1 + PAUSE_JITTER)
        self._unused[key] = _Unused(count, now, now + pause)

    def is_unused(self, now: float, daemon: str, engine_id: str) -> bool:
        """Returns whether a daemon left slots of an engine unused recently."""
        unused = self._counted(daemon, engine_id)
        return unused is not None and now - unused.at <= UNUSED_GRANT_SECONDS

    def is_paused(self, now: float, daemon: str, engine_id: str) -> bool:
        """Returns whether a daemon gets no slot of an engine now, whatever others have."""
        unused = self._counted(daemon, engine_id)
        return unused is not None and now < unused.paused_until

    def _counted(self, daemon: str, engine_id: str) -> _Unused | None:
        unused = self._unused.get((daemon, engine_id))
        return unused if unused is not None and unused.count >= MIN_UNUSED_GRANTS else None

    def on_timer(self, now: float) -> None:
        """Forgets grants that no longer count."""
        self._unused = {
            key: unused
            for key, unused in self._unused.items()
            if now - unused.at <= UNUSED_GRANT_SECONDS
        }
