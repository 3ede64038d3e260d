"""Encodes the records that engines and operators write, for the soak's stand-ins.

`configuration.py` decodes the same records.
"""

import json
from collections.abc import Sequence
from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.platform.configuration import DRAINING
from troutswitch.platform.names import JOB_PATH

ENGINE_VERSION = "v1"
"""Software version of engines, unless several versions are used."""


@dataclass(frozen=True, slots=True)
class RouteSpec:
    """A route in an operator's configuration; `kind` is the platform's name of the route kind."""

    name: str
    prefix: str
    kind: str
    is_resumable: bool = False


@dataclass(frozen=True, slots=True)
class TenantSpec:
    """A tenant in an operator's configuration.

    `rate` is its quota in requests per second, with `burst` more requests; 0 means no limit.
    """

    name: str
    keys: tuple[str, ...]
    rate: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class RouteLimitsSpec:
    """Limits shared by all routes of a configuration; times are in seconds."""

    time_limit: float
    objective: float
    gap_limit: float
    max_attempts: int
    completion_target: float
    retention: float
    max_queued_tokens: int


def results_path(job_id: str, position: int) -> str:
    """Returns the path for reading a job's results from a position."""
    return f"{JOB_PATH}{job_id}?afterRevision={position}"


def engine_record(
    service: str,
    address: Address,
    slots: int,
    is_draining: bool,
    version: str = ENGINE_VERSION,
) -> bytes:
    """Encodes an engine's record."""
    row = {
        "service": service,
        "address": str(address),
        "zone": "z",
        "version": version,
        "slots": slots,
        "state": DRAINING if is_draining else "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }
    return json.dumps(row).encode()


def configuration_record(
    version: int,
    host: str,
    service: str,
    slots: int,
    routes: Sequence[RouteSpec],
    limits: RouteLimitsSpec,
    tenants: Sequence[TenantSpec] = (),
    health_path: str = "",
    cache_tokens: int = 0,
    idle_services: Sequence[str] = (),
) -> bytes:
    """Encodes a configuration; without tenants it requires no API keys.

    `idle_services` are further services, of no route. Engines of all services have `slots` slots
    and a cache of `cache_tokens`, 0 if that is not stated.
    """
    shared = {
        "timeoutMs": limits.time_limit * 1000,
        "targetLatencyMs": limits.objective * 1000,
        "gapTargetMs": limits.gap_limit * 1000,
        "maxAttempts": limits.max_attempts,
        "completionTargetMs": limits.completion_target * 1000,
        "retentionS": limits.retention,
        "maxQueuedTokens": limits.max_queued_tokens,
    }
    rows = [
        {
            "name": route.name,
            "host": host,
            "pathPrefix": route.prefix,
            "routeType": route.kind,
            "resumable": route.is_resumable,
            "service": service,
            **shared,
        }
        for route in routes
    ]
    engine = {"slots": slots} | ({"kvCacheTokens": cache_tokens} if cache_tokens else {})
    services: list[dict[str, object]] = [
        {"name": name, "maxConnections": 200, "engine": engine}
        for name in (service, *idle_services)
    ]
    if health_path:
        services[0]["healthPath"] = health_path
    sizes = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
    record = {"version": version, "routes": rows, "services": services, "limits": sizes}
    if tenants:
        record["tenants"] = [_tenant_row(tenant) for tenant in tenants]
    return json.dumps(record).encode()


def _tenant_row(tenant: TenantSpec) -> dict[str, object]:
    """Returns a tenant as it stands in a configuration; one without a quota has no limits."""
    row: dict[str, object] = {"name": tenant.name, "apiKeys": tenant.keys}
    if tenant.rate > 0:
        row |= {"ratePerS": tenant.rate, "burst": tenant.burst}
    return row
