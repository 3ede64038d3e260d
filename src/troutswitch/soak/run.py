"""Runs a soak and checks the promises."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from troutswitch.soak.another_writer import AnotherWriter
from troutswitch.soak.callers import Caller
from troutswitch.soak.checks import find_violations
from troutswitch.soak.competing_callers import SteadyCaller, SurgingCallers
from troutswitch.soak.crashing_parts import CrashingPartCallers
from troutswitch.soak.datagram_disturber import DatagramDisturber
from troutswitch.soak.fault_injector import FaultInjector
from troutswitch.soak.fleet import Fleet
from troutswitch.soak.jobs import JobClient, LongJobClient
from troutswitch.soak.limited_callers import LimitedCallers
from troutswitch.soak.load_kinds import LoadKind
from troutswitch.soak.manifest_checks import read_index, unfounded_manifests
from troutswitch.soak.observations import Observations, read_journal
from troutswitch.soak.probes import Prober
from troutswitch.soak.reading_callers import ReadingCallers
from troutswitch.soak.recovery_phase import RecoveryPhase
from troutswitch.soak.report import SoakResult
from troutswitch.soak.resource_sampler import ResourceSampler
from troutswitch.soak.resuming_callers import ResumingCallers
from troutswitch.soak.schedule import FaultSchedule, draw_schedule
from troutswitch.soak.sent_attempts import read_attempts
from troutswitch.soak.sized_jobs import SizedJobClient
from troutswitch.soak.skewed_callers import SkewedCallers
from troutswitch.soak.slow_callers import SlowCallers
from troutswitch.soak.stalls import Stalls
from troutswitch.soak.violations import Violation

CHECK_INTERVAL_SECONDS = 10.0
"""Interval between two checks of all promises while the schedule runs."""
JOIN_TIMEOUT_SECONDS = 30.0
"""Timeout for the workers to end; longer than a caller's longest wait for an answer."""
SETTLE_SECONDS = 2.0
"""Wait after the last caller, in which requests that were refused may still run."""


@dataclass(frozen=True, slots=True)
class SoakSize:
    """Number of processes and clients of a soak.

    `stall_share` is the share of each tenth of a second in which daemons do not run.
    `has_faults` is false for a soak without faults and planned operations. `load` has the kinds of
    demanding load.
    """

    daemons: int = 3
    engines: int = 4
    callers: int = 12
    job_clients: int = 2
    stall_share: float = 0.0
    has_faults: bool = True
    load: frozenset[LoadKind] = frozenset()


class _Worker(Protocol):
    """A client or monitor with threads of its own."""

    stop_requested: threading.Event


class _CallerGroup(_Worker, Protocol):
    """Callers of one kind."""

    threads: list[threading.Thread]


