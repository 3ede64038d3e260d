"""Learns how long items run, to tell which ones can still be done in time."""

from troutswitch.decisions.jobs.items import ItemProgress

WEIGHT_OF_NEW = 0.2
"""Weight of the newest run in the moving averages."""

DUTY_LEAST = 0.3
"""Least part of the time that a started item is taken to run."""


class RunPace:
    """Moving averages of the seconds an event takes and of the events that an item has.

    `duty` is the part of the time since its first start for which a finished item ran.
    Before the first whole run both are unknown, and every item counts as feasible. What
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
        """Takes an item that is whole: the seconds it ran, of those since it was started."""
        if since_start > 0:
            part = min(1.0, max(DUTY_LEAST, ran / since_start))
            self.duty = _moved(self.duty, part)

    def seconds_left(self, progress: ItemProgress) -> float:
        """Returns how long an item is likely to run yet."""
        events_left = max(0.0, self.item_events - progress.events_done)
        return events_left * self.event_seconds


def _moved(average: float, value: float) -> float:
    return value if average == 0.0 else average + WEIGHT_OF_NEW * (value - average)
