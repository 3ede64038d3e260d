"""The simulated platform: log service and machine list, with their faults."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.standalone.decisions.events import Machine
from troutswitch.standalone.simulation.clock import VirtualClock
from troutswitch.standalone.simulation.network import PLATFORM, Network
from troutswitch.standalone.standins.stores import LogStore, MachineListStore

TIMEOUT_SECONDS = 3.0
"""Timeout of a call at its caller."""
LIST_LAG_SECONDS = 4.0
MAX_LATE_EFFECT_SECONDS = 12.0
"""Maximum delay with which an append whose answer was lost may take effect."""


@dataclass
class LogFaults:
    """Faults of the log service in force.

    `down` and `slow` count overlapping faults. `lost_answers` and `late_effects` are shares of
    calls.
    """

    down: int = 0
    slow: int = 0
    lost_answers: float = 0.0
    late_effects: float = 0.0


class SimulatedPlatform:
    """Log service and machine list as daemons reach them."""

    def __init__(self, clock: VirtualClock, network: Network, rng: random.Random) -> None:
        self.log = LogStore()
        self.machines = MachineListStore(LIST_LAG_SECONDS)
        self.faults = LogFaults()
        self.appends = 0
        self._unhealthy_until = float("-inf")
        self._clock = clock
        self._network = network
        self._rng = rng

    def begin_fault(self, down: int = 0, slow: int = 0) -> None:
        """Starts an outage or a slowdown."""
        self.faults.down += down
        self.faults.slow += slow

    def end_fault(self, down: int = 0, slow: int = 0) -> None:
        """Ends an outage or a slowdown."""
        self.faults.down -= down
        self.faults.slow -= slow
        self._unhealthy_until = self._clock.now()

    def lose_answers(self, lost: float, late: float) -> None:
        """Sets the shares of answers that are lost and of appends that take effect late."""
        self.faults.lost_answers = lost
        self.faults.late_effects = late
        self._unhealthy_until = self._clock.now()

    def healthy_since(self) -> float:
        """Returns since when the log service has been healthy, or infinity if it is not."""
        faults = self.faults
        if faults.down or faults.slow or faults.lost_answers:
            return float("inf")
        return self._unhealthy_until

    def append(
        self, zone: str, stream: str, payload: bytes, answer: Callable[[int | None], None]
    ) -> None:
        """Appends; `answer` gets the offset, or None on a timeout."""
        if self._is_unreachable(zone):
            self._clock.call_later(TIMEOUT_SECONDS, lambda: answer(None))
            return
        self._clock.call_later(
            self._delay(zone), lambda: self._append_now(zone, stream, payload, answer)
        )

    def _append_now(
        self, zone: str, stream: str, payload: bytes, answer: Callable[[int | None], None]
    ) -> None:
        if self._is_unreachable(zone):
            self._clock.call_later(TIMEOUT_SECONDS, lambda: answer(None))
            return
        if self._rng.random() < self.faults.late_effects:
            late = self._rng.uniform(0.0, MAX_LATE_EFFECT_SECONDS)
            self._clock.call_later(late, lambda: self._store_late(stream, payload))
            self._clock.call_later(TIMEOUT_SECONDS, lambda: answer(None))
            return
        offset = self._store(stream, payload)
        is_lost = self._rng.random() < self.faults.lost_answers
        if is_lost or not self._network.is_connected(zone, PLATFORM):
            self._clock.call_later(TIMEOUT_SECONDS, lambda: answer(None))
            return
        self._clock.call_later(self._delay(zone), lambda: answer(offset))

    def _store_late(self, stream: str, payload: bytes) -> None:
        self._store(stream, payload)

    def _store(self, stream: str, payload: bytes) -> int:
        self.appends += 1
        return self.log.append(stream, payload)

    def read(
        self,
        zone: str,
        stream: str,
        offset: int,
        limit: int,
        answer: Callable[[tuple[int, list[bytes], int] | None], None],
    ) -> None:
        """Reads; `answer` gets None on a timeout."""
        if self._is_unreachable(zone) or self._rng.random() < self.faults.lost_answers:
            self._clock.call_later(TIMEOUT_SECONDS, lambda: answer(None))
            return

        def respond() -> None:
            result = self.log.read(stream, offset, limit)
            self._clock.call_later(self._delay(zone), lambda: answer(result))

        self._clock.call_later(self._delay(zone), respond)

    def read_machines(self, zone: str, answer: Callable[[list[Machine] | None], None]) -> None:
        """Reads the machine list; `answer` gets None on a timeout."""
        if self._is_unreachable(zone):
            self._clock.call_later(TIMEOUT_SECONDS, lambda: answer(None))
            return
        machines = self.machines.read(self._clock.now())
        self._clock.call_later(self._delay(zone), lambda: answer(machines))

    def _is_unreachable(self, zone: str) -> bool:
        return self.faults.down > 0 or not self._network.is_connected(zone, PLATFORM)

    def _delay(self, zone: str) -> float:
        delay = self._network.latency(zone, PLATFORM) + 0.001
        if self.faults.slow:
            delay += self._rng.uniform(0.1, 1.2)
        return delay
