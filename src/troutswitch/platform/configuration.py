"""Decodes the operators' configuration and the engines' records into the decisions' types.

This module defines the wire format of both. Fields that the decisions do not use are validated and
dropped.
"""

from collections.abc import Mapping
from typing import Annotated, Literal

import msgspec

from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import (
    Backend,
    EngineRecord,
    FleetConfiguration,
    PromptShape,
    RequestLimits,
    Route,
    RouteKind,
    Service,
)
from troutswitch.decisions.tenants.types import Tenant, key_digest
from troutswitch.decoding import raises_only
from troutswitch.json_values import decode_json
from troutswitch.platform.engine_ids import incarnation_id
from troutswitch.platform.names import CONFIGURATION_KEY, PROMPT_PREFIX, TOKEN_USAGE
from troutswitch.platform.requests import read_prompt
from troutswitch.wire_values import is_request_id

ROUTE_KINDS = {
    "idempotent": RouteKind.REPEATABLE,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "keyed": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
    "batch": RouteKind.JOBS,
}
"""Kinds of routes by their names on the platform."""
DRAINING = "draining"
"""State of an engine that accepts no new requests."""
MAX_ENGINE_SLOTS = 65_536
"""Maximum number of slots that an engine's entry may report. A larger number is implausible, and
would attract all requests to that engine."""
MAX_ENGINE_ID_BYTES = 200
"""Longest id of an engine. Keys of records hold one beside a digest, in 255 bytes."""
MAX_NAME_CHARACTERS = 128
"""Longest text in an engine's entry. Messages and records hold them."""
DEFAULT_TIME_LIMIT_MS = 30_000.0
"""Time limit of a request on a route that specifies none."""


class FormatError(ValueError):
    """A record is malformed."""


_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Quantity = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
"""A time, a rate or a weight. JSON has numbers that overflow when they are multiplied."""
_Number = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
_Integer = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]


class _Backend(msgspec.Struct):
    service: str
    weight: _Quantity = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str
    routeType: str
    service: str = ""
    backends: list[_Backend] = []
    timeoutMs: _Quantity = DEFAULT_TIME_LIMIT_MS
    targetLatencyMs: _Quantity = 0.0
    maxAttempts: _Integer = 1
    allowAnonymous: bool = False
    priority: _Integer = 0
    sticky: bool = False
    resumable: bool = False
    gapTargetMs: _Quantity = 0.0  # a limit, despite its name
    maxQueuedTokens: _Count = 0  # for the items of all jobs; 0 means unlimited
    completionTargetMs: _Quantity = 0.0
    retentionS: _Quantity = 0.0


class _Engine(msgspec.Struct):
    slots: _Count = 0
    kvCacheTokens: _Count = 0


class _Service(msgspec.Struct):
    name: str
    maxConnections: _Count = 0
    healthPath: object = None  # of any type: without it only the requests for paces are missing
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    apiKeys: list[str] = []
    priority: _Integer | None = None
    ratePerS: _Number = 0.0
    burst: _Number = 0.0


class _RequestLimits(msgspec.Struct):
    maxHeaderBytes: _Count = 16384
    maxBodyBytes: _Count = 4 * 1024 * 1024
    headerTimeoutMs: _Quantity = 3000
    idleTimeoutMs: _Quantity = 15000


class _Configuration(msgspec.Struct):
    version: _Integer
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _RequestLimits = msgspec.field(default_factory=_RequestLimits)
    tenants: list[_Tenant] | None = None


_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
_Version = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)] | _Integer


class _Server(msgspec.Struct):
    """An entry of the engine list; an entry that lacks a field is from another writer."""

    service: _Text
    address: _Text
    zone: _Text
    version: _Version  # of the engine's software
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_ENGINE_SLOTS)]
    state: Literal["ready", "draining"]
    coldRemainingMs: float
    sequence: int
    # Unix time of the engine's start in milliseconds. An engine may restart under the same id.
    born: _Count | None = None


