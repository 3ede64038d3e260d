"""A complete daemon as a pure state machine: `step(now, event)` returns effects.

It has no clock, socket, thread or log. A runtime passes events to `step`, executes the
effects, and calls `step` with `TimerFired` at the time that `next_due` returns. The
simulation uses the same class.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from troutswitch.common import Address
from troutswitch.decisions.invariants import ensure
from troutswitch.standalone.constants import CONFIGURATION_STREAM
from troutswitch.standalone.daemons import messages
from troutswitch.standalone.decisions.batch.calls import (
    CallContext,
    JobCall,
    JobStatusCall,
    PendingCalls,
    unknown_job_refusal,
)
from troutswitch.standalone.decisions.batch.claims import ClaimOutcome, OnceClaimCall
from troutswitch.standalone.decisions.batch.dispatcher import BatchDispatcher
from troutswitch.standalone.decisions.batch.ownership import Ownership
from troutswitch.standalone.decisions.batch.results import ResultsRead
from troutswitch.standalone.decisions.batch.submission import (
    Cancellation,
    Submissions,
    shard_of_job,
)
from troutswitch.standalone.decisions.configuration.follower import ConfigurationFollower
from troutswitch.standalone.decisions.configuration.keys import ServingPolicy
from troutswitch.standalone.decisions.effects import (
    AnswerCall,
    DirectoryChanged,
    Drained,
    Effect,
    LogEvent,
)
from troutswitch.standalone.decisions.engines import EngineRegistry
from troutswitch.standalone.decisions.events import (
    BatchAttemptEnded,
    ConfigurationSubmitted,
    ConfigurationTreeRequested,
    DatagramReceived,
    DrainRequested,
    EffectiveConfigurationRequested,
    EngineLoadRead,
    Event,
    JobCancelRequested,
    JobResultsRequested,
    JobStatusRequested,
    JobSubmitted,
    LogAppended,
    LogAppendFailed,
    LogRead,
    LogReadFailed,
    MachineListRead,
    OnlineAbandoned,
    OnlineArrived,
    OnlineAttemptEnded,
    OnlineFirstToken,
    PublicationHistoryRequested,
    StatusRequested,
    TimerFired,
)
from troutswitch.standalone.decisions.fleet import MachineListFollower
from troutswitch.standalone.decisions.log_reader import LogReader
from troutswitch.standalone.decisions.log_writer import LogWriter
from troutswitch.standalone.decisions.members import INCARNATION_STEP
from troutswitch.standalone.decisions.membership import Membership
from troutswitch.standalone.decisions.online import OnlineRequests
from troutswitch.standalone.decisions.status import (
    build_directory,
    view_effective,
    view_engines,
    view_history,
    view_members,
    view_shards,
    view_tree,
)
from troutswitch.standalone.decisions.stewardship import Stewardship
from troutswitch.standalone.decisions.views import Directory, StatusView

DRAIN_CHECK_SECONDS = 0.1
"""Interval between checks whether a stopping daemon has finished."""


@dataclass(frozen=True)
class DaemonIdentity:
    """Identity of a daemon process.

    `started` distinguishes the starts of a daemon of one name and increases with each.
    """

    name: str
    zone: str
    address: Address
    started: int
    seed: int
    shard_count: int
    seeds: tuple[Address, ...] = field(default=())


class DaemonCore:
    """Combines all decision modules of one daemon and dispatches events to them."""

    def __init__(self, identity: DaemonIdentity) -> None:
        self.identity = identity
        rng = random.Random(identity.seed)
        incarnation = identity.started * INCARNATION_STEP
        self.membership = Membership(
            identity.name, incarnation, identity.address, identity.zone, rng
        )
        self.writer = LogWriter(f"{identity.name}#{identity.started}")
        self.reader = LogReader()
        self.configuration = ConfigurationFollower(self.membership, self.writer, self.reader)
        self.engines = EngineRegistry(self.membership)
        self.stewardship = Stewardship(self.membership, self.configuration, self.engines)
        self.machine_list = MachineListFollower(
            self.membership, self.configuration, self.engines, list(identity.seeds)
        )
        self.dispatcher = BatchDispatcher(
            self.membership, self.engines, self.stewardship, self.writer, rng
        )
        self.ownership = Ownership(
            identity.shard_count,
            self.membership,
            self.writer,
            self.reader,
            self.dispatcher.fill,
            self.dispatcher.on_owner_lost,
        )
        self.dispatcher.set_ownership(self.ownership)
        self.ownership.set_job_stopped_hook(self.dispatcher.cancel_job)
        self.calls = PendingCalls(self.ownership)
        self._context = CallContext(self.ownership, self.writer, self.reader)
        self._submissions = Submissions(self._context, self.configuration)
        self.online = OnlineRequests(
            self.membership,
            self.configuration,
            self.engines,
            rng,
            self._claim,
            self.stewardship.steward_of,
        )
        self.is_draining = False
        self.is_drained = False
        self._drain_check_at = float("inf")
        self._directory: Directory | None = None
        self.configuration.add_change_hook(lambda now: self._publish_directory())
        self._timed_modules: list[Any] = [
            self.machine_list,
            self.membership,
            self.configuration,
            self.engines,
            self.ownership,
            self.dispatcher,
            self.calls,
            self.online,
            self.writer,
        ]
        self._handlers: dict[type, Callable[[float, Any], list[Effect]]] = self._event_table()
        self._message_handlers: dict[type, Callable[[float, Address, Any], list[Effect]]] = (
            self._message_table()
        )

    # State machine.

    def step(self, now: float, event: Event) -> list[Effect]:
        """Handles one event and returns the effects to execute.

        Raises:
            InvariantViolated: The daemon's state is inconsistent. The process must exit;
                its successor rebuilds all state from the log.
        """
        return self._handlers[type(event)](now, event)

    def next_due(self) -> float:
        """Returns the time at which `step` must be called with `TimerFired`."""
        due: float = min(module.next_due() for module in self._timed_modules)
        return min(due, self._drain_check_at)

    @property
    def is_ready(self) -> bool:
        """Whether this daemon accepts requests."""
        return self.configuration.is_ready and not self.is_draining

    def _event_table(self) -> dict[type, Callable[[float, Any], list[Effect]]]:
        return {
            TimerFired: self._on_timer,
            LogAppended: self._on_appended,
            LogAppendFailed: lambda now, event: self.writer.on_failed(now, event.stream),
            LogRead: self.reader.on_answer,
            LogReadFailed: self.reader.on_answer,
            DatagramReceived: self._on_datagram,
            MachineListRead: self._on_machine_list,
            EngineLoadRead: self.engines.on_load,
            OnlineArrived: self.online.on_arrived,
            OnlineFirstToken: self.online.on_first_token,
            OnlineAttemptEnded: self.online.on_attempt_ended,
            OnlineAbandoned: self.online.on_abandoned,
            BatchAttemptEnded: self.dispatcher.on_attempt_ended,
            JobSubmitted: self._on_job_submitted,
            JobStatusRequested: self._on_job_status_requested,
            JobCancelRequested: self._on_job_cancel_requested,
            JobResultsRequested: self._on_job_results_requested,
            ConfigurationSubmitted: self.configuration.submit,
            DrainRequested: self._on_drain_requested,
            StatusRequested: lambda now, event: [AnswerCall(event.token, self.status())],
            EffectiveConfigurationRequested: self._on_effective_requested,
            ConfigurationTreeRequested: lambda now, event: [
                AnswerCall(event.token, view_tree(self.configuration))
            ],
            PublicationHistoryRequested: lambda now, event: [
                AnswerCall(event.token, view_history(self.configuration, event.limit))
            ],
        }

    def _message_table(self) -> dict[type, Callable[[float, Address, Any], list[Effect]]]:
        membership, configuration = self.membership, self.configuration
        return {
            messages.Ping: self._on_ping,
            messages.Ack: self._on_ack,
            messages.IndirectPing: membership.on_indirect_ping,
            messages.SyncRequest: membership.on_sync_request,
            messages.SyncReply: membership.on_sync_reply,
            messages.ConfigurationRequest: configuration.on_request,
            messages.ConfigurationEntries: configuration.on_entries,
            messages.BatchSlotRequest: lambda now, sender, m: self.stewardship.on_slot_request(
                now, m
            ),
            messages.SlotGrant: lambda now, sender, m: self.dispatcher.on_grant(now, m),
            messages.OnlineNotice: lambda now, sender, m: self.stewardship.on_online_notice(now, m),
            messages.EngineLeaving: self._on_engine_leaving,
            messages.ShardStreamGrown: lambda now, sender, m: self.ownership.on_stream_grown(
                now, m
            ),
            messages.ShardHandoverRequest: lambda now, sender, m: self.ownership.on_shard_wanted(
                now, m
            ),
        }

    # Events.

    def _on_timer(self, now: float, event: TimerFired) -> list[Effect]:
        effects: list[Effect] = []
        for module in self._timed_modules:
            if module.next_due() <= now:
                effects.extend(module.on_timer(now))
        if self._directory is None or self._directory.is_ready != self.is_ready:
            effects.extend(self._publish_directory())
        if self._drain_check_at <= now:
            effects.extend(self._check_drained(now))
        return effects

    def _on_machine_list(self, now: float, event: MachineListRead) -> list[Effect]:
        return self.machine_list.on_read(now, event) + self._publish_directory()

    def _publish_directory(self) -> list[Effect]:
        directory = build_directory(self.configuration, self.engines, self.is_ready)
        if directory == self._directory:
            return []
        self._directory = directory
        return [DirectoryChanged(directory)]

    def _on_appended(self, now: float, event: LogAppended) -> list[Effect]:
        effects = self.writer.on_appended(event.stream)
        if event.stream == CONFIGURATION_STREAM:
            return effects + self.configuration.on_appended(now)
        return effects + self.ownership.on_appended(now, event.stream)

    def _on_datagram(self, now: float, event: DatagramReceived) -> list[Effect]:
        handler = self._message_handlers[type(event.message)]
        return handler(now, event.sender, event.message)

    def _on_ping(self, now: float, sender: Address, message: messages.Ping) -> list[Effect]:
        effects = self.membership.on_ping(now, sender, message)
        return effects + self.configuration.on_peer_offset(
            now, sender, message.sender, message.configuration_offset
        )

    def _on_ack(self, now: float, sender: Address, message: messages.Ack) -> list[Effect]:
        effects = self.membership.on_ack(now, message)
        address = self.membership.address_of(message.subject) or sender
        return effects + self.configuration.on_peer_offset(
            now, address, message.subject, message.configuration_offset
        )

    def _on_engine_leaving(
        self, now: float, sender: Address, message: messages.EngineLeaving
    ) -> list[Effect]:
        return self.engines.mark_leaving(now, message.engine, message.incarnation)

    # Calls.

    def _claim(self, now: float, event: OnlineArrived, policy: ServingPolicy) -> list[Effect]:
        call = OnceClaimCall(self._context, event, policy, now, self._on_claim_ended)
        return self.calls.start(now, call)

    def _on_claim_ended(self, now: float, request_id: str, outcome: ClaimOutcome) -> list[Effect]:
        if outcome is None:
            return self.online.on_claimed(now, request_id)
        return self.online.on_claim_failed(now, request_id, outcome)

    def _on_job_submitted(self, now: float, event: JobSubmitted) -> list[Effect]:
        refusal = self._submissions.refusal_for(event)
        if refusal is not None:
            return [AnswerCall(event.token, refusal)]
        return self.calls.start(now, self._submissions.prepare(now, event))

    def _on_job_status_requested(self, now: float, event: JobStatusRequested) -> list[Effect]:
        return self._start_job_call(
            now,
            event,
            lambda shard: JobStatusCall(
                event.token, event.tenant, event.job_id, shard, event.call_deadline
            ),
        )

    def _on_job_cancel_requested(self, now: float, event: JobCancelRequested) -> list[Effect]:
        return self._start_job_call(
            now,
            event,
            lambda shard: Cancellation(
                self._context,
                event.token,
                event.tenant,
                event.job_id,
                shard,
                event.call_deadline,
            ),
        )

    def _on_job_results_requested(self, now: float, event: JobResultsRequested) -> list[Effect]:
        return self._start_job_call(
            now,
            event,
            lambda shard: ResultsRead(
                self._context,
                event.token,
                event.tenant,
                event.job_id,
                shard,
                event.call_deadline,
                event.first,
                event.limit,
            ),
        )

    def _start_job_call(
        self,
        now: float,
        event: JobStatusRequested | JobCancelRequested | JobResultsRequested,
        make_call: Callable[[int], JobCall],
    ) -> list[Effect]:
        """Starts a call about a job on the shard that is encoded in the job id."""
        shard = shard_of_job(event.job_id, self.identity.shard_count)
        if shard is None:
            return [AnswerCall(event.token, unknown_job_refusal(event.job_id))]
        return self.calls.start(now, make_call(shard).with_start_time(now))

    # Operators.

    def _on_effective_requested(
        self, now: float, event: EffectiveConfigurationRequested
    ) -> list[Effect]:
        view = view_effective(self.configuration, event.zone, event.service, event.tenant)
        return [AnswerCall(event.token, view)]

    def status(self) -> StatusView:
        """Returns the daemon's state as reported to operators."""
        fold = self.configuration.fold
        return StatusView(
            self.identity.name,
            self.identity.zone,
            self.is_ready,
            self.is_draining,
            fold.version,
            fold.next_offset,
            f"{fold.digest():016x}",
            len(self.online.requests),
            self.dispatcher.running_count(),
            self.writer.queued_records(),
            self.writer.is_failing_anywhere(),
            view_members(self.membership, self.configuration.reported_offsets, fold.next_offset),
            view_engines(self.engines, self.stewardship),
            view_shards(self.ownership),
        )

    # Planned stop.

    def _on_drain_requested(self, now: float, event: DrainRequested) -> list[Effect]:
        if self.is_draining:
            return []
        self.is_draining = True
        self.online.is_draining = True
        self.ownership.is_draining = True
        self._drain_check_at = now
        log_event = LogEvent("drain started")
        return [log_event, *self._publish_directory(), *self.membership.leave(now)]

    def _check_drained(self, now: float) -> list[Effect]:
        idle = (
            not self.online.requests
            and self.ownership.has_released_all()
            and self.dispatcher.running_count() == 0
            and self.calls.is_idle()
            and self.writer.is_idle()
        )
        if not idle:
            self._drain_check_at = now + DRAIN_CHECK_SECONDS
            return []
        ensure(not self.is_drained, "drained twice")
        self.is_drained = True
        self._drain_check_at = float("inf")
        return [LogEvent("drain finished"), Drained()]
