"""Learns how long items run, to tell which ones can still be done in time."""

from troutswitch.decisions.forwarding.experience import BatchRunTimes
from troutswitch.decisions.jobs.items import ItemProgress

WEIGHT_OF_NEW = 0.2
"""Weight of the newest run in the moving averages."""
DUTY_LEAST = 0.5
"""Least part of the time that a started item is taken to run."""


class RunTimeEstimate:
    """Moving averages of the seconds an event takes and of the events that an item has.

    `duty` is the part of the time since its first start for which an item ran that was in
    time. Before the first whole run all are unknown, and every item counts as feasible. What
    clients estimate of an item's output is too far off to help (correlation 0.41 to 0.49).
    """

    def __init__(self) -> None:
        self.event_seconds = 0.0
        self.item_events = 0.0
        self.duty = 1.0

    def on_completed(self, seconds: float, events: int, item_events: int) -> None:
        """Takes a run that ended whole.

        Args:
            seconds: how long the run took.
            events: the events that this run made.
            item_events: the events of the whole item, with those of earlier runs.
        """
        if events > 0:
            self.event_seconds = _moved(self.event_seconds, seconds / events)
        self.item_events = _moved(self.item_events, item_events)

    def on_item_done(self, ran: float, since_start: float) -> None:
        """Takes an item done in time: the seconds it ran, of those since it was started."""
        if since_start > 0:
            part = min(1.0, max(DUTY_LEAST, ran / since_start))
            self.duty = _moved(self.duty, part)

    def learnt(self) -> BatchRunTimes | None:
        """Returns what a daemon that starts may begin with; None before the first whole run."""
        if self.event_seconds == 0.0 or self.item_events == 0.0:
            return None
        return BatchRunTimes(
            round(self.event_seconds * 1e6), round(self.item_events), round(self.duty * 100)
        )

    def begin_with(self, learnt: BatchRunTimes) -> None:
        """Takes what another daemon learnt, if nothing was learnt here."""
        if self.event_seconds == 0.0:
            self.event_seconds = learnt.event_microseconds / 1e6
            self.item_events = float(learnt.item_events)
            self.duty = min(1.0, max(DUTY_LEAST, learnt.duty_percent / 100))

    def seconds_left(self, progress: ItemProgress) -> float:
        """Returns how long an item is likely to run yet."""
        events_left = max(0.0, self.item_events - progress.events_done)
        return events_left * self.event_seconds


def _moved(average: float, value: float) -> float:
    return value if average == 0.0 else average + WEIGHT_OF_NEW * (value - average)
