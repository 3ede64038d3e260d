"""The end of a soak: all faults are over, and what was promised for then must come true."""

import time
from collections.abc import Callable

from troutswitch.soak.checks import CRASHES_TO_REFUSE
from troutswitch.soak.conductor import TICK_SECONDS, Conductor
from troutswitch.soak.crashing_requests import REQUESTS, EndingCaller, ending_path, is_refused
from troutswitch.soak.evidence import JobSeen, StruckSpan, read_journal
from troutswitch.soak.fleet import LEAVE_SECONDS, Daemon, Fleet
from troutswitch.soak.jobs import listed_at, read_results
from troutswitch.soak.probes import Prober, denies, serves
from troutswitch.soak.schedule import CONTACT_SECONDS, Action, LinkFault, Strike

CALM_SECONDS = 60.0
"""Bound on each thing that has to come true, five times the platform's `recoveryS` of 12 s."""
LEAVING_SECONDS = 3.0
"""Time with callers after the last planned stop, so that one would be cut if any is."""
REFUSED_SECONDS = 3.0
"""Time for which an ending request comes to a daemon that is to refuse it."""


class CalmEnd:
    """Waits for what has to come true; what does not goes into the evidence."""

    def __init__(self, fleet: Fleet, conductor: Conductor, is_stopped: Callable[[], bool]) -> None:
        self.fleet = fleet
        self.conductor = conductor
        self.is_stopped = is_stopped
        self._probers = [
            Prober(front, fleet.operator, fleet.evidence) for front in fleet.direct_fronts()
        ]

    def play(self) -> None:
        """Checks recovery, a leaving engine, configuration, a planned stop and all jobs."""
        self.conductor.heal()
        for daemon in self.fleet.daemons:
            what = f"{daemon.child.name} is not ready"
            self._expect("RECOVER", what, daemon.is_ready)
        self._wait_for_calm()
        self._expect_refused()
        self.fleet.drain_engine(self.fleet.engines[0])
        left_at = time.monotonic()
        self.fleet.operator.configure()
        self._expect_newest()
        self._stop_one(self.fleet.daemons[0])
        for job in list(self.fleet.evidence.jobs):
            if job.accepted_at and not job.end_asked_at:
                self._expect_listed(job)
        self.conductor.run(left_at + LEAVE_SECONDS, self.is_stopped)

    def _wait_for_calm(self) -> None:
        ends = [s.end for s in self.fleet.evidence.strikes if not s.strike.is_planned]
        until = max([time.monotonic(), *ends]) + CONTACT_SECONDS
        self.conductor.run(until, self.is_stopped)

    def _expect(self, promise: str, what: str, condition: Callable[[], bool]) -> None:
        until = time.monotonic() + CALM_SECONDS
        while not self.is_stopped():
            self.conductor.tick()
            if condition():
                return
            if time.monotonic() > until:
                self.fleet.evidence.unmet.append((promise, f"{what} after {CALM_SECONDS:.0f} s"))
                return
            time.sleep(TICK_SECONDS)

    def _expect_newest(self) -> None:
        newest = self.fleet.operator.version
        for prober in self._probers:
            name = prober.front.daemon
            what = f"{name} does not serve version {newest}"
            self._expect("CONFIG", what, lambda held=prober: serves(held.ask(newest)))  # type: ignore[misc]
            what = f"{name} does not deny version {newest - 1}"
            self._expect("CONFIG", what, lambda held=prober: denies(held.ask(newest - 1)))  # type: ignore[misc]

    def _expect_refused(self) -> None:
        """A request under which three engines ended is refused by each daemon, also by new ones."""
        for number in range(REQUESTS):
            if len(self._lives_ended(number)) < CRASHES_TO_REFUSE:
                continue
            for front in self.fleet.direct_fronts():
                caller = EndingCaller(number, [front], self.fleet.evidence)
                until = time.monotonic() + REFUSED_SECONDS
                caller.start(until)
                self.conductor.run(until, self.is_stopped)
                what = f"{front.daemon} does not refuse {ending_path(number)}"
                self._expect("BUDGET", what, lambda held=caller: is_refused(held.last))  # type: ignore[misc]

    def _lives_ended(self, number: int) -> set[str]:
        return {
            run.engine
            for engine in self.fleet.engines
            for run in read_journal(engine.journal)
            if run.kind == "ended under" and run.path == ending_path(number)
        }

    def _stop_one(self, daemon: Daemon) -> None:
        self.conductor.run(time.monotonic() + LEAVING_SECONDS, self.is_stopped)
        begin = time.monotonic()
        incarnation = daemon.child.incarnation
        self.conductor.stop_daemon(daemon)
        strike = Strike(0.0, Action.STOP_DAEMON, 0, LEAVING_SECONDS, 0.0, LinkFault.DELAY, True)
        span = StruckSpan(strike, daemon.child.name, begin, begin + LEAVING_SECONDS)
        self.fleet.evidence.strikes.append(span)
        what = f"{daemon.child.name} is not back after a planned stop"
        self._expect(
            "RECOVER", what, lambda: daemon.child.incarnation > incarnation and daemon.is_ready()
        )

    def _expect_listed(self, job: JobSeen) -> None:
        for front in self.fleet.direct_fronts():

            def is_listed() -> bool:
                read_results(front, job, 0)  # noqa: B023
                return listed_at(job, front.daemon) >= set(job.items)  # noqa: B023

            what = f"{job.job_id} is not wholly listed at {front.daemon}"
            self._expect("LOST", what, is_listed)
