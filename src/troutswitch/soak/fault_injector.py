"""Performs the actions of a fault schedule, ends faults, and restarts processes that exited."""

import heapq
import itertools
import signal
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from troutswitch.soak.crashing_requests import CrashingRequestCaller, crashing_path
from troutswitch.soak.fleet import SERVE_AFTER_DEPARTURE_SECONDS, Daemon, Engine, Fleet
from troutswitch.soak.observations import InjectedAction
from troutswitch.soak.processes import Child, ProcessExit
from troutswitch.soak.proxy import Link
from troutswitch.soak.schedule import ActionKind, FaultSchedule, LinkFault, ScheduledAction
from troutswitch.standins.model_engine import Behaviour

TICK_SECONDS = 0.02
"""Interval between two ticks; far shorter than the shortest fault."""
RESTART_DELAYS_SECONDS = (0.1, 0.6, 1.5)
"""Delays before an exited process is restarted, used in turn; the platform restarts immediately."""
STOP_TIMEOUT_SECONDS = 10.0
"""Time after which a process that was asked to stop is killed: its grace period of 8 s and 2 s
more."""
SPAN_MARGIN_SECONDS = 1.0
"""Extension of an action's span: requests in flight at its end may still be affected."""
CLOCK_JUMP_SECONDS = 2.0
"""Jump of a daemon's time of day, forward or back; the usual jump on the platform."""
EXIT_DETECTION_SECONDS = 0.5
"""Time that may pass between the exit of a process and its detection on a busy machine."""
KILL_SPAN_SECONDS = 5.0
"""Span of a kill: long enough for the restarted process to serve again."""
LATE_CALL_SECONDS = 2.0
"""Delay after which the store carries out a call whose answer was lost."""
FLOOD_CONNECTIONS = 300
"""Connections of a flood: more than a daemon's threads, fewer than its file descriptors."""
RELEASED_ENGINES = 2
"""Engines that a release replaces one after the other: half of them, as the others have to serve
until the replacements are listed."""
RELEASE_STEP_SECONDS = 0.9
"""Time between two of them, less than a drain takes: they overlap."""
DEAL_AFTER_SECONDS = 0.4
KILL_AFTER_SECONDS = 0.6
"""When shards are assigned anew and a daemon is killed, after an engine began to drain. The second
assignment comes before the killed daemon is back."""
STORE_DELAY_SECONDS = 0.3
"""Delay of each call to a slow store, about fifty times the usual duration."""

ENGINE_FAULTS = {
    ActionKind.ENGINE_REJECTS: "reject",
    ActionKind.ENGINE_FAILS: "fail",
    ActionKind.ENGINE_TRUNCATES: "break_off",
    ActionKind.ENGINE_SENDS_GARBAGE: "garbage",
    ActionKind.ENGINE_HANGS: "silent",
    ActionKind.ENGINE_SENDS_SURPLUS: "surplus",
    ActionKind.ENGINE_SENDS_MALFORMED_ITEMS: "malformed_items",
    ActionKind.ENGINE_SENDS_UNPROVED: "unproved",
}
"""Field of `Behaviour` that each engine fault sets."""


@dataclass(order=True, slots=True)
class _Timer:
    due_at: float
    sequence: int
    callback: Callable[[], None] = field(compare=False)


