"""This daemon's replicas of the index and of the shards that it needs."""

import random
from dataclasses import dataclass

from troutswitch.decisions.jobs.index import JobIndex
from troutswitch.decisions.jobs.records import INDEX, shard_partition
from troutswitch.decisions.jobs.shard import ShardFold
from troutswitch.decisions.storage.follower import CallNumbers, PartitionFollower
from troutswitch.decisions.storage.messages import KeyedRecord, StoreCall, StoreOutcome
from troutswitch.decisions.storage.refresh import Refresher

INDEX_WAIT_SECONDS = 1.0
"""Time for which a read of the index waits at the store. Ends of jobs are heard of here,
so a lost answer must be noticed well inside their bound."""
INDEX_PAUSE_SECONDS = 0.25
"""Least time between reads of the index, which bounds the calls under many jobs."""


@dataclass(slots=True)
class ShardReplica:
    """One shard as this daemon has read it; it reads on only when somebody asks."""

    fold: ShardFold
    follower: PartitionFollower
    refresher: Refresher


class JobReplicas:
    """Followers and folds of job records."""

    def __init__(self, numbers: CallNumbers, rng: random.Random) -> None:
        self.index = JobIndex()
        self.shards: dict[int, ShardReplica] = {}
        self.clock_offset = 0.0
        """How far the time of day is ahead of this process's clock; 0 if not told yet."""
        self._numbers = numbers
        self._rng = rng
        self._now = float("-inf")
        self.index_follower = PartitionFollower(
            INDEX,
            numbers,
            rng,
            self._take_index_record,
            INDEX_WAIT_SECONDS,
            INDEX_PAUSE_SECONDS,
        )
        self.index_refresher = Refresher(self.index_follower, numbers)

    def _take_index_record(self, record: KeyedRecord) -> None:
        """Takes a record; those of the first reading may be old, those after it are new."""
        is_old = not self.index_follower.is_current
        self.index.take(self._now, record, self.time_of_day(self._now) if is_old else 0.0)

    def time_of_day(self, now: float) -> float:
        """Returns the seconds since the epoch, or 0 if the clock was not told yet."""
        return now + self.clock_offset if self.clock_offset else 0.0

    def shard(self, number: int) -> ShardReplica:
        """Returns the replica of a shard, which begins to read when first asked for."""
        replica = self.shards.get(number)
        if replica is None:
            fold = ShardFold()
            follower = PartitionFollower(
                shard_partition(number),
                self._numbers,
                self._rng,
                fold.take,
                wait=0.0,
                pause=0.0,
                is_tailing=False,
            )
            replica = ShardReplica(fold, follower, Refresher(follower, self._numbers))
            self.shards[number] = replica
        return replica

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        due = [self.index_follower.next_due(), self.index_refresher.next_due()]
        for replica in self.shards.values():
            due += [replica.follower.next_due(), replica.refresher.next_due()]
        return min(due)

    def on_timer(self, now: float) -> list[StoreCall]:
        """Makes the calls that are due."""
        self._now = now
        calls = self.index_follower.on_timer(now) + self.index_refresher.on_timer(now)
        for replica in self.shards.values():
            calls += replica.follower.on_timer(now) + replica.refresher.on_timer(now)
        return calls

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> list[StoreCall] | None:
        """Takes an outcome; returns None if the call is not one of these replicas'."""
        self._now = now
        pairs = [(self.index_follower, self.index_refresher)]
        pairs += [(replica.follower, replica.refresher) for replica in self.shards.values()]
        for follower, refresher in pairs:
            if follower.owns(call):
                follower.on_answer(now, outcome)
                return []
            if refresher.owns(call):
                return refresher.on_answer(now, outcome)
        return None
