"""One gateway daemon as a process: start, planned stop and reload."""

import os
import random
import signal
import threading
import time
from collections.abc import Iterable
from dataclasses import fields, replace

import structlog

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.decisions.gateway import GatewayCore
from troutswitch.decisions.gateway_messages import (
    BoundsChanged,
    DrainRequested,
    GatewayIdentity,
    LimitsChanged,
)
from troutswitch.decisions.jobs.records import StoreLimits
from troutswitch.decisions.policies import Policies
from troutswitch.gateway.callers.application import CallerApplication
from troutswitch.gateway.callers.job_calls import JobCalls
from troutswitch.gateway.callers.listener import HttpListener
from troutswitch.gateway.callers.relay_registry import Relays
from troutswitch.gateway.callers.stop_gate import StopGate
from troutswitch.gateway.daemons.peer_socket import PeerSocket
from troutswitch.gateway.daemons.peer_state import PEER_STATE_PATH, answer_peer, request_peer_state
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.gateway.engines.exchange import EngineConnections
from troutswitch.gateway.engines.item_runs import ItemRuns
from troutswitch.gateway.instruction_executor import InstructionExecutor
from troutswitch.gateway.loop import GatewayLoop
from troutswitch.gateway.metrics import CONTENT_TYPE, GatewayMetrics
from troutswitch.gateway.settings import GatewaySettings
from troutswitch.platform.configuration import PlatformFormats
from troutswitch.platform.names import READINESS_PATH
from troutswitch.platform.requests import Environ
from troutswitch.platform.store import StoreClient
from troutswitch.runtime.http import Response, StartResponse, send

CALLER_THREADS = 96
"""Requests in progress at once; more wait unread."""
READINESS_THREADS = 1
INTERNAL_THREADS = 2
METRICS_PATH = "/metrics"
CONNECTIONS_MOST = 2000
STAY_SECONDS = 3.2
"""Time a stopping daemon stays for callers that do not know yet that it is not ready."""
STOP_RESERVE_SECONDS = 0.6
"""Part of the grace time that is left at the end."""
LOOK_SECONDS = 0.05
FLUSH_SECONDS = 0.1
"""Time for the last answers, which the engine holds already, to reach their sockets."""


