"""Disturbs the datagrams between the daemons of a soak, in episodes drawn from the soak's seed."""

import random
import threading

from troutswitch.soak.datagram_links import DatagramFaults, DatagramLinks

EPISODE_SECONDS = (1.0, 4.0)
"""Length of an episode: up to some times the age at which knowledge of the store is out of date."""
PAUSE_SECONDS = (2.0, 4.0)
"""Time without faults of datagrams after an episode."""
MAX_LOSS_RATE = 0.5
MAX_DUPLICATE_RATE = 0.5
MAX_DELAY_SECONDS = 3.0


class DatagramDisturber:
    """A thread that begins and ends episodes."""

    def __init__(self, seed: int, links: DatagramLinks, daemons: list[str]) -> None:
        self.stop_requested = threading.Event()
        self._rng = random.Random(f"datagram-episodes-{seed}")
        self._links = links
        self._daemons = daemons
        self.threads = [threading.Thread(target=self._run, daemon=True)]

    def _run(self) -> None:
        while not self.stop_requested.wait(self._rng.uniform(*PAUSE_SECONDS)):
            begin = self._rng.choice((self._disturb_all, self._separate, self._cut_one_way))
            begin()
            self.stop_requested.wait(self._rng.uniform(*EPISODE_SECONDS))
            self._links.heal()

    def _disturb_all(self) -> None:
        self._links.faults = DatagramFaults(
            self._rng.uniform(0.0, MAX_LOSS_RATE),
            self._rng.uniform(0.0, MAX_DUPLICATE_RATE),
            self._rng.uniform(0.0, MAX_DELAY_SECONDS),
        )

    def _separate(self) -> None:
        self._links.separate(self._draw_side())

    def _cut_one_way(self) -> None:
        side = self._draw_side()
        others = [name for name in self._daemons if name not in side]
        self._links.cut_one_way(*self._rng.choice(((side, others), (others, side))))

    def _draw_side(self) -> list[str]:
        count = self._rng.randint(1, max(1, len(self._daemons) - 1))
        return self._rng.sample(self._daemons, count)
