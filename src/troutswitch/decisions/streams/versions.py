"""Which software versions the engines of each service run, as far as this daemon knows.

Question: may a service have engines of several versions now? Then a stream that continues needs to
know the version that began it.

Inputs: the engine list, here and at the peers that report versions; what this daemon has read of
the store, and when (`store_knowledge`). Times are by this process's clock, in seconds.

Rule:

1. A service is mixed if its newest list, here or at a peer, has two versions, or had another one
   within `MIXED_SECONDS`. That is longer than any stream lasts, so a stream of a version that has
   gone is still noticed. The age of the newest list makes no difference: while the store is away,
   its engines stay in use.
2. A further version begins new streams `ACTIVATION_SECONDS` after it was first seen, also if no
   other one is left, and not before this daemon knows that the store has a record of it
   (`version_history`), unless no recorded one is left. Until then the peers are told of it. To a
   daemon that has just started, each version is a further one, unless the record has it alone.
3. That a service has one version is confirmed by the store alone, for a stream that is resumed at
   a time: by lists that are recent and without a gap, or by records of versions that were requested
   since (`store_knowledge`). Peers can show that it has several, never that it has one.
4. Versions from before this process started are read from the store (`version_history`). Until then
   no service is known to have one version only; a service of which no record could be read, for
   `MIXED_SECONDS`.

Why: a version that has begun streams was listed for `ACTIVATION_SECONDS`, and is in the store's
records. So a daemon whose knowledge of the store is younger than that knows of it, whatever its
peers know; one that stood still, or does not reach the store, is not confirmed. Without the record,
nobody would know of the version once all daemons have started anew and its engines are gone. While
a service has one version and the store is healthy, nothing is sent and nothing waits.

Measurements: docs/design/stream-versions.md.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import lru_cache

from troutswitch.common import stable_hash
from troutswitch.decisions.forwarding.types import EngineRecord
from troutswitch.decisions.streams.store_knowledge import KnowledgeState, StoreKnowledge

MIXED_SECONDS = 30.0
"""Time for which a version counts after it was last listed: several times a caller's deadline."""
ACTIVATION_SECONDS = 1.5
"""Time from the first sight of a further version until streams begin at its engines."""
MIN_ADVANCE_SECONDS = 1.0
"""Least advance of the time at which a version was last listed. The ages that peers report lack the
time of the message; without this, they would keep a version recent by echoing it."""
KEY_MASK = 0xFFFFFFFF
MAX_SERVICES = 256
"""Maximum number of services of which versions are kept; peers may report services that this
daemon does not list."""
MAX_VERSIONS_PER_SERVICE = 16
"""Maximum number of versions of a service; the one that was seen least recently is dropped."""
KEYS_REMEMBERED = 1024


@lru_cache(maxsize=KEYS_REMEMBERED)
def service_key(service: str) -> int:
    """Returns the 32-bit key that identifies a service in messages about versions."""
    return stable_hash("service", service) & KEY_MASK


@lru_cache(maxsize=KEYS_REMEMBERED)
def version_key(version: str) -> int:
    """Returns the 32-bit key that identifies a software version in messages."""
    return stable_hash("version", version) & KEY_MASK


@dataclass(slots=True)
class SeenVersion:
    """When a version of a service was first listed, and until when.

    `is_listed` is whether the newest list of this daemon has it, `is_recorded` whether the store is
    known to have a record of it.
    """

    first_at: float
    last_at: float
    is_listed: bool = False
    is_recorded: bool = False

    def age(self, now: float) -> float:
        """Returns the seconds since the version was last listed."""
        return 0.0 if self.is_listed else now - self.last_at

    def is_recent(self, now: float) -> bool:
        """Returns whether streams of the version may still be resumed."""
        return self.age(now) < MIXED_SECONDS


def _drop_old(versions: dict[int, SeenVersion], now: float) -> None:
    """Drops the versions that are not recent, and the oldest one beyond the bound."""
    for key in [key for key, seen in versions.items() if not seen.is_recent(now)]:
        del versions[key]
    if len(versions) >= MAX_VERSIONS_PER_SERVICE:
        del versions[min(versions, key=lambda key: versions[key].last_at)]


