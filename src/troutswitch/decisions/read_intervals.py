"""Limits how often this daemon reads the store, so that the reads of a large fleet stay bounded.

Question: what is the minimum interval, in seconds, between this daemon's reads of one data set (the
engine list, the coordinators' claims, the job index, or the reported crashes)?
Inputs: the number of known daemons, from heartbeats and from the peer registry, which is read every
10 s; the store's bound on the reads of all daemons, in calls per second, where 0 means no bound;
the number of pages of the last complete engine list.
Rule: interval = daemons / (`READS_SHARE` * bound), multiplied by the pages for the engine list.
Each reader uses the longer of this and its usual interval.
Why: the reads of one data set by all daemons then use at most `READS_SHARE` of the store's bound,
whatever the size of the fleet.
Measurement: docs/CAPACITY.md, "What carries it, and what binds".
"""

from troutswitch.decisions.crashes.suspects import CrashSuspects
from troutswitch.decisions.forwarding.engine_list import EngineListReader
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.peers.heartbeats import Peers
from troutswitch.decisions.slots.coordinator_claims import CoordinatorClaims

READS_SHARE = 0.25
"""Share of the store's bound that all daemons' reads of one data set may use."""


def min_read_interval(daemons: int, reads_per_second: float) -> float:
    """Returns the minimum interval, in seconds, between one daemon's reads of one data set."""
    rate = READS_SHARE * reads_per_second
    return daemons / rate if rate > 0 else 0.0


class ReadIntervals:
    """Sets the minimum interval of each reader according to the size of the fleet."""

    def __init__(
        self,
        peers: Peers,
        engine_list: EngineListReader,
        engines: EngineRegistry,
        claims: CoordinatorClaims,
        replicas: JobReplicas,
        suspects: CrashSuspects,
    ) -> None:
        self._peers = peers
        self._engine_list = engine_list
        self._engines = engines
        self._claims = claims
        self._replicas = replicas
        self._suspects = suspects

    def daemons(self) -> int:
        """Returns the number of known daemons, including this one."""
        return 1 + self._peers.count()

    def is_engine_list_slowed(self) -> bool:
        """Returns whether the size of the fleet makes reads of the engine list rarer than usual."""
        return self._engine_list.min_interval > self._engine_list.interval

    def update(self, reads_per_second: float) -> None:
        """Sets the intervals for the current number of daemons."""
        interval = min_read_interval(self.daemons(), reads_per_second)
        engine_list = self._engine_list
        engine_list.min_interval = interval * engine_list.page_count
        self._engines.expired.interval = max(engine_list.min_interval, engine_list.interval)
        self._claims.set_min_read_interval(interval)
        self._replicas.index_follower.min_interval = interval
        self._suspects.set_min_interval(interval)
