"""Declarations of the configuration tree as TOML files, for use with version control.

A directory contains any number of `*.toml` files. Each table is a path of the tree:
`[root]`, `["zone/a"]`, `["service/b"]`, `["zone/a/service/b"]`, `["tenant/t"]`.
"""

from pathlib import Path
from typing import Any

from troutswitch.standalone.decisions.configuration.tree import ConfigurationTree, check_change
from troutswitch.standalone.log_service.records import ConfigurationChange
from troutswitch.toml_values import MalformedToml, decode_toml


class DeclarationError(Exception):
    """An invalid declaration; the message names the file and the reason."""


def read_declarations(directory: Path) -> ConfigurationTree:
    """Reads all declarations of a directory into one tree.

    Raises:
        DeclarationError: The directory does not exist, a file is not valid TOML, a path,
            key or value is invalid, or a key is declared twice.
    """
    if not directory.is_dir():
        raise DeclarationError(f"{directory}: not a directory")
    tree = ConfigurationTree()
    for file in sorted(directory.glob("*.toml")):
        for path, keys in _read(file).items():
            if not isinstance(keys, dict):
                raise DeclarationError(f"{file}: {path}: a table is expected")
            for key, value in keys.items():
                _declare(tree, file, ConfigurationChange(path, key, value))
    return tree


def _read(file: Path) -> dict[str, Any]:
    try:
        return decode_toml(file.read_bytes(), dict[str, Any])
    except (OSError, MalformedToml) as error:
        raise DeclarationError(f"{file}: {error}") from error


def _declare(tree: ConfigurationTree, file: Path, change: ConfigurationChange) -> None:
    reason = check_change(change)
    if reason is not None:
        raise DeclarationError(f"{file}: {reason}")
    if change.key in tree.overrides.get(change.path, {}):
        raise DeclarationError(f"{file}: {change.path}: {change.key} is declared twice")
    tree.apply(change)


def changes_between(
    current: ConfigurationTree, wanted: ConfigurationTree
) -> list[ConfigurationChange]:
    """Returns the changes from `current` to `wanted`, in order of path and key."""
    changes = []
    for path in sorted({*current.overrides, *wanted.overrides}):
        before = current.overrides.get(path, {})
        after = wanted.overrides.get(path, {})
        for key in sorted({*before, *after}):
            if before.get(key) != after.get(key):
                changes.append(ConfigurationChange(path, key, after.get(key)))
    return changes
