"""A fleet of separate processes on loopback, for tests that kill, pause and stop them."""

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import IO, Any

from tests.ports import HOST, Ports
from troutswitch.common import Address
from troutswitch.standalone.decisions.events import Machine
from troutswitch.standalone.machine_list.client import MachineListClient

SERVICE = "test-lm"
TIMEOUT_SECONDS = 60.0
"""Timeout of any wait, far above the usual time; no test asserts a duration."""


def wait_until(condition: Callable[[], bool], description: str) -> None:
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.1)
    raise AssertionError(f"timed out: {description}")


@dataclass
class DaemonProcess:
    name: str
    callers: Address
    batch: Address
    operators: Address
    process: "subprocess.Popen[bytes]"

    def is_ready(self) -> bool:
        try:
            if call(self.callers, "GET", "/readyz")[0] != 200:
                return False
            models = json.loads(call(self.callers, "GET", "/v1/models")[1])
        except OSError:
            return False
        return bool(models["data"])

    def has_discovered(self, engines: Iterable[str], daemons: Iterable[str]) -> bool:
        status = json.loads(call(self.operators, "GET", "/status")[1])
        alive = {row["name"] for row in status["members"] if row["state"] == "alive"}
        return alive >= set(daemons) and {row["name"] for row in status["engines"]} >= set(engines)

    def signal(self, number: int) -> None:
        os.kill(self.process.pid, number)


def call(
    address: Address, method: str, path: str, body: object = None, headers: Any = None
) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(address.host, address.port, timeout=60)
    try:
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


@dataclass
class Fleet:
    ports: Ports = field(default_factory=Ports)
    platform: Address = field(init=False)
    processes: list["subprocess.Popen[bytes]"] = field(default_factory=list)
    daemons: dict[str, DaemonProcess] = field(default_factory=dict)
    engines: dict[str, Address] = field(default_factory=dict)
    errors: IO[bytes] = field(default_factory=tempfile.TemporaryFile)

    def __post_init__(self) -> None:
        self.platform = self.allocate_address()

    def allocate_address(self) -> Address:
        return Address(HOST, self.ports.reserve())

    def log_lines(self) -> list[dict[str, Any]]:
        self.errors.seek(0)
        lines = self.errors.read().splitlines()
        return [json.loads(line) for line in lines if line.startswith(b"{")]

    def spawn(self, *arguments: str) -> "subprocess.Popen[bytes]":
        process = subprocess.Popen(
            [sys.executable, "-m", "troutswitch.cli", *arguments],
            stderr=self.errors,
            stdout=subprocess.DEVNULL,
        )
        self.processes.append(process)
        return process

    def start(self, daemons: int = 2, engines: int = 2) -> "Fleet":
        self.spawn("standin", "platform", "--address", str(self.platform), "--list-lag", "0.2")
        platform = MachineListClient(self.platform)
        wait_until(lambda: platform.read() is not None, "platform is up")
        for number in range(engines):
            self.start_engine(f"engine-{number}")
        for number in range(daemons):
            self.start_daemon(f"daemon-{number}")
        self.wait_ready()
        return self

    def start_engine(self, name: str) -> None:
        address = self.allocate_address()
        self.engines[name] = address
        arguments = ["--address", str(address), "--name", name, "--zone", "north"]
        platform = ["--service", SERVICE, "--platform", str(self.platform)]
        self.spawn("standin", "engine", *arguments, *platform)

    def start_daemon(self, name: str) -> DaemonProcess:
        callers, batch, operators, peers = (self.allocate_address() for _ in range(4))
        process = self.spawn(
            "daemon",
            *("--name", name, "--zone", "north", "--fleet-key", "test-fleet-key"),
            *("--callers-address", str(callers), "--batch-address", str(batch)),
            *("--operators-address", str(operators), "--peers-address", str(peers)),
            *("--platform-address", str(self.platform), "--shard-count", "2"),
            *("--online-threads", "32", "--batch-threads", "16"),
            *("--drain-grace-seconds", "0.5"),
        )
        machine = Machine(name, "daemon", peers, "north")
        client = MachineListClient(self.platform)
        wait_until(lambda: client.register(machine), "platform is up")
        self.daemons[name] = DaemonProcess(name, callers, batch, operators, process)
        return self.daemons[name]

    def wait_ready(self) -> None:
        for daemon in self.daemons.values():
            wait_until(daemon.is_ready, f"{daemon.name} is ready")
        for daemon in self.daemons.values():
            knows_all = partial(daemon.has_discovered, self.engines, self.daemons)
            wait_until(knows_all, f"{daemon.name} knows all engines and daemons")

    def set_faults(self, address: Address, **plan: object) -> None:
        assert call(address, "POST", "/faults", plan)[0] == 200

    def submit(self, daemon: DaemonProcess, items: int, key: str = "") -> tuple[int, Any]:
        lines = [
            json.dumps(
                {
                    "custom_id": f"item-{number}",
                    "body": {"model": SERVICE, "prompt": f"photo {number}", "max_tokens": 8},
                }
            )
            for number in range(items)
        ]
        headers = {"Idempotency-Key": key} if key else {}
        status, body = call(daemon.batch, "POST", "/v1/batches", "\n".join(lines).encode(), headers)
        return status, json.loads(body)

    def job(self, daemon: DaemonProcess, job_id: str) -> Any:
        status, body = call(daemon.batch, "GET", f"/v1/batches/{job_id}")
        return json.loads(body) if status == 200 else {"status": f"http {status}"}

    def wait_completed(self, daemon: DaemonProcess, job_id: str) -> None:
        wait_until(
            lambda: self.job(daemon, job_id)["status"] == "completed", f"{job_id} is completed"
        )

    def result_names(self, daemon: DaemonProcess, job_id: str) -> list[str]:
        status, body = call(daemon.batch, "GET", f"/v1/files/{job_id}/content")
        assert status == 200, body
        return [json.loads(line)["custom_id"] for line in body.splitlines()]

    def stop(self) -> None:
        """Kills all processes and prints their logs, which pytest shows for a failed test."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.errors.seek(0)
        print(self.errors.read().decode(errors="replace"))
        self.errors.close()
        self.ports.release_all()
