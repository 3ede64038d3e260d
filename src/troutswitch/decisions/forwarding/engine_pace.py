"""Tracks how long work takes at one engine now, compared with the usual time.

Engines that share their machines with others report this as a percentage with their load: 100
means as usual, 200 twice as long. It includes the engine's own speed. It changes many times a
second, so a reading describes the engine only for a short time, and the average after that.

Inputs: the percentages that the engine reported, here or to a peer, with the time of each.
"""

from dataclasses import dataclass

USUAL_PERCENT = 100
FRESH_SECONDS = 0.25
"""Age up to which the newest reading is used by itself. Slow episodes last some 0.2 to 1.5 s."""
AVERAGE_SECONDS = 2.0
"""Time over which readings are averaged: longer than an episode."""
MAX_PERCENT = 10_000
"""Maximum plausible pace in peers' messages, the same as for engines' answers."""
MAX_AGE_SECONDS = 30.0
"""Age of the newest reading after which the average is no longer used."""
OUTLIER = 5.0
"""Ratio to the median from which a pace is left out of the mean of a service. Observed paces are
from 0.46 to 2.5 times the median."""


def mean_factor(factors: list[float]) -> float:
    """Returns the mean of the factors of a service's engines without outliers; 1 without factors.

    An engine that claims to be slow gets no streams, so no run times contradict it. In the mean,
    its pace would make the true paces of the other engines look false.
    """
    if not factors:
        return 1.0
    median = sorted(factors)[len(factors) // 2]
    plausible = [f for f in factors if median <= f * OUTLIER and f <= median * OUTLIER]
    return sum(plausible) / len(plausible)


@dataclass(frozen=True, slots=True)
class PaceObservation:
    """A percentage that an engine reported to this daemon, and when."""

    percent: int
    read_at: float


@dataclass(slots=True)
class EnginePace:
    """Readings of one incarnation of an engine. Times are this process's clock, in seconds."""

    percent: int | None = None
    """The newest reading, or None before the first one."""
    read_at: float = float("-inf")
    average_percent: float = 0.0

    def on_reading(self, percent: int, read_at: float) -> None:
        """Records a percentage that the engine reported at `read_at`; older readings are ignored.

        Args:
            percent: time that work takes, in percent of the usual time; above 0.
            read_at: when the engine reported it.
        """
        if self.percent is None:
            self.average_percent = percent
        elif read_at < self.read_at:
            return
        else:
            weight = min(1.0, (read_at - self.read_at) / AVERAGE_SECONDS)
            self.average_percent += weight * (percent - self.average_percent)
        self.percent, self.read_at = percent, read_at

    def is_known(self, now: float) -> bool:
        """Returns whether there is a reading that is not too old."""
        return self.percent is not None and now - self.read_at <= MAX_AGE_SECONDS

    def is_fresh(self, now: float) -> bool:
        """Returns whether the newest reading is used by itself."""
        return now - self.read_at <= FRESH_SECONDS

    @property
    def average_factor(self) -> float:
        """How many times as long as usual work took on average; meaningless without a reading."""
        return self.average_percent / USUAL_PERCENT

    def time_factor(self, now: float) -> float:
        """Returns how many times as long as usual work takes; 1 if it is not known."""
        if self.percent is None or not self.is_known(now):
            return 1.0
        return self.percent / USUAL_PERCENT if self.is_fresh(now) else self.average_factor
