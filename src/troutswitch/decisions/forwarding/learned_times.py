"""What daemons have learnt of requests, in the form in which it outlives them.

Each daemon writes its experience into its entry of the peer registry (`peers.peer_registry`); a
daemon that starts takes from it what it doesn't know yet. The form is a plain list, so that it
can be stored; the order of its fields is fixed.
"""

from dataclasses import dataclass, field
from typing import Any

SIMILARITY_TOLERANCE = 0.2
"""Change, as a share of the older figure, up to which two experiences are alike."""
MAX_NAMES = 64
"""Services, and routes, that are kept."""


@dataclass(frozen=True, slots=True)
class BatchRunTimes:
    """How batch items run.

    Time that an event takes, events that an item has, and the share of the time, from its first
    start to its end, for which an item runs.
    """

    event_microseconds: int
    item_events: int
    duty_percent: int


@dataclass(frozen=True, slots=True)
class LearnedTimes:
    """What one daemon has learnt. Times are milliseconds.

    `times` holds, by service, the time to the first event where a slot was free and the time for
    which a request occupies its slot; `client_timeouts`, by route, the longest time left with
    which a request came.
    """

    times: dict[str, tuple[int, int]] = field(default_factory=dict)
    client_timeouts: dict[str, int] = field(default_factory=dict)
    batch_run_times: BatchRunTimes | None = None

    def is_similar_to(self, other: "LearnedTimes") -> bool:
        """Returns whether the other one has the same names, with nearly the same figures."""
        mine, others = self._figures(), other._figures()
        return mine.keys() == others.keys() and all(
            abs(mine[name] - others[name]) <= SIMILARITY_TOLERANCE * others[name] for name in mine
        )

    def _figures(self) -> dict[tuple[str, str], int]:
        figures = {("first event", name): first for name, (first, _) in self.times.items()}
        figures |= {("slot time", name): slot_time for name, (_, slot_time) in self.times.items()}
        if self.batch_run_times is not None:
            figures["event", ""] = self.batch_run_times.event_microseconds
            figures["events", ""] = self.batch_run_times.item_events
        timeouts = self.client_timeouts.items()
        return figures | {("client timeout", name): timeout for name, timeout in timeouts}

    def to_fields(self) -> list[Any]:
        """Returns plain maps and lists, of bounded size."""
        times = dict(list(self.times.items())[:MAX_NAMES])
        timeouts = dict(list(self.client_timeouts.items())[:MAX_NAMES])
        batch = self.batch_run_times
        batch_fields = (
            [batch.event_microseconds, batch.item_events, batch.duty_percent] if batch else None
        )
        return [{name: list(pair) for name, pair in times.items()}, timeouts, batch_fields]

    @classmethod
    def from_fields(cls, fields: Any) -> "LearnedTimes":
        """Reads what `to_fields` returned.

        Raises:
            ValueError, TypeError or AttributeError: it is malformed.
        """
        times, timeouts, batch = fields
        return cls(
            {str(name): (int(first), int(slot_time)) for name, (first, slot_time) in times.items()},
            {str(name): int(timeout) for name, timeout in timeouts.items()},
            BatchRunTimes(*(int(figure) for figure in batch)) if batch is not None else None,
        )
