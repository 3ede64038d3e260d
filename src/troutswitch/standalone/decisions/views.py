"""Views of a daemon's state for operators and for the threads that serve callers."""

from dataclasses import dataclass

from troutswitch.standalone.decisions.configuration.keys import Value


@dataclass(frozen=True, slots=True)
class Directory:
    """State that the callers' threads need; a change replaces the whole object.

    `tenant_of_key` maps the SHA-256 of an API key to its tenant.
    """

    is_ready: bool
    require_api_key: bool
    services: tuple[str, ...]
    tenant_of_key: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class MemberView:
    """One member as reported to operators."""

    name: str
    state: str
    zone: str
    address: str
    configuration_offset: int


@dataclass(frozen=True, slots=True)
class EngineView:
    """One engine as reported to operators; `online` and `batch` count requests and items."""

    name: str
    service: str
    zone: str
    address: str
    online: int
    batch: int
    slots: int
    is_leaving: bool
    steward: str


@dataclass(frozen=True, slots=True)
class ShardView:
    """One shard that the daemon follows."""

    shard: int
    owner: str
    epoch: int
    open_jobs: int
    next_offset: int


@dataclass(frozen=True, slots=True)
class StatusView:
    """State of one daemon."""

    daemon: str
    zone: str
    is_ready: bool
    is_draining: bool
    configuration_version: int
    configuration_offset: int
    configuration_digest: str
    online_in_flight: int
    batch_running: int
    log_queue: int
    log_failing: bool
    members: tuple[MemberView, ...]
    engines: tuple[EngineView, ...]
    shards: tuple[ShardView, ...]


@dataclass(frozen=True, slots=True)
class EffectiveView:
    """Effective configuration as (key, value, source path) rows."""

    version: int
    values: tuple[tuple[str, Value, str], ...]


@dataclass(frozen=True, slots=True)
class TreeView:
    """All overrides as (path, key, value) rows."""

    version: int
    overrides: tuple[tuple[str, str, Value], ...]


@dataclass(frozen=True, slots=True)
class PublicationView:
    """One accepted publication; `published_at` is in seconds since the epoch."""

    version: int
    publication_id: str
    author: str
    message: str
    published_at: float
    changes: tuple[tuple[str, str, Value | None], ...]


@dataclass(frozen=True, slots=True)
class HistoryView:
    """The newest accepted publications, newest first."""

    version: int
    publications: tuple[PublicationView, ...]
