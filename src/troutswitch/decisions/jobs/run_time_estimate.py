"""Rule: what is the remaining run time of a batch item?

Inputs: the finished runs on this daemon (seconds, events, the engine's relative factor in the last
seconds, see `forwarding/engine_cost.py`; for items that met their target the
share of the time since their first start in which they ran); before the first finished run, the
estimates of another daemon, from the peer registry.

The rule: exponential moving averages of the seconds per event and of the events per item. A run's
seconds per event are divided by the engine's relative factor, so the average is that of an engine
of mean speed, whichever engines ran the items. The remaining time is the expected number of
remaining events multiplied by the seconds per event, and at one engine also by its factor.

Why: the order of items depends on which can still meet their targets. The clients' own estimates of
an item's output are too inaccurate. Measured in docs/POLICY.md, "Rounds" (10
and 11).
"""

from troutswitch.decisions.forwarding.learned_times import BatchRunTimes
from troutswitch.decisions.forwarding.run_times import moving_average
from troutswitch.decisions.jobs.items import ItemProgress

WEIGHT_OF_NEW = 0.2
"""Weight of the newest run in the moving averages."""
MIN_DUTY = 0.5
"""Lower bound of `duty`."""


class RunTimeEstimate:
    """Moving averages over finished runs.

    `event_seconds` is the time between events, `item_events` the number of events of an item, and
    `duty` the share of the time since its first start in which an item ran, from 0 to 1. Until the
    first completed run the first two are 0, so that every item counts as able to meet its target.
    """

    def __init__(self) -> None:
        self.event_seconds = 0.0
        self.item_events = 0.0
        self.duty = 1.0

    def on_completed(
        self, seconds: float, events: int, item_events: int, factor: float = 1.0
    ) -> None:
        """Adds a run that completed its item's output.

        Args:
            seconds: duration of the run.
            events: number of events from this run.
            item_events: number of events of the whole item, including earlier runs.
            factor: relative factor of the engine during the run.
        """
        if events > 0:
            event_seconds = seconds / events / factor
            self.event_seconds = moving_average(self.event_seconds, event_seconds, WEIGHT_OF_NEW)
        self.item_events = moving_average(self.item_events, item_events, WEIGHT_OF_NEW)

    def on_item_done(self, run_seconds: float, since_start: float) -> None:
        """Adds an item that met its target.

        Args:
            run_seconds: total duration of its runs.
            since_start: seconds since its first start.
        """
        if since_start > 0:
            duty = min(1.0, max(MIN_DUTY, run_seconds / since_start))
            self.duty = moving_average(self.duty, duty, WEIGHT_OF_NEW)

    def snapshot(self) -> BatchRunTimes | None:
        """Returns the estimates for daemons that start; None before the first completed run."""
        if self.event_seconds == 0.0 or self.item_events == 0.0:
            return None
        return BatchRunTimes(
            round(self.event_seconds * 1e6), round(self.item_events), round(self.duty * 100)
        )

    def adopt(self, estimates: BatchRunTimes) -> None:
        """Adopts the estimates of another daemon, if there are none here."""
        if self.event_seconds == 0.0:
            self.event_seconds = estimates.event_microseconds / 1e6
            self.item_events = float(estimates.item_events)
            self.duty = min(1.0, max(MIN_DUTY, estimates.duty_percent / 100))

    def remaining_seconds(self, progress: ItemProgress) -> float:
        """Returns the estimated remaining run time of an item, in seconds."""
        events_left = max(0.0, self.item_events - progress.event_count)
        return events_left * self.event_seconds