class GatewayProcess:
    """Listeners, loop and executors of one gateway daemon."""

    def __init__(
        self,
        settings: GatewaySettings,
        logger: structlog.typing.FilteringBoundLogger,
        policies: Policies,
    ) -> None:
        self.settings = settings
        self.failure: BaseException | None = None
        self._logger = logger
        self._relays = Relays(self._post)
        self._connections = EngineConnections(self._on_doubt)
        store = StoreClient(settings.store.address)
        store.connections.on_doubt = lambda closed: self._on_doubt("store", closed)
        peer_address = Address(settings.peer_host, settings.peer_ports[0])
        self._peers = PeerSocket(peer_address, self._post)
        self._engine_activity = EngineActivityReporter(self._post)
        identity = GatewayIdentity(
            settings.name,
            settings.zone,
            self._peers.address,
            settings.bounds.drain,
            settings.bounds.configuration_apply,
            settings.store.member_ttl_least,
            settings.bounds.job_kept,
            StoreLimits(
                settings.store.record_bytes, settings.store.call_bytes, settings.store.partitions
            ),
            settings.store.reads_per_second,
            settings.bounds.quota,
        )
        rng = random.Random(os.urandom(8))
        self.core = GatewayCore(identity, PlatformFormats(), rng, policies)
        self._jobs = JobCalls(self.core.routes, self._post)
        items = ItemRuns(self._connections, self._post, self._engine_activity, logger)
        self.runner = InstructionExecutor(
            self._relays,
            self._connections,
            store.call,
            items,
            self._jobs.answer,
            self._peers.send,
            lambda ask: request_peer_state(settings.peer_ports[1], ask),
            logger,
        )
        self.loop = GatewayLoop(self.core, self.runner.carry_out, self._on_failure)
        self.runner.set_post(self.loop.post)
        self.runner.set_limits = self._set_limits
        self._metrics = GatewayMetrics(self.core)
        self.runner.on_line = self._metrics.on_line
        self._internal = self._make_internal()
        self._gate: StopGate | None = None
        self._callers = self._make_callers()
        self._readiness = self._make_readiness()

    def _make_callers(self) -> HttpListener | None:
        if self.settings.callers is None:
            return None
        application = CallerApplication(
            self._relays, self._connections, self._post, self._engine_activity, self._jobs.handle
        )
        self._gate = StopGate(application)
        return HttpListener(
            self._gate,
            self.settings.callers,
            CALLER_THREADS,
            "callers",
            CONNECTIONS_MOST,
            self._relays.caller_watch.before_close,
            application.on_unserved,
        )

    def _make_readiness(self) -> HttpListener | None:
        if self.settings.readiness is None:
            return None
        return HttpListener(
            self._answer_readiness,
            self.settings.readiness,
            READINESS_THREADS,
            "readiness",
            CONNECTIONS_MOST,
        )

    def _make_internal(self) -> HttpListener | None:
        """Makes the listener for metrics and peers, at the last of the daemons' ports."""
        first, last = self.settings.peer_ports
        if last <= first:
            return None
        address = Address(self.settings.peer_host, last)
        return HttpListener(
            self._answer_internal, address, INTERNAL_THREADS, "internal", CONNECTIONS_MOST
        )

    def _answer_internal(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        if environ.get("PATH_INFO") == PEER_STATE_PATH:
            return answer_peer(self.core.share_state, environ, start_response)
        if environ.get("PATH_INFO") != METRICS_PATH:
            return send(Response(404, b"", "text/plain"), start_response)
        return send(Response(200, self._metrics.text(), CONTENT_TYPE), start_response)

    def _answer_readiness(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        is_known = environ.get("PATH_INFO") == READINESS_PATH
        status = (200 if self.core.is_ready else 503) if is_known else 404
        return send(Response(status, b"", "text/plain"), start_response)

    def _post(self, event: object) -> None:
        self.loop.post(event)

    def _on_doubt(self, peer: str, closed: int) -> None:
        self._logger.info("connections doubted", peer=peer, closed=closed)

    def _set_limits(self, change: LimitsChanged) -> None:
        if self._callers is not None:
            self._callers.set_limits(change.limits)

    def _on_failure(self, error: BaseException) -> None:
        self.failure = error
        self._logger.error("loop failed", error=f"{type(error).__name__}: {error}")

    def start(self) -> None:
        """Starts listeners and loop."""
        self.loop.start()
        self._relays.caller_watch.start()
        self._peers.start()
        for server in (self._readiness, self._callers, self._internal):
            if server is not None:
                server.start()
        self._logger.info("daemon started", zone=self.settings.zone)

    def reload(self, settings: GatewaySettings) -> None:
        """Puts changed bounds in force; any other change needs a restart, and is logged."""
        before, self.settings = self.settings, replace(self.settings, bounds=settings.bounds)
        if before.bounds != settings.bounds:
            bounds = settings.bounds
            self.loop.post(BoundsChanged(bounds.drain, bounds.configuration_apply, bounds.job_kept))
        others = [
            field.name
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        self._logger.info("settings read again", need_restart=others)

    def drain(self) -> None:
        """Stops as planned: not ready at once, everything taken in is finished."""
        began = steady_seconds()
        end = began + self.settings.bounds.grace - STOP_RESERVE_SECONDS
        self.loop.post(DrainRequested())
        if self._callers is not None:
            self._callers.drain()
        while steady_seconds() < end:
            if steady_seconds() - began >= STAY_SECONDS and self._is_finished():
                time.sleep(FLUSH_SECONDS)
                break
            time.sleep(LOOK_SECONDS)
        left = self._relays.count
        self._logger.info("daemon stopped", seconds=steady_seconds() - began, unfinished=left)

    def _is_finished(self) -> bool:
        """Lets no more callers in, and tells whether nothing is left to do."""
        if self._gate is not None:
            self._gate.close()
        inside = self._gate.inside if self._gate is not None else 0
        return inside + self._relays.count + self._jobs.count == 0

    def stop(self) -> None:
        """Ends loop and executors."""
        self.loop.stop()
        self.runner.stop()


class Signals:
    """Signals of the platform, taken before anything else is done."""

    def __init__(self) -> None:
        self.stop_asked = threading.Event()
        self.reload_asked = threading.Event()
        self._woken = threading.Event()
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGINT, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)

    def _on_stop(self, number: int, frame: object) -> None:
        self.stop_asked.set()
        self._woken.set()

    def _on_reload(self, number: int, frame: object) -> None:
        self.reload_asked.set()
        self._woken.set()

    def wait(self, seconds: float) -> None:
        """Waits for a signal, up to some seconds."""
        self._woken.wait(seconds)
        self._woken.clear()
