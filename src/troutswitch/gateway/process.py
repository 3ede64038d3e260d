"""A gateway daemon as a process: start, planned stop and reload of its settings.

It creates and owns the listeners, the loop, the executors and the connections, and connects them by
one queue of events. `GatewayCore` makes all decisions.
"""

import os
import queue
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import fields, replace
from functools import partial

import structlog

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.gateway import GatewayCore
from troutswitch.decisions.gateway_interface import GatewayEvent
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
from troutswitch.gateway.callers.relay_registry import RelayRegistry
from troutswitch.gateway.callers.stop_gate import StopGate
from troutswitch.gateway.callers.unread_answers import UnreadAnswers
from troutswitch.gateway.daemons.peer_socket import PeerSocket
from troutswitch.gateway.daemons.peer_state import PEER_STATE_PATH, answer_peer, request_peer_state
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.gateway.engines.item_runs import ItemRuns
from troutswitch.gateway.instruction_executor import Executors, InstructionExecutor
from troutswitch.gateway.loop import GatewayLoop
from troutswitch.gateway.memory.account import MemoryAccount
from troutswitch.gateway.memory.limits import memory_limits
from troutswitch.gateway.memory.pressure import Kind
from troutswitch.gateway.metrics import CONTENT_TYPE, GatewayMetrics
from troutswitch.gateway.settings import GatewaySettings
from troutswitch.gateway.unexpected_errors import UnexpectedErrors, error_fields
from troutswitch.platform.configuration import PlatformFormats
from troutswitch.platform.names import READINESS_PATH
from troutswitch.platform.requests import Environ
from troutswitch.platform.store import StoreClient
from troutswitch.runtime.http import Response, StartResponse, send

