"""The gateway daemon's decision core: takes events and returns instructions.

`GatewayCore` passes each event to the part that handles it, and then runs all parts' due timers. It
makes no decision itself and has no clock, socket or thread: the caller passes the time, in seconds
of the process's clock, and executes the instructions.
"""

import random
from typing import assert_never

from troutswitch.daemons.peer_state import PeerState
from troutswitch.decisions.crashes.messages import EngineChecked
from troutswitch.decisions.forwarding.log_events import milliseconds, unhandled_caller_gone_line
from troutswitch.decisions.forwarding.messages import (
    AnswerBegun,
    CallerGone,
    CallerGoneBeforeHandling,
    EngineActivity,
    RequestArrived,
    RequestAttemptEnded,
)
from troutswitch.decisions.gateway_interface import (
    GatewayEvent,
    GatewayInstruction,
    ProcessEvent,
    RequestEvent,
)
from troutswitch.decisions.gateway_messages import (
    BoundsChanged,
    ClockCompared,
    DrainRequested,
    Formats,
    GatewayIdentity,
    ProcessResumed,
    TimerFired,
)
from troutswitch.decisions.gateway_parts import GatewayParts
from troutswitch.decisions.jobs.messages import (
    BodyRequested,
    ItemBegun,
    ItemProgressed,
    ItemRunEnded,
    JobEndRequested,
    JobSubmitted,
    ResultsRequested,
)
from troutswitch.decisions.peers.catch_up import PeerStateReceived
from troutswitch.decisions.policies import Policies
from troutswitch.decisions.slot_instructions import resolve_instructions
from troutswitch.decisions.slots.messages import HealthAnswered, PeerMessageReceived
from troutswitch.decisions.storage.messages import StoreAnswered, StoreOutcome


