"""The member table: what one daemon believes of every other, and digests of it."""

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
    """Returns the part of an incarnation that tells one process start from another."""
    return incarnation // INCARNATION_STEP


class MemberState(IntEnum):
    """State of a member; at equal incarnation the higher one wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Member:
    """What is believed of one member; replaced as a whole when it changes."""

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
        """Whether the member takes on work: alive, or suspected but not yet dead."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT) and not self.was_leaving

    @property
    def is_dead(self) -> bool:
        """Whether the member is known dead."""
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
    """Builds a member with the update that is told to others."""
    update = MemberUpdate(name, incarnation, state.name.lower(), str(address), zone)
    leaving = was_leaving or state is MemberState.LEAVING
    return Member(name, incarnation, state, address, zone, leaving, now, update)


class MemberTable:
    """All members by name, with a digest a bucket that is kept up as members change.

    Two tables are equal, as far as gossip goes, if all their bucket digests are, so
    that anti-entropy sends only the buckets that differ.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.digests = [0] * DIGEST_BUCKETS
        self._serving: list[str] | None = None
        self._serving_by_zone: dict[str, tuple[str, ...]] = {}

    def put(self, member: Member) -> None:
        """Adds or replaces a member; legal only forward.

        Raises:
            InvariantViolated: the member would go back to an earlier state.
        """
        held = self.members.get(member.name)
        if held is not None:
            forward = (member.incarnation, member.state) > (held.incarnation, held.state)
            ensure(forward, "a member went back to an earlier state")
            self._toggle_digest(held)
        self.members[member.name] = member
        self._toggle_digest(member)
        if held is None or _have_equal_service(held, member) is False:
            self._serving = None
            self._serving_by_zone.clear()

    def forget(self, name: str) -> None:
        """Drops a member."""
        self._toggle_digest(self.members.pop(name))
        self._serving = None
        self._serving_by_zone.clear()

    def _toggle_digest(self, member: Member) -> None:
        text = f"{member.name}/{member.incarnation}/{int(member.state)}"
        self.digests[bucket_of(member.name)] ^= stable_hash(text) >> 1

    def serving_names(self) -> list[str]:
        """Returns the members that take on work, in name order."""
        if self._serving is None:
            self._serving = sorted(m.name for m in self.members.values() if m.is_serving)
        return self._serving

    def serving_in_zone(self, zone: str) -> tuple[str, ...]:
        """Returns the serving members of a zone; the same object while nothing changes."""
        names = self.serving_names()
        held = self._serving_by_zone.get(zone)
        if held is None:
            held = tuple(name for name in names if self.members[name].zone == zone)
            self._serving_by_zone[zone] = held
        return held

    def random_peers(
        self, me: str, count: int, zone: str | None, rng: random.Random
    ) -> list[Member]:
        """Returns up to `count` random members other than `me` that are not dead."""
        peers = [
            member
            for member in self.members.values()
            if member.name != me and not member.is_dead and zone in (None, member.zone)
        ]
        return rng.sample(peers, min(count, len(peers)))

    def updates_where_digests_differ(self, digests: list[int]) -> list[MemberUpdate]:
        """Returns the updates of all members in buckets whose digests differ."""
        differing = {n for n, digest in enumerate(self.digests) if digests[n : n + 1] != [digest]}
        return [m.update for m in self.members.values() if bucket_of(m.name) in differing]


def bucket_of(name: str) -> int:
    """Returns the digest bucket of a member."""
    return stable_hash("bucket", name) % DIGEST_BUCKETS


def _have_equal_service(one: Member, other: Member) -> bool:
    return one.is_serving == other.is_serving and one.zone == other.zone


@dataclass(slots=True)
class Probe:
    """A probe in progress."""

    sequence: int
    subject: str
    indirect_at: float
    fail_at: float
    indirect_sent: bool = False
