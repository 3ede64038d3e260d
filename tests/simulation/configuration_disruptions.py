"""Random disruptions of daemons and store during configuration changes, on a virtual clock.

Runs a `SimulatedFleet` and checks the users' bounds after every step. `APPLY_SECONDS` after a
version was confirmed, it must be in force at each daemon that has been undisturbed for
`CONTACT_SECONDS`. A daemon that is partitioned from the store alone, or was so less than
`CONTACT_SECONDS` ago, has `STORE_PARTITION_SECONDS` more. No process may return to an earlier
version. A daemon without any configuration refuses all requests, so it violates no bound.
"""

import random
from collections.abc import Callable

from tests.simulation.fleet import Daemon, SimulatedFleet

APPLY_SECONDS = 2.0
CONTACT_SECONDS = 3.0
STORE_PARTITION_SECONDS = 5.0
STEP_SECONDS = 0.05
WARM_UP_SECONDS = 12.0
"""Time from the start of the daemons to the first disruption, as long as to the first traffic."""
OUTAGE_SECONDS = (0.3, 9.0)
ZONES = ("a", "b", "c")
DAEMONS = 9


class DisruptedFleet:
    """A fleet under random disruptions; `violations` describes every violation of a bound."""

    def __init__(self, seed: int) -> None:
        self.violations: list[str] = []
        self._rng = random.Random(seed)
        self._fleet = SimulatedFleet(seed, daemons=DAEMONS, zones=ZONES)
        self._confirmed = [(0.0, 1)]
        self._disturbed_at: dict[str, float] = dict.fromkeys(self._fleet.daemons, 0.0)
        self._store_disturbed_at = 0.0
        self._partitioned_at = dict.fromkeys(self._fleet.daemons, float("-inf"))
        self._versions: dict[tuple[str, int], int] = {}
        self._scheduled_ends: list[tuple[float, Callable[[], None]]] = []

    def run(self, seconds: float) -> list[str]:
        """Runs some seconds after a start without disruptions; returns the violations."""
        self._fleet.run(WARM_UP_SECONDS)
        while self._fleet.now < WARM_UP_SECONDS + seconds:
            if self._rng.random() < STEP_SECONDS / 2.0:
                self._start_disruption()
            if self._rng.random() < STEP_SECONDS:
                self._publish_next_version()
            self._fleet.run(STEP_SECONDS)
            self._end_due_disruptions()
            for daemon in self._fleet.daemons.values():
                self._check(daemon)
        return self.violations

    # Disruptions and configuration changes.

    def _start_disruption(self) -> None:
        disruption = self._rng.choice(
            [
                self._silence,
                self._stop_store,
                self._partition_daemons,
                self._partition_zone,
                self._kill,
            ]
        )
        disruption(self._rng.uniform(*OUTAGE_SECONDS))

    def _end_after(self, seconds: float, end: Callable[[], None]) -> None:
        self._scheduled_ends.append((self._fleet.now + seconds, end))

    def _end_due_disruptions(self) -> None:
        now = self._fleet.now
        due = [end for at, end in self._scheduled_ends if at <= now]
        self._scheduled_ends = [(at, end) for at, end in self._scheduled_ends if at > now]
        for end in due:
            end()
        if self._fleet.faults.is_silent or self._fleet.faults.is_down:
            self._store_disturbed_at = now

    def _silence(self, seconds: float) -> None:
        self._fleet.faults.is_silent = True
        self._end_after(seconds, lambda: setattr(self._fleet.faults, "is_silent", False))

    def _stop_store(self, seconds: float) -> None:
        self._fleet.faults.is_down = True
        self._end_after(seconds, lambda: setattr(self._fleet.faults, "is_down", False))

    def _partition_daemons(self, seconds: float) -> None:
        self._partition(self._rng.sample(sorted(self._fleet.daemons), 4), seconds)

    def _partition_zone(self, seconds: float) -> None:
        zone = self._rng.choice(ZONES)
        daemons = self._fleet.daemons.values()
        self._partition([d.name for d in daemons if d.core.identity.zone == zone], seconds)

    def _partition(self, names: list[str], seconds: float) -> None:
        self._set_partitioned(names, True)
        self._end_after(seconds, lambda: self._set_partitioned(names, False))

    def _set_partitioned(self, names: list[str], is_partitioned: bool) -> None:
        for name in names:
            self._fleet.daemons[name].is_partitioned_from_store = is_partitioned

    def _kill(self, seconds: float) -> None:
        down = min(seconds, 2.0)
        for name in self._rng.sample(sorted(self._fleet.daemons), self._rng.randint(1, DAEMONS)):
            if self._fleet.daemons[name].is_alive:
                self._fleet.kill(name, down)
                self._disturbed_at[name] = self._fleet.now + down

    def _publish_next_version(self) -> None:
        faults = self._fleet.faults
        if not faults.is_silent and not faults.is_down:
            version = self._confirmed[-1][1] + self._rng.randint(1, 5)
            self._fleet.publish(version)
            self._confirmed.append((self._fleet.now, version))

    # Checks.

    def _newest_confirmed_by(self, time: float) -> int:
        return max((version for at, version in self._confirmed if at <= time), default=0)

    def _check(self, daemon: Daemon) -> None:
        if not daemon.is_alive:
            return
        version, now = daemon.core.routes.version, self._fleet.now
        incarnation = (daemon.name, daemon.incarnation)
        if version < self._versions.get(incarnation, -1):
            self.violations.append(f"{now:.2f}: {daemon.name} returned to {version}")
        self._versions[incarnation] = version
        disturbed_at = max(self._disturbed_at[daemon.name], self._store_disturbed_at)
        if daemon.is_partitioned_from_store:
            self._partitioned_at[daemon.name] = now
        if now - disturbed_at < CONTACT_SECONDS:
            return
        was_partitioned = now - self._partitioned_at[daemon.name] < CONTACT_SECONDS
        bound = APPLY_SECONDS + (STORE_PARTITION_SECONDS if was_partitioned else 0.0)
        expected = self._newest_confirmed_by(now - bound)
        if -1 < version < expected:
            self.violations.append(f"{now:.2f}: {daemon.name} has {version}, not {expected}")
