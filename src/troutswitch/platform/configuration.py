"""Decodes the operator's configuration and the engines' records."""

import msgspec

from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import (
    Backend,
    EngineRecord,
    FleetConfiguration,
    RequestLimits,
    Route,
    RouteKind,
    Service,
)
from troutswitch.decisions.tenants.types import Tenant, key_digest
from troutswitch.platform.names import CONFIGURATION_KEY

ROUTE_KINDS = {
    "idempotent": RouteKind.REPEATABLE,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "keyed": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
    "batch": RouteKind.JOBS,
}
"""The platform's words for kinds of routes."""
DRAINING = "draining"
DEFAULT_TIME_LIMIT_MS = 30_000.0


class FormatError(ValueError):
    """A record that does not have the agreed form."""


class _Backend(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str
    routeType: str
    service: str = ""
    backends: list[_Backend] = []
    timeoutMs: float = DEFAULT_TIME_LIMIT_MS
    targetLatencyMs: float = 0.0
    maxAttempts: int = 1
    allowAnonymous: bool = False
    priority: int = 0
    sticky: bool = False
    resumable: bool = False
    gapTargetMs: float = 0.0
    maxQueuedTokens: int = 0
    completionTargetMs: float = 0.0
    retentionS: float = 0.0


class _Engine(msgspec.Struct):
    slots: int = 0
    kvCacheTokens: int = 0


class _Service(msgspec.Struct):
    name: str
    maxConnections: int = 0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    apiKeys: list[str] = []
    priority: int | None = None
    ratePerS: float = 0.0
    burst: float = 0.0


class _RequestLimits(msgspec.Struct):
    maxHeaderBytes: int = 16384
    maxBodyBytes: int = 4 * 1024 * 1024
    headerTimeoutMs: float = 3000
    idleTimeoutMs: float = 15000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _RequestLimits = msgspec.field(default_factory=_RequestLimits)
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str = ""
    slots: int = 1
    state: str = "ready"
    coldRemainingMs: float = 0.0


_CONFIGURATION = msgspec.json.Decoder(_Configuration)
_SERVER = msgspec.json.Decoder(_Server)


def decode_configuration(data: bytes) -> FleetConfiguration:
    """Decodes a whole configuration.

    Raises:
        FormatError: the record is malformed.
    """
    try:
        held = _CONFIGURATION.decode(data)
        routes = tuple(_route(route) for route in held.routes)
    except (msgspec.DecodeError, ValueError) as error:
        raise FormatError(f"configuration: {error}") from error
    limits = RequestLimits(
        held.limits.maxHeaderBytes,
        held.limits.maxBodyBytes,
        held.limits.idleTimeoutMs / 1000,
    )
    services = {service.name: _service(service) for service in held.services}
    tenants = None if held.tenants is None else tuple(_tenant(tenant) for tenant in held.tenants)
    return FleetConfiguration(held.version, routes, services, limits, tenants)


def _tenant(held: _Tenant) -> Tenant:
    return Tenant(
        held.name,
        frozenset(key_digest(key) for key in held.apiKeys if key),
        max(0.0, held.ratePerS),
        max(0.0, held.burst),
        held.priority,
    )


def _route(held: _Route) -> Route:
    kind = ROUTE_KINDS.get(held.routeType)
    if kind is None:
        raise ValueError(f"route {held.name}: unknown kind {held.routeType!r}")
    backends = tuple(Backend(b.service, b.weight) for b in held.backends)
    return Route(
        name=held.name,
        host=held.host,
        path_prefix=held.pathPrefix,
        kind=kind,
        backends=backends or (Backend(held.service, 1.0),),
        time_limit=held.timeoutMs / 1000,
        objective=held.targetLatencyMs / 1000,
        attempts_most=max(1, held.maxAttempts),
        priority=held.priority,
        is_resumable=held.resumable,
        gap_limit=held.gapTargetMs / 1000,
        queued_tokens_most=held.maxQueuedTokens,
        completion_target=held.completionTargetMs / 1000,
        retention=held.retentionS,
        allows_anonymous=held.allowAnonymous,
    )


def _service(held: _Service) -> Service:
    engine = held.engine or _Engine()
    return Service(held.name, held.maxConnections, engine.slots, engine.kvCacheTokens)


def decode_engine(engine_id: str, data: bytes) -> EngineRecord:
    """Decodes an engine's record.

    Raises:
        FormatError: the record is malformed.
    """
    try:
        held = _SERVER.decode(data)
        address = Address.parse(held.address)
    except (msgspec.DecodeError, ValueError) as error:
        raise FormatError(f"engine {engine_id}: {error}") from error
    return EngineRecord(
        engine_id,
        held.service,
        address,
        held.zone,
        held.slots,
        held.state == DRAINING,
    )


class PlatformFormats:
    """The platform's forms for the gateway's decisions."""

    def configuration(self, key: str, data: bytes) -> FleetConfiguration | None:
        """Decodes a record of the operators' topic; None if it is not the configuration."""
        return decode_configuration(data) if key == CONFIGURATION_KEY and data else None

    def engine(self, engine_id: str, data: bytes) -> EngineRecord:
        """Decodes an engine's record."""
        return decode_engine(engine_id, data)
