"""Constructs and connects the parts of one gateway daemon's decision core.

Owns the parts; each part's module documents its purpose and dependencies. `gateway.py` passes
events to them. Parts are constructed in the order of their dependencies. Where two depend on each
other, the earlier one gets an accessor to the later one (`_OwnItems`, `_peer_addresses`).
"""

import random

from troutswitch.common import Address
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import ServiceItems, TenantItems
from troutswitch.decisions.active_configuration import ActiveConfiguration
from troutswitch.decisions.crashes.suspects import CrashSuspects
from troutswitch.decisions.engine_membership import ENGINE_LIST_SHARE, EngineMembership
from troutswitch.decisions.forwarding.engine_list import EngineListReader
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.failed_engine_checks import FailedEngineChecks
from troutswitch.decisions.forwarding.placement import home_policy
from troutswitch.decisions.forwarding.requests import ForwardedRequests
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.gateway_messages import (
    Formats,
    GatewayIdentity,
)
from troutswitch.decisions.idle_connections import IdleConnectionLimits
from troutswitch.decisions.instruction_queue import InstructionQueue
from troutswitch.decisions.jobs.batch_capacity import BATCH_CAPACITY_POLICIES
from troutswitch.decisions.jobs.coordinator import JobCoordinator
from troutswitch.decisions.jobs.dependencies import JobDependencies, JobSettings
from troutswitch.decisions.peer_messages import PeerMessageDispatcher
from troutswitch.decisions.peer_state_exchange import PeerStateExchange
from troutswitch.decisions.peers.drain_notices import DrainNotices
from troutswitch.decisions.peers.heartbeats import Peers
from troutswitch.decisions.peers.peer_registry import PeerRegistry
from troutswitch.decisions.policies import Policies
from troutswitch.decisions.read_intervals import ReadIntervals
from troutswitch.decisions.run_time_sharing import RunTimeSharing
from troutswitch.decisions.slots.fleet import FleetSlots, SlotPolicies
from troutswitch.decisions.slots.messages import WaitingItems
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decisions.streams.origins import OriginSearches
from troutswitch.decisions.streams.version_history import VersionHistory
from troutswitch.decisions.streams.version_notices import VersionNotices
from troutswitch.decisions.tenants.quota_groups import QUOTA_GROUPS
from troutswitch.decisions.tenants.quota_policies import make_quota


class _OwnItems:
    """Accessor to the job owner's items for `FleetSlots`, which is constructed before the owner."""

    def __init__(self, parts: "GatewayParts") -> None:
        self._parts = parts

    @property
    def waiting(self) -> WaitingItems:
        return self._parts.jobs.owner.waiting

    @property
    def waiting_by_tenant(self) -> tuple[TenantItems, ...]:
        return self._parts.jobs.owner.waiting_by_tenant

    @property
    def waiting_by_service(self) -> tuple[ServiceItems, ...]:
        return self._parts.jobs.owner.waiting_by_service

    @property
    def reserved_engine(self) -> str:
        return self._parts.jobs.owner.reservation.engine_id

    @property
    def open_items(self) -> int:
        return self._parts.jobs.owner.open_items


class _FleetState:
    """What quotas depend on: the active configuration's version and the number of daemons."""

    def __init__(self, routes: RouteTable, peers: Peers) -> None:
        self._routes = routes
        self._peers = peers

    @property
    def configuration_version(self) -> int:
        return self._routes.version

    @property
    def daemons(self) -> int:
        return 1 + self._peers.count()


