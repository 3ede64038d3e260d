"""Shards that this daemon follows, claims, owns and hands over.

The first serving daemon in a shard's rendezvous order is its preferred owner and the
second is its standby; both follow the shard. Membership and lease expiry only decide
when to claim a shard. Safety depends on the epoch in the fold alone.
"""

from collections.abc import Callable, Iterator

from troutswitch.decisions.invariants import ensure
from troutswitch.standalone.constants import (
    CLAIM_RETRY_SECONDS,
    HANDOVER_SECONDS,
    LEASE_SECONDS,
    SHARD_FOLLOWERS,
    SHARD_IDLE_UNLOAD_SECONDS,
)
from troutswitch.standalone.daemons.messages import ShardHandoverRequest, ShardStreamGrown
from troutswitch.standalone.decisions.batch.fold import FoldChange, JobStopped, OwnerChanged
from troutswitch.standalone.decisions.batch.owner import ShardOwner
from troutswitch.standalone.decisions.batch.placement import ShardPlacement
from troutswitch.standalone.decisions.batch.replica import ShardReplica, snapshot_stream
from troutswitch.standalone.decisions.batch.snapshot import encode_snapshot
from troutswitch.standalone.decisions.effects import AppendToLog, Effect, LogEvent, SendDatagram
from troutswitch.standalone.decisions.log_reader import LogReader
from troutswitch.standalone.decisions.log_writer import LogWriter
from troutswitch.standalone.decisions.membership import Membership
from troutswitch.standalone.log_service.records import EpochClaimed

OwnerHook = Callable[[float, ShardOwner], list[Effect]]


