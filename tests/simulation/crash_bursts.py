"""A simulated fleet whose engines crash in bursts under sound items, and then are calm.

The items cause no crash. Engines are chosen at random, or are those that run a chosen item.
"""

from tests.simulation.crashing_fleet import CrashingFleet
from tests.simulation.fleet import Daemon
from troutswitch.decisions.jobs.messages import RunItem


class BurstFleet(CrashingFleet):
    """A fleet of engines that crash in bursts."""

    def __init__(self, seed: int, engines: int = 9) -> None:
        self.engine_of_item: dict[str, str] = {}
        """The engine of the last run of each item."""
        super().__init__(seed, engines=engines)

    def run_item(self, daemon: Daemon, run: RunItem) -> None:
        """Runs an item at an engine, and remembers the engine."""
        self.engine_of_item[run.item.item_id] = run.engine_id
        super().run_item(daemon, run)

    def alive_engines(self) -> list[str]:
        """Returns the engines that have not crashed."""
        return [i.engine_id for i in self.incarnations.values() if i.is_alive]

    def crash_share(self, share: float) -> None:
        """Crashes a share of the engines, from 0 to 1, that have not crashed."""
        alive = self.alive_engines()
        for engine_id in self.rng.sample(alive, round(share * len(alive))):
            self.crash(engine_id)

    def crash_engine_of(self, item_id: str) -> bool:
        """Crashes the engine of an item's last run; returns whether it had not crashed."""
        engine_id = self.engine_of_item.get(item_id, "")
        if engine_id not in self.alive_engines():
            return False
        self.crash(engine_id)
        return True