@raises_only(FormatError)
def decode_configuration(data: bytes) -> FleetConfiguration:
    """Decodes a complete configuration.

    Raises:
        FormatError: the record is malformed.
    """
    try:
        decoded = decode_json(data, _Configuration)
        routes = tuple(_route(route) for route in decoded.routes)
    except ValueError as error:
        raise FormatError(f"configuration: {error}") from error
    limits = RequestLimits(
        decoded.limits.maxHeaderBytes,
        decoded.limits.maxBodyBytes,
        decoded.limits.idleTimeoutMs / 1000,
        decoded.limits.headerTimeoutMs / 1000,
    )
    services = {service.name: _service(service) for service in decoded.services}
    tenants = (
        None if decoded.tenants is None else tuple(_tenant(tenant) for tenant in decoded.tenants)
    )
    return FleetConfiguration(decoded.version, routes, services, limits, tenants)


def _tenant(tenant: _Tenant) -> Tenant:
    return Tenant(
        tenant.name,
        frozenset(key_digest(key) for key in tenant.apiKeys if key),
        max(0.0, tenant.ratePerS),
        max(0.0, tenant.burst),
        tenant.priority,
    )


def _route(route: _Route) -> Route:
    kind = ROUTE_KINDS.get(route.routeType)
    if kind is None:
        raise ValueError(f"route {route.name}: unknown kind {route.routeType!r}")
    backends = tuple(Backend(b.service, b.weight) for b in route.backends)
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.pathPrefix,
        kind=kind,
        backends=backends or (Backend(route.service, 1.0),),
        time_limit=route.timeoutMs / 1000,
        objective=route.targetLatencyMs / 1000,
        max_attempts=max(1, route.maxAttempts),
        priority=route.priority,
        is_resumable=route.resumable,
        gap_limit=route.gapTargetMs / 1000,
        max_queued_tokens=route.maxQueuedTokens,
        completion_target=route.completionTargetMs / 1000,
        retention=route.retentionS,
        allows_anonymous=route.allowAnonymous,
    )


def _service(service: _Service) -> Service:
    engine = service.engine or _Engine()
    path = service.healthPath
    return Service(
        service.name,
        service.maxConnections,
        engine.slots,
        engine.kvCacheTokens,
        path if isinstance(path, str) and path.startswith("/") else "",
    )


@raises_only(FormatError)
def decode_engine(instance: str, data: bytes) -> EngineRecord:
    """Decodes the record of the engine whose id on the platform is `instance`.

    Other programs may write to the engine list. An entry that lacks a required field, or whose
    fields have other types or values, does not describe an engine. An engine that states an empty
    version gets one of its own, as nothing shows that two such engines run the same.

    Raises:
        FormatError: the record is malformed.
    """
    if not is_request_id(instance) or len(instance.encode()) > MAX_ENGINE_ID_BYTES:
        raise FormatError(f"engine {instance[:40]!r}: no header can hold the id")
    try:
        decoded = decode_json(data, _Server)
        address = Address.parse_unicast(decoded.address)
    except ValueError as error:
        raise FormatError(f"engine {instance}: {error}") from error
    engine_id = incarnation_id(instance, decoded.born)
    return EngineRecord(
        engine_id,
        decoded.service,
        address,
        decoded.zone,
        decoded.slots,
        decoded.state == DRAINING,
        instance,
        str(decoded.version) or engine_id,
    )


class PlatformFormats:
    """Decoders of the platform's formats, as the gateway's decisions need them."""

    def configuration(self, key: str, data: bytes) -> FleetConfiguration | None:
        """Decodes a record of the operators' topic; returns None if it is not the configuration."""
        return decode_configuration(data) if key == CONFIGURATION_KEY and data else None

    def engine(self, key: str, data: bytes) -> EngineRecord:
        """Decodes an engine's record, stored under `key` in the engine list."""
        return decode_engine(key, data)

    def prompt(self, headers: Mapping[str, str]) -> PromptShape:
        """Decodes the prompt that a batch item's headers describe."""
        by_name = {name.lower(): value for name, value in headers.items()}
        usage, parts = TOKEN_USAGE.lower(), PROMPT_PREFIX.lower()
        return read_prompt(by_name.get(usage, ""), by_name.get(parts, ""))