class Ownership:
    """All shard replicas of this daemon, and the owners of the shards that it owns."""

    def __init__(
        self,
        shard_count: int,
        membership: Membership,
        writer: LogWriter,
        reader: LogReader,
        on_ready: Callable[[float], list[Effect]],
        on_owner_lost: OwnerHook,
    ) -> None:
        self.shard_count = shard_count
        self.replicas: dict[int, ShardReplica] = {}
        self.owners: dict[int, ShardOwner] = {}
        self.is_draining = False
        self._membership = membership
        self._placement = ShardPlacement(shard_count, SHARD_FOLLOWERS)
        self._writer = writer
        self._reader = reader
        self._on_ready = on_ready
        self._on_owner_lost = on_owner_lost
        self._on_job_stopped: Callable[[int, str], list[Effect]] = lambda shard, job_id: []
        self._change_hooks: list[Callable[[float, int], list[Effect]]] = []
        self._pending_claims: dict[int, int] = {}
        self._pending_releases: dict[int, int] = {}
        self._handover_deadlines: dict[int, float] = {}
        self._used_at: dict[int, float] = {}
        self._next_check_at = float("-inf")

    @property
    def identity(self) -> str:
        """This daemon's identity as an owner, `name#started`."""
        return self._writer.writer

    def set_job_stopped_hook(self, hook: Callable[[int, str], list[Effect]]) -> None:
        """Sets the function to call with shard and job id when an owned job is cancelled."""
        self._on_job_stopped = hook

    def add_change_hook(self, hook: Callable[[float, int], list[Effect]]) -> None:
        """Adds a function to call with the shard after each read of its stream."""
        self._change_hooks.append(hook)

    def replica(self, now: float, shard: int) -> tuple[ShardReplica, list[Effect]]:
        """Returns a shard's replica and effects; starts following the shard if necessary."""
        self._used_at[shard] = now
        existing = self.replicas.get(shard)
        if existing is not None:
            return existing, []

        def on_changes(at: float, changes: list[FoldChange]) -> list[Effect]:
            if self.replicas.get(shard) is not replica:
                return []  # unloaded during this read
            return self._on_changes(at, shard, changes)

        replica = ShardReplica(shard, self._reader, on_changes)
        self.replicas[shard] = replica
        return replica, replica.read_now(now)

    # Timers.

    def next_due(self) -> float:
        """Returns the time of the next check or poll."""
        polls = (replica.next_due() for replica in self.replicas.values())
        return min(self._next_check_at, min(polls, default=float("inf")))

    def on_timer(self, now: float) -> list[Effect]:
        """Polls streams, and claims, renews and hands over shards."""
        effects: list[Effect] = []
        for replica in list(self.replicas.values()):
            effects.extend(replica.on_timer(now))
        if now >= self._next_check_at:
            self._next_check_at = now + CLAIM_RETRY_SECONDS
            effects.extend(self._check_shards(now))
        return effects

    def _check_shards(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for shard in self._followed_shards():
            replica, reads = self.replica(now, shard)
            effects.extend(reads)
            effects.extend(self._consider_claim(now, replica, self.followers(shard)))
        for owner in list(self.owners.values()):
            effects.extend(self._maintain_owner(now, owner))
        self._unload_idle(now)
        return effects

    def followers(self, shard: int) -> list[str]:
        """Returns the daemons that follow a shard, preferred owner first."""
        self._placement.update(self._membership.serving_names())
        return self._placement.followers(shard)

    def _followed_shards(self) -> list[int]:
        if self.is_draining:
            return []
        self._placement.update(self._membership.serving_names())
        return self._placement.followed_by(self._membership.name)

    def owner_name(self, shard: int) -> str:
        """Returns the shard's owner if known, otherwise its preferred owner."""
        replica = self.replicas.get(shard)
        if replica is not None and replica.fold.owner:
            return replica.fold.owner.partition("#")[0]
        return next(iter(self.followers(shard)), "")

    def _unload_idle(self, now: float) -> None:
        for shard, used_at in list(self._used_at.items()):
            if shard not in self.owners and now - used_at > SHARD_IDLE_UNLOAD_SECONDS:
                self.replicas.pop(shard, None)
                del self._used_at[shard]

    # Claiming.

    def _consider_claim(
        self, now: float, replica: ShardReplica, followers: list[str]
    ) -> list[Effect]:
        shard = replica.shard
        fold = replica.fold
        if shard in self.owners or now - replica.fresh_as_of > LEASE_SECONDS:
            return []
        if self._pending_claims.get(shard) == fold.epoch:
            return []  # the claim on this epoch has not been read back yet
        is_preferred = followers[0] == self._membership.name
        if self._may_claim(now, replica, is_preferred):
            self._pending_claims[shard] = fold.epoch
            claim = EpochClaimed(self.identity, fold.epoch)
            return self._writer.append(replica.stream, [claim])
        if is_preferred and fold.owner:
            return self._request_handover(shard, fold.owner)
        return []

    def _may_claim(self, now: float, replica: ShardReplica, is_preferred: bool) -> bool:
        fold = replica.fold
        silent_seconds = now - replica.owner_seen_at
        lease_expired = silent_seconds > LEASE_SECONDS
        if not fold.owner:
            return is_preferred or lease_expired
        if fold.owner == self.identity:
            return False
        if not self._membership.is_alive_incarnation(fold.owner):
            return is_preferred or lease_expired
        # The owner is alive for its peers, but records nothing although it has work.
        return lease_expired and bool(fold.open_jobs)

    def _request_handover(self, shard: int, owner: str) -> list[Effect]:
        address = self._membership.address_of(owner.partition("#")[0])
        if address is None:
            return []
        return [SendDatagram(address, ShardHandoverRequest(self._membership.name, shard))]

    # Fold changes.

    def _on_changes(self, now: float, shard: int, changes: list[FoldChange]) -> list[Effect]:
        effects: list[Effect] = []
        for change in changes:
            if isinstance(change, OwnerChanged):
                effects.extend(self._end_ownership(now, shard))
        effects.extend(self._follow_owner(now, shard, changes))
        for hook in self._change_hooks:
            effects.extend(hook(now, shard))
        return effects

    def _follow_owner(self, now: float, shard: int, changes: list[FoldChange]) -> list[Effect]:
        """Passes changes to the owner; a new owner starts from the current fold instead.

        Changes read together with the claim may belong to earlier epochs, and an attempt
        of a previous owner must not be treated as one of the new owner.
        """
        was_owner = shard in self.owners
        effects = self._begin_ownership(now, shard)
        owner = self.owners.get(shard)
        if owner is None:
            return effects
        ensure(
            owner.epoch == self.replicas[shard].fold.epoch,
            "the owner's epoch is not the current one",
        )
        if was_owner:
            effects.extend(owner.on_changes(now, changes))
            for change in changes:
                if isinstance(change, JobStopped):
                    effects.extend(self._on_job_stopped(shard, change.job_id))
        effects.extend(self._append_snapshot(owner))
        effects.extend(self._on_ready(now))
        return effects

    def _begin_ownership(self, now: float, shard: int) -> list[Effect]:
        replica = self.replicas[shard]
        fold = replica.fold
        if fold.owner != self.identity or shard in self.owners:
            return []
        if self._pending_releases.get(shard) == fold.epoch:
            return []  # the release has not been read back yet
        owner = ShardOwner(replica, fold.epoch, self._writer, self._reader, self._on_ready)
        self.owners[shard] = owner
        log_event = LogEvent("shard owned", {"shard": shard, "epoch": fold.epoch})
        return [log_event, *owner.take_over(now)]

    def _end_ownership(self, now: float, shard: int) -> list[Effect]:
        owner = self.owners.pop(shard, None)
        self._handover_deadlines.pop(shard, None)
        if owner is None:
            return []
        log_event = LogEvent("shard lost", {"shard": shard, "epoch": owner.epoch})
        return [log_event, *self._on_owner_lost(now, owner)]

    def _append_snapshot(self, owner: ShardOwner) -> list[Effect]:
        if not owner.snapshot_due:
            return []
        owner.snapshot_due = False
        return [AppendToLog(snapshot_stream(owner.shard), encode_snapshot(owner.fold))]

    # Handover.

    def _maintain_owner(self, now: float, owner: ShardOwner) -> list[Effect]:
        if self.is_draining:
            self._start_handover(now, owner)
        if not owner.is_releasing:
            return owner.renew(now)
        if owner.running_items() == 0 or now >= self._handover_deadlines[owner.shard]:
            return self._release(now, owner)
        return owner.renew(now)

    def _start_handover(self, now: float, owner: ShardOwner) -> None:
        owner.is_releasing = True
        self._handover_deadlines.setdefault(owner.shard, now + HANDOVER_SECONDS)

    def _release(self, now: float, owner: ShardOwner) -> list[Effect]:
        self.owners.pop(owner.shard, None)
        self._handover_deadlines.pop(owner.shard, None)
        self._pending_releases[owner.shard] = owner.epoch
        log_event = LogEvent("shard released", {"shard": owner.shard, "epoch": owner.epoch})
        return [log_event, *owner.release(), *self._on_owner_lost(now, owner)]

    def on_shard_wanted(self, now: float, message: ShardHandoverRequest) -> list[Effect]:
        """Starts the handover of an owned shard if its preferred owner requests it."""
        owner = self.owners.get(message.shard)
        if owner is not None and self.followers(message.shard)[:1] == [message.sender]:
            self._start_handover(now, owner)
        return []

    def on_stream_grown(self, now: float, message: ShardStreamGrown) -> list[Effect]:
        """Reads a followed shard whose stream has grown."""
        replica = self.replicas.get(message.shard)
        return replica.read_now(now) if replica is not None else []

    def notify_owner(self, shard: int) -> list[Effect]:
        """Notifies the shard's owner that its stream has grown."""
        address = self._membership.address_of(self.owner_name(shard))
        if address is None:
            return []
        return [SendDatagram(address, ShardStreamGrown(self._membership.name, shard))]

    def on_appended(self, now: float, stream: str) -> list[Effect]:
        """Reads the stream after a confirmed append of this daemon."""
        for replica in self.replicas.values():
            if replica.stream == stream:
                return replica.read_now(now)
        return []

    def has_released_all(self) -> bool:
        """Returns whether this daemon owns no shard."""
        return not self.owners

    def open_owners(self) -> Iterator[ShardOwner]:
        """Yields the owners that still dispatch items."""
        for owner in self.owners.values():
            if not owner.is_releasing:
                yield owner
