"""The member table: one daemon's view of every other daemon, with digests for comparison."""

import random
from dataclasses import dataclass
from enum import IntEnum

from troutswitch.common import Address, stable_hash
from troutswitch.decisions.invariants import ensure
from troutswitch.standalone.constants import DIGEST_BUCKETS
from troutswitch.standalone.daemons.messages import MemberUpdate

INCARNATION_STEP = 1 << 20
"""Incarnations are `started * INCARNATION_STEP + refutations`."""


def process_start_of(incarnation: int) -> int:
    """Returns the part of an incarnation that identifies the process start."""
    return incarnation // INCARNATION_STEP


class MemberState(IntEnum):
    """State of a member; at equal incarnations the higher value takes precedence."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Member:
    """This daemon's view of one member; a change replaces the whole object."""

    name: str
    incarnation: int
    state: MemberState
    address: Address
    zone: str
    was_leaving: bool
    changed_at: float
    update: MemberUpdate

    @property
    def is_serving(self) -> bool:
        """Whether the member accepts work: alive or suspected, and not leaving."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT) and not self.was_leaving

    @property
    def is_dead(self) -> bool:
        """Whether the member has been declared dead."""
        return self.state is MemberState.DEAD


def make_member(
    now: float,
    name: str,
    incarnation: int,
    state: MemberState,
    address: Address,
    zone: str,
    was_leaving: bool = False,
) -> Member:
    """Builds a member together with the update that gossip sends to other daemons."""
    update = MemberUpdate(name, incarnation, state.name.lower(), str(address), zone)
    leaving = was_leaving or state is MemberState.LEAVING
    return Member(name, incarnation, state, address, zone, leaving, now, update)


class MemberTable:
    """All members by name, with one digest per bucket that is updated incrementally.

    Anti-entropy treats two tables as equal if all their bucket digests are equal, and
    sends only the buckets whose digests differ.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.digests = [0] * DIGEST_BUCKETS
        self._serving: list[str] | None = None
        self._serving_by_zone: dict[str, tuple[str, ...]] = {}

    def put(self, member: Member) -> None:
        """Adds a member, or replaces it by a later state.

        Raises:
            InvariantViolated: The new state precedes the current one.
        """
        current = self.members.get(member.name)
        if current is not None:
            forward = (member.incarnation, member.state) > (current.incarnation, current.state)
            ensure(forward, "a member went back to an earlier state")
            self._toggle_digest(current)
        self.members[member.name] = member
        self._toggle_digest(member)
        if current is None or _have_equal_service(current, member) is False:
            self._serving = None
            self._serving_by_zone.clear()

    def forget(self, name: str) -> None:
        """Removes a member."""
        self._toggle_digest(self.members.pop(name))
        self._serving = None
        self._serving_by_zone.clear()

    def _toggle_digest(self, member: Member) -> None:
        text = f"{member.name}/{member.incarnation}/{int(member.state)}"
        self.digests[bucket_of(member.name)] ^= stable_hash(text) >> 1

    def serving_names(self) -> list[str]:
        """Returns the names of the members that accept work, in name order."""
        if self._serving is None:
            self._serving = sorted(m.name for m in self.members.values() if m.is_serving)
        return self._serving

    def serving_in_zone(self, zone: str) -> tuple[str, ...]:
        """Returns the serving members of a zone; the same tuple object until one changes."""
        names = self.serving_names()
        serving = self._serving_by_zone.get(zone)
        if serving is None:
            serving = tuple(name for name in names if self.members[name].zone == zone)
            self._serving_by_zone[zone] = serving
        return serving

    def random_peers(
        self, own_name: str, count: int, zone: str | None, rng: random.Random
    ) -> list[Member]:
        """Returns up to `count` random members that are not dead, without `own_name`."""
        peers = [
            member
            for member in self.members.values()
            if member.name != own_name and not member.is_dead and zone in (None, member.zone)
        ]
        return rng.sample(peers, min(count, len(peers)))

    def updates_where_digests_differ(self, digests: list[int]) -> list[MemberUpdate]:
        """Returns the updates of all members in the buckets whose digests differ."""
        differing = {n for n, digest in enumerate(self.digests) if digests[n : n + 1] != [digest]}
        return [m.update for m in self.members.values() if bucket_of(m.name) in differing]


def bucket_of(name: str) -> int:
    """Returns the index of the digest bucket to which a member belongs."""
    return stable_hash("bucket", name) % DIGEST_BUCKETS


def _have_equal_service(first: Member, second: Member) -> bool:
    return first.is_serving == second.is_serving and first.zone == second.zone


@dataclass(slots=True)
class Probe:
    """A probe in progress.

    Indirect probes are sent at `indirect_at`; the probe fails at `fail_at`.
    """

    sequence: int
    subject: str
    indirect_at: float
    fail_at: float
    indirect_sent: bool = False
