"""Virtual time: a SimPy environment with callbacks, and seeded randomness."""

import random
from collections.abc import Callable

import simpy

START_TIME_SECONDS = 1_000_000.0
"""Virtual time at which a simulation starts, in seconds."""


class VirtualClock:
    """Runs callbacks in virtual time; callbacks due at the same time run in scheduling order."""

    def __init__(self) -> None:
        self._environment = simpy.Environment(initial_time=START_TIME_SECONDS)

    def now(self) -> float:
        """Returns the virtual time in seconds."""
        return float(self._environment.now)

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Schedules a callback at a time, or immediately if that time has passed."""
        self.call_later(max(0.0, at - self.now()), callback)

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay in seconds."""
        timeout = simpy.Timeout(self._environment, delay)
        timeout.callbacks = [lambda event: callback()]

    def run_until(self, until: float) -> None:
        """Runs all callbacks due before a time."""
        self._environment.run(until=until)


def seeded_random(seed: int, name: str) -> random.Random:
    """Returns an independent random source for one component of the simulation."""
    return random.Random(f"{seed}/{name}")
