"""Faults injected into a fleet simulation, alone or combined."""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from troutswitch.standalone.decisions.effects import CallAnswer, JobView
from troutswitch.standalone.simulation.network import PLATFORM, DatagramFaults

if TYPE_CHECKING:
    from troutswitch.standalone.simulation.daemon import SimulatedDaemon
    from troutswitch.standalone.simulation.fleet_simulation import FleetSimulation

REPLACEMENT_DELAY_SECONDS = (2.0, 10.0)
"""Time until a lost machine is replaced."""
LOSS_AFTER_ACKNOWLEDGEMENT_SHARE = 0.08
"""Share of acknowledged jobs after which the daemon's machine is lost immediately."""


class Faults:
    """Injects the named faults at random times until `ends_at`."""

    def __init__(
        self,
        simulation: "FleetSimulation",
        names: tuple[str, ...],
        rng: random.Random,
        ends_at: float,
    ) -> None:
        self._simulation = simulation
        self._names = names
        self._rng = rng
        self._ends_at = ends_at
        for name in names:
            start, mean = FAULTS[name]
            self._schedule(name, start, mean)

    def _schedule(self, name: str, start: Callable[["Faults"], None], mean: float) -> None:
        def inject() -> None:
            if self._simulation.clock.now() < self._ends_at:
                self._simulation.observer.faults[name] += 1
                start(self)
                self._schedule(name, start, mean)

        self._simulation.clock.call_later(self._rng.expovariate(1.0 / mean), inject)

    def _call_later(self, low: float, high: float, action: Callable[[], None]) -> None:
        self._simulation.clock.call_later(self._rng.uniform(low, high), action)

    def _random_live_daemon(self) -> "SimulatedDaemon | None":
        live = [daemon for daemon in self._simulation.daemons.values() if daemon.is_alive]
        return self._rng.choice(live) if len(live) > 1 else None

    # Engines.

    def engine_death(self) -> None:
        """Kills an engine with work in flight; it restarts as a new incarnation."""
        alive = [engine for engine in self._simulation.engines.values() if engine.is_alive]
        if len(alive) < 2:
            return
        engine = self._rng.choice(alive)
        engine.fail()

        def restart() -> None:
            engine.restart()
            self._simulation.platform.machines.put(self._simulation.clock.now(), engine.machine())

        self._call_later(3.0, 25.0, restart)

    def engine_leaving(self) -> None:
        """Makes an engine leave; the machine list lags. The engine restarts later."""
        staying = [e for e in self._simulation.engines.values() if e.is_alive and not e.is_leaving]
        if len(staying) < 3:
            return
        engine = self._rng.choice(staying)
        engine.start_leaving()
        self._simulation.platform.machines.mark_leaving(self._simulation.clock.now(), engine.name)

        def restart() -> None:
            engine.restart()
            self._simulation.platform.machines.put(self._simulation.clock.now(), engine.machine())

        self._call_later(15.0, 40.0, restart)

    def stream_cut(self) -> None:
        """Breaks connections to an engine, which keeps running."""
        engine = self._rng.choice(list(self._simulation.engines.values()))
        if engine.is_alive:
            engine.cut_streams(0.5)

    # Daemons.

    def machine_loss(self) -> None:
        """Loses a daemon's machine and replaces it."""
        daemon = self._random_live_daemon()
        if daemon is not None:
            self.lose(daemon)

    def lose(self, daemon: "SimulatedDaemon") -> None:
        """Loses one machine and replaces it under the same or another name."""
        daemon.kill()
        keeps_name = self._rng.random() < 0.5
        self._call_later(
            *REPLACEMENT_DELAY_SECONDS, lambda: self._simulation.replace_daemon(daemon, keeps_name)
        )

    def on_answered(self, daemon: "SimulatedDaemon", answer: CallAnswer) -> None:
        """Loses some machines immediately after they have acknowledged a job."""
        if "machine_loss" not in self._names or not isinstance(answer, JobView):
            return
        if self._simulation.clock.now() >= self._ends_at:
            return
        alive = sum(1 for d in self._simulation.daemons.values() if d.is_alive)
        if alive > 2 and self._rng.random() < LOSS_AFTER_ACKNOWLEDGEMENT_SHARE:
            self._simulation.observer.faults["loss_after_acknowledgement"] += 1
            self._simulation.clock.call_later(0.0, lambda: self.lose(daemon))

    def pause(self) -> None:
        """Pauses a machine, possibly for longer than a lease."""
        daemon = self._random_live_daemon()
        if daemon is not None and not daemon.is_paused:
            daemon.pause()
            self._call_later(1.0, 25.0, daemon.resume)

    def planned_stop(self) -> None:
        """Drains a daemon and replaces it."""
        daemon = self._random_live_daemon()
        if daemon is None or daemon.core.is_draining:
            return
        daemon.drain()
        self._simulation.observer.faults["planned_stop_begun"] += 1
        self._call_later(30.0, 60.0, lambda: self._simulation.replace_daemon(daemon, True))

    def all_replaced(self) -> None:
        """Loses every daemon at the same time and replaces them."""
        for daemon in [d for d in self._simulation.daemons.values() if d.is_alive]:
            self.lose(daemon)

    # Platform and network.

    def log_down(self) -> None:
        """Makes the log service unreachable."""
        platform = self._simulation.platform
        platform.begin_fault(down=1)
        self._call_later(5.0, 90.0, lambda: platform.end_fault(down=1))

    def log_slow(self) -> None:
        """Delays answers of the log service."""
        platform = self._simulation.platform
        platform.begin_fault(slow=1)
        self._call_later(10.0, 60.0, lambda: platform.end_fault(slow=1))

    def answer_lost(self) -> None:
        """Loses answers of the log service; the appends take effect, some late."""
        platform = self._simulation.platform
        platform.lose_answers(0.3, 0.15)
        self._call_later(5.0, 30.0, lambda: platform.lose_answers(0.0, 0.0))

    def zone_cut(self) -> None:
        """Partitions a zone from the platform, from the other zones, or from both."""
        simulation = self._simulation
        zone = self._rng.choice(simulation.scenario.zones)
        others = [other for other in simulation.scenario.zones if other != zone]
        places = self._rng.choice(([PLATFORM], others, [PLATFORM, *others]))
        for place in places:
            simulation.network.cut(zone, place)
            if place != PLATFORM:
                self._cut_streams_between(zone, place)

        def heal() -> None:
            for place in places:
                simulation.network.heal(zone, place)

        self._call_later(3.0, 60.0, heal)

    def _cut_streams_between(self, first: str, second: str) -> None:
        for engine in self._simulation.engines.values():
            if engine.zone == first:
                engine.cut_zone(second)
            elif engine.zone == second:
                engine.cut_zone(first)

    def datagrams(self) -> None:
        """Loses, duplicates, delays and reorders datagrams."""
        network = self._simulation.network
        network.datagram_faults = DatagramFaults(0.1, 0.1, 0.1, 2.0)

        def heal() -> None:
            network.datagram_faults = DatagramFaults()

        self._call_later(10.0, 40.0, heal)

    def operator_race(self) -> None:
        """Makes several operators publish concurrently."""
        self._simulation.operators.race(self._rng.randint(2, 4))


FAULTS: dict[str, tuple[Callable[[Faults], None], float]] = {
    "engine_death": (Faults.engine_death, 45.0),
    "engine_leaving": (Faults.engine_leaving, 50.0),
    "stream_cut": (Faults.stream_cut, 30.0),
    "machine_loss": (Faults.machine_loss, 60.0),
    "pause": (Faults.pause, 45.0),
    "planned_stop": (Faults.planned_stop, 80.0),
    "all_replaced": (Faults.all_replaced, 400.0),
    "log_down": (Faults.log_down, 180.0),
    "log_slow": (Faults.log_slow, 120.0),
    "answer_lost": (Faults.answer_lost, 60.0),
    "zone_cut": (Faults.zone_cut, 70.0),
    "datagrams": (Faults.datagrams, 90.0),
    "operator_race": (Faults.operator_race, 25.0),
    "client_resend": (lambda faults: None, 30.0),
}
"""Each fault with the mean time between its injections, in seconds."""