class Soak:
    """Runs one soak: its fleet, workers, schedule and recovery phase."""

    def __init__(
        self,
        schedule: FaultSchedule,
        folder: Path,
        size: SoakSize,
        report_progress: Callable[[str], None],
        stop_requested: threading.Event,
    ) -> None:
        self.schedule = schedule
        self.report_progress = report_progress
        self.stop_requested = stop_requested
        self.fleet = Fleet(folder, schedule.seed, size.daemons, size.engines, size.load)
        self._size = size
        self._workers: list[_Worker] = []
        self._hard_load: list[_CallerGroup] = []
        self._threads: list[threading.Thread] = []
        self._other_writer: AnotherWriter | None = None
        if LoadKind.ANOTHER_WRITER in size.load:
            self._other_writer = AnotherWriter(
                schedule.seed, schedule.seconds, self.fleet.operator, self.fleet.observations
            )

    def run(self) -> SoakResult:
        """Runs the schedule and the recovery phase; no process is left when it returns."""
        soak_started_at = time.monotonic()
        try:
            writer = self._other_writer
            self.fleet.start(None if writer is None else writer.write_initial)
            self._start_workers()
            fault_injector = FaultInjector(self.fleet, self.schedule)
            self._run_stalled(fault_injector)
            self._stop_hard_load()
            if writer is not None:
                fault_injector.end_all_faults()  # its writes wait for the store
                writer.stop()
            RecoveryPhase(self.fleet, fault_injector, self.stop_requested.is_set).run()
            self._stop_workers()
            self._check_manifests()
            fault_injector.run(time.monotonic() + SETTLE_SECONDS, self.stop_requested.is_set)
            violations = self.check_promises()
        finally:
            for worker in self._workers:
                worker.stop_requested.set()
            self.fleet.stop()
            if writer is not None:
                writer.close()
        seconds = time.monotonic() - soak_started_at
        was_interrupted = self.stop_requested.is_set()
        return SoakResult(
            self.schedule, seconds, was_interrupted, tuple(violations), self.fleet.observations
        )

    def check_promises(self) -> list[Violation]:
        """Checks all promises against the observations so far."""
        observations = self.fleet.observations
        journal_entries = [
            entry for engine in self.fleet.engines for entry in read_journal(engine.journal)
        ]
        with observations.lock:
            snapshot = Observations(
                observations.started_at,
                list(observations.exchanges),
                journal_entries,
                list(observations.actions),
                list(observations.departures),
                list(observations.jobs),
                list(observations.exits),
                list(observations.samples),
                list(observations.unmet_expectations),
                list(observations.unknown_key_exchanges),
                self._attempts(),
                observations.slots,
                observations.memory_limit_mb,
                dict(observations.engine_versions),
                list(observations.listings),
                list(observations.configurations),
                list(observations.odd_records),
                observations.is_lightly_loaded,
            )
        return find_violations(snapshot)

    def _check_manifests(self) -> None:
        """Compares each manifest in the index with the index before it, if all of it is kept."""
        records = read_index(self.fleet.store_address)
        if records is None:
            self.report_progress("the index has no whole history, manifests are not checked")
            return
        limit = self.fleet.operator.limits.max_queued_tokens
        self.fleet.observations.unmet_expectations += [
            ("QUOTA, UNASKED", what) for what in unfounded_manifests(records, limit)
        ]

    def _attempts(self) -> list[tuple[float, float]]:
        """Returns the attempts in the daemons' logs, which only competing callers need."""
        if LoadKind.COMPETITION not in self._size.load:
            return []
        return read_attempts(self.fleet.daemon_logs())

    def _run_stalled(self, fault_injector: FaultInjector) -> None:
        """Runs the schedule while daemons stall, and ends the stalls."""
        stalls = Stalls(self.fleet.daemons, self._size.stall_share)
        for thread in stalls.threads:
            thread.start()
        try:
            self._run_schedule(fault_injector)
        finally:
            stalls.stop_requested.set()
            for thread in stalls.threads:
                thread.join()

    def _run_schedule(self, fault_injector: FaultInjector) -> None:
        while time.monotonic() < fault_injector.ends_at and not self.stop_requested.is_set():
            until = min(fault_injector.ends_at, time.monotonic() + CHECK_INTERVAL_SECONDS)
            fault_injector.run(until, self.stop_requested.is_set)
            found = self.check_promises()
            count = len(self.fleet.observations.exchanges)
            remaining = fault_injector.ends_at - time.monotonic()
            self.report_progress(
                f"{count} requests, {len(found)} violations, {max(0.0, remaining):.0f} s left"
            )

    def _start_workers(self) -> None:
        endpoints, observations, seed = (
            self.fleet.endpoints(),
            self.fleet.observations,
            self.schedule.seed,
        )
        endpoint_lists = (endpoints, self.fleet.direct_endpoints())
        for number in range(self._size.callers):
            caller = Caller(
                f"caller-{seed}-{number}", seed, endpoint_lists[number % 2], observations
            )
            self._workers.append(caller)
            self._threads.append(caller.thread)
        for number in range(self._size.job_clients):
            client = JobClient(f"job-{seed}-{number}", seed, endpoints, observations)
            self._workers.append(client)
            self._threads += client.threads
        if LoadKind.LONG_ITEMS in self._size.load:
            client = LongJobClient(f"long-job-{seed}", seed, endpoints, observations)
            self._workers.append(client)
            self._threads += client.threads
        if LoadKind.SIZED_ITEMS in self._size.load:
            client = SizedJobClient(f"sized-job-{seed}", seed, endpoints, observations)
            self._workers.append(client)
            self._threads += client.threads
        for endpoint in self.fleet.direct_endpoints():
            prober = Prober(endpoint, self.fleet.operator, observations)
            self._workers.append(prober)
            self._threads.append(prober.thread)
        for group in self._make_caller_groups():
            self._workers.append(group)
            self._threads += group.threads
        resource_sampler = ResourceSampler(self.fleet.daemons, observations)
        self._workers.append(resource_sampler)
        self._threads.append(resource_sampler.thread)
        if self._other_writer is not None:
            self._threads.append(self._other_writer.thread)
            self._workers.append(self._other_writer)
        for thread in self._threads:
            thread.start()

    def _make_caller_groups(self) -> list[_CallerGroup]:
        """Returns the callers of tenants with a quota, and those of the kinds of load."""
        seed, observations = self.schedule.seed, self.fleet.observations
        direct = self.fleet.direct_endpoints()
        load = self._size.load
        groups: list[_CallerGroup] = [LimitedCallers(seed, self.fleet.endpoints(), observations)]
        if LoadKind.COMPETITION in load:
            self._hard_load.append(SurgingCallers(seed, direct, observations))
        if LoadKind.SLOW_CALLERS in load:
            self._hard_load.append(SlowCallers(seed, direct, observations))
        else:  # a daemon whose memory is nearly full may close the connection of a slow reader
            groups.append(ReadingCallers(seed, direct, observations))
        if LoadKind.SKEWED_CONNECTIONS in load:
            self._hard_load.append(SkewedCallers(seed, direct, observations))
        if LoadKind.CRASHING_PARTS in load:
            self._hard_load.append(CrashingPartCallers(seed, direct, observations))
        if self.fleet.datagrams is not None:
            names = [daemon.child.name for daemon in self.fleet.daemons]
            self._hard_load.append(DatagramDisturber(seed, self.fleet.datagrams, names))
        groups += self._hard_load
        if LoadKind.VERSIONS in load:
            groups.append(ResumingCallers(seed, direct, observations))
        if load & {LoadKind.COMPETITION, LoadKind.SLOW_CALLERS}:
            groups.append(SteadyCaller(seed, direct, observations))
        return groups

    def _stop_hard_load(self) -> None:
        """Ends the demanding load before the recovery phase, which expects a normal one."""
        for group in self._hard_load:
            group.stop_requested.set()
        for group in self._hard_load:
            for thread in group.threads:
                thread.join(JOIN_TIMEOUT_SECONDS)

    def _stop_workers(self) -> None:
        for worker in self._workers:
            worker.stop_requested.set()
        until = time.monotonic() + JOIN_TIMEOUT_SECONDS
        for thread in self._threads:
            thread.join(max(0.0, until - time.monotonic()))


def run_soak(
    seed: int,
    seconds: float,
    folder: Path,
    size: SoakSize,
    report_progress: Callable[[str], None],
    stop_requested: threading.Event,
) -> SoakResult:
    """Runs a soak; `seconds` is the length of the schedule, without start and recovery phase."""
    folder.mkdir(parents=True, exist_ok=True)
    schedule = draw_schedule(seed, seconds)
    if not size.has_faults:
        schedule = FaultSchedule(seed, seconds, ())
    return Soak(schedule, folder, size, report_progress, stop_requested).run()