class GatewayParts:
    """The parts of one daemon's decision core.

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
        policies = policies or Policies()
        self.identity = identity
        self.output = InstructionQueue()
        self._emit = self.output.emit
        self._log = self.output.log
        self.routes = RouteTable()
        self.engines = EngineRegistry()
        self.failed_engine_checks = FailedEngineChecks(self.engines)
        self.numbers = CallNumbers()
        self.suspects = CrashSuspects(
            identity.name,
            self.engines,
            self.numbers,
            self._peer_addresses,
            self._emit,
            self._log,
            rng,
        )
        incarnation = rng.getrandbits(31)
        self.origins = OriginSearches(
            self._daemon_identity(incarnation),
            self.engines.versions,
            self._peer_addresses_by_name,
            self._emit,
            self._log,
        )
        self.version_notices = VersionNotices(
            identity.name, self.engines.versions, self._peer_addresses, rng
        )
        self.requests = self._make_requests(policies, rng)
        self._idle_connections = IdleConnectionLimits(self.engines, self.routes)
        self.slots = self._make_slots(policies, incarnation, rng)
        if policies.slot_assignment == "coordinators":
            self.requests.placer = self.slots.requests
        self.jobs = self._make_jobs(policies, formats, incarnation, rng)
        self.configuration = ActiveConfiguration(
            self.routes, formats, self.numbers, rng, identity.apply_bound, self.output
        )
        self._make_peers(incarnation, rng)
        self.version_history = VersionHistory(
            identity.name,
            self.engines.versions,
            self._peer_names,
            self.numbers,
            rng,
            self._log,
        )
        self._make_engine_membership(formats, rng)
        self._make_peer_exchanges(policies, incarnation, rng)

    def _make_requests(self, policies: Policies, rng: random.Random) -> ForwardedRequests:
        return ForwardedRequests(
            self.identity.zone,
            self.routes,
            self.engines,
            rng,
            policies.placement,
            policies.admission,
            self.suspects,
            policies.speed,
            self.origins,
        )

    def _make_slots(self, policies: Policies, incarnation: int, rng: random.Random) -> FleetSlots:
        placement = home_policy(policies.placement)
        capacity = BATCH_CAPACITY_POLICIES[policies.batch.capacity]()
        return FleetSlots(
            self._daemon_identity(incarnation),
            self.engines,
            self.requests.times,
            SlotPolicies(placement, capacity, self.requests.speed),
            _OwnItems(self),
            self.requests,
            self.numbers,
            self._emit,
            rng,
            QUOTA_GROUPS,
            self.routes.health_path,
        )

    def _daemon_identity(self, incarnation: int) -> DaemonIdentity:
        identity = self.identity
        return DaemonIdentity(identity.name, identity.zone, identity.peer_address, incarnation)

    def _make_jobs(
        self, policies: Policies, formats: Formats, incarnation: int, rng: random.Random
    ) -> JobCoordinator:
        identity = self.identity
        dependencies = JobDependencies(
            self.routes,
            self.engines,
            self.slots,
            self.suspects,
            self.requests.arrivals.tenant_keys,
            self.numbers,
            rng,
            self._emit,
            self.requests.speed,
            formats.prompt,
            lambda now: self.peers.has_earlier_versions(now),
        )
        settings = JobSettings(
            identity.name,
            identity.zone,
            identity.min_member_ttl,
            identity.job_retention,
            identity.store_limits,
            policies.batch,
            incarnation,
            identity.has_memory_limit,
        )
        return JobCoordinator(dependencies, settings)

    def _make_peers(self, incarnation: int, rng: random.Random) -> None:
        """Constructs the parts that track the other daemons."""
        identity = self.identity
        self.peers = Peers(
            identity.name,
            identity.zone,
            identity.peer_address,
            incarnation,
            self.configuration.version,
            self.slots.claims.known_claims,
            rng,
        )
        sharing = RunTimeSharing(identity, self.requests, self.jobs.owner, self.peers)
        self.peer_registry = PeerRegistry(
            sharing.own_entry,
            self.peers.count,
            self.numbers,
            sharing.apply_entry,
            self._log,
        )

    def _make_engine_membership(self, formats: Formats, rng: random.Random) -> None:
        """Constructs the parts that track the engines."""
        reader = EngineListReader(self.numbers, rng, ENGINE_LIST_SHARE * self.identity.drain_bound)
        self._read_intervals = ReadIntervals(
            self.peers,
            reader,
            self.engines,
            self.slots.claims,
            self.jobs.replicas,
            self.suspects,
        )
        self.drain_notices = DrainNotices(
            self.identity.name,
            self.peers.addresses,
            self._read_intervals.is_engine_list_slowed,
            rng,
        )
        self.membership = EngineMembership(
            reader, self.engines, formats, self.suspects, self.drain_notices, self.output
        )

    def _make_peer_exchanges(
        self, policies: Policies, incarnation: int, rng: random.Random
    ) -> None:
        """Constructs the quota, peer state and peer message parts."""
        self.quota = make_quota(
            policies.quota,
            self._daemon_identity(incarnation),
            self.identity.quota_bounds,
            self.slots.claims,
            _FleetState(self.routes, self.peers),
            self._emit,
            rng,
        )
        self.requests.arrivals.quota = self.quota
        self._peer_state = PeerStateExchange(self.configuration, self.membership, self.peers, rng)
        self._peer_messages = PeerMessageDispatcher(
            self.peers,
            self.configuration,
            self.membership,
            self.suspects,
            self.slots,
            self.quota,
            self.requests,
            self.version_notices,
            self.origins,
            self.output,
        )

    def _peer_addresses(self) -> list[Address]:
        """Returns the addresses of other daemons.

        `CrashSuspects` and `VersionNotices` are constructed before `Peers`.
        """
        return self.peers.addresses()

    def _peer_addresses_by_name(self) -> dict[str, Address]:
        """Returns the same by name, for `OriginSearches`."""
        return self.peers.addresses_by_name()

    def _peer_names(self, now: float) -> list[str] | None:
        """Returns the names of other daemons, or None until the registry was read."""
        if not self.peer_registry.is_current(now):
            return None
        return list(self._peer_addresses_by_name())
