"""Learns from this daemon's own completed streams how long work takes at one engine.

Inputs: the slot time of each completed stream, divided by the mean slot time of its service
(`RunTimes`), and the factor that the engine's reported pace predicted for it.

Rule: the mean ratio of an engine is used if the engine reports no pace, and if its reported pace is
contradicted: over at least `MIN_RUNS` streams, the ratios are more than `CONTRADICTION` times what
the pace predicted, or less than the inverse. One stream proves nothing, because streams of one
service differ in length.
"""

from dataclasses import dataclass

MIN_RUNS = 5
"""Streams after which the ratios are used."""
CONTRADICTION = 3.0
"""Factor between run times and the reported pace from which the pace counts as false. It is above
2.5, the ratio of an engine's pace in a slow episode and its usual pace: streams that began before
an episode contradict the pace by up to this much."""
MAX_DEVIATION = 5.0
"""Factor to which one stream's deviation from the prediction is limited when it is averaged. A
stream of usually 0.3 s that stalls for 5 s deviates by 17: without the limit, one of them among
five streams would contradict the pace. With it, this takes three of five."""
MEMORY_RUNS = 20
"""Streams over which the ratios are averaged, so that an engine whose pace is true again is trusted
again after some tens of streams."""
MAX_IDLE_SECONDS = 30.0
"""Time without a stream after which the ratios are forgotten. An engine that seems slow gets no
streams, so nothing else would show that it is as fast as others again."""
MIN_RATIO = 0.01
MAX_RATIO = 100.0
"""Bounds of a ratio; the largest pace that is plausible, 10,000 percent, is 100 times as usual."""


@dataclass(slots=True)
class LearnedFactor:
    """Mean ratios of the streams of one incarnation of an engine; relative to its service."""

    runs: int = 0
    ratio: float = 1.0
    """Mean slot time of its streams, in relation to the mean of its service."""
    predicted_runs: int = 0
    """Streams for which the engine had reported a pace."""
    predicted_ratio: float = 1.0
    """Mean ratio that the reported paces predicted for these streams."""
    observed_ratio: float = 1.0
    """Mean ratio that was observed for these streams, each limited by `MAX_DEVIATION`."""
    learned_at: float = float("-inf")

    def on_run(self, now: float, ratio: float, predicted: float | None) -> None:
        """Records a completed stream.

        Args:
            now: when the stream ended, in seconds of this process's clock.
            ratio: its slot time, in relation to the mean of its service.
            predicted: the ratio according to the engine's reported pace; None if it reported none.
        """
        ratio = min(MAX_RATIO, max(MIN_RATIO, ratio))
        self.learned_at = now
        self.runs += 1
        self.ratio += (ratio - self.ratio) / min(self.runs, MEMORY_RUNS)
        if predicted is None:
            return
        self.predicted_runs += 1
        weight = 1 / min(self.predicted_runs, MEMORY_RUNS)
        self.predicted_ratio += weight * (predicted - self.predicted_ratio)
        limited = min(predicted * MAX_DEVIATION, max(predicted / MAX_DEVIATION, ratio))
        self.observed_ratio += weight * (limited - self.observed_ratio)

    def forget_if_idle(self, now: float) -> None:
        """Drops the ratios if no stream ended for `MAX_IDLE_SECONDS`; called each sample."""
        if self.runs and now - self.learned_at > MAX_IDLE_SECONDS:
            self.runs = self.predicted_runs = 0

    @property
    def is_known(self) -> bool:
        """Whether enough streams were recorded."""
        return self.runs >= MIN_RUNS

    @property
    def contradicts_reports(self) -> bool:
        """Whether the engine's reported paces are contradicted by its streams."""
        if self.predicted_runs < MIN_RUNS:
            return False
        slower = self.observed_ratio > CONTRADICTION * self.predicted_ratio
        return slower or self.observed_ratio * CONTRADICTION < self.predicted_ratio