CALLER_THREADS = 256
"""Maximum number of callers' requests in progress; further ones wait, and no decision sees them.
Most new connections of a zone may go to one daemon. Threads are started on demand."""
READINESS_THREADS = 1
INTERNAL_THREADS = 2
METRICS_PATH = "/metrics"
DROPPED_DATAGRAM_LOG_SECONDS = 10.0
"""Minimum time between log lines about dropped datagrams; all are counted in the metrics."""
MAX_CONNECTIONS = 2000
"""Maximum number of open connections to each listener."""
MIN_DRAIN_SECONDS = 2.9
"""Minimum time for which a stopping daemon serves callers that still consider it ready. A request
that arrives later than 3 s after the start of a stop must not be cut at its end, however long it
runs."""
STOP_RESERVE_SECONDS = 0.6
"""Part of the grace period reserved for the termination of the process."""
DRAIN_POLL_SECONDS = 0.05
"""Interval between checks whether a stopping daemon has completed its requests."""
FAILURE_GRACE_SECONDS = 2.0
"""Time for which answers that need no decision go on after the loop has failed. Other daemons use
its slots after as long, and it is to start anew soon."""
ABORT_SECONDS = 0.5
"""Time for the answers to callers whose requests are aborted then."""
MAX_CUT_ANSWERS_LOGGED = 20
"""Maximum number of answers cut by a stop that are logged one by one; all are counted."""


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
        """The error that ended the loop."""
        self._failed_at = 0.0
        self.lost_thread = ""
        """Name of a thread that keeps failing; the process is to stop, as it needs each of them."""
        self._logger = logger
        self._errors = UnexpectedErrors(
            logger, lambda step: self._metrics.count_unexpected_error(step)
        )
        events: queue.SimpleQueue[GatewayEvent] = queue.SimpleQueue()
        self._post: Callable[[GatewayEvent], None] = events.put
        self._relays = RelayRegistry(self._post, self._errors, self._on_thread_lost)
        self._connections = EngineConnections(
            self._on_suspect_connections,
            lambda use, is_new: self._metrics.count_connection(use, is_new),
        )
        self._peers = PeerSocket(
            Address(settings.peer_host, settings.peer_ports[0]),
            self._post,
            self._on_dropped_datagram,
            self._errors,
            self._on_thread_lost,
        )
        self._dropped_datagram_logged_at = float("-inf")
        self._engine_activity = EngineActivityReporter(
            self._post, lambda: self._metrics.count_unreadable_load()
        )
        self._memory = MemoryAccount(memory_limits(settings.memory_bytes), self._log_memory)
        identity = _identity(settings, self._peers.address)
        rng = random.Random(os.urandom(8))
        self.core = GatewayCore(identity, PlatformFormats(), rng, policies)
        if self._memory.is_limited:
            self._memory.observe(Kind.ITEMS, lambda: self.core.jobs.replicas.held_bytes)
        self._jobs = JobCalls(self.core.routes, self._post, self._memory, self._errors)
        self._metrics = GatewayMetrics(
            self.core,
            lambda: self._executor.blocking_calls,
            self._memory,
            self._unread_answers,
        )
        self._internal = self._make_internal()
        self._gate: StopGate | None = None
        self._callers = self._make_callers()
        self._readiness = self._make_readiness()
        self._executor = InstructionExecutor(
            self._make_executors(), self._post, logger, self._errors
        )
        self.loop = GatewayLoop(self.core, events, self._executor.execute, self._on_failure)

    @property
    def is_broken(self) -> bool:
        """Whether the process is to end, as its loop or a thread that it needs has failed."""
        return self.failure is not None or bool(self.lost_thread)

    def _on_dropped_datagram(self, reason: str, host: str) -> None:
        """Counts a dropped datagram; logs one at most each `DROPPED_DATAGRAM_LOG_SECONDS`."""
        self._metrics.count_dropped_datagram()
        now = steady_seconds()
        if now >= self._dropped_datagram_logged_at + DROPPED_DATAGRAM_LOG_SECONDS:
            self._dropped_datagram_logged_at = now
            self._logger.warning("peer datagram dropped", reason=reason, host=host)

    def _make_executors(self) -> Executors:
        store = StoreClient(
            self.settings.store.address, partial(self._on_suspect_connections, "store")
        )
        items = ItemRuns(
            self._connections, self._post, self._engine_activity, self._logger, self._errors
        )
        return Executors(
            relays=self._relays,
            connections=self._connections,
            items=items,
            call_store=store.call,
            request_peer_state=partial(request_peer_state, self.settings.peer_ports[1]),
            send_to_peers=self._peers.send,
            answer_job=self._jobs.answer,
            set_limits=self._set_limits,
            count_log_line=self._metrics.on_log_line,
        )

    def _make_callers(self) -> HttpListener | None:
        if self.settings.callers is None:
            return None
        application = CallerApplication(
            self._relays,
            self._connections,
            self._post,
            self._engine_activity,
            self._jobs.handle,
            self._memory,
            self._errors,
        )
        self._gate = StopGate(application)
        return HttpListener(
            self._gate,
            self.settings.callers,
            CALLER_THREADS,
            "callers",
            MAX_CONNECTIONS,
            self._relays.caller_watch.before_close,
            application.on_unserved,
            self._memory,
            self._errors,
            self._on_thread_lost,
        )

    def _make_readiness(self) -> HttpListener | None:
        if self.settings.readiness is None:
            return None
        return HttpListener(
            self._answer_readiness,
            self.settings.readiness,
            READINESS_THREADS,
            "readiness",
            MAX_CONNECTIONS,
            errors=self._errors,
            on_thread_lost=self._on_thread_lost,
        )

    def _make_internal(self) -> HttpListener | None:
        """Creates the listener for metrics and peers on the last internal port, if there is one."""
        first, last = self.settings.peer_ports
        if last <= first:
            return None
        address = Address(self.settings.peer_host, last)
        return HttpListener(
            self._answer_internal,
            address,
            INTERNAL_THREADS,
            "internal",
            MAX_CONNECTIONS,
            errors=self._errors,
            on_thread_lost=self._on_thread_lost,
        )

    def _answer_internal(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        if environ.get("PATH_INFO") == PEER_STATE_PATH:
            return answer_peer(self.core.state_for_peer, environ, start_response)
        if environ.get("PATH_INFO") != METRICS_PATH:
            return send(Response(404, b"", "text/plain"), start_response)
        return send(Response(200, self._metrics.render(), CONTENT_TYPE), start_response)

    def _answer_readiness(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        is_known = environ.get("PATH_INFO") == READINESS_PATH
        is_ready = self.core.is_ready and not self.is_broken
        status = (200 if is_ready else 503) if is_known else 404
        return send(Response(status, b"", "text/plain"), start_response)

    def _on_suspect_connections(self, peer: str, closed: int) -> None:
        self._logger.info("suspect connections closed", peer=peer, closed=closed)

    def _log_memory(self, event: str, **fields: object) -> None:
        """Logs and counts a line of the memory account; called on any thread."""
        self._logger.info(event, **fields)
        self._metrics.on_log_line(LogLine(event, fields))

    def _set_limits(self, change: LimitsChanged) -> None:
        if self._callers is not None:
            self._callers.set_limits(change.limits)

    def _on_thread_lost(self, name: str) -> None:
        self.lost_thread = name
        self._logger.error("thread lost", thread=name)

    def _on_failure(self, error: BaseException, event: GatewayEvent) -> None:
        """Refuses new requests, and ends those that wait for a decision; on the loop's thread.

        The state of the decisions may be half changed, so that nothing may be decided any more.
        """
        self._failed_at = steady_seconds()
        self.failure = error
        if self._gate is not None:
            self._gate.close()
        self._relays.end_loop(f"the daemon has failed: {type(error).__name__}")
        self._jobs.end_loop()
        if self._callers is not None:
            self._callers.drain()
        self._logger.error(
            "loop failed",
            step=type(event).__name__,
            in_flight=self._relays.count,
            **error_fields(error),
        )

    def finish_without_loop(self) -> None:
        """Lets answers that need no decision go on for a moment after the loop has failed.

        Then the other requests in progress are aborted: their callers are told that they may have
        run, and streams are cut.
        """
        self._executor.stop()
        self._wait_until_finished(self._failed_at + FAILURE_GRACE_SECONDS)
        self._relays.abort_all()
        self._wait_until_finished(steady_seconds() + ABORT_SECONDS)
        self._log_stopped(self._failed_at, self._relays.count == 0)

    def _wait_until_finished(self, deadline: float) -> None:
        while not self._try_finish() and steady_seconds() < deadline:
            time.sleep(DRAIN_POLL_SECONDS)

    def start(self) -> None:
        """Starts the loop, the peer socket and the listeners."""
        self._errors.watch_threads()
        self.loop.start()
        self._relays.caller_watch.start()
        self._peers.start()
        for listener in (self._readiness, self._callers, self._internal):
            if listener is not None:
                listener.start()
        self._logger.info("daemon started", zone=self.settings.zone)

    def reload(self, settings: GatewaySettings) -> None:
        """Applies changed bounds; any other change requires a restart and is only logged."""
        previous, self.settings = self.settings, replace(self.settings, bounds=settings.bounds)
        if previous.bounds != settings.bounds:
            bounds = settings.bounds
            self.loop.post(BoundsChanged(bounds.drain, bounds.configuration_apply, bounds.job_kept))
        changed_fields = [
            field.name
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        self._logger.info("settings reloaded", need_restart=changed_fields)

    def drain(self) -> None:
        """Performs a planned stop: reports not ready, then completes every accepted request.

        Returns when each caller has received its answer or its time limit is over, or shortly
        before the grace period ends.
        """
        started_at = steady_seconds()
        deadline = started_at + self.settings.bounds.grace - STOP_RESERVE_SECONDS
        self.loop.post(DrainRequested(deadline - started_at))
        if self._callers is not None:
            self._callers.drain()
        is_complete = False
        while not is_complete and steady_seconds() < deadline:
            time.sleep(DRAIN_POLL_SECONDS)
            is_early = steady_seconds() - started_at < MIN_DRAIN_SECONDS
            is_complete = not is_early and self._try_finish()
        self._log_stopped(started_at, is_complete)

    def _try_finish(self) -> bool:
        """Refuses new requests, and returns whether no caller waits for an answer or a part of one.

        The requests in progress are counted first: each of them is then either still counted or
        among the unread answers.
        """
        if self._gate is not None:
            self._gate.close()
        in_flight = self._gate.in_flight if self._gate is not None else 0
        if in_flight + self._relays.count + self._jobs.count:
            return False
        return not self._unread_answers().expected_at(steady_seconds()).answers

    def _unread_answers(self) -> UnreadAnswers:
        return UnreadAnswers() if self._callers is None else self._callers.unread_answers()

    def _log_stopped(self, started_at: float, is_complete: bool) -> None:
        """Logs the end of a planned stop, and the answers that it cuts off.

        `is_complete` is whether no caller waits any longer; otherwise the grace period is over.
        """
        now = steady_seconds()
        unread = self._unread_answers()
        for answer in unread.answers[:MAX_CUT_ANSWERS_LOGGED]:
            self._logger.warning(
                "answer cut by stop",
                request_id=answer.request_id,
                unread_bytes=answer.size,
                time_left=answer.due_at - now,
            )
        self._logger.info(
            "daemon stopped",
            seconds=now - started_at,
            is_complete=is_complete,
            unfinished=self._relays.count,
            unread_answers=len(unread.answers),
            unread_in_time=len(unread.expected_at(now).answers),
            unread_bytes=unread.size,
        )

    def stop(self) -> None:
        """Stops the loop and the executors."""
        self.loop.stop()
        self._executor.stop()


def _identity(settings: GatewaySettings, peer_address: Address) -> GatewayIdentity:
    """Returns this daemon's identity for the core; `peer_address` is the bound UDP address."""
    store, bounds = settings.store, settings.bounds
    return GatewayIdentity(
        settings.name,
        settings.zone,
        peer_address,
        bounds.drain,
        bounds.configuration_apply,
        store.min_member_ttl,
        bounds.job_kept,
        StoreLimits(store.record_bytes, store.call_bytes, store.partitions),
        store.reads_per_second,
        bounds.quota,
        settings.memory_bytes > 0,
    )
