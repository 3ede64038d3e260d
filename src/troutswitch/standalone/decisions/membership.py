"""Membership by gossip: probing, suspicion and dissemination.

Implements SWIM (Das, Gupta, Motivala 2002) with incarnations and suspicion. Each
member probes one other member per period, in turn, so its message rate does not
grow with the number of members. Updates are piggybacked on probes a bounded number
of times. Anti-entropy with one random member repairs what gossip missed.
"""

import random

from troutswitch.common import Address
from troutswitch.standalone.constants import (
    DEAD_MEMBER_RETENTION_SECONDS,
    IMMEDIATE_NOTICE_PEERS,
    INDIRECT_PROBES,
    PROBE_PERIOD_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    SEED_SECONDS,
    SEEDS_PER_CONTACT,
    STARVATION_SECONDS,
    SUSPICION_SECONDS,
    SYNC_MEMBERS_PER_DATAGRAM,
    SYNC_SECONDS,
)
from troutswitch.standalone.daemons.messages import (
    Ack,
    IndirectPing,
    MemberUpdate,
    Ping,
    SyncReply,
    SyncRequest,
)
from troutswitch.standalone.decisions.effects import Effect, LogEvent, SendDatagram
from troutswitch.standalone.decisions.gossip import GossipQueue, SyncRateLimiter
from troutswitch.standalone.decisions.members import (
    Member,
    MemberState,
    MemberTable,
    Probe,
    make_member,
    process_start_of,
)


