"""Membership by gossip: probing, suspicion and dissemination.

After SWIM (Das, Gupta, Motivala 2002) with incarnations and suspicion. Each
member probes one other in turn every period, so its messages a second do not
grow with the number of members. An update rides on probes a bounded number of
times. Anti-entropy with one random member closes what gossip missed.
"""

import math
import random
from dataclasses import dataclass
from enum import IntEnum

from troutswitch.common import Address, stable_hash
from troutswitch.constants import (
    DEAD_KEPT_SECONDS,
    GOSSIP_RETRANSMIT_FACTOR,
    GOSSIP_UPDATES_MOST,
    INDIRECT_PROBES,
    PROBE_PERIOD_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    SUSPICION_SECONDS,
    SYNC_MEMBERS_PER_DATAGRAM,
    SYNC_SECONDS,
)
from troutswitch.daemons.messages import (
    Ack,
    IndirectPing,
    MemberUpdate,
    Ping,
    SyncReply,
    SyncRequest,
)
from troutswitch.decisions.effects import Effect, LogEvent, SendDatagram
from troutswitch.decisions.invariants import ensure


class MemberState(IntEnum):
    """State of a member; at equal incarnation the higher one wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(slots=True)
class Member:
    """What this daemon believes of one member."""

    name: str
    incarnation: int
    state: MemberState
    address: Address
    zone: str
    was_leaving: bool = False
    changed_at: float = 0.0

    def update(self) -> MemberUpdate:
        """Returns what is told to others."""
        return MemberUpdate(
            self.name, self.incarnation, self.state.name.lower(), str(self.address), self.zone
        )


@dataclass(slots=True)
class _Probe:
    """A probe in progress."""

    sequence: int
    subject: str
    indirect_at: float
    fail_at: float
    indirect_sent: bool = False


class Membership:
    """The member table of one daemon and the protocol that keeps it."""

    def __init__(
        self, name: str, incarnation: int, address: Address, zone: str, rng: random.Random
    ) -> None:
        self.name = name
        self.zone = zone
        self.started_incarnation = incarnation
        self.members: dict[str, Member] = {}
        self.configuration_offset = -1
        self._rng = rng
        self._me = Member(name, incarnation, MemberState.ALIVE, address, zone)
        self.members[name] = self._me
        self._gossip: dict[str, int] = {}
        self._ring: list[str] = []
        self._probe: _Probe | None = None
        self._relayed: dict[int, tuple[Address, int]] = {}
        self._sequence = 0
        self._probe_at = float("-inf")
        self._sync_at = float("-inf")
        self._suspect_until: dict[str, float] = {}
        self._seeds: list[Address] = []
        self._serving: list[str] | None = None
        self._serving_by_zone: dict[str, tuple[str, ...]] = {}

    # What other modules ask.

    def serving_names(self) -> list[str]:
        """Returns the members that take on work: alive, or suspected but not yet dead."""
        if self._serving is None:
            self._serving = sorted(
                member.name for member in self.members.values() if _is_serving(member)
            )
        return self._serving

    def serving_in_zone(self, zone: str) -> tuple[str, ...]:
        """Returns the serving members of a zone; the same object while nothing changes."""
        names = self.serving_names()
        held = self._serving_by_zone.get(zone)
        if held is None:
            held = tuple(name for name in names if self.members[name].zone == zone)
            self._serving_by_zone[zone] = held
        return held

    def _serving_changed(self) -> None:
        self._serving = None
        self._serving_by_zone.clear()

    def address_of(self, name: str) -> Address | None:
        """Returns the peer address of a member that is not dead."""
        member = self.members.get(name)
        if member is None or member.state is MemberState.DEAD:
            return None
        return member.address

    def is_alive_incarnation(self, identity: str) -> bool:
        """Returns whether `name#incarnation` names a member that still runs as such.

        The incarnation in an identity is the one the process started with; refuting
        a suspicion raises the low bits only.
        """
        name, _, started = identity.partition("#")
        member = self.members.get(name)
        if member is None or member.state is MemberState.DEAD:
            return False
        return str(started_part(member.incarnation)) == started

    def live_count(self) -> int:
        """Returns the members not known dead, this one included."""
        return sum(1 for m in self.members.values() if m.state is not MemberState.DEAD)

    def random_peers(self, count: int, zone: str | None = None) -> list[Member]:
        """Returns up to `count` random other members that are not dead."""
        peers = [
            member
            for member in self.members.values()
            if member is not self._me
            and member.state is not MemberState.DEAD
            and (zone is None or member.zone == zone)
        ]
        return self._rng.sample(peers, min(count, len(peers)))

    def digest(self) -> int:
        """Returns a hash of the table, the same for equal tables."""
        total = 0
        for member in self.members.values():
            text = f"{member.name}/{member.incarnation}/{int(member.state)}"
            total ^= stable_hash(text)
        return total

    # Joining and leaving.

    def set_seeds(self, now: float, seeds: list[Address]) -> list[Effect]:
        """Learns addresses from the machine list; the unknown ones are contacted."""
        self._seeds = [seed for seed in seeds if seed != self._me.address]
        known = {member.address for member in self.members.values() if not _is_dead(member)}
        unknown = [seed for seed in self._seeds if seed not in known]
        chosen = self._rng.sample(unknown, min(3, len(unknown)))
        return [SendDatagram(seed, self._sync_request()) for seed in chosen]

    def leave(self, now: float) -> list[Effect]:
        """Tells everyone that this daemon takes on no more work."""
        self._me.state = MemberState.LEAVING
        self._me.was_leaving = True
        self._serving_changed()
        self._queue_gossip(self.name)
        return [SendDatagram(peer.address, self._ping(0)) for peer in self.random_peers(8)]

    # Timers.

    def next_due(self) -> float:
        """Returns when something is due."""
        due = min(self._probe_at, self._sync_at)
        if self._probe is not None:
            probe = self._probe
            due = min(due, probe.fail_at if probe.indirect_sent else probe.indirect_at)
        return min(due, min(self._suspect_until.values(), default=float("inf")))

    def on_timer(self, now: float) -> list[Effect]:
        """Probes, suspects, declares dead and reconciles."""
        effects = self._expire_suspects(now)
        effects.extend(self._tend_probe(now))
        if now >= self._probe_at:
            self._probe_at = now + PROBE_PERIOD_SECONDS
            effects.extend(self._start_probe(now))
            self._forget_long_dead(now)
        if now >= self._sync_at:
            self._sync_at = now + SYNC_SECONDS * self._rng.uniform(0.75, 1.25)
            effects.extend(self._start_sync())
        return effects

    def _start_probe(self, now: float) -> list[Effect]:
        subject = self._next_subject()
        if subject is None:
            return []
        self._sequence += 1
        self._probe = _Probe(
            self._sequence,
            subject.name,
            now + PROBE_TIMEOUT_SECONDS,
            now + PROBE_PERIOD_SECONDS * 0.98,
        )
        return [SendDatagram(subject.address, self._ping(self._sequence))]

    def _next_subject(self) -> Member | None:
        for _ in range(len(self.members) + 1):
            if not self._ring:
                self._ring = [name for name in self.members if name != self.name]
                self._rng.shuffle(self._ring)
            if not self._ring:
                return None
            member = self.members.get(self._ring.pop())
            if member is not None and not _is_dead(member):
                return member
        return None

    def _tend_probe(self, now: float) -> list[Effect]:
        probe = self._probe
        if probe is None:
            return []
        if not probe.indirect_sent and now >= probe.indirect_at:
            probe.indirect_sent = True
            return self._probe_indirectly(probe)
        if now >= probe.fail_at:
            self._probe = None
            return self._suspect(now, probe.subject)
        return []

    def _probe_indirectly(self, probe: _Probe) -> list[Effect]:
        subject = self.members.get(probe.subject)
        if subject is None:
            return []
        message = IndirectPing(probe.sequence, self.name, subject.name, str(subject.address))
        helpers = [p for p in self.random_peers(INDIRECT_PROBES + 1) if p is not subject]
        return [SendDatagram(p.address, message) for p in helpers[:INDIRECT_PROBES]]

    def _suspect(self, now: float, name: str) -> list[Effect]:
        member = self.members.get(name)
        if member is None or member.state >= MemberState.SUSPECT:
            return []
        return self._set_state(now, member, member.incarnation, MemberState.SUSPECT)

    def _expire_suspects(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for name, until in list(self._suspect_until.items()):
            if now >= until:
                member = self.members[name]
                effects.extend(self._set_state(now, member, member.incarnation, MemberState.DEAD))
        return effects

    def _forget_long_dead(self, now: float) -> None:
        for member in list(self.members.values()):
            if _is_dead(member) and now - member.changed_at > DEAD_KEPT_SECONDS:
                del self.members[member.name]
                self._serving_changed()
                self._gossip.pop(member.name, None)

    def _start_sync(self) -> list[Effect]:
        peers = self.random_peers(1)
        addresses = [peer.address for peer in peers]
        known = {member.address for member in self.members.values() if not _is_dead(member)}
        lost = [seed for seed in self._seeds if seed not in known]
        if lost:
            # A seed that is dead or unknown to us: the way out of a healed cut.
            addresses.append(self._rng.choice(lost))
        return [SendDatagram(address, self._sync_request()) for address in addresses]

    def _sync_request(self) -> SyncRequest:
        return SyncRequest(self.name, self.digest(), [self._me.update()])

    # Messages.

    def on_ping(self, now: float, sender: Address, message: Ping) -> list[Effect]:
        """Answers a probe."""
        effects = self._merge_all(now, message.updates)
        if message.sequence > 0:
            updates = self._take_gossip(message.sender)
            ack = Ack(message.sequence, self.name, self.configuration_offset, updates)
            effects.append(SendDatagram(sender, ack))
        return effects

    def on_ack(self, now: float, message: Ack) -> list[Effect]:
        """Ends a probe, or passes the answer on to whoever asked for it."""
        effects = self._merge_all(now, message.updates)
        relayed = self._relayed.pop(message.sequence, None)
        if relayed is not None:
            asker, sequence = relayed
            passed_on = Ack(sequence, message.subject, message.configuration_offset, [])
            effects.append(SendDatagram(asker, passed_on))
        elif self._probe is not None and self._probe.sequence == message.sequence:
            self._probe = None
        return effects

    def on_indirect_ping(self, now: float, sender: Address, message: IndirectPing) -> list[Effect]:
        """Probes a member on another's behalf."""
        self._sequence += 1
        self._relayed[self._sequence] = (sender, message.sequence)
        if len(self._relayed) > 256:
            del self._relayed[next(iter(self._relayed))]
        address = Address.parse(message.subject_address)
        return [SendDatagram(address, self._ping(self._sequence))]

    def on_sync_request(self, now: float, sender: Address, message: SyncRequest) -> list[Effect]:
        """Sends the member table if the sender's differs."""
        effects = self._merge_all(now, message.members)
        if message.digest == self.digest():
            return effects
        return effects + self._send_table(sender)

    def on_sync_reply(self, now: float, sender: Address, message: SyncReply) -> list[Effect]:
        """Takes in part of another's table."""
        return self._merge_all(now, message.members)

    def _send_table(self, address: Address) -> list[Effect]:
        updates = [member.update() for member in self.members.values()]
        size = SYNC_MEMBERS_PER_DATAGRAM
        return [
            SendDatagram(address, SyncReply(self.name, updates[first : first + size]))
            for first in range(0, len(updates), size)
        ]

    def _ping(self, sequence: int) -> Ping:
        return Ping(sequence, self.name, self.configuration_offset, self._take_gossip())

    # Merging.

    def _merge_all(self, now: float, updates: list[MemberUpdate]) -> list[Effect]:
        effects: list[Effect] = []
        for update in updates:
            effects.extend(self._merge(now, update))
        return effects

    def _merge(self, now: float, update: MemberUpdate) -> list[Effect]:
        state = MemberState[update.state.upper()]
        if update.name == self.name:
            return self._refute(update.incarnation, state)
        member = self.members.get(update.name)
        if member is None:
            if state is MemberState.DEAD:
                return []
            member = Member(update.name, -1, state, Address.parse(update.address), update.zone)
            self.members[update.name] = member
        # Legal only forward: a higher incarnation, or a worse state of the same one.
        if (update.incarnation, state) <= (member.incarnation, member.state):
            return []
        if started_part(update.incarnation) != started_part(member.incarnation):
            member.was_leaving = False
        member.address = Address.parse(update.address)
        return self._set_state(now, member, update.incarnation, state)

    def _refute(self, incarnation: int, state: MemberState) -> list[Effect]:
        if (incarnation, state) <= (self._me.incarnation, self._me.state):
            return []
        self._me.incarnation = max(incarnation, self._me.incarnation) + 1
        self._queue_gossip(self.name)
        return [LogEvent("suspicion refuted", {"incarnation": self._me.incarnation})]

    def _set_state(
        self, now: float, member: Member, incarnation: int, state: MemberState
    ) -> list[Effect]:
        ensure(
            (incarnation, state) > (member.incarnation, member.state),
            "a member went back to an earlier state",
        )
        previous = member.state
        member.incarnation = incarnation
        member.state = state
        member.changed_at = now
        member.was_leaving = member.was_leaving or state is MemberState.LEAVING
        self._serving_changed()
        self._suspect_until.pop(member.name, None)
        if state is MemberState.SUSPECT:
            self._suspect_until[member.name] = now + SUSPICION_SECONDS
        self._queue_gossip(member.name)
        if previous is state:
            return []
        fields = {"member": member.name, "state": state.name.lower()}
        return [LogEvent("member changed", dict(fields))]

    # Gossip.

    def _queue_gossip(self, name: str) -> None:
        count = GOSSIP_RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.members) + 1))
        self._gossip[name] = max(count, GOSSIP_RETRANSMIT_FACTOR)

    def _take_gossip(self, about: str = "") -> list[MemberUpdate]:
        chosen = sorted(self._gossip, key=lambda name: -self._gossip[name])
        names = chosen[:GOSSIP_UPDATES_MOST]
        for name in names:
            self._gossip[name] -= 1
            if self._gossip[name] <= 0:
                del self._gossip[name]
        suspected = self.members.get(about)
        if suspected is not None and suspected.state is MemberState.SUSPECT:
            names.append(about)  # a suspect hears of it first, so that it can refute
        return [self.members[name].update() for name in dict.fromkeys(names)]


INCARNATION_STEP = 1 << 20
"""Incarnations are `started * INCARNATION_STEP + refutations`."""


def started_part(incarnation: int) -> int:
    """Returns the part of an incarnation that tells one process start from another."""
    return incarnation // INCARNATION_STEP


def _is_serving(member: Member) -> bool:
    return member.state in (MemberState.ALIVE, MemberState.SUSPECT) and not member.was_leaving


def _is_dead(member: Member) -> bool:
    return member.state is MemberState.DEAD
