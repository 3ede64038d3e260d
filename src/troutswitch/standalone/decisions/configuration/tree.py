"""The configuration tree: paths, overrides and inheritance."""

import re
from dataclasses import dataclass, field

from troutswitch.standalone.decisions.configuration.keys import (
    DEFAULTS,
    ServingPolicy,
    Value,
    check_value,
    make_policy,
)
from troutswitch.standalone.log_service.records import ConfigurationChange

ROOT = "root"
_NAME = r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}"
_PATH = re.compile(
    rf"root|zone/{_NAME}|service/{_NAME}|zone/{_NAME}/service/{_NAME}|tenant/{_NAME}"
)


@dataclass(frozen=True, slots=True)
class EffectiveValue:
    """An effective value and the path that sets it, or "default" if no path does."""

    value: Value
    source: str


def applicable_paths(zone: str, service: str, tenant: str) -> list[str]:
    """Returns the paths that apply, from the most general to the most specific."""
    paths = [ROOT]
    if zone:
        paths.append(f"zone/{zone}")
    if service:
        paths.append(f"service/{service}")
    if zone and service:
        paths.append(f"zone/{zone}/service/{service}")
    if tenant:
        paths.append(f"tenant/{tenant}")
    return paths


def scope_of_path(path: str) -> tuple[str, str, str]:
    """Returns the zone, service and tenant in a valid path; parts not named are empty."""
    parts = dict(zip(path.split("/")[::2], path.split("/")[1::2], strict=False))
    return parts.get("zone", ""), parts.get("service", ""), parts.get("tenant", "")


def check_change(change: ConfigurationChange) -> str | None:
    """Returns the reason why a change is invalid, or None if it is valid."""
    if not _PATH.fullmatch(change.path):
        return f"{change.path}: not a path of the tree"
    if change.key not in DEFAULTS:
        return f"{change.path}: unknown key {change.key!r}"
    if change.value is None:
        return None
    reason = check_value(change.key, change.value)
    return f"{change.path}: {change.key}: {reason}" if reason else None


@dataclass
class ConfigurationTree:
    """Overrides by path and key; other values are inherited."""

    overrides: dict[str, dict[str, Value]] = field(default_factory=dict)

    def apply(self, change: ConfigurationChange) -> None:
        """Applies one valid change."""
        keys = self.overrides.setdefault(change.path, {})
        if change.value is None:
            keys.pop(change.key, None)
        else:
            keys[change.key] = change.value
        if not keys:
            del self.overrides[change.path]

    def effective(self, zone: str, service: str, tenant: str) -> dict[str, EffectiveValue]:
        """Returns the effective value of every key, with its source."""
        values = {key: EffectiveValue(value, "default") for key, value in DEFAULTS.items()}
        for path in applicable_paths(zone, service, tenant):
            for key, value in self.overrides.get(path, {}).items():
                values[key] = EffectiveValue(value, path)
        return values

    def policy(self, zone: str, service: str, tenant: str) -> ServingPolicy:
        """Returns the effective policy as a typed structure."""
        values = self.effective(zone, service, tenant)
        return make_policy({key: effective.value for key, effective in values.items()})

    def copy(self) -> "ConfigurationTree":
        """Returns an independent copy."""
        return ConfigurationTree({path: dict(keys) for path, keys in self.overrides.items()})
