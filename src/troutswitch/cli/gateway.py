"""Command `gateway`: runs one daemon on the users' platform.

The slow imports are inside the command. `python -m troutswitch.gateway` ignores SIGHUP before them,
so that a reload signal at startup does not end the process.
"""

import os
import sys

import click

from troutswitch.gateway.settings import GatewaySettingsError

SETTINGS_POLL_SECONDS = 1.0
"""Interval at which the settings file is checked for changes, besides reload signals."""


@click.command()
def gateway() -> None:
    """Run one daemon on the platform until SIGTERM, which drains and stops it."""
    from troutswitch.gateway.logging import configure_line_logging
    from troutswitch.gateway.policies import POLICIES_VARIABLE, read_policies
    from troutswitch.gateway.process import GatewayProcess, Signals
    from troutswitch.gateway.settings_file import SettingsFile
    from troutswitch.platform.settings import load_gateway_settings, settings_path
    from troutswitch.runtime.memory import freeze_startup_objects, limit_allocator_arenas

    signals = Signals()
    try:
        path = settings_path()
        settings = load_gateway_settings(path)
        policies = read_policies(os.environ.get(POLICIES_VARIABLE, ""))
    except GatewaySettingsError as error:
        raise click.UsageError(str(error)) from error
    limit_allocator_arenas()
    logger, writer = configure_line_logging(settings.name)
    try:
        process = GatewayProcess(settings, logger, policies)
    except OSError as error:
        raise click.UsageError(f"listeners: {error}") from error
    settings_file = SettingsFile(path, load_gateway_settings, logger)
    process.start()
    freeze_startup_objects()
    while not (signals.stop_requested.is_set() or process.failure or process.lost_thread):
        signals.wait(SETTINGS_POLL_SECONDS)
        if signals.reload_requested.is_set():
            signals.reload_requested.clear()
            logger.info("settings reload requested")
        changed = settings_file.reload_if_changed()
        if changed is not None:
            process.reload(changed)
    if process.failure is None:
        process.drain()
    process.stop()
    writer.drain(0.3)
    sys.stdout.flush()
    os._exit(1 if process.failure or process.lost_thread else 0)
