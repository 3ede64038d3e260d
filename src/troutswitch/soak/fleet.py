"""The processes of a soak and the fault-injecting links between them."""

import http.client
import json
import signal
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from troutswitch.common import Address
from troutswitch.platform.names import READINESS_PATH, SETTINGS_VARIABLE
from troutswitch.platform.settings import format_settings
from troutswitch.platform.stand_in_forms import ENGINE_VERSION
from troutswitch.soak.callers import DaemonEndpoint
from troutswitch.soak.clocked_daemon import CLOCK_VARIABLE, PEER_ADDRESS_VARIABLE
from troutswitch.soak.datagram_links import DatagramLinks
from troutswitch.soak.load_kinds import (
    COMPETITION_SLOTS,
    LIGHT_LOAD,
    MEMORY_LIMIT_MB,
    LoadKind,
)
from troutswitch.soak.observations import EngineDeparture, EngineListing, Observations
from troutswitch.soak.operator import SLOTS, Operator
from troutswitch.soak.processes import Child, ProcessGroup
from troutswitch.soak.proxy import Link
from troutswitch.standins.model_engine import BEHAVIOUR_PATH, HEALTH_PATH, Behaviour
from troutswitch.standins.pace import own_percent
from troutswitch.standins.ports import HOST, Ports

CONTROL_TIMEOUT_SECONDS = 2.0
"""Timeout of a control call to a stand-in and of a readiness check."""
START_TIMEOUT_SECONDS = 60.0
"""Timeout for a started process to answer; far longer than a start takes."""
POLL_SECONDS = 0.05
SMALL_READS = {"page_records": 12, "read_kilobytes": 24}
"""Limits of the store's answers with which the jobs of a soak fill several pages of a shard."""
VERSIONS = ("v1", "v2")
"""Software versions of the engines if there are several: neighbours differ, and each restart is at
the other version."""
SERVE_AFTER_DEPARTURE_SECONDS = 10.0
"""Time for which a departed engine keeps serving. It exceeds all bounds on a drain, so that late
requests are observed."""


class FleetStartError(RuntimeError):
    """A process did not answer within `START_TIMEOUT_SECONDS`."""


def http_call(address: Address, method: str, path: str, body: bytes = b"") -> int:
    """Makes an HTTP call and returns its status, or 0 if there is no answer."""
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=CONTROL_TIMEOUT_SECONDS
    )
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


@dataclass(slots=True)
class Daemon:
    """A daemon process, its links, and its addresses that bypass them."""

    child: Child
    readiness_address: Address
    caller_address: Address
    caller_link: Link
    store_link: Link
    clock: Path
    """File with the offset of the daemon's time of day in seconds."""

    def is_ready(self) -> bool:
        """Returns whether the daemon's readiness check succeeds."""
        return http_call(self.readiness_address, "GET", READINESS_PATH) == 200


