"""Daemons for tests of the decisions on slots."""

import random
from collections import Counter
from collections.abc import Callable
from typing import assert_never

from troutswitch.common import Address
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import (
    EngineShare,
    HoldingsReport,
    KnownClaim,
    PeerMessage,
    ServiceItems,
    SlotMessage,
    TenantItems,
    engine_key,
)
from troutswitch.decisions.forwarding.engine import NO_SIZE, Engine
from troutswitch.decisions.forwarding.engine_cost import SPEED_POLICIES
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.placement import NoHomes
from troutswitch.decisions.forwarding.placer import (
    Assignment,
    Placement,
    PlacementRequest,
    QueueTerms,
)
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.forwarding.types import EngineRecord, PromptShape
from troutswitch.decisions.jobs.batch_capacity import SlotCapacity
from troutswitch.decisions.jobs.waiting_tenants import rows_by_tenant
from troutswitch.decisions.policies import DEFAULT_SPEED
from troutswitch.decisions.slots.fleet import FleetSlots, SlotPolicies
from troutswitch.decisions.slots.messages import (
    RequestHealth,
    SendToPeers,
    SlotInstruction,
    StartItems,
    WaitingItems,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers

SERVICE = "service"
ZONE = "z"
GROUP = f"{SERVICE}||0"
SLOT_SECONDS = 0.4
"""Slot time of the requests of a paced service."""


def record(name: str, zone: str = ZONE, slots: int = 8) -> EngineRecord:
    return EngineRecord(name, SERVICE, Address("10.9.0.1", 1), zone, slots, False)


def address_of(name: str) -> Address:
    return Address("10.0.0.1", 7000 + sum(name.encode()))


def report(
    sender: str = "peer",
    sequence: int = 1,
    incarnation: int = 1,
    waiting: int = 0,
    **batch_items: int,
) -> HoldingsReport:
    """Returns a report of `batch_items`, the numbers of batch items by engine."""
    shares = tuple(
        EngineShare(engine_key(name), 0, count, 0) for name, count in batch_items.items()
    )
    return HoldingsReport(sender, ZONE, address_of(sender), incarnation, sequence, shares, waiting)


class DaemonItems:
    """The batch items of a `SlotsDaemon`."""

    def __init__(self, daemon: "SlotsDaemon") -> None:
        self._daemon = daemon

    @property
    def waiting(self) -> WaitingItems:
        return WaitingItems(self._daemon.waiting, self._daemon.late)

    @property
    def waiting_by_tenant(self) -> tuple[TenantItems, ...]:
        if not self._daemon.engines.has_paced_service:
            return ()
        return rows_by_tenant(self._daemon.waiting_tenants.elements(), (), self._daemon.waiting)

    @property
    def waiting_by_service(self) -> tuple[ServiceItems, ...]:
        return self._daemon.waiting_by_service

    @property
    def reserved_engine(self) -> str:
        return self._daemon.reserved_engine

    @property
    def open_items(self) -> int:
        return self._daemon.waiting + self._daemon.late + len(self._daemon.items)


class SlotsDaemon:
    """One daemon's decisions on slots, which also runs the requests and items that they start."""

    def __init__(
        self,
        name: str,
        records: list[EngineRecord],
        zone: str = ZONE,
        incarnation: int = 0,
        health_path: str = "",
        speed: str = DEFAULT_SPEED,
    ) -> None:
        self.name = name
        self.address = address_of(name)
        self.engines = EngineRegistry()
        self.engines.on_list(0.0, records)
        self.waiting = 0
        self.late = 0
        self.waiting_tenants: Counter[str] = Counter()
        """Items among `waiting` that belong to a tenant."""
        self.waiting_by_service: tuple[ServiceItems, ...] = ()
        self.reserved_engine = ""
        self.started_tenants: list[str] = []
        self.outbox: list[SendToPeers] = []
        self.online: dict[int, str] = {}
        self.items: list[str] = []
        self.placements: list[tuple[int, Placement]] = []
        self.log_events: list[str] = []
        self.health_requests: list[RequestHealth] = []
        self.times = RunTimes()
        self.fleet = FleetSlots(
            DaemonIdentity(name, zone, self.address, incarnation or incarnation_of(name)),
            self.engines,
            self.times,
            SlotPolicies(
                NoHomes(), SlotCapacity(), SPEED_POLICIES[speed](self.times, RouteTable())
            ),
            DaemonItems(self),
            self,
            CallNumbers(),
            self._emit,
            random.Random(name),
            health_path=lambda service: health_path,
        )

    def candidates(self, now: float, token: int) -> list[Engine]:
        return self.engines.usable(now, SERVICE)

    def permitted(self, now: float, token: int) -> list[Engine]:
        return self.engines.usable(now, SERVICE)

    def _emit(self, instruction: SlotInstruction) -> None:
        match instruction:
            case SendToPeers():
                self.outbox.append(instruction)
            case StartItems():
                self._start_items(instruction)
            case RequestHealth():
                self.health_requests.append(instruction)
            case LogLine():
                self.log_events.append(instruction.event)
            case _:
                assert_never(instruction)

    def _start_items(self, grant: StartItems) -> None:
        for _ in range(max(0, grant.count)):
            if self.waiting + self.late == 0:
                return
            if self.waiting:
                self.waiting -= 1
                self._start_item_of(grant.tenant)
            else:
                self.late -= 1
            self.items.append(grant.engine_id)
            self.engines.on_sent(0.0, grant.engine_id, True, NO_SIZE)
        for _ in range(max(0, -grant.count)):
            self.end_item(0.0, grant.engine_id)

    def add_items(self, tenant: str, count: int) -> None:
        """Adds waiting items of a tenant."""
        self.waiting += count
        self.waiting_tenants[tenant] += count

    def _start_item_of(self, tenant: str | None) -> None:
        """Counts the start of an item of a tenant, or of the one with most items."""
        self.waiting_tenants = +self.waiting_tenants
        if not self.waiting_tenants:
            return
        most = self.waiting_tenants.most_common(1)[0][0]
        started = tenant if tenant is not None and self.waiting_tenants[tenant] else most
        self.waiting_tenants[started] -= 1
        self.started_tenants.append(started)

    def end_item(self, now: float, engine_id: str) -> None:
        if engine_id in self.items:
            self.items.remove(engine_id)
            self.engines.on_preempted(now, engine_id, NO_SIZE, begun=True)

    def coordinate(
        self, now: float, *others: "SlotsDaemon", group: str = GROUP, offset: int = 1
    ) -> None:
        """Makes this daemon the coordinator of a group, for itself and for `others`."""
        claim = KnownClaim(group, self.name, self.address, offset)
        for daemon in (self, *others):
            daemon.fleet.claims.add_claims((claim,))
            daemon.tick(now)

    def tick(self, now: float) -> None:
        found, _ = self.fleet.on_timer(now)
        for result in found:
            self._record_placement(now, result.token, result.placement)

    def request_slot(
        self,
        now: float,
        token: int,
        max_wait: float = float("inf"),
        terms: QueueTerms | None = None,
    ) -> None:
        """Requests a slot for an online request."""
        request = PlacementRequest(token, SERVICE, PromptShape(), max_wait, terms)
        placement = self.fleet.requests.place(now, request, self.engines.usable(now, SERVICE))
        if placement is not None:
            self._record_placement(now, token, placement)

    def receive(self, now: float, message: PeerMessage) -> None:
        """Handles a peer's message about slots."""
        assert isinstance(message, SlotMessage)
        for result in self.fleet.on_message(now, message):
            self._record_placement(now, result.token, result.placement)

    def _record_placement(self, now: float, token: int, placement: Placement) -> None:
        self.placements.append((token, placement))
        if isinstance(placement, Assignment):
            engine_id = placement.engine.record.engine_id
            self.online[token] = engine_id
            self.engines.on_sent(now, engine_id, False, NO_SIZE)

    def make_paced(self, now: float) -> None:
        """Makes the service paced, with a slot time of 0.4 s at engines of usual speed."""
        for engine in self.engines.engines.values():
            self.engines.on_pace(engine, 100, now)
        self.times.on_completed(SERVICE, 0.06, SLOT_SECONDS, was_queued=False)

    def queue_slot(
        self,
        now: float,
        token: int,
        flow: str = "flow",
        *,
        priority: int = 0,
        objective: float = 0.3,
        expiry: float = 1.7,
        is_returned: bool = False,
    ) -> None:
        """Requests a slot for which the request may wait in a queue, with times from now."""
        terms = QueueTerms(
            f"request-{token}", flow, priority, now + objective, now + expiry, is_returned
        )
        self.request_slot(now, token, objective, terms)

    def end_request(self, now: float, token: int) -> None:
        """Ends a request at its engine."""
        engine_id = self.online.pop(token)
        self.engines.on_ended(now, engine_id, False, NO_SIZE, begun=True, failed=False)

    def engine(self, name: str) -> Engine:
        return self.engines.engines[name]

    def messages(self) -> list[PeerMessage]:
        """Returns the messages sent since the last call."""
        sent, self.outbox = self.outbox, []
        return [instruction.message for instruction in sent]


def incarnation_of(name: str) -> int:
    return sum(name.encode()) + 1


def deliver(
    now: float, *daemons: SlotsDaemon, keep: Callable[[object], bool] = lambda message: True
) -> int:
    """Delivers messages between daemons until none are left; returns their number."""
    by_address = {daemon.address: daemon for daemon in daemons}
    count = 0
    while any(daemon.outbox for daemon in daemons):
        for daemon in daemons:
            sent, daemon.outbox = daemon.outbox, []
            for instruction in sent:
                for address in instruction.addresses:
                    if address in by_address and keep(instruction.message):
                        by_address[address].receive(now, instruction.message)
                        count += 1
    return count
