"""Rule: how long will a batch item still run?

Inputs: the runs that finished on this daemon (seconds, events, and for items that met their target
the part of the time since their first start in which they ran); before the first one, what another
daemon had learnt, from the peer registry.

The rule: exponential moving averages of the seconds an event takes and of the events an item has;
what is left is the product of the events not made yet and the seconds of one.

Why: the order of items needs to know which can still meet their targets. The clients' own
estimates of an item's output are too far off to help. Measured in docs/POLICY.md, "Rounds" (10
and 11).
"""

from troutswitch.decisions.forwarding.learned_times import BatchRunTimes
from troutswitch.decisions.forwarding.run_times import moving_average
from troutswitch.decisions.jobs.items import ItemProgress

WEIGHT_OF_NEW = 0.2
"""Weight of the newest run in the moving averages."""
MIN_DUTY = 0.5
"""Least value of `duty`, whatever the runs show."""


class RunTimeEstimate:
    """Moving averages of what finished runs show.

    `event_seconds` is the time between events, `item_events` the number of events of an item, and
    `duty` the part of the time since its first start in which an item ran, from 0 to 1. Before
    the first whole run the first two are 0, by which every item can meet its target.
    """

    def __init__(self) -> None:
        self.event_seconds = 0.0
        self.item_events = 0.0
        self.duty = 1.0

    def on_completed(self, seconds: float, events: int, item_events: int) -> None:
        """Takes a run that ended with the item's whole output.

        Args:
            seconds: how long the run took.
            events: the events that this run made.
            item_events: the events of the whole item, with those of earlier runs.
        """
        if events > 0:
            self.event_seconds = moving_average(self.event_seconds, seconds / events, WEIGHT_OF_NEW)
        self.item_events = moving_average(self.item_events, item_events, WEIGHT_OF_NEW)

    def on_item_done(self, ran: float, since_start: float) -> None:
        """Takes an item that met its target: the seconds it ran, of those since its first start."""
        if since_start > 0:
            part = min(1.0, max(MIN_DUTY, ran / since_start))
            self.duty = moving_average(self.duty, part, WEIGHT_OF_NEW)

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
            self.duty = min(1.0, max(MIN_DUTY, learnt.duty_percent / 100))

    def remaining_seconds(self, progress: ItemProgress) -> float:
        """Returns how many seconds an item will probably still run."""
        events_left = max(0.0, self.item_events - progress.event_count)
        return events_left * self.event_seconds