@dataclass(slots=True)
class Engine:
    """An engine process with a fixed address; each start has a new engine id."""

    child: Child
    address: Address
    link: Link
    journal: Path
    seed: int
    pace_percent: int = 0
    """Its own speed; 0 for an engine that reports no pace."""
    starts: int = 0
    behaviour: Behaviour = field(default_factory=Behaviour)
    is_leaving: bool = False
    versions: tuple[str, ...] = (ENGINE_VERSION,)
    """Software versions that it runs in turn, one in each start."""

    @property
    def engine_id(self) -> str:
        """The engine id of the latest start."""
        return f"{self.child.name}-{self.starts}"

    @property
    def version(self) -> str:
        """The software version of the latest start."""
        return self.versions[self.starts % len(self.versions)]

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Sets the faults that the engine process applies to requests."""
        self.behaviour = behaviour
        fields = {name: getattr(behaviour, name) for name in Behaviour.__slots__}
        http_call(self.address, "POST", BEHAVIOUR_PATH, json.dumps(fields).encode())


class Fleet:
    """Store, engine and daemon processes, and the links through which they are reached."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        daemons: int,
        engines: int,
        load: frozenset[LoadKind] = frozenset(),
    ) -> None:
        self.folder = folder
        self.seed = seed
        self.observations = Observations(time.monotonic())
        self.group = ProcessGroup()
        self.ports = Ports()
        self.links: list[Link] = []
        self.engines: list[Engine] = []
        self.daemons: list[Daemon] = []
        self._process_counts = (daemons, engines)
        self.store_address = Address(HOST, self.ports.reserve())
        self._has_paces = LoadKind.PACES in load
        has_versions = bool(load & {LoadKind.VERSIONS, LoadKind.LONG_ITEMS})
        self._versions = VERSIONS if has_versions else (ENGINE_VERSION,)
        self._store_limits = SMALL_READS if LoadKind.LONG_ITEMS in load else {}
        self.datagrams = DatagramLinks(seed) if LoadKind.DATAGRAMS in load else None
        """The links for datagrams between daemons; None if they are sent directly."""
        self._memory_mb = MEMORY_LIMIT_MB if LoadKind.MEMORY_LIMIT in load else 0
        slots = COMPETITION_SLOTS if LoadKind.COMPETITION in load else SLOTS
        health_path = HEALTH_PATH if self._has_paces else ""
        self.operator = Operator(
            self.store_address,
            slots,
            health_path,
            has_sized_items=LoadKind.SIZED_ITEMS in load,
        )
        self.observations.slots = slots * engines
        self.observations.configurations = self.operator.configurations
        self.observations.is_lightly_loaded = load <= LIGHT_LOAD
        self.observations.memory_limit_mb = self._memory_mb

    def start(self, before_daemons: Callable[[], None] | None = None) -> None:
        """Starts all processes and waits until each daemon is ready.

        Args:
            before_daemons: called when store and engines serve, and before the first daemon starts.

        Raises:
            FleetStartError: a process did not answer in time.
        """
        daemons, engines = self._process_counts
        arguments = ["standin", "store", "--address", str(self.store_address)]
        self.store = self.group.add(self._make_child("store", *arguments))
        limits = json.dumps(self._store_limits).encode()
        self._wait_until(lambda: http_call(self.store_address, "POST", "/faults", limits) == 200)
        self.operator.configure()
        for number in range(engines):
            self._add_engine(number)
        self.operator.list_idle_engines(self.engines[0].address)
        if before_daemons is not None:
            before_daemons()
        for number in range(daemons):
            self._add_daemon(number)
        for daemon in self.daemons:
            self._wait_until(daemon.is_ready)

    def stop(self) -> None:
        """Kills all processes and closes all links."""
        self.operator.stop_requested.set()
        self.group.kill_all()
        for link in self.links:
            link.close()
        if self.datagrams is not None:
            self.datagrams.close()
        self.ports.release_all()

    def endpoints(self) -> list[DaemonEndpoint]:
        """Returns the endpoints at which the links accept callers."""
        return [DaemonEndpoint(d.child.name, d.caller_link.address) for d in self.daemons]

    def direct_endpoints(self) -> list[DaemonEndpoint]:
        """Returns the daemons' own endpoints, which bypass the links."""
        return [DaemonEndpoint(d.child.name, d.caller_address) for d in self.daemons]

    def set_store_faults(self, **faults: Any) -> None:
        """Replaces the faults of the store; without arguments, all faults end."""
        content = json.dumps(self._store_limits | faults).encode()
        http_call(self.store_address, "POST", "/faults", content)

    def configure_in_background(self) -> None:
        """Writes the next configuration on a thread that retries until it is acknowledged."""
        threading.Thread(target=self.operator.configure, daemon=True).start()

    # Engines.

    def start_engine(self, engine: Engine) -> None:
        """Starts an engine under a new id, and lists it once it answers."""
        engine.starts += 1
        engine.is_leaving = False
        engine.behaviour = Behaviour()
        engine.child.arguments = self._engine_arguments(engine)
        self.observations.engine_versions[engine.engine_id] = engine.version
        engine.child.start()
        self._list_in_background(engine, engine.engine_id)

    def daemon_logs(self) -> list[Path]:
        """Returns the files to which the daemons log."""
        return [daemon.child.log for daemon in self.daemons]

    def drain_engine(self, engine: Engine) -> None:
        """Lists an engine as draining; it is killed after a while."""
        self._remove_in_background(engine, is_announced=True)

    def remove_engine_unannounced(self, engine: Engine) -> None:
        """Removes an engine's record without a drain; it is killed after a while."""
        self._remove_in_background(engine, is_announced=False)

    def _remove_in_background(self, engine: Engine, is_announced: bool) -> None:
        if engine.is_leaving:
            return
        engine.is_leaving = True
        arguments = (engine, engine.engine_id, is_announced)
        threading.Thread(target=self._remove_engine, args=arguments, daemon=True).start()

    def _remove_engine(self, engine: Engine, engine_id: str, is_announced: bool) -> None:
        if is_announced:
            version = self.observations.engine_versions[engine_id]
            is_acknowledged = self.operator.list_engine(
                engine_id, engine.link.address, is_draining=True, version=version
            )
        else:
            is_acknowledged = self.operator.unlist_engine(engine_id)
        if not is_acknowledged:
            return
        self.observations.departures.append(EngineDeparture(engine_id, time.monotonic()))
        time.sleep(SERVE_AFTER_DEPARTURE_SECONDS)
        if engine.engine_id == engine_id:
            engine.child.signal(signal.SIGKILL)

    def unlist_in_background(self, engine_id: str) -> None:
        """Removes the record of an engine that has exited, on a thread."""
        arguments = (engine_id,)
        threading.Thread(target=self.operator.unlist_engine, args=arguments, daemon=True).start()

    def _list_in_background(self, engine: Engine, engine_id: str) -> None:
        def list_when_answering() -> None:
            try:
                self._wait_until(
                    lambda: http_call(engine.address, "POST", BEHAVIOUR_PATH, b"{}") == 200
                )
            except FleetStartError:
                if not self.operator.stop_requested.is_set():
                    raise
                return  # the soak ended while the engine started
            version = self.observations.engine_versions[engine_id]
            if self.operator.list_engine(engine_id, engine.link.address, version=version):
                self.observations.listings.append(EngineListing(engine_id, time.monotonic()))

        threading.Thread(target=list_when_answering, daemon=True).start()

    def _add_engine(self, number: int) -> None:
        name = f"server-{number}"
        address = Address(HOST, self.ports.reserve())
        link = self._add_link(address, refuses_with_target=True)
        journal = self.folder / f"{name}.journal"
        journal.touch()
        engine = Engine(self._make_child(name), address, link, journal, self.seed + number)
        engine.pace_percent = own_percent(number) if self._has_paces else 0
        engine.starts = 1
        engine.versions = self._versions[number % 2 :] + self._versions[: number % 2]
        engine.child.arguments = self._engine_arguments(engine)
        self.observations.engine_versions[engine.engine_id] = engine.version
        self.engines.append(engine)
        self.group.add(engine.child)
        self._wait_until(lambda: http_call(address, "POST", BEHAVIOUR_PATH, b"{}") == 200)
        self.operator.list_engine(engine.engine_id, link.address, version=engine.version)

    def _engine_arguments(self, engine: Engine) -> list[str]:
        return [
            *(sys.executable, "-m", "troutswitch.cli", "standin", "server"),
            *("--address", str(engine.address), "--id", engine.engine_id),
            *("--journal", str(engine.journal), "--seed", str(engine.seed + engine.starts)),
            *("--pace", str(engine.pace_percent), "--slots", str(self.operator.slots)),
        ]

    # Daemons.

    def _add_daemon(self, number: int) -> None:
        name = f"daemon-{number}"
        caller_port, readiness_port, peer_port, metrics_port = (
            self.ports.reserve() for _ in range(4)
        )
        store_link = self._add_link(self.store_address)
        settings = self.folder / f"{name}.toml"
        clock = self.folder / f"{name}.clock"
        clock.write_text("0.0")
        settings.write_text(
            format_settings(
                name,
                HOST,
                caller_port,
                readiness_port,
                (peer_port, metrics_port),
                store_link.address,
                self._memory_mb,
            )
        )
        child = Child(
            name,
            [sys.executable, "-m", "troutswitch.soak.clocked_daemon"],
            self.folder / f"{name}.log",
            {
                SETTINGS_VARIABLE: str(settings),
                CLOCK_VARIABLE: str(clock),
                PEER_ADDRESS_VARIABLE: self._relay_address(name, peer_port),
            },
        )
        caller_address = Address(HOST, caller_port)
        daemon = Daemon(
            child,
            Address(HOST, readiness_port),
            caller_address,
            self._add_link(caller_address),
            store_link,
            clock,
        )
        self.daemons.append(daemon)
        self.group.add(child)

    def _relay_address(self, name: str, peer_port: int) -> str:
        """Returns the address that a daemon advertises to others; empty for its own."""
        if self.datagrams is None:
            return ""
        return str(self.datagrams.add(name, Address(HOST, peer_port)))

    # Helpers.

    def _make_child(self, name: str, *arguments: str) -> Child:
        command = [sys.executable, "-m", "troutswitch.cli", *arguments]
        return Child(name, command, self.folder / f"{name}.log")

    def _add_link(self, target: Address, refuses_with_target: bool = False) -> Link:
        link = Link(target, refuses_with_target)
        self.links.append(link)
        return link

    def _wait_until(self, condition: Any) -> None:
        until = time.monotonic() + START_TIMEOUT_SECONDS
        while not condition():
            if time.monotonic() > until or self.operator.stop_requested.is_set():
                raise FleetStartError("a process does not answer")
            time.sleep(POLL_SECONDS)
