"""Learns how long requests wait for their first event, and how long they hold a slot."""

from dataclasses import dataclass

WEIGHT_OF_NEW = 0.05
"""Weight of the newest request in the moving averages."""


@dataclass(slots=True)
class ServiceTimes:
    """Moving averages of one service's online requests, in seconds; 0 before the first one.

    `first` is the time from sending to the first event where a slot was free, `held` the
    time for which a request has its slot.
    """

    first: float = 0.0
    held: float = 0.0


class RunTimes:
    """The times of all services, as this daemon sees them."""

    def __init__(self) -> None:
        self._by_service: dict[str, ServiceTimes] = {}

    def of(self, service: str) -> ServiceTimes:
        """Returns the times of a service."""
        return self._by_service.setdefault(service, ServiceTimes())

    def learnt(self) -> dict[str, tuple[int, int]]:
        """Returns first-event and held times by service, in milliseconds."""
        return {
            name: (round(times.first * 1000), round(times.held * 1000))
            for name, times in self._by_service.items()
            if times.held > 0
        }

    def begin_with(self, learnt: dict[str, tuple[int, int]]) -> None:
        """Takes what another daemon learnt of services that are not known here."""
        for name, (first, held) in learnt.items():
            times = self.of(name)
            if times.held == 0.0 and held > 0:
                times.first, times.held = first / 1000, held / 1000

    def on_completed(self, service: str, first: float, total: float, *, waited: bool) -> None:
        """Takes a request that was answered whole.

        Args:
            service: the service that answered.
            first: seconds from sending to the first event.
            total: seconds from sending to the end.
            waited: whether all slots seemed taken when it was sent.
        """
        times = self.of(service)
        if not waited:
            times.first = _moved(times.first, first)
        held = total - max(0.0, first - times.first)
        times.held = _moved(times.held, held)


def _moved(average: float, value: float) -> float:
    return value if average == 0.0 else average + WEIGHT_OF_NEW * (value - average)
