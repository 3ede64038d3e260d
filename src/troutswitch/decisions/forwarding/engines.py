"""What one daemon knows of the engines: the list, its own work there, load and failures.

Each incarnation of an engine has an id of its own. An id that was seen draining, or whose
address answered as another instance, never takes new work again here. An id that only
left the list takes none while it is away: entries also lapse while the store is down.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from troutswitch.daemons.messages import EngineCounts, engine_key
from troutswitch.decisions.forwarding.expired_entries import ExpiredEntries
from troutswitch.decisions.forwarding.types import EngineLoad, EngineRecord

FAILURES_TO_EJECT = 2
"""Failures in a row after which an engine is left out for a while."""
EJECT_FIRST_SECONDS = 0.5
EJECT_MOST_SECONDS = 4.0
LOAD_FRESH_SECONDS = 0.4
"""Age up to which a load that an engine told counts."""
PREFILL_LOOK_SECONDS = 0.1
"""Interval between looks at the prompt tokens that wait at each engine."""
PREFILL_MEMORY_SECONDS = 3.0
"""Time over which the prompt tokens that wait are averaged."""
ONLINE_MEMORY_SECONDS = 8.0
"""Time over which the slots that online requests take are averaged."""
ONLINE_PART = PREFILL_LOOK_SECONDS / ONLINE_MEMORY_SECONDS
TOLD_SECONDS = 1.0
"""Time for which a list read meanwhile changes nothing of what peers told: a reading takes
some pages, and may be told on by a peer."""
GONE_REMEMBERED = 4096
"""Incarnations that are remembered as draining or replaced."""


@dataclass(frozen=True, slots=True)
class RequestSize:
    """What a request takes of an engine: tokens of memory, and prompt tokens to read."""

    tokens: int
    prefill_tokens: int


NO_SIZE = RequestSize(0, 0)


@dataclass(slots=True)
class Engine:
    """One incarnation of an engine as this daemon sees it."""

    record: EngineRecord
    online_in_flight: int = 0
    batch_in_flight: int = 0
    tokens_in_flight: int = 0
    prefill_tokens: int = 0
    load: EngineLoad | None = None
    load_at: float = float("-inf")
    last_seen_at: float = float("-inf")
    sent_since_load: int = 0
    peers_online: int = 0
    peers_batch: int = 0
    peers_prefill_tokens: int = 0
    usual_prefill_tokens: float = 0.0
    usual_online: float = 0.0
    online_looks: int = 0
    failures: int = 0
    ejected_until: float = float("-inf")
    is_draining: bool = False
    is_listed: bool = True
    full_until: float = float("-inf")
    online_sent_at: deque[float] = field(default_factory=deque)
    """When the online requests on the engine were sent, as far as known, oldest first."""

    @property
    def is_leaving(self) -> bool:
        """Whether the engine must not be sent new work."""
        return self.is_draining or not self.is_listed

    @property
    def slots(self) -> int:
        """Requests that the engine runs at once."""
        return max(1, self.record.slots)

    def in_flight(self, now: float) -> int:
        """Returns the requests on the engine, as far as known here.

        The counts that daemons tell each other and the engine's own word both lag, so
        the larger of the two holds.
        """
        mine = self.online_in_flight + self.batch_in_flight
        counted = mine + self.peers_online + self.peers_batch
        if self.load is None or now - self.load_at > LOAD_FRESH_SECONDS:
            return counted
        told = self.load.running + self.load.waiting + self.sent_since_load
        return max(counted, told) if self.peers_online or self.peers_batch else max(mine, told)

    @property
    def waiting_prefill_tokens(self) -> int:
        """Prompt tokens that the engine has still to read, as far as daemons told."""
        return self.prefill_tokens + self.peers_prefill_tokens

    def online(self) -> int:
        """Returns the online requests on the engine, as far as daemons told."""
        return self.online_in_flight + self.peers_online

    def change_peers_online(self, now: float, change: int) -> None:
        """Takes a change of the online requests that peers have on the engine."""
        change = max(change, -self.peers_online)
        self.peers_online += change
        self._note_online(now, change)

    def change_own_online(self, now: float, change: int) -> None:
        """Takes a change of this daemon's online requests on the engine."""
        change = max(change, -self.online_in_flight)
        self.online_in_flight += change
        self._note_online(now, change)

    def _note_online(self, now: float, change: int) -> None:
        """Notes times of sending; which request ended is not known, the oldest most likely."""
        for _ in range(change):
            self.online_sent_at.append(now)
        for _ in range(min(-change, len(self.online_sent_at))):
            self.online_sent_at.popleft()

    def online_load(self, now: float) -> int:
        """Returns the online requests on the engine, by counts or by its own word."""
        return max(self.online(), self.in_flight(now) - self.batch())

    def batch(self) -> int:
        """Returns the batch items on the engine, as far as daemons told."""
        return self.batch_in_flight + self.peers_batch


