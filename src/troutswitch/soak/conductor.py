"""Carries the schedule out: strikes what is due, ends faults, and starts again what has ended."""

import heapq
import itertools
import signal
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from troutswitch.soak.crashing_requests import EndingCaller, ending_path
from troutswitch.soak.evidence import StruckSpan
from troutswitch.soak.fleet import Daemon, Engine, Fleet
from troutswitch.soak.processes import Child, ProcessEnd
from troutswitch.soak.proxy import Link
from troutswitch.soak.schedule import Action, LinkFault, Schedule, Strike
from troutswitch.standins.model_engine import Behaviour

TICK_SECONDS = 0.02
"""Interval of the conductor's rounds: short beside the shortest fault."""
RESTART_SECONDS = (0.1, 0.6, 1.5)
"""Rests before an ended process starts again, taken in turn; the platform restarts at once."""
STOP_SECONDS = 10.0
"""A process that was asked to stop is killed after its grace period of 8 s and 2 s more."""
RECOVER_SECONDS = 1.0
"""A strike's span is counted a little longer, for what it leaves in flight."""
CLOCK_SECONDS = 2.0
"""Jump of a daemon's time of day, forward or back: the platform's usual one."""
SEEN_SECONDS = 0.5
"""Time that may pass from a process's end until it is seen, on a full machine."""
START_SECONDS = 5.0
"""After a kill, the span lasts until the next life has surely begun to serve."""
ACTS_LATE_SECONDS = 2.0
"""Delay after which a store carries out a call whose answer it has lost."""
FLOOD_CONNECTIONS = 300
"""Connections of a flood, above a daemon's threads and below its descriptors."""
SLOW_STORE_SECONDS = 0.3
"""Delay of each call to a slow store, some fifty times its usual time."""

BEHAVIOURS = {
    Action.ENGINE_REJECTS: "reject",
    Action.ENGINE_FAILS: "fail",
    Action.ENGINE_BREAKS_OFF: "break_off",
    Action.ENGINE_GARBAGE: "garbage",
    Action.ENGINE_SILENT: "silent",
    Action.ENGINE_SURPLUS: "surplus",
}


@dataclass(order=True, slots=True)
class _Due:
    at: float
    order: int
    act: Callable[[], None] = field(compare=False)


