"""Run times and client timeouts that daemons have measured, in the form in which they are stored.

Each daemon writes them into its entry of the peer registry (`peers.peer_registry`). A daemon that
starts adopts from there what it has not measured yet. The stored form is a plain list with a fixed
order of fields.
"""

from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec

_Quantity = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_StoredFields = tuple[
    dict[str, tuple[_Quantity, _Quantity]],
    dict[str, _Quantity],
    tuple[_Quantity, _Quantity, _Quantity] | None,
]

SIMILARITY_TOLERANCE = 0.2
"""Change, as a share of the older value, up to which two values count as similar."""
MAX_NAMES = 64
"""Maximum number of services, and of routes, that are stored."""


@dataclass(frozen=True, slots=True)
class BatchRunTimes:
    """Averages of how batch items run.

    `event_microseconds` is the time per event, `item_events` the events per item, and
    `duty_percent` the share of the time from an item's first start to its end in which it runs.
    """

    event_microseconds: int
    item_events: int
    duty_percent: int


@dataclass(frozen=True, slots=True)
class LearnedTimes:
    """What one daemon has measured. Times are milliseconds.

    `times` holds, by service, the time to the first event if a slot was free, and the time for
    which a request occupies its slot. `client_timeouts` holds, by route, the longest time left of
    any request on arrival.
    """

    times: dict[str, tuple[int, int]] = field(default_factory=dict)
    client_timeouts: dict[str, int] = field(default_factory=dict)
    batch_run_times: BatchRunTimes | None = None

    def is_similar_to(self, other: "LearnedTimes") -> bool:
        """Returns whether `other` has the same services and routes with nearly the same values."""
        own_values, other_values = self._values(), other._values()
        return own_values.keys() == other_values.keys() and all(
            abs(own_values[name] - other_values[name]) <= SIMILARITY_TOLERANCE * other_values[name]
            for name in own_values
        )

    def _values(self) -> dict[tuple[str, str], int]:
        values = {("first event", name): first for name, (first, _) in self.times.items()}
        values |= {("slot time", name): slot_time for name, (_, slot_time) in self.times.items()}
        if self.batch_run_times is not None:
            values["event", ""] = self.batch_run_times.event_microseconds
            values["events", ""] = self.batch_run_times.item_events
        timeouts = self.client_timeouts.items()
        return values | {("client timeout", name): timeout for name, timeout in timeouts}

    def to_fields(self) -> list[Any]:
        """Returns the stored form: plain maps and lists of bounded size."""
        times = dict(list(self.times.items())[:MAX_NAMES])
        timeouts = dict(list(self.client_timeouts.items())[:MAX_NAMES])
        batch = self.batch_run_times
        batch_fields = (
            [batch.event_microseconds, batch.item_events, batch.duty_percent] if batch else None
        )
        return [{name: list(pair) for name, pair in times.items()}, timeouts, batch_fields]

    @classmethod
    def from_fields(cls, fields: Any) -> "LearnedTimes":
        """Returns the object that `to_fields` encoded.

        Raises:
            ValueError: the fields are malformed.
        """
        times, timeouts, batch = msgspec.convert(fields, _StoredFields)
        return cls(times, timeouts, BatchRunTimes(*batch) if batch is not None else None)
