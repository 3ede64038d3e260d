"""Follows the machine list, which names the peers to contact and the engines."""

from troutswitch.common import Address
from troutswitch.standalone.constants import MACHINE_LIST_SECONDS
from troutswitch.standalone.decisions.configuration.follower import ConfigurationFollower
from troutswitch.standalone.decisions.effects import Effect, ReadMachineList
from troutswitch.standalone.decisions.engines import EngineRegistry
from troutswitch.standalone.decisions.events import Machine, MachineListRead
from troutswitch.standalone.decisions.membership import Membership

DAEMON_KIND = "daemon"
ENGINE_KIND = "engine"


class MachineListFollower:
    """Reads the machine list periodically; the list lags and may be unavailable."""

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationFollower,
        engines: EngineRegistry,
        seeds: list[Address],
    ) -> None:
        self.has_read_list = False
        self._membership = membership
        self._configuration = configuration
        self._engines = engines
        self._seeds = seeds
        self._known_seeds = list(seeds)
        self._next_read_at = float("-inf")
        self._is_reading = False

    def next_due(self) -> float:
        """Returns the time of the next read."""
        return float("inf") if self._is_reading else self._next_read_at

    def on_timer(self, now: float) -> list[Effect]:
        """Reads the list if a read is due."""
        if self._is_reading or now < self._next_read_at:
            return []
        self._is_reading = True
        return [ReadMachineList()]

    def on_read(self, now: float, event: MachineListRead) -> list[Effect]:
        """Applies the list, or keeps the previous one if the read failed."""
        self._is_reading = False
        self._next_read_at = now + MACHINE_LIST_SECONDS
        if event.machines is None:
            self._membership.set_seeds(self._known_seeds)
            return []
        self.has_read_list = True
        daemons = [machine for machine in event.machines if machine.kind == DAEMON_KIND]
        engines = [machine for machine in event.machines if machine.kind == ENGINE_KIND]
        self._update_seeds(daemons)
        return self._engines.on_machine_list(now, engines)

    def _update_seeds(self, daemons: list[Machine]) -> None:
        others = [machine for machine in daemons if machine.name != self._membership.name]
        self._configuration.expect_peers(len(others))
        addresses = [machine.address for machine in others]
        self._known_seeds = sorted({*addresses, *self._seeds}, key=str)
        self._membership.set_seeds(self._known_seeds)
