"""Estimates how long requests take to their first event, and how long they occupy a slot.

Owns moving averages of this daemon's own answers by service, in seconds. They outlive the process
as part of its `LearnedTimes`. `admission`, `wait_estimate` and the coordinators of slots rely on
them.
"""

from dataclasses import dataclass

NEW_SAMPLE_WEIGHT = 0.05
"""Weight of the newest request in the moving averages."""


@dataclass(slots=True)
class ServiceTimes:
    """Moving averages of one service's online requests, in seconds; 0 before the first one.

    `first_event` is the time from sending to the first event if a slot was free, `slot_time` the
    time for which a request occupies its slot. `longest_pause` is the longest pause between the
    events of a request; it is not stored.
    """

    first_event: float = 0.0
    slot_time: float = 0.0
    longest_pause: float = 0.0


class RunTimes:
    """The run times of all services, as measured by this daemon."""

    def __init__(self) -> None:
        self._by_service: dict[str, ServiceTimes] = {}

    def of(self, service: str) -> ServiceTimes:
        """Returns the run times of a service, which may still be 0."""
        return self._by_service.setdefault(service, ServiceTimes())

    def snapshot(self) -> dict[str, tuple[int, int]]:
        """Returns the first-event and slot times by service, in whole milliseconds."""
        return {
            name: (round(times.first_event * 1000), round(times.slot_time * 1000))
            for name, times in self._by_service.items()
            if times.slot_time > 0
        }

    def merge(self, snapshot: dict[str, tuple[int, int]]) -> None:
        """Adopts another daemon's snapshot for services that have no run times here."""
        for name, (first_event, slot_time) in snapshot.items():
            times = self.of(name)
            if times.slot_time == 0.0 and slot_time > 0:
                times.first_event = first_event / 1000
                times.slot_time = slot_time / 1000

    def on_completed(
        self,
        service: str,
        first_event: float,
        total: float,
        *,
        was_queued: bool,
        longest_pause: float = 0.0,
    ) -> float:
        """Updates the averages with a completely answered request; returns its slot time.

        Args:
            service: the service that answered.
            first_event: seconds from sending to the first event.
            total: seconds from sending to the end.
            was_queued: whether all slots seemed taken when the request was sent. If so, its time to
                the first event includes a wait, which is not part of its slot time.
            longest_pause: longest pause between its events, in seconds; 0 if it is not known.
        """
        times = self.of(service)
        if not was_queued:
            times.first_event = moving_average(times.first_event, first_event, NEW_SAMPLE_WEIGHT)
        if longest_pause > 0.0:
            times.longest_pause = moving_average(
                times.longest_pause, longest_pause, NEW_SAMPLE_WEIGHT
            )
        slot_time = total - max(0.0, first_event - times.first_event)
        times.slot_time = moving_average(times.slot_time, slot_time, NEW_SAMPLE_WEIGHT)
        return slot_time


def moving_average(average: float, value: float, weight: float) -> float:
    """Returns a moving average updated with a value; an average of 0 stands for no value yet.

    `weight` is the weight of the new value, from 0 to 1.
    """
    return value if average == 0.0 else average + weight * (value - average)
