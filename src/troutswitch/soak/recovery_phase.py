"""Recovery phase at the end of a soak: after all faults, the system must return to normal."""

import time
from collections.abc import Callable

from troutswitch.decisions.crashes.causes import MAX_DEFERRAL_SECONDS
from troutswitch.soak.checks import CRASHES_TO_REFUSE
from troutswitch.soak.crashing_requests import (
    CRASHING_REQUESTS,
    CrashingRequestCaller,
    crashing_path,
    is_refused,
)
from troutswitch.soak.fault_injector import TICK_SECONDS, FaultInjector
from troutswitch.soak.fleet import SERVE_AFTER_DEPARTURE_SECONDS, Daemon, Fleet
from troutswitch.soak.jobs import items_listed_by, read_results
from troutswitch.soak.observations import InjectedAction, ObservedJob, read_journal
from troutswitch.soak.probes import Prober, is_not_found, is_served
from troutswitch.soak.schedule import FAULT_FREE_SECONDS, ActionKind, LinkFault, ScheduledAction

RECOVERY_TIMEOUT_SECONDS = 60.0
"""Timeout of each expectation, five times the platform's `recoveryS` of 12 s."""
PLANNED_STOP_SECONDS = 3.0
"""Time for which callers run before the planned stop, so that the stop would interrupt requests if
any stop does; also the length of its recorded span."""
CRASHING_CALLER_SECONDS = 3.0 + MAX_DEFERRAL_SECONDS
"""Time for which a crashing request is sent to a daemon that is expected to refuse it. Until the
end of a deferral the daemon may answer 503, as another request may have caused the crashes."""


class RecoveryPhase:
    """Waits until expectations are met, and records those that are not within the timeout."""

    def __init__(
        self, fleet: Fleet, fault_injector: FaultInjector, is_stop_requested: Callable[[], bool]
    ) -> None:
        self.fleet = fleet
        self.fault_injector = fault_injector
        self.is_stop_requested = is_stop_requested
        self._probers = [
            Prober(endpoint, fleet.operator, fleet.observations)
            for endpoint in fleet.direct_endpoints()
        ]

    def run(self) -> None:
        """Ends all faults and checks the expectations.

        Each daemon must be ready, refuse crashing requests, serve the newest configuration and list
        the results of all accepted jobs. An engine is drained and a daemon stopped as planned while
        callers run, so that the checks of drains and planned stops have something to examine.
        """
        self.fault_injector.end_all_faults()
        for daemon in self.fleet.daemons:
            what = f"{daemon.child.name} is not ready"
            self._expect("RECOVER", what, daemon.is_ready)
        self._wait_until_fault_free()
        self._expect_refused()
        self.fleet.drain_engine(self.fleet.engines[0])
        drain_started_at = time.monotonic()
        self.fleet.operator.configure()
        self._expect_newest()
        self._stop_daemon(self.fleet.daemons[0])
        for job in list(self.fleet.observations.jobs):
            if job.accepted_at and not job.end_requested_at:
                self._expect_listed(job)
        self.fault_injector.run(
            drain_started_at + SERVE_AFTER_DEPARTURE_SECONDS, self.is_stop_requested
        )

    def _wait_until_fault_free(self) -> None:
        span_ends = [s.end for s in self.fleet.observations.actions if not s.scheduled.is_planned]
        until = max([time.monotonic(), *span_ends]) + FAULT_FREE_SECONDS
        self.fault_injector.run(until, self.is_stop_requested)

    def _expect(self, promise: str, what: str, condition: Callable[[], bool]) -> None:
        until = time.monotonic() + RECOVERY_TIMEOUT_SECONDS
        while not self.is_stop_requested():
            self.fault_injector.tick()
            if condition():
                return
            if time.monotonic() > until:
                self.fleet.observations.unmet_expectations.append(
                    (promise, f"{what} after {RECOVERY_TIMEOUT_SECONDS:.0f} s")
                )
                return
            time.sleep(TICK_SECONDS)

    def _expect_newest(self) -> None:
        newest = self.fleet.operator.version
        for prober in self._probers:
            name = prober.endpoint.daemon
            what = f"{name} does not serve version {newest}"
            self._expect("CONFIG", what, lambda p=prober: is_served(p.probe(newest)))  # type: ignore[misc]
            what = f"{name} still serves version {newest - 1}"
            self._expect("CONFIG", what, lambda p=prober: is_not_found(p.probe(newest - 1)))  # type: ignore[misc]

    def _expect_refused(self) -> None:
        """Expects all daemons to refuse the requests that crashed three engines."""
        for number in range(CRASHING_REQUESTS):
            if len(self._crashed_engines(number)) < CRASHES_TO_REFUSE:
                continue
            for endpoint in self.fleet.direct_endpoints():
                caller = CrashingRequestCaller(number, [endpoint], self.fleet.observations)
                caller.start(time.monotonic() + CRASHING_CALLER_SECONDS)
                what = f"{endpoint.daemon} does not refuse {crashing_path(number)}"
                self._expect("BUDGET", what, lambda caller=caller: is_refused(caller.last))  # type: ignore[misc]
                caller.stop_requested.set()

    def _crashed_engines(self, number: int) -> set[str]:
        return {
            entry.engine
            for engine in self.fleet.engines
            for entry in read_journal(engine.journal)
            if entry.kind == "ended under" and entry.path == crashing_path(number)
        }

    def _stop_daemon(self, daemon: Daemon) -> None:
        self.fault_injector.run(time.monotonic() + PLANNED_STOP_SECONDS, self.is_stop_requested)
        begin = time.monotonic()
        incarnation = daemon.child.incarnation
        self.fault_injector.stop_daemon(daemon)
        scheduled = ScheduledAction(
            0.0, ActionKind.STOP_DAEMON, 0, PLANNED_STOP_SECONDS, 0.0, LinkFault.DELAY, True
        )
        span = InjectedAction(scheduled, daemon.child.name, begin, begin + PLANNED_STOP_SECONDS)
        self.fleet.observations.actions.append(span)
        what = f"{daemon.child.name} did not return after a planned stop"
        self._expect(
            "RECOVER", what, lambda: daemon.child.incarnation > incarnation and daemon.is_ready()
        )

    def _expect_listed(self, job: ObservedJob) -> None:
        for endpoint in self.fleet.direct_endpoints():

            def is_listed() -> bool:
                if job.end_requested_at:  # its client may end it while it is waited for
                    return True
                read_results(endpoint, job, 0)  # noqa: B023
                return items_listed_by(job, endpoint.daemon) >= set(job.items)  # noqa: B023

            what = f"results of {job.job_id} are incomplete at {endpoint.daemon}"
            self._expect("LOST", what, is_listed)
