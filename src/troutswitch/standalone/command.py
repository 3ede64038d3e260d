"""Commands `daemon` and `settings`."""

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from troutswitch.runtime.memory import freeze_startup_objects, limit_allocator_arenas
from troutswitch.runtime.signals import Signals
from troutswitch.standalone.runtime.logging import configure_logging
from troutswitch.standalone.runtime.server import DaemonServer
from troutswitch.standalone.runtime.settings import DaemonSettings, SettingsError, load_settings

Command = Callable[..., Any]

FAILURE_POLL_SECONDS = 0.5
"""Interval between checks whether the daemon has failed."""


def settings_flags(command: Command) -> Command:
    """Adds a flag for each key of the settings file."""
    for key in reversed(msgspec.structs.fields(DaemonSettings)):
        flag = "--" + key.name.replace("_", "-")
        if key.name == "seeds":
            command = click.option(flag, multiple=True, help="Peer address; may be repeated.")(
                command
            )
            continue
        kind = {int: int, float: float}.get(_plain_type(key.type), str)
        command = click.option(flag, type=kind, default=None)(command)
    return command


def _plain_type(annotation: Any) -> Any:
    return getattr(annotation, "__origin__", annotation)


def read_settings(path: str | None, flags: dict[str, Any]) -> DaemonSettings:
    """Loads settings; invalid ones raise a usage error of one line."""
    flags["seeds"] = tuple(flags.get("seeds") or ()) or None
    try:
        return load_settings(Path(path) if path else None, flags)
    except SettingsError as error:
        raise click.UsageError(str(error)) from error


@click.command()
@click.option("--settings", "settings_path", type=str, default=None, help="TOML file.")
@settings_flags
def daemon(settings_path: str | None, **flags: Any) -> None:
    """Run one daemon until SIGTERM, which stops it as planned."""
    signals = Signals()
    settings = read_settings(settings_path, flags)
    limit_allocator_arenas()
    logger = configure_logging(settings.log_level, settings.name)
    try:
        server = DaemonServer(settings, logger)
    except OSError as error:
        raise click.UsageError(f"{settings_path or 'flags'}: addresses: {error}") from error
    server.start()
    freeze_startup_objects()
    while not signals.is_stop_requested and server.failure is None:
        signals.wait(FAILURE_POLL_SECONDS)
    if server.failure is None:
        server.drain()
        server.wait_drained()
    server.stop()
    sys.exit(1 if server.failure is not None else 0)


@click.group()
def settings() -> None:
    """Check and show the settings of a daemon."""


@settings.command()
@click.argument("file")
def check(file: str) -> None:
    """Check a settings file."""
    read_settings(file, {})
    click.echo(f"{file}: valid")


@settings.command()
@click.option("--effective", is_flag=True, help="Show defaults and flags too.")
@click.option("--settings", "settings_path", type=str, default=None)
@settings_flags
def show(effective: bool, settings_path: str | None, **flags: Any) -> None:
    """Show settings as JSON; the fleet's key is left out."""
    loaded = read_settings(settings_path, flags)
    values = msgspec.structs.asdict(loaded)
    values["fleet_key"] = "(set)"
    if not effective:
        defaults = {f.name: f.default for f in msgspec.structs.fields(DaemonSettings)}
        values = {key: value for key, value in values.items() if defaults[key] != value}
    click.echo(json.dumps(values, indent=2))