@dataclass
class EngineRegistry:
    """All engines that the list names, and those that just left it."""

    engines: dict[str, Engine] = field(default_factory=dict)
    expired: ExpiredEntries = field(default_factory=ExpiredEntries)
    changes: int = 0
    """Changes of this daemon's own work at engines, to tell whether peers know it all."""
    list_changes: int = 0
    """Changes of which engines there are, to tell whether groups are to be made anew."""
    kept_missing: set[str] = field(default_factory=set)
    """Engines that the last list lacks and that stay in use all the same."""
    _look_at: float = float("-inf")
    _told_left: dict[str, float] = field(default_factory=dict)
    """When peers told that engines left the list, until a list read later settles it."""
    _draining: dict[str, None] = field(default_factory=dict)
    _by_service: dict[str, list[Engine]] = field(default_factory=dict)
    _by_key: dict[int, Engine] = field(default_factory=dict)

    def on_list(self, now: float, records: list[EngineRecord]) -> tuple[list[str], list[str]]:
        """Takes in the whole list; returns the ids that came and those that began to leave.

        Args:
            now: when the list was read, here or by a peer, in seconds of this process's clock.
            records: all entries.
        """
        before = {name for name, engine in self.engines.items() if not engine.is_leaving}
        self._told_left = {
            name: at for name, at in self._told_left.items() if now < at + TOLD_SECONDS
        }
        records = [record for record in records if record.engine_id not in self._told_left]
        listed = {record.engine_id for record in records}
        for record in records:
            self._take(record)
        self._unlist(self.expired.on_list(now, self.engines.keys() - listed))
        self.kept_missing = {
            name
            for name, engine in self.engines.items()
            if name not in listed and not engine.is_leaving
        }
        after = {name for name, engine in self.engines.items() if not engine.is_leaving}
        if before != after:
            self.list_changes += 1
        self._index()
        return sorted(after - before), sorted(before - after)

    @property
    def listed_at(self) -> float:
        """When the newest list was read, in seconds of this process's clock."""
        return self.expired.listed_at

    def on_list_failed(self, now: float) -> None:
        """The list could not be read; what is known of it stays in use."""
        self.expired.on_failed(now)

    def _take(self, record: EngineRecord) -> None:
        engine = self.engines.get(record.engine_id)
        if engine is None:
            engine = Engine(record)
            self.engines[record.engine_id] = engine
        engine.record = record
        engine.is_listed = True
        if record.is_draining:
            self._remember_draining(record.engine_id)
        engine.is_draining = record.engine_id in self._draining

    def _unlist(self, gone: set[str]) -> None:
        for name in gone:
            engine = self.engines[name]
            engine.is_listed = False
            if engine.online_in_flight + engine.batch_in_flight == 0:
                del self.engines[name]

    def _remember_draining(self, engine_id: str) -> None:
        self._draining[engine_id] = None
        if len(self._draining) > GONE_REMEMBERED:
            del self._draining[next(iter(self._draining))]

    def _index(self) -> None:
        self._by_service = {}
        self._by_key = {engine_key(name): engine for name, engine in self.engines.items()}
        for engine in self.engines.values():
            self._by_service.setdefault(engine.record.service, []).append(engine)

    def by_key(self, key: int) -> Engine | None:
        """Returns the engine that a short key names in messages, if it is known here."""
        return self._by_key.get(key)

    def of_service(self, service: str) -> list[Engine]:
        """Returns the engines of a service that have not begun to leave."""
        return [engine for engine in self._by_service.get(service, ()) if not engine.is_leaving]

    def usable(self, now: float, service: str) -> list[Engine]:
        """Returns the engines of a service that may be sent work now.

        When all of them are left out after failures, all are tried again: a guess that
        every engine failed is more often a fault of this daemon's own links.
        """
        present = self.of_service(service)
        sound = [engine for engine in present if now >= engine.ejected_until]
        return sound or present

    def take_counts(self, now: float, counts: Iterable[EngineCounts]) -> None:
        """Takes what a coordinator tells of all daemons' requests on its engines."""
        for told in counts:
            engine = self.by_key(told.engine_key)
            if engine is None:
                continue
            others = max(0, told.online - engine.online_in_flight)
            engine.change_peers_online(now, others - engine.peers_online)
            engine.peers_batch = max(0, told.batch - engine.batch_in_flight)

    def counts_of(self, engines: Iterable[Engine]) -> tuple[EngineCounts, ...]:
        """Returns all requests on some engines, as they are told to peers."""
        return tuple(
            EngineCounts(engine_key(s.record.engine_id), s.online(), s.batch()) for s in engines
        )

    def slots_in_use(self) -> int:
        """Returns the slots of all engines that have not begun to leave."""
        return sum(engine.slots for engine in self.engines.values() if not engine.is_leaving)

    @staticmethod
    def usual_free_slots(now: float, engines: Iterable[Engine]) -> float:
        """Returns the mean number of slots, at some engines, that online requests leave."""
        return sum(
            engine.slots - engine.usual_online
            for engine in engines
            if not engine.is_leaving and now >= engine.ejected_until
        )

    def mark_draining(self, engine_id: str) -> bool:
        """Notes for good that an incarnation takes no new work; returns whether it is news."""
        if engine_id in self._draining:
            return False
        self._remember_draining(engine_id)
        self.list_changes += 1
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.is_draining = True
        return True

    def on_told_left(self, now: float, engine_ids: Iterable[str]) -> None:
        """Peers tell that engines left the list: they get no work until a later list has them."""
        for engine_id in engine_ids:
            engine = self.engines.get(engine_id)
            if engine is None or engine.is_leaving:
                continue
            self._told_left[engine_id] = now
            engine.is_listed = False
            self.list_changes += 1

    def on_timer(self, now: float) -> None:
        """Averages what engines usually have to do; a look that was due late counts once."""
        if now < self._look_at:
            return
        self._look_at = now + PREFILL_LOOK_SECONDS
        part = PREFILL_LOOK_SECONDS / PREFILL_MEMORY_SECONDS
        for engine in self.engines.values():
            change = engine.waiting_prefill_tokens - engine.usual_prefill_tokens
            engine.usual_prefill_tokens += part * change
            more = min(engine.online(), engine.slots) - engine.usual_online
            engine.online_looks += 1
            engine.usual_online += max(ONLINE_PART, 1 / engine.online_looks) * more

    def on_activity(self, now: float, engine_id: str) -> None:
        """Bytes came from the engine, a sign of life."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.last_seen_at = now

    def on_load(self, now: float, engine_id: str, load: EngineLoad) -> None:
        """Takes in a load that came with an answer."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.load = load
            engine.load_at = now
            engine.last_seen_at = now
            engine.sent_since_load = 0

    def on_sent(self, now: float, engine_id: str, is_batch: bool, size: RequestSize) -> None:
        """A request was sent to the engine."""
        engine = self.engines[engine_id]
        self.changes += 1
        engine.prefill_tokens += size.prefill_tokens
        engine.sent_since_load += 1
        engine.tokens_in_flight += size.tokens
        if is_batch:
            engine.batch_in_flight += 1
        else:
            engine.change_own_online(now, 1)

    def on_begun(self, engine_id: str, size: RequestSize) -> None:
        """The engine read a request's prompt and made its first token."""
        engine = self.engines.get(engine_id)
        if engine is not None and size.prefill_tokens:
            self.changes += 1
            engine.prefill_tokens = max(0, engine.prefill_tokens - size.prefill_tokens)

    def on_stopped(self, now: float, engine_id: str, size: RequestSize, *, begun: bool) -> None:
        """A batch item at the engine was told to stop, which says nothing of the engine."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            self._free(now, engine, True, size, begun)

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
        """An attempt on the engine ended."""
        engine = self.engines.get(engine_id)
        if engine is None:
            return
        self._free(now, engine, is_batch, size, begun)
        if failed:
            self._count_failure(now, engine)
        else:
            engine.failures = 0
            engine.ejected_until = float("-inf")

    def _free(
        self, now: float, engine: Engine, is_batch: bool, size: RequestSize, begun: bool
    ) -> None:
        self.changes += 1
        if not begun:
            self.on_begun(engine.record.engine_id, size)
        engine.tokens_in_flight = max(0, engine.tokens_in_flight - size.tokens)
        if is_batch:
            engine.batch_in_flight = max(0, engine.batch_in_flight - 1)
        else:
            engine.change_own_online(now, -1)

    def _count_failure(self, now: float, engine: Engine) -> None:
        engine.failures += 1
        if engine.failures >= FAILURES_TO_EJECT:
            doubling = min(engine.failures - FAILURES_TO_EJECT, 8)
            pause = min(EJECT_FIRST_SECONDS * 2**doubling, EJECT_MOST_SECONDS)
            engine.ejected_until = now + pause