class Conductor:
    """One thread's work: everything here happens in `run`, in the order of the schedule."""

    def __init__(self, fleet: Fleet, schedule: Schedule) -> None:
        self.fleet = fleet
        self._order = itertools.count()
        self._due: list[_Due] = []
        self._ended_at: dict[str, float] = {}
        self._stops: dict[str, float] = {}
        self._rests = itertools.cycle(RESTART_SECONDS)
        self._store_faults: dict[str, object] = {}
        begin = time.monotonic()
        self.ends_at = begin + schedule.seconds
        for strike in schedule.strikes:
            self._at(begin + strike.at, lambda strike=strike: self._strike(strike))  # type: ignore[misc]

    def run(self, until: float, is_stopped: Callable[[], bool]) -> None:
        """Carries out what is due until a time."""
        while time.monotonic() < until and not is_stopped():
            self.tick()
            time.sleep(TICK_SECONDS)

    def tick(self) -> None:
        """Does what is due now, and looks after all processes."""
        now = time.monotonic()
        while self._due and self._due[0].at <= now:
            heapq.heappop(self._due).act()
        for child in self.fleet.group.children:
            self._look_after(child, now)

    def heal(self) -> None:
        """Ends all faults at once; what was due is forgotten."""
        self._due.clear()
        for link in self.fleet.links:
            link.strike(None)
        for child in self.fleet.group.children:
            child.signal(signal.SIGCONT)
        for daemon in self.fleet.daemons:
            self._set_clock(daemon, 0.0)
        self._store_faults.clear()
        self.fleet.set_store_faults()
        for engine in self.fleet.engines:
            engine.behave(Behaviour())

    def stop_daemon(self, daemon: Daemon) -> None:
        """Asks a daemon to stop as planned."""
        daemon.child.signal(signal.SIGTERM)
        self._stops.setdefault(daemon.child.name, time.monotonic())

    # Processes.

    def _look_after(self, child: Child, now: float) -> None:
        end = child.take_end()
        if end is not None:
            self.fleet.evidence.ends.append(end)
            if end.ended_under_request:
                self._note_crash(end)
            self._stops.pop(child.name, None)
            self._ended_at[child.name] = now + next(self._rests)
        if child.process is None and now >= self._ended_at.get(child.name, now):
            self._start_again(child)
        if now > self._stops.get(child.name, now) + STOP_SECONDS:
            child.signal(signal.SIGKILL)

    def _note_crash(self, end: ProcessEnd) -> None:
        """Notes the time around an engine's end under a request, in which answers break off."""
        strike = Strike(0.0, Action.ENDING_REQUEST, 0, 0.0, 1.0, LinkFault.DELAY, False)
        begin = end.at - SEEN_SECONDS
        span = StruckSpan(strike, end.name, begin, end.at + START_SECONDS)
        self.fleet.evidence.strikes.append(span)

    def _start_again(self, child: Child) -> None:
        for engine in self.fleet.engines:
            if engine.child is child:
                self.fleet.unlist_soon(engine.engine_id)
                self.fleet.start_engine(engine)
                return
        child.start()

    # Strikes.

    def _at(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._due, _Due(at, next(self._order), act))

    def _strike(self, strike: Strike) -> None:
        begin = time.monotonic()
        seconds, target = self._act(strike, begin + strike.seconds)
        span = StruckSpan(strike, target, begin, begin + seconds + RECOVER_SECONDS)
        self.fleet.evidence.strikes.append(span)

    def _act(self, strike: Strike, until: float) -> tuple[float, str]:
        fleet = self.fleet
        daemon = fleet.daemons[strike.target % len(fleet.daemons)]
        engine = fleet.engines[strike.target % len(fleet.engines)]
        match strike.action:
            case Action.STOP_DAEMON:
                self.stop_daemon(daemon)
                return strike.seconds, daemon.child.name
            case Action.RELOAD_DAEMON:
                if daemon.child.handles(signal.SIGHUP):  # not while the interpreter starts
                    daemon.child.signal(signal.SIGHUP)
                return strike.seconds, daemon.child.name
            case Action.KILL_DAEMON:
                daemon.child.signal(signal.SIGKILL)
                return START_SECONDS, daemon.child.name
            case Action.KILL_ALL_DAEMONS:
                for each in fleet.daemons:
                    each.child.signal(signal.SIGKILL)
                return START_SECONDS, "all daemons"
            case Action.PAUSE_DAEMON:
                self._pause([daemon.child], until)
                return strike.seconds, daemon.child.name
            case Action.PAUSE_ALL_DAEMONS:
                self._pause([each.child for each in fleet.daemons], until)
                return strike.seconds, "all daemons"
            case Action.CALLERS_FLOOD:
                self._flood(daemon, until)
                return strike.seconds, daemon.child.name
            case Action.CLOCK_JUMPS:
                self._set_clock(daemon, CLOCK_SECONDS if strike.target % 2 else -CLOCK_SECONDS)
                self._at(until, lambda: self._set_clock(daemon, 0.0))
                return strike.seconds, daemon.child.name
            case Action.STORE_REFUSES_ONE:
                daemon.store_link.strike(LinkFault.BUSY)
                self._at(until, lambda: daemon.store_link.strike(None))
                return strike.seconds, f"{daemon.child.name} to the store"
            case Action.ENDING_REQUEST:
                EndingCaller(strike.target, fleet.fronts(), fleet.evidence).start(until)
                return strike.seconds, ending_path(strike.target)
            case Action.CONFIGURE:
                fleet.configure_soon()
                return strike.seconds, "configuration"
            case Action.FRONT_LINK:
                self._strike_link(daemon.front_link, strike, until)
                return strike.seconds, f"callers to {daemon.child.name}"
            case Action.STORE_LINK:
                self._strike_link(daemon.store_link, strike, until)
                return strike.seconds, f"{daemon.child.name} to the store"
            case Action.ENGINE_LINK:
                self._strike_link(engine.link, strike, until)
                return strike.seconds, f"daemons to {engine.child.name}"
            case _:
                return self._act_on_platform(strike, engine, until)

    def _act_on_platform(self, strike: Strike, engine: Engine, until: float) -> tuple[float, str]:
        fleet = self.fleet
        match strike.action:
            case Action.KILL_ENGINE:
                engine.child.signal(signal.SIGKILL)
                return START_SECONDS, engine.engine_id
            case Action.PAUSE_ENGINE:
                self._pause([engine.child], until)
            case Action.ENGINE_DRAINS:
                fleet.drain_engine(engine)
            case Action.ENGINE_VANISHES:
                fleet.vanish_engine(engine)
            case Action.STORE_DOWN:
                self._strike_store(until, is_down=True)
                return strike.seconds, "store"
            case Action.STORE_SLOW:
                self._strike_store(until, slow_seconds=SLOW_STORE_SECONDS)
                return strike.seconds, "store"
            case Action.STORE_LOSES_ANSWERS:
                self._strike_store(until, loses_answers=True)
                return strike.seconds, "store"
            case Action.STORE_ACTS_LATE:
                self._strike_store(until, acts_late_seconds=ACTS_LATE_SECONDS)
                return strike.seconds + ACTS_LATE_SECONDS, "store"
            case Action.STORE_FORGETS:
                fleet.set_store_faults(**self._store_faults, drops_history=True)
                return 0.0, "store"
            case Action.STORE_PAUSED:
                self._pause([fleet.store], until)
                return strike.seconds, "store"
            case Action.STORE_DEALS_ANEW:
                fleet.set_store_faults(**self._store_faults, deals_anew=True)
                return 0.0, "store"
            case _:
                behaviour = Behaviour()
                setattr(behaviour, BEHAVIOURS[strike.action], strike.share)
                engine.behave(behaviour)
                self._at(until, lambda: engine.behave(Behaviour()))
        return strike.seconds, engine.engine_id

    def _pause(self, children: list[Child], until: float) -> None:
        for child in children:
            child.signal(signal.SIGSTOP)
            self._at(until, lambda child=child: child.signal(signal.SIGCONT))  # type: ignore[misc]

    def _flood(self, daemon: Daemon, until: float) -> None:
        held = [connection for _ in range(FLOOD_CONNECTIONS) if (connection := _open(daemon))]
        self._at(until, lambda: _close(held))

    @staticmethod
    def _set_clock(daemon: Daemon, ahead: float) -> None:
        """Sets a daemon's time of day off, if it has begun to follow it."""
        daemon.clock.write_text(str(ahead))
        if daemon.child.handles(signal.SIGUSR1):
            daemon.child.signal(signal.SIGUSR1)

    def _strike_link(self, link: Link, strike: Strike, until: float) -> None:
        link.strike(strike.link_fault)
        self._at(until, lambda: link.strike(None))

    def _strike_store(self, until: float, **faults: object) -> None:
        self._store_faults.update(faults)
        self.fleet.set_store_faults(**self._store_faults)
        self._at(until, lambda: self._heal_store(*faults))

    def _heal_store(self, *names: str) -> None:
        for name in names:
            self._store_faults.pop(name, None)
        self.fleet.set_store_faults(**self._store_faults)


def _open(daemon: Daemon) -> socket.socket | None:
    """Opens a connection to a daemon past its link; None if nobody takes it."""
    held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    held.setblocking(False)
    try:
        held.connect(daemon.front)
    except BlockingIOError:
        return held
    except OSError:
        held.close()
        return None
    return held


def _close(held: list[socket.socket]) -> None:
    for connection in held:
        connection.close()
