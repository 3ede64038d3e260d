"""Shards that this daemon owns: the group assigns shards, and the writer's epoch fences them.

A lease of a shard goes through these states:

    (none)   -> FENCING  the group assigned the shard to this daemon
    FENCING  -> READING  the store accepted the new epoch: no earlier owner can write now
    READING  -> OWNED    the view of the shard includes the append that fenced earlier owners off
    OWNED    -> FENCING  a write was refused, but the shard is still assigned to this daemon
    any      -> (none)   the group assigned the shard to another daemon

The assignment alone protects nothing, since two daemons may act on different assignments; the
epoch does. Epochs are `round << 24 | random`, so that two leases do not have the same epoch: the
store accepts an equal epoch, and would treat the second owner's writes as repeats.

It owns this daemon's membership in the group and its leases.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from troutswitch.decisions.jobs.records import SHARD_TOPIC, shard_partition
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    FencedOff,
    GroupJoined,
    JoinGroup,
    LeaveGroup,
    StoreCall,
    StoreOutcome,
    WriterStamp,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers

GROUP = "shard-owners"
WRITER = "shard-owner"
EPOCH_BITS = 24
"""Random low bits of an epoch."""
JOIN_SECONDS = 0.5
"""Mean interval between joins, which renew the membership."""
CALL_TIMEOUT_SECONDS = 4.0
"""Time after which a join or an append without an answer is repeated."""
TTL_JOINS = 5.0
"""Time without a join after which the membership expires, in intervals between joins."""
JOIN_TIMEOUT_FIRST_SECONDS = 1.0
"""Timeout of a join after a successful one, short enough that a retry on a new connection arrives
before the membership expires."""
MAX_JOIN_TIMEOUT_SECONDS = 2.0
"""Timeout of a join after a failed one, since the store may be slow for long."""
RETRY_SECONDS = 0.2
"""Mean pause after a failed join or append."""


class ShardState(Enum):
    """State of a shard that is assigned to this daemon."""

    FENCING = "fencing"
    READING = "reading"
    OWNED = "owned"


@dataclass(slots=True)
class ShardLease:
    """A shard assigned to this daemon.

    `call`, `call_at` and `retry_at` belong to the append that fences earlier owners, and
    `fenced_at` is the end that the shard had then. `next_sequence` numbers the writes under the
    epoch. `was_owned` stays true while the shard is fenced again.
    """

    shard: int
    epoch: int
    state: ShardState = ShardState.FENCING
    call: int = 0
    call_at: float = float("-inf")
    retry_at: float = float("-inf")
    fenced_at: int = 0
    next_sequence: int = 0
    was_owned: bool = False

    def next_due(self) -> float:
        """Returns when the fencing append is due, or counts as lost."""
        if self.state is not ShardState.FENCING:
            return float("inf")
        return self.call_at + CALL_TIMEOUT_SECONDS if self.call else self.retry_at


class ShardOwnership:
    """Joins the group, and fences and reads the shards that it assigns."""

    def __init__(
        self,
        member: str,
        min_ttl: float,
        replicas: JobReplicas,
        numbers: CallNumbers,
        rng: random.Random,
        log: Callable[..., None],
    ) -> None:
        self.leases: dict[int, ShardLease] = {}
        self.generation = 0
        self.is_leaving = False
        self._member = member
        self._ttl = max(min_ttl, JOIN_SECONDS * TTL_JOINS)
        self._replicas = replicas
        self._numbers = numbers
        self._rng = rng
        self._log = log
        self._join_call = 0
        self._join_at = float("-inf")
        self._joined_at = float("-inf")
        self._join_failures = 0

    def owned(self) -> list[ShardLease]:
        """Returns the leases of shards that are fenced and read."""
        return [lease for lease in self.leases.values() if lease.state is ShardState.OWNED]

    def startable(self, store_served_at: float) -> list[ShardLease]:
        """Returns the leases of shards whose items may start.

        These include shards that are being fenced again after a failed write: during an outage of
        the store no other daemon can own them, and a result is still listed only once. Failed
        joins of this daemon alone do not prove an outage. If the store has answered another daemon
        after this daemon's membership expired, others own the shards, and jobs that are open here
        may have been ended; then no item may start.

        Args:
            store_served_at: when the store last answered any daemon, as far as this one knows, in
                seconds of this process's clock.
        """
        if store_served_at - self._joined_at > self._ttl:
            return []
        return [lease for lease in self.leases.values() if lease.was_owned]

    # The group.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        if self.is_leaving:
            return float("inf")
        join_due = self._join_at + CALL_TIMEOUT_SECONDS if self._join_call else self._join_at
        return min([join_due, *(lease.next_due() for lease in self.leases.values())])

    def on_timer(self, now: float) -> list[StoreCall]:
        """Joins the group when due, and advances the leases."""
        if self.is_leaving:
            return []
        calls: list[StoreCall] = []
        if self._join_call and now >= self._join_at + CALL_TIMEOUT_SECONDS:
            self._join_call = 0
        if not self._join_call and now >= self._join_at:
            calls.append(self._join(now))
        for lease in self.leases.values():
            calls += self._advance(now, lease)
        return calls

    def _join(self, now: float) -> StoreCall:
        self._join_call = self._numbers.next()
        self._join_at = now
        return JoinGroup(
            self._join_call,
            GROUP,
            self._member,
            (SHARD_TOPIC,),
            self._ttl,
            self.generation,
            MAX_JOIN_TIMEOUT_SECONDS if self._join_failures else JOIN_TIMEOUT_FIRST_SECONDS,
        )

    def leave(self) -> list[StoreCall]:
        """Leaves the group, so that successors take over immediately."""
        self.is_leaving = True
        self.leases.clear()
        return [LeaveGroup(self._numbers.next(), GROUP, self._member)]

    def owns(self, call: int) -> bool:
        """Returns whether a store call is a join or fences a lease."""
        is_join = call == self._join_call != 0
        return is_join or any(lease.call == call for lease in self.leases.values())

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a join or of a fencing append."""
        if call == self._join_call:
            self._join_call = 0
            self._on_join_answered(now, outcome)
            return
        lease = next(lease for lease in self.leases.values() if lease.call == call)
        lease.call = 0
        self._on_fence_answered(now, lease, outcome)

    def _on_join_answered(self, now: float, outcome: StoreOutcome) -> None:
        if isinstance(outcome, GroupJoined):
            self._on_joined(now, outcome)
            return
        self._join_failures += 1
        if self._join_failures == 1:
            self._log("group lost", outcome=str(outcome)[:120])
        self._join_at = now + RETRY_SECONDS * self._rng.uniform(0.5, 1.5)

    def _on_joined(self, now: float, joined: GroupJoined) -> None:
        if self._join_failures:
            self._log("group regained", failures=self._join_failures)
        self._join_failures = 0
        self._join_at = now + JOIN_SECONDS * self._rng.uniform(0.8, 1.2)
        self._joined_at = now
        if self.is_leaving:
            return
        if joined.generation != self.generation:
            # The next join confirms the new assignment. Only then does the group assign the shards
            # that this member has lost to others, so it is made immediately.
            self.generation = joined.generation
            self._join_at = now
        assigned = {part.number for part in joined.partitions if part.topic == SHARD_TOPIC}
        self._apply_assignment(now, assigned)

    def _apply_assignment(self, now: float, assigned: set[int]) -> None:
        for shard in sorted(assigned - set(self.leases)):
            epoch = self._new_epoch(self.generation + 1)
            self.leases[shard] = ShardLease(shard, epoch, retry_at=now)
            self._log("shard assigned", shard=shard, generation=self.generation)
        for shard in sorted(set(self.leases) - assigned):
            del self.leases[shard]
            self._log("shard assigned to another daemon", shard=shard, generation=self.generation)

    # Leases.

    def _new_epoch(self, epoch_round: int) -> int:
        return (epoch_round << EPOCH_BITS) | self._rng.getrandbits(EPOCH_BITS)

    def _advance(self, now: float, lease: ShardLease) -> list[StoreCall]:
        """Fences a shard, or checks whether it was read to the append that fenced it."""
        match lease.state:
            case ShardState.FENCING:
                return self._fence(now, lease)
            case ShardState.READING:
                self._check_read(lease)
            case ShardState.OWNED:
                pass
        return []

    def _fence(self, now: float, lease: ShardLease) -> list[StoreCall]:
        """Appends no records under the new epoch, after which the store refuses lower epochs."""
        if lease.call and now >= lease.call_at + CALL_TIMEOUT_SECONDS:
            lease.call = 0
        if lease.call or now < lease.retry_at:
            return []
        lease.call = self._numbers.next()
        lease.call_at = now
        stamp = WriterStamp(WRITER, lease.epoch, 0)
        return [AppendRecords(lease.call, shard_partition(lease.shard), (), stamp=stamp)]

    def _check_read(self, lease: ShardLease) -> None:
        follower = self._replicas.shard(lease.shard).follower
        if follower.includes(lease.fenced_at):
            lease.state = ShardState.OWNED
            lease.was_owned = True
            self._log(
                "shard owned",
                shard=lease.shard,
                epoch=lease.epoch,
                fenced_at=lease.fenced_at,
                complete_to=follower.next_offset,
            )

    def _on_fence_answered(self, now: float, lease: ShardLease, outcome: StoreOutcome) -> None:
        match outcome:
            case Appended():
                lease.state = ShardState.READING
                lease.next_sequence = 0
                lease.fenced_at = outcome.end
                self._replicas.shard(lease.shard).follower.read_to(now, outcome.end)
            case FencedOff():
                highest = max(lease.epoch, outcome.epoch or 0)
                lease.epoch = self._new_epoch((highest >> EPOCH_BITS) + 1)
                # Without the epoch, several tries may be needed to get above it.
                lease.retry_at = now if outcome.epoch is not None else now + RETRY_SECONDS
            case _:
                lease.retry_at = now + RETRY_SECONDS

    def fence_again(self, now: float, shard: int) -> None:
        """Fences a shard under a new epoch and reads it again, after a refused write."""
        lease = self.leases.get(shard)
        if lease is None:
            return
        lease.state = ShardState.FENCING
        lease.call = 0
        lease.epoch = self._new_epoch((lease.epoch >> EPOCH_BITS) + 1)
        lease.retry_at = now + RETRY_SECONDS * self._rng.uniform(0.5, 1.5)
        self._log("shard fenced again", shard=shard, epoch=lease.epoch)
