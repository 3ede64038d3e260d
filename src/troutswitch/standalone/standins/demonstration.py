"""A small fleet in one process on loopback, with a mixed load."""

import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from troutswitch.common import Address
from troutswitch.standalone.decisions.events import Machine
from troutswitch.standalone.runtime.http_client import HttpError, ThreadLocalConnections
from troutswitch.standalone.runtime.server import DaemonServer
from troutswitch.standalone.runtime.settings import DaemonSettings
from troutswitch.standalone.standins.engine import EngineStandin
from troutswitch.standalone.standins.load_generator import LoadPlan, LoadReport, quantile, run_load
from troutswitch.standalone.standins.platform import PlatformStandin

ANY_PORT = "127.0.0.1:0"
SERVICE = "demo-lm"
ZONES = ("north", "south")
READY_SECONDS = 20.0
SETTLE_SECONDS = 30.0
BATCH_ITEMS = 60
ONLINE_STREAMS = 12
ONLINE_TOKENS = 24


@dataclass
class DemonstrationReport:
    """Results of the online and batch load."""

    online: LoadReport
    batch_accepted: int = 0
    batch_completed: int = 0
    batch_errors: int = 0

    def summary(self) -> dict[str, object]:
        """Returns the results as one flat object."""
        return {
            "online_completed": self.online.completed,
            "online_refused": self.online.refused,
            "batch_accepted": self.batch_accepted,
            "batch_completed": self.batch_completed,
            "errors": len(self.online.errors) + self.batch_errors,
            "first_token_p95_ms": round(quantile(self.online.first_token, 0.95) * 1000, 1),
            "gap_p95_ms": round(quantile(self.online.gaps, 0.95) * 1000, 1),
        }


class Demonstration:
    """Platform, engines and daemons in one process."""

    def __init__(self, daemons: int, engines: int) -> None:
        any_port = Address.parse(ANY_PORT)
        self.platform = PlatformStandin(any_port, list_lag_seconds=0.0)
        self.engines = [
            EngineStandin(any_port, f"engine-{number}", SERVICE) for number in range(engines)
        ]
        self.daemons = [self._make_daemon(number) for number in range(daemons)]
        self._pool = ThreadLocalConnections(30.0)

    def _make_daemon(self, number: int) -> DaemonServer:
        settings = DaemonSettings(
            name=f"daemon-{number}",
            zone=ZONES[number % len(ZONES)],
            callers_address=ANY_PORT,
            batch_address=ANY_PORT,
            operators_address=ANY_PORT,
            peers_address=ANY_PORT,
            platform_address=str(self.platform.address),
            fleet_key="demonstration",
            shard_count=4,
            online_threads=64,
            batch_threads=32,
            drain_grace_seconds=0.0,
        )
        return DaemonServer(settings, structlog.get_logger())

    def start(self) -> None:
        """Starts all servers and waits until the daemons are ready."""
        self.platform.start()
        now = time.time()
        for number, engine in enumerate(self.engines):
            engine.start()
            zone = ZONES[number % len(ZONES)]
            self.platform.machines.put(
                now,
                Machine(engine.name, "engine", engine.address, zone, SERVICE, engine.incarnation),
            )
        for daemon in self.daemons:
            settings = daemon.settings
            machine = Machine(settings.name, "daemon", daemon.peers.address, settings.zone)
            self.platform.machines.put(now, machine)
        for daemon in self.daemons:
            daemon.start()
        self._wait_ready()

    def _wait_ready(self) -> None:
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            directories = [daemon.runner.directory for daemon in self.daemons]
            if all(d.is_ready and SERVICE in d.services for d in directories):
                return
            time.sleep(0.05)
        raise TimeoutError("the daemons did not become ready")

    def run(self, seconds: float, show: Callable[[str], None] | None) -> DemonstrationReport:
        """Submits one batch job, sends online streams for `seconds`, and waits for both."""
        report = DemonstrationReport(LoadReport())
        job_id = self._submit(report)
        online = threading.Thread(target=self._send_online, args=(report, seconds))
        online.start()
        deadline = time.monotonic() + seconds + SETTLE_SECONDS
        while time.monotonic() < deadline:
            report.batch_completed = self._completed(job_id)
            if show is not None:
                show(f"online {report.online.completed:>4}  batch {report.batch_completed:>4}")
            if not online.is_alive() and report.batch_completed >= report.batch_accepted:
                break
            time.sleep(0.5)
        online.join()
        self._check_results(job_id, report)
        return report

    def _send_online(self, report: DemonstrationReport, seconds: float) -> None:
        targets = tuple(daemon.callers.address for daemon in self.daemons)
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            plan = LoadPlan(targets, SERVICE, ONLINE_STREAMS, ONLINE_TOKENS, 1, 0.5)
            round_report = run_load(plan)
            report.online.completed += round_report.completed
            report.online.refused += round_report.refused
            report.online.errors.extend(round_report.errors)
            report.online.first_token.extend(round_report.first_token)
            report.online.gaps.extend(round_report.gaps)

    def _submit(self, report: DemonstrationReport) -> str:
        lines = [
            {
                "custom_id": f"item-{number}",
                "body": {"model": SERVICE, "prompt": f"photograph {number}", "max_tokens": 32},
            }
            for number in range(BATCH_ITEMS)
        ]
        body = "\n".join(json.dumps(line) for line in lines).encode()
        try:
            status, answer = self._pool.call(
                self.daemons[0].batch.address, "POST", "/v1/batches", body
            )
        except HttpError:
            report.batch_errors += 1
            return ""
        if status != 200:
            report.batch_errors += 1
            return ""
        report.batch_accepted = BATCH_ITEMS
        return str(json.loads(answer)["id"])

    def _completed(self, job_id: str) -> int:
        """Returns the completed items, read from a daemon that did not accept the job."""
        try:
            status, answer = self._pool.call(
                self.daemons[-1].batch.address, "GET", f"/v1/batches/{job_id}"
            )
        except HttpError:
            return 0
        return int(json.loads(answer)["request_counts"]["completed"]) if status == 200 else 0

    def _check_results(self, job_id: str, report: DemonstrationReport) -> None:
        status, answer = self._pool.call(
            self.daemons[-1].batch.address, "GET", f"/v1/files/{job_id}/content"
        )
        names = [json.loads(line)["custom_id"] for line in answer.splitlines()]
        if status != 200 or sorted(names) != sorted(set(names)):
            report.batch_errors += 1
        report.batch_errors += abs(len(names) - report.batch_accepted)

    def stop(self) -> None:
        """Stops all servers."""
        for daemon in self.daemons:
            daemon.stop()
        for engine in self.engines:
            engine.stop()
        self.platform.stop()
