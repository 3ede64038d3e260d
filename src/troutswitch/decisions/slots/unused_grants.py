"""Rule: at which engines does a daemon get no slots for batch items, as it left some unused?

Inputs: slots granted to the batch items of a daemon, and how many items it started in them: of this
daemon's own items at once, of a peer's by the report that includes the grant.

The rule: a daemon that left a granted slot of an engine unused gets no slot there for
`UNUSED_GRANT_SECONDS`, as long as another engine without such a grant has free slots for its items.

Why: waiting items are counted by service, but an item may also be unable to start at one engine of
its service, for example for lack of cache, for the engine's software version or beside an item
that it is kept apart from. The engine with the fewest requests would be granted to it in each
round, and its slots elsewhere never. A daemon loses no slot by it that it could have elsewhere.
"""

from dataclasses import dataclass, field

UNUSED_GRANT_SECONDS = 5.0
"""Time for which an unused grant counts. A round of assigning takes 20 ms and tries one engine at
least, so within this time all engines of several groups have been tried."""


@dataclass(slots=True)
class UnusedGrants:
    """When daemons last left granted slots unused, by daemon and engine.

    Times are in seconds of this process's clock.
    """

    _at: dict[tuple[str, str], float] = field(default_factory=dict)

    def record(self, now: float, daemon: str, engine_id: str, *, is_used: bool) -> None:
        """Records whether a daemon used the slots of its newest grant at an engine."""
        if is_used:
            self._at.pop((daemon, engine_id), None)
        else:
            self._at[daemon, engine_id] = now

    def is_unused(self, now: float, daemon: str, engine_id: str) -> bool:
        """Returns whether a daemon left a slot of an engine unused recently."""
        at = self._at.get((daemon, engine_id))
        return at is not None and now - at <= UNUSED_GRANT_SECONDS

    def on_timer(self, now: float) -> None:
        """Forgets grants that no longer count."""
        self._at = {key: at for key, at in self._at.items() if now - at <= UNUSED_GRANT_SECONDS}
