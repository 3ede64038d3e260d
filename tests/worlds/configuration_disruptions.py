"""Random disruptions of daemons and store beside changes of the configuration, on a virtual clock.

It plays a `GatewayWorld`, and checks the users' bounds at every step: `APPLY_SECONDS` after a
version's confirmation it is in force at each daemon that was undisturbed for `CONTACT_SECONDS`;
at one that only the store turns away, or turned away less than `CONTACT_SECONDS` ago,
`TURNED_AWAY_SECONDS` later; and no process goes back. A daemon without any configuration refuses
all requests, so it breaks no bound.
"""

import random
from collections.abc import Callable

from tests.worlds.gateway_world import Daemon, GatewayWorld

APPLY_SECONDS = 2.0
CONTACT_SECONDS = 3.0
TURNED_AWAY_SECONDS = 5.0
STEP_SECONDS = 0.05
LEAD_SECONDS = 12.0
"""Time from the daemons' start to the first disruption: that to the first traffic."""
OUTAGE_SECONDS = (0.3, 9.0)
ZONES = ("a", "b", "c")
DAEMONS = 9


class DisruptedWorld:
    """One play; `violations` has what broke a bound."""

    def __init__(self, seed: int) -> None:
        self.violations: list[str] = []
        self._rng = random.Random(seed)
        self._world = GatewayWorld(seed, daemons=DAEMONS, zones=ZONES)
        self._confirmed = [(0.0, 1)]
        self._disturbed_at: dict[str, float] = dict.fromkeys(self._world.daemons, 0.0)
        self._store_disturbed_at = 0.0
        self._turned_away_at = dict.fromkeys(self._world.daemons, float("-inf"))
        self._held: dict[tuple[str, int], int] = {}
        self._ends: list[tuple[float, Callable[[], None]]] = []

    def play(self, seconds: float) -> list[str]:
        """Plays some seconds after a calm start; returns what broke a bound."""
        self._world.run(LEAD_SECONDS)
        while self._world.now < LEAD_SECONDS + seconds:
            if self._rng.random() < STEP_SECONDS / 2.0:
                self._strike()
            if self._rng.random() < STEP_SECONDS:
                self._change()
            self._world.run(STEP_SECONDS)
            self._end_what_is_over()
            for daemon in self._world.daemons.values():
                self._check(daemon)
        return self.violations

    # What happens.

    def _strike(self) -> None:
        strike = self._rng.choice(
            [self._silence, self._stop_store, self._turn_away, self._turn_zone_away, self._kill]
        )
        strike(self._rng.uniform(*OUTAGE_SECONDS))

    def _end_in(self, seconds: float, end: Callable[[], None]) -> None:
        self._ends.append((self._world.now + seconds, end))

    def _end_what_is_over(self) -> None:
        now = self._world.now
        over = [end for at, end in self._ends if at <= now]
        self._ends = [(at, end) for at, end in self._ends if at > now]
        for end in over:
            end()
        if self._world.faults.is_silent or self._world.faults.is_down:
            self._store_disturbed_at = now

    def _silence(self, seconds: float) -> None:
        self._world.faults.is_silent = True
        self._end_in(seconds, lambda: setattr(self._world.faults, "is_silent", False))

    def _stop_store(self, seconds: float) -> None:
        self._world.faults.is_down = True
        self._end_in(seconds, lambda: setattr(self._world.faults, "is_down", False))

    def _turn_away(self, seconds: float) -> None:
        self._turn_all_away(self._rng.sample(sorted(self._world.daemons), 4), seconds)

    def _turn_zone_away(self, seconds: float) -> None:
        zone = self._rng.choice(ZONES)
        daemons = self._world.daemons.values()
        self._turn_all_away([d.name for d in daemons if d.core.identity.zone == zone], seconds)

    def _turn_all_away(self, names: list[str], seconds: float) -> None:
        self._set_cut(names, True)
        self._end_in(seconds, lambda: self._set_cut(names, False))

    def _set_cut(self, names: list[str], is_cut: bool) -> None:
        for name in names:
            self._world.daemons[name].is_cut_from_store = is_cut

    def _kill(self, seconds: float) -> None:
        down = min(seconds, 2.0)
        for name in self._rng.sample(sorted(self._world.daemons), self._rng.randint(1, DAEMONS)):
            if self._world.daemons[name].is_alive:
                self._world.kill(name, down)
                self._disturbed_at[name] = self._world.now + down

    def _change(self) -> None:
        faults = self._world.faults
        if not faults.is_silent and not faults.is_down:
            version = self._confirmed[-1][1] + self._rng.randint(1, 5)
            self._world.publish(version)
            self._confirmed.append((self._world.now, version))

    # What must hold.

    def _newest_confirmed_by(self, time: float) -> int:
        return max((version for at, version in self._confirmed if at <= time), default=0)

    def _check(self, daemon: Daemon) -> None:
        if not daemon.is_alive:
            return
        version, now = daemon.core.routes.version, self._world.now
        life = (daemon.name, daemon.incarnation)
        if version < self._held.get(life, -1):
            self.violations.append(f"{now:.2f}: {daemon.name} went back to {version}")
        self._held[life] = version
        disturbed_at = max(self._disturbed_at[daemon.name], self._store_disturbed_at)
        if daemon.is_cut_from_store:
            self._turned_away_at[daemon.name] = now
        if now - disturbed_at < CONTACT_SECONDS:
            return
        is_turned_away = now - self._turned_away_at[daemon.name] < CONTACT_SECONDS
        allowed = APPLY_SECONDS + (TURNED_AWAY_SECONDS if is_turned_away else 0.0)
        wanted = self._newest_confirmed_by(now - allowed)
        if -1 < version < wanted:
            self.violations.append(f"{now:.2f}: {daemon.name} has {version}, not {wanted}")