class Membership:
    """The member table of one daemon and the protocol that maintains it."""

    def __init__(
        self, name: str, incarnation: int, address: Address, zone: str, rng: random.Random
    ) -> None:
        self.name = name
        self.zone = zone
        self.table = MemberTable()
        self.configuration_offset = -1
        self._rng = rng
        self.table.put(make_member(0.0, name, incarnation, MemberState.ALIVE, address, zone))
        self._gossip = GossipQueue()
        self._probe_order: list[str] = []
        self._probe: Probe | None = None
        self._relayed_probes: dict[int, tuple[Address, int]] = {}
        self._sequence = 0
        self._next_probe_at = float("-inf")
        self._last_timer_at = float("-inf")
        self._next_sync_at = float("-inf")
        self._next_seed_at = float("inf")
        self._suspicion_deadlines: dict[str, float] = {}
        self._died_at: dict[str, float] = {}
        self._seeds: list[Address] = []
        self._sync_limiter = SyncRateLimiter()

    # Queries by other modules.

    @property
    def members(self) -> dict[str, Member]:
        """All members by name."""
        return self.table.members

    @property
    def _own_member(self) -> Member:
        return self.table.members[self.name]

    def serving_names(self) -> list[str]:
        """Returns the names of the members that accept work, in name order."""
        return self.table.serving_names()

    def serving_in_zone(self, zone: str) -> tuple[str, ...]:
        """Returns the serving members of a zone; the same tuple object until one changes."""
        return self.table.serving_in_zone(zone)

    def address_of(self, name: str) -> Address | None:
        """Returns the peer address of a member that is not dead."""
        member = self.members.get(name)
        return None if member is None or member.is_dead else member.address

    def is_alive_incarnation(self, identity: str) -> bool:
        """Returns whether `name#started` identifies the running process of a member.

        Refuting a suspicion increases only the low part of an incarnation, so it does
        not change this identity.
        """
        name, _, started = identity.partition("#")
        member = self.members.get(name)
        if member is None or member.is_dead:
            return False
        return str(process_start_of(member.incarnation)) == started

    def live_count(self) -> int:
        """Returns the number of members that are not dead, including this one."""
        return sum(1 for member in self.members.values() if not member.is_dead)

    def random_peers(self, count: int, zone: str | None = None) -> list[Member]:
        """Returns up to `count` random other members that are not dead."""
        return self.table.random_peers(self.name, count, zone, self._rng)

    # Joining and leaving.

    def set_seeds(self, seeds: list[Address]) -> None:
        """Sets the addresses from the machine list; unknown ones are contacted."""
        self._seeds = [seed for seed in seeds if seed != self._own_member.address]
        self._next_seed_at = float("-inf")

    def _contact_seeds(self) -> list[Effect]:
        """Contacts seeds that are unknown or marked dead, which rejoins a healed partition."""
        unknown = self._unknown_seeds()
        chosen = self._rng.sample(unknown, min(SEEDS_PER_CONTACT, len(unknown)))
        return [SendDatagram(seed, self._sync_request()) for seed in chosen]

    def _unknown_seeds(self) -> list[Address]:
        known = {member.address for member in self.members.values() if not member.is_dead}
        return [seed for seed in self._seeds if seed not in known]

    def leave(self, now: float) -> list[Effect]:
        """Announces that this daemon accepts no more work."""
        self._set_state(now, self._own_member, self._own_member.incarnation, MemberState.LEAVING)
        return [SendDatagram(peer.address, self._ping(0)) for peer in self.random_peers(8)]

    # Timers.

    def next_due(self) -> float:
        """Returns the time at which the next probe, sync, contact or suspicion is due."""
        due = min(self._next_probe_at, self._next_sync_at, self._next_seed_at)
        if self._probe is not None:
            probe = self._probe
            due = min(due, probe.fail_at if probe.indirect_sent else probe.indirect_at)
        return min(due, min(self._suspicion_deadlines.values(), default=float("inf")))

    def on_timer(self, now: float) -> list[Effect]:
        """Runs the probes, suspicion timeouts, contacts of seeds and syncs that are due."""
        if self._was_paused(now):
            self._discount_pause(now)
        self._last_timer_at = now
        effects = self._expire_suspects(now)
        effects.extend(self._advance_probe(now))
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_PERIOD_SECONDS
            effects.extend(self._start_probe(now))
            self._remove_expired_dead(now)
        if now >= self._next_seed_at:
            self._next_seed_at = now + SEED_SECONDS if self._seeds else float("inf")
            effects.extend(self._contact_seeds())
        if now >= self._next_sync_at:
            self._next_sync_at = now + SYNC_SECONDS * self._rng.uniform(0.75, 1.25)
            effects.extend(self._start_sync())
        return effects

    def _was_paused(self, now: float) -> bool:
        has_run = self._last_timer_at > float("-inf")
        return has_run and now - self._last_timer_at > STARVATION_SECONDS

    def _discount_pause(self, now: float) -> None:
        """Drops the probe and extends all suspicions after this process was paused or starved.

        Other members seem silent only because this process did not run: their answers
        still wait in its socket.
        """
        pause_seconds = now - self._last_timer_at
        self._probe = None
        for name in self._suspicion_deadlines:
            self._suspicion_deadlines[name] += pause_seconds

    def _start_probe(self, now: float) -> list[Effect]:
        subject = self._next_subject()
        if subject is None:
            return []
        self._sequence += 1
        self._probe = Probe(
            self._sequence,
            subject.name,
            now + PROBE_TIMEOUT_SECONDS,
            now + PROBE_PERIOD_SECONDS * 0.98,
        )
        return [SendDatagram(subject.address, self._ping(self._sequence))]

    def _next_subject(self) -> Member | None:
        for _ in range(len(self.members) + 1):
            if not self._probe_order:
                self._probe_order = [name for name in self.members if name != self.name]
                self._rng.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            member = self.members.get(self._probe_order.pop())
            if member is not None and not member.is_dead:
                return member
        return None

    def _advance_probe(self, now: float) -> list[Effect]:
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

    def _probe_indirectly(self, probe: Probe) -> list[Effect]:
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
        for name, deadline in list(self._suspicion_deadlines.items()):
            if now >= deadline:
                member = self.members[name]
                effects.extend(self._set_state(now, member, member.incarnation, MemberState.DEAD))
        return effects

    def _remove_expired_dead(self, now: float) -> None:
        for name, died_at in list(self._died_at.items()):
            if now - died_at <= DEAD_MEMBER_RETENTION_SECONDS:
                return  # entries are in order of death
            del self._died_at[name]
            if self.members[name].is_dead:
                self.table.forget(name)
                self._gossip.drop(name)

    def _start_sync(self) -> list[Effect]:
        peers = self.random_peers(1)
        return [SendDatagram(peer.address, self._sync_request()) for peer in peers]

    def _sync_request(self) -> SyncRequest:
        return SyncRequest(self.name, list(self.table.digests), [self._own_member.update])

    # Messages.

    def on_ping(self, now: float, sender: Address, message: Ping) -> list[Effect]:
        """Answers a probe."""
        effects = self._merge_updates(now, message.updates)
        if message.sequence > 0:
            updates = self._next_updates(message.sender)
            ack = Ack(message.sequence, self.name, self.configuration_offset, updates)
            effects.append(SendDatagram(sender, ack))
        return effects

    def on_ack(self, now: float, message: Ack) -> list[Effect]:
        """Ends a probe, or relays the answer to the member that requested it."""
        effects = self._merge_updates(now, message.updates)
        relayed = self._relayed_probes.pop(message.sequence, None)
        if relayed is not None:
            requester, sequence = relayed
            relayed_ack = Ack(sequence, message.subject, message.configuration_offset, [])
            effects.append(SendDatagram(requester, relayed_ack))
        elif self._probe is not None and self._probe.sequence == message.sequence:
            self._probe = None
        return effects

    def on_indirect_ping(self, now: float, sender: Address, message: IndirectPing) -> list[Effect]:
        """Probes a member on behalf of another."""
        self._sequence += 1
        self._relayed_probes[self._sequence] = (sender, message.sequence)
        if len(self._relayed_probes) > 256:
            del self._relayed_probes[next(iter(self._relayed_probes))]
        address = Address.parse(message.subject_address)
        return [SendDatagram(address, self._ping(self._sequence))]

    def on_sync_request(self, now: float, sender: Address, message: SyncRequest) -> list[Effect]:
        """Sends the members in the buckets whose digests differ from the sender's."""
        effects = self._merge_updates(now, message.members)
        updates = self.table.updates_where_digests_differ(message.digests)
        size = SYNC_MEMBERS_PER_DATAGRAM
        for first in range(0, len(updates), size):
            if not self._sync_limiter.take(now):
                break  # the sender repeats its request, also to other members
            reply = SyncReply(self.name, updates[first : first + size])
            effects.append(SendDatagram(sender, reply))
        return effects

    def on_sync_reply(self, now: float, sender: Address, message: SyncReply) -> list[Effect]:
        """Merges part of another member's table."""
        return self._merge_updates(now, message.members)

    def _ping(self, sequence: int) -> Ping:
        return Ping(sequence, self.name, self.configuration_offset, self._next_updates())

    # Merging.

    def _merge_updates(self, now: float, updates: list[MemberUpdate]) -> list[Effect]:
        effects: list[Effect] = []
        for update in updates:
            effects.extend(self._merge(now, update))
        return effects

    def _merge(self, now: float, update: MemberUpdate) -> list[Effect]:
        state = MemberState[update.state.upper()]
        if update.name == self.name:
            return self._refute(now, update.incarnation, state)
        member = self.members.get(update.name)
        address = Address.parse(update.address)
        if member is None:
            if state is MemberState.DEAD:
                return []
            return self._store_member(
                now,
                make_member(now, update.name, update.incarnation, state, address, update.zone),
                None,
            )
        # Only a higher incarnation, or a higher state of the same one, is applied.
        if (update.incarnation, state) <= (member.incarnation, member.state):
            return []
        is_same_start = process_start_of(update.incarnation) == process_start_of(member.incarnation)
        was_leaving = member.was_leaving and is_same_start
        changed = make_member(
            now, update.name, update.incarnation, state, address, update.zone, was_leaving
        )
        return self._store_member(now, changed, member)

    def _refute(self, now: float, incarnation: int, state: MemberState) -> list[Effect]:
        own = self._own_member
        if (incarnation, state) <= (own.incarnation, own.state):
            return []
        higher = max(incarnation, own.incarnation) + 1
        self._set_state(now, own, higher, own.state)
        log_event = LogEvent("suspicion refuted", {"incarnation": higher})
        return [log_event, *self._send_eagerly(True)]

    def _set_state(
        self, now: float, member: Member, incarnation: int, state: MemberState
    ) -> list[Effect]:
        changed = make_member(
            now,
            member.name,
            incarnation,
            state,
            member.address,
            member.zone,
            member.was_leaving,
        )
        return self._store_member(now, changed, member)

    def _store_member(self, now: float, member: Member, previous: Member | None) -> list[Effect]:
        self.table.put(member)
        self._suspicion_deadlines.pop(member.name, None)
        if member.state is MemberState.SUSPECT:
            self._suspicion_deadlines[member.name] = now + SUSPICION_SECONDS
        if member.is_dead:
            self._died_at.pop(member.name, None)
            self._died_at[member.name] = now
        self._queue_gossip(member.name)
        if previous is not None and previous.state is member.state:
            return []
        fields: dict[str, str | int | float | bool] = {
            "member": member.name,
            "state": member.state.name.lower(),
        }
        log_event = LogEvent("member changed", fields)
        return [log_event, *self._send_eagerly(member.state >= MemberState.SUSPECT)]

    def _send_eagerly(self, is_urgent: bool) -> list[Effect]:
        """Sends an urgent update to a few members immediately, before gossip spreads it."""
        if not is_urgent:
            return []
        ping = self._ping(0)
        return [SendDatagram(p.address, ping) for p in self.random_peers(IMMEDIATE_NOTICE_PEERS)]

    # Gossip.

    def _queue_gossip(self, name: str) -> None:
        self._gossip.put(name, len(self.members))

    def _next_updates(self, recipient: str = "") -> list[MemberUpdate]:
        names = self._gossip.take()
        suspected = self.members.get(recipient)
        if suspected is not None and suspected.state is MemberState.SUSPECT:
            names.append(recipient)  # so that a suspected member can refute immediately
        return [self.members[name].update for name in dict.fromkeys(names)]
