"""All engines that this daemon knows, and the requests on them.

Owns the engines by their id. Each incarnation of an engine has an id of its own. An id that was
seen draining, or whose address answered as another incarnation, never gets new work here again.
An id that is only missing from the list gets none while it is missing: entries also expire while
the store is down (`expired_entries`). When an engine restarts, its former incarnation is removed
with the first list that has the next one.

Relies on the list of engines (`engine_list`, or a peer's copy), on drain notices of peers, and on
reports of the start and end of each attempt. All times are this process's clock, in seconds.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass, field

from troutswitch.daemons.messages import MAX_PACES, EngineCounts, PaceReading, engine_key
from troutswitch.decisions.forwarding import engine_ejection
from troutswitch.decisions.forwarding.engine import (
    SAMPLE_SECONDS,
    Engine,
    FactorSource,
    RequestSize,
)
from troutswitch.decisions.forwarding.engine_pace import (
    MAX_PERCENT,
    PaceObservation,
    mean_factor,
)
from troutswitch.decisions.forwarding.expired_entries import ExpiredEntries
from troutswitch.decisions.forwarding.idle_connections import IdleConnections
from troutswitch.decisions.forwarding.mean_tokens import MeanTokens
from troutswitch.decisions.forwarding.types import EngineLoad, EngineRecord
from troutswitch.decisions.streams.versions import EngineVersions

DRAIN_NOTICE_SECONDS = 1.0
"""Time for which a peer's notice that an engine left outweighs a list that still has it. The list
may have been read earlier: a reading takes several pages, and may be shared by a peer."""
PACE_SAMPLE_SECONDS = 0.5
"""Interval between computations of a service's mean pace: a quarter of the time over which paces
are averaged. Each takes a pass over all engines of the service."""
MAX_REMEMBERED_DRAINING = 4096
"""Maximum number of incarnations that are remembered as draining or replaced."""


@dataclass
class EngineRegistry:
    """All engines in the list, and unlisted engines that still have requests of this daemon."""

    engines: dict[str, Engine] = field(default_factory=dict)
    expired: ExpiredEntries = field(default_factory=ExpiredEntries)
    own_changes: int = 0
    """Number of changes of this daemon's own requests on engines.

    Shows whether peers have been sent the newest counts.
    """
    list_changes: int = 0
    """Number of changes of the set of engines; groups are rebuilt after each."""
    kept_missing: set[str] = field(default_factory=set)
    """Engines that the last list does not have and that stay in use."""
    unusable_entries: dict[str, str] = field(default_factory=dict)
    """Why entries of the last list could not be used, by entry."""
    mean_tokens: MeanTokens = field(default_factory=MeanTokens)
    idle_connections: IdleConnections = field(default_factory=IdleConnections)
    versions: EngineVersions = field(default_factory=EngineVersions)
    _own_paces: dict[str, PaceObservation] = field(default_factory=dict)
    """The newest pace that each engine reported to this daemon, until it is taken; newest last."""
    _paced_services: set[str] = field(default_factory=set)
    _sample_at: float = float("-inf")
    _pace_sample_at: float = float("-inf")
    _reported_gone_at: dict[str, float] = field(default_factory=dict)
    """When peers reported that engines left the list; kept until a later list decides."""
    _draining: dict[str, None] = field(default_factory=dict)
    _to_check: set[str] = field(default_factory=set)
    """Engines to be checked that failed since `take_failed` was called."""
    _by_service: dict[str, list[Engine]] = field(default_factory=dict)
    _by_key: dict[int, Engine] = field(default_factory=dict)

    def on_list(self, now: float, records: list[EngineRecord]) -> tuple[list[str], list[str]]:
        """Updates the engines from a whole list; returns the ids that were added and removed.

        Args:
            now: when the list was read, here or by a peer, in seconds of this process's clock.
            records: all entries.
        """
        self.versions.on_list(now, records)
        before = self._accepting_work()
        self._reported_gone_at = {
            engine_id: at
            for engine_id, at in self._reported_gone_at.items()
            if now < at + DRAIN_NOTICE_SECONDS
        }
        records = [record for record in records if record.engine_id not in self._reported_gone_at]
        listed = {record.engine_id for record in records}
        for record in records:
            self._add_or_update(record)
        missing = self.engines.keys() - listed
        restarted = self._restarted(missing, records)
        self._remove_from_list(self.expired.on_list(now, missing - restarted) | restarted)
        after = self._accepting_work()
        self.kept_missing = {engine_id for engine_id in after if engine_id not in listed}
        if before != after:
            self.list_changes += 1
        self._index()
        return sorted(after - before), sorted(before - after)

    def _restarted(self, missing: set[str], records: list[EngineRecord]) -> set[str]:
        """Returns the missing incarnations of engines that have another one in the list."""
        instances = {record.instance for record in records if record.instance}
        return {
            engine_id
            for engine_id in missing
            if self.engines[engine_id].record.instance in instances
        }

    def _accepting_work(self) -> set[str]:
        return {engine_id for engine_id, engine in self.engines.items() if not engine.is_leaving}

    @property
    def listed_at(self) -> float:
        """When the newest list was read, in seconds of this process's clock."""
        return self.expired.listed_at

    def on_list_failed(self, now: float) -> None:
        """Records that the list could not be read; the known engines stay in use."""
        self.expired.on_failed(now)

    def _add_or_update(self, record: EngineRecord) -> None:
        engine = self.engines.get(record.engine_id)
        if engine is None:
            engine = Engine(record)
            self.engines[record.engine_id] = engine
        engine.record = record
        engine.is_listed = True
        if record.is_draining:
            self._remember_draining(record.engine_id)
        engine.is_draining = record.engine_id in self._draining

    def _remove_from_list(self, removed: set[str]) -> None:
        for engine_id in removed:
            engine = self.engines[engine_id]
            engine.is_listed = False
            if engine.online_in_flight + engine.batch_in_flight == 0:
                del self.engines[engine_id]
                self._own_paces.pop(engine_id, None)

    def _remember_draining(self, engine_id: str) -> None:
        self._draining[engine_id] = None
        if len(self._draining) > MAX_REMEMBERED_DRAINING:
            del self._draining[next(iter(self._draining))]

    def _index(self) -> None:
        self._by_service = {}
        self._by_key = {engine_key(engine_id): engine for engine_id, engine in self.engines.items()}
        for engine in self.engines.values():
            self._by_service.setdefault(engine.record.service, []).append(engine)

    def by_key(self, key: int) -> Engine | None:
        """Returns the engine that a short key in messages stands for; None if it is unknown."""
        return self._by_key.get(key)

    def all_of_service(self, service: str) -> list[Engine]:
        """Returns the engines of a service, including those that have begun to leave."""
        return self._by_service.get(service, [])

    def services(self) -> Set[str]:
        """Returns the services of the known engines."""
        return self._by_service.keys()

    def of_service(self, service: str) -> list[Engine]:
        """Returns the engines of a service that have not begun to leave."""
        return [engine for engine in self.all_of_service(service) if not engine.is_leaving]

    def usable(self, now: float, service: str) -> list[Engine]:
        """Returns the engines of a service that may be sent work now.

        Failing engines are excluded for a while; see `engine_ejection`.
        """
        return engine_ejection.without_ejected(now, self.of_service(service))

    def has_untried(self, now: float, service: str, tried: Set[str]) -> bool:
        """Returns whether an engine of a service is neither ejected nor among those tried."""
        return any(
            now >= engine.ejected_until and engine.record.engine_id not in tried
            for engine in self.of_service(service)
        )

    def update_peer_counts(self, now: float, counts: Iterable[EngineCounts]) -> None:
        """Updates the peers' requests from a coordinator's counts of all daemons' requests."""
        for counted in counts:
            engine = self.by_key(counted.engine_key)
            if engine is None:
                continue
            others = max(0, counted.online - engine.online_in_flight)
            engine.change_peers_online(now, others - engine.peers_online)
            engine.peers_batch = max(0, counted.batch - engine.batch_in_flight)

    def counts_of(self, engines: Iterable[Engine]) -> tuple[EngineCounts, ...]:
        """Returns the counts of all daemons' requests on some engines, for messages to peers."""
        return tuple(
            EngineCounts(
                engine_key(engine.record.engine_id), engine.online_count(), engine.batch_count()
            )
            for engine in engines
        )

    def total_slots(self) -> int:
        """Returns the number of slots of all engines that have not begun to leave."""
        return sum(engine.slots for engine in self.engines.values() if not engine.is_leaving)

    @staticmethod
    def mean_free_slots(now: float, engines: Iterable[Engine]) -> float:
        """Returns the sum of the engines' mean numbers of slots that online requests leave free.

        Engines that have begun to leave or are ejected do not count.
        """
        return sum(
            engine.slots - engine.mean_online
            for engine in engines
            if not engine.is_leaving and now >= engine.ejected_until
        )

    def mark_draining(self, engine_id: str) -> bool:
        """Marks an incarnation as draining forever; returns False if it was marked before."""
        if engine_id in self._draining:
            return False
        self._remember_draining(engine_id)
        self.list_changes += 1
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.is_draining = True
        return True

    def on_drain_notice(self, now: float, engine_ids: Iterable[str]) -> None:
        """Stops using engines that a peer reports as unlisted, until a later list has them."""
        for engine_id in engine_ids:
            engine = self.engines.get(engine_id)
            if engine is None or engine.is_leaving:
                continue
            self._reported_gone_at[engine_id] = now
            engine.is_listed = False
            self.list_changes += 1

    def on_timer(self, now: float) -> None:
        """Updates the averages if a sample is due; missed samples are not made up for."""
        if now < self._sample_at:
            return
        self._sample_at = now + SAMPLE_SECONDS
        for engine in self.engines.values():
            engine.sample()
        if now >= self._pace_sample_at:
            self._pace_sample_at = now + PACE_SAMPLE_SECONDS
            for service in self._paced_services:
                self._sample_paces(now, self.all_of_service(service))

    @staticmethod
    def _sample_paces(now: float, engines: list[Engine]) -> None:
        """Updates the mean factor of a service with a pace, and which of its engines are busy.

        The mean is that of the averaged paces: run times of a service, which it is compared with,
        are averages too. Outliers, and paces that run times contradict, are left out.
        """
        for engine in engines:
            engine.learned.forget_if_idle(now)
        factors = [
            engine.pace.average_factor
            for engine in engines
            if engine.pace.is_known(now) and not engine.learned.contradicts_reports
        ]
        mean = mean_factor(factors)
        for engine in engines:
            is_new = engine.mean_factor is None
            engine.mean_factor = mean
            if is_new or engine.online_count() or engine.batch_count():
                engine.busy_at = now

    def on_activity(self, now: float, engine_id: str) -> None:
        """Records that bytes were received from the engine."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.last_seen_at = now

    def on_answered(self, engine_id: str) -> None:
        """Records that the head of an answer was received from the engine."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.has_answered = True

    def on_load(self, now: float, engine_id: str, load: EngineLoad) -> None:
        """Records a load that the engine reported with an answer."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.load = load
            engine.load_at = now
            engine.last_seen_at = now
            engine.sent_since_load = 0
            if load.pace_percent is not None:
                self.on_pace(engine, load.pace_percent, now)
                self._own_paces.pop(engine_id, None)
                self._own_paces[engine_id] = PaceObservation(load.pace_percent, now)

    def take_own_paces(self) -> dict[str, PaceObservation]:
        """Returns the paces that engines reported to this daemon since the last call, by id."""
        taken, self._own_paces = self._own_paces, {}
        return taken

    def on_peer_paces(self, now: float, readings: Iterable[PaceReading]) -> None:
        """Records the paces in a peer's message that was received now."""
        for reading in readings:
            engine = self.by_key(reading.engine_key)
            if engine is not None and 0 < reading.percent <= MAX_PERCENT and reading.age_ms >= 0:
                self.on_pace(engine, reading.percent, now - reading.age_ms / 1000)

    @staticmethod
    def paces_of(now: float, engines: Iterable[Engine]) -> tuple[PaceReading, ...]:
        """Returns the newest readings of some engines, at most `MAX_PACES`, for messages."""
        known = [engine for engine in engines if engine.pace.is_known(now)]
        if len(known) > MAX_PACES:
            known = sorted(known, key=lambda engine: -engine.pace.read_at)[:MAX_PACES]
        return tuple(
            PaceReading(
                engine_key(engine.record.engine_id),
                engine.pace.percent or 0,
                round((now - engine.pace.read_at) * 1000),
            )
            for engine in known
        )

    def on_pace(self, engine: Engine, percent: int, read_at: float) -> None:
        """Records a pace that an engine reported here or to a peer at `read_at`."""
        engine.pace.on_reading(percent, read_at)
        self._paced_services.add(engine.record.service)

    def relative_factor(self, now: float, engine: Engine) -> float:
        """Returns how long work takes at an engine, compared with the mean of its service.

        See `Engine.relative_factor`; 1 for services without a pace. The mean that it is relative to
        is up to `PACE_SAMPLE_SECONDS` old.
        """
        return engine.relative_factor(now)

    def count_by_source(self, now: float, source: FactorSource) -> int:
        """Returns the number of engines of paced services whose factor comes from a source."""
        return sum(
            engine.factor_source(now) is source
            for engine in list(self.engines.values())
            if engine.mean_factor is not None
        )

    def is_connected(self, now: float, engine: Engine, zone: str) -> bool:
        """Returns whether an idle connection to an engine counts for a daemon in `zone`.

        It does so in paced services, for engines of that zone: an engine elsewhere must not be
        preferred to a near one for its connection, as bytes between zones cost more.
        """
        if engine.record.zone != zone or not self.is_paced(engine.record.service):
            return False
        return self.idle_connections.has(now, engine.record.engine_id)

    @property
    def has_paced_service(self) -> bool:
        """Whether any service is paced."""
        return bool(self._paced_services)

    @property
    def paced_service_count(self) -> int:
        """Number of paced services."""
        return len(self._paced_services)

    def is_paced(self, service: str) -> bool:
        """Returns whether an engine of a service has reported a pace to this daemon or a peer."""
        return service in self._paced_services

    def on_sent(self, now: float, engine_id: str, is_batch: bool, size: RequestSize) -> None:
        """Counts a request that was sent to the engine."""
        engine = self.engines[engine_id]
        self.own_changes += 1
        self.idle_connections.on_sent(engine_id)
        engine.prefill_tokens += size.prefill_tokens
        engine.sent_since_load += 1
        engine.tokens_in_flight += size.tokens
        self.mean_tokens.add(size.tokens, is_batch)
        if is_batch:
            engine.batch_in_flight += 1
        else:
            engine.change_own_online(now, 1)

    def on_first_token(self, engine_id: str, size: RequestSize) -> None:
        """Uncounts a request's prompt tokens, as the engine has produced its first token."""
        engine = self.engines.get(engine_id)
        if engine is not None and size.prefill_tokens:
            self.own_changes += 1
            engine.prefill_tokens = max(0, engine.prefill_tokens - size.prefill_tokens)

    def on_preempted(self, now: float, engine_id: str, size: RequestSize, *, begun: bool) -> None:
        """Uncounts a batch item that was preempted, which is no evidence about the engine."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            self._uncount(now, engine, True, size, begun)

    def on_ended(
        self,
        now: float,
        engine_id: str,
        is_batch: bool,
        size: RequestSize,
        *,
        begun: bool,
        failed: bool,
    ) -> None:
        """Uncounts an attempt that ended, and updates the engine's consecutive failures."""
        engine = self.engines.get(engine_id)
        if engine is None:
            return
        self._uncount(now, engine, is_batch, size, begun)
        if failed:
            self._on_failure(now, engine)
        else:
            engine_ejection.on_success(engine)

    def on_check_failed(self, now: float, engine_id: str) -> None:
        """Counts a failure of an engine that does not listen, unless it has answered meanwhile."""
        engine = self.engines.get(engine_id)
        if engine is not None and engine.failures:
            self._on_failure(now, engine)

    def _on_failure(self, now: float, engine: Engine) -> None:
        engine_ejection.on_failure(now, engine)
        if now < engine.ejected_until or not engine.has_answered:
            self._to_check.add(engine.record.engine_id)

    def take_failed(self) -> list[Engine]:
        """Returns the engines that failed since the last call, and are ejected or never answered.

        They are sorted by id.
        """
        failed = [
            self.engines[engine_id] for engine_id in sorted(self._to_check & self.engines.keys())
        ]
        self._to_check.clear()
        return failed

    def _uncount(
        self, now: float, engine: Engine, is_batch: bool, size: RequestSize, begun: bool
    ) -> None:
        self.own_changes += 1
        if not begun:
            self.on_first_token(engine.record.engine_id, size)
        engine.tokens_in_flight = max(0, engine.tokens_in_flight - size.tokens)
        if is_batch:
            engine.batch_in_flight = max(0, engine.batch_in_flight - 1)
        else:
            engine.change_own_online(now, -1)
