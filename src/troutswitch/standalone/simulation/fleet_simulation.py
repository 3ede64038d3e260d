"""Simulation of a fleet: daemons, engines, platform, callers, operators, faults, observer."""

import hashlib
import json
from dataclasses import dataclass, field

from troutswitch.common import Address
from troutswitch.standalone.decisions.daemon import DaemonIdentity
from troutswitch.standalone.decisions.effects import CallAnswer
from troutswitch.standalone.decisions.events import Machine
from troutswitch.standalone.simulation.callers import BatchCallers, OnlineCallers
from troutswitch.standalone.simulation.clock import VirtualClock, seeded_random
from troutswitch.standalone.simulation.daemon import SimulatedDaemon, SimulationContext
from troutswitch.standalone.simulation.engine import SimulatedEngine
from troutswitch.standalone.simulation.faults import FAULTS, Faults
from troutswitch.standalone.simulation.network import Network
from troutswitch.standalone.simulation.observer import (
    CONFIGURATION_SECONDS,
    JobRecord,
    Observer,
)
from troutswitch.standalone.simulation.operators import Operators
from troutswitch.standalone.simulation.platform import SimulatedPlatform
from troutswitch.standalone.simulation.scenarios import Scenario

WARM_UP_SECONDS = 5.0
"""Time for the daemons to discover each other before load starts."""
MAX_SETTLE_SECONDS = 600.0
"""Maximum time for accepted work to finish after load and faults have ended."""
SETTLE_STEP_SECONDS = 10.0
CONFIGURATION_CHECK_SECONDS = 0.25
"""Interval between checks of the daemons' configuration versions."""
STABLE_SECONDS = 8.0
"""A daemon counts as live and connected after running undisturbed for this long."""


@dataclass(frozen=True)
class SimulationOptions:
    """Options of one simulation run."""

    scenario: Scenario
    seed: int
    seconds: float
    faults: tuple[str, ...] = ()


@dataclass
class SimulationReport:
    """Results of one simulation run."""

    violations: list[str]
    batch_accepted: int
    batch_completed: int
    batch_refused: int
    online_accepted: int
    online_completed: int
    online_refused: int
    faults: dict[str, int]
    digest: str
    details: dict[str, object] = field(default_factory=dict)

    def to_json(self) -> str:
        """Returns the report as one JSON object."""
        return json.dumps(self.__dict__, sort_keys=True)


