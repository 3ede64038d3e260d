"""Hollow members: real daemon cores and datagrams, without callers, engines or batch work.

Several members share a process and one loop; each has its own UDP socket. A fleet
may be split over processes that are started side by side with the same start time;
all follow the same timetable by the machine's clock, and their reports are merged.

Members follow their shards, whose streams are empty, and never get to own one, as
their claims are not answered. The machine list is a table in each process. All members
find an empty log at first; the publication stands on the first member's log alone, so
all others learn of it from peers, as in zones that are cut off from the log.
"""

import os
import selectors
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from troutswitch.common import Address
from troutswitch.standalone.constants import CONFIGURATION_STREAM
from troutswitch.standalone.daemons.messages import Sealer
from troutswitch.standalone.decisions.daemon import DaemonCore, DaemonIdentity
from troutswitch.standalone.decisions.effects import (
    AppendToLog,
    Effect,
    ReadLog,
    ReadMachineList,
    SendDatagram,
)
from troutswitch.standalone.decisions.events import (
    ConfigurationSubmitted,
    LogAppended,
    LogRead,
    LogReadFailed,
    Machine,
    MachineListRead,
    TimerFired,
)
from troutswitch.standalone.decisions.members import MemberState
from troutswitch.standalone.log_service.records import ConfigurationChange
from troutswitch.standalone.runtime.loop import Clock, PeerSocket

BASE_PORT = 20_000
FLEET_KEY = b"hollow-fleet-key"
ZONES = 11
SHARDS = 16
WATCH_SECONDS = 12.0
"""Longest time that is watched for a death or a publication to be known everywhere."""
LOOP_SECONDS = 0.02
"""Longest wait of the loop."""


@dataclass(frozen=True)
class HollowPlan:
    """What one process does.

    Attributes:
        members: members of the whole fleet.
        settle: seconds for the members to meet.
        seconds: seconds that are measured.
        part: number of this process.
        parts: processes that share the members.
        start_at: time all processes start at, in seconds since the epoch.
    """

    members: int
    settle: float
    seconds: float
    part: int = 0
    parts: int = 1
    start_at: float = 0.0


def address_of(number: int) -> Address:
    """Returns a member's address: all on loopback, a port each."""
    return Address("127.0.0.1", BASE_PORT + number)


def name_of(number: int) -> str:
    """Returns a member's name."""
    return f"member-{number}"


@dataclass
class HollowMember:
    """One core and its socket."""

    number: int
    core: DaemonCore
    peers: PeerSocket
    has_log: bool
    log: list[bytes] = field(default_factory=list)
    is_alive: bool = True
    timer_at: float = 0.0


@dataclass
class HollowReport:
    """Totals of one process; they add up over processes, but for the last two.

    `spread_seconds` and `detection_seconds` are when the last member of the process
    knew of the publication and of the death.
    """

    members: int
    bytes_sent: int
    messages: int
    cpu_seconds: float
    memory_bytes: int
    known_by_all: int
    seconds: float
    spread_seconds: float | None
    detection_seconds: float | None