class EngineVersions:
    """The versions of all services.

    `news` counts the changes after which peers are to be told: a further version of a service.
    `knows_past` is whether the versions from before this process started are known
    (`version_history`), `has_list` whether a list of engines was read since. `needs_record` is
    whether a further version begins no streams before it is recorded.
    """

    def __init__(self) -> None:
        self.news = 0
        self.knows_past = True
        self.has_list = False
        self.needs_record = False
        self.knowledge = StoreKnowledge()
        self._records: Mapping[int, frozenset[int]] = {}
        """Versions by service, as the store's records had them at `knowledge.records_read_at`."""
        self._by_service: dict[int, dict[int, SeenVersion]] = {}
        self._past_unknown_until: dict[int, float] = {}

    def on_list(self, read_at: float, records: Iterable[EngineRecord]) -> None:
        """Records the versions of a list of engines that was read at `read_at`."""
        self.has_list = True
        known_before = set(self._by_service)
        self._end_former_list(read_at)
        for record in records:
            service, version = service_key(record.service), version_key(record.version)
            is_further = service in known_before or not self.knows_past
            first_at = read_at if is_further else float("-inf")
            self.on_seen(service, version, first_at, read_at)
            seen = self._by_service.get(service, {}).get(version)
            if seen is not None:
                seen.is_listed = True

    def _end_former_list(self, read_at: float) -> None:
        """Marks all versions as listed until now; those of the new list are marked again."""
        for versions in self._by_service.values():
            for seen in versions.values():
                if seen.is_listed:
                    seen.is_listed = False
                    seen.last_at = max(seen.last_at, read_at)

    def on_seen(self, service: int, version: int, first_at: float, last_at: float) -> None:
        """Records that a version of a service was listed, here or at a peer."""
        versions = self._by_service.get(service)
        if versions is None:
            if len(self._by_service) >= MAX_SERVICES:
                return
            versions = self._by_service[service] = {}
        seen = versions.get(version)
        if seen is not None and last_at < seen.last_at + MIXED_SECONDS:
            if last_at >= seen.last_at + MIN_ADVANCE_SECONDS:
                seen.last_at = last_at
            return
        _drop_old(versions, last_at)
        versions[version] = SeenVersion(first_at, last_at)
        if len(versions) > 1:
            self.news += 1

    # The records in the store.

    def on_recorded(self, now: float, service: int, version: int, *, is_only: bool = False) -> None:
        """Records that the store has a record of a version; `is_only` if it has no other one.

        The only version in the records that a started daemon reads first begins streams at once.
        Of several, any may have been listed a moment ago.
        """
        first_at = float("-inf") if is_only and not self.knows_past else now
        if version not in self._by_service.get(service, {}):
            self.on_seen(service, version, first_at, now)
        seen = self._by_service.get(service, {}).get(version)
        if seen is not None:
            seen.is_recorded = True
            seen.first_at = min(seen.first_at, first_at)

    def on_records_read(
        self, now: float, requested_at: float, records: Mapping[int, frozenset[int]]
    ) -> None:
        """Records a reading of all records up to their end.

        Versions that were listed in a gap of this daemon's knowledge count as listed until now.

        Args:
            now: this process's clock, in seconds.
            requested_at: when the reading was requested.
            records: the readable records, by service.
        """
        self._records = records
        if self.knowledge.has_gap:
            for service, versions in records.items():
                for version in versions:
                    self.on_seen(service, version, now, now)
        self.knowledge.on_records(requested_at)

    def has_unrecorded(self) -> bool:
        """Returns whether the list has a version that is not known to be recorded."""
        return any(
            seen.is_listed and not seen.is_recorded
            for versions in self._by_service.values()
            for seen in versions.values()
        )

    def on_past_unknown(self, now: float, service: int) -> None:
        """Records that the versions of a service before this process started are not known."""
        self._past_unknown_until[service] = now + MIXED_SECONDS

    def knows_past_of(self, now: float, service: str) -> bool:
        """Returns whether all versions that may have begun a service's streams are known."""
        until = self._past_unknown_until.get(service_key(service), float("-inf"))
        return self.knows_past and now >= until

    # What follows.

    def is_mixed(self, now: float, service: str) -> bool:
        """Returns whether a service may have engines, or recent streams, of several versions."""
        versions = self._by_service.get(service_key(service), {})
        return len(versions) > 1 and self._count_recent(now, versions) > 1

    @staticmethod
    def _count_recent(now: float, versions: dict[int, SeenVersion]) -> int:
        return sum(seen.is_recent(now) for seen in versions.values())

    def only_version(self, now: float, service: str) -> int | None:
        """Returns the key of the only version of a service's engines and recent streams.

        Returns None if the service has several, or no version is known.
        """
        versions = self._by_service.get(service_key(service), {})
        recent = [key for key, seen in versions.items() if seen.is_recent(now)]
        return recent[0] if len(recent) == 1 else None

    def mixed(self, now: float) -> Iterator[tuple[int, dict[int, SeenVersion]]]:
        """Yields the mixed services with their recent versions, by their keys."""
        for service, versions in self._by_service.items():
            if len(versions) > 1 and self._count_recent(now, versions) > 1:
                recent = {key: seen for key, seen in versions.items() if seen.is_recent(now)}
                yield service, recent

    def recent(self, now: float) -> Iterator[tuple[int, frozenset[int]]]:
        """Yields each service with its recent versions, if it has some, by their keys."""
        for service, versions in self._by_service.items():
            recent = frozenset(key for key, seen in versions.items() if seen.is_recent(now))
            if recent:
                yield service, recent

    def is_confirmed(self, now: float, service: str, resumed_at: float) -> bool:
        """Returns whether the only known version is the only one that may have begun a stream.

        Args:
            now: this process's clock, in seconds.
            service: the service of the stream.
            resumed_at: when the stream was resumed here.
        """
        if self.knowledge.state(now) is KnowledgeState.COMPLETE:
            return True
        only = self.only_version(now, service)
        recorded = self._records.get(service_key(service), frozenset())
        return self.knowledge.records_read_at >= resumed_at and recorded == {only}

    def is_active(self, now: float, record: EngineRecord) -> bool:
        """Returns whether an engine's version was first seen long enough ago to begin streams."""
        seen = self._seen(record)
        return seen is None or now >= seen.first_at + ACTIVATION_SECONDS

    def may_begin(self, now: float, record: EngineRecord) -> bool:
        """Returns whether an engine's version is active and recorded."""
        seen = self._seen(record)
        is_recorded = seen is None or seen.is_recorded or not self.needs_record
        return is_recorded and self.is_active(now, record)

    def _seen(self, record: EngineRecord) -> SeenVersion | None:
        versions = self._by_service.get(service_key(record.service), {})
        return versions.get(version_key(record.version))
