"""Writes the configuration and the engines' records to the store, with retries.

A write whose answer is lost may be done seconds later. Each carries a number of its writer, one for
each key, so that a repeat done late doesn't undo a later write of the key.
"""

import threading
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from troutswitch.common import Address
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    KeyedRecord,
    Partition,
    WriterStamp,
)
from troutswitch.platform.names import CONFIGURATION_KEY
from troutswitch.platform.stand_in_forms import (
    ENGINE_VERSION,
    RouteLimitsSpec,
    RouteSpec,
    configuration_record,
    engine_record,
)
from troutswitch.platform.store import StoreClient
from troutswitch.soak.callers import HOST
from troutswitch.soak.observations import ConfigurationWrite, RequestKind
from troutswitch.soak.sized_jobs import (
    CACHE_TOKENS,
    IDLE_ENGINES,
    IDLE_SERVICES,
    MAX_QUEUED_TOKENS,
)
from troutswitch.soak.tenants import tenant_forms

SERVICE = "service-1"
SLOTS = 8
RETRY_SECONDS = 0.1
"""Delay before a write that was not acknowledged is repeated with the same content."""
WRITER_PREFIX = "operator-"
WRITER_EPOCH = 1
CONFIGURATION = Partition("configuration")
ENGINES = Partition("servers")

LIMITS = RouteLimitsSpec(
    time_limit=5.0,
    objective=1.0,
    gap_limit=1.0,
    max_attempts=3,
    completion_target=20.0,
    retention=600.0,
    max_queued_tokens=100_000,
)
"""Limits of all routes: far above what requests on loopback need without faults, so that few are
refused."""
ROUTES = (
    RouteSpec("read", f"/{RequestKind.READ}/", "idempotent"),
    RouteSpec("once", f"/{RequestKind.ONCE}/", "non_idempotent"),
    RouteSpec("stream", f"/{RequestKind.STREAM}/", "streaming", is_resumable=True),
    RouteSpec("stream-once", f"/{RequestKind.STREAM_ONCE}/", "streaming"),
    RouteSpec("batch", "/item/", "batch"),
)


def version_path(version: int) -> str:
    """Returns the path prefix of the route that only this configuration version has."""
    return f"/{RequestKind.VERSION}-{version}/"


@dataclass(slots=True)
class _Writer:
    """The calls of one writer, one after another; `writes` is the number of those begun."""

    writes: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)


class Operator:
    """Writes configurations, one at a time, and engines' records to the store."""

    def __init__(
        self,
        store: Address,
        slots: int = SLOTS,
        health_path: str = "",
        *,
        has_sized_items: bool = False,
    ) -> None:
        self.slots = slots
        self._cache_tokens = CACHE_TOKENS if has_sized_items else 0
        self._idle_services = IDLE_SERVICES if has_sized_items else ()
        self.limits = (
            replace(LIMITS, max_queued_tokens=MAX_QUEUED_TOKENS) if has_sized_items else LIMITS
        )
        self._health_path = health_path
        self._client = StoreClient(store)
        self._lock = threading.Lock()
        self._writers: dict[str, _Writer] = defaultdict(_Writer)
        self._writers_lock = threading.Lock()
        self.version = 0
        self.configurations: list[ConfigurationWrite] = []
        """The acknowledged configurations, odd ones included, by version."""
        self.stop_requested = threading.Event()

    def configure(self) -> None:
        """Writes the next configuration.

        Each version has a probe route of its own, and the previous version's is removed.
        """
        self._configure(None)

    def spoil_configuration(self, change: Callable[[bytes], bytes]) -> None:
        """Writes the next configuration as another program does that changes its record."""
        self._configure(change)

    def _configure(self, change: Callable[[bytes], bytes] | None) -> None:
        with self._lock:
            self.version += 1
            begun_at = time.monotonic()
            record = self._configuration(self.version)
            value = record if change is None else change(record)
            if self._write(CONFIGURATION, CONFIGURATION_KEY, value):
                acknowledged_at, is_odd = time.monotonic(), change is not None
                self.configurations.append(
                    ConfigurationWrite(self.version, begun_at, acknowledged_at, is_odd)
                )

    def _configuration(self, version: int) -> bytes:
        probe = RouteSpec(f"version-{version}", version_path(version), "idempotent")
        return configuration_record(
            version,
            HOST,
            SERVICE,
            self.slots,
            (*ROUTES, probe),
            self.limits,
            tenant_forms(),
            self._health_path,
            self._cache_tokens,
            self._idle_services,
        )

    def list_idle_engines(self, address: Address) -> None:
        """Lists engines of the idle services, which all have one address."""
        for service in self._idle_services:
            for number in range(IDLE_ENGINES):
                record = engine_record(service, address, self.slots, is_draining=False)
                self._write(ENGINES, f"{service}-{number}", record)

    def list_engine(
        self,
        engine_id: str,
        address: Address,
        is_draining: bool = False,
        version: str = ENGINE_VERSION,
    ) -> bool:
        """Writes an engine's record; returns False if the soak stopped first."""
        record = engine_record(SERVICE, address, self.slots, is_draining, version)
        return self._write(ENGINES, engine_id, record)

    def unlist_engine(self, engine_id: str) -> bool:
        """Removes an engine's record; returns False if the soak stopped first."""
        return self._write(ENGINES, engine_id, b"")

    def write_entries(self, writer: str, records: tuple[KeyedRecord, ...]) -> bool:
        """Writes records of another writer to the engine list, in one call.

        Returns False if the soak stopped first.
        """
        return self._write_all(ENGINES, writer, records)

    def _write(self, partition: Partition, key: str, value: bytes) -> bool:
        return self._write_all(partition, f"{WRITER_PREFIX}{key}", (KeyedRecord(key, value),))

    def _write_all(self, partition: Partition, name: str, records: tuple[KeyedRecord, ...]) -> bool:
        with self._writers_lock:
            writer = self._writers[name]
        with writer.lock:
            writer.writes += 1
            stamp = WriterStamp(name, WRITER_EPOCH, writer.writes)
            call = AppendRecords(0, partition, records, stamp=stamp)
            while not self.stop_requested.is_set():
                if isinstance(self._client.call(call), Appended):
                    return True
                self.stop_requested.wait(RETRY_SECONDS)
            return False