class GatewayCore(GatewayParts):
    """All decisions of one gateway daemon.

    Args:
        formats: decodes what operators and engines write to the store.
        rng: the source of all randomness.
        policies: the policies to use; None uses the defaults.
    """

    def __init__(
        self,
        identity: GatewayIdentity,
        formats: Formats,
        rng: random.Random,
        policies: Policies | None = None,
    ) -> None:
        super().__init__(identity, formats, rng, policies)
        self.is_draining = False
        self._now = float("-inf")
        self._suspects_changes = 0

    # Queries, which other threads may make.

    @property
    def is_ready(self) -> bool:
        """Whether the daemon is not draining and knows a configuration and an engine."""
        known = self.routes.configuration is not None and bool(self.engines.engines)
        return known and not self.is_draining

    def engine_list_age(self) -> float:
        """Returns the age of the newest list of engines at the last step, in seconds."""
        return self._now - self.engines.listed_at

    def versions_age(self) -> float:
        """Returns the age of the knowledge of all versions at the last step, in seconds."""
        return self._now - self.engines.versions.knowledge.complete_to

    def state_for_peer(self, now: float, version: int) -> PeerState:
        """Returns this daemon's state for a peer whose configuration has the given version."""
        return self._peer_state.state_for_peer(now, version)

    # Events.

    def step(self, now: float, event: GatewayEvent) -> list[GatewayInstruction]:
        """Handles one event, runs due timers, and returns the resulting instructions in order."""
        self._now = now
        self.output.take()
        self._on_event(now, event)
        self._on_timer(now)
        self.requests.validate()
        return resolve_instructions(now, self.output, self.jobs.owner)

    def _on_event(self, now: float, event: GatewayEvent) -> None:
        match event:
            case (
                RequestArrived()
                | AnswerBegun()
                | RequestAttemptEnded()
                | CallerGone()
                | CallerGoneBeforeHandling()
            ):
                self._on_request_event(now, event)
            case JobSubmitted() | ResultsRequested() | BodyRequested() | JobEndRequested():
                self.jobs.on_event(now, event)
            case ItemRunEnded() | ItemBegun() | ItemProgressed():
                self.jobs.on_event(now, event)
            case EngineChecked():
                if not self.failed_engine_checks.on_checked(now, event):
                    self.suspects.on_checked(now, event)
            case EngineActivity():
                self.engines.on_activity(now, event.engine_id)
            case HealthAnswered():
                self._emit(self.slots.health.on_answered(now, event))
            case PeerMessageReceived():
                self._peer_messages.on_message(now, event.message)
            case PeerStateReceived():
                self._peer_state.on_received(now, event)
            case StoreAnswered():
                self._on_store(now, event.call, event.outcome)
            case (
                BoundsChanged()
                | ClockCompared()
                | ProcessResumed()
                | DrainRequested()
                | TimerFired()
            ):
                self._on_process_event(now, event)
            case _:
                assert_never(event)

    def _on_request_event(self, now: float, event: RequestEvent) -> None:
        match event:
            case RequestArrived():
                self.output.emit_all(self.requests.on_arrived(now, event))
            case AnswerBegun():
                self.output.emit_all(self.requests.on_answer_begun(now, event))
            case RequestAttemptEnded():
                self.output.emit_all(self.requests.on_attempt_ended(now, event))
            case CallerGone():
                self.output.emit_all(self.requests.on_caller_gone(now, event))
            case CallerGoneBeforeHandling():
                self._emit(unhandled_caller_gone_line(event))
            case _:
                assert_never(event)

    def _on_process_event(self, now: float, event: ProcessEvent) -> None:
        match event:
            case BoundsChanged():
                self._on_bounds(event)
            case ClockCompared():
                self.jobs.replicas.clock_offset = event.offset
                self.suspects.clock_offset = event.offset
            case ProcessResumed():
                self._on_process_resumed(now, event)
            case DrainRequested():
                self._on_drain_requested(now, event)
            case TimerFired():
                pass
            case _:
                assert_never(event)

    def _on_bounds(self, event: BoundsChanged) -> None:
        self.membership.set_drain_bound(event.drain_bound)
        self.configuration.set_apply_bound(event.apply_bound)
        self.jobs.retention.job_kept = event.job_retention
        self._log(
            "bounds changed",
            drain=event.drain_bound,
            configuration_apply=event.apply_bound,
            job_kept=event.job_retention,
        )

    def _on_process_resumed(self, now: float, event: ProcessResumed) -> None:
        """Reads again what others may have changed, as reads in flight began before the pause.

        Expired requests and leases end in this same step, before any queued event is handled.
        """
        self._log(
            "process resumed",
            seconds=round(event.seconds, 3),
            in_flight=len(self.requests.requests),
            list_age_ms=milliseconds(now - self.engines.listed_at),
        )
        self.configuration.follower.read_again(now)
        self.membership.reader.read_again(now)
        self.slots.claims.read_again(now)
        self.suspects.read_again(now)
        self.engines.versions.knowledge.want_records(now)

    def _on_drain_requested(self, now: float, event: DrainRequested) -> None:
        self.is_draining = True
        self.requests.arrivals.stops_at = now + event.seconds
        self.jobs.drain(now)
        self.slots.drain()
        self._log("drain started", in_flight=len(self.requests.requests))

    # The store.

    def _on_store(self, now: float, call: int, outcome: StoreOutcome) -> None:
        if self.membership.reader.owns(call):
            self.membership.on_answer(now, call, outcome)
        elif self.configuration.owns(call):
            self.configuration.on_answer(now, call, outcome)
        elif self.suspects.owns(call):
            self.suspects.on_store(now, call, outcome)
        elif self.slots.owns(call):
            self.slots.on_store(now, call, outcome)
        elif self.peer_registry.owns(call):
            self.peer_registry.on_answer(now, call, outcome)
        elif self.version_history.owns(call):
            self.version_history.on_answer(now, call, outcome)
        else:
            self.jobs.on_store(now, call, outcome)

    # Timers.

    def next_due(self) -> float:
        """Returns when the next timer fires."""
        return min(
            self.requests.next_due(),
            self.membership.reader.next_due(),
            self.configuration.next_due(),
            self.jobs.next_due(),
            self.slots.next_due(),
            self.peers.next_due(),
            self.peer_registry.next_due(),
            self._peer_state.next_due(),
            self.suspects.next_due(),
            self.failed_engine_checks.next_due(),
            self.quota.next_due(),
            self.drain_notices.next_due(),
            self.version_notices.next_due(),
            self.version_history.next_due(),
            self.origins.next_due(),
        )

    def _on_timer(self, now: float) -> None:
        """Runs the due timers of all parts."""
        self.engines.on_timer(now)
        self.suspects.on_timer(now)
        self._end_refused_requests(now)
        self._read_intervals.update(self.identity.store_reads_per_second)
        self.routes.may_be_outdated = self.configuration.may_be_outdated(
            now, self.peers.newest_version()
        )
        self._peer_messages.end_quota_waits(now, self.quota.on_timer(now))
        for located in self.origins.on_timer(now):
            self.output.emit_all(self.requests.on_located(now, located))
        self.output.emit_all(self.requests.on_timer(now))
        self.output.emit_all(self.failed_engine_checks.on_timer(now))
        self.output.emit_all(self.membership.on_timer(now))
        self.output.emit_all(self.configuration.on_timer(now))
        self.jobs.on_timer(now)
        found, calls = self.slots.on_timer(now)
        self.output.emit_all(calls)
        self._peer_messages.end_slot_searches(now, found)
        self.output.emit_all(self.peers.on_timer(now))
        daemons = 1 + self.peers.count()
        for limited in self._idle_connections.update(daemons):
            self._emit(limited)
            fewest = min((limit for _, limit in limited.limits), default=None)
            engines = len(limited.limits)
            self._log("idle connections limited", daemons=daemons, engines=engines, fewest=fewest)
        self.requests.retry_credit.update(
            now, daemons, is_current=self.peer_registry.is_current(now)
        )
        self.output.emit_all(self.drain_notices.on_timer(now))
        self.output.emit_all(self.version_notices.on_timer(now))
        self.output.emit_all(self.version_history.on_timer(now))
        self.output.emit_all(self.peer_registry.on_timer(now))
        self.output.emit_all(self._peer_state.on_timer(now))

    def _end_refused_requests(self, now: float) -> None:
        """Ends the requests that are now refused for crashes, if the refused set has changed."""
        if self._suspects_changes == self.suspects.changes:
            return
        self._suspects_changes = self.suspects.changes
        self.output.emit_all(self.requests.end_refused_for_crashes(now))