class FaultInjector:
    """Performs the scheduled actions; single-threaded, all work happens inside `run` and `tick`."""

    def __init__(self, fleet: Fleet, schedule: FaultSchedule) -> None:
        self.fleet = fleet
        self._sequence = itertools.count()
        self._timers: list[_Timer] = []
        self._restart_at: dict[str, float] = {}
        self._stop_requested_at: dict[str, float] = {}
        self._restart_delays = itertools.cycle(RESTART_DELAYS_SECONDS)
        self._store_faults: dict[str, object] = {}
        begin = time.monotonic()
        self.ends_at = begin + schedule.seconds
        for scheduled in schedule.actions:
            self._call_at(begin + scheduled.offset_seconds, lambda s=scheduled: self._inject(s))  # type: ignore[misc]

    def run(self, until: float, is_stop_requested: Callable[[], bool]) -> None:
        """Ticks until a time, or until a stop is requested."""
        while time.monotonic() < until and not is_stop_requested():
            self.tick()
            time.sleep(TICK_SECONDS)

    def tick(self) -> None:
        """Runs the timers that are due, then records exits and restarts processes."""
        now = time.monotonic()
        while self._timers and self._timers[0].due_at <= now:
            heapq.heappop(self._timers).callback()
        for child in self.fleet.group.children:
            self._supervise(child, now)

    def end_all_faults(self) -> None:
        """Ends all faults immediately and drops the actions that have not started."""
        self._timers.clear()
        for link in self.fleet.links:
            link.set_fault(None)
        for child in self.fleet.group.children:
            child.signal(signal.SIGCONT)
        for daemon in self.fleet.daemons:
            self._set_clock_offset(daemon, 0.0)
        self._store_faults.clear()
        self.fleet.set_store_faults()
        for engine in self.fleet.engines:
            engine.set_behaviour(Behaviour())

    def stop_daemon(self, daemon: Daemon) -> None:
        """Starts a planned stop of a daemon."""
        daemon.child.signal(signal.SIGTERM)
        self._stop_requested_at.setdefault(daemon.child.name, time.monotonic())

    # Processes.

    def _supervise(self, child: Child, now: float) -> None:
        process_exit = child.poll_exit()
        if process_exit is not None:
            self.fleet.observations.exits.append(process_exit)
            if process_exit.crashed_under_request:
                self._record_crash(process_exit)
            self._stop_requested_at.pop(child.name, None)
            self._restart_at[child.name] = now + next(self._restart_delays)
        if child.process is None and now >= self._restart_at.get(child.name, now):
            self._restart(child)
        if now > self._stop_requested_at.get(child.name, now) + STOP_TIMEOUT_SECONDS:
            child.signal(signal.SIGKILL)

    def _record_crash(self, process_exit: ProcessExit) -> None:
        """Records the span around an engine's crash under a request, in which answers break off."""
        scheduled = ScheduledAction(
            0.0, ActionKind.CRASHING_REQUEST, 0, 0.0, 1.0, LinkFault.DELAY, False
        )
        begin = process_exit.exited_at - EXIT_DETECTION_SECONDS
        span = InjectedAction(
            scheduled, process_exit.name, begin, process_exit.exited_at + KILL_SPAN_SECONDS
        )
        self.fleet.observations.actions.append(span)

    def _restart(self, child: Child) -> None:
        for engine in self.fleet.engines:
            if engine.child is child:
                self.fleet.unlist_in_background(engine.engine_id)
                self.fleet.start_engine(engine)
                return
        child.start()

    # Actions.

    def _call_at(self, due_at: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._timers, _Timer(due_at, next(self._sequence), callback))

    def _inject(self, scheduled: ScheduledAction) -> None:
        begin = time.monotonic()
        seconds, target = self._perform(scheduled, begin + scheduled.seconds)
        span = InjectedAction(scheduled, target, begin, begin + seconds + SPAN_MARGIN_SECONDS)
        self.fleet.observations.actions.append(span)

    def _perform(self, scheduled: ScheduledAction, until: float) -> tuple[float, str]:
        """Performs an action; returns the length of its span and the name of its target."""
        fleet = self.fleet
        daemon = fleet.daemons[scheduled.target % len(fleet.daemons)]
        engine = fleet.engines[scheduled.target % len(fleet.engines)]
        match scheduled.kind:
            case ActionKind.STOP_DAEMON:
                self.stop_daemon(daemon)
                return scheduled.seconds, daemon.child.name
            case ActionKind.RELOAD_DAEMON:
                if daemon.child.handles(signal.SIGHUP):  # SIGHUP would kill a starting interpreter
                    daemon.child.signal(signal.SIGHUP)
                return scheduled.seconds, daemon.child.name
            case ActionKind.KILL_DAEMON:
                daemon.child.signal(signal.SIGKILL)
                return KILL_SPAN_SECONDS, daemon.child.name
            case ActionKind.KILL_ALL_DAEMONS:
                for each in fleet.daemons:
                    each.child.signal(signal.SIGKILL)
                return KILL_SPAN_SECONDS, "all daemons"
            case ActionKind.PAUSE_DAEMON:
                self._pause([daemon.child], until)
                return scheduled.seconds, daemon.child.name
            case ActionKind.PAUSE_ALL_DAEMONS:
                self._pause([each.child for each in fleet.daemons], until)
                return scheduled.seconds, "all daemons"
            case ActionKind.CONNECTION_FLOOD:
                self._flood(daemon, until)
                return scheduled.seconds, daemon.child.name
            case ActionKind.CLOCK_JUMPS:
                self._set_clock_offset(
                    daemon, CLOCK_JUMP_SECONDS if scheduled.target % 2 else -CLOCK_JUMP_SECONDS
                )
                self._call_at(until, lambda: self._set_clock_offset(daemon, 0.0))
                return scheduled.seconds, daemon.child.name
            case ActionKind.STORE_BUSY_FOR_ONE_DAEMON:
                daemon.store_link.set_fault(LinkFault.BUSY)
                self._call_at(until, lambda: daemon.store_link.set_fault(None))
                return scheduled.seconds, f"{daemon.child.name} to the store"
            case ActionKind.CRASHING_REQUEST:
                CrashingRequestCaller(
                    scheduled.target, fleet.endpoints(), fleet.observations
                ).start(until)
                return scheduled.seconds, crashing_path(scheduled.target)
            case ActionKind.RELEASE:
                return self._release(scheduled), "engines"
            case ActionKind.CONFIGURE:
                fleet.configure_in_background()
                return scheduled.seconds, "configuration"
            case ActionKind.CALLER_LINK:
                self._inject_link_fault(daemon.caller_link, scheduled, until)
                return scheduled.seconds, f"callers to {daemon.child.name}"
            case ActionKind.STORE_LINK:
                self._inject_link_fault(daemon.store_link, scheduled, until)
                return scheduled.seconds, f"{daemon.child.name} to the store"
            case ActionKind.ENGINE_LINK:
                self._inject_link_fault(engine.link, scheduled, until)
                return scheduled.seconds, f"daemons to {engine.child.name}"
            case _:
                return self._perform_on_engine_or_store(scheduled, engine, until)

    def _perform_on_engine_or_store(
        self, scheduled: ScheduledAction, engine: Engine, until: float
    ) -> tuple[float, str]:
        fleet = self.fleet
        match scheduled.kind:
            case ActionKind.KILL_ENGINE:
                engine.child.signal(signal.SIGKILL)
                return KILL_SPAN_SECONDS, engine.engine_id
            case ActionKind.PAUSE_ENGINE:
                self._pause([engine.child], until)
            case ActionKind.ENGINE_DRAINS:
                fleet.drain_engine(engine)
            case ActionKind.ENGINE_UNLISTED:
                fleet.remove_engine_unannounced(engine)
            case ActionKind.STORE_DOWN:
                self._inject_store_faults(until, is_down=True)
                return scheduled.seconds, "store"
            case ActionKind.STORE_SLOW:
                self._inject_store_faults(until, slow_seconds=STORE_DELAY_SECONDS)
                return scheduled.seconds, "store"
            case ActionKind.STORE_LOSES_ANSWERS:
                self._inject_store_faults(until, loses_answers=True)
                return scheduled.seconds, "store"
            case ActionKind.STORE_APPLIES_LATE:
                self._inject_store_faults(until, acts_late_seconds=LATE_CALL_SECONDS)
                return scheduled.seconds + LATE_CALL_SECONDS, "store"
            case ActionKind.STORE_DROPS_HISTORY:
                fleet.set_store_faults(**self._store_faults, drops_history=True)
                return 0.0, "store"
            case ActionKind.STORE_PAUSED:
                self._pause([fleet.store], until)
                return scheduled.seconds, "store"
            case ActionKind.STORE_REBALANCES:
                fleet.set_store_faults(**self._store_faults, deals_anew=True)
                return 0.0, "store"
            case _:
                behaviour = Behaviour()
                setattr(behaviour, ENGINE_FAULTS[scheduled.kind], scheduled.share)
                engine.set_behaviour(behaviour)
                self._call_at(until, lambda: engine.set_behaviour(Behaviour()))
        return scheduled.seconds, engine.engine_id

    def _release(self, scheduled: ScheduledAction) -> float:
        """Replaces engines while shards change owners and daemons are killed; returns its length.

        A third of the releases kill all daemons at the end.
        """
        fleet = self.fleet
        begin = time.monotonic()
        for step in range(RELEASED_ENGINES):
            at = begin + step * RELEASE_STEP_SECONDS
            engine = fleet.engines[(scheduled.target + step) % len(fleet.engines)]
            daemon = fleet.daemons[(scheduled.target + step) % len(fleet.daemons)]
            killed = [daemon]
            if step == RELEASED_ENGINES - 1 and scheduled.target % 3 == 0:
                killed = fleet.daemons
            self._call_at(at, lambda engine=engine: fleet.drain_engine(engine))  # type: ignore[misc]
            self._call_at(at + DEAL_AFTER_SECONDS, self._assign_shards_anew)
            self._call_at(at + KILL_AFTER_SECONDS, lambda killed=killed: _kill(killed))  # type: ignore[misc]
        steps = RELEASED_ENGINES * RELEASE_STEP_SECONDS
        return steps + SERVE_AFTER_DEPARTURE_SECONDS + KILL_SPAN_SECONDS

    def _assign_shards_anew(self) -> None:
        self.fleet.set_store_faults(**self._store_faults, deals_anew=True)

    def _pause(self, children: list[Child], until: float) -> None:
        for child in children:
            child.signal(signal.SIGSTOP)
            self._call_at(until, lambda child=child: child.signal(signal.SIGCONT))  # type: ignore[misc]

    def _flood(self, daemon: Daemon, until: float) -> None:
        connections = [
            connection for _ in range(FLOOD_CONNECTIONS) if (connection := _open_connection(daemon))
        ]
        self._call_at(until, lambda: _close_all(connections))

    @staticmethod
    def _set_clock_offset(daemon: Daemon, offset_seconds: float) -> None:
        """Shifts a daemon's time of day; a daemon that is still starting is not signalled."""
        daemon.clock.write_text(str(offset_seconds))
        if daemon.child.handles(signal.SIGUSR1):
            daemon.child.signal(signal.SIGUSR1)

    def _inject_link_fault(self, link: Link, scheduled: ScheduledAction, until: float) -> None:
        link.set_fault(scheduled.link_fault)
        self._call_at(until, lambda: link.set_fault(None))

    def _inject_store_faults(self, until: float, **faults: object) -> None:
        self._store_faults.update(faults)
        self.fleet.set_store_faults(**self._store_faults)
        self._call_at(until, lambda: self._end_store_faults(*faults))

    def _end_store_faults(self, *names: str) -> None:
        for name in names:
            self._store_faults.pop(name, None)
        self.fleet.set_store_faults(**self._store_faults)


def _open_connection(daemon: Daemon) -> socket.socket | None:
    """Opens a connection to a daemon that bypasses its link; None if the daemon refuses it."""
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setblocking(False)
    try:
        connection.connect(daemon.caller_address)
    except BlockingIOError:
        return connection
    except OSError:
        connection.close()
        return None
    return connection


def _kill(daemons: list[Daemon]) -> None:
    for daemon in daemons:
        daemon.child.signal(signal.SIGKILL)


def _close_all(connections: list[socket.socket]) -> None:
    for connection in connections:
        connection.close()
