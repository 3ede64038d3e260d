"""Runs one soak from its seed to its verdict."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from troutswitch.soak.callers import Caller
from troutswitch.soak.calm_end import CalmEnd
from troutswitch.soak.checks import find_violations
from troutswitch.soak.conductor import Conductor
from troutswitch.soak.evidence import Evidence, read_journal
from troutswitch.soak.fleet import Fleet
from troutswitch.soak.jobs import JobClient
from troutswitch.soak.probes import Prober
from troutswitch.soak.report import Verdict
from troutswitch.soak.schedule import Schedule, draw_schedule
from troutswitch.soak.violations import Violation
from troutswitch.soak.watcher import Watcher

CHECK_SECONDS = 10.0
"""Interval between two looks at all promises while the soak runs."""
JOIN_SECONDS = 30.0
"""Bound on the end of callers: their longest wait for an answer, and some."""
END_SECONDS = 2.0
"""Wait after the last caller, for late runs of requests that were refused."""


@dataclass(frozen=True, slots=True)
class SoakSize:
    """How much of everything a soak has."""

    daemons: int = 3
    engines: int = 4
    callers: int = 12
    job_clients: int = 2


class _Worker(Protocol):
    asked_to_stop: threading.Event


class Soak:
    """One soak: its fleet, its callers, and the end of both."""

    def __init__(
        self,
        schedule: Schedule,
        folder: Path,
        size: SoakSize,
        tell: Callable[[str], None],
        stop_asked: threading.Event,
    ) -> None:
        self.schedule = schedule
        self.tell = tell
        self.stop_asked = stop_asked
        self.fleet = Fleet(folder, schedule.seed, size.daemons, size.engines)
        self._size = size
        self._workers: list[_Worker] = []
        self._threads: list[threading.Thread] = []

    def run(self) -> Verdict:
        """Plays the schedule and the calm end; all processes are gone when it returns."""
        began = time.monotonic()
        try:
            self.fleet.start()
            self._start_workers()
            conductor = Conductor(self.fleet, self.schedule)
            self._play(conductor)
            CalmEnd(self.fleet, conductor, self.stop_asked.is_set).play()
            self._stop_workers()
            conductor.run(time.monotonic() + END_SECONDS, self.stop_asked.is_set)
            violations = self.look()
        finally:
            for worker in self._workers:
                worker.asked_to_stop.set()
            self.fleet.stop()
        seconds = time.monotonic() - began
        was_interrupted = self.stop_asked.is_set()
        return Verdict(
            self.schedule, seconds, was_interrupted, tuple(violations), self.fleet.evidence
        )

    def look(self) -> list[Violation]:
        """Checks all promises on what was seen so far."""
        evidence = self.fleet.evidence
        runs = [run for engine in self.fleet.engines for run in read_journal(engine.journal)]
        with evidence.lock:
            seen = Evidence(
                evidence.began_at,
                list(evidence.exchanges),
                runs,
                list(evidence.strikes),
                list(evidence.left),
                list(evidence.jobs),
                list(evidence.ends),
                list(evidence.samples),
                list(evidence.unmet),
                list(evidence.strangers),
            )
        return find_violations(seen)

    def _play(self, conductor: Conductor) -> None:
        while time.monotonic() < conductor.ends_at and not self.stop_asked.is_set():
            until = min(conductor.ends_at, time.monotonic() + CHECK_SECONDS)
            conductor.run(until, self.stop_asked.is_set)
            found = self.look()
            count = len(self.fleet.evidence.exchanges)
            left = conductor.ends_at - time.monotonic()
            self.tell(f"{count} requests, {len(found)} violations, {max(0.0, left):.0f} s left")

    def _start_workers(self) -> None:
        fronts, evidence, seed = self.fleet.fronts(), self.fleet.evidence, self.schedule.seed
        ways = (fronts, self.fleet.direct_fronts())
        for number in range(self._size.callers):
            caller = Caller(f"caller-{seed}-{number}", seed, ways[number % 2], evidence)
            self._workers.append(caller)
            self._threads.append(caller.thread)
        for number in range(self._size.job_clients):
            client = JobClient(f"job-{seed}-{number}", seed, fronts, evidence)
            self._workers.append(client)
            self._threads += client.threads
        for front in self.fleet.direct_fronts():
            prober = Prober(front, self.fleet.operator, evidence)
            self._workers.append(prober)
            self._threads.append(prober.thread)
        watcher = Watcher(self.fleet.daemons, evidence)
        self._workers.append(watcher)
        self._threads.append(watcher.thread)
        for thread in self._threads:
            thread.start()

    def _stop_workers(self) -> None:
        for worker in self._workers:
            worker.asked_to_stop.set()
        until = time.monotonic() + JOIN_SECONDS
        for thread in self._threads:
            thread.join(max(0.0, until - time.monotonic()))


def run_soak(
    seed: int,
    seconds: float,
    folder: Path,
    size: SoakSize,
    tell: Callable[[str], None],
    stop_asked: threading.Event,
) -> Verdict:
    """Runs a soak of about some seconds beside its start and its calm end."""
    folder.mkdir(parents=True, exist_ok=True)
    return Soak(draw_schedule(seed, seconds), folder, size, tell, stop_asked).run()
