"""One daemon: its loop, executors and listeners."""

import os
import time

import structlog

from troutswitch.common import Address
from troutswitch.standalone.callers.batch_app import BatchApplication
from troutswitch.standalone.callers.context import CallerContext
from troutswitch.standalone.callers.online_app import OnlineApplication
from troutswitch.standalone.daemons.messages import Sealer
from troutswitch.standalone.decisions.daemon import DaemonCore, DaemonIdentity
from troutswitch.standalone.decisions.events import DrainRequested
from troutswitch.standalone.log_service.client import LogClient
from troutswitch.standalone.machine_list.client import MachineListClient
from troutswitch.standalone.operators.app import OperatorApplication
from troutswitch.standalone.runtime.effects import EffectRunner
from troutswitch.standalone.runtime.http_server import HttpServer
from troutswitch.standalone.runtime.loop import Clock, Loop, PeerSocket
from troutswitch.standalone.runtime.metrics import DaemonMetrics
from troutswitch.standalone.runtime.settings import DaemonSettings

BATCH_CALL_THREADS = 16
OPERATOR_THREADS = 8
FINAL_FLUSH_SECONDS = 1.0
"""Time after the drain to send the last bytes."""


class DaemonServer:
    """A daemon with its sockets."""

    def __init__(
        self, settings: DaemonSettings, logger: structlog.typing.FilteringBoundLogger
    ) -> None:
        self.settings = settings
        self.failure: BaseException | None = None
        self._logger = logger
        clock = Clock()
        sealer = Sealer(settings.fleet_key.encode())
        self.peers = PeerSocket(Address.parse(settings.peers_address), sealer, clock)
        self.core = DaemonCore(self._identity())
        platform = Address.parse(settings.platform_address)
        self.runner = EffectRunner(
            self.peers,
            LogClient(platform),
            MachineListClient(platform),
            settings.batch_threads,
            logger,
        )
        self.loop = Loop(self.core, self.peers, clock, self.runner.execute, self._on_failure)
        self.runner.set_post(self.loop.post)
        context = CallerContext(self.core.writer.writer, self.runner, self.loop.post, clock.now)
        metrics = DaemonMetrics(self.core, lambda: self.loop.busy_seconds)
        online = OnlineApplication(context, metrics.registry, metrics.count_outcome)
        self.callers = self._listen(
            online, settings.callers_address, settings.online_threads, "callers"
        )
        self.batch = self._listen(
            BatchApplication(context), settings.batch_address, BATCH_CALL_THREADS, "batch-callers"
        )
        self.operators = self._listen(
            OperatorApplication(context), settings.operators_address, OPERATOR_THREADS, "operators"
        )

    def _identity(self) -> DaemonIdentity:
        settings = self.settings
        return DaemonIdentity(
            settings.name,
            settings.zone,
            self.peers.address,
            int(time.time() * 1000),
            int.from_bytes(os.urandom(8), "big"),
            settings.shard_count,
            tuple(Address.parse(seed) for seed in settings.seeds),
        )

    def _listen(self, application: object, address: str, threads: int, name: str) -> HttpServer:
        return HttpServer(application, Address.parse(address), threads, name)  # type: ignore[arg-type]

    def start(self) -> None:
        """Starts the loop and the listeners."""
        self.loop.start()
        for server in (self.callers, self.batch, self.operators):
            server.start()
        self._logger.info(
            "daemon started",
            zone=self.settings.zone,
            callers=str(self.callers.address),
            batch=str(self.batch.address),
            operators=str(self.operators.address),
            peers=str(self.peers.address),
        )

    def _on_failure(self, error: BaseException) -> None:
        """Ends the daemon after a broken invariant or another exception in the loop.

        Its successor rebuilds all state from the log.
        """
        self.failure = error
        self._logger.error("loop failed", step="loop", peer="", error=repr(error))
        self.runner.drained.set()

    def drain(self) -> None:
        """Starts a planned stop.

        `/readyz` fails immediately; new requests are refused after the grace time.
        """
        self._logger.info("drain asked")
        self.runner.is_stopping = True
        time.sleep(self.settings.drain_grace_seconds)
        self.loop.post(DrainRequested())

    def wait_drained(self, timeout: float | None = None) -> bool:
        """Waits until the drain is finished; returns whether it is."""
        return self.runner.drained.wait(timeout)

    def stop(self) -> None:
        """Closes the listeners and stops the loop."""
        time.sleep(FINAL_FLUSH_SECONDS if self.core.is_drained else 0.0)
        for server in (self.callers, self.batch, self.operators):
            server.stop()
        self.loop.stop()
        self.runner.stop()
        self.peers.close()
        self._logger.info("daemon stopped")
