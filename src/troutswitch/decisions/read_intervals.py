"""Decides how seldom this daemon reads the store, so that a large fleet's reads stay bounded.

Question: the least interval, in seconds, between this daemon's reads of one thing (the engine
list, the coordinators' claims, the job index, the reported crashes).
Inputs: the daemons known here (a count, from heartbeats and from the peer registry, which is read
each 10 s), the store's bound on the reads of all daemons (calls a second; 0 is no bound), and the
pages of the last whole engine list.
Rule: interval = daemons / (`READS_SHARE` * bound), times the pages for the engine list. Each reader
takes the longer of this and its usual interval.
Why: the reads of all daemons for one thing then take at most `READS_SHARE` of what the store
allows, whatever the size of the fleet.
Measurement: docs/CAPACITY.md, "What carries it, and what binds".
"""

from troutswitch.decisions.crashes.suspects import CrashSuspects
from troutswitch.decisions.forwarding.engine_list import EngineListReader
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.peers.heartbeats import Peers
from troutswitch.decisions.slots.coordinator_claims import CoordinatorClaims

READS_SHARE = 0.25
"""Share of the store's reads that all daemons' reads of one thing may take."""


def min_read_interval(daemons: int, reads_per_second: float) -> float:
    """Returns the least interval in seconds between one daemon's reads of one thing."""
    rate = READS_SHARE * reads_per_second
    return daemons / rate if rate > 0 else 0.0


class ReadIntervals:
    """Sets the least interval of each reader that many daemons share the store's reads with."""

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
        """Returns how many daemons are known, this one included."""
        return 1 + self._peers.count()

    def is_engine_list_slowed(self) -> bool:
        """Returns whether the fleet's size makes readings of the engine list rarer than usual."""
        return self._engine_list.least_interval > self._engine_list.interval

    def update(self, reads_per_second: float) -> None:
        """Sets the intervals for the present number of daemons."""
        interval = min_read_interval(self.daemons(), reads_per_second)
        engine_list = self._engine_list
        engine_list.least_interval = interval * engine_list.pages
        self._engines.expired.interval = max(engine_list.least_interval, engine_list.interval)
        self._claims.set_min_read_interval(interval)
        self._replicas.index_follower.min_interval = interval
        self._suspects.set_min_interval(interval)
