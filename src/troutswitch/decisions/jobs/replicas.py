"""This daemon's replicas of the index and of the shards that it uses.

It owns the followers and folds of all job records, and the offset between this process's clock
and the time of day. The index is followed continuously; a shard is read on demand.
"""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from troutswitch.decisions.jobs.index import JobIndex
from troutswitch.decisions.jobs.records import INDEX, shard_partition
from troutswitch.decisions.jobs.shard import ShardFold
from troutswitch.decisions.storage.follower import PartitionFollower
from troutswitch.decisions.storage.messages import (
    Appended,
    KeyedRecord,
    Partition,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decisions.storage.refresh import Refresher

INDEX_LONG_POLL_SECONDS = 1.0
"""Time for which a read of the index waits at the store for new records. Jobs are ended through the
index, so a lost answer must be detected well before the items of an ended job must stop."""
MIN_INDEX_READ_INTERVAL_SECONDS = 0.25
"""Minimum interval between reads of the index, which bounds the calls when many jobs change."""


@dataclass(slots=True)
class ShardReplica:
    """This daemon's replica of one shard, which is read only on demand."""

    fold: ShardFold
    follower: PartitionFollower
    refresher: Refresher


class JobReplicas:
    """Followers and folds of job records."""

    def __init__(self, numbers: CallNumbers, rng: random.Random) -> None:
        self.index = JobIndex()
        self.shards: dict[int, ShardReplica] = {}
        self.clock_offset = 0.0
        """Seconds by which the time of day is ahead of this process's clock; 0 if unknown."""
        self._numbers = numbers
        self._rng = rng
        self._now = float("-inf")
        self.index_follower = PartitionFollower(
            INDEX,
            numbers,
            rng,
            self._apply_index_record,
            INDEX_LONG_POLL_SECONDS,
            MIN_INDEX_READ_INTERVAL_SECONDS,
        )
        self.index_refresher = Refresher(self.index_follower, numbers)

    def _apply_index_record(self, record: KeyedRecord) -> None:
        """Applies a record of the index. Records may be old until the first read is complete."""
        is_old = not self.index_follower.is_following
        self.index.apply(self._now, record, self.time_of_day(self._now) if is_old else 0.0)

    def time_of_day(self, now: float) -> float:
        """Returns the time of day in seconds since the epoch, or 0 if the offset is unknown."""
        return now + self.clock_offset if self.clock_offset else 0.0

    def shard(self, number: int) -> ShardReplica:
        """Returns the replica of a shard; creates it on first use."""
        replica = self.shards.get(number)
        if replica is None:
            replica = self.shards[number] = self._new_shard(number)
        return replica

    def _new_shard(self, number: int) -> ShardReplica:
        fold = ShardFold()
        follower = PartitionFollower(
            shard_partition(number),
            self._numbers,
            self._rng,
            fold.apply,
            wait=0.0,
            pause=0.0,
            is_tailing=False,
        )
        return ShardReplica(fold, follower, Refresher(follower, self._numbers))

    def _readers(self) -> Iterator[tuple[PartitionFollower, Refresher]]:
        yield self.index_follower, self.index_refresher
        for replica in self.shards.values():
            yield replica.follower, replica.refresher

    @property
    def held_bytes(self) -> int:
        """Bytes of the records of all shards that are read; may be asked on any thread."""
        replicas = list(self.shards.values())
        return sum(replica.fold.held_bytes + replica.follower.held_bytes for replica in replicas)

    def on_appended(
        self,
        now: float,
        partition: Partition,
        records: Iterable[KeyedRecord],
        appended: Appended,
    ) -> None:
        """Applies records that this daemon appended to the index or to a shard."""
        self._now = now
        is_index = partition == INDEX
        follower = self.index_follower if is_index else self.shard(partition.number).follower
        follower.apply_appended(records, appended)

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min(
            min(follower.next_due(), refresher.next_due())
            for follower, refresher in self._readers()
        )

    def on_timer(self, now: float) -> list[StoreCall]:
        """Returns the store calls that are due."""
        self._now = now
        calls: list[StoreCall] = []
        for follower, refresher in list(self._readers()):
            calls += follower.on_timer(now)
            calls += refresher.on_timer(now)
        return calls

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> list[StoreCall]:
        """Handles the outcome of a read; ignores outcomes of unknown calls."""
        self._now = now
        for follower, refresher in list(self._readers()):
            if follower.owns(call):
                follower.on_answer(now, call, outcome)
                return []
            if refresher.owns(call):
                return refresher.on_answer(now, outcome)
        return []
