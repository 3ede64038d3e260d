"""Decodes the users' settings file into `GatewaySettings`.

This module defines the format of the file (TOML). Unknown fields are ignored. Fields of the
contract that nothing depends on (`limits.maxFds`, `heartbeatMs`, `recoveryS` and others) are
validated and otherwise ignored.
"""

import os
from pathlib import Path

import msgspec

from troutswitch.common import Address
from troutswitch.decisions.tenants.types import QuotaBounds
from troutswitch.gateway.settings import (
    Bounds,
    GatewaySettings,
    GatewaySettingsError,
    StoreSettings,
)
from troutswitch.platform.names import SETTINGS_VARIABLE
from troutswitch.toml_values import decode_toml

MEGABYTE = 1_000_000
"""Unit of `memoryMb`. The smaller reading of the unit keeps the process below either."""


class _Listen(msgspec.Struct):
    front: str = ""  # for callers
    ready: str = ""  # for readiness checks


class _Limits(msgspec.Struct, rename="camel"):
    memory_mb: int = 0
    max_fds: int = 0


class _Bounds(msgspec.Struct):
    configApplyMs: float = 2000
    drainTimeoutMs: float = 2000
    gracePeriodS: float = 8
    recoveryS: float = 12
    settleTimeoutMs: float = 1000
    ackTimeoutMs: float = 4000
    statusIntervalS: float = 120  # how long an ended job remains readable
    quotaWindowS: float = 5
    quotaOvershoot: float = 0.1
    quotaSlack: float = 20


class _Store(msgspec.Struct):
    address: str
    parts: int = 8  # partitions of each topic
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152
    ttl_min_ms: float = 1000
    reads_per_s: float = 0


class _Settings(msgspec.Struct, rename="camel"):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    platform: _Store
    internal_ports: tuple[int, int] = (0, 0)
    seed_nodes: list[str] = []
    heartbeat_ms: float = 1200
    limits: _Limits = msgspec.field(default_factory=_Limits)
    timing_bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def settings_path() -> Path:
    """Returns the path of the settings file.

    Raises:
        GatewaySettingsError: the variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise GatewaySettingsError(f"{SETTINGS_VARIABLE}: not set")
    return Path(path)


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Loads and validates a settings file.

    Raises:
        GatewaySettingsError: the file is unreadable, or a field is missing or invalid.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise GatewaySettingsError(f"{path}: {error.strerror}") from error
    try:
        return _translate(decode_toml(data, _Settings))
    except ValueError as error:
        raise GatewaySettingsError(f"{path}: {error}") from error


def format_settings(
    name: str,
    ip: str,
    front: int,
    ready: int,
    internal: tuple[int, int],
    store: Address,
    memory_mb: int = 0,
) -> str:
    """Returns the text of a settings file for a daemon that a test or soak starts locally.

    `memory_mb` is its memory limit; 0 means none.
    """
    limits = f"[limits]\nmemoryMb = {memory_mb}\n" if memory_mb > 0 else ""
    return f"""nodeName = "{name}"
zone = "z"
ip = "{ip}"
internalPorts = [{internal[0]}, {internal[1]}]
seedNodes = []
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[platform]
address = "{store}"
{limits}[timingBounds]
gracePeriodS = 8
"""


def _translate(settings: _Settings) -> GatewaySettings:
    _check_seeds(settings.seed_nodes)
    bounds = settings.timing_bounds
    return GatewaySettings(
        name=settings.node_name,
        zone=settings.zone,
        callers=_address("listen.front", settings.listen.front),
        readiness=_address("listen.ready", settings.listen.ready),
        peer_host=settings.ip,
        peer_ports=settings.internal_ports,
        store=_store(settings.platform),
        bounds=Bounds(
            configuration_apply=bounds.configApplyMs / 1000,
            drain=bounds.drainTimeoutMs / 1000,
            grace=bounds.gracePeriodS,
            job_kept=bounds.statusIntervalS,
            quota=QuotaBounds(bounds.quotaWindowS, bounds.quotaOvershoot, bounds.quotaSlack),
        ),
        memory_bytes=max(0, settings.limits.memory_mb) * MEGABYTE,
    )


def _check_seeds(seeds: list[str]) -> None:
    """Validates the seeds' addresses; they are unused, as daemons discover peers in the store."""
    for seed in seeds:
        Address.parse(seed)


def _store(store: _Store) -> StoreSettings:
    address = _address("platform.address", store.address)
    if address is None:
        raise ValueError("platform.address: missing")
    if store.parts < 1:
        raise ValueError(f"platform.parts: expected at least 1, got {store.parts}")
    return StoreSettings(
        address,
        store.parts,
        store.record_bytes,
        store.call_bytes,
        store.ttl_min_ms / 1000,
        store.reads_per_s,
    )


def _address(field: str, text: str) -> Address | None:
    if not text:
        return None
    try:
        return Address.parse(text)
    except ValueError as error:
        raise ValueError(f"{field}: {error}") from error
