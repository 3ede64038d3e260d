"""Pace of a stand-in engine: how long its work takes now, in percent of the usual time."""

import random

FAST_PERCENT = 60
SLOW_PERCENT = 120
"""Own speeds. Half of the engines of a fleet are twice as fast as the others."""
EPISODE_FACTOR = 2.5
EPISODE_SECONDS = (0.2, 1.5)
"""Length of an episode in which work takes `EPISODE_FACTOR` times as long, as the users' engines
show (docs/design/hard-load.md)."""
BETWEEN_EPISODES_SECONDS = (0.2, 3.0)
"""Time between two episodes; an engine is in one for about a third of the time."""


class Pace:
    """The pace of one engine over time; the seed determines its episodes.

    The caller holds a lock if several threads ask, as episodes are drawn when they are reached.
    """

    def __init__(self, own_percent: int, seed: int) -> None:
        self.own_percent = own_percent
        self._rng = random.Random(f"{seed}-pace")
        self._begin = self._rng.uniform(*BETWEEN_EPISODES_SECONDS)
        self._end = self._begin + self._rng.uniform(*EPISODE_SECONDS)

    def percent(self, seconds: float) -> int:
        """Returns the pace `seconds` after the engine's start; `seconds` must not decrease."""
        while seconds >= self._end:
            self._begin = self._end + self._rng.uniform(*BETWEEN_EPISODES_SECONDS)
            self._end = self._begin + self._rng.uniform(*EPISODE_SECONDS)
        is_slowed = seconds >= self._begin
        return round(self.own_percent * (EPISODE_FACTOR if is_slowed else 1.0))


def own_percent(number: int) -> int:
    """Returns the own speed of the engine with a number in its fleet."""
    return SLOW_PERCENT if number % 2 else FAST_PERCENT
