"""Settings of one daemon, from a TOML file and flags of the same names.

Values that change while the fleet runs are in the configuration tree.
"""

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from troutswitch.common import Address
from troutswitch.toml_values import MalformedToml, decode_toml

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
AddressText = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class DaemonSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of one daemon. Addresses are `IP:port`.

    Attributes:
        name: name of the machine, unique in the fleet.
        zone: zone of the machine.
        callers_address: address for online callers.
        batch_address: address for batch callers.
        operators_address: address for operators.
        peers_address: UDP address for other daemons.
        platform_address: the platform's log service and machine list.
        fleet_key: secret shared by the daemons of a fleet.
        shard_count: batch shards of the fleet; the same on every daemon, never changed.
        seeds: peer addresses to contact if the machine list cannot be read.
        online_threads: maximum number of concurrent online requests.
        batch_threads: maximum number of batch items in flight.
        drain_grace_seconds: time after the start of a planned stop in which new requests are
            still accepted while `/readyz` already fails.
        log_level: minimum level of logged events.
    """

    name: Name
    zone: Name
    callers_address: AddressText = "127.0.0.1:8000"
    batch_address: AddressText = "127.0.0.1:8001"
    operators_address: AddressText = "127.0.0.1:8002"
    peers_address: AddressText = "127.0.0.1:8003"
    platform_address: AddressText = "127.0.0.1:7000"
    fleet_key: Annotated[str, Meta(min_length=8)]
    shard_count: Annotated[int, Meta(ge=1, le=65536)] = 16
    seeds: tuple[AddressText, ...] = ()
    online_threads: Annotated[int, Meta(ge=1, le=2000)] = 800
    batch_threads: Annotated[int, Meta(ge=1, le=1000)] = 64
    drain_grace_seconds: Annotated[float, Meta(ge=0.0, le=60.0)] = 2.0
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


class SettingsError(Exception):
    """Invalid settings; the message names file, key and reason on one line."""


def load_settings(path: Path | None, overrides: dict[str, Any]) -> DaemonSettings:
    """Loads settings from a file and flags; flags take precedence.

    Raises:
        SettingsError: the file is unreadable, a key unknown, or a value invalid.
    """
    source = str(path) if path is not None else "flags"
    values = _read(path) if path is not None else {}
    values.update({key: value for key, value in overrides.items() if value is not None})
    try:
        settings = msgspec.convert(values, DaemonSettings)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{source}: {_explain(error)}") from error
    _check_addresses(source, settings)
    return settings


def _read(path: Path) -> dict[str, Any]:
    try:
        return decode_toml(path.read_bytes(), dict[str, Any])
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except MalformedToml as error:
        raise SettingsError(f"{path}: {error}") from error


def _explain(error: msgspec.ValidationError) -> str:
    """Moves the key from the end of the message of msgspec to its start."""
    reason, separator, key = str(error).partition(" - at `$.")
    return f"{key.rstrip('`')}: {reason}" if separator else reason


def _check_addresses(source: str, settings: DaemonSettings) -> None:
    for key in msgspec.structs.fields(DaemonSettings):
        if not key.name.endswith("_address"):
            continue
        try:
            Address.parse(getattr(settings, key.name))
        except ValueError as error:
            raise SettingsError(f"{source}: {key.name}: {error}") from error
