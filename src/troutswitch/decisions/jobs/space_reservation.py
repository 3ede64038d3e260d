"""Rule: when does an engine take no further items, so that a large one gets space in its cache?

Inputs: this daemon's waiting items, in order of rank, with the services that hold them; the engines
of these services, and the tokens at each by this daemon's counts and its estimate of others'.

The rule: an item that takes more than `LARGE_SHARE` of a cache, and has waited for
`RESERVE_AFTER_SECONDS`, reserves the engine with the fewest tokens, one item at a time. No other
item of this daemon starts there, and the engine's coordinator assigns its slots to the items of no
other daemon (`slots.batch_slots`). The reservation ends when the item starts or no longer waits, or
after `MAX_RESERVED_SECONDS`; the item may reserve again as much later.

Why: smaller items fit into what others leave, so under a lasting load a large one would be passed
by all that come later. Online requests are not held back: where they leave no space, the engine
serves other items again after a while.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.jobs.order import ItemKey

LARGE_SHARE = 0.5
"""Share of a cache from which on an item counts as large."""
RESERVE_AFTER_SECONDS = 2.0
"""Time for which a large item waits before it reserves an engine: about the time of a run, after
which an engine that is not reserved may have space."""
PAUSE_SECONDS = 1.5
"""Longest pause in which an item counts as waiting: the pause after a run that an engine rejected
as full."""
MAX_RESERVED_SECONDS = 10.0
"""Longest reservation: several times a run, so that the items at the engine have ended."""


@dataclass(frozen=True, slots=True)
class LargeItem:
    """A waiting item that takes a large part of a cache, and the engines that can hold it."""

    key: ItemKey
    engines: tuple[Engine, ...]


@dataclass(slots=True)
class _Wait:
    """When a large item may reserve an engine, and when it was last among the waiting ones."""

    may_reserve_at: float
    seen_at: float


@dataclass(slots=True)
class SpaceReservation:
    """The reservation of one daemon. Times are in seconds of this process's clock.

    Attributes:
        engine_id: the reserved engine, empty if there is none.
        item: the item for which it is reserved.
    """

    engine_id: str = ""
    item: ItemKey | None = None
    _reserved_at: float = float("-inf")
    _waits: dict[ItemKey, _Wait] = field(default_factory=dict)

    def update(
        self, now: float, waiting: Iterable[LargeItem], tokens_at: Callable[[Engine], float]
    ) -> None:
        """Makes, keeps or ends the reservation for the large items that wait, in order of rank."""
        items = {item.key: item for item in waiting}
        for key in items:
            wait = self._waits.setdefault(key, _Wait(now + RESERVE_AFTER_SECONDS, now))
            wait.seen_at = now
        self._waits = {
            key: wait for key, wait in self._waits.items() if now - wait.seen_at <= PAUSE_SECONDS
        }
        self._end_if_over(now, items)
        if self.item is None:
            due = [item for key, item in items.items() if now >= self._waits[key].may_reserve_at]
            self._reserve(now, next((item for item in due if item.engines), None), tokens_at)

    def _end_if_over(self, now: float, items: dict[ItemKey, LargeItem]) -> None:
        if self.item is None:
            return
        wait = self._waits.get(self.item)
        item = items.get(self.item)
        engines = {engine.record.engine_id for engine in item.engines} if item is not None else None
        is_lost = engines is not None and self.engine_id not in engines
        is_expired = now >= self._reserved_at + MAX_RESERVED_SECONDS
        if wait is not None and is_expired:
            wait.may_reserve_at = now + MAX_RESERVED_SECONDS
        if wait is None or is_lost or is_expired:
            self.item, self.engine_id = None, ""

    def _reserve(
        self, now: float, item: LargeItem | None, tokens_at: Callable[[Engine], float]
    ) -> None:
        if item is not None:
            engine = min(item.engines, key=tokens_at)
            self.item, self.engine_id = item.key, engine.record.engine_id
            self._reserved_at = now

    def on_started(self, key: ItemKey) -> None:
        """Ends the reservation if its item started."""
        self._waits.pop(key, None)
        if key == self.item:
            self.item, self.engine_id = None, ""

    def release(self) -> None:
        """Ends the reservation, as this daemon starts no items any more."""
        self._waits.clear()
        self.item, self.engine_id = None, ""

    def allows(self, key: ItemKey, engine_id: str) -> bool:
        """Returns whether an item may start at an engine."""
        return engine_id != self.engine_id or key == self.item