class FleetSimulation:
    """Builds a fleet from the options and runs the simulation."""

    def __init__(self, options: SimulationOptions) -> None:
        self.options = options
        self.scenario = options.scenario
        self.clock = VirtualClock()
        self.observer = Observer()
        seed = options.seed
        self.network = Network(self.clock, seeded_random(seed, "network"))
        self.platform = SimulatedPlatform(self.clock, self.network, seeded_random(seed, "platform"))
        self.engines: dict[str, SimulatedEngine] = {}
        self.daemons: dict[str, SimulatedDaemon] = {}
        self._rng = seeded_random(seed, "world")
        self._seeds = seeded_random(seed, "daemon seeds")
        self._daemons_started = 0
        self._context = SimulationContext(
            self.clock,
            self.network,
            self.platform,
            self.engines,
            self.observer,
            seeded_random(seed, "daemons"),
        )
        self._make_engines()
        self._make_daemons()
        self.ends_at = self.clock.now() + WARM_UP_SECONDS + options.seconds
        self.faults: Faults | None = None
        self.operators = Operators(
            self.clock,
            self.observer,
            self._choose_daemon,
            seeded_random(seed, "operators"),
            self.ends_at,
        )
        self.clock.call_later(WARM_UP_SECONDS, self._start_load)
        self.clock.call_later(CONFIGURATION_CHECK_SECONDS, self._check_configuration_versions)

    # Building.

    def _make_engines(self) -> None:
        zones = self.scenario.zones
        for number in range(self.scenario.engines):
            name = f"engine-{number}"
            engine = SimulatedEngine(
                name,
                zones[number % len(zones)],
                self.scenario.service,
                Address("10.1.0.1", 7000 + number),
                self.scenario.engine_spec,
                self.clock,
                self.network,
                self.observer,
                seeded_random(self.options.seed, name),
            )
            self.engines[name] = engine
            self.platform.machines.put(self.clock.now(), engine.machine(), 0.0)

    def _make_daemons(self) -> None:
        for zone in self.scenario.zones:
            for number in range(self.scenario.daemons_per_zone):
                self.start_daemon(f"{zone}-{number}", zone, 0.0)

    def start_daemon(self, name: str, zone: str, list_lag: float | None = None) -> SimulatedDaemon:
        """Starts a daemon machine and puts it on the machine list."""
        self._daemons_started += 1
        address = Address("10.0.0.1", 9000 + self._daemons_started)
        identity = DaemonIdentity(
            name,
            zone,
            address,
            int(self.clock.now() * 1000) + self._daemons_started,
            self._seeds.getrandbits(64),
            self.scenario.shard_count,
        )
        daemon = SimulatedDaemon(self._context, identity)
        daemon.on_answered = self._on_answered
        self.daemons[name] = daemon
        machine = Machine(name, "daemon", address, zone)
        self.platform.machines.put(self.clock.now(), machine, list_lag)
        return daemon

    def replace_daemon(self, old: SimulatedDaemon, keeps_name: bool) -> None:
        """Replaces a lost machine; does nothing if it still runs or was replaced already."""
        if old.is_alive or self.daemons.get(old.name) is not old:
            return
        if keeps_name:
            self.start_daemon(old.name, old.zone)
            return
        del self.daemons[old.name]
        self.platform.machines.remove(self.clock.now(), old.name)
        self.start_daemon(f"{old.zone}-{self._daemons_started}r", old.zone)

    def _on_answered(self, daemon: SimulatedDaemon, answer: CallAnswer) -> None:
        if self.faults is not None:
            self.faults.on_answered(daemon, answer)

    def _start_load(self) -> None:
        seed = self.options.seed
        resends = "client_resend" in self.options.faults
        self.online_callers = OnlineCallers(
            self.scenario,
            self.clock,
            self.observer,
            self._choose_daemon,
            seeded_random(seed, "online"),
            self.ends_at,
        )
        self.batch_callers = BatchCallers(
            self.scenario,
            self.clock,
            self.observer,
            self._choose_daemon,
            seeded_random(seed, "batch"),
            self.ends_at,
            resends,
        )
        self.faults = Faults(self, self.options.faults, seeded_random(seed, "faults"), self.ends_at)

    def _choose_daemon(self) -> SimulatedDaemon | None:
        """Chooses a random ready daemon, as a caller's load balancer does."""
        ready = [
            daemon
            for daemon in self.daemons.values()
            if daemon.is_alive and not daemon.is_paused and daemon.core.is_ready
        ]
        return self._rng.choice(ready) if ready else None

    # Checks.

    def _check_configuration_versions(self) -> None:
        now = self.clock.now()
        due = [
            v for at, v in self.observer.publications_accepted if at < now - CONFIGURATION_SECONDS
        ]
        required = max(due, default=0)
        for daemon in self.daemons.values():
            if not daemon.is_alive:
                continue
            version = daemon.core.configuration.fold.version
            if daemon.core.configuration.is_ready:
                self.observer.on_version(daemon.name, version)
            if version < required and self._can_reach_version(daemon, now, required):
                self.observer.record_violation(
                    f"{daemon.name} has configuration {version}, not {required}, "
                    f"{CONFIGURATION_SECONDS} s after it was accepted"
                )
        self.clock.call_later(CONFIGURATION_CHECK_SECONDS, self._check_configuration_versions)

    def _can_reach_version(self, daemon: SimulatedDaemon, now: float, required: int) -> bool:
        """Returns whether a live, connected daemon can reach a version.

        It reads the version from the log or from another such daemon. While the log is
        unavailable and every daemon that has the version is lost or paused, no source is left.
        """
        if not self._is_stable(daemon, now):
            return False
        if self.platform.healthy_since() < now - STABLE_SECONDS:
            return True
        return any(
            other.is_alive
            and self._is_stable(other, now)
            and other.core.configuration.fold.version >= required
            for other in self.daemons.values()
        )

    def _is_stable(self, daemon: SimulatedDaemon, now: float) -> bool:
        """Returns whether a daemon is live and connected to the others."""
        if daemon.is_paused or not daemon.core.configuration.is_ready:
            return False
        if now - max(daemon.started_at, daemon.resumed_at) < STABLE_SECONDS:
            return False
        return all(
            self.network.is_connected(daemon.zone, zone) for zone in self.scenario.zones
        ) and self.network.is_unchanged_since(now - STABLE_SECONDS)

    # Running.

    def run(self) -> SimulationReport:
        """Runs load and faults, waits until the fleet settles, and checks every guarantee."""
        self.clock.run_until(self.ends_at)
        self._settle()
        self.observer.check_online()
        self.observer.check_jobs()
        self._check_publications()
        return self._report()

    def _settle(self) -> None:
        """Waits until requests and accepted jobs are finished and all results were read."""
        settle_deadline = self.clock.now() + MAX_SETTLE_SECONDS
        pending = self._accepted_jobs()
        while (
            pending or self._open_requests() or self._is_network_unsettled()
        ) and self.clock.now() < settle_deadline:
            self.clock.run_until(self.clock.now() + SETTLE_STEP_SECONDS)
            for record in pending:
                self._request_status(record)
            self.clock.run_until(self.clock.now() + SETTLE_STEP_SECONDS)
            pending = [record for record in self._accepted_jobs() if not record.is_read]

    def _request_status(self, record: JobRecord) -> None:
        def read_when_finished(status: str) -> None:
            if status != "running" and not record.is_read:
                self.batch_callers.read_results(record)

        self.batch_callers.request_status(record, lambda view: read_when_finished(view.status))

    def _is_network_unsettled(self) -> bool:
        """Returns whether a network cut lasts or healed too recently to check the daemons."""
        return self.network.has_cuts() or not self.network.is_unchanged_since(
            self.clock.now() - STABLE_SECONDS
        )

    def _open_requests(self) -> bool:
        return any(r.ended_at == float("inf") for r in self.observer.online.values())

    def _accepted_jobs(self) -> list[JobRecord]:
        return [record for record in self.observer.jobs.values() if record.accepted_id]

    def _check_publications(self) -> None:
        """Checks that all live, connected daemons agree with the verdicts operators received."""
        now = self.clock.now()
        if not any(daemon.is_alive for daemon in self.daemons.values()):
            self.observer.record_violation("no daemon is left")
        folds = [
            daemon.core.configuration.fold
            for daemon in self.daemons.values()
            if daemon.is_alive and self._is_stable(daemon, now)
        ]
        if not folds:
            return
        if len({fold.digest() for fold in folds}) > 1:
            self.observer.record_violation("daemons disagree on the configuration")
        accepted = {line.publication.publication_id: line.version for line in folds[0].history}
        for name, verdict in self.operators.verdicts.items():
            if verdict.accepted and accepted.get(name) != verdict.version:
                self.observer.record_violation(f"{name} was told accepted, which it is not")
            if not verdict.accepted and name in accepted:
                self.observer.record_violation(f"{name} was told rejected, yet is in force")

    def _report(self) -> SimulationReport:
        observer = self.observer
        jobs = observer.jobs.values()
        counts = observer.online_counts()
        refused = counts.get("NotRun", 0)
        report = SimulationReport(
            observer.violations,
            sum(len(job.custom_ids) for job in jobs if job.accepted_id),
            sum(1 for job in jobs for r in job.results if r.outcome == "completed"),
            sum(job.refusals for job in jobs),
            len(observer.online) - refused,
            counts.get("Completed", 0),
            refused,
            dict(sorted(observer.faults.items())),
            "",
            {
                "online_outcomes": dict(sorted(counts.items())),
                "batch_cancelled_jobs": sum(1 for job in jobs if job.cancel_requested),
                "log_entries": sum(len(e) for e in self.platform.log.streams.values()),
                "log_bytes": self.platform.log.appended_bytes,
                "batch_yielded": sum(
                    daemon.core.dispatcher.counts.yielded for daemon in self.daemons.values()
                ),
                "waits_behind_batch": observer.waits_behind_batch,
                "longest_wait_behind_batch": round(observer.longest_wait_behind_batch, 3),
                "batch_may_have_run": sum(
                    1 for job in jobs for r in job.results if r.outcome == "may_have_run"
                ),
                "publications_accepted": len(observer.publications_accepted),
            },
        )
        report.digest = self._digest(report)
        return report

    def _digest(self, report: SimulationReport) -> str:
        """Returns a hash of the report and of everything on the log."""
        digest = hashlib.sha256(report.to_json().encode())
        for stream, entries in sorted(self.platform.log.streams.items()):
            digest.update(stream.encode())
            for entry in entries:
                digest.update(entry)
        return digest.hexdigest()


def parse_faults(text: str) -> tuple[str, ...]:
    """Parses `none`, `all`, or a comma-separated list of fault names.

    Raises:
        ValueError: an unknown name.
    """
    if text == "none":
        return ()
    if text == "all":
        return tuple(FAULTS)
    names = tuple(text.split(","))
    for name in names:
        if name not in FAULTS:
            raise ValueError(f"unknown fault {name!r}; known: {', '.join(FAULTS)}")
    return names