class HollowProcess:
    """The members of one process, on one loop."""

    def __init__(self, plan: HollowPlan) -> None:
        self._plan = plan
        self._clock = Clock()
        self._published_at = float("inf")
        self._machines = tuple(
            Machine(name_of(n), "daemon", address_of(n), f"zone-{n % ZONES}")
            for n in range(plan.members)
        )
        self._selector = selectors.DefaultSelector()
        numbers = range(plan.part, plan.members, plan.parts)
        self._members = [self._make(number) for number in numbers]

    def _make(self, number: int) -> HollowMember:
        identity = DaemonIdentity(
            name_of(number),
            f"zone-{number % ZONES}",
            address_of(number),
            int(time.time() * 1000),
            number,
            SHARDS,
        )
        peers = PeerSocket(address_of(number), Sealer(FLEET_KEY), self._clock)
        member = HollowMember(number, DaemonCore(identity), peers, has_log=number == 0)
        self._selector.register(peers.socket, selectors.EVENT_READ, member)
        return member

    # The loop.

    def _run_until(self, until: float) -> None:
        while time.time() < until:
            self._turn()

    def _turn(self) -> None:
        for key, _ in self._selector.select(LOOP_SECONDS):
            self._receive(key.data)
        now = self._clock.now()
        for member in self._members:
            if member.is_alive and member.timer_at <= now:
                self._step(member, TimerFired())

    def _receive(self, member: HollowMember) -> None:
        while (received := member.peers.receive()) is not None:
            if member.is_alive:
                self._step(member, received)

    def _step(self, member: HollowMember, event: Any) -> None:
        for effect in member.core.step(self._clock.now(), event):
            self._carry_out(member, effect)
        member.timer_at = member.core.next_due()

    def _carry_out(self, member: HollowMember, effect: Effect) -> None:
        match effect:
            case SendDatagram(address, message):
                member.peers.send(address, message)
            case ReadMachineList():
                self._step(member, MachineListRead(self._machines))
            case ReadLog(token, stream, offset, _):
                self._step(member, self._read_log(member, token, stream, offset))
            case AppendToLog(stream, payload) if stream == CONFIGURATION_STREAM:
                member.log.append(payload)
                self._step(member, LogAppended(stream, len(member.log) - 1))
            case _:
                pass

    def _read_log(
        self, member: HollowMember, token: int, stream: str, offset: int
    ) -> LogRead | LogReadFailed:
        if not member.has_log and time.time() > self._published_at:
            return LogReadFailed(token, stream, "hollow")
        if stream != CONFIGURATION_STREAM:
            return LogRead(token, stream, max(0, offset), (), 0)
        entries = tuple(member.log[max(0, offset) :])
        return LogRead(token, stream, offset, entries, len(member.log))

    # The measurement.

    def run(self) -> HollowReport:
        """Follows the timetable: settle, measure, publish, kill."""
        plan = self._plan
        start = plan.start_at or time.time()
        self._published_at = start + plan.settle + plan.seconds + 1.0
        self._run_until(start + plan.settle)
        before = self._totals()
        self._run_until(start + plan.settle + plan.seconds)
        after = self._totals()
        memory = resident_bytes()
        self._run_until(self._published_at)
        self._publish()
        spread = self._watch(self._published_at, self._all_have_publication)
        killed_at = self._published_at + WATCH_SECONDS
        self._run_until(killed_at)
        self._kill(plan.members - 1)
        detection = self._watch(killed_at, self._all_know_death)
        return HollowReport(
            len(self._members),
            int(after[0] - before[0]),
            int(after[1] - before[1]),
            after[2] - before[2],
            memory,
            min(member.core.membership.live_count() for member in self._members),
            plan.seconds,
            spread,
            detection,
        )

    def _totals(self) -> tuple[float, float, float]:
        usage = os.times()
        return (
            sum(member.peers.bytes_sent for member in self._members),
            sum(member.peers.messages_sent for member in self._members),
            usage.user + usage.system,
        )

    def _watch(self, since: float, condition: Callable[[], bool]) -> float | None:
        """Returns the seconds until a condition held; None if it never did."""
        known_at = None
        while time.time() < since + WATCH_SECONDS - 1.0:
            self._turn()
            if known_at is None and condition():
                known_at = time.time() - since
        return known_at

    def _publish(self) -> None:
        for member in self._members:
            if member.has_log:
                change = ConfigurationChange("root", "attempts_most", 3)
                version = member.core.configuration.fold.version
                event = ConfigurationSubmitted(
                    "scale", "scale", "scale", "", version, (change,), self._clock.now() + 10.0
                )
                self._step(member, event)

    def _kill(self, number: int) -> None:
        for member in self._members:
            if member.number == number:
                member.is_alive = False

    def _all_have_publication(self) -> bool:
        return all(member.core.configuration.fold.version == 1 for member in self._members)

    def _all_know_death(self) -> bool:
        dead = name_of(self._plan.members - 1)
        return all(_knows_death(member, dead) for member in self._members if member.is_alive)


def _knows_death(member: HollowMember, name: str) -> bool:
    held = member.core.membership.members.get(name)
    return held is None or held.state is MemberState.DEAD


def resident_bytes() -> int:
    """Returns the resident memory of this process."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def merge_reports(reports: Iterable[HollowReport]) -> dict[str, float | None]:
    """Returns the figures of one member over all processes.

    Memory is the processes' resident memory shared out, interpreters included.
    """
    held = list(reports)
    members = sum(report.members for report in held)
    seconds = held[0].seconds
    return {
        "members": members,
        "known_by_all": min(report.known_by_all for report in held),
        "bytes_per_second_per_member": sum(r.bytes_sent for r in held) / seconds / members,
        "messages_per_second_per_member": sum(r.messages for r in held) / seconds / members,
        "cpu_share_per_member": sum(r.cpu_seconds for r in held) / seconds / members,
        "memory_bytes_per_member": sum(r.memory_bytes for r in held) / members,
        "spread_seconds": _latest(report.spread_seconds for report in held),
        "detection_seconds": _latest(report.detection_seconds for report in held),
    }


def _latest(times: Iterable[float | None]) -> float | None:
    """Returns the latest of the times; None if any is missing."""
    held = list(times)
    known = [at for at in held if at is not None]
    return max(known) if len(known) == len(held) else None
