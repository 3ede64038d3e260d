"""The gateway daemon's decisions in one place: events in, instructions out.

It owns the parts (configuration, engines, forwarded requests, batch jobs) and passes
each event to the part that it concerns. It holds no clock, socket or thread.
"""

import random
from dataclasses import replace

from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import (
    CrashReport,
    EngineDrainNotice,
    Heartbeat,
    QuotaDecision,
    QuotaRequest,
    SlotReply,
)
from troutswitch.daemons.peer_state import PeerState, StoredRecord
from troutswitch.decisions.crashes.messages import EngineChecked
from troutswitch.decisions.crashes.suspects import CrashSuspects
from troutswitch.decisions.forwarding.engine_list import EngineListReader
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.log_events import line_of_unserved, milliseconds
from troutswitch.decisions.forwarding.messages import (
    AnswerBegun,
    CallerGone,
    EngineActivity,
    LogLine,
    RequestArrived,
    RequestAttemptEnded,
    RequestUnserved,
    SlotWanted,
)
from troutswitch.decisions.forwarding.placement import home_policy
from troutswitch.decisions.forwarding.requests import ForwardedRequests
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.types import (
    EngineRecord,
)
from troutswitch.decisions.gateway_messages import (
    BoundsChanged,
    ClockCompared,
    DrainRequested,
    EnginesLeft,
    Formats,
    GatewayIdentity,
    LimitsChanged,
    ProcessResumed,
    TimerFired,
)
from troutswitch.decisions.jobs.batch_capacity import BATCH_CAPACITY_POLICIES
from troutswitch.decisions.jobs.coordinator import JobCoordinator, JobEvent
from troutswitch.decisions.jobs.dependencies import JobDependencies, JobSettings
from troutswitch.decisions.peers.catch_up import PeerCatchUp, PeerStateReceived, ReadingState
from troutswitch.decisions.peers.drain_notices import DrainNotices
from troutswitch.decisions.peers.heartbeats import Peers
from troutswitch.decisions.peers.peer_registry import PeerRegistry, PeerRegistryEntry
from troutswitch.decisions.policies import Policies
from troutswitch.decisions.slots.fleet import FleetSlots, SlotPolicies
from troutswitch.decisions.slots.messages import PeerMessageReceived, StartItems, WaitingItems
from troutswitch.decisions.slots.slot_requests import PlacementFound
from troutswitch.decisions.storage.follower import CallNumbers, PartitionFollower
from troutswitch.decisions.storage.messages import (
    KeyedRecord,
    Partition,
    StoreAnswered,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.tenants.quota import Quota, QuotaEnd
from troutswitch.decisions.tenants.quota_groups import QuotaGroups
from troutswitch.decisions.tenants.quota_policies import make_quota

CONFIGURATION_TOPIC = "configuration"
CONFIGURATION_WAIT_SHARE = 0.35
"""Time for which a read of the configuration waits at the store, in bounds for applying
it: an answer that is lost must be noticed, and the read made again, inside the bound."""
CONFIGURATION_PAUSE_SECONDS = 0.1
BEHIND_SECONDS = 0.4
"""Time for which readings of the configuration must have failed before an unknown key may be one
that was added meanwhile: as long as `peers/catch_up.py` waits before it asks a peer."""
READS_SHARE = 0.25
"""Share of the store's reads that all daemons' readings of one thing may take."""
ENGINE_LIST_SHARE = 0.3
"""Interval of readings of the engine list, in bounds for draining."""


Instruction = object


class _OwnItems:
    """The batch items of a core's job owner, which is made after the decisions on slots."""

    def __init__(self, core: "GatewayCore") -> None:
        self._core = core

    @property
    def waiting(self) -> WaitingItems:
        return self._core.jobs.owner.waiting

    @property
    def open_items(self) -> int:
        return self._core.jobs.owner.open_items


class _FleetState:
    """What quotas need to know of a core's routes and peers; the peers are made after them."""

    def __init__(self, core: "GatewayCore") -> None:
        self._core = core

    @property
    def configuration_version(self) -> int:
        return self._core.routes.version

    @property
    def daemons(self) -> int:
        return 1 + len(self._core.peers.peers)


class GatewayCore:
    """All decisions of one gateway daemon."""

    def __init__(
        self,
        identity: GatewayIdentity,
        formats: Formats,
        rng: random.Random,
        policies: Policies | None = None,
    ) -> None:
        policies = policies or Policies()
        self.identity = identity
        self.is_draining = False
        self.routes = RouteTable()
        self.engines = EngineRegistry()
        self.numbers = CallNumbers()
        self.suspects = CrashSuspects(
            identity.name,
            self.engines,
            self.numbers,
            lambda: self.peers.addresses(),
            self._emit,
            self._log,
            rng,
        )
        self._suspects_changes = 0
        self.requests = ForwardedRequests(
            identity.zone,
            self.routes,
            self.engines,
            rng,
            policies.placement,
            policies.admission,
            self.suspects,
        )
        self._formats = formats
        self._rng = rng
        self._instructions: list[Instruction] = []
        self.engine_list = EngineListReader(self.numbers, rng, ENGINE_LIST_SHARE * identity.drain)
        self.configuration = PartitionFollower(
            Partition(CONFIGURATION_TOPIC),
            self.numbers,
            rng,
            self._take_configuration,
            CONFIGURATION_WAIT_SHARE * identity.configuration_apply,
            CONFIGURATION_PAUSE_SECONDS,
        )
        self._now = float("-inf")
        self._asked_version = -1
        self._catch_up = PeerCatchUp(rng)
        self._configuration_record: StoredRecord | None = None
        self._listing: tuple[tuple[StoredRecord, ...], float] | None = None
        incarnation = rng.getrandbits(31)
        peer_identity = DaemonIdentity(
            identity.name, identity.zone, identity.peer_address, incarnation
        )
        self.slots = FleetSlots(
            peer_identity,
            self.engines,
            self.requests.times,
            SlotPolicies(
                home_policy(policies.placement), BATCH_CAPACITY_POLICIES[policies.batch.room]()
            ),
            _OwnItems(self),
            self.requests,
            self.numbers,
            self._emit,
            rng,
        )
        if policies.places == "coordinators":
            self.requests.placer = self.slots.requests
        self.quota: Quota = make_quota(
            policies.quota,
            peer_identity,
            identity.quota_bounds,
            QuotaGroups(self.slots.groups, self.slots.claims, self.slots.coordinator.coordinated),
            _FleetState(self),
            self._emit,
            rng,
        )
        self.requests.arrivals.quota = self.quota
        self.jobs = JobCoordinator(
            JobDependencies(
                self.routes,
                self.engines,
                self.slots,
                self.suspects,
                self.requests.arrivals.callers,
                self.numbers,
                rng,
                self._emit,
            ),
            JobSettings(
                identity.name,
                identity.zone,
                identity.member_ttl_least,
                identity.job_kept,
                identity.store_limits,
                policies.batch,
            ),
        )
        self.peers = Peers(
            identity.name,
            identity.zone,
            identity.peer_address,
            incarnation,
            lambda: self.routes.version,
            self.slots.claims.known_claims,
            rng,
        )
        self.leaving = DrainNotices(
            identity.name,
            self.peers.addresses,
            lambda: self.engine_list.least_interval > self.engine_list.interval,
            rng,
        )
        self.peer_registry = PeerRegistry(
            self._own_entry,
            lambda: len(self.peers.peers),
            self.numbers,
            self._on_peer_registry_entry,
            self._log,
        )

    def _emit(self, instruction: Instruction) -> None:
        self._instructions.append(instruction)

    @property
    def is_ready(self) -> bool:
        """Whether new connections may come: there is a configuration and an engine."""
        known = self.routes.configuration is not None and bool(self.engines.engines)
        return known and not self.is_draining

    def engine_list_age(self) -> float:
        """Returns the age of the newest list of engines at the last step, in seconds."""
        return self._now - self.engines.listed_at

    def step(self, now: float, event: object) -> list[Instruction]:
        """Takes one event and returns what is to be done."""
        self._now = now
        self._instructions = []
        match event:
            case RequestArrived():
                self._instructions += self.requests.on_arrived(now, event)
            case AnswerBegun():
                self._instructions += self.requests.on_answer_begun(now, event)
            case RequestAttemptEnded():
                self._instructions += self.requests.on_attempt_ended(now, event)
            case CallerGone():
                self._instructions += self.requests.on_caller_gone(now, event)
            case RequestUnserved():
                self._emit(line_of_unserved(event))
            case _ if isinstance(event, JobEvent):
                self.jobs.on_event(now, event)
            case EngineChecked():
                self.suspects.on_checked(now, event)
            case EngineActivity():
                self.engines.on_activity(now, event.engine_id)
            case PeerMessageReceived():
                self._on_peer_message(now, event)
            case PeerStateReceived():
                self._on_peer_state(now, event)
            case StoreAnswered():
                self._on_store(now, event.call, event.outcome)
            case BoundsChanged():
                self._on_bounds(event)
            case ClockCompared():
                self.jobs.replicas.clock_offset = event.offset
                self.suspects.clock_offset = event.offset
            case ProcessResumed():
                self._on_process_resumed(now, event)
            case DrainRequested():
                self.is_draining = True
                self.jobs.drain(now)
                self.slots.drain()
                self._log("drain started", in_flight=len(self.requests.requests))
            case TimerFired():
                pass
            case _:
                raise TypeError(f"unknown event {type(event).__name__}")
        self._on_timer(now)
        self.requests.validate()
        resolved: list[Instruction] = []
        while self._instructions:  # to resolve one may add others
            instructions, self._instructions = self._instructions, []
            resolved += [made for given in instructions for made in self._resolve(now, given)]
        return resolved

    def _resolve(self, now: float, instruction: Instruction) -> list[Instruction]:
        """Turns places for batch items, and the wish for a slot, into runs and stops."""
        match instruction:
            case SlotWanted():
                return self._on_slot_wanted(now, instruction)
            case StartItems():
                return list(self.jobs.owner.on_slots_granted(now, instruction))
            case _:
                return [instruction]

    def _on_slot_wanted(self, now: float, wanted: SlotWanted) -> list[Instruction]:
        """Stops an item here for a request that was placed without the engine's coordinator."""
        stop = self.jobs.owner.give_slot(now, wanted.engine_id)
        fields: dict[str, object] = {
            "request_id": wanted.request_id,
            "engine": wanted.engine_id,
            "stopped_run": stop.run if stop is not None else 0,
        }
        line = LogLine("slot wanted", fields)
        return [line] if stop is None else [line, stop]

    def _on_peer_message(self, now: float, event: PeerMessageReceived) -> None:
        message = event.message
        if isinstance(message, Heartbeat):
            self.peers.on_heartbeat(now, message)
            self.slots.claims.take_claims(message.claims)
            self._on_peer_version(now, message)
            return
        if isinstance(message, CrashReport):
            self.suspects.on_news(now, message)
            return
        if isinstance(message, EngineDrainNotice):
            self._on_engines_leaving(now, message)
            return
        if isinstance(message, QuotaRequest):
            self.quota.on_request(now, message)
            return
        if isinstance(message, QuotaDecision):
            self._counted(now, self.quota.on_decision(now, message))
            return
        claim = None
        if isinstance(message, SlotReply):
            claim = self.slots.claim_by(message.group, message.sender)
        known = claim is not None and self.slots.reports.knows_all(claim)
        self._place_found(now, self.slots.on_message(now, message))
        if claim is not None and known:
            self.slots.reports.assume_known(claim)

    def _on_engines_leaving(self, now: float, news: EngineDrainNotice) -> None:
        draining, left = self.leaving.on_notice(now, news)
        for engine_id in draining:
            self.engines.mark_draining(engine_id)
        self.engines.on_drain_notice(now, left)
        if draining or left:
            self._log("engines leave", peer=news.sender, draining=draining, left=left)

    def _counted(self, now: float, ended: list[QuotaEnd]) -> None:
        for end in ended:
            self._instructions += self.requests.on_counted(now, end)

    def _place_found(self, now: float, ended: list[PlacementFound]) -> None:
        for found in ended:
            self._instructions += self.requests.on_placed(now, found.token, found.placement)

    def _on_process_resumed(self, now: float, event: ProcessResumed) -> None:
        """Reads again what others changed meanwhile; reads in flight are of before.

        What is over by its time ends in this same step, before any event that waited.
        """
        self._log(
            "stood still",
            seconds=round(event.seconds, 3),
            in_flight=len(self.requests.requests),
            list_age_ms=milliseconds(now - self.engines.listed_at),
        )
        self.configuration.read_again(now)
        self.engine_list.read_again(now)
        self.slots.claims.read_again(now)
        self.suspects.read_again(now)

    def _on_bounds(self, event: BoundsChanged) -> None:
        self.engine_list.interval = ENGINE_LIST_SHARE * event.drain
        self.configuration.wait = CONFIGURATION_WAIT_SHARE * event.configuration_apply
        self.jobs.retention.job_kept = event.job_kept
        self._log(
            "bounds changed",
            drain=event.drain,
            configuration_apply=event.configuration_apply,
            job_kept=event.job_kept,
        )

    def next_due(self) -> float:
        """Returns when the next timer fires."""
        return min(
            self.requests.next_due(),
            self.engine_list.next_due(),
            self.configuration.next_due(),
            self.jobs.next_due(),
            self.slots.next_due(),
            self.peers.next_due(),
            self.peer_registry.next_due(),
            self._catch_up.next_due(),
            self.suspects.next_due(),
            self.quota.next_due(),
            self.leaving.next_due(),
        )

    def _on_timer(self, now: float) -> None:
        self.engines.on_timer(now)
        self.suspects.on_timer(now)
        if self._suspects_changes != self.suspects.changes:
            self._suspects_changes = self.suspects.changes
            self._instructions += self.requests.end_refused(now)
        self._limit_readings()
        self._look_whether_behind(now)
        self._counted(now, self.quota.on_timer(now))
        self._instructions += self.requests.on_timer(now)
        self._instructions += self._read_engine_list(now)
        self._instructions += self.configuration.on_timer(now)
        self.jobs.on_timer(now)
        found, calls = self.slots.on_timer(now)
        self._instructions += calls
        self._place_found(now, found)
        self._instructions += self.peers.on_timer(now)
        self._instructions += self.leaving.on_timer(now)
        self._instructions += self.peer_registry.on_timer(now)
        self._instructions += self._catch_up.on_timer(now, self._reading(), self.peers)

    def _look_whether_behind(self, now: float) -> None:
        """Notes whether a newer configuration may be in force than the one known here."""
        behind_since = self.configuration.failing_since
        is_older = self.peers.newest_version() > self.routes.version
        is_behind = is_older or now - behind_since >= BEHIND_SECONDS
        self.requests.arrivals.callers.is_behind = is_behind

    def _read_engine_list(self, now: float) -> list[StoreCall]:
        """Reads the list if it is due; a reading that ended without an outcome has failed too."""
        failures = self.engine_list.failures
        calls = self.engine_list.on_timer(now)
        if self.engine_list.failures > failures:
            self.engines.on_list_failed(now)
        return calls

    def _limit_readings(self) -> None:
        """Reads less often in a large fleet, so that all readings together stay bounded."""
        rate = READS_SHARE * self.identity.store_reads_per_second
        least_interval = (1 + len(self.peers.peers)) / rate if rate > 0 else 0.0
        self.engine_list.least_interval = least_interval * self.engine_list.pages
        self.engines.expired.interval = max(
            self.engine_list.least_interval, self.engine_list.interval
        )
        self.slots.claims.set_least_interval(least_interval)
        self.jobs.replicas.index_follower.least_interval = least_interval
        self.suspects.set_least_interval(least_interval)

    # Peers.

    def _reading(self) -> ReadingState:
        return ReadingState(
            self.routes.version,
            self.peers.newest_version(),
            self.configuration.failing_since,
            self.engine_list.failing_since,
        )

    def share_state(self, now: float, version: int) -> PeerState:
        """Returns what a peer with some version may be told; safe to call from any thread."""
        record = self._configuration_record if self.routes.version > version else None
        listing = self._listing
        if listing is None:
            return PeerState(record, (), None)
        rows, read_at = listing
        return PeerState(record, rows, now - read_at)

    def _own_entry(self) -> PeerRegistryEntry:
        identity = self.identity
        experience = replace(
            self.requests.experience(), batch_run_times=self.jobs.owner.run_times.learnt()
        )
        return PeerRegistryEntry(identity.name, identity.peer_address, identity.zone, experience)

    def _on_peer_registry_entry(self, now: float, entry: PeerRegistryEntry) -> None:
        self.peers.on_registered(entry)
        self.requests.begin_with(entry.experience)
        if entry.experience.batch_run_times is not None:
            self.jobs.owner.run_times.begin_with(entry.experience.batch_run_times)

    def _on_peer_state(self, now: float, event: PeerStateReceived) -> None:
        self._catch_up.on_reply()
        if event.state is None:
            return
        held = event.state.configuration
        if held is not None:
            self._take_configuration(KeyedRecord(held.key, held.value))
        age = event.state.engines_age
        if age is not None and now - age > self.engines.listed_at:
            rows = [KeyedRecord(row.key, row.value) for row in event.state.engines]
            self._take_engine_list(now - age, rows, event.host)

    def _on_peer_version(self, now: float, heartbeat: Heartbeat) -> None:
        """A peer that acts on a newer configuration shows that a read here was lost."""
        version = heartbeat.configuration_version
        if version > self.routes.version and version > self._asked_version:
            self._asked_version = version
            self._log("peer has newer configuration", peer=heartbeat.sender, version=version)
            self.configuration.read_again(now)

    # The store.

    def _on_store(self, now: float, call: int, outcome: StoreOutcome) -> None:
        if self.engine_list.owns(call):
            self._on_engine_list(now, outcome)
        elif self.configuration.owns(call):
            self.configuration.on_answer(now, outcome)
        elif self.suspects.owns(call):
            self.suspects.on_store(now, call, outcome)
        elif self.slots.owns(call):
            self.slots.on_store(now, call, outcome)
        elif self.peer_registry.owns(call):
            self.peer_registry.on_answer(now, call, outcome)
        else:
            self.jobs.on_store(now, call, outcome)

    def _on_engine_list(self, now: float, outcome: StoreOutcome) -> None:
        rows = self.engine_list.on_answer(now, outcome)
        if self.engine_list.failures:
            self.engines.on_list_failed(now)
            if self.engine_list.failures == 1:
                self._log("engine list lost", outcome=str(outcome)[:200])
        if rows is not None:
            self._take_engine_list(now, rows)

    def _take_engine_list(self, read_at: float, rows: list[KeyedRecord], peer: str = "") -> None:
        """Takes a list of engines that was read here, or by a peer."""
        self._listing = (tuple(StoredRecord(row.key, row.value) for row in rows), read_at)
        records = [record for row in rows if (record := self._engine(row)) is not None]
        kept_before = self.engines.kept_missing
        came, left = self.engines.on_list(read_at, records)
        self.suspects.on_list(self._now)
        self.leaving.on_listed_again(came)
        self.leaving.on_read(self._now, [r.engine_id for r in records if r.is_draining], left)
        if self.engines.kept_missing != kept_before:
            self._log(
                "missing engines kept",
                engines=sorted(self.engines.kept_missing),
                reading_failed_ms=milliseconds(read_at - self.engines.expired.failed_at),
                peer=peer,
            )
        if came or left:
            self._log(
                "engines changed",
                came=came,
                left=left,
                listed=len(records),
                slots=self.engines.slots_in_use(),
                peer=peer,
            )
        if left:
            self._instructions.append(EnginesLeft(tuple(left)))

    def _engine(self, row: KeyedRecord) -> EngineRecord | None:
        try:
            return self._formats.engine(row.key, row.value)
        except ValueError as error:
            self._log("engine record malformed", engine=row.key, reason=str(error))
            return None

    def _take_configuration(self, record: KeyedRecord) -> None:
        try:
            configuration = self._formats.configuration(record.key, record.value)
        except ValueError as error:
            self._log("configuration malformed", offset=record.offset, reason=str(error))
            return
        if configuration is None or not self.routes.replace(configuration):
            return
        self._configuration_record = StoredRecord(record.key, record.value)
        self._instructions.append(LimitsChanged(configuration.limits))
        self._log(
            "configuration in force",
            version=configuration.version,
            routes=len(configuration.routes),
            offset=record.offset,
        )

    def _log(self, event: str, **fields: object) -> None:
        self._instructions.append(LogLine(event, fields))
