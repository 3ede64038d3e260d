"""One incarnation of an engine, as this daemon sees it: counts of requests, load and failures.

Question: how many requests are on an engine now? Three sources each give a part of the answer:

- this daemon's own requests there, which are exact;
- other daemons' requests, as reported by peers and coordinators (`peers_*`, up to a second old);
- the load that the engine reports with its answers, used up to an age of `MAX_LOAD_AGE_SECONDS`, or
  `MAX_PACED_LOAD_AGE_SECONDS` if it has a pace.

Rule: the larger of the counts and the engine's load is used, as both lag. Moving averages of the
waiting prompt tokens and of the slots that online requests occupy are kept too.

The averages are updated each `SAMPLE_SECONDS`. Everything else is written by
`engines.EngineRegistry` and by the slot ledger of a coordinator.

Measurements: docs/POLICY.md.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from troutswitch.decisions.forwarding.engine_pace import EnginePace
from troutswitch.decisions.forwarding.learned_factor import LearnedFactor
from troutswitch.decisions.forwarding.types import EngineLoad, EngineRecord

MAX_LOAD_AGE_SECONDS = 0.4
"""Age up to which a load that an engine reported is used."""
MAX_PACED_LOAD_AGE_SECONDS = 0.1
"""The same for a load with a pace. Streams at such engines take some 0.3 s, so an older load counts
requests that have ended, and batch items would leave their slots unused."""
SAMPLE_SECONDS = 0.1
"""Interval between samples of the waiting prompt tokens and of the slots of online requests."""
PREFILL_AVERAGE_SECONDS = 3.0
"""Time over which the waiting prompt tokens are averaged."""
ONLINE_AVERAGE_SECONDS = 8.0
"""Time over which the slots that online requests occupy are averaged."""
PREFILL_WEIGHT = SAMPLE_SECONDS / PREFILL_AVERAGE_SECONDS
ONLINE_WEIGHT = SAMPLE_SECONDS / ONLINE_AVERAGE_SECONDS


@dataclass(frozen=True, slots=True)
class RequestSize:
    """What a request costs an engine: tokens of memory, and prompt tokens to read."""

    tokens: int
    prefill_tokens: int


NO_SIZE = RequestSize(0, 0)


class FactorSource(StrEnum):
    """Where an engine's time factor comes from."""

    REPORTED = "reported"
    """The newest pace that the engine reported."""
    AVERAGE = "average"
    """The average of the paces that it reported, as the newest is too old."""
    LEARNED = "learned"
    """Its run times, because it reports no pace or one that its run times contradict."""
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Engine:
    """One incarnation of an engine. Times are this process's clock, in seconds."""

    record: EngineRecord
    is_listed: bool = True
    """Whether the engine is in the newest list, or stays in use although it is missing there."""
    is_draining: bool = False
    """Whether the engine drains or was replaced, so that it gets no new work."""

    # This daemon's requests on it.
    online_in_flight: int = 0
    batch_in_flight: int = 0
    tokens_in_flight: int = 0
    prefill_tokens: int = 0
    """Prompt tokens of the requests whose answer has not begun."""

    # Other daemons' requests on it, as reported.
    peers_online: int = 0
    peers_batch: int = 0
    peers_prefill_tokens: int = 0

    # The engine's own load.
    load: EngineLoad | None = None
    load_at: float = float("-inf")
    sent_since_load: int = 0
    """Requests that this daemon sent since the load was reported."""
    pace: EnginePace = field(default_factory=EnginePace)
    learned: LearnedFactor = field(default_factory=LearnedFactor)
    mean_factor: float | None = None
    """Mean of the reported time factors of its service's engines, updated twice a second;
    None if its service has no pace."""
    busy_at: float = float("-inf")
    """When it was last seen with a request of any daemon, or first seen; kept for services with a
    pace only."""
    health_asked_at: float = float("-inf")
    """When this daemon last asked it at its health path."""
    last_seen_at: float = float("-inf")
    """When bytes of any of its answers were last received."""

    # Averages.
    mean_prefill_tokens: float = 0.0
    mean_online: float = 0.0
    online_samples: int = 0

    # Failures.
    has_answered: bool = False
    """Whether any answer of it was received here."""
    failures: int = 0
    """Consecutive failures."""
    ejected_until: float = float("-inf")
    full_until: float = float("-inf")
    """Until when the engine is no candidate because it rejected a request as full."""

    online_sent_at: deque[float] = field(default_factory=deque)
    """When the counted online requests on the engine were sent, oldest first."""

    @property
    def is_leaving(self) -> bool:
        """Whether the engine must not be sent new work."""
        return self.is_draining or not self.is_listed

    @property
    def slots(self) -> int:
        """Requests that the engine runs concurrently, at least 1."""
        return max(1, self.record.slots)

    @property
    def waiting_prefill_tokens(self) -> int:
        """Prompt tokens that the engine has yet to read, according to the daemons' counts."""
        return self.prefill_tokens + self.peers_prefill_tokens

    def online_count(self) -> int:
        """Returns the online requests on the engine, according to the daemons' counts."""
        return self.online_in_flight + self.peers_online

    def batch_count(self) -> int:
        """Returns the batch items on the engine, according to the daemons' counts."""
        return self.batch_in_flight + self.peers_batch

    def in_flight(self, now: float) -> int:
        """Returns the requests on the engine: the larger of the counts and the reported load."""
        own = self.online_in_flight + self.batch_in_flight
        counted = own + self.peers_online + self.peers_batch
        if self.load is None or now - self.load_at > self._max_load_age(self.load):
            return counted
        reported = self.load.running + self.load.waiting + self.sent_since_load
        if self.peers_online or self.peers_batch:
            return max(counted, reported)
        return max(own, reported)

    @staticmethod
    def _max_load_age(load: EngineLoad) -> float:
        has_pace = load.pace_percent is not None
        return MAX_PACED_LOAD_AGE_SECONDS if has_pace else MAX_LOAD_AGE_SECONDS

    def factor_source(self, now: float) -> FactorSource:
        """Returns where the time factor comes from."""
        if self.pace.is_known(now) and not self.learned.contradicts_reports:
            return FactorSource.REPORTED if self.pace.is_fresh(now) else FactorSource.AVERAGE
        is_learned = self.mean_factor is not None and self.learned.is_known
        return FactorSource.LEARNED if is_learned else FactorSource.UNKNOWN

    def time_factor(self, now: float) -> float:
        """Returns how many times as long as usual work takes here; 1 if it is not known.

        "Usual" is what engines report as 100 percent, for all engines of a service. The reported
        percentage includes the engine's own speed, so the mean of a service's engines is not 100.
        The mean run times of a service (`RunTimes`) are those of engines at that mean. A learned
        ratio is relative to the mean run time, and is converted with the service's mean factor.
        """
        source = self.factor_source(now)
        if source is FactorSource.LEARNED:
            return self.learned.ratio * (self.mean_factor or 1.0)
        return 1.0 if source is FactorSource.UNKNOWN else self.pace.time_factor(now)

    def relative_factor(self, now: float) -> float:
        """Returns how long work takes here, compared with the mean of its service's engines.

        Multiplied with a mean run time of the service, it gives the run time here. It is 1 if the
        factor is not known, and for services without a pace.
        """
        if self.mean_factor is None:
            return 1.0
        source = self.factor_source(now)
        if source is FactorSource.LEARNED:
            return self.learned.ratio
        if source is FactorSource.UNKNOWN:
            return 1.0
        return self.pace.time_factor(now) / self.mean_factor

    def factor_age(self, now: float) -> float:
        """Returns the age of the newest value that the time factor is computed from, in seconds."""
        match self.factor_source(now):
            case FactorSource.LEARNED:
                return now - self.learned.learned_at
            case FactorSource.UNKNOWN:
                return float("inf")
            case _:
                return now - self.pace.read_at

    def on_run(self, now: float, slot_time: float, mean_slot_time: float) -> None:
        """Records the slot time of a completed stream, in relation to the mean of its service."""
        if self.mean_factor is None or mean_slot_time <= 0:
            return
        is_reported = self.pace.is_known(now)
        predicted = self.pace.average_factor / self.mean_factor if is_reported else None
        self.learned.on_run(now, slot_time / mean_slot_time, predicted)

    def online_load(self, now: float) -> int:
        """Returns the online requests on the engine: the larger of the counts and the load."""
        return max(self.online_count(), self.in_flight(now) - self.batch_count())

    def change_peers_online(self, now: float, change: int) -> None:
        """Changes the number of online requests that peers have on the engine."""
        change = max(change, -self.peers_online)
        self.peers_online += change
        self._update_send_times(now, change)

    def change_own_online(self, now: float, change: int) -> None:
        """Changes the number of online requests that this daemon has on the engine."""
        change = max(change, -self.online_in_flight)
        self.online_in_flight += change
        self._update_send_times(now, change)

    def _update_send_times(self, now: float, change: int) -> None:
        """Updates the send times; the request that ended is unknown and taken to be the oldest."""
        for _ in range(change):
            self.online_sent_at.append(now)
        for _ in range(min(-change, len(self.online_sent_at))):
            self.online_sent_at.popleft()

    def sample(self) -> None:
        """Updates the averages with the current counts; called each `SAMPLE_SECONDS`."""
        change = self.waiting_prefill_tokens - self.mean_prefill_tokens
        self.mean_prefill_tokens += PREFILL_WEIGHT * change
        online_change = min(self.online_count(), self.slots) - self.mean_online
        self.online_samples += 1
        weight = max(ONLINE_WEIGHT, 1 / self.online_samples)
        self.mean_online += weight * online_change
