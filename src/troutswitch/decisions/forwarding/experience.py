"""What daemons have learnt of requests, in the form in which it outlives them."""

from dataclasses import dataclass, field
from typing import Any

LIKE_PART = 0.2
"""Change, as a part of the older figure, up to which two experiences are alike."""
NAMES_MOST = 64
"""Services, and routes, that are kept."""


@dataclass(frozen=True, slots=True)
class BatchRunTimes:
    """How batch items run: time an event takes, events an item has, and the part of the
    time for which a started item runs."""

    event_microseconds: int
    item_events: int
    duty_percent: int


@dataclass(frozen=True, slots=True)
class Experience:
    """Times in milliseconds.

    `times` holds, by service, the time to the first event where a slot was free and the time
    for which a request has its slot; `patience`, by route, the longest that a caller waits.
    """

    times: dict[str, tuple[int, int]] = field(default_factory=dict)
    client_timeouts: dict[str, int] = field(default_factory=dict)
    pace: BatchRunTimes | None = None

    def is_like(self, other: "Experience") -> bool:
        """Returns whether the other one tells nearly the same of the same names."""
        mine, others = self._figures(), other._figures()
        return mine.keys() == others.keys() and all(
            abs(mine[name] - others[name]) <= LIKE_PART * others[name] for name in mine
        )

    def _figures(self) -> dict[tuple[str, str], int]:
        figures = {("first", name): first for name, (first, _) in self.times.items()}
        figures |= {("held", name): held for name, (_, held) in self.times.items()}
        if self.pace is not None:
            figures["event", ""] = self.pace.event_microseconds
            figures["events", ""] = self.pace.item_events
        return figures | {("patience", name): most for name, most in self.client_timeouts.items()}

    def as_fields(self) -> list[Any]:
        """Returns plain maps and lists, of bounded size."""
        times = dict(list(self.times.items())[:NAMES_MOST])
        patience = dict(list(self.client_timeouts.items())[:NAMES_MOST])
        pace = self.pace
        held = [pace.event_microseconds, pace.item_events, pace.duty_percent] if pace else None
        return [{name: list(pair) for name, pair in times.items()}, patience, held]

    @classmethod
    def of_fields(cls, fields: Any) -> "Experience":
        """Reads what `as_fields` returned.

        Raises:
            ValueError, TypeError or AttributeError: it is malformed.
        """
        times, patience, pace = fields
        return cls(
            {str(name): (int(first), int(held)) for name, (first, held) in times.items()},
            {str(name): int(most) for name, most in patience.items()},
            BatchRunTimes(*(int(figure) for figure in pace)) if pace is not None else None,
        )
