"""Small worlds for tests of decisions on slots."""

import random
from collections.abc import Callable
from typing import assert_never

from troutswitch.common import Address
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import (
    EngineShare,
    HoldingsReport,
    KnownClaim,
    PeerMessage,
    SlotMessage,
    engine_key,
)
from troutswitch.decisions.forwarding.engine import NO_SIZE, Engine
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.placement import NoHomes
from troutswitch.decisions.forwarding.placer import Assignment, Placement, PlacementRequest
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.forwarding.types import EngineRecord, PromptShape
from troutswitch.decisions.jobs.batch_capacity import SlotCapacity
from troutswitch.decisions.slots.fleet import FleetSlots, SlotPolicies
from troutswitch.decisions.slots.messages import (
    SendToPeers,
    SlotInstruction,
    StartItems,
    WaitingItems,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers

SERVICE = "service"
ZONE = "z"
GROUP = f"{SERVICE}||0"


def record(name: str, zone: str = ZONE, slots: int = 8) -> EngineRecord:
    return EngineRecord(name, SERVICE, Address("10.9.0.1", 1), zone, slots, False)


def address_of(name: str) -> Address:
    return Address("10.0.0.1", 7000 + sum(name.encode()))


def report(
    sender: str = "peer", sequence: int = 1, incarnation: int = 1, waiting: int = 0, **held: int
) -> HoldingsReport:
    """Returns a report of batch items at engines."""
    shares = tuple(EngineShare(engine_key(name), 0, count, 0) for name, count in held.items())
    return HoldingsReport(sender, ZONE, address_of(sender), incarnation, sequence, shares, waiting)


class OwnItemsOf:
    """The batch items of a daemon of this world."""

    def __init__(self, daemon: "SlotsOf") -> None:
        self._daemon = daemon

    @property
    def waiting(self) -> WaitingItems:
        return WaitingItems(self._daemon.waiting, self._daemon.late)

    @property
    def open_items(self) -> int:
        return self._daemon.waiting + self._daemon.late + len(self._daemon.items)


class SlotsOf:
    """One daemon's decisions on slots, with the requests and items that follow from them."""

    def __init__(
        self, name: str, records: list[EngineRecord], zone: str = ZONE, incarnation: int = 0
    ) -> None:
        self.name = name
        self.address = address_of(name)
        self.engines = EngineRegistry()
        self.engines.on_list(0.0, records)
        self.waiting = 0
        self.late = 0
        self.out: list[SendToPeers] = []
        self.online: dict[int, str] = {}
        self.items: list[str] = []
        self.ended: list[tuple[int, Placement]] = []
        self.lines: list[str] = []
        self.times = RunTimes()
        self.fleet = FleetSlots(
            DaemonIdentity(name, zone, self.address, incarnation or incarnation_of(name)),
            self.engines,
            self.times,
            SlotPolicies(NoHomes(), SlotCapacity()),
            OwnItemsOf(self),
            self,
            CallNumbers(),
            self._emit,
            random.Random(name),
        )

    def candidates(self, now: float, token: int) -> list[Engine]:
        return self.engines.usable(now, SERVICE)

    def _emit(self, instruction: SlotInstruction) -> None:
        match instruction:
            case SendToPeers():
                self.out.append(instruction)
            case StartItems():
                self._start_items(instruction)
            case LogLine():
                self.lines.append(instruction.event)
            case _:
                assert_never(instruction)

    def _start_items(self, grant: StartItems) -> None:
        for _ in range(max(0, grant.count)):
            if self.waiting + self.late == 0:
                return
            if self.waiting:
                self.waiting -= 1
            else:
                self.late -= 1
            self.items.append(grant.engine_id)
            self.engines.on_sent(0.0, grant.engine_id, True, NO_SIZE)
        for _ in range(max(0, -grant.count)):
            self.end_item(0.0, grant.engine_id)

    def end_item(self, now: float, engine_id: str) -> None:
        if engine_id in self.items:
            self.items.remove(engine_id)
            self.engines.on_stopped(now, engine_id, NO_SIZE, begun=True)

    def coordinate(
        self, now: float, *others: "SlotsOf", group: str = GROUP, offset: int = 1
    ) -> None:
        """Lets this daemon and others know that it coordinates a group."""
        claim = KnownClaim(group, self.name, self.address, offset)
        for daemon in (self, *others):
            daemon.fleet.claims.add_claims((claim,))
            daemon.tick(now)

    def tick(self, now: float) -> None:
        found, _ = self.fleet.on_timer(now)
        for one in found:
            self._take(now, one.token, one.placement)

    def want(self, now: float, token: int, longest_wait: float = float("inf")) -> None:
        """Seeks a slot for a request."""
        request = PlacementRequest(token, SERVICE, PromptShape(), longest_wait)
        placing = self.fleet.requests.place(now, request, self.engines.usable(now, SERVICE))
        if placing is not None:
            self._take(now, token, placing)

    def take(self, now: float, message: PeerMessage) -> None:
        """Takes a peer's message about slots."""
        assert isinstance(message, SlotMessage)
        for one in self.fleet.on_message(now, message):
            self._take(now, one.token, one.placement)

    def _take(self, now: float, token: int, placing: Placement) -> None:
        self.ended.append((token, placing))
        if isinstance(placing, Assignment):
            engine_id = placing.engine.record.engine_id
            self.online[token] = engine_id
            self.engines.on_sent(now, engine_id, False, NO_SIZE)

    def end(self, now: float, token: int) -> None:
        """Ends a request at its engine."""
        engine_id = self.online.pop(token)
        self.engines.on_ended(now, engine_id, False, NO_SIZE, begun=True, failed=False)

    def engine(self, name: str) -> Engine:
        return self.engines.engines[name]

    def messages(self) -> list[PeerMessage]:
        """Returns what was sent since the last call."""
        sent, self.out = self.out, []
        return [made.message for made in sent]


def incarnation_of(name: str) -> int:
    return sum(name.encode()) + 1


def deliver(
    now: float, *daemons: SlotsOf, keep: Callable[[object], bool] = lambda made: True
) -> int:
    """Delivers what daemons sent to each other until nothing is left; returns how many."""
    by_address = {daemon.address: daemon for daemon in daemons}
    count = 0
    while any(daemon.out for daemon in daemons):
        for daemon in daemons:
            sent, daemon.out = daemon.out, []
            for made in sent:
                for address in made.addresses:
                    if address in by_address and keep(made.message):
                        by_address[address].take(now, made.message)
                        count += 1
    return count
